#pragma once

#include <mallowglade/detail/cli/admin_client.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mallowglade::detail {

/// @brief A branch as a router has it.
struct BranchView {
  std::uint64_t Version = 0;
  nlohmann::json Value;
};

/// @brief Reads a branch from a router.
/// @param Code exit code of a failure, which has been printed
/// @return the branch, or nothing
std::optional<BranchView> fetchBranch(const RouterOptions &Options,
                                      const std::string &Branch,
                                      ExitCode &Code);

/// @brief A change to send.
struct BranchChange {
  std::string Branch;
  /// Version the change is based on.
  std::uint64_t Base = 0;
  /// Id that stays the same when the command is repeated; empty draws one.
  std::string ChangeId;
  /// Member of the command: `value`, `patch` or `set`.
  std::string Form;
  nlohmann::json Content;
};

/// @brief Sends a change, repeating it with the same id if a reply is lost,
///   and prints the outcome.
ExitCode sendChange(const RouterOptions &Options, BranchChange Change);

} // namespace mallowglade::detail

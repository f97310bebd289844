#pragma once

#include <mallowglade/detail/cli/admin_client.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mallowglade::detail {

/// @brief Value and version of a settings branch, as a router returned them.
struct BranchSnapshot {
  std::uint64_t Version = 0;
  nlohmann::json Value;
};

/// @brief Reads a settings branch from a router; prints the error on failure.
/// @param Code set to the exit code on failure
/// @return the branch, or nothing on failure
std::optional<BranchSnapshot> fetchBranch(const RouterOptions &Options,
                                          const std::string &Branch,
                                          ExitCode &Code);

/// @brief A change of a settings branch.
struct BranchChange {
  std::string Branch;
  /// Version of the settings that the change is based on.
  std::uint64_t BaseVersion = 0;
  /// Idempotency key, the same each time the command is repeated; a random one
  /// is generated if it is empty.
  std::string ChangeId;
  /// Name of the JSON member that holds the content: `value`, `patch` or `set`.
  std::string ContentKey;
  nlohmann::json Content;
};

/// @brief Sends a change and prints the outcome. If the outcome is unknown,
///   sends it again with the same change id.
/// @return exit code for the outcome
ExitCode sendChange(const RouterOptions &Options, BranchChange Change);

} // namespace mallowglade::detail

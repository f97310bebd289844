#pragma once

#include <mallowglade/cli.hpp>
#include <mallowglade/core.hpp>
#include <mallowglade/detail/cli/parser.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace mallowglade::detail {

/// @brief Options of the commands that talk to a router.
class RouterOptions {
public:
  /// @param Parser where the options are added
  explicit RouterOptions(CommandParser &Parser);
  /// @return address from `--router` or MALLOWGLADE_ROUTER
  std::string router() const;
  /// @return credential from `--key-file` or MALLOWGLADE_KEY; may be empty
  std::string key() const;

private:
  mutable TCLAP::ValueArg<std::string> Router;
  mutable TCLAP::ValueArg<std::string> KeyFile;
};

/// @brief A router's reply.
struct AdminAnswer {
  int Status = 0;
  nlohmann::json Body;
};

/// @brief Query parameters of a call.
using AdminQuery = std::map<std::string, std::string>;

/// @brief Reads from a router.
/// @return the reply; `upstream.connect_failed` if no router answered
Result<AdminAnswer> adminGet(const RouterOptions &Options,
                             const std::string &Path,
                             const AdminQuery &Query = {});
/// @brief Reads from a router other than the one in the options.
/// @param Router address of the router
Result<AdminAnswer> adminGetFrom(const std::string &Router,
                                 const RouterOptions &Options,
                                 const std::string &Path,
                                 const AdminQuery &Query = {});
/// @brief Sends a command to a router.
/// @return the reply; `upstream.connection_lost` if it may have been lost
Result<AdminAnswer> adminPost(const RouterOptions &Options,
                              const std::string &Path,
                              const nlohmann::json &Body);

/// @brief Prints an error and chooses the exit code for it.
ExitCode reportFailure(const Error &Failure);
/// @brief Prints the problem document of a reply that is not 200.
ExitCode reportProblem(const AdminAnswer &Answer);
/// @brief Prints the failure of a call, if it failed.
/// @param Reply reply of `adminGet` or `adminPost`
/// @param Code exit code of the failure
/// @return true if the call failed
bool failed(const Result<AdminAnswer> &Reply, ExitCode &Code);

} // namespace mallowglade::detail

#pragma once

#include <mallowglade/cli.hpp>
#include <mallowglade/core.hpp>
#include <mallowglade/detail/cli/parser.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace mallowglade::detail {

/// @brief Option for the router that a command calls.
class RouterOption {
public:
  /// @param Parser parser that the option is registered with
  explicit RouterOption(CommandParser &Parser);
  /// @return router address from `--router` or MALLOWGLADE_ROUTER
  std::string router() const;

private:
  mutable TCLAP::ValueArg<std::string> Router;
};

/// @brief Options shared by the commands that call the admin API of a router.
class RouterOptions : public RouterOption {
public:
  /// @param Parser parser that the options are registered with
  explicit RouterOptions(CommandParser &Parser);
  /// @return credential from `--key-file` or MALLOWGLADE_KEY; may be empty
  std::string key() const;

private:
  mutable TCLAP::ValueArg<std::string> KeyFile;
};

/// @brief HTTP status and JSON body of a router's reply.
struct AdminResponse {
  int Status = 0;
  nlohmann::json Body;
};

/// @brief Query parameters of a request.
using AdminQuery = std::map<std::string, std::string>;

/// @brief Sends a GET request to the router given in the options.
/// @return the reply; `upstream.connect_failed` if the connection failed,
///   `upstream.connection_lost` on any later failure
Result<AdminResponse> adminGet(const RouterOptions &Options,
                               const std::string &Path,
                               const AdminQuery &Query = {});
/// @brief Sends a GET request to a router other than the one in the options.
/// @param Router address of the router
Result<AdminResponse> adminGetFrom(const std::string &Router,
                                   const RouterOptions &Options,
                                   const std::string &Path,
                                   const AdminQuery &Query = {});
/// @brief Sends a GET request without a credential.
/// @param Router address of the router
Result<AdminResponse> requestWithoutKey(const std::string &Router,
                                        const std::string &Path,
                                        const AdminQuery &Query);
/// @brief Sends a POST request to the router given in the options.
/// @return the reply; `upstream.connect_failed` if the connection failed,
///   `upstream.connection_lost` if the router may have received the request
Result<AdminResponse> adminPost(const RouterOptions &Options,
                                const std::string &Path,
                                const nlohmann::json &Body);

/// @brief Prints an error to standard error.
/// @return ExitCode::Unreachable
ExitCode reportFailure(const Error &Failure);
/// @brief Prints the problem document of a reply whose status is not 200.
/// @return exit code for the error id of the document
ExitCode reportProblem(const AdminResponse &Response);
/// @brief Checks the outcome of a call and prints the error if it failed.
/// @param Reply reply of `adminGet` or `adminPost`
/// @param Code set to the exit code if the call failed
/// @return true if the call failed
bool reportIfFailed(const Result<AdminResponse> &Reply, ExitCode &Code);

} // namespace mallowglade::detail

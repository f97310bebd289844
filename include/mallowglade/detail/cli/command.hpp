#pragma once

#include <mallowglade/cli.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mallowglade::detail {

/// @brief A subcommand of the `mallowglade` executable.
struct Command {
  /// One or two words that select the command, such as `config check`.
  std::string Name;
  std::string Summary;
  /// Examples for the help text; the list of commands shows the first one.
  std::vector<std::string> Examples;
  /// Runs the command; the first argument is the program and command name.
  std::function<ExitCode(std::vector<std::string> Arguments)> Run;
};

/// @return all subcommands, in the order of the help text
const std::vector<Command> &commands();

/// @name Implementations of the subcommands
/// Each takes the arguments that `Command::Run` describes.
/// @{
ExitCode runRouter(std::vector<std::string> Arguments);
ExitCode runNodeCommand(std::vector<std::string> Arguments);
ExitCode runConfigCheck(std::vector<std::string> Arguments);
ExitCode runAddresses(std::vector<std::string> Arguments);
ExitCode runSettingsGet(std::vector<std::string> Arguments);
ExitCode runSettingsSet(std::vector<std::string> Arguments);
ExitCode runSettingsDiff(std::vector<std::string> Arguments);
ExitCode runSettingsLog(std::vector<std::string> Arguments);
ExitCode runWorkspaceList(std::vector<std::string> Arguments);
ExitCode runWorkspaceAdd(std::vector<std::string> Arguments);
ExitCode runWorkspaceLimit(std::vector<std::string> Arguments);
ExitCode runStatus(std::vector<std::string> Arguments);
ExitCode runExplain(std::vector<std::string> Arguments);
ExitCode runDrain(std::vector<std::string> Arguments);
ExitCode runQuarantineList(std::vector<std::string> Arguments);
ExitCode runQuarantineRelease(std::vector<std::string> Arguments);
ExitCode runCompletionBash(std::vector<std::string> Arguments);
/// @}

/// @brief Reads an entire file; `-` stands for standard input.
/// @param Path path of the file
/// @param Failed set to true if the file cannot be opened, else to false
/// @return contents of the file; empty on failure
std::string readFile(const std::string &Path, bool &Failed);

} // namespace mallowglade::detail

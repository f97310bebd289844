#pragma once

#include <mallowglade/cli.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mallowglade::detail {

/// @brief A sub-command of the binary.
struct Command {
  /// Words that select it, for example `config check`.
  std::string Name;
  std::string Summary;
  /// Example lines for the help; the overview shows the first.
  std::vector<std::string> Examples;
  /// Runs it; the first argument is the command's name.
  std::function<ExitCode(std::vector<std::string> Arguments)> Run;
};

/// @return all sub-commands, in the order of the help
const std::vector<Command> &commands();

/// @brief `mallowglade router`.
ExitCode runRouter(std::vector<std::string> Arguments);
/// @brief `mallowglade node`.
ExitCode runNodeCommand(std::vector<std::string> Arguments);
/// @brief `mallowglade config check`.
ExitCode runConfigCheck(std::vector<std::string> Arguments);
/// @brief `mallowglade addresses`.
ExitCode runAddresses(std::vector<std::string> Arguments);
/// @brief `mallowglade settings get`.
ExitCode runSettingsGet(std::vector<std::string> Arguments);
/// @brief `mallowglade settings set`.
ExitCode runSettingsSet(std::vector<std::string> Arguments);
/// @brief `mallowglade settings diff`.
ExitCode runSettingsDiff(std::vector<std::string> Arguments);
/// @brief `mallowglade settings log`.
ExitCode runSettingsLog(std::vector<std::string> Arguments);
/// @brief `mallowglade workspace list`.
ExitCode runWorkspaceList(std::vector<std::string> Arguments);
/// @brief `mallowglade workspace add`.
ExitCode runWorkspaceAdd(std::vector<std::string> Arguments);
/// @brief `mallowglade workspace limit`.
ExitCode runWorkspaceLimit(std::vector<std::string> Arguments);
/// @brief `mallowglade status`.
ExitCode runStatus(std::vector<std::string> Arguments);
/// @brief `mallowglade drain`.
ExitCode runDrain(std::vector<std::string> Arguments);
/// @brief `mallowglade quarantine list`.
ExitCode runQuarantineList(std::vector<std::string> Arguments);
/// @brief `mallowglade quarantine release`.
ExitCode runQuarantineRelease(std::vector<std::string> Arguments);
/// @brief `mallowglade completion bash`.
ExitCode runCompletionBash(std::vector<std::string> Arguments);

/// @brief Reads a whole file; `-` stands for standard input.
/// @param Path path of the file
/// @param Failed set to whether the file cannot be read
/// @return the text
std::string readFile(const std::string &Path, bool &Failed);

} // namespace mallowglade::detail

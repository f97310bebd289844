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
  /// One example line for the help.
  std::string Example;
  /// Runs it; the first argument is the command's name.
  std::function<ExitCode(std::vector<std::string> Arguments)> Run;
};

/// @return all sub-commands, in the order of the help
const std::vector<Command> &commands();

/// @brief `mallowglade router`.
ExitCode runRouter(std::vector<std::string> Arguments);
/// @brief `mallowglade config check`.
ExitCode runConfigCheck(std::vector<std::string> Arguments);
/// @brief `mallowglade addresses`.
ExitCode runAddresses(std::vector<std::string> Arguments);

/// @brief Reads a whole file.
/// @return the text, or an error with the path
std::string readFile(const std::string &Path, bool &Failed);

} // namespace mallowglade::detail

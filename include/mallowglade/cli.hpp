#pragma once

/// @file
/// @brief The command line of the binary `mallowglade`.

namespace mallowglade {

/// @brief Exit codes of the binary.
enum class ExitCode : int {
  Ok = 0,
  /// The operation was refused or failed.
  Failed = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A settings file or change is invalid.
  InvalidSettings = 3,
  /// Somebody else changed the settings at the same moment.
  Conflict = 4,
  /// No router answered.
  Unreachable = 5,
};

/// @brief Runs a sub-command.
/// @param ArgumentCount number of arguments, with the program's name
/// @param Arguments the arguments
/// @return exit code
int runCommandLine(int ArgumentCount, char **Arguments);

} // namespace mallowglade

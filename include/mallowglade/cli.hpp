#pragma once

/// @file
/// @brief The command-line interface of the `mallowglade` executable.

namespace mallowglade {

/// @brief Exit codes of the `mallowglade` executable.
enum class ExitCode : int {
  Ok = 0,
  /// The operation was refused or failed.
  Failed = 1,
  /// The command line is invalid.
  Usage = 2,
  /// A settings file or change is invalid.
  InvalidSettings = 3,
  /// The change conflicts with another change of the settings.
  Conflict = 4,
  /// The router did not answer, or its reply was not usable.
  Unreachable = 5,
};

/// @brief Runs the subcommand that the arguments name.
/// @param ArgumentCount number of arguments, including the program name
/// @param Arguments the arguments, the program name first
/// @return exit code of the process
int runCommandLine(int ArgumentCount, char **Arguments);

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/cli/command.hpp>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace mallowglade::detail {

/// @brief Prints the help and version texts of a subcommand. Parse errors are
///   thrown, so that `runCommandLine` reports them.
class HelpOutput final : public TCLAP::StdOutput {
public:
  void usage(TCLAP::CmdLineInterface &CommandLine) override;
  void version(TCLAP::CmdLineInterface &CommandLine) override;
  void failure(TCLAP::CmdLineInterface &CommandLine,
               TCLAP::ArgException &Failure) override;
};

/// @brief Thrown for an invalid or missing argument that TCLAP cannot detect.
struct UsageError {
  std::string Detail;
};

/// @brief Parses the arguments of a subcommand.
///
/// `parse` throws TCLAP exceptions, which `runCommandLine` maps to exit codes.
/// The default error handling of TCLAP would end the process with code 1.
class CommandParser {
public:
  /// @param Arguments `mallowglade COMMAND`, then the arguments of the command
  explicit CommandParser(std::vector<std::string> Arguments);
  /// @return TCLAP command line that arguments are registered with
  TCLAP::CmdLine &commandLine() { return CommandLine; }
  void parse();

private:
  std::vector<std::string> Arguments;
  HelpOutput Output;
  TCLAP::CmdLine CommandLine;
};

/// @brief Looks up a subcommand.
/// @param Name name of the command, without the program name
/// @return the command, or null if there is none of this name
const Command *findCommand(const std::string &Name);

} // namespace mallowglade::detail

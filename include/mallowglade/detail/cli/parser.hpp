#pragma once

#include <mallowglade/detail/cli/command.hpp>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace mallowglade::detail {

/// @brief Writes help and errors in the project's form.
class HelpOutput final : public TCLAP::StdOutput {
public:
  void usage(TCLAP::CmdLineInterface &Line) override;
  void version(TCLAP::CmdLineInterface &Line) override;
  void failure(TCLAP::CmdLineInterface &Line,
               TCLAP::ArgException &Failure) override;
};

/// @brief A wrong or missing argument that TCLAP cannot know of.
struct UsageError {
  std::string Detail;
};

/// @brief Parses the arguments of a sub-command.
///
/// `parse` throws TCLAP's exceptions, which `runCommandLine` turns into exit
/// codes; TCLAP's own handling would end the process with code 1.
class CommandParser {
public:
  /// @param Arguments arguments of the sub-command, its name first
  explicit CommandParser(std::vector<std::string> Arguments);
  /// @return where arguments are added
  TCLAP::CmdLine &line() { return Line; }
  /// @brief Parses the arguments.
  void parse();

private:
  std::vector<std::string> Arguments;
  HelpOutput Output;
  TCLAP::CmdLine Line;
};

/// @return the command of this name, without the program's name, or null
const Command *findCommand(const std::string &Name);

} // namespace mallowglade::detail

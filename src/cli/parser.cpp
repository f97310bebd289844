#include <mallowglade/detail/cli/parser.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

constexpr std::string_view ProgramPrefix = "mallowglade ";

std::string commandName(TCLAP::CmdLineInterface &CommandLine) {
  const std::string ProgramName = CommandLine.getProgramName();
  return ProgramName.starts_with(ProgramPrefix)
             ? ProgramName.substr(ProgramPrefix.size())
             : ProgramName;
}

/// Hides `--version` and `--ignore_rest`, which TCLAP adds to every command.
bool isListed(const TCLAP::Arg &Argument) {
  return Argument.getName() != "ignore_rest" && Argument.getName() != "version";
}

void printArgument(const TCLAP::Arg &Argument) {
  std::string Description = Argument.getDescription();
  // For a required argument, the description starts with "(required)", which
  // the usage line shows as well.
  fmt::print("  {:<28} {}\n", Argument.longID(), Description);
}

} // namespace

void HelpOutput::usage(TCLAP::CmdLineInterface &CommandLine) {
  const std::string Name = commandName(CommandLine);
  fmt::print("{}\n\nUsage: mallowglade {}", CommandLine.getMessage(), Name);
  for (const TCLAP::Arg *Argument : CommandLine.getArgList())
    if (isListed(*Argument) && Argument->isRequired())
      fmt::print(" {}", Argument->shortID());
  fmt::print(" [OPTIONS]\n\nArguments:\n");
  for (const TCLAP::Arg *Argument : CommandLine.getArgList())
    if (isListed(*Argument))
      printArgument(*Argument);
  const Command *Found = findCommand(Name);
  if (Found == nullptr)
    return;
  fmt::print("\nExamples:\n");
  for (const std::string &Example : Found->Examples)
    fmt::print("  {}\n", Example);
}

void HelpOutput::version(TCLAP::CmdLineInterface &CommandLine) {
  fmt::print("mallowglade {}\n", CommandLine.getVersion());
}

void HelpOutput::failure(TCLAP::CmdLineInterface &,
                         TCLAP::ArgException &Failure) {
  throw Failure;
}

CommandParser::CommandParser(std::vector<std::string> Arguments)
    : Arguments(std::move(Arguments)),
      CommandLine(
          findCommand(this->Arguments.front().substr(ProgramPrefix.size()))
              ->Summary,
          ' ', "0.1.0") {
  CommandLine.setOutput(&Output);
  CommandLine.setExceptionHandling(false);
}

void CommandParser::parse() { CommandLine.parse(Arguments); }

const Command *findCommand(const std::string &Name) {
  for (const Command &Candidate : commands())
    if (Candidate.Name == Name)
      return &Candidate;
  return nullptr;
}

} // namespace mallowglade::detail

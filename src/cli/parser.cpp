#include <mallowglade/detail/cli/parser.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

constexpr std::string_view ProgramPrefix = "mallowglade ";

std::string commandName(TCLAP::CmdLineInterface &Line) {
  const std::string Full = Line.getProgramName();
  return Full.starts_with(ProgramPrefix) ? Full.substr(ProgramPrefix.size())
                                         : Full;
}

/// TCLAP adds `--version` and `--ignore_rest`, which no example needs.
bool isShown(const TCLAP::Arg &Argument) {
  return Argument.getName() != "ignore_rest" && Argument.getName() != "version";
}

void printArgument(const TCLAP::Arg &Argument) {
  std::string Description = Argument.getDescription();
  // TCLAP puts "(required)" in front, which the usage line repeats.
  fmt::print("  {:<28} {}\n", Argument.longID(), Description);
}

} // namespace

void HelpOutput::usage(TCLAP::CmdLineInterface &Line) {
  const std::string Name = commandName(Line);
  fmt::print("{}\n\nUsage: mallowglade {}", Line.getMessage(), Name);
  for (const TCLAP::Arg *Argument : Line.getArgList())
    if (isShown(*Argument) && Argument->isRequired())
      fmt::print(" {}", Argument->shortID());
  fmt::print(" [OPTIONS]\n\nArguments:\n");
  for (const TCLAP::Arg *Argument : Line.getArgList())
    if (isShown(*Argument))
      printArgument(*Argument);
  const Command *Found = findCommand(Name);
  if (Found == nullptr)
    return;
  fmt::print("\nExamples:\n");
  for (const std::string &Example : Found->Examples)
    fmt::print("  {}\n", Example);
}

void HelpOutput::version(TCLAP::CmdLineInterface &Line) {
  fmt::print("mallowglade {}\n", Line.getVersion());
}

void HelpOutput::failure(TCLAP::CmdLineInterface &,
                         TCLAP::ArgException &Failure) {
  throw Failure;
}

CommandParser::CommandParser(std::vector<std::string> Arguments)
    : Arguments(std::move(Arguments)),
      Line(findCommand(this->Arguments.front().substr(ProgramPrefix.size()))
               ->Summary,
           ' ', "0.1.0") {
  Line.setOutput(&Output);
  Line.setExceptionHandling(false);
}

void CommandParser::parse() { Line.parse(Arguments); }

const Command *findCommand(const std::string &Name) {
  for (const Command &Candidate : commands())
    if (Candidate.Name == Name)
      return &Candidate;
  return nullptr;
}

} // namespace mallowglade::detail

#include <mallowglade/detail/cli/parser.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace mallowglade {

namespace {

void printHelp(std::FILE *Stream) {
  fmt::print(Stream, "Usage: mallowglade COMMAND [OPTIONS]\n\nCommands:\n");
  for (const detail::Command &Command : detail::commands())
    fmt::print(Stream, "  {:<20} {}\n", Command.Name, Command.Summary);
  fmt::print(Stream, "\nExamples:\n");
  for (const detail::Command &Command : detail::commands())
    fmt::print(Stream, "  {}\n", Command.Examples.front());
  fmt::print(Stream,
             "\nRun 'mallowglade COMMAND --help' for details of a command.\n");
}

/// Returns the number of words in the command name if the arguments start with
/// all of them, else 0.
std::size_t countMatchingWords(const std::string &Name,
                               const std::vector<std::string> &Arguments) {
  std::istringstream Words(Name);
  std::string Word;
  std::size_t Count = 0;
  while (Words >> Word) {
    if (Count >= Arguments.size() || Arguments[Count] != Word)
      return 0;
    ++Count;
  }
  return Count;
}

ExitCode reportUsage(const detail::Command &Command,
                     const std::string &Detail) {
  fmt::print(stderr,
             "mallowglade {0}: {1}\nRun 'mallowglade {0} --help' for usage.\n",
             Command.Name, Detail);
  return ExitCode::Usage;
}

/// Runs a command and maps TCLAP exceptions and usage errors to exit codes.
ExitCode runCommand(const detail::Command &Command,
                    std::vector<std::string> Arguments) {
  try {
    return Command.Run(std::move(Arguments));
  } catch (const TCLAP::ArgException &Failure) {
    const std::string Argument = Failure.argId();
    const bool NamesArgument = Argument.find("undefined") == std::string::npos;
    return reportUsage(Command, NamesArgument
                                    ? Failure.error() + " (" + Argument + ")"
                                    : Failure.error());
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Usage;
  } catch (const detail::UsageError &Failure) {
    return reportUsage(Command, Failure.Detail);
  }
}

/// Reports an unknown command. If the first word is a group such as
/// `settings`, lists the commands of the group.
void reportUnknownCommand(const std::vector<std::string> &Words) {
  std::vector<std::string> Related;
  for (const detail::Command &Command : detail::commands())
    if (Command.Name.starts_with(Words[0] + " "))
      Related.push_back(Command.Name);
  if (Words[0].starts_with("-")) {
    fmt::print(stderr, "mallowglade: the command must precede its options, as "
                       "in 'mallowglade status --json'\n");
    return;
  }
  if (Related.empty()) {
    fmt::print(
        stderr,
        "mallowglade: unknown command '{}'\nRun 'mallowglade --help' for a "
        "list of commands.\n",
        Words[0]);
    return;
  }
  fmt::print(
      stderr,
      "mallowglade {}: missing or unknown subcommand; expected one of:\n",
      Words[0]);
  for (const std::string &Name : Related)
    fmt::print(stderr, "  mallowglade {}\n", Name);
}

} // namespace

std::string detail::readFile(const std::string &Path, bool &Failed) {
  if (Path == "-") {
    Failed = false;
    std::ostringstream Input;
    Input << std::cin.rdbuf();
    return Input.str();
  }
  std::ifstream File(Path, std::ios::binary);
  Failed = !File;
  std::ostringstream Text;
  if (File)
    Text << File.rdbuf();
  return Text.str();
}

int runCommandLine(int ArgumentCount, char **Arguments) {
  const std::vector<std::string> Words(Arguments + 1,
                                       Arguments + ArgumentCount);
  const bool HelpRequested =
      !Words.empty() && (Words[0] == "--help" || Words[0] == "help");
  if (Words.empty() || HelpRequested) {
    printHelp(HelpRequested ? stdout : stderr);
    return static_cast<int>(HelpRequested ? ExitCode::Ok : ExitCode::Usage);
  }
  for (const detail::Command &Command : detail::commands()) {
    const std::size_t MatchCount = countMatchingWords(Command.Name, Words);
    if (MatchCount == 0)
      continue;
    std::vector<std::string> CommandArguments{"mallowglade " + Command.Name};
    CommandArguments.insert(
        CommandArguments.end(),
        Words.begin() + static_cast<std::ptrdiff_t>(MatchCount), Words.end());
    return static_cast<int>(runCommand(Command, std::move(CommandArguments)));
  }
  reportUnknownCommand(Words);
  return static_cast<int>(ExitCode::Usage);
}

} // namespace mallowglade

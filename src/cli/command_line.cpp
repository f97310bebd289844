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
  fmt::print(Stream, "\n'mallowglade COMMAND --help' explains a command.\n");
}

/// Number of words of the command name that the arguments start with.
std::size_t matchedWords(const std::string &Name,
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
             "mallowglade {0}: {1}\n'mallowglade {0} --help' explains the "
             "arguments.\n",
             Command.Name, Detail);
  return ExitCode::Usage;
}

/// Turns TCLAP's exceptions into exit codes.
ExitCode runGuarded(const detail::Command &Command,
                    std::vector<std::string> Arguments) {
  try {
    return Command.Run(std::move(Arguments));
  } catch (const TCLAP::ArgException &Failure) {
    const std::string Argument = Failure.argId();
    const bool HasArgument = Argument.find("undefined") == std::string::npos;
    return reportUsage(Command, HasArgument
                                    ? Failure.error() + " (" + Argument + ")"
                                    : Failure.error());
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Usage;
  } catch (const detail::UsageError &Failure) {
    return reportUsage(Command, Failure.Detail);
  }
}

/// Names the commands that share the first word, as after `settings`.
void reportUnknownCommand(const std::vector<std::string> &Words) {
  std::vector<std::string> Related;
  for (const detail::Command &Command : detail::commands())
    if (Command.Name.starts_with(Words[0] + " "))
      Related.push_back(Command.Name);
  if (Words[0].starts_with("-")) {
    fmt::print(stderr, "mallowglade: the command comes before its options, as "
                       "in 'mallowglade status --json'\n");
    return;
  }
  if (Related.empty()) {
    fmt::print(stderr,
               "mallowglade: unknown command '{}'\n'mallowglade --help' lists "
               "the commands.\n",
               Words[0]);
    return;
  }
  fmt::print(stderr, "mallowglade {}: a further word is needed:\n", Words[0]);
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
  const bool WantsHelp =
      !Words.empty() && (Words[0] == "--help" || Words[0] == "help");
  if (Words.empty() || WantsHelp) {
    printHelp(WantsHelp ? stdout : stderr);
    return static_cast<int>(WantsHelp ? ExitCode::Ok : ExitCode::Usage);
  }
  for (const detail::Command &Command : detail::commands()) {
    const std::size_t Matched = matchedWords(Command.Name, Words);
    if (Matched == 0)
      continue;
    std::vector<std::string> Rest{"mallowglade " + Command.Name};
    Rest.insert(Rest.end(),
                Words.begin() + static_cast<std::ptrdiff_t>(Matched),
                Words.end());
    return static_cast<int>(runGuarded(Command, std::move(Rest)));
  }
  reportUnknownCommand(Words);
  return static_cast<int>(ExitCode::Usage);
}

} // namespace mallowglade

#include <mallowglade/detail/cli/command.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace mallowglade {

namespace {

void printHelp(std::FILE *Stream) {
  fmt::print(Stream, "Usage: mallowglade COMMAND [OPTIONS]\n\nCommands:\n");
  for (const detail::Command &Command : detail::commands())
    fmt::print(Stream, "  {:<20} {}\n", Command.Name, Command.Summary);
  fmt::print(Stream, "\nExamples:\n");
  for (const detail::Command &Command : detail::commands())
    fmt::print(Stream, "  {}\n", Command.Example);
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

} // namespace

std::string detail::readFile(const std::string &Path, bool &Failed) {
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
    return static_cast<int>(Command.Run(std::move(Rest)));
  }
  fmt::print(stderr, "mallowglade: unknown command '{}'\n\n", Words[0]);
  printHelp(stderr);
  return static_cast<int>(ExitCode::Usage);
}

} // namespace mallowglade

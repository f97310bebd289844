#include <mallowglade/detail/cli/parser.hpp>

#include <fmt/format.h>

#include <map>
#include <sstream>

namespace mallowglade::detail {

namespace {

/// First words and, for each, the words that may follow.
std::map<std::string, std::string> wordsOfCommands() {
  std::map<std::string, std::string> Words;
  for (const Command &Known : commands()) {
    std::istringstream Name(Known.Name);
    std::string First;
    std::string Second;
    Name >> First >> Second;
    std::string &Followers = Words[First];
    if (!Second.empty())
      Followers += Followers.empty() ? Second : " " + Second;
  }
  return Words;
}

} // namespace

ExitCode runCompletionBash(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  Parser.parse();
  std::string FirstWords;
  std::string Cases;
  for (const auto &[First, Followers] : wordsOfCommands()) {
    FirstWords += First + " ";
    if (!Followers.empty())
      Cases += fmt::format("    {}) words=\"{}\" ;;\n", First, Followers);
  }
  fmt::print("_mallowglade() {{\n"
             "  local words=\"\"\n"
             "  if [ \"$COMP_CWORD\" -eq 1 ]; then words=\"{}help\"; fi\n"
             "  if [ \"$COMP_CWORD\" -eq 2 ]; then case \"${{COMP_WORDS[1]}}\" "
             "in\n{}  esac; fi\n"
             "  case \"$2\" in -*) words=\"--help --router --key-file\" ;; "
             "esac\n"
             "  COMPREPLY=($(compgen -W \"$words\" -- \"$2\"))\n"
             "}}\n"
             "complete -o default -F _mallowglade mallowglade\n",
             FirstWords, Cases);
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

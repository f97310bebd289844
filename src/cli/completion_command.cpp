#include <mallowglade/detail/cli/parser.hpp>

#include <fmt/format.h>

#include <map>
#include <sstream>

namespace mallowglade::detail {

namespace {

/// Maps the first word of each command to the second words that may follow it,
/// separated by spaces.
std::map<std::string, std::string> subcommandsByCommand() {
  std::map<std::string, std::string> SubcommandLists;
  for (const Command &Entry : commands()) {
    std::istringstream Name(Entry.Name);
    std::string First;
    std::string Second;
    Name >> First >> Second;
    std::string &Subcommands = SubcommandLists[First];
    if (!Second.empty())
      Subcommands += Subcommands.empty() ? Second : " " + Second;
  }
  return SubcommandLists;
}

} // namespace

ExitCode runCompletionBash(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  Parser.parse();
  std::string CommandWords;
  std::string Cases;
  for (const auto &[First, Subcommands] : subcommandsByCommand()) {
    CommandWords += First + " ";
    if (!Subcommands.empty())
      Cases += fmt::format("    {}) words=\"{}\" ;;\n", First, Subcommands);
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
             CommandWords, Cases);
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

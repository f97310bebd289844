#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

std::string stringMember(const json &Entry, const char *Key) {
  return Entry.contains(Key) && Entry[Key].is_string()
             ? Entry[Key].get<std::string>()
             : std::string();
}

std::string describeOutcome(const json &Entry) {
  if (Entry.value("accepted", false))
    return fmt::format("accepted as version {}", Entry.value("version", 0ULL));
  const json &Rejection = Entry.contains("refused") ? Entry["refused"] : Entry;
  return fmt::format("refused: {} {} {}", stringMember(Rejection, "error_id"),
                     stringMember(Rejection, "path"),
                     stringMember(Rejection, "detail"));
}

void printEntry(const json &Entry) {
  const std::string Author = stringMember(Entry, "who");
  fmt::print("{:>6}  {}  {:<16} {:<16} {:<15} {}\n", Entry.value("entry", 0ULL),
             stringMember(Entry, "when"), Author.empty() ? "(unknown)" : Author,
             stringMember(Entry, "branch"), stringMember(Entry, "from"),
             describeOutcome(Entry));
  if (!Entry.contains("changes") || !Entry["changes"].is_array())
    return;
  for (const json &Change : Entry["changes"])
    fmt::print("        {}: {} -> {}\n", stringMember(Change, "path"),
               Change.value("before", json()).dump(),
               Change.value("after", json()).dump());
}

} // namespace

ExitCode runSettingsLog(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::ValueArg<unsigned> Entries("n", "entries",
                                    "number of latest entries to show", false,
                                    20, "COUNT", Parser.commandLine());
  TCLAP::SwitchArg Json("j", "json", "print one JSON document",
                        Parser.commandLine());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply =
      adminGet(Options, "/admin/settings/log",
               {{"entries", std::to_string(Entries.getValue())}});
  if (reportIfFailed(Reply, Code))
    return Code;
  const json &Body = valueOf(Reply).Body;
  if (Json.getValue()) {
    fmt::print("{}\n", Body.dump(2));
    return ExitCode::Ok;
  }
  for (const json &Entry : Body["entries"])
    printEntry(Entry);
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

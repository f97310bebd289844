#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

std::string textOf(const json &Entry, const char *Key) {
  return Entry.contains(Key) && Entry[Key].is_string()
             ? Entry[Key].get<std::string>()
             : std::string();
}

std::string outcomeOf(const json &Entry) {
  if (Entry.value("accepted", false))
    return fmt::format("accepted as version {}", Entry.value("version", 0ULL));
  const json &Refused = Entry.contains("refused") ? Entry["refused"] : Entry;
  return fmt::format("refused: {} {} {}", textOf(Refused, "error_id"),
                     textOf(Refused, "path"), textOf(Refused, "detail"));
}

void printEntry(const json &Entry) {
  const std::string Who = textOf(Entry, "who");
  fmt::print("{:>6}  {}  {:<16} {:<16} {:<15} {}\n", Entry.value("entry", 0ULL),
             textOf(Entry, "when"), Who.empty() ? "(unknown)" : Who,
             textOf(Entry, "branch"), textOf(Entry, "from"), outcomeOf(Entry));
  if (!Entry.contains("changes") || !Entry["changes"].is_array())
    return;
  for (const json &Change : Entry["changes"])
    fmt::print("        {}: {} -> {}\n", textOf(Change, "path"),
               Change.value("before", json()).dump(),
               Change.value("after", json()).dump());
}

} // namespace

ExitCode runSettingsLog(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::ValueArg<unsigned> Entries("n", "entries", "latest entries to show",
                                    false, 20, "COUNT", Parser.line());
  TCLAP::SwitchArg Json("j", "json", "print one JSON document", Parser.line());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply =
      adminGet(Options, "/admin/settings/log",
               {{"entries", std::to_string(Entries.getValue())}});
  if (failed(Reply, Code))
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

#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

std::string text(const json &Document, const char *Key) {
  if (!Document.contains(Key))
    return "-";
  const json &Value = Document[Key];
  if (Value.is_number_float())
    return fmt::format("{:.2f}", Value.get<double>());
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

bool isTrue(const json &Document, const char *Key) {
  return Document.contains(Key) && Document[Key] == true;
}

void printDecision(const json &Document) {
  const std::string Decision = text(Document, "decision");
  if (Decision == "send")
    fmt::print("decision  send to {} in {}{}\n", text(Document, "upstream"),
               text(Document, "upstream_zone"),
               isTrue(Document, "prefix_cached") ? ", prefix cached" : "");
  else if (text(Document, "rule") == "others_wait")
    fmt::print(
        "decision  join {} waiting requests, {} of which go first; it may "
        "be sent at once from there\n",
        text(Document, "waiting"), text(Document, "ahead"));
  else if (Decision == "wait")
    fmt::print("decision  wait, {} of {} waiting requests go first\n",
               text(Document, "ahead"), text(Document, "waiting"));
  else if (Document.contains("retry_after_ms"))
    fmt::print("decision  refuse, come back after {} ms\n",
               text(Document, "retry_after_ms"));
  else
    fmt::print("decision  refuse with status {}\n", text(Document, "status"));
  fmt::print("rule      {}{}\n", text(Document, "rule"),
             isTrue(Document, "drawn") ? ", by a random draw" : "");
}

void printRequest(const json &Document) {
  fmt::print("router    {} in {}, configuration {}\n", text(Document, "router"),
             text(Document, "zone"), text(Document, "configuration"));
  fmt::print("route     {}, service {}\n", text(Document, "route"),
             text(Document, "service"));
  if (Document.contains("share_fill"))
    fmt::print("share     {} used{}\n", text(Document, "share_fill"),
               isTrue(Document, "over_share") ? ", above the share" : "");
  if (Document.contains("prefix"))
    fmt::print("prefix    {}\n", text(Document, "prefix"));
  if (Document.contains("leaving_share"))
    fmt::print("leaving   {} of the requests leave the zone\n",
               text(Document, "leaving_share"));
}

void printCandidates(const json &Document) {
  const json Candidates = Document.value("candidates", json::array());
  if (Candidates.empty())
    return;
  fmt::print("\n  {:<24} {:<12} {:<14} {:<21} {:>4} {:>6} {:>9} {:>17} {:>17} "
             "{:>5} {}\n",
             "UPSTREAM", "ZONE", "STATE", "CAPACITY", "RANK", "SCORE",
             "RUNNING", "WORK", "UNREAD", "SPEED", "COLD");
  const auto Part = [](const json &Entry, const char *Used, const char *Limit) {
    return text(Entry, Used) + "/" + text(Entry, Limit);
  };
  for (const json &Entry : Candidates)
    fmt::print(
        "  {:<24} {:<12} {:<14} {:<21} {:>4} {:>6} {:>9} {:>17} {:>17} "
        "{:>5} {}\n",
        text(Entry, "upstream"), text(Entry, "zone"), text(Entry, "state"),
        text(Entry, "capacity"), text(Entry, "rank"), text(Entry, "score"),
        Part(Entry, "running", "slots"), Part(Entry, "work", "work_limit"),
        Part(Entry, "unread", "unread_limit"), text(Entry, "speed"),
        isTrue(Entry, "cold") ? "yes" : "no");
  const std::string Omitted = text(Document, "candidates_omitted");
  if (Omitted != "0")
    fmt::print("  and {} more\n", Omitted);
}

} // namespace

ExitCode runExplain(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  const RouterOption Router(Parser);
  TCLAP::ValueArg<std::string> Host("", "host", "host that the caller names",
                                    true, "", "HOST", Parser.commandLine());
  TCLAP::ValueArg<std::string> Path("", "path", "path of the request", true, "",
                                    "PATH", Parser.commandLine());
  TCLAP::ValueArg<std::string> Workspace(
      "w", "workspace", "workspace of the caller; none for a public route",
      false, "", "NAME", Parser.commandLine());
  TCLAP::ValueArg<unsigned> Prompt("", "prompt", "tokens of the prompt", false,
                                   0, "TOKENS", Parser.commandLine());
  TCLAP::ValueArg<unsigned> Output("", "output", "expected tokens of output",
                                   false, 0, "TOKENS", Parser.commandLine());
  TCLAP::ValueArg<std::string> Parts(
      "", "parts", "parts of the prompt, HASH:TOKENS,... with hexadecimal HASH",
      false, "", "PARTS", Parser.commandLine());
  TCLAP::SwitchArg Json("j", "json", "print one JSON document",
                        Parser.commandLine());
  Parser.parse();
  AdminQuery Query{{"host", Host.getValue()}, {"path", Path.getValue()}};
  if (Workspace.isSet())
    Query["workspace"] = Workspace.getValue();
  if (Prompt.isSet())
    Query["prompt"] = std::to_string(Prompt.getValue());
  if (Output.isSet())
    Query["output"] = std::to_string(Output.getValue());
  if (Parts.isSet())
    Query["parts"] = Parts.getValue();
  const std::string Address = Router.router();
  const auto Reply = requestWithoutKey(Address, "/explain", Query);
  ExitCode Code = ExitCode::Ok;
  if (reportIfFailed(Reply, Code))
    return Code;
  const json &Document = valueOf(Reply).Body;
  if (!Document.is_object())
    return reportFailure({ErrorId::InvalidMessage,
                          "the reply is no explanation; use the address that "
                          "serves the router's metrics",
                          Address});
  if (Json.getValue()) {
    fmt::print("{}\n", Document.dump(2));
    return ExitCode::Ok;
  }
  printDecision(Document);
  printRequest(Document);
  printCandidates(Document);
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

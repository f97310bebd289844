#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

std::string formatValue(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printQuarantine(const json &Records) {
  if (!Records.is_array() || Records.empty()) {
    fmt::print("no quarantined requests\n");
    return;
  }
  for (const json &Record : Records) {
    for (const auto &[Name, Value] : Record.items())
      fmt::print("{}={} ", Name, formatValue(Value));
    fmt::print("\n");
  }
}

} // namespace

ExitCode runDrain(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  if (reportIfFailed(adminPost(Options, "/admin/drain", json::object()), Code))
    return Code;
  fmt::print("{} is shutting down; requests in progress will complete first\n",
             Options.router());
  return ExitCode::Ok;
}

ExitCode runQuarantineList(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply = adminGet(Options, "/admin/quarantine");
  if (reportIfFailed(Reply, Code))
    return Code;
  const json &Body = valueOf(Reply).Body;
  printQuarantine(Body.is_object() ? Body.value("quarantine", json::array())
                                   : Body);
  return ExitCode::Ok;
}

ExitCode runQuarantineRelease(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::UnlabeledValueArg<std::string> Fingerprint(
      "fingerprint", "fingerprint from 'quarantine list'", true, "",
      "FINGERPRINT", Parser.commandLine());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply = adminPost(Options, "/admin/quarantine/release",
                               {{"fingerprint", Fingerprint.getValue()}});
  if (reportIfFailed(Reply, Code))
    return Code;
  fmt::print("{} is released\n", Fingerprint.getValue());
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

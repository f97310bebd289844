#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

std::string valueText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printRecords(const json &Records) {
  if (!Records.is_array() || Records.empty()) {
    fmt::print("nothing is quarantined\n");
    return;
  }
  for (const json &Record : Records) {
    for (const auto &[Name, Value] : Record.items())
      fmt::print("{}={} ", Name, valueText(Value));
    fmt::print("\n");
  }
}

} // namespace

ExitCode runDrain(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  if (failed(adminPost(Options, "/admin/drain", json::object()), Code))
    return Code;
  fmt::print("{} is being stopped; requests in progress are finished first\n",
             Options.router());
  return ExitCode::Ok;
}

ExitCode runQuarantineList(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply = adminGet(Options, "/admin/quarantine");
  if (failed(Reply, Code))
    return Code;
  const json &Body = valueOf(Reply).Body;
  printRecords(Body.is_object() ? Body.value("quarantine", json::array())
                                : Body);
  return ExitCode::Ok;
}

ExitCode runQuarantineRelease(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::UnlabeledValueArg<std::string> Print(
      "fingerprint", "fingerprint from 'quarantine list'", true, "",
      "FINGERPRINT", Parser.line());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply =
      adminPost(Options, "/admin/quarantine", {{"release", Print.getValue()}});
  if (failed(Reply, Code))
    return Code;
  fmt::print("{} is released\n", Print.getValue());
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

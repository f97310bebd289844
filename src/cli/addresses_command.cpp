#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

ExitCode runAddresses(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply = adminGet(Options, "/v1/addresses");
  if (reportIfFailed(Reply, Code))
    return Code;
  const nlohmann::json &Document = valueOf(Reply).Body;
  for (const auto &Address :
       Document.value("addresses", nlohmann::json::array()))
    fmt::print("{}\n", Address.get<std::string>());
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

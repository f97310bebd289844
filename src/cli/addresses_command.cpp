#include <mallowglade/detail/cli/command.hpp>

#include <mallowglade/detail/platform/http_call.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

namespace mallowglade::detail {

namespace {

constexpr Milliseconds CallTimeout{3'000};

} // namespace

ExitCode runAddresses(std::vector<std::string> Arguments) {
  TCLAP::CmdLine Line("Lists the routers that accept requests.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> Router("r", "router", "any router, ip:port",
                                      true, "", "ADDRESS", Line);
  Line.parse(Arguments);
  const Result<std::string> Reply =
      callHttp({Router.getValue(), "GET", "/v1/addresses", "", CallTimeout});
  if (!isOk(Reply)) {
    fmt::print(stderr, "mallowglade: {}\n", toString(errorOf(Reply)));
    return ExitCode::Unreachable;
  }
  const auto Document = nlohmann::json::parse(valueOf(Reply), nullptr, false);
  for (const auto &Address :
       Document.value("addresses", nlohmann::json::array()))
    fmt::print("{}\n", Address.get<std::string>());
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

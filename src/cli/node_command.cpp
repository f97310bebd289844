#include <mallowglade/detail/cli/command.hpp>
#include <mallowglade/detail/cli/parser.hpp>

#include <mallowglade/dataplane.hpp>

#include "../../platform/store.hpp"
#include "../../platform/wire.hpp"

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fmt/format.h>

#include <signal.h>

#include <cstdlib>

namespace mallowglade::detail {

namespace {

std::unique_ptr<dataplane::FleetStore>
makeStore(asio::io_context &Context, const dataplane::NodeSettings &Settings) {
  static const SystemClock Clock;
  const HostPort Address = splitAddress(Settings.StoreAddress);
  return std::make_unique<platform::PlatformStore>(
      Context,
      asio::ip::tcp::endpoint(asio::ip::make_address(Address.Host),
                              Address.Port),
      Clock, Settings.StoreHistory);
}

} // namespace

ExitCode runNodeCommand(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  const char *DefaultPath = std::getenv(platform::SettingsVariable);
  const char *Patch = std::getenv(platform::SettingsPatchVariable);
  TCLAP::ValueArg<std::string> File(
      "s", "settings", "settings file (JSON)", false,
      DefaultPath != nullptr ? DefaultPath : "", "FILE", Parser.commandLine());
  Parser.parse();
  bool Failed = false;
  const std::string Text = readFile(File.getValue(), Failed);
  if (Failed) {
    fmt::print(stderr, "mallowglade: cannot read {}\n", File.getValue());
    return ExitCode::Failed;
  }
  const dataplane::SettingsSource Source{File.getValue(),
                                         Patch != nullptr ? Patch : ""};
  const auto Settings = dataplane::parseNodeSettings(Text, Source.Patch);
  if (!isOk(Settings)) {
    fmt::print(stderr, "mallowglade: {}\n", toString(errorOf(Settings)));
    return ExitCode::Failed;
  }
  signal(SIGPIPE, SIG_IGN);
  const platform::PlatformWire Wire;
  const Result<Success> Outcome =
      dataplane::runNode(valueOf(Settings), Source, Wire, makeStore);
  if (isOk(Outcome))
    return ExitCode::Ok;
  fmt::print(stderr, "mallowglade: {}\n", toString(errorOf(Outcome)));
  return ExitCode::Failed;
}

} // namespace mallowglade::detail

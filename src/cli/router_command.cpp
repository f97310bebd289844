#include <mallowglade/detail/cli/parser.hpp>

#include <mallowglade/router.hpp>

#include <fmt/format.h>

#include <pthread.h>
#include <signal.h>

#include <thread>

namespace mallowglade::detail {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Turns each stop signal into a stop request; the process ends with main.
void watchSignals(RouterApp &App) {
  std::thread([&App] {
    const sigset_t Signals = stopSignals();
    int Signal = 0;
    while (sigwait(&Signals, &Signal) == 0)
      App.requestStop();
  }).detach();
}

ExitCode serve(InstanceSettings Settings) {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  RouterApp App(std::move(Settings));
  const Result<Success> Started = App.start();
  if (!isOk(Started)) {
    fmt::print(stderr, "mallowglade: {}\n", toString(errorOf(Started)));
    return ExitCode::Failed;
  }
  watchSignals(App);
  App.waitUntilStopped();
  return ExitCode::Ok;
}

} // namespace

ExitCode runRouter(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  TCLAP::ValueArg<std::string> File("s", "settings", "settings file (JSON)",
                                    true, "", "FILE", Parser.line());
  Parser.parse();
  bool Failed = false;
  const std::string Text = readFile(File.getValue(), Failed);
  if (Failed) {
    fmt::print(stderr, "mallowglade: cannot read '{}'\n", File.getValue());
    return ExitCode::Failed;
  }
  Result<InstanceSettings> Settings = parseInstanceSettings(Text);
  if (!isOk(Settings)) {
    fmt::print(stderr, "{}: {}\n", File.getValue(),
               toString(errorOf(Settings)));
    return ExitCode::InvalidSettings;
  }
  return serve(std::move(valueOf(Settings)));
}

} // namespace mallowglade::detail

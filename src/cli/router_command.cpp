#include <mallowglade/detail/cli/instance_file.hpp>
#include <mallowglade/detail/cli/parser.hpp>

#include <mallowglade/router.hpp>

#include <fmt/format.h>

#include <pthread.h>
#include <signal.h>

#include <memory>
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

/// Starts a thread that asks the router to stop on each SIGTERM or SIGINT. The
/// thread is detached and holds a weak reference, so that it neither delays
/// the exit of the process nor keeps the router alive.
void startSignalThread(const std::shared_ptr<RouterApp> &App) {
  std::thread([WeakApp = std::weak_ptr(App)] {
    const sigset_t Signals = stopSignals();
    int Signal = 0;
    while (sigwait(&Signals, &Signal) == 0)
      if (const auto Running = WeakApp.lock())
        Running->requestStop();
  }).detach();
}

ExitCode runUntilStopped(InstanceSettings Settings) {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  const auto App = std::make_shared<RouterApp>(std::move(Settings));
  const Result<Success> Started = App->start();
  if (!isOk(Started)) {
    fmt::print(stderr, "mallowglade: {}\n", toString(errorOf(Started)));
    return ExitCode::Failed;
  }
  startSignalThread(App);
  App->waitUntilStopped();
  return ExitCode::Ok;
}

} // namespace

ExitCode runRouter(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  TCLAP::ValueArg<std::string> File("s", "settings", "settings file (JSON)",
                                    true, "", "FILE", Parser.commandLine());
  Parser.parse();
  InstanceSettings Settings;
  const ExitCode Code = loadInstanceSettings(File.getValue(), Settings);
  if (Code != ExitCode::Ok)
    return Code;
  return runUntilStopped(std::move(Settings));
}

} // namespace mallowglade::detail

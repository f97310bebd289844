#include <mallowglade/detail/dataplane/node.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <time.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace mallowglade::dataplane {

namespace {

/// Bound on the log under load, in lines a second.
constexpr double LogLinesPerSecond = 60;
/// Time during which a stopping router still takes requests, for callers that
/// have not asked for addresses again.
constexpr Milliseconds AcceptAfterStop{2'700};
/// Time during which it still takes streams, which last longer.
constexpr Milliseconds AcceptStreamsAfterStop{1'200};
/// Time kept back from the grace period for ending the process.
constexpr Milliseconds StopMargin{700};
constexpr Milliseconds DrainCheckPeriod{100};

/// Counts suspended time as well, unlike the steady clock.
class BootTimeClock final : public Clock {
public:
  TimePoint now() const override {
    timespec Reading{};
    clock_gettime(CLOCK_BOOTTIME, &Reading);
    return TimePoint(std::chrono::seconds(Reading.tv_sec) +
                     std::chrono::nanoseconds(Reading.tv_nsec));
  }
  WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// The two threads of a router and what they share.
class Node final : public TrafficLink {
public:
  Node(const NodeSettings &Settings, std::string SettingsFile,
       const WireProtocol &Wire, const StoreFactory &MakeStore)
      : Settings(Settings), SettingsFile(std::move(SettingsFile)),
        ControlRandom(systemSeed()), TrafficRandom(systemSeed()),
        Log(STDOUT_FILENO, LogLinesPerSecond, Time),
        Store(MakeStore(ControlContext, Settings)),
        Proxy(TrafficContext, Settings, Wire, Time, TrafficRandom, Log),
        State(ControlContext, Settings, Wire, *Store, *this, Time,
              ControlRandom, Log),
        Signals(ControlContext, SIGTERM, SIGINT, SIGHUP),
        StopTimer(ControlContext) {}

  Result<Success> run() {
    std::error_code Error = Proxy.start();
    if (!Error)
      Error = State.start();
    if (Error)
      return mallowglade::Error{ErrorId::InvalidAddress, Error.message(), {}};
    waitForSignal();
    Log.write("start", {{"router", Settings.Name},
                        {"listen", Settings.CallerListen},
                        {"zone", Settings.Zone.Value}});
    Log.flush();
    std::thread ControlLoop([this] { ControlContext.run(); });
    TrafficContext.run();
    ControlLoop.join();
    Log.write("stop", {{"router", Settings.Name}});
    Log.flush();
    return Success{};
  }

  void onTraffic(std::function<void(Traffic &)> Task) override {
    asio::post(TrafficContext, [this, Work = std::move(Task)] { Work(Proxy); });
  }

private:
  void waitForSignal() {
    Signals.async_wait([this](std::error_code Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP)
        reload();
      else if (Stopping)
        finish();
      else
        beginStop();
      waitForSignal();
    });
  }

  void reload() {
    std::ifstream File(SettingsFile);
    std::ostringstream Text;
    Text << File.rdbuf();
    const Result<NodeSettings> Read = parseNodeSettings(Text.str());
    // Addresses and limits stay as they were until the process starts again.
    Log.write("reload", {{"outcome", isOk(Read) ? std::string("accepted")
                                                : toString(errorOf(Read))}});
  }

  void beginStop() {
    Stopping = true;
    Log.write("stop_begins", {{"router", Settings.Name}});
    State.leave();
    onTraffic([](Traffic &Target) { Target.drain(); });
    EndAt = Time.now() + Settings.StopGrace - StopMargin;
    after(AcceptStreamsAfterStop, [this] {
      onTraffic([](Traffic &Target) { Target.refuseStreams(); });
      after(AcceptAfterStop - AcceptStreamsAfterStop, [this] {
        onTraffic([](Traffic &Target) { Target.refuseNew(); });
        checkDrained();
      });
    });
  }

  void checkDrained() {
    onTraffic([this](Traffic &Target) {
      const bool Idle = Target.busyConnections() == 0;
      asio::post(ControlContext, [this, Idle] {
        if (Idle || Time.now() >= EndAt) {
          finish();
          return;
        }
        after(DrainCheckPeriod, [this] { checkDrained(); });
      });
    });
  }

  void after(Milliseconds Delay, std::function<void()> Task) {
    StopTimer.expires_after(Delay);
    StopTimer.async_wait([Work = std::move(Task)](std::error_code Error) {
      if (!Error)
        Work();
    });
  }

  void finish() {
    TrafficContext.stop();
    ControlContext.stop();
  }

  const NodeSettings &Settings;
  std::string SettingsFile;
  BootTimeClock Time;
  SeededRandom ControlRandom;
  SeededRandom TrafficRandom;
  EventLog Log;
  asio::io_context ControlContext{1};
  asio::io_context TrafficContext{1};
  std::unique_ptr<FleetStore> Store;
  Traffic Proxy;
  Control State;
  asio::signal_set Signals;
  asio::steady_timer StopTimer;
  TimePoint EndAt{};
  bool Stopping = false;
};

} // namespace

Result<Success> runNode(const NodeSettings &Settings,
                        const std::string &SettingsFile,
                        const WireProtocol &Wire,
                        const StoreFactory &MakeStore) {
  Node Running(Settings, SettingsFile, Wire, MakeStore);
  return Running.run();
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/node.hpp>

#include <mallowglade/detail/core/fatal_signal.hpp>

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

/// Sustained rate above which log lines are dropped.
constexpr double MaxLogLinesPerSecond = 60;
/// Time from the start of a shutdown during which requests are still accepted,
/// for callers that have not looked up the router addresses again.
constexpr Milliseconds AcceptRequestsFor{2'700};
/// Time from the start of a shutdown during which requests for streams are
/// still accepted; shorter, because streams take longer to complete.
constexpr Milliseconds AcceptStreamsFor{1'200};
/// Part of the stop grace period that is reserved for exiting the process.
constexpr Milliseconds ExitMargin{700};
constexpr Milliseconds DrainCheckPeriod{100};
/// Time from closing the listening socket to the end of the process, for
/// requests that are on their way on the last connections.
constexpr Milliseconds LastRequestsTime{300};

/// Clock that, unlike the steady clock, also advances while the system is
/// suspended.
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

/// Owns the control thread and the traffic thread of a router and the state
/// that they share.
class Node final : public TrafficTaskQueue {
public:
  Node(const NodeSettings &Settings, SettingsSource Source,
       const WireProtocol &Wire, const StoreFactory &MakeStore)
      : Settings(Settings), Source(std::move(Source)),
        ControlRandom(systemSeed()), TrafficRandom(systemSeed()),
        Log(STDOUT_FILENO, MaxLogLinesPerSecond, Time),
        Store(MakeStore(ControlContext, Settings)),
        Proxy(TrafficContext, Settings, Wire, Time, TrafficRandom, Log),
        Controller(ControlContext, Settings, Wire, *Store, *this, Time,
                   ControlRandom, Log),
        Signals(ControlContext, SIGTERM, SIGINT, SIGHUP),
        ShutdownTimer(ControlContext) {}

  Result<Success> run() {
    std::error_code Error = Proxy.start();
    if (!Error)
      Error = Controller.start();
    if (Error)
      return mallowglade::Error{ErrorId::InvalidAddress, Error.message(), {}};
    waitForSignal();
    Log.write("start", {{"router", Settings.Name},
                        {"listen", Settings.CallerListen},
                        {"zone", Settings.Zone.Value}});
    Log.flush();
    std::thread ControlThread([this] {
      const FatalSignalReport Report("control");
      ControlContext.run();
    });
    const FatalSignalReport Report("traffic");
    TrafficContext.run();
    ControlThread.join();
    Log.write("stop", {{"router", Settings.Name}});
    Log.flush();
    return Success{};
  }

  void postToTraffic(std::function<void(Traffic &)> Task) override {
    asio::post(TrafficContext, [this, Work = std::move(Task)] { Work(Proxy); });
  }

private:
  void waitForSignal() {
    Signals.async_wait([this](std::error_code Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP)
        reload();
      else if (!ShuttingDown)
        beginShutdown();
      // A platform may repeat SIGTERM; the grace period stays as it is.
      else if (Signal == SIGINT)
        stopEventLoops();
      waitForSignal();
    });
  }

  void reload() {
    std::ifstream File(Source.File);
    std::ostringstream Text;
    Text << File.rdbuf();
    const Result<NodeSettings> Read =
        parseNodeSettings(Text.str(), Source.Patch);
    // The file is only checked; new settings take effect when the process is
    // restarted.
    Log.write("reload", {{"outcome", isOk(Read) ? std::string("accepted")
                                                : toString(errorOf(Read))}});
  }

  void beginShutdown() {
    ShuttingDown = true;
    Log.write("stop_begins", {{"router", Settings.Name}});
    Controller.startDraining();
    postToTraffic([](Traffic &Target) { Target.drain(); });
    ShutdownDeadline = Time.now() + Settings.StopGrace - ExitMargin;
    runAfter(AcceptStreamsFor, [this] {
      postToTraffic([](Traffic &Target) { Target.refuseNewStreams(); });
      runAfter(AcceptRequestsFor - AcceptStreamsFor, [this] {
        postToTraffic([](Traffic &Target) { Target.refuseNewRequests(); });
        checkDrained();
      });
    });
  }

  /// Waits until all requests are answered, then ends listening.
  void checkDrained() {
    postToTraffic([this](Traffic &Target) {
      const bool Idle = Target.busyConnections() == 0;
      asio::post(ControlContext, [this, Idle] {
        const TimePoint LatestEnd = ShutdownDeadline - LastRequestsTime;
        if (!Idle && Time.now() < LatestEnd) {
          runAfter(DrainCheckPeriod, [this] { checkDrained(); });
          return;
        }
        postToTraffic([](Traffic &Last) { Last.endListening(); });
        runAfter(LastRequestsTime, [this] { checkLastRequests(); });
      });
    });
  }

  /// Waits for the requests on the connections that were accepted last.
  void checkLastRequests() {
    postToTraffic([this](Traffic &Target) {
      Target.closeIdleConnections();
      const bool Idle = Target.busyConnections() == 0;
      asio::post(ControlContext, [this, Idle] {
        if (Idle || Time.now() >= ShutdownDeadline)
          stopEventLoops();
        else
          runAfter(DrainCheckPeriod, [this] { checkLastRequests(); });
      });
    });
  }

  void runAfter(Milliseconds Delay, std::function<void()> Task) {
    ShutdownTimer.expires_after(Delay);
    ShutdownTimer.async_wait([Work = std::move(Task)](std::error_code Error) {
      if (!Error)
        Work();
    });
  }

  void stopEventLoops() {
    TrafficContext.stop();
    ControlContext.stop();
  }

  const NodeSettings &Settings;
  SettingsSource Source;
  BootTimeClock Time;
  SeededRandom ControlRandom;
  SeededRandom TrafficRandom;
  EventLog Log;
  asio::io_context ControlContext{1};
  asio::io_context TrafficContext{1};
  std::unique_ptr<FleetStore> Store;
  Traffic Proxy;
  Control Controller;
  asio::signal_set Signals;
  asio::steady_timer ShutdownTimer;
  TimePoint ShutdownDeadline{};
  bool ShuttingDown = false;
};

} // namespace

Result<Success> runNode(const NodeSettings &Settings,
                        const SettingsSource &Source, const WireProtocol &Wire,
                        const StoreFactory &MakeStore) {
  Node Router(Settings, Source, Wire, MakeStore);
  return Router.run();
}

} // namespace mallowglade::dataplane

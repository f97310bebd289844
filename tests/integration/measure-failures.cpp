#include <bookings.hpp>
#include <load.hpp>
#include <measure.hpp>

#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

namespace fleet {

namespace {

constexpr int RouterCount = 3;
constexpr int EngineCount = 5;
constexpr int ServiceCount = 2;
constexpr int GapLimitMs = 1'000;
constexpr Milliseconds WarmUp{1'000};
constexpr unsigned LoadSeed = 7;

json settings() {
  json Tree = makeTree({{"line-plan", 2}, {"quote", 1}, {"booking", 1}});
  Tree["platform"]["pools"]["models"]["gap_limit_ms"] = GapLimitMs;
  Tree["platform"]["pools"]["desk"]["answer_limit_ms"] = GapLimitMs;
  return {{"seed_tree", Tree}};
}

/// A fleet behind one proxy, under a mixed load while a failure happens.
class FailureRun {
public:
  FailureRun() {
    std::map<std::string, std::string> Targets;
    for (int I = 1; I <= EngineCount; ++I)
      Engines.push_back(&Run.addEngine(fmt::format("engine-{}", I),
                                       {{"ms_per_token", 10}, {"slots", 32}}));
    for (int I = 1; I <= ServiceCount; ++I)
      Services.push_back(&Run.addService(fmt::format("desk-{}", I)));
    for (const Node *Engine : Engines)
      Targets[Engine->Name] = Engine->Address;
    for (const Node *Service : Services)
      Targets[Service->Name] = Service->Address;
    Proxy = &Run.addProxy(Targets);
    for (const auto &[Name, Target] : Targets)
      Run.list(Name, {{"name", Name},
                      {"pool", Name.starts_with("desk") ? "desk" : "models"},
                      {"address", proxyAddress(*Proxy, Name)}});
    startRouters();
  }

  /// @return true if no invariant was broken
  bool measure(const std::string &Name, Milliseconds Length,
               const std::function<void(FailureRun &)> &Fail) {
    Load Streams(Addresses, LoadSeed);
    Streams.add({"line-plan", 2, 6, 60, 120, {}, {0, 1, 2}, false});
    Streams.add({"quote", 1, 6, 5, 15, Milliseconds(20), {0, 1, 2}, false});
    Bookings Orders(Addresses, "booking");
    Orders.start(6, Milliseconds(30));
    std::this_thread::sleep_for(WarmUp);
    Fail(*this);
    std::this_thread::sleep_for(Length);
    Orders.stop();
    Streams.stop();
    return print(Name, Streams, Orders.report(Services));
  }

  Node &engine(std::size_t Index) { return *Engines[Index]; }
  Node &router(std::size_t Index) { return *Run.routers()[Index]; }
  void setPlatform(const std::string &Mode) {
    post(Run.platform().Address, "/control", {{"mode", Mode}});
  }
  void setAll(const std::string &Prefix, const json &Fault) {
    const json Routes = get(Proxy->Address, "/routes").document();
    for (const auto &[Name, Route] : Routes.items())
      if (Name.starts_with(Prefix))
        setFault(*Proxy, Name, Fault);
  }
  void sendPoison() {
    const json Body = chatBody("CRASH the engine", 5, true);
    for (const std::string &Router : Addresses)
      for (int I = 0; I < 2; ++I)
        send(chatCall(Router, "quote", Body));
  }

private:
  void startRouters() {
    for (int I = 0; I < RouterCount; ++I)
      Run.startRouter(settings());
    for (const Node *Router : Run.routers()) {
      Run.waitReady(*Router);
      Addresses.push_back(Router->Address);
    }
    if (!Run.waitForMembers(RouterCount))
      throw std::runtime_error("the routers do not find each other");
  }

  int crashedEngines() {
    int Count = 0;
    for (Node *Engine : Engines)
      Count += Engine->Runs->ended() ? 1 : 0;
    return Count;
  }

  bool print(const std::string &Name, const Load &Streams,
             const BookingReport &Orders) {
    long Stall = 0;
    for (const auto &[Workspace, Seen] : Streams.all())
      Stall = std::max(Stall, Seen->LongestStallMs.load());
    const long Wrong = Streams.sum(&LoadCounters::Wrong) + Orders.Wrong;
    const json Line{
        {"failure", Name},
        {"requests", Streams.sum(&LoadCounters::Requests) + Orders.Requests},
        {"answered", Streams.sum(&LoadCounters::Answered) + Orders.Answered},
        {"not_run", Streams.sum(&LoadCounters::NotRun) + Orders.NotRun},
        {"unknown", Streams.sum(&LoadCounters::Unknown) + Orders.Unknown},
        {"wrong_answers", Wrong},
        {"double_runs", Orders.DoubleRuns},
        {"false_not_run", Orders.FalseNotRun},
        {"upstreams_crashed", crashedEngines()},
        {"longest_stall_s", Stall / 1000.0}};
    fmt::print("{}\n", Line.dump());
    std::fflush(stdout);
    return Wrong + Orders.DoubleRuns + Orders.FalseNotRun == 0;
  }

  Fleet Run;
  std::vector<Node *> Engines;
  std::vector<Node *> Services;
  Node *Proxy = nullptr;
  std::vector<std::string> Addresses;
};

struct FailureCase {
  std::string Name;
  Milliseconds Length;
  std::function<void(FailureRun &)> Fail;
};

std::vector<FailureCase> failureCases() {
  return {{"none", Milliseconds(2'000), [](FailureRun &) {}},
          {"engine_killed", Milliseconds(3'000),
           [](FailureRun &Run) { Run.engine(0).Runs->kill(); }},
          {"connections_silent", Milliseconds(4'000),
           [](FailureRun &Run) {
             Run.setAll("", {{"silence", true}});
           }},
          {"replies_lost", Milliseconds(2'000),
           [](FailureRun &Run) {
             Run.setAll("desk", {{"lose_replies", true}});
           }},
          {"key_value_down", Milliseconds(4'000),
           [](FailureRun &Run) { Run.setPlatform("down"); }},
          {"key_value_replies_lost", Milliseconds(3'000),
           [](FailureRun &Run) { Run.setPlatform("lose_replies"); }},
          {"poison_request", Milliseconds(3'000),
           [](FailureRun &Run) { Run.sendPoison(); }},
          {"router_killed", Milliseconds(8'000),
           [](FailureRun &Run) { Run.router(0).Runs->kill(); }},
          {"router_paused", Milliseconds(2'000), [](FailureRun &Run) {
             // Longer than the lease and the failure detection.
             constexpr Milliseconds Pause{12'000};
             Run.router(1).Runs->signal(SIGSTOP);
             std::this_thread::sleep_for(Pause);
             Run.router(1).Runs->signal(SIGCONT);
           }}};
}

} // namespace

int measureFailures() {
  const std::vector<FailureCase> Cases = failureCases();
  std::atomic<std::size_t> Next{0};
  std::atomic<bool> Kept{true};
  const auto Measure = [&] {
    for (std::size_t I = Next++; I < Cases.size(); I = Next++) {
      FailureRun Run;
      const FailureCase &Case = Cases[I];
      if (!Run.measure(Case.Name, Case.Length, Case.Fail))
        Kept = false;
    }
  };
  // Each case has a fleet of its own, so that several can run side by side.
  constexpr int SideBySide = 3;
  std::vector<std::jthread> Threads;
  Threads.reserve(SideBySide);
  for (int I = 0; I < SideBySide; ++I)
    Threads.emplace_back(Measure);
  Threads.clear();
  return Kept ? 0 : 1;
}

} // namespace fleet

#include <load.hpp>
#include <measure.hpp>

#include <fmt/format.h>

namespace fleet {

namespace {

constexpr int RouterCount = 3;
constexpr int EngineCount = 2;
constexpr int Slots = 4;
constexpr Milliseconds Window{5'000};
constexpr Milliseconds WarmUp{1'000};
constexpr Milliseconds SamplePeriod{100};
constexpr unsigned LoadSeed = 1;

struct Nodes {
  std::vector<Node *> Engines;
  std::vector<std::string> Routers;
};

Nodes startNodes(Fleet &Run) {
  Nodes Started;
  for (int I = 1; I <= EngineCount; ++I)
    Started.Engines.push_back(&Run.addEngine(
        fmt::format("engine-{}", I),
        {{"ms_per_token", 20}, {"batch", Slots}, {"slots", Slots}}));
  json Tree = makeTree({{"line-plan", 2}, {"board-update", 1}});
  Tree["platform"]["pools"]["models"]["initial_in_flight"] = Slots;
  for (int I = 0; I < RouterCount; ++I)
    Run.startRouter({{"seed_tree", Tree}});
  for (const Node *Router : Run.routers()) {
    Run.waitReady(*Router);
    Started.Routers.push_back(Router->Address);
    fmt::print("router {}\n", Router->Address);
  }
  if (!Run.waitForMembers(RouterCount))
    throw std::runtime_error("the routers do not find each other");
  return Started;
}

void printAnswers(const Nodes &Started) {
  for (const std::string Workspace : {"line-plan", "board-update"}) {
    const Reply Answer =
        send(chatCall(Started.Routers.front(), Workspace,
                      chatBody("first request of " + Workspace, 5, false)));
    fmt::print("{}: {} {}\n", Workspace, Answer.Status, Answer.Body);
  }
}

double busySlotMillis(const Nodes &Started) {
  double Sum = 0;
  for (const Node *Engine : Started.Engines)
    Sum += get(Engine->Control, "/control/load")
               .document()["busy_slot_ms"]
               .get<double>();
  return Sum;
}

double controlBytes(const Nodes &Started) {
  double Sum = 0;
  for (const std::string &Router : Started.Routers)
    Sum +=
        metricSum(Router, "mallowglade_peer_bytes_total{direction=\"sent\"}");
  return Sum;
}

} // namespace

int runQuickstart() {
  Fleet Run;
  const Nodes Started = startNodes(Run);
  printAnswers(Started);
  Load Clients(Started.Routers, LoadSeed);
  Clients.add({"line-plan", 2, 12, 20, 40, {}, {0, 1}, true});
  Clients.add({"board-update", 1, 12, 20, 40, {}, {2}, true});
  std::this_thread::sleep_for(WarmUp);
  const double Busy = busySlotMillis(Started);
  const double Bytes = controlBytes(Started);
  const auto Start = std::chrono::steady_clock::now();
  std::vector<ServiceSample> Samples;
  while (std::chrono::steady_clock::now() - Start < Window) {
    Samples.push_back(Clients.sample());
    std::this_thread::sleep_for(SamplePeriod);
  }
  const std::chrono::duration<double> Passed =
      std::chrono::steady_clock::now() - Start;
  const double Capacity = Passed.count() * 1000 * EngineCount * Slots;
  fmt::print("fairness gap: {:.0f} service units per share\n",
             fairnessGap(Samples));
  fmt::print("utilisation: {:.3f}\n",
             (busySlotMillis(Started) - Busy) / Capacity);
  fmt::print("control bytes per node and second: {:.0f}\n",
             (controlBytes(Started) - Bytes) / (Passed.count() * RouterCount));
  Clients.stop();
  const long Wrong = Clients.sum(&LoadCounters::Wrong);
  fmt::print("requests: {}, wrong answers: {}\n",
             Clients.sum(&LoadCounters::Requests), Wrong);
  return Wrong == 0 ? 0 : 1;
}

} // namespace fleet

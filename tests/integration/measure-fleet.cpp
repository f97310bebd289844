#include <load.hpp>
#include <measure.hpp>

#include <fmt/format.h>

#include <cstdio>

namespace fleet {

namespace {

constexpr int EngineCount = 12;
constexpr int RouterCount = 8;
constexpr int SlotsPerEngine = 4;
constexpr double MillisPerToken = 20;
constexpr double OutputWeight = 4;
constexpr int LargeCount = 4;
constexpr int SmallCount = 11;
constexpr double LargeShare = 4;
constexpr int LargeConcurrency = 16;
constexpr int SmallConcurrency = 4;
constexpr int FloodFactor = 100;
constexpr Milliseconds WarmUp{2'000};
constexpr Milliseconds Window{6'000};
constexpr Milliseconds SamplePeriod{100};
/// Progress is reported each 250 ms; the other half is transport and the
/// owner's batching.
constexpr double ReportStaleness = 0.5;
constexpr double MinUtilisation = 0.97;
constexpr unsigned LoadSeed = 20'261'203;
const char *const Interactive = "quote-check";
const char *const Flooder = "draft-1";

std::vector<LoadClass> workspaces() {
  std::vector<LoadClass> List;
  // Large workspaces enter through one or two routers, so that demand and
  // capacity are spread unevenly.
  for (std::size_t I = 0; I < LargeCount; ++I)
    List.push_back({fmt::format("plan-{}", I + 1),
                    LargeShare,
                    22,
                    20,
                    40,
                    {},
                    {I, (I + 1) % 3},
                    true});
  for (std::size_t I = 0; I < SmallCount; ++I)
    List.push_back({fmt::format("draft-{}", I + 1),
                    1,
                    7,
                    20,
                    40,
                    {},
                    {I % RouterCount, (I * 3 + 1) % RouterCount},
                    true});
  List.push_back(
      {Interactive, 2, 4, 4, 8, Milliseconds(200), {0, 3, 5, 7}, false});
  return List;
}

json settingsFor(const std::string &Policy) {
  std::map<std::string, double> Shares;
  for (const LoadClass &Class : workspaces())
    Shares[Class.Workspace] = Class.Share;
  json Tree = makeTree(Shares);
  Tree["platform"]["pools"]["models"]["initial_in_flight"] = SlotsPerEngine;
  Tree["platform"]["pools"]["models"]["max_in_flight"] = SlotsPerEngine;
  json &Listed = Tree["teams"]["all"]["workspaces"];
  for (const LoadClass &Class : workspaces())
    if (Class.Backlogged)
      Listed[Class.Workspace]["limits"]["concurrency"] =
          Class.Share == LargeShare ? LargeConcurrency : SmallConcurrency;
  return {{"seed_tree", Tree}, {"policy", Policy}};
}

/// Part of the fairness bound that one workspace contributes.
double boundPart(int Slots, double Share, double LargestRequest) {
  const double TokenRate = OutputWeight * 1000 / MillisPerToken;
  return ((Slots + 1) * LargestRequest + ReportStaleness * TokenRate * Slots) /
         Share;
}

double statedBound(double LargestRequest) {
  const double Small = boundPart(SmallConcurrency, 1, LargestRequest);
  const double Large = boundPart(LargeConcurrency, LargeShare, LargestRequest);
  return 2 * std::max(Small, Large);
}

/// One fleet under one policy.
class PolicyRun {
public:
  explicit PolicyRun(const std::string &Policy) : Policy(Policy) {
    for (int I = 1; I <= EngineCount; ++I)
      Engines.push_back(&Run.addEngine(fmt::format("engine-{}", I),
                                       {{"ms_per_token", MillisPerToken},
                                        {"batch", SlotsPerEngine},
                                        {"slots", SlotsPerEngine}}));
    for (int I = 0; I < RouterCount; ++I)
      Run.startRouter(settingsFor(Policy));
    std::vector<std::string> Addresses;
    for (const Node *Router : Run.routers()) {
      Run.waitReady(*Router);
      Addresses.push_back(Router->Address);
    }
    if (!Run.waitForMembers(RouterCount))
      throw std::runtime_error("the routers do not find each other");
    Clients = std::make_unique<Load>(Addresses, LoadSeed);
  }

  /// @return true if the policy keeps the stated numbers
  bool measure() {
    for (const LoadClass &Class : workspaces())
      Clients->add(Class);
    const bool UnevenOk = measureCase("uneven");
    Clients->add(floodClass());
    const bool FloodOk = measureCase("flood");
    Clients->stop();
    return UnevenOk && FloodOk;
  }

private:
  static LoadClass floodClass() {
    double Total = 0;
    for (const LoadClass &Class : workspaces())
      Total += Class.Share;
    const double FairSlots = EngineCount * SlotsPerEngine / Total;
    LoadClass Flood{Flooder, 1,   static_cast<int>(FloodFactor * FairSlots),
                    20,      40,  {},
                    {},      true};
    for (std::size_t I = 0; I < RouterCount; ++I)
      Flood.Routers.push_back(I);
    return Flood;
  }

  bool measureCase(const std::string &Case) {
    std::this_thread::sleep_for(WarmUp);
    Clients->clearWaits();
    const double BusyBefore = busySlotMillis();
    const double BytesBefore = controlBytes();
    const auto Start = std::chrono::steady_clock::now();
    std::vector<ServiceSample> Samples;
    while (std::chrono::steady_clock::now() - Start < Window) {
      Samples.push_back(Clients->sample());
      std::this_thread::sleep_for(SamplePeriod);
    }
    const std::chrono::duration<double> Passed =
        std::chrono::steady_clock::now() - Start;
    const double Slots = EngineCount * SlotsPerEngine;
    const double Utilisation =
        (busySlotMillis() - BusyBefore) / (Passed.count() * 1000 * Slots);
    const double Bytes =
        (controlBytes() - BytesBefore) / (Passed.count() * RouterCount);
    const double Gap = fairnessGap(Samples);
    const double Bound = statedBound(Clients->largestRequest());
    const json Line{{"case", Case},
                    {"policy", Policy},
                    {"fairness_gap", Gap},
                    {"bound", Bound},
                    {"utilisation", Utilisation},
                    {"control_bytes_per_node_per_s", Bytes},
                    {"wait_p50_s", Clients->wait(Interactive, 0.5)},
                    {"wait_p95_s", Clients->wait(Interactive, 0.95)}};
    fmt::print("{}\n", Line.dump());
    std::fflush(stdout);
    return Gap <= Bound && Utilisation >= MinUtilisation;
  }

  double busySlotMillis() const {
    double Sum = 0;
    for (const Node *Engine : Engines)
      Sum += get(Engine->Address, "/control/load")
                 .document()["busy_slot_ms"]
                 .get<double>();
    return Sum;
  }
  double controlBytes() const {
    double Sum = 0;
    for (const Node *Router : Run.routers())
      Sum += metricSum(Router->Address,
                       "mallowglade_peer_bytes_total{direction=\"sent\"}");
    return Sum;
  }

  std::string Policy;
  Fleet Run;
  std::vector<Node *> Engines;
  std::unique_ptr<Load> Clients;
};

} // namespace

int measureFleet() {
  bool Kept = true;
  for (const std::string Policy : {"cell", "split", "random"}) {
    const bool Met = PolicyRun(Policy).measure();
    if (Policy == "cell")
      Kept = Met;
  }
  return Kept ? 0 : 1;
}

} // namespace fleet

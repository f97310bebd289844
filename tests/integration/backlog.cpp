#include <backlog.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fleet {

namespace {

constexpr double MillisPerToken = 20;
constexpr double OutputWeight = 4;
constexpr std::size_t LargeCount = 4;
constexpr std::size_t SmallCount = 11;
constexpr double LargeShare = 4;
constexpr int LargeConcurrency = 16;
constexpr int SmallConcurrency = 4;
constexpr int FloodFactor = 100;
constexpr int MinTokens = 20;
constexpr int MaxTokens = 40;
constexpr Milliseconds SamplePeriod{100};
/// Progress is reported each 250 ms; the other half allows for transport and
/// for a busy machine.
constexpr double ReportStaleness = 0.5;
constexpr double MillisPerSecond = 1000;
constexpr unsigned LoadSeed = 20'261'203;
const char *const Interactive = "quote-check";
const char *const Flooder = "draft-1";

LoadClass backlogged(const std::string &Name, double Share, int Clients,
                     const std::vector<std::size_t> &Routers) {
  LoadClass Class;
  Class.Workspace = Name;
  Class.Share = Share;
  Class.Clients = Clients;
  Class.MinTokens = MinTokens;
  Class.MaxTokens = MaxTokens;
  Class.Routers = Routers;
  return Class;
}

LoadClass interactive() {
  LoadClass Class = backlogged(Interactive, 2, 4, {0, 3, 5, 7});
  Class.MinTokens = 4;
  Class.MaxTokens = 8;
  Class.Pause = Milliseconds(200);
  Class.Backlogged = false;
  return Class;
}

/// Large workspaces enter through few routers, so that demand is uneven.
/// Each has more clients than it may hold slots, so it always waits.
std::vector<LoadClass> workspaces() {
  std::vector<LoadClass> List;
  for (std::size_t I = 0; I < LargeCount; ++I)
    List.push_back(backlogged(fmt::format("plan-{}", I + 1), LargeShare,
                              LargeConcurrency + 6, {I, (I + 1) % 3}));
  for (std::size_t I = 0; I < SmallCount; ++I)
    List.push_back(
        backlogged(fmt::format("draft-{}", I + 1), 1, SmallConcurrency + 3,
                   {I % BacklogRouters, (I * 3 + 1) % BacklogRouters}));
  List.push_back(interactive());
  return List;
}

double totalShare() {
  double Total = 0;
  for (const LoadClass &Class : workspaces())
    Total += Class.Share;
  return Total;
}

json settingsFor(const std::string &Policy) {
  std::map<std::string, double> Shares;
  for (const LoadClass &Class : workspaces())
    Shares[Class.Workspace] = Class.Share;
  json Tree = makeTree(Shares);
  json &Pool = Tree["platform"]["pools"]["models"];
  Pool["initial_in_flight"] = SlotsPerEngine;
  Pool["max_in_flight"] = SlotsPerEngine;
  json &Listed = Tree["teams"]["all"]["workspaces"];
  for (const LoadClass &Class : workspaces())
    if (Class.Backlogged)
      Listed[Class.Workspace]["limits"]["concurrency"] =
          Class.Share == LargeShare ? LargeConcurrency : SmallConcurrency;
  return {{"seed_tree", Tree}, {"policy", Policy}};
}

/// Part of the fairness bound (design, 4.1) that one workspace contributes.
double boundPart(int Slots, double Share, double LargestRequest) {
  const double UnitRate = OutputWeight * MillisPerSecond / MillisPerToken;
  const double Estimated = (Slots + 1) * LargestRequest;
  return (Estimated + ReportStaleness * UnitRate * Slots) / Share;
}

double statedBound(double LargestRequest) {
  const double Small = boundPart(SmallConcurrency, 1, LargestRequest);
  const double Large = boundPart(LargeConcurrency, LargeShare, LargestRequest);
  return 2 * std::max(Small, Large);
}

json loadOf(const Node &Engine) {
  return get(Engine.Control, "/control/load").document();
}

} // namespace

BacklogFleet::BacklogFleet(const std::string &Policy, bool Partitionable) {
  for (int I = 1; I <= BacklogEngines; ++I)
    Engines.push_back(&Run.addEngine(fmt::format("engine-{}", I),
                                     {{"ms_per_token", MillisPerToken},
                                      {"batch", SlotsPerEngine},
                                      {"slots", SlotsPerEngine}}));
  startRouters(Policy, Partitionable);
  std::vector<std::string> Addresses;
  for (const Node *Router : Run.routers()) {
    Run.waitReady(*Router);
    Addresses.push_back(Router->Address);
  }
  if (!Run.waitForMembers(BacklogRouters))
    throw std::runtime_error("the routers do not find each other");
  Clients = std::make_unique<Load>(Addresses, LoadSeed);
}

void BacklogFleet::startRouters(const std::string &Policy, bool Partitionable) {
  std::vector<std::string> Hosts;
  std::map<std::string, std::string> Targets;
  for (int I = 0; I < BacklogRouters; ++I) {
    Hosts.push_back(Run.newHost());
    Targets[fmt::format("peer-{}", I)] = Hosts.back() + ":8081";
  }
  if (Partitionable)
    Proxy = &Run.addProxy(Targets);
  for (int I = 0; I < BacklogRouters; ++I) {
    json Settings = settingsFor(Policy);
    if (Partitionable)
      Settings["peer_advertise"] =
          proxyAddress(*Proxy, fmt::format("peer-{}", I));
    Run.startRouter(Settings, Hosts[static_cast<std::size_t>(I)]);
  }
}

void BacklogFleet::startLoad() {
  for (const LoadClass &Class : workspaces())
    Clients->add(Class);
}

void BacklogFleet::startFlood() {
  const double FairSlots = BacklogEngines * SlotsPerEngine / totalShare();
  const auto FloodClients = static_cast<int>(FloodFactor * FairSlots);
  constexpr double FloodShare = 1;
  LoadClass Flood = backlogged(Flooder, FloodShare, FloodClients, {});
  for (std::size_t I = 0; I < BacklogRouters; ++I)
    Flood.Routers.push_back(I);
  Clients->add(Flood);
}

void BacklogFleet::stopLoad() {
  Clients->requestStop();
  for (const Node *Router : Run.routers())
    Router->Runs->kill();
  Clients->stop();
}

FleetMeasures BacklogFleet::measure(Milliseconds Window) {
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
  const double SlotMillis =
      Passed.count() * MillisPerSecond * BacklogEngines * SlotsPerEngine;
  FleetMeasures Seen;
  Seen.Gap = fairnessGap(Samples);
  Seen.Bound = statedBound(Clients->largestRequest());
  Seen.Utilisation = (busySlotMillis() - BusyBefore) / SlotMillis;
  Seen.ControlBytesPerNode =
      (controlBytes() - BytesBefore) / (Passed.count() * BacklogRouters);
  Seen.WaitP50 = Clients->wait(Interactive, 0.5);
  Seen.WaitP95 = Clients->wait(Interactive, 0.95);
  return Seen;
}

void BacklogFleet::setCut(std::size_t Router,
                          const std::vector<std::string> &Sources) {
  setFault(*Proxy, fmt::format("peer-{}", Router), {{"cut_sources", Sources}});
}

void BacklogFleet::partition(std::size_t Index) {
  const std::vector<Node *> Routers = Run.routers();
  for (std::size_t I = 0; I < Routers.size(); ++I) {
    std::vector<std::string> Others;
    for (std::size_t J = 0; J < Routers.size(); ++J)
      if ((I < Index) != (J < Index))
        Others.push_back(Routers[J]->Host);
    setCut(I, Others);
  }
}

void BacklogFleet::heal() {
  for (std::size_t I = 0; I < Run.routers().size(); ++I)
    setCut(I, {});
}

int BacklogFleet::busiestEngine() const {
  int Most = 0;
  for (const Node *Engine : Engines)
    Most = std::max(Most, loadOf(*Engine)["running"].get<int>());
  return Most;
}

int BacklogFleet::running() const {
  int Sum = 0;
  for (const Node *Engine : Engines)
    Sum += loadOf(*Engine)["running"].get<int>();
  return Sum;
}

double BacklogFleet::busySlotMillis() const {
  double Sum = 0;
  for (const Node *Engine : Engines)
    Sum += loadOf(*Engine)["busy_slot_ms"].get<double>();
  return Sum;
}

double BacklogFleet::controlBytes() const {
  double Sum = 0;
  for (Node *Router : Run.routers())
    if (!Router->Runs->ended())
      Sum += metricSum(Router->Address,
                       "mallowglade_peer_bytes_total{direction=\"sent\"}");
  return Sum;
}

} // namespace fleet

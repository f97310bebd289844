#include "scheduling_fleet.hpp"

#include <algorithm>

namespace mallowglade::test {

namespace {

constexpr Milliseconds Step{10};
constexpr Milliseconds LoadPeriod{1'000};
constexpr double StepSeconds = 0.01;
constexpr int SessionBits = 16;
constexpr std::uint64_t Percent = 100;

} // namespace

SimulatedFleet::SimulatedFleet(FleetConfig Given)
    : Config(std::move(Given)), Random(Config.Seed) {
  const std::size_t Workspaces = Config.Weights.size();
  Groups.assign(Config.Routers, 0);
  SeenGroups = Groups;
  Owner.assign(Config.Routers, Config.Routers);
  Cells.resize(Config.Routers);
  for (std::size_t Router = 0; Router < Config.Routers; ++Router)
    Books.emplace_back(CellId("c"), Epoch(1ULL << SessionBits));
  Supplied.assign(Workspaces, true);
  LeastWeight = Config.Weights;
  Config.Concurrency.resize(Workspaces);
  Served.assign(Workspaces, 0);
  Normalised.assign(Workspaces, 0);
  LastService.assign(Workspaces, Start);
  MostInFlight.assign(Workspaces, 0);
  LaggingLoad.assign(Config.Replicas, 0);
  IdleSlots.resize(Config.Replicas);
  updateViews();
}

RouterId SimulatedFleet::idOf(std::size_t Router) const {
  return RouterId("r" + std::to_string(Router));
}

UpstreamId SimulatedFleet::replicaId(std::size_t Replica) const {
  return UpstreamId("u" + std::to_string(Replica));
}

WorkspaceId SimulatedFleet::workspaceId(std::size_t Workspace) const {
  return WorkspaceId("w" + std::to_string(Workspace));
}

void SimulatedFleet::run(Milliseconds Span) {
  const TimePoint End = Now + Span;
  while (Now < End)
    step();
}

void SimulatedFleet::step() {
  Now += Step;
  if (ViewDue && Now >= *ViewDue) {
    ViewDue.reset();
    SeenGroups = Groups;
    updateViews();
  }
  deliverDue();
  serve(StepSeconds);
  supply();
  runBooks();
  reportLoads();
  runCells();
  check();
}

void SimulatedFleet::partition(std::vector<int> Updated) {
  Groups = std::move(Updated);
  ViewDue = Now + Config.Detection;
}

void SimulatedFleet::heal() { partition(std::vector<int>(Config.Routers, 0)); }

void SimulatedFleet::restart(std::size_t Router) {
  ++Restarts;
  Books[Router] = DemandBook(CellId("c"), Epoch((Restarts + 1) << SessionBits));
  std::erase_if(Running,
                [Router](const Run &Each) { return Each.Router == Router; });
  std::erase_if(
      Costs, [Router](const auto &Each) { return Each.first.first == Router; });
  for (auto &[Key, Count] : Queued)
    if (Key.second == Router)
      Count = 0;
  Cells[Router].reset();
  Owner[Router] = Config.Routers;
  setOwner(Router);
}

void SimulatedFleet::changeWeight(std::size_t Workspace, double Weight) {
  Config.Weights[Workspace] = Weight;
  LeastWeight[Workspace] = std::min(LeastWeight[Workspace], Weight);
  for (std::size_t Router = 0; Router < Config.Routers; ++Router)
    if (Cells[Router] != nullptr)
      configureCell(Router);
}

void SimulatedFleet::setSupply(std::size_t Workspace, bool IsSupplied) {
  Supplied[Workspace] = IsSupplied;
}

void SimulatedFleet::updateViews() {
  for (std::size_t Router = 0; Router < Config.Routers; ++Router)
    setOwner(Router);
}

void SimulatedFleet::setOwner(std::size_t Router) {
  const auto First =
      std::find(SeenGroups.begin(), SeenGroups.end(), SeenGroups[Router]);
  const auto Winner = static_cast<std::size_t>(First - SeenGroups.begin());
  if (Owner[Router] != Winner) {
    Owner[Router] = Winner;
    Books[Router].beginSession();
    Cells[Router].reset();
    if (Winner == Router) {
      CellSettings Settings;
      Settings.Id = CellId("c");
      Settings.Replica = {Config.Slots, Config.Slots, Milliseconds(630),
                          Milliseconds(68)};
      Settings.MaxRequestUnits = LargestCost;
      Cells[Router] = std::make_unique<Cell>(Settings, NextTag++, Now);
    }
  }
  std::vector<QueueTerms> Terms;
  for (std::size_t W = 0; W < Config.Weights.size(); ++W)
    Terms.push_back({workspaceId(W), 0, 0, 0, Milliseconds(0)});
  Books[Router].configure(Terms, Config.Routers);
  if (Cells[Router] != nullptr)
    configureCell(Router);
}

void SimulatedFleet::configureCell(std::size_t Router) {
  Cell &Owned = *Cells[Router];
  std::vector<CellMember> Heard;
  for (std::size_t Other = 0; Other < Config.Routers; ++Other)
    if (SeenGroups[Other] == SeenGroups[Router])
      Heard.push_back({idOf(Other), ZoneId("z")});
  Owned.setMembers(Heard, Config.Routers, Now);
  std::vector<WorkspaceTerms> Terms;
  for (std::size_t W = 0; W < Config.Weights.size(); ++W)
    Terms.push_back(
        {workspaceId(W), Share(Config.Weights[W]), Config.Concurrency[W]});
  Owned.setWorkspaces(Terms);
}

void SimulatedFleet::reportLoads() {
  if (Now < NextLoadReport)
    return;
  NextLoadReport = Now + LoadPeriod;
  std::vector<ReplicaInfo> List;
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica)
    List.push_back({replicaId(Replica), "127.0.0.1:1", ZoneId("z"),
                    Config.Slots, LaggingLoad[Replica]});
  for (const auto &Owned : Cells)
    if (Owned != nullptr)
      Owned->setReplicas(List);
  // The next report shows the load of now: reports lag by one period.
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica)
    LaggingLoad[Replica] = runningOn(Replica);
}

void SimulatedFleet::send(std::size_t From, std::size_t To,
                          const FleetMessage &Body) {
  const bool Own = From == To;
  if (!Own && Random.below(Percent) < Config.LossPercent)
    return;
  const bool Twice = !Own && Random.below(Percent) < Config.DuplicatePercent;
  for (int Copy = 0; Copy < (Twice ? 2 : 1); ++Copy) {
    const auto Limit = static_cast<std::uint64_t>(Config.MaxDelay.count() + 1);
    const Milliseconds Delay(Own ? 0 : Random.below(Limit));
    Network.push_back({Now + Delay, From, To, Body});
  }
}

void SimulatedFleet::deliverDue() {
  std::vector<Parcel> Due;
  std::vector<Parcel> Later;
  for (Parcel &Item : Network)
    (Item.Due <= Now ? Due : Later).push_back(std::move(Item));
  Network = std::move(Later);
  std::stable_sort(Due.begin(), Due.end(),
                   [](const Parcel &Left, const Parcel &Right) {
                     return Left.Due < Right.Due;
                   });
  for (const Parcel &Item : Due)
    if (Groups[Item.From] == Groups[Item.To])
      deliver(Item);
}

void SimulatedFleet::deliver(const Parcel &Item) {
  if (const auto *Offer = std::get_if<Grant>(&Item.Body)) {
    takeGrant(Item, *Offer);
    return;
  }
  if (const auto *Rates = std::get_if<Allotment>(&Item.Body)) {
    Books[Item.To].receive(*Rates, Now);
    return;
  }
  if (Cells[Item.To] == nullptr)
    return;
  Cell &Owned = *Cells[Item.To];
  const RouterId From = idOf(Item.From);
  if (const auto *Report = std::get_if<DemandReport>(&Item.Body))
    Owned.receive(From, *Report, Now);
  else if (const auto *Update = std::get_if<Progress>(&Item.Body))
    Owned.receive(From, *Update, Now);
  else if (const auto *Done = std::get_if<Completion>(&Item.Body))
    Owned.receive(From, *Done, Now);
  else if (const auto *Back = std::get_if<GrantReturn>(&Item.Body))
    Owned.receive(From, *Back, Now);
}

void SimulatedFleet::takeGrant(const Parcel &Item, const Grant &Offer) {
  const GrantOutcome Outcome = Books[Item.To].receive(Offer, Now);
  if (const auto *Back = std::get_if<GrantReturn>(&Outcome))
    send(Item.To, Item.From, *Back);
  const auto *Started = std::get_if<DispatchNow>(&Outcome);
  if (Started == nullptr)
    return;
  const auto Found = Costs.find({Item.To, Started->Request});
  Run Next;
  Next.Router = Item.To;
  Next.Workspace = Found->second.first;
  Next.Cost = Found->second.second;
  Next.Grant = Started->Grant;
  Next.Replica = std::stoul(Started->Upstream.Value.substr(1));
  Costs.erase(Found);
  --Queued[{Next.Workspace, Item.To}];
  // The slots of a replica are alike: the longest free one is used first.
  if (!IdleSlots[Next.Replica].empty())
    IdleSlots[Next.Replica].pop_front();
  Running.push_back(Next);
}

void SimulatedFleet::serve(double Seconds) {
  std::vector<Run> Kept;
  for (Run &Each : Running) {
    const double Added = std::min(SlotRate * Seconds, Each.Cost - Each.Served);
    Each.Served += Added;
    Served[Each.Workspace] += Added;
    Normalised[Each.Workspace] += Added / Config.Weights[Each.Workspace];
    LastService[Each.Workspace] = Now;
    Books[Each.Router].progress(
        {Each.Grant, ServiceUnits(Each.Served), {}, {}});
    if (Each.Served < Each.Cost) {
      Kept.push_back(Each);
      continue;
    }
    ++Completed;
    IdleSlots[Each.Replica].push_back(Now);
    Completion Done;
    Done.Grant = Each.Grant;
    Done.Served = ServiceUnits(Each.Served);
    if (const auto Message = Books[Each.Router].finish(Done, Now))
      send(Each.Router, Owner[Each.Router], *Message);
  }
  Running = std::move(Kept);
}

double SimulatedFleet::hintFor(double Cost) const {
  switch (Config.Hints) {
  case HintMode::Exact:
    return Cost;
  case HintMode::Tenfold:
    return Cost * 10;
  case HintMode::Zero:
    return 0;
  case HintMode::Largest:
    return LargestCost;
  }
  return Cost;
}

void SimulatedFleet::supply() {
  for (std::size_t W = 0; W < Config.Weights.size(); ++W)
    for (std::size_t Router = 0; Router < Config.Routers; ++Router) {
      const std::size_t Wanted =
          Supplied[W] ? Config.Backlog[W][Router] : std::size_t{0};
      while (Queued[{W, Router}] < Wanted) {
        const double Cost = 10.0 + Random.below(LargestCost - 10);
        BookRequest Request;
        Request.Id = RequestId(std::to_string(NextRequest++));
        Request.Workspace = workspaceId(W);
        Request.Hint = ServiceUnits(hintFor(Cost));
        Costs[{Router, Request.Id}] = {W, Cost};
        Books[Router].enqueue(Request, Now);
        ++Queued[{W, Router}];
      }
    }
}

void SimulatedFleet::runBooks() {
  for (std::size_t Router = 0; Router < Config.Routers; ++Router) {
    if (auto Report = Books[Router].report(Now))
      send(Router, Owner[Router], std::move(*Report));
    if (auto Update = Books[Router].progressReport(Now))
      send(Router, Owner[Router], std::move(*Update));
  }
}

void SimulatedFleet::runCells() {
  for (std::size_t Router = 0; Router < Config.Routers; ++Router) {
    if (Cells[Router] == nullptr)
      continue;
    for (CellAction &Action : Cells[Router]->decide(Now)) {
      const auto Forward = [&](auto &Message) {
        const std::size_t To = std::stoul(Message.To.Value.substr(1));
        send(Router, To, std::move(Message.Body));
      };
      std::visit(Forward, Action);
    }
  }
}

} // namespace mallowglade::test

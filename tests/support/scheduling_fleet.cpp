#include "scheduling_fleet.hpp"

#include <algorithm>

namespace mallowglade::test {

namespace {

constexpr Milliseconds TickLength{10};
constexpr Milliseconds LoadPeriod{1'000};
constexpr double TickSeconds = 0.01;
constexpr int SessionBits = 16;
constexpr std::uint64_t Percent = 100;

} // namespace

SimulatedFleet::SimulatedFleet(FleetConfig InitialConfig)
    : Config(std::move(InitialConfig)), Random(Config.Seed) {
  const std::size_t Workspaces = Config.Weights.size();
  Groups.assign(Config.Routers, 0);
  VisibleGroups = Groups;
  Owner.assign(Config.Routers, Config.Routers);
  Cells.resize(Config.Routers);
  for (std::size_t Router = 0; Router < Config.Routers; ++Router)
    Queues.emplace_back(CellId("c"), Epoch(1ULL << SessionBits));
  Supplied.assign(Workspaces, true);
  MinWeight = Config.Weights;
  Config.Concurrency.resize(Workspaces);
  Served.assign(Workspaces, 0);
  ServicePerShare.assign(Workspaces, 0);
  LastService.assign(Workspaces, Start);
  PeakInFlight.assign(Workspaces, 0);
  LaggingLoad.assign(Config.Replicas, 0);
  IdleSlots.resize(Config.Replicas);
  updateViews();
}

RouterId SimulatedFleet::routerId(std::size_t Router) const {
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
  Now += TickLength;
  if (NextViewUpdate && Now >= *NextViewUpdate) {
    NextViewUpdate.reset();
    VisibleGroups = Groups;
    updateViews();
  }
  deliverDue();
  serve(TickSeconds);
  supply();
  reportDemand();
  reportLoads();
  runCells();
  check();
}

void SimulatedFleet::partition(std::vector<int> Updated) {
  Groups = std::move(Updated);
  NextViewUpdate = Now + Config.DetectionTime;
}

void SimulatedFleet::heal() { partition(std::vector<int>(Config.Routers, 0)); }

void SimulatedFleet::restart(std::size_t Router) {
  ++Restarts;
  Queues[Router] =
      DemandQueue(CellId("c"), Epoch((Restarts + 1) << SessionBits));
  std::erase_if(Running, [Router](const RunningRequest &Entry) {
    return Entry.Router == Router;
  });
  std::erase_if(Costs, [Router](const auto &Entry) {
    return Entry.first.first == Router;
  });
  for (auto &[Key, Count] : Queued)
    if (Key.second == Router)
      Count = 0;
  Cells[Router].reset();
  Owner[Router] = Config.Routers;
  updateOwner(Router);
}

void SimulatedFleet::changeWeight(std::size_t Workspace, double Weight) {
  Config.Weights[Workspace] = Weight;
  MinWeight[Workspace] = std::min(MinWeight[Workspace], Weight);
  for (std::size_t Router = 0; Router < Config.Routers; ++Router)
    if (Cells[Router] != nullptr)
      configureCell(Router);
}

void SimulatedFleet::setSupply(std::size_t Workspace, bool IsSupplied) {
  Supplied[Workspace] = IsSupplied;
}

void SimulatedFleet::updateViews() {
  for (std::size_t Router = 0; Router < Config.Routers; ++Router)
    updateOwner(Router);
}

void SimulatedFleet::updateOwner(std::size_t Router) {
  const auto FirstInGroup = std::find(
      VisibleGroups.begin(), VisibleGroups.end(), VisibleGroups[Router]);
  const auto NewOwner =
      static_cast<std::size_t>(FirstInGroup - VisibleGroups.begin());
  if (Owner[Router] != NewOwner) {
    Owner[Router] = NewOwner;
    Queues[Router].beginSession();
    Cells[Router].reset();
    if (NewOwner == Router) {
      CellSettings Settings;
      Settings.Id = CellId("c");
      Settings.Replica = {Config.Slots, Config.Slots, Milliseconds(630),
                          Milliseconds(68)};
      Settings.MaxRequestUnits = LargestCost;
      Cells[Router] = std::make_unique<Cell>(Settings, NextTag++, Now);
    }
  }
  std::vector<QueueLimits> Limits;
  for (std::size_t W = 0; W < Config.Weights.size(); ++W)
    Limits.push_back({workspaceId(W), 0, 0, 0, Milliseconds(0)});
  Queues[Router].configure(Limits, Config.Routers);
  if (Cells[Router] != nullptr)
    configureCell(Router);
}

void SimulatedFleet::configureCell(std::size_t Router) {
  Cell &LocalCell = *Cells[Router];
  std::vector<CellMember> Heard;
  for (std::size_t Other = 0; Other < Config.Routers; ++Other)
    if (VisibleGroups[Other] == VisibleGroups[Router])
      Heard.push_back({routerId(Other), ZoneId("z")});
  LocalCell.setMembers(Heard, Config.Routers, Now);
  std::vector<WorkspaceShare> Shares;
  for (std::size_t W = 0; W < Config.Weights.size(); ++W)
    Shares.push_back(
        {workspaceId(W), Share(Config.Weights[W]), Config.Concurrency[W]});
  LocalCell.setWorkspaces(Shares);
}

void SimulatedFleet::reportLoads() {
  if (Now < NextLoadReport)
    return;
  NextLoadReport = Now + LoadPeriod;
  std::vector<ReplicaInfo> List;
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica)
    List.push_back({replicaId(Replica), "127.0.0.1:1", ZoneId("z"),
                    Config.Slots, LaggingLoad[Replica]});
  for (const auto &LocalCell : Cells)
    if (LocalCell != nullptr)
      LocalCell->setReplicas(List);
  // Reports lag by one period: the next one shows the current load.
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica)
    LaggingLoad[Replica] = runningOn(Replica);
}

void SimulatedFleet::send(std::size_t From, std::size_t To,
                          const FleetMessage &Body) {
  const bool IsLocal = From == To;
  if (!IsLocal && Random.below(Percent) < Config.LossPercent)
    return;
  const bool Duplicated =
      !IsLocal && Random.below(Percent) < Config.DuplicatePercent;
  for (int Copy = 0; Copy < (Duplicated ? 2 : 1); ++Copy) {
    const auto Limit = static_cast<std::uint64_t>(Config.MaxDelay.count() + 1);
    const Milliseconds Delay(IsLocal ? 0 : Random.below(Limit));
    Network.push_back({Now + Delay, From, To, Body});
  }
}

void SimulatedFleet::deliverDue() {
  std::vector<PendingMessage> Due;
  std::vector<PendingMessage> Later;
  for (PendingMessage &Item : Network)
    (Item.Due <= Now ? Due : Later).push_back(std::move(Item));
  Network = std::move(Later);
  std::stable_sort(Due.begin(), Due.end(),
                   [](const PendingMessage &Left, const PendingMessage &Right) {
                     return Left.Due < Right.Due;
                   });
  for (const PendingMessage &Item : Due)
    if (Groups[Item.From] == Groups[Item.To])
      deliver(Item);
}

void SimulatedFleet::deliver(const PendingMessage &Item) {
  if (const auto *Offer = std::get_if<Grant>(&Item.Body)) {
    handleGrant(Item, *Offer);
    return;
  }
  if (const auto *Rates = std::get_if<Allotment>(&Item.Body)) {
    Queues[Item.To].receive(*Rates, Now);
    return;
  }
  if (Cells[Item.To] == nullptr)
    return;
  Cell &LocalCell = *Cells[Item.To];
  const RouterId From = routerId(Item.From);
  if (const auto *Report = std::get_if<DemandReport>(&Item.Body))
    LocalCell.receive(From, *Report, Now);
  else if (const auto *Update = std::get_if<Progress>(&Item.Body))
    LocalCell.receive(From, *Update, Now);
  else if (const auto *Done = std::get_if<Completion>(&Item.Body))
    LocalCell.receive(From, *Done, Now);
  else if (const auto *Returned = std::get_if<GrantReturn>(&Item.Body))
    LocalCell.receive(From, *Returned, Now);
}

void SimulatedFleet::handleGrant(const PendingMessage &Item,
                                 const Grant &Offer) {
  const GrantOutcome Outcome = Queues[Item.To].receive(Offer, Now);
  if (const auto *Returned = std::get_if<GrantReturn>(&Outcome))
    send(Item.To, Item.From, *Returned);
  const auto *Dispatch = std::get_if<DispatchedRequest>(&Outcome);
  if (Dispatch == nullptr)
    return;
  const auto Found = Costs.find({Item.To, Dispatch->Request});
  RunningRequest Request;
  Request.Router = Item.To;
  Request.Workspace = Found->second.first;
  Request.Cost = Found->second.second;
  Request.Grant = Dispatch->Grant;
  Request.Replica = std::stoul(Dispatch->Upstream.Value.substr(1));
  Costs.erase(Found);
  --Queued[{Request.Workspace, Item.To}];
  // Slots are interchangeable: the one that was free longest is used first.
  if (!IdleSlots[Request.Replica].empty())
    IdleSlots[Request.Replica].pop_front();
  Running.push_back(Request);
}

void SimulatedFleet::serve(double Seconds) {
  std::vector<RunningRequest> Kept;
  for (RunningRequest &Request : Running) {
    const double Added =
        std::min(SlotRate * Seconds, Request.Cost - Request.Served);
    Request.Served += Added;
    Served[Request.Workspace] += Added;
    ServicePerShare[Request.Workspace] +=
        Added / Config.Weights[Request.Workspace];
    LastService[Request.Workspace] = Now;
    Queues[Request.Router].progress(
        {Request.Grant, ServiceUnits(Request.Served), {}, {}});
    if (Request.Served < Request.Cost) {
      Kept.push_back(Request);
      continue;
    }
    ++Completed;
    IdleSlots[Request.Replica].push_back(Now);
    Completion Done;
    Done.Grant = Request.Grant;
    Done.Served = ServiceUnits(Request.Served);
    if (const auto Message = Queues[Request.Router].finish(Done, Now))
      send(Request.Router, Owner[Request.Router], *Message);
  }
  Running = std::move(Kept);
}

double SimulatedFleet::costHint(double Cost) const {
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
      const std::size_t TargetQueued =
          Supplied[W] ? Config.Backlog[W][Router] : std::size_t{0};
      while (Queued[{W, Router}] < TargetQueued) {
        const double Cost = 10.0 + Random.below(LargestCost - 10);
        QueueRequest Request;
        Request.Id = RequestId(std::to_string(NextRequest++));
        Request.Workspace = workspaceId(W);
        Request.Hint = ServiceUnits(costHint(Cost));
        Costs[{Router, Request.Id}] = {W, Cost};
        Queues[Router].enqueue(Request, Now);
        ++Queued[{W, Router}];
      }
    }
}

void SimulatedFleet::reportDemand() {
  for (std::size_t Router = 0; Router < Config.Routers; ++Router) {
    if (auto Report = Queues[Router].report(Now))
      send(Router, Owner[Router], std::move(*Report));
    if (auto Update = Queues[Router].progressReport(Now))
      send(Router, Owner[Router], std::move(*Update));
  }
}

void SimulatedFleet::runCells() {
  for (std::size_t Router = 0; Router < Config.Routers; ++Router) {
    if (Cells[Router] == nullptr)
      continue;
    for (CellAction &Action : Cells[Router]->decide(Now)) {
      const auto Forward = [&](auto &Message) {
        const std::size_t Recipient =
            std::stoul(Message.Recipient.Value.substr(1));
        send(Router, Recipient, std::move(Message.Body));
      };
      std::visit(Forward, Action);
    }
  }
}

} // namespace mallowglade::test

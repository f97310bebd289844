#include <mallowglade/detail/scheduling/cell.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr Milliseconds AllotmentPeriod{1'000};
constexpr double RateHistoryWeight = 0.5;
/// Smoothed arrivals per allotment period below which a rate counts as zero.
constexpr double MinRate = 1e-3;
/// Fraction of each limit that is split equally, so that a router with little
/// traffic can accept a burst.
constexpr double EqualFraction = 0.1;
/// Oldest requests of a workspace that are considered per grant, in case some
/// of them cannot be placed on any replica.
constexpr std::size_t MaxPlacementAttempts = 4;
constexpr int OwnerTagBits = 32;
constexpr Milliseconds ReportStaleness{250};
constexpr double MillisPerSecond = 1'000;

} // namespace

Cell::Cell(CellSettings Settings, std::uint32_t OwnerTag, TimePoint Now,
           PlacementGuard *Guard)
    : Settings(std::move(Settings)), OwnerTag(OwnerTag), Guard(Guard),
      Replicas(this->Settings.Replica), LastMemberJoined(Now),
      LastAllotment(Now) {}

void Cell::configure(CellSettings Updated) {
  Settings = std::move(Updated);
  Replicas.configure(Settings.Replica);
}

void Cell::setWorkspaces(const std::vector<WorkspaceShare> &Updated) {
  Queue.configure(Updated);
  LimitedWorkspaces.clear();
  for (const WorkspaceShare &Workspace : Updated)
    if (Workspace.Concurrency > 0)
      LimitedWorkspaces.push_back(Workspace);
  updateCoverage();
}

void Cell::setMembers(const std::vector<CellMember> &LiveRouters,
                      std::size_t RegisteredRouters, TimePoint Now) {
  std::size_t Joined = 0;
  for (const CellMember &Member : LiveRouters)
    Joined += router(Member.Id).Alive ? 0 : 1;
  if (Joined > 0)
    LastMemberJoined = Now;
  for (auto &[Id, Router] : Routers)
    Router.Alive = false;
  for (const CellMember &Member : LiveRouters) {
    RouterEntry &Router = router(Member.Id);
    Router.Alive = true;
    Router.Zone = Member.Zone;
  }
  for (auto &[Id, Router] : Routers)
    if (!Router.Alive)
      removeRouter(Router);
  Registered = std::max(LiveRouters.size(), RegisteredRouters);
  updateCoverage();
  CoveragePending = true;
}

void Cell::applyPendingCoverage(TimePoint Now) {
  if (!CoveragePending || !allReported(Now))
    return;
  CoveragePending = false;
  for (auto &[Id, Router] : Routers)
    Router.Counted = Router.Alive && Router.Reported;
  updateCoverage();
}

bool Cell::allReported(TimePoint Now) const {
  if (Now - LastMemberJoined >= Settings.RebuildTimeout)
    return true;
  return std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
    return !Entry.second.Alive || Entry.second.Reported;
  });
}

void Cell::updateCoverage() {
  // A live router counts only once it has reported: until then it may hold
  // slots that another owner granted.
  const auto ReportingRouters =
      std::count_if(Routers.begin(), Routers.end(), [](const auto &Entry) {
        return Entry.second.Alive && Entry.second.Reported;
      });
  const FleetCoverage Coverage{static_cast<std::size_t>(ReportingRouters),
                               Registered};
  Replicas.setCoverage(Coverage);
  std::vector<WorkspaceShare> ScaledLimits = LimitedWorkspaces;
  // A limit must not round down to 0, which would mean no limit. One slot also
  // keeps the workspace running on this side of a partition.
  for (WorkspaceShare &Workspace : ScaledLimits)
    Workspace.Concurrency =
        std::max(1U, Coverage.scaled(Workspace.Concurrency));
  Queue.configure(ScaledLimits);
}

void Cell::setReplicas(const std::vector<ReplicaInfo> &List) {
  Replicas.update(List);
}

bool Cell::ready(TimePoint Now) const { return Rebuilt || allReported(Now); }

std::vector<CellAction> Cell::decide(TimePoint Now) {
  std::vector<CellAction> Actions;
  expireGrants(Now);
  dropSilentRouters(Now);
  repeatGrants(Now, Actions);
  applyPendingCoverage(Now);
  requestFullReports(Actions);
  if (ready(Now)) {
    finishRebuild();
    Replicas.refill(Now);
    while (grantNext(Now, Actions)) {
    }
  }
  Replicas.adjust(Now);
  sendAllotments(Now, Actions);
  return Actions;
}

void Cell::finishRebuild() {
  if (Rebuilt)
    return;
  Rebuilt = true;
  Replicas.estimateLostSlots();
  // Nothing has been charged yet, so all virtual times are equal. The lags that
  // the previous owner sent to the routers restore the differences.
  for (auto &[Id, Entry] : Queue.all())
    if (Entry.Backlogged && Entry.ReportedLag > 0)
      Queue.charge(Entry, Entry.ReportedLag, Share(1), Entry.Time.lifts());
}

bool Cell::grantNext(TimePoint Now, std::vector<CellAction> &Actions) {
  if (Queue.order().empty())
    return false;
  Replicas.markSaturated();
  if (!Replicas.hasFreeSlot())
    return false;
  for (const auto &[Key, Entry] : Queue.order())
    if (grantToWorkspace(*Entry, Now, Actions))
      return true;
  return false;
}

bool Cell::grantToWorkspace(WorkspaceEntry &Entry, TimePoint Now,
                            std::vector<CellAction> &Actions) {
  std::size_t Attempts = 0;
  for (auto &[Key, Item] : Entry.Waiting) {
    if (++Attempts > MaxPlacementAttempts)
      break;
    RouterEntry &Router = *RouterByIndex[Key.Router];
    Replica *Target = Replicas.choose(Item, Router.Zone, Guard);
    if (Target == nullptr)
      continue;
    const QueuedItem Chosen = Item;
    Entry.Waiting.erase(Key);
    issue(Entry, Router, Chosen, *Target, Now, Actions);
    return true;
  }
  return false;
}

double Cell::estimateCost(const WorkspaceEntry &Entry, double Hint) const {
  return std::clamp(std::max(1.0, Hint) * Entry.Correction, 1.0,
                    std::max(1.0, Settings.MaxRequestUnits));
}

void Cell::issue(WorkspaceEntry &Entry, RouterEntry &Router,
                 const QueuedItem &Item, Replica &Target, TimePoint Now,
                 std::vector<CellAction> &Actions) {
  const GrantId Id((static_cast<std::uint64_t>(OwnerTag) << OwnerTagBits) |
                   NextGrant++);
  IssuedGrant &Granted = Grants[Id];
  Granted.Router = Router.Id;
  Granted.Session = Router.Session;
  Granted.ReportSequence = Router.LatestSequence;
  Granted.Request = Item.Id;
  Granted.Workspace = &Entry;
  Granted.Upstream = Target.Info.Id;
  Granted.RequestFingerprint = Item.RequestFingerprint;
  Granted.Weight = Entry.Weight;
  Granted.Lifts = Entry.Time.lifts();
  Granted.Hint = std::max(1.0, Item.Hint.Value);
  Granted.IssuedAt = Now;
  Router.GrantedTickets.insert(Item.Id);
  Router.Grants.insert(Id);
  Unconfirmed.emplace_back(Now, Id);
  Replicas.acquire(Target, Item.PrefixHash, Now);
  if (Guard != nullptr)
    Guard->dispatched(Id, Item.RequestFingerprint, Target.Info.Id);
  DemandState &Demand = Router.Demands[Entry.Id];
  Demand.QueuedCount -= std::min<std::uint64_t>(1, Demand.QueuedCount);
  Entry.QueuedCount -= std::min<std::uint64_t>(1, Entry.QueuedCount);
  ++Entry.InFlight;
  setCharge(Granted, estimateCost(Entry, Item.Hint.Value), 0);
  ++Counters.Grants;
  Actions.push_back(Outgoing<Grant>{Router.Id, grantMessage(Id, Granted)});
}

Grant Cell::grantMessage(GrantId Id, const IssuedGrant &Granted) const {
  Grant Message;
  Message.Cell = Settings.Id;
  Message.Id = Id;
  Message.Session = Granted.Session;
  Message.ReportSequence = Granted.ReportSequence;
  Message.Request = Granted.Request;
  Message.Workspace = Granted.Workspace->Id;
  Message.Upstream = Granted.Upstream;
  Message.Address = Replicas.all().at(Granted.Upstream).Info.Address;
  Message.Charge = ServiceUnits(Granted.Charged);
  return Message;
}

void Cell::updateRates() {
  for (auto &[Id, Router] : Routers)
    for (auto &[Workspace, Demand] : Router.Demands) {
      const double NewArrivals = Demand.Arrivals - Demand.ArrivalsBefore;
      Demand.ArrivalsBefore = Demand.Arrivals;
      Demand.Rate = RateHistoryWeight * Demand.Rate +
                    (1 - RateHistoryWeight) * NewArrivals;
      if (Demand.Rate < MinRate)
        Demand.Rate = 0;
    }
}

std::map<WorkspaceId, Cell::RateSum> Cell::sumRates() const {
  std::map<WorkspaceId, RateSum> Sums;
  for (const auto &[Id, Router] : Routers)
    for (const auto &[Workspace, Demand] : Router.Demands) {
      if (Demand.Rate == 0)
        continue;
      RateSum &Sum = Sums[Workspace];
      Sum.Rate += Demand.Rate;
      ++Sum.Routers;
    }
  return Sums;
}

Allotment Cell::allotmentFor(const RouterEntry &Router,
                             const std::map<WorkspaceId, RateSum> &Sums) const {
  Allotment Message{Settings.Id, Router.Session, {}};
  const FleetCoverage &Fleet = Replicas.coverage();
  const double CoveredFraction =
      std::min(1.0, Fleet.Heard / static_cast<double>(Fleet.Registered));
  for (const auto &[Id, Demand] : Router.Demands) {
    if (Demand.Rate == 0)
      continue;
    const RateSum &Sum = Sums.at(Id);
    const double Proportional = Demand.Rate / Sum.Rate;
    WorkspaceAllotment Entry;
    Entry.Workspace = Id;
    Entry.Fraction = CoveredFraction * (EqualFraction / Sum.Routers +
                                        (1 - EqualFraction) * Proportional);
    const auto Found = Queue.all().find(Id);
    if (Found != Queue.all().end() && Found->second.Backlogged)
      Entry.Lag = Found->second.Time.value() - Queue.liftLevel();
    Message.Workspaces.push_back(std::move(Entry));
  }
  return Message;
}

void Cell::requestFullReports(std::vector<CellAction> &Actions) {
  for (auto &[Id, Router] : Routers) {
    if (!Router.FullReportNeeded)
      continue;
    Router.FullReportNeeded = false;
    Actions.push_back(Outgoing<Allotment>{Id, {Settings.Id, Epoch(0), {}}});
  }
}

void Cell::sendAllotments(TimePoint Now, std::vector<CellAction> &Actions) {
  const bool Periodic = Now - LastAllotment >= AllotmentPeriod;
  if (Periodic) {
    LastAllotment = Now;
    updateRates();
  }
  const bool Due = Periodic || std::any_of(Routers.begin(), Routers.end(),
                                           [](const auto &Entry) {
                                             return Entry.second.AllotmentDue;
                                           });
  if (!Due)
    return;
  const std::map<WorkspaceId, RateSum> Sums = sumRates();
  for (auto &[Id, Router] : Routers) {
    if (!Router.Reported || !Router.Alive || !(Periodic || Router.AllotmentDue))
      continue;
    Router.AllotmentDue = false;
    Actions.push_back(Outgoing<Allotment>{Id, allotmentFor(Router, Sums)});
  }
}

double Cell::fairnessBound() const {
  BoundInputs Inputs;
  Inputs.LargestRequest = LargestRequest;
  Inputs.Staleness = ReportStaleness;
  if (FastestToken.count() > 0)
    Inputs.SlotRate =
        Settings.OutputWeight * MillisPerSecond / FastestToken.count();
  double Largest = 0;
  double SecondLargest = 0;
  const std::uint32_t Capacity = Replicas.capacity();
  for (const auto &[Key, Entry] : Queue.order()) {
    const std::uint32_t Slots = Entry->Concurrency == 0
                                    ? Capacity
                                    : std::min(Capacity, Entry->Concurrency);
    const double Bound = workspaceBound(Inputs, Slots, Entry->Weight);
    SecondLargest = std::max(SecondLargest, std::min(Largest, Bound));
    Largest = std::max(Largest, Bound);
  }
  return Largest + SecondLargest;
}

CellStatus Cell::status(TimePoint Now) const {
  CellStatus Status;
  Status.Ready = ready(Now);
  Status.RoutersHeard = Replicas.coverage().Heard;
  Status.RoutersRegistered = Replicas.coverage().Registered;
  Status.Capacity = Replicas.capacity();
  Status.InFlight = Replicas.inFlight();
  Status.ServiceGap = Queue.gap();
  Status.FairnessBound = fairnessBound();
  Status.Counters = Counters;
  for (const auto &[Id, Entry] : Queue.all()) {
    Status.Waiting += Entry.QueuedCount;
    Status.Workspaces.push_back(
        {Id, Entry.Weight, Entry.QueuedCount, Entry.InFlight, Entry.Backlogged,
         Entry.Time.value(), Entry.Served, Entry.Correction});
  }
  for (const auto &[Id, Entry] : Replicas.all())
    Status.Replicas.push_back(
        {Id, Entry.Limit.value(), Entry.usable(Replicas.coverage()),
         Entry.InFlight, Entry.foreign(Replicas.coverage())});
  return Status;
}

} // namespace mallowglade

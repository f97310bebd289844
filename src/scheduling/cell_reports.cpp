#include <mallowglade/detail/scheduling/cell.hpp>

#include <algorithm>

namespace mallowglade {

Cell::RouterEntry &Cell::router(const RouterId &Id) {
  const auto [Found, Added] = Routers.try_emplace(Id);
  RouterEntry &Entry = Found->second;
  if (Added) {
    Entry.Id = Id;
    Entry.Index = RouterByIndex.size();
    RouterByIndex.push_back(&Entry);
  }
  return Entry;
}

bool Cell::acceptSession(RouterEntry &Router, const DemandReport &Report) {
  if (Report.Session < Router.Session)
    return false;
  if (Report.Session == Router.Session && Router.Reported)
    return true;
  // A delta cannot be applied without the full report that it is based on.
  if (!Report.Full)
    return false;
  dropAllDemand(Router);
  Router.Demands.clear();
  std::set<GrantId> StillHeld;
  for (const HeldGrant &Held : Report.Held)
    StillHeld.insert(Held.Grant);
  const std::set<GrantId> PreviousGrants = Router.Grants;
  for (const GrantId Id : PreviousGrants)
    if (!StillHeld.contains(Id))
      reclaim(Id);
  Router.GrantedTickets.clear();
  Router.Session = Report.Session;
  Router.LatestSequence = 0;
  Router.FullSequence = 0;
  Router.Reported = true;
  Router.AllotmentDue = true;
  Router.FullReportNeeded = false;
  CoveragePending = true;
  return true;
}

void Cell::receive(const RouterId &SenderId, const DemandReport &Report,
                   TimePoint Now) {
  const auto Found = Routers.find(SenderId);
  // A report from a router that is not a live member is ignored. Nothing is
  // lost: the router repeats full reports until the owner responds.
  if (Found == Routers.end() || !Found->second.Alive)
    return;
  RouterEntry &Router = Found->second;
  if (!acceptSession(Router, Report)) {
    Router.FullReportNeeded = Report.Session >= Router.Session;
    return;
  }
  ++Counters.Reports;
  Router.LastHeard = Now;
  Router.Silent = false;
  Router.LatestSequence = std::max(Router.LatestSequence, Report.Sequence);
  for (const GrantId Grant : Report.Accepted)
    acknowledge(Router, Grant, Report.Sequence);
  if (Report.Full && Report.Sequence > Router.FullSequence)
    applyFull(Router, Report, Now);
  for (const WorkspaceDemand &Demand : Report.Workspaces)
    applyDemand(Router, Demand, Report, Now);
}

void Cell::applyDemand(RouterEntry &Router, const WorkspaceDemand &Demand,
                       const DemandReport &Report, TimePoint Now) {
  DemandState &State = Router.Demands[Demand.Workspace];
  if (State.Sequence >= Report.Sequence)
    return;
  WorkspaceEntry &Entry = Queue.entry(Demand.Workspace);
  const bool First = State.Sequence == 0;
  State.Sequence = Report.Sequence;
  for (const WaitingKey &Key : State.Keys)
    Entry.Waiting.erase(Key);
  State.Keys.clear();
  Entry.QueuedCount -= std::min(Entry.QueuedCount, State.QueuedCount);
  State.QueuedCount = Demand.Queued;
  for (const QueuedItem &Item : Demand.OldestRequests) {
    if (Router.GrantedTickets.contains(Item.Id)) {
      State.QueuedCount -= std::min<std::uint64_t>(1, State.QueuedCount);
      continue;
    }
    const WaitingKey Key{Now - Item.Waited, Router.Index, Item.Id};
    Entry.Waiting.emplace(Key, Item);
    State.Keys.push_back(Key);
  }
  Entry.QueuedCount += State.QueuedCount;
  if (First)
    State.ArrivalsBefore =
        Demand.Arrivals -
        std::min<std::uint64_t>(Demand.Arrivals, Demand.Queued);
  State.Arrivals = std::max(State.Arrivals, Demand.Arrivals);
  Entry.ReportedLag = std::max(Entry.ReportedLag, Demand.Lag);
  Queue.refresh(Entry);
}

void Cell::dropDemand(RouterEntry &Router, const WorkspaceId &Id) {
  DemandState &State = Router.Demands[Id];
  WorkspaceEntry &Entry = Queue.entry(Id);
  for (const WaitingKey &Key : State.Keys)
    Entry.Waiting.erase(Key);
  State.Keys.clear();
  Entry.QueuedCount -= std::min(Entry.QueuedCount, State.QueuedCount);
  State.QueuedCount = 0;
  Queue.refresh(Entry);
}

void Cell::dropAllDemand(RouterEntry &Router) {
  for (const auto &[Id, State] : Router.Demands)
    dropDemand(Router, Id);
}

void Cell::applyFull(RouterEntry &Router, const DemandReport &Report,
                     TimePoint Now) {
  Router.FullSequence = Report.Sequence;
  for (const Completion &Done : Report.Ended)
    receive(Router.Id, Done, Now);
  std::set<GrantId> RunningIds;
  for (const HeldGrant &Held : Report.Held) {
    RunningIds.insert(Held.Grant);
    adopt(Router, Held, Report, Now);
  }
  const std::set<GrantId> PreviousGrants = Router.Grants;
  for (const GrantId Id : PreviousGrants) {
    const IssuedGrant &Granted = Grants.at(Id);
    const bool Confirmed = Granted.Acknowledged &&
                           Granted.Session == Report.Session &&
                           Granted.ConfirmedSequence < Report.Sequence;
    if (Confirmed && !RunningIds.contains(Id))
      settleGrant(Id, Granted.Served, GrantEnd::Cancelled, Now);
  }
  std::set<WorkspaceId> ListedWorkspaces;
  for (const WorkspaceDemand &Demand : Report.Workspaces)
    ListedWorkspaces.insert(Demand.Workspace);
  for (const auto &[Id, State] : Router.Demands)
    if (!ListedWorkspaces.contains(Id) && State.Sequence < Report.Sequence)
      dropDemand(Router, Id);
  std::erase_if(Router.Demands, [&](const auto &Entry) {
    return !ListedWorkspaces.contains(Entry.first) && Entry.second.Rate == 0 &&
           Entry.second.Sequence < Report.Sequence;
  });
}

void Cell::adopt(RouterEntry &Router, const HeldGrant &Held,
                 const DemandReport &Report, TimePoint Now) {
  if (Closed.contains(Held.Grant))
    return;
  const auto Found = Grants.find(Held.Grant);
  if (Found != Grants.end()) {
    // Grants of an earlier session continue under the new one.
    Found->second.Session = Report.Session;
    acknowledge(Router, Held.Grant, Report.Sequence);
    return;
  }
  WorkspaceEntry &Entry = Queue.entry(Held.Workspace);
  IssuedGrant &Granted = Grants[Held.Grant];
  Granted.Router = Router.Id;
  Granted.Session = Report.Session;
  Granted.Workspace = &Entry;
  Granted.Upstream = Held.Upstream;
  Granted.RequestFingerprint = Held.RequestFingerprint;
  Granted.Weight = Entry.Weight;
  Granted.Lifts = Entry.Time.lifts();
  Granted.Served = Held.Served.Value;
  Granted.Charged = Held.Served.Value;
  Granted.IssuedAt = Now;
  Granted.Acknowledged = true;
  Granted.ConfirmedSequence = Report.Sequence;
  Router.Grants.insert(Held.Grant);
  ++Entry.InFlight;
  ++Counters.Adopted;
  Replicas.adopt(Held.Upstream);
  if (Guard != nullptr)
    Guard->dispatched(Held.Grant, Held.RequestFingerprint, Held.Upstream);
  Queue.refresh(Entry);
}

void Cell::removeRouter(RouterEntry &Router) {
  dropAllDemand(Router);
  Router.Demands.clear();
  const std::set<GrantId> PreviousGrants = Router.Grants;
  for (const GrantId Id : PreviousGrants)
    reclaimAsLost(Id);
  Router.GrantedTickets.clear();
  Router.Reported = false;
  Router.Counted = false;
}

} // namespace mallowglade

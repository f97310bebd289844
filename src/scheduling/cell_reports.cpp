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

bool Cell::acceptSession(RouterEntry &From, const DemandReport &Report) {
  if (Report.Session < From.Session)
    return false;
  if (Report.Session == From.Session && From.Reported)
    return true;
  // A delta means nothing without the full report that it builds on.
  if (!Report.Full)
    return false;
  dropAllDemand(From);
  From.Wanted.clear();
  std::set<GrantId> Kept;
  for (const HeldGrant &Held : Report.Held)
    Kept.insert(Held.Grant);
  const std::set<GrantId> Before = From.Grants;
  for (const GrantId Id : Before)
    if (!Kept.contains(Id))
      forget(Id);
  From.Granted.clear();
  From.Session = Report.Session;
  From.LatestSequence = 0;
  From.FullSequence = 0;
  From.Reported = true;
  From.AllotmentDue = true;
  From.FullWanted = false;
  PartDue = true;
  return true;
}

void Cell::receive(const RouterId &Id, const DemandReport &Report,
                   TimePoint Now) {
  const auto Found = Routers.find(Id);
  // A router that membership does not list gets its chance once it does; it
  // repeats full reports until it is answered.
  if (Found == Routers.end() || !Found->second.Alive)
    return;
  RouterEntry &From = Found->second;
  if (!acceptSession(From, Report)) {
    From.FullWanted = Report.Session >= From.Session;
    return;
  }
  ++Counters.Reports;
  From.LastHeard = Now;
  From.Silent = false;
  From.LatestSequence = std::max(From.LatestSequence, Report.Sequence);
  for (const GrantId Grant : Report.Accepted)
    acknowledge(From, Grant, Report.Sequence);
  if (Report.Full && Report.Sequence > From.FullSequence)
    applyFull(From, Report, Now);
  for (const WorkspaceDemand &Wanted : Report.Workspaces)
    applyDemand(From, Wanted, Report, Now);
}

void Cell::applyDemand(RouterEntry &From, const WorkspaceDemand &Wanted,
                       const DemandReport &Report, TimePoint Now) {
  Demand &Known = From.Wanted[Wanted.Workspace];
  if (Known.Sequence >= Report.Sequence)
    return;
  WorkspaceEntry &Entry = Queue.entry(Wanted.Workspace);
  const bool First = Known.Sequence == 0;
  Known.Sequence = Report.Sequence;
  for (const WaitingKey &Key : Known.Keys)
    Entry.Waiting.erase(Key);
  Known.Keys.clear();
  Entry.Remaining -= std::min(Entry.Remaining, Known.Remaining);
  Known.Remaining = Wanted.Queued;
  for (const QueuedItem &Item : Wanted.Next) {
    if (From.Granted.contains(Item.Id)) {
      Known.Remaining -= std::min<std::uint64_t>(1, Known.Remaining);
      continue;
    }
    const WaitingKey Key{Now - Item.Waited, From.Index, Item.Id};
    Entry.Waiting.emplace(Key, Item);
    Known.Keys.push_back(Key);
  }
  Entry.Remaining += Known.Remaining;
  if (First)
    Known.ArrivalsBefore =
        Wanted.Arrivals -
        std::min<std::uint64_t>(Wanted.Arrivals, Wanted.Queued);
  Known.Arrivals = std::max(Known.Arrivals, Wanted.Arrivals);
  Entry.ReportedLag = std::max(Entry.ReportedLag, Wanted.Lag);
  Queue.refresh(Entry);
}

void Cell::dropDemand(RouterEntry &From, const WorkspaceId &Id) {
  Demand &Known = From.Wanted[Id];
  WorkspaceEntry &Entry = Queue.entry(Id);
  for (const WaitingKey &Key : Known.Keys)
    Entry.Waiting.erase(Key);
  Known.Keys.clear();
  Entry.Remaining -= std::min(Entry.Remaining, Known.Remaining);
  Known.Remaining = 0;
  Queue.refresh(Entry);
}

void Cell::dropAllDemand(RouterEntry &From) {
  for (const auto &[Id, Known] : From.Wanted)
    dropDemand(From, Id);
}

void Cell::applyFull(RouterEntry &From, const DemandReport &Report,
                     TimePoint Now) {
  From.FullSequence = Report.Sequence;
  for (const Completion &Done : Report.Ended)
    receive(From.Id, Done, Now);
  std::set<GrantId> Running;
  for (const HeldGrant &Held : Report.Held) {
    Running.insert(Held.Grant);
    adopt(From, Held, Report, Now);
  }
  const std::set<GrantId> Before = From.Grants;
  for (const GrantId Id : Before) {
    const Issued &Granted = Grants.at(Id);
    const bool Confirmed = Granted.Acknowledged &&
                           Granted.Session == Report.Session &&
                           Granted.ConfirmedAt < Report.Sequence;
    if (Confirmed && !Running.contains(Id))
      finish(Id, Granted.Served, GrantEnd::Cancelled, Now);
  }
  std::set<WorkspaceId> Listed;
  for (const WorkspaceDemand &Wanted : Report.Workspaces)
    Listed.insert(Wanted.Workspace);
  for (const auto &[Id, Known] : From.Wanted)
    if (!Listed.contains(Id) && Known.Sequence < Report.Sequence)
      dropDemand(From, Id);
  std::erase_if(From.Wanted, [&](const auto &Entry) {
    return !Listed.contains(Entry.first) && Entry.second.Rate == 0 &&
           Entry.second.Sequence < Report.Sequence;
  });
}

void Cell::adopt(RouterEntry &From, const HeldGrant &Held,
                 const DemandReport &Report, TimePoint Now) {
  if (Closed.contains(Held.Grant))
    return;
  const auto Found = Grants.find(Held.Grant);
  if (Found != Grants.end()) {
    // Grants of an earlier session go on under the new one.
    Found->second.Session = Report.Session;
    acknowledge(From, Held.Grant, Report.Sequence);
    return;
  }
  WorkspaceEntry &Entry = Queue.entry(Held.Workspace);
  Issued &Granted = Grants[Held.Grant];
  Granted.Router = From.Id;
  Granted.Session = Report.Session;
  Granted.Workspace = &Entry;
  Granted.Upstream = Held.Upstream;
  Granted.Print = Held.Print;
  Granted.Weight = Entry.Weight;
  Granted.Lifts = Entry.Time.lifts();
  Granted.Served = Held.Served.Value;
  Granted.Charged = Held.Served.Value;
  Granted.At = Now;
  Granted.Acknowledged = true;
  Granted.ConfirmedAt = Report.Sequence;
  From.Grants.insert(Held.Grant);
  ++Entry.InFlight;
  ++Counters.Adopted;
  Replicas.adopt(Held.Upstream);
  if (Guard != nullptr)
    Guard->dispatched(Held.Grant, Held.Print, Held.Upstream);
  Queue.refresh(Entry);
}

void Cell::removeRouter(RouterEntry &From) {
  dropAllDemand(From);
  From.Wanted.clear();
  const std::set<GrantId> Before = From.Grants;
  for (const GrantId Id : Before)
    forgetLost(Id);
  From.Granted.clear();
  From.Reported = false;
  From.Counted = false;
}

} // namespace mallowglade

#include <mallowglade/detail/scheduling/cell.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr double CorrectionHistoryWeight = 0.8;
constexpr double MaxCorrection = 16;
/// A grant that is not confirmed within this time was most likely lost.
/// Sending it again is safe, because routers ignore duplicates.
constexpr Milliseconds RepeatPeriod{300};
/// Ended grants are remembered for this time; no message is expected to
/// arrive later.
constexpr Milliseconds ClosedRetention{30'000};

} // namespace

void Cell::acknowledge(RouterEntry &Router, GrantId Id,
                       std::uint64_t Sequence) {
  const auto Found = Grants.find(Id);
  // A grant of the previous owner that arrived after the router's full report
  // takes a slot that this owner does not know of.
  if (Found == Grants.end() && !Closed.contains(Id))
    Router.FullReportNeeded = true;
  if (Found == Grants.end() || Found->second.Router != Router.Id ||
      Found->second.Acknowledged)
    return;
  Found->second.Acknowledged = true;
  Found->second.ConfirmedSequence = Sequence;
}

void Cell::setCharge(IssuedGrant &Granted, double Charged, double Served) {
  WorkspaceEntry &Entry = *Granted.Workspace;
  const double UnservedBefore = Granted.Charged - Granted.Served;
  const double UnservedAfter = Charged - Served;
  Entry.Unserved += (UnservedAfter - UnservedBefore) / Granted.Weight.Value;
  Entry.Served += Served - Granted.Served;
  const double Added = Charged - Granted.Charged;
  Granted.Charged = Charged;
  Granted.Served = Served;
  LargestRequest = std::max(LargestRequest, Charged);
  Queue.charge(Entry, Added, Granted.Weight, Granted.Lifts);
}

void Cell::receive(const RouterId &SenderId, const Progress &Update,
                   TimePoint Now) {
  const auto Sender = Routers.find(SenderId);
  if (Sender == Routers.end() || Sender->second.Session != Update.Session)
    return;
  Sender->second.LastHeard = Now;
  for (const Completion &Done : Update.Ended)
    receive(SenderId, Done, Now);
  for (const GrantProgress &State : Update.Grants) {
    acknowledge(Sender->second, State.Grant, Update.Sequence);
    const auto Found = Grants.find(State.Grant);
    if (Found == Grants.end() || Found->second.Router != SenderId)
      continue;
    IssuedGrant &Granted = Found->second;
    const double Served = std::max(Granted.Served, State.Served.Value);
    const double Charged = Served > Granted.Charged
                               ? chargeAhead(ServiceUnits(Served)).Value
                               : Granted.Charged;
    setCharge(Granted, Charged, Served);
    Replicas.sample(Granted.Upstream, State.FirstToken, State.InterToken);
    if (State.InterToken && State.InterToken->count() > 0 &&
        (FastestToken.count() == 0 || *State.InterToken < FastestToken))
      FastestToken = *State.InterToken;
  }
}

void Cell::receive(const RouterId &SenderId, const Completion &Done,
                   TimePoint Now) {
  const auto Found = Grants.find(Done.Grant);
  if (Found == Grants.end()) {
    // The grant was reclaimed earlier or is unknown to this owner; a late
    // report must not revive it.
    recordClosed(Done.Grant, Now);
    return;
  }
  if (Found->second.Router != SenderId)
    return;
  Replicas.sample(Found->second.Upstream, Done.FirstToken, Done.InterToken);
  const double Served = Done.End == GrantEnd::NotRun ? 0 : Done.Served.Value;
  settleGrant(Done.Grant, Served, Done.End, Now);
}

void Cell::receive(const RouterId &SenderId, const GrantReturn &Returned,
                   TimePoint Now) {
  const auto Found = Grants.find(Returned.Grant);
  if (Found == Grants.end() || Found->second.Router != SenderId ||
      Found->second.Acknowledged)
    return;
  ++Counters.Returned;
  Replicas.giveBack(Found->second.Upstream, Now);
  settleGrant(Returned.Grant, 0, GrantEnd::NotRun, Now);
}

void Cell::settleGrant(GrantId Id, double Served, GrantEnd End, TimePoint Now) {
  IssuedGrant &Granted = Grants.at(Id);
  if (End == GrantEnd::Answered)
    updateHintCorrection(Granted, Served);
  setCharge(Granted, Served, Served);
  if (Guard != nullptr && End == GrantEnd::Crashed)
    Guard->crashed(Id, Granted.RequestFingerprint, Granted.Upstream);
  else if (Guard != nullptr)
    Guard->ended(Id, Granted.RequestFingerprint, Granted.Upstream,
                 End == GrantEnd::Answered);
  recordClosed(Id, Now);
  Replicas.release(Granted.Upstream);
  removeGrant(Id);
}

void Cell::recordClosed(GrantId Id, TimePoint Now) {
  if (Closed.insert(Id).second)
    ClosedOrder.emplace_back(Now, Id);
}

void Cell::removeGrant(GrantId Id) {
  IssuedGrant &Granted = Grants.at(Id);
  WorkspaceEntry &Entry = *Granted.Workspace;
  const auto Router = Routers.find(Granted.Router);
  Router->second.Grants.erase(Id);
  Router->second.GrantedTickets.erase(Granted.Request);
  Grants.erase(Id);
  Entry.InFlight -= std::min(1U, Entry.InFlight);
  Queue.refresh(Entry);
}

void Cell::reclaim(GrantId Id) {
  IssuedGrant &Granted = Grants.at(Id);
  if (Guard != nullptr)
    Guard->ended(Id, Granted.RequestFingerprint, Granted.Upstream, false);
  setCharge(Granted, Granted.Served, Granted.Served);
  Replicas.release(Granted.Upstream);
  removeGrant(Id);
}

void Cell::reclaimAsLost(GrantId Id) {
  const UpstreamId Upstream = Grants.at(Id).Upstream;
  reclaim(Id);
  Replicas.markSlotLost(Upstream);
}

void Cell::updateHintCorrection(const IssuedGrant &Granted, double Served) {
  if (Granted.Hint <= 0)
    return;
  const double Ratio =
      std::clamp(Served / Granted.Hint, 1 / MaxCorrection, MaxCorrection);
  double &Correction = Granted.Workspace->Correction;
  Correction = std::clamp(CorrectionHistoryWeight * Correction +
                              (1 - CorrectionHistoryWeight) * Ratio,
                          1 / MaxCorrection, MaxCorrection);
}

void Cell::expireGrants(TimePoint Now) {
  const Milliseconds Lifetime = Settings.GrantLifetime + Settings.AckMargin;
  while (!Unconfirmed.empty() && Now - Unconfirmed.front().first >= Lifetime) {
    const GrantId Id = Unconfirmed.front().second;
    Unconfirmed.pop_front();
    const auto Found = Grants.find(Id);
    if (Found == Grants.end() || Found->second.Acknowledged)
      continue;
    ++Counters.Expired;
    reclaim(Id);
  }
  while (!ClosedOrder.empty() &&
         Now - ClosedOrder.front().first >= ClosedRetention) {
    Closed.erase(ClosedOrder.front().second);
    ClosedOrder.pop_front();
  }
}

void Cell::repeatGrants(TimePoint Now, std::vector<CellAction> &Actions) {
  if (Now - LastRepeat < RepeatPeriod)
    return;
  LastRepeat = Now;
  for (const auto &[IssuedAt, Id] : Unconfirmed) {
    const auto Found = Grants.find(Id);
    const auto Age = Now - IssuedAt;
    if (Found == Grants.end() || Found->second.Acknowledged ||
        Age < RepeatPeriod || Age >= Settings.GrantLifetime)
      continue;
    Actions.push_back(
        Outgoing<Grant>{Found->second.Router, grantMessage(Id, Found->second)});
  }
}

void Cell::dropSilentRouters(TimePoint Now) {
  for (auto &[Id, Router] : Routers) {
    if (Router.Silent || Now - Router.LastHeard < Settings.SilenceTimeout)
      continue;
    Router.Silent = true;
    dropAllDemand(Router);
  }
}

} // namespace mallowglade

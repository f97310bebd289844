#include <mallowglade/detail/scheduling/cell.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr double CorrectionMemory = 0.8;
constexpr double MaxCorrection = 16;
/// A router confirms a grant within a round trip; one that is later was most
/// likely lost, and a repeated grant does no harm.
constexpr Milliseconds RepeatPeriod{300};
/// Messages that are later than this are not expected.
constexpr Milliseconds ClosedRetention{30'000};

} // namespace

void Cell::acknowledge(const RouterEntry &From, GrantId Id,
                       std::uint64_t Sequence) {
  const auto Found = Grants.find(Id);
  if (Found == Grants.end() || Found->second.Router != From.Id ||
      Found->second.Acknowledged)
    return;
  Found->second.Acknowledged = true;
  Found->second.ConfirmedAt = Sequence;
}

void Cell::setCharge(Issued &Granted, double Charged, double Served) {
  WorkspaceEntry &Entry = *Granted.Workspace;
  const double Before = Granted.Charged - Granted.Served;
  const double After = Charged - Served;
  Entry.Unserved += (After - Before) / Granted.Weight.Value;
  Entry.Served += Served - Granted.Served;
  const double Added = Charged - Granted.Charged;
  Granted.Charged = Charged;
  Granted.Served = Served;
  LargestRequest = std::max(LargestRequest, Charged);
  Queue.charge(Entry, Added, Granted.Weight, Granted.Lifts);
}

void Cell::receive(const RouterId &From, const Progress &Update,
                   TimePoint Now) {
  const auto Sender = Routers.find(From);
  if (Sender == Routers.end() || Sender->second.Session != Update.Session)
    return;
  Sender->second.LastHeard = Now;
  for (const Completion &Done : Update.Ended)
    receive(From, Done, Now);
  for (const GrantProgress &State : Update.Grants) {
    acknowledge(Sender->second, State.Grant, Update.Sequence);
    const auto Found = Grants.find(State.Grant);
    if (Found == Grants.end() || Found->second.Router != From)
      continue;
    Issued &Granted = Found->second;
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

void Cell::receive(const RouterId &From, const Completion &Done,
                   TimePoint Now) {
  const auto Found = Grants.find(Done.Grant);
  if (Found == Grants.end()) {
    // The grant may have been given up before; it must not come back.
    close(Done.Grant, Now);
    return;
  }
  if (Found->second.Router != From)
    return;
  Replicas.sample(Found->second.Upstream, Done.FirstToken, Done.InterToken);
  const double Served = Done.End == GrantEnd::NotRun ? 0 : Done.Served.Value;
  finish(Done.Grant, Served, Done.End, Now);
}

void Cell::receive(const RouterId &From, const GrantReturn &Back,
                   TimePoint Now) {
  const auto Found = Grants.find(Back.Grant);
  if (Found == Grants.end() || Found->second.Router != From ||
      Found->second.Acknowledged)
    return;
  ++Counters.Returned;
  finish(Back.Grant, 0, GrantEnd::NotRun, Now);
}

void Cell::finish(GrantId Id, double Served, GrantEnd End, TimePoint Now) {
  Issued &Granted = Grants.at(Id);
  if (End == GrantEnd::Answered)
    correctHint(Granted, Served);
  setCharge(Granted, Served, Served);
  if (Guard != nullptr && End == GrantEnd::Crashed)
    Guard->crashed(Id, Granted.Print, Granted.Upstream);
  else if (Guard != nullptr)
    Guard->ended(Id, Granted.Print, Granted.Upstream,
                 End == GrantEnd::Answered);
  close(Id, Now);
  Replicas.release(Granted.Upstream);
  detach(Id);
}

void Cell::close(GrantId Id, TimePoint Now) {
  if (Closed.insert(Id).second)
    ClosedOrder.emplace_back(Now, Id);
}

void Cell::detach(GrantId Id) {
  Issued &Granted = Grants.at(Id);
  WorkspaceEntry &Entry = *Granted.Workspace;
  const auto Owner = Routers.find(Granted.Router);
  Owner->second.Grants.erase(Id);
  Owner->second.Granted.erase(Granted.Request);
  Grants.erase(Id);
  Entry.InFlight -= std::min(1U, Entry.InFlight);
  Queue.refresh(Entry);
}

void Cell::forget(GrantId Id) {
  Issued &Granted = Grants.at(Id);
  if (Guard != nullptr)
    Guard->ended(Id, Granted.Print, Granted.Upstream, false);
  setCharge(Granted, Granted.Served, Granted.Served);
  Replicas.release(Granted.Upstream);
  detach(Id);
}

void Cell::forgetLost(GrantId Id) {
  const UpstreamId Where = Grants.at(Id).Upstream;
  forget(Id);
  Replicas.markLost(Where);
}

void Cell::correctHint(const Issued &Granted, double Served) {
  if (Granted.Hint <= 0)
    return;
  const double Ratio =
      std::clamp(Served / Granted.Hint, 1 / MaxCorrection, MaxCorrection);
  double &Correction = Granted.Workspace->Correction;
  Correction =
      std::clamp(CorrectionMemory * Correction + (1 - CorrectionMemory) * Ratio,
                 1 / MaxCorrection, MaxCorrection);
}

void Cell::expireGrants(TimePoint Now) {
  const Milliseconds Life = Settings.GrantLife + Settings.AckMargin;
  while (!Unconfirmed.empty() && Now - Unconfirmed.front().first >= Life) {
    const GrantId Id = Unconfirmed.front().second;
    Unconfirmed.pop_front();
    const auto Found = Grants.find(Id);
    if (Found == Grants.end() || Found->second.Acknowledged)
      continue;
    ++Counters.Expired;
    forget(Id);
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
  for (const auto &[At, Id] : Unconfirmed) {
    const auto Found = Grants.find(Id);
    const auto Age = Now - At;
    if (Found == Grants.end() || Found->second.Acknowledged ||
        Age < RepeatPeriod || Age >= Settings.GrantLife)
      continue;
    Actions.push_back(
        Outgoing<Grant>{Found->second.Router, messageOf(Id, Found->second)});
  }
}

void Cell::dropSilent(TimePoint Now) {
  for (auto &[Id, From] : Routers) {
    if (From.Silent || Now - From.LastHeard < Settings.Silence)
      continue;
    From.Silent = true;
    dropAllDemand(From);
  }
}

} // namespace mallowglade

#include <mallowglade/membership.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Number of seeds contacted at once by a router that knows no member.
constexpr std::size_t JoinAttempts = 3;

void shuffle(std::vector<RouterId> &Items, RandomSource &Random) {
  for (std::size_t I = Items.size(); I > 1; --I)
    std::swap(Items[I - 1], Items[Random.below(I)]);
}

} // namespace

void FailureDetector::tick(TimePoint Now) {
  if (Now - LastTick > Options.PauseLimit)
    shiftAfterPause(Now);
  LastTick = Now;
  checkPending(Now);
  checkSuspects(Now);
  if (Now >= NextProbe)
    startProbe(Now);
  if (Now >= NextDeadProbe)
    probeUnreachable(Now);
  if (!Joined && Now >= NextJoin)
    join(Now);
}

/// The time of a pause does not count against the others: their answers may
/// still wait in the sockets.
void FailureDetector::shiftAfterPause(TimePoint Now) {
  const auto Pause = Now - LastTick;
  LastAnswer += Pause;
  LastChange += Pause;
  Pending.clear();
  Relays.clear();
  for (const RouterId &Id : Suspects)
    Members[Id].Since += Pause;
}

void FailureDetector::startProbe(TimePoint Now) {
  // The schedule is kept, except that a late tick does not cause a burst.
  NextProbe =
      std::max(NextProbe + Options.ProbePeriod, Now + Options.ProbePeriod / 2);
  const std::optional<RouterId> Target = nextTarget();
  if (!Target)
    return;
  Pending[++LastSequence] = {*Target, Now, false};
  send(*Target, MemberMessageKind::Probe, LastSequence);
}

std::optional<RouterId> FailureDetector::nextTarget() {
  const auto IsTarget = [this](const RouterId &Id) {
    const auto Found = Members.find(Id);
    return Found != Members.end() &&
           Found->second.Record.State != MemberState::Dead;
  };
  while (!Order.empty()) {
    const RouterId Next = Order.back();
    Order.pop_back();
    if (IsTarget(Next))
      return Next;
  }
  for (const auto &[Id, Known] : Members)
    if (IsTarget(Id))
      Order.push_back(Id);
  if (Order.empty())
    return std::nullopt;
  shuffle(Order, Random);
  const RouterId Next = Order.back();
  Order.pop_back();
  return Next;
}

void FailureDetector::checkPending(TimePoint Now) {
  for (auto It = Pending.begin(); It != Pending.end();) {
    PendingProbe &Probe = It->second;
    const auto Waited = Now - Probe.Started;
    if (!Probe.IndirectSent && Waited >= Options.IndirectAfter) {
      Probe.IndirectSent = true;
      sendIndirect(Probe, It->first);
    }
    if (Waited < Options.ProbePeriod) {
      ++It;
      continue;
    }
    const RouterId Target = Probe.Target;
    It = Pending.erase(It);
    setState(Now, Target, MemberState::Suspect);
    if (Suspects.contains(Target))
      OwnSuspects.try_emplace(Target, OwnSuspect{Now});
  }
  std::erase_if(Relays, [this, Now](const auto &Item) {
    return Now - Item.second.Started >= Options.ProbePeriod;
  });
}

void FailureDetector::sendIndirect(const PendingProbe &Probe,
                                   std::uint64_t Sequence) {
  std::vector<RouterId> Candidates;
  for (const auto &[Id, Known] : Members)
    if (Id != Probe.Target && Known.Record.State == MemberState::Alive)
      Candidates.push_back(Id);
  for (const RouterId &Id : sample(Candidates, Options.IndirectProbes))
    send(Id, MemberMessageKind::ProbeRequest, Sequence, Probe.Target);
}

void FailureDetector::checkSuspects(TimePoint Now) {
  for (auto &[Id, Suspected] : OwnSuspects) {
    if (Now < Suspected.NextProbe)
      continue;
    Suspected.NextProbe = Now + Options.SuspectProbePeriod;
    if (Now - Members[Id].Since >= Options.ShareAfter)
      shareSuspicion(Now, Id);
    send(Id, MemberMessageKind::Probe, ++LastSequence);
  }
  const std::set<RouterId> Before = Suspects;
  for (const RouterId &Id : Before) {
    if (Now - Members[Id].Since < Options.SuspicionTime)
      continue;
    const bool Own = OwnSuspects.contains(Id);
    setState(Now, Id, MemberState::Dead);
    if (Own && !Members[Id].Unshared)
      spreadNow(Now);
  }
}

std::vector<RouterId> FailureDetector::unreachable() const {
  std::vector<RouterId> Ids;
  for (const auto &[Id, Known] : Members)
    if (Known.Record.State == MemberState::Dead)
      Ids.push_back(Id);
  for (const RouterId &Id : Seeds)
    if (!Members.contains(Id))
      Ids.push_back(Id);
  return Ids;
}

void FailureDetector::probeUnreachable(TimePoint Now) {
  NextDeadProbe = Now + Options.DeadProbePeriod;
  forgetDead(Now);
  for (const RouterId &Id : sample(unreachable(), 1))
    send(Id, MemberMessageKind::Probe, ++LastSequence);
}

void FailureDetector::join(TimePoint Now) {
  NextJoin = Now + Options.ProbePeriod;
  const std::vector<RouterId> Candidates(Seeds.begin(), Seeds.end());
  for (const RouterId &Id : sample(Candidates, JoinAttempts))
    sendSync(Now, Id, MemberMessageKind::Sync);
}

void FailureDetector::forgetDead(TimePoint Now) {
  std::erase_if(Members, [this, Now](const auto &Item) {
    return Item.second.Record.State == MemberState::Dead &&
           Now - Item.second.Since >= Options.DeadRetention;
  });
}

std::vector<RouterId> FailureDetector::sample(std::vector<RouterId> Candidates,
                                              std::size_t Count) {
  const std::size_t Taken = std::min(Count, Candidates.size());
  for (std::size_t I = 0; I < Taken; ++I) {
    const std::size_t Left = Candidates.size() - I;
    std::swap(Candidates[I], Candidates[I + Random.below(Left)]);
  }
  Candidates.resize(Taken);
  return Candidates;
}

} // namespace mallowglade

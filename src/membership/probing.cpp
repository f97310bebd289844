#include <mallowglade/membership.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Number of seeds that a router sends a sync to at once until it has joined.
constexpr std::size_t JoinSeedCount = 3;

void shuffle(std::vector<RouterId> &Items, RandomSource &Random) {
  for (std::size_t I = Items.size(); I > 1; --I)
    std::swap(Items[I - 1], Items[Random.below(I)]);
}

} // namespace

void FailureDetector::tick(TimePoint Now) {
  if (Now - LastTick > Options.PauseThreshold)
    extendDeadlinesAfterPause(Now);
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

/// Excludes the pause of this process from the timeouts of other members: their
/// replies may still be unread in the socket buffers.
void FailureDetector::extendDeadlinesAfterPause(TimePoint Now) {
  const auto PauseDuration = Now - LastTick;
  LastReply += PauseDuration;
  LastChange += PauseDuration;
  Pending.clear();
  Relays.clear();
  for (const RouterId &Id : Suspects)
    Members[Id].UpdatedAt += PauseDuration;
}

void FailureDetector::startProbe(TimePoint Now) {
  // Keeps a fixed schedule, but leaves at least half a period after a late tick
  // to avoid a burst of probes.
  NextProbe =
      std::max(NextProbe + Options.ProbePeriod, Now + Options.ProbePeriod / 2);
  const std::optional<RouterId> Target = nextProbeTarget();
  if (!Target)
    return;
  Pending[++LastSequence] = {*Target, Now, false};
  send(*Target, MemberMessageKind::Probe, LastSequence);
}

std::optional<RouterId> FailureDetector::nextProbeTarget() {
  const auto IsTarget = [this](const RouterId &Id) {
    const auto Found = Members.find(Id);
    return Found != Members.end() &&
           Found->second.Record.State != MemberState::Dead;
  };
  while (!ProbeOrder.empty()) {
    const RouterId Next = ProbeOrder.back();
    ProbeOrder.pop_back();
    if (IsTarget(Next))
      return Next;
  }
  for (const auto &[Id, Member] : Members)
    if (IsTarget(Id))
      ProbeOrder.push_back(Id);
  if (ProbeOrder.empty())
    return std::nullopt;
  shuffle(ProbeOrder, Random);
  const RouterId Next = ProbeOrder.back();
  ProbeOrder.pop_back();
  return Next;
}

void FailureDetector::checkPending(TimePoint Now) {
  for (auto It = Pending.begin(); It != Pending.end();) {
    PendingProbe &Probe = It->second;
    const auto Elapsed = Now - Probe.Started;
    if (!Probe.IndirectSent && Elapsed >= Options.IndirectProbeDelay) {
      Probe.IndirectSent = true;
      sendIndirect(Probe, It->first);
    }
    if (Elapsed < Options.ProbePeriod) {
      ++It;
      continue;
    }
    const RouterId Target = Probe.Target;
    It = Pending.erase(It);
    escalateState(Now, Target, MemberState::Suspect);
    if (Suspects.contains(Target))
      SuspectProbes.try_emplace(Target, SuspectProbe{Now});
  }
  std::erase_if(Relays, [this, Now](const auto &Item) {
    return Now - Item.second.Started >= Options.ProbePeriod;
  });
}

void FailureDetector::sendIndirect(const PendingProbe &Probe,
                                   std::uint64_t Sequence) {
  std::vector<RouterId> Candidates;
  for (const auto &[Id, Member] : Members)
    if (Id != Probe.Target && Member.Record.State == MemberState::Alive)
      Candidates.push_back(Id);
  for (const RouterId &Id : sample(Candidates, Options.IndirectProbeCount))
    send(Id, MemberMessageKind::ProbeRequest, Sequence, Probe.Target);
}

void FailureDetector::checkSuspects(TimePoint Now) {
  for (auto &[Id, Schedule] : SuspectProbes) {
    if (Now < Schedule.NextProbe)
      continue;
    Schedule.NextProbe = Now + Options.SuspectProbePeriod;
    if (Now - Members[Id].UpdatedAt >= Options.SuspicionGossipDelay)
      gossipSuspicion(Now, Id);
    send(Id, MemberMessageKind::Probe, ++LastSequence);
  }
  const std::set<RouterId> SuspectsSnapshot = Suspects;
  for (const RouterId &Id : SuspectsSnapshot) {
    if (Now - Members[Id].UpdatedAt < Options.SuspicionTimeout)
      continue;
    const bool SuspectedLocally = SuspectProbes.contains(Id);
    escalateState(Now, Id, MemberState::Dead);
    if (SuspectedLocally && !Members[Id].LocalOnly)
      disseminateNow(Now);
  }
}

std::vector<RouterId> FailureDetector::unreachableRouters() const {
  std::vector<RouterId> Ids;
  for (const auto &[Id, Member] : Members)
    if (Member.Record.State == MemberState::Dead)
      Ids.push_back(Id);
  for (const RouterId &Id : Seeds)
    if (!Members.contains(Id))
      Ids.push_back(Id);
  return Ids;
}

void FailureDetector::probeUnreachable(TimePoint Now) {
  NextDeadProbe = Now + Options.DeadProbePeriod;
  evictExpiredDead(Now);
  for (const RouterId &Id : sample(unreachableRouters(), 1))
    send(Id, MemberMessageKind::Probe, ++LastSequence);
}

void FailureDetector::join(TimePoint Now) {
  NextJoin = Now + Options.ProbePeriod;
  const std::vector<RouterId> Candidates(Seeds.begin(), Seeds.end());
  for (const RouterId &Id : sample(Candidates, JoinSeedCount))
    sendSync(Now, Id, MemberMessageKind::Sync);
}

void FailureDetector::evictExpiredDead(TimePoint Now) {
  std::erase_if(Members, [this, Now](const auto &Item) {
    return Item.second.Record.State == MemberState::Dead &&
           Now - Item.second.UpdatedAt >= Options.DeadRetention;
  });
}

std::vector<RouterId> FailureDetector::sample(std::vector<RouterId> Candidates,
                                              std::size_t Count) {
  const std::size_t SampleSize = std::min(Count, Candidates.size());
  for (std::size_t I = 0; I < SampleSize; ++I) {
    const std::size_t Remaining = Candidates.size() - I;
    std::swap(Candidates[I], Candidates[I + Random.below(Remaining)]);
  }
  Candidates.resize(SampleSize);
  return Candidates;
}

} // namespace mallowglade

#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade::dataplane {

namespace {

/// Back-off after the first failure; doubles with each consecutive one.
constexpr Milliseconds InitialBackoff{250};
constexpr unsigned MaxBackoffDoublings = 3;

/// Minimum interval between decay steps; shorter ones would cost CPU time.
constexpr Milliseconds DecayInterval{20};

/// @return true if both records are of one process at one address
bool sameProcess(const UpstreamRecord &Left, const UpstreamRecord &Right) {
  return Left.Address == Right.Address && Left.BornMs == Right.BornMs;
}

} // namespace

UpstreamLoad &UpstreamLoad::operator+=(const UpstreamLoad &Other) {
  Running += Other.Running;
  UnreadPrompt += Other.UnreadPrompt;
  KvTokens += Other.KvTokens;
  RecentWork += Other.RecentWork;
  return *this;
}

UpstreamLoad &UpstreamLoad::operator-=(const UpstreamLoad &Other) {
  Running = std::max(0.0, Running - Other.Running);
  UnreadPrompt = std::max(0.0, UnreadPrompt - Other.UnreadPrompt);
  KvTokens = std::max(0.0, KvTokens - Other.KvTokens);
  return *this;
}

UpstreamLoad UpstreamState::total() const {
  UpstreamLoad Sum = Own;
  Sum += Peers;
  return Sum;
}

void UpstreamTable::decay(TimePoint Now) {
  const auto Elapsed = Now - DecayedAt;
  if (Elapsed < DecayInterval)
    return;
  const bool IsFirstCall = DecayedAt == TimePoint{};
  DecayedAt = Now;
  if (IsFirstCall)
    return;
  const double TimeConstants =
      std::chrono::duration<double>(Elapsed) /
      std::chrono::duration<double>(RecentWorkDecayTime);
  const double Factor = std::exp(-TimeConstants);
  for (auto &[Id, State] : Upstreams) {
    State.Own.RecentWork *= Factor;
    State.Peers.RecentWork *= Factor;
  }
}

std::vector<UpstreamRecord>
UpstreamTable::update(const std::vector<UpstreamRecord> &List) {
  std::vector<UpstreamRecord> Unavailable;
  std::map<UpstreamId, UpstreamState> Next;
  for (const UpstreamRecord &Record : List) {
    UpstreamState &State = Next[Record.Id];
    const auto Previous = Upstreams.find(Record.Id);
    if (Previous != Upstreams.end() &&
        sameProcess(Previous->second.Record, Record))
      State = Previous->second;
    State.Record = Record;
    State.Key = UpstreamKey(stableHash(Record.Id.Value));
    State.Process = upstreamProcess(Record);
    applyNotices(State);
  }
  for (const auto &[Id, State] : Upstreams) {
    const auto Current = Next.find(Id);
    const bool Ready = Current != Next.end() && Current->second.Record.Ready &&
                       sameProcess(Current->second.Record, State.Record);
    if (!Ready)
      Unavailable.push_back(State.Record);
    if (Current == Next.end() || Current->second.Process != State.Process)
      Stated.forget(State.Process);
  }
  Upstreams = std::move(Next);
  ByService.clear();
  std::unordered_map<UpstreamProcess, ServiceKey> Listed;
  for (auto &[Id, State] : Upstreams) {
    ByService[State.Record.Service].push_back(&State);
    Listed.emplace(State.Process, serviceKey(State.Record.Service));
  }
  Limits.setListed(std::move(Listed));
  Cold.setListed(List);
  applyCold();
  setPeers(PeerLoads);
  return Unavailable;
}

std::vector<UpstreamRecord>
UpstreamTable::setEvacuated(const std::set<ZoneId> &Zones) {
  std::vector<UpstreamRecord> Added;
  for (auto &[Id, State] : Upstreams) {
    const bool Evacuated = Zones.contains(State.Record.Zone);
    if (Evacuated && !State.Evacuated)
      Added.push_back(State.Record);
    State.Evacuated = Evacuated;
  }
  return Added;
}

std::size_t UpstreamTable::countEvacuated() const {
  return static_cast<std::size_t>(
      std::count_if(Upstreams.begin(), Upstreams.end(),
                    [](const auto &Entry) { return Entry.second.Evacuated; }));
}

bool UpstreamTable::isEvacuated(const UpstreamId &Id) const {
  const auto Found = Upstreams.find(Id);
  return Found != Upstreams.end() && Found->second.Evacuated;
}

void UpstreamTable::setPeers(const LoadTable &Sum) {
  if (&Sum != &PeerLoads)
    PeerLoads = Sum;
  for (auto &[Id, State] : Upstreams) {
    const auto Found = PeerLoads.find(State.Key);
    State.Peers = Found == PeerLoads.end() ? UpstreamLoad() : Found->second;
  }
}

UpstreamState *UpstreamTable::find(const UpstreamId &Id) {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

const std::vector<UpstreamState *> &
UpstreamTable::upstreamsOf(const ServiceId &Name) const {
  static const std::vector<UpstreamState *> Empty;
  const auto Found = ByService.find(Name);
  return Found == ByService.end() ? Empty : Found->second;
}

void UpstreamTable::add(const UpstreamId &Id, const UpstreamLoad &Load) {
  if (UpstreamState *State = find(Id))
    State->Own += Load;
}

void UpstreamTable::remove(const UpstreamId &Id, const UpstreamLoad &Load) {
  if (UpstreamState *State = find(Id))
    State->Own -= Load;
}

void UpstreamTable::failed(const UpstreamId &Id) {
  UpstreamState *State = find(Id);
  if (State == nullptr)
    return;
  const unsigned Doublings =
      std::min(State->ConsecutiveFailures, MaxBackoffDoublings);
  ++State->ConsecutiveFailures;
  State->BackoffUntil = Time.now() + InitialBackoff * (1U << Doublings);
}

void UpstreamTable::answered(const UpstreamId &Id) {
  if (UpstreamState *State = find(Id)) {
    State->ConsecutiveFailures = 0;
    State->BackoffUntil = TimePoint{};
  }
}

void UpstreamTable::refusedUnidentified(const UpstreamId &Id) {
  if (UpstreamState *State = find(Id))
    State->RefusesUnidentified = true;
}

void UpstreamTable::accepted(const UpstreamId &Id) {
  if (UpstreamState *State = find(Id))
    State->Recovering = State->PausedUntil > Time.now();
}

void UpstreamTable::applyNotices(UpstreamState &State) const {
  State.Leaving = Notices.isLeaving(State.Record);
  const TimePoint Until = Notices.pausedUntil(State.Record);
  if (Until > State.PausedUntil)
    State.Recovering = true;
  State.PausedUntil = Until;
}

bool UpstreamTable::leaving(const UpstreamRecord &Upstream) {
  const bool IsNew = Notices.recordLeaving(Upstream);
  if (UpstreamState *State = find(Upstream.Id))
    applyNotices(*State);
  return IsNew;
}

void UpstreamTable::paused(const UpstreamRecord &Upstream, TimePoint Until) {
  Notices.recordPause(Upstream, Until);
  if (UpstreamState *State = find(Upstream.Id))
    applyNotices(*State);
}

bool UpstreamTable::takesRequests(const UpstreamRecord &Upstream) const {
  const auto Found = Upstreams.find(Upstream.Id);
  return Found != Upstreams.end() && Found->second.staysInUse() &&
         sameProcess(Found->second.Record, Upstream) &&
         Found->second.PausedUntil <= Time.now();
}

std::pair<std::size_t, std::size_t> UpstreamTable::countNoticed() const {
  const TimePoint Now = Time.now();
  std::pair<std::size_t, std::size_t> Counts;
  for (const auto &[Id, State] : Upstreams) {
    Counts.first += State.Leaving ? 1 : 0;
    Counts.second += !State.Leaving && State.PausedUntil > Now ? 1 : 0;
  }
  return Counts;
}

std::size_t UpstreamTable::countSlow() const {
  constexpr double SlowFactor = 1.25;
  return static_cast<std::size_t>(
      std::count_if(Upstreams.begin(), Upstreams.end(), [&](const auto &Entry) {
        return Stated.workTimeFactor(Entry.second.Process) >= SlowFactor;
      }));
}

LoadTable UpstreamTable::ownLoads() {
  constexpr double MinReportedWork = 1;
  LoadTable Table;
  decay(Time.now());
  for (auto &[Id, State] : Upstreams) {
    if (State.Own.Running > 0 || State.Own.RecentWork > MinReportedWork)
      Table.emplace(State.Key, State.Own);
  }
  return Table;
}

} // namespace mallowglade::dataplane

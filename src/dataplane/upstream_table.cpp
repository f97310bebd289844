#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade::dataplane {

namespace {

/// First pause after a failure; doubles with each further one in a row.
constexpr Milliseconds FirstAvoidance{250};
constexpr unsigned MaxDoublings = 3;

/// Steps in which recent work decays; finer ones would cost processor time.
constexpr Milliseconds DecayStep{20};

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
  const auto Age = Now - DecayedAt;
  if (Age < DecayStep)
    return;
  const bool First = DecayedAt == TimePoint{};
  DecayedAt = Now;
  if (First)
    return;
  const double Spans = std::chrono::duration<double>(Age) /
                       std::chrono::duration<double>(RecentSpan);
  const double Factor = std::exp(-Spans);
  for (auto &[Id, State] : All) {
    State.Own.RecentWork *= Factor;
    State.Peers.RecentWork *= Factor;
  }
}

std::vector<UpstreamRecord>
UpstreamTable::update(const std::vector<UpstreamRecord> &List) {
  std::vector<UpstreamRecord> Gone;
  std::map<UpstreamId, UpstreamState> Next;
  for (const UpstreamRecord &Record : List) {
    UpstreamState &State = Next[Record.Id];
    const auto Known = All.find(Record.Id);
    if (Known != All.end() && Known->second.Record.Address == Record.Address)
      State = Known->second;
    State.Record = Record;
    State.Key = UpstreamKey(stableHash(Record.Id.Value));
  }
  for (const auto &[Id, State] : All) {
    const auto Kept = Next.find(Id);
    const bool Ready = Kept != Next.end() && Kept->second.Record.Ready &&
                       Kept->second.Record.Address == State.Record.Address;
    if (!Ready)
      Gone.push_back(State.Record);
  }
  All = std::move(Next);
  ByService.clear();
  for (auto &[Id, State] : All)
    ByService[State.Record.Service].push_back(&State);
  setPeers(PeerSum);
  return Gone;
}

void UpstreamTable::setPeers(const LoadTable &Sum) {
  if (&Sum != &PeerSum)
    PeerSum = Sum;
  for (auto &[Id, State] : All) {
    const auto Found = PeerSum.find(State.Key);
    State.Peers = Found == PeerSum.end() ? UpstreamLoad() : Found->second;
  }
}

UpstreamState *UpstreamTable::find(const UpstreamId &Id) {
  const auto Found = All.find(Id);
  return Found == All.end() ? nullptr : &Found->second;
}

const std::vector<UpstreamState *> &
UpstreamTable::ofService(const ServiceId &Name) const {
  static const std::vector<UpstreamState *> None;
  const auto Found = ByService.find(Name);
  return Found == ByService.end() ? None : Found->second;
}

void UpstreamTable::add(const UpstreamId &Id, const UpstreamLoad &Work) {
  if (UpstreamState *State = find(Id))
    State->Own += Work;
}

void UpstreamTable::remove(const UpstreamId &Id, const UpstreamLoad &Work) {
  if (UpstreamState *State = find(Id))
    State->Own -= Work;
}

void UpstreamTable::failed(const UpstreamId &Id) {
  UpstreamState *State = find(Id);
  if (State == nullptr)
    return;
  const unsigned Doublings = std::min(State->FailuresInARow, MaxDoublings);
  ++State->FailuresInARow;
  State->AvoidUntil = Time.now() + FirstAvoidance * (1U << Doublings);
}

void UpstreamTable::answered(const UpstreamId &Id) {
  if (UpstreamState *State = find(Id)) {
    State->FailuresInARow = 0;
    State->AvoidUntil = TimePoint{};
  }
}

LoadTable UpstreamTable::ownLoads() {
  constexpr double Negligible = 1;
  LoadTable Table;
  decay(Time.now());
  for (auto &[Id, State] : All) {
    if (State.Own.Running > 0 || State.Own.RecentWork > Negligible)
      Table.emplace(State.Key, State.Own);
  }
  return Table;
}

} // namespace mallowglade::dataplane

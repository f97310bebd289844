#include <mallowglade/detail/settings/replica.hpp>

#include <algorithm>

namespace mallowglade {

void SettingsReplica::hear(const RouterId &Peer, SettingsVersion Version) {
  Heard[Peer] = Version;
  HighestHeard = std::max(HighestHeard, Version);
}

ReplicaActions SettingsReplica::noticeVersion(SettingsVersion Version,
                                              const RouterId &Peer,
                                              TimePoint Now) {
  if (Peer == Self.Id)
    return {};
  hear(Peer, Version);
  return fetchHigher(Now);
}

ReplicaActions SettingsReplica::fetchHigher(TimePoint Now) {
  if (Asked || HighestHeard <= InForce->Head.Version)
    return {};
  const std::optional<RouterId> Peer = choosePeer();
  if (!Peer) {
    fallBackToService(Now);
    return {};
  }
  Asked = Peer;
  AskDeadline = Now + Timing.PeerTimeout;
  SettingsRequest Request;
  for (const auto &[Number, Pack] : InForce->Packs)
    Request.Held[Number] = Pack.Version;
  return {AskPeer{*Peer, std::move(Request)}};
}

/// A version may have been heard of that nobody has any more, so the attempts
/// become rarer until they are as rare as the slow poll.
void SettingsReplica::fallBackToService(TimePoint Now) {
  if (Now < NextFallback)
    return;
  constexpr unsigned MaxDoublings = 16;
  const auto Doubled =
      Timing.AskPeriod * (1LL << std::min(Misses, MaxDoublings));
  ++Misses;
  const auto Delay = std::min<Milliseconds>(Doubled, Timing.PollPeriod);
  NextFallback = Now + varied(Delay, 80, 120);
  Failed.clear();
  if (Failures == 0)
    NextRead = std::min(NextRead, Now);
}

bool SettingsReplica::isInZone(const RouterId &Peer) const {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const ReplicaMember &Other) {
                       return Other.Id == Peer && Other.Zone == Self.Zone;
                     });
}

std::optional<RouterId> SettingsReplica::choosePeer() {
  std::vector<RouterId> Near;
  std::vector<RouterId> Far;
  for (const auto &[Peer, Version] : Heard) {
    if (Version <= InForce->Head.Version || Failed.contains(Peer))
      continue;
    const bool SameZone = isInZone(Peer);
    (SameZone ? Near : Far).push_back(Peer);
  }
  const std::vector<RouterId> &Candidates = Near.empty() ? Far : Near;
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random.below(Candidates.size())];
}

std::vector<RouterId> SettingsReplica::chooseNotified() {
  std::vector<RouterId> Candidates;
  for (const ReplicaMember &Other : Members) {
    const auto Known = Heard.find(Other.Id);
    const bool UpToDate =
        Known != Heard.end() && Known->second >= InForce->Head.Version;
    if (Other.Id != Self.Id && Other.Zone == Self.Zone && !UpToDate)
      Candidates.push_back(Other.Id);
  }
  const std::size_t Count = std::min(Timing.NotifyFanout, Candidates.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(Candidates[I],
              Candidates[I + Random.below(Candidates.size() - I)]);
  Candidates.resize(Count);
  return Candidates;
}

ReplicaActions SettingsReplica::tickPeers(TimePoint Now) {
  if (Asked && Now >= AskDeadline) {
    Failed.insert(*Asked);
    Asked.reset();
  }
  return fetchHigher(Now);
}

SettingsReply SettingsReplica::answer(const SettingsRequest &Request) const {
  SettingsReply Reply;
  if (!Ready)
    return Reply;
  Reply.Version = InForce->Head.Version;
  if (Request.VersionOnly || InForce->Head.Version.Value == 0)
    return Reply;
  Reply.Head = InForce->Head;
  for (const auto &[Number, Pack] : InForce->Packs) {
    const auto Held = Request.Held.find(Number);
    if (Held == Request.Held.end() || Held->second != Pack.Version)
      Reply.Packs[Number] = Pack;
  }
  return Reply;
}

ReplicaActions SettingsReplica::onPeerReply(const RouterId &Peer,
                                            const SettingsReply &Reply,
                                            TimePoint Now) {
  if (Asked == Peer && (Reply.Head || !Reply.Version))
    Asked.reset();
  if (!Reply.Version) {
    Failed.insert(Peer);
    return fetchHigher(Now);
  }
  hear(Peer, *Reply.Version);
  Answers[Peer] = *Reply.Version;
  ReplicaActions Actions;
  if (Reply.Head && Reply.Head->Version > InForce->Head.Version) {
    std::map<PackNumber, SettingsPack> Packs = InForce->Packs;
    for (const auto &[Number, Pack] : Reply.Packs)
      Packs[Number] = Pack;
    if (missingPacks(*Reply.Head, Packs).empty())
      Actions = take(*Reply.Head, std::move(Packs));
    if (InForce->Head.Version < Reply.Head->Version)
      Failed.insert(Peer);
  }
  checkQuorum();
  for (ReplicaAction &Action : fetchHigher(Now))
    Actions.push_back(std::move(Action));
  return Actions;
}

ReplicaActions SettingsReplica::tickQuorum(TimePoint Now) {
  if (Ready || Failures == 0 || Now < NextAsk)
    return {};
  NextAsk = Now + varied(Timing.AskPeriod, 80, 120);
  ReplicaActions Actions;
  SettingsRequest Request;
  Request.VersionOnly = true;
  for (const ReplicaMember &Other : Members)
    if (Other.Id != Self.Id && !Answers.contains(Other.Id))
      Actions.emplace_back(AskPeer{Other.Id, Request});
  return Actions;
}

/// During an outage the highest version of at least half of the other known
/// members is in force; with no other member nothing can be concluded.
void SettingsReplica::checkQuorum() {
  if (Ready || Failures == 0 || KnownCount < 2)
    return;
  std::size_t Answered = 0;
  for (const ReplicaMember &Other : Members)
    Answered += Answers.contains(Other.Id) ? 1 : 0;
  if (Answered * 2 >= KnownCount - 1)
    confirm();
}

} // namespace mallowglade

#include <mallowglade/detail/settings/replica.hpp>

#include <algorithm>

namespace mallowglade {

void SettingsReplica::recordPeerVersion(const RouterId &Peer,
                                        SettingsVersion Version) {
  PeerVersions[Peer] = Version;
  HighestPeerVersion = std::max(HighestPeerVersion, Version);
}

ReplicaActions SettingsReplica::onPeerVersion(SettingsVersion Version,
                                              const RouterId &Peer,
                                              TimePoint Now) {
  if (Peer == Self.Id)
    return {};
  recordPeerVersion(Peer, Version);
  return fetchNewerVersion(Now);
}

ReplicaActions SettingsReplica::fetchNewerVersion(TimePoint Now) {
  if (PendingPeer || HighestPeerVersion <= Active->Head.Version)
    return {};
  const std::optional<RouterId> Peer = choosePeer();
  if (!Peer) {
    scheduleServiceRead(Now);
    return {};
  }
  PendingPeer = Peer;
  PeerDeadline = Now + Timing.PeerTimeout;
  SettingsRequest Request;
  for (const auto &[Number, Pack] : Active->Packs)
    Request.HeldPacks[Number] = Pack.Version;
  return {SendSettingsRequest{*Peer, std::move(Request)}};
}

/// Makes failed peers eligible again and, unless the service is failing, reads
/// the head from it. The interval between attempts doubles up to the poll
/// period, because no router may hold the reported version any more.
void SettingsReplica::scheduleServiceRead(TimePoint Now) {
  if (Now < NextFallback)
    return;
  constexpr unsigned MaxDoublings = 16;
  const auto Backoff = Timing.PeerQueryPeriod *
                       (1LL << std::min(FallbackAttempts, MaxDoublings));
  ++FallbackAttempts;
  const auto Delay = std::min<Milliseconds>(Backoff, Timing.PollPeriod);
  NextFallback = Now + jittered(Delay, 80, 120);
  FailedPeers.clear();
  if (ServiceFailures == 0)
    NextRead = std::min(NextRead, Now);
}

bool SettingsReplica::isInOwnZone(const RouterId &Peer) const {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const ReplicaMember &Other) {
                       return Other.Id == Peer && Other.Zone == Self.Zone;
                     });
}

std::optional<RouterId> SettingsReplica::choosePeer() {
  std::vector<RouterId> SameZonePeers;
  std::vector<RouterId> OtherZonePeers;
  for (const auto &[Peer, Version] : PeerVersions) {
    if (Version <= Active->Head.Version || FailedPeers.contains(Peer))
      continue;
    const bool SameZone = isInOwnZone(Peer);
    (SameZone ? SameZonePeers : OtherZonePeers).push_back(Peer);
  }
  const std::vector<RouterId> &Candidates =
      SameZonePeers.empty() ? OtherZonePeers : SameZonePeers;
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random.below(Candidates.size())];
}

std::vector<RouterId> SettingsReplica::choosePeersToNotify() {
  std::vector<RouterId> Candidates;
  for (const ReplicaMember &Other : Members) {
    const auto Reported = PeerVersions.find(Other.Id);
    const bool UpToDate = Reported != PeerVersions.end() &&
                          Reported->second >= Active->Head.Version;
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
  if (PendingPeer && Now >= PeerDeadline) {
    FailedPeers.insert(*PendingPeer);
    PendingPeer.reset();
  }
  return fetchNewerVersion(Now);
}

SettingsReply
SettingsReplica::handleRequest(const SettingsRequest &Request) const {
  SettingsReply Reply;
  if (!Ready)
    return Reply;
  Reply.Version = Active->Head.Version;
  if (Request.VersionOnly || Active->Head.Version.Value == 0)
    return Reply;
  Reply.Head = Active->Head;
  for (const auto &[Number, Pack] : Active->Packs) {
    const auto Held = Request.HeldPacks.find(Number);
    if (Held == Request.HeldPacks.end() || Held->second != Pack.Version)
      Reply.Packs[Number] = Pack;
  }
  return Reply;
}

ReplicaActions SettingsReplica::onPeerReply(const RouterId &Peer,
                                            const SettingsReply &Reply,
                                            TimePoint Now) {
  if (PendingPeer == Peer && (Reply.Head || !Reply.Version))
    PendingPeer.reset();
  if (!Reply.Version) {
    FailedPeers.insert(Peer);
    return fetchNewerVersion(Now);
  }
  recordPeerVersion(Peer, *Reply.Version);
  QuorumReplies[Peer] = *Reply.Version;
  ReplicaActions Actions;
  if (Reply.Head && Reply.Head->Version > Active->Head.Version) {
    std::map<PackNumber, SettingsPack> Packs = Active->Packs;
    for (const auto &[Number, Pack] : Reply.Packs)
      Packs[Number] = Pack;
    if (missingPacks(*Reply.Head, Packs).empty())
      Actions = assemble(*Reply.Head, std::move(Packs));
    if (Active->Head.Version < Reply.Head->Version)
      FailedPeers.insert(Peer);
  }
  checkQuorum();
  for (ReplicaAction &Action : fetchNewerVersion(Now))
    Actions.push_back(std::move(Action));
  return Actions;
}

ReplicaActions SettingsReplica::tickQuorum(TimePoint Now) {
  if (Ready || ServiceFailures == 0 || Now < NextQuorumQuery)
    return {};
  NextQuorumQuery = Now + jittered(Timing.PeerQueryPeriod, 80, 120);
  ReplicaActions Actions;
  SettingsRequest Request;
  Request.VersionOnly = true;
  for (const ReplicaMember &Other : Members)
    if (Other.Id != Self.Id && !QuorumReplies.contains(Other.Id))
      Actions.emplace_back(SendSettingsRequest{Other.Id, Request});
  return Actions;
}

/// During an outage of the service, the settings are confirmed once at least
/// half of the other known routers have replied. A router that knows no other
/// cannot confirm its settings.
void SettingsReplica::checkQuorum() {
  if (Ready || ServiceFailures == 0 || KnownCount < 2)
    return;
  std::size_t Replied = 0;
  for (const ReplicaMember &Other : Members)
    Replied += QuorumReplies.contains(Other.Id) ? 1 : 0;
  if (Replied * 2 >= KnownCount - 1)
    markConfirmed();
}

} // namespace mallowglade

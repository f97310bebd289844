#include <mallowglade/detail/settings/replica.hpp>

#include <mallowglade/detail/membership/rendezvous.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr unsigned Percent = 100;

void append(ReplicaActions &Actions, ReplicaActions Added) {
  std::move(Added.begin(), Added.end(), std::back_inserter(Actions));
}

} // namespace

SettingsReplica::SettingsReplica(ReplicaMember Self, const nlohmann::json &Seed,
                                 RandomSource &Random, ReplicaTiming Timing)
    : Self(std::move(Self)), Random(Random), Timing(Timing),
      Active(std::make_shared<const SettingsSnapshot>(makeSnapshot(Seed))),
      HasTree(Seed.is_object()) {}

Milliseconds SettingsReplica::jittered(Milliseconds Interval,
                                       unsigned MinPercent,
                                       unsigned MaxPercent) {
  const auto Jitter = MinPercent + Random.below(MaxPercent - MinPercent + 1);
  return Interval * static_cast<std::int64_t>(Jitter) / Percent;
}

void SettingsReplica::start(TimePoint Now) {
  NextRead = Now + jittered(Timing.StartSpread, 0, Percent);
  NextQuorumQuery = Now;
  NextFallback = Now;
  NextWatch = Now;
}

ReplicaActions SettingsReplica::tick(TimePoint Now) {
  ReplicaActions Actions;
  if (PendingCall == ServiceCall::None && Now >= NextRead) {
    PendingCall = ServiceCall::Head;
    Actions.emplace_back(ReadHead{});
  }
  append(Actions, tickPeers(Now));
  append(Actions, tickQuorum(Now));
  append(Actions, tickWatch(Now));
  return Actions;
}

void SettingsReplica::setMembers(std::vector<ReplicaMember> Members,
                                 std::size_t KnownCount) {
  this->Members = std::move(Members);
  this->KnownCount = std::max(this->Members.size(), KnownCount);
  std::erase_if(PeerVersions, [this](const auto &Entry) {
    return std::none_of(
        this->Members.begin(), this->Members.end(),
        [&](const ReplicaMember &Other) { return Other.Id == Entry.first; });
  });
}

bool SettingsReplica::isWatcher() const {
  constexpr int WatchersPerZone = 2;
  std::vector<RouterId> Candidates{Self.Id};
  for (const ReplicaMember &Other : Members)
    if (Other.Zone == Self.Zone && Other.Id != Self.Id)
      Candidates.push_back(Other.Id);
  for (int I = 0; I < WatchersPerZone && !Candidates.empty(); ++I) {
    const RouterId Owner =
        rendezvousOwner("settings-watch/" + Self.Zone.Value, Candidates);
    if (Owner == Self.Id)
      return true;
    std::erase(Candidates, Owner);
  }
  return false;
}

ReplicaActions SettingsReplica::tickWatch(TimePoint Now) {
  // The revision to watch from is unknown before the first read.
  const bool ShouldWatch = Confirmed && !Draining && !WatchPending;
  if (!ShouldWatch || Now < NextWatch || !isWatcher())
    return {};
  WatchPending = true;
  return {WatchHead{HeadRevision}};
}

ReplicaActions
SettingsReplica::onWatch(const Result<std::optional<KeyValue>> &Reply,
                         TimePoint Now) {
  WatchPending = false;
  NextWatch = Now;
  if (!isOk(Reply)) {
    NextWatch = Now + jittered(Timing.MaxBackoff, 5, 10);
    NextRead =
        std::min(NextRead, Now + jittered(Timing.InitialBackoff, 50, 100));
    return {};
  }
  if (!valueOf(Reply))
    return {};
  const Result<SettingsHead> Head = parseHead(valueOf(Reply)->Value);
  if (!isOk(Head))
    return {LogInvalidSettings{errorOf(Head)}};
  // A read is in progress. The next watch starts at the same revision and
  // reports the change again.
  if (PendingCall != ServiceCall::None)
    return {};
  HeadRevision = std::max(HeadRevision, valueOf(Reply)->Modified);
  return processHead(valueOf(Head));
}

void SettingsReplica::serviceFailed(TimePoint Now) {
  PendingCall = ServiceCall::None;
  constexpr unsigned MaxDoublings = 16;
  const auto Backoff =
      Timing.InitialBackoff * (1LL << std::min(ServiceFailures, MaxDoublings));
  ++ServiceFailures;
  const auto Delay = std::min<Milliseconds>(Backoff, Timing.MaxBackoff);
  NextRead = Now + jittered(Delay, Percent / 2, Percent);
}

void SettingsReplica::serviceAnswered(TimePoint Now) {
  PendingCall = ServiceCall::None;
  ServiceFailures = 0;
  QuorumReplies.clear();
  NextRead = Now + jittered(Timing.PollPeriod, 80, 120);
}

ReplicaActions
SettingsReplica::onHead(const Result<std::optional<KeyValue>> &Reply,
                        TimePoint Now) {
  if (!isOk(Reply)) {
    serviceFailed(Now);
    return {};
  }
  serviceAnswered(Now);
  if (!valueOf(Reply)) {
    markConfirmed();
    return {};
  }
  const Result<SettingsHead> Head = parseHead(valueOf(Reply)->Value);
  if (!isOk(Head))
    return {LogInvalidSettings{errorOf(Head)}};
  HeadRevision = std::max(HeadRevision, valueOf(Reply)->Modified);
  return processHead(valueOf(Head));
}

ReplicaActions SettingsReplica::processHead(const SettingsHead &Head) {
  if (Head.Version <= Active->Head.Version) {
    markConfirmed();
    return {};
  }
  const std::vector<PackNumber> Missing = missingPacks(Head, Active->Packs);
  if (Missing.empty()) {
    Confirmed = true;
    return assemble(Head, Active->Packs);
  }
  PendingHead = Head;
  PendingCall = ServiceCall::Packs;
  return {ReadPacks{Missing}};
}

ReplicaActions
SettingsReplica::onPacks(const Result<std::vector<KeyValue>> &Reply,
                         TimePoint Now) {
  if (!isOk(Reply)) {
    serviceFailed(Now);
    return {};
  }
  serviceAnswered(Now);
  std::map<PackNumber, SettingsPack> Packs = Active->Packs;
  for (const KeyValue &Entry : valueOf(Reply)) {
    const Result<SettingsPack> Pack = parsePack(Entry.Value);
    for (const auto &[Number, Version] : PendingHead.Packs)
      if (isOk(Pack) && Entry.Key == packKey(Number))
        Packs[Number] = valueOf(Pack);
  }
  if (!missingPacks(PendingHead, Packs).empty()) {
    // Another change was committed between the two reads.
    NextRead = Now + jittered(Timing.InitialBackoff, 20, 100);
    return {};
  }
  Confirmed = true;
  return assemble(PendingHead, std::move(Packs));
}

ReplicaActions
SettingsReplica::assemble(const SettingsHead &Head,
                          std::map<PackNumber, SettingsPack> Packs) {
  SettingsSnapshot Settings;
  Settings.Head = Head;
  for (const auto &[Number, Version] : Head.Packs)
    Settings.Packs[Number] = std::move(Packs[Number]);
  return activate(std::move(Settings));
}

ReplicaActions SettingsReplica::activate(SettingsSnapshot Settings) {
  if (Settings.Head.Version <= Active->Head.Version)
    return {};
  const Result<SettingsTree> Tree = buildTree(Settings);
  if (!isOk(Tree))
    return {LogInvalidSettings{errorOf(Tree)}};
  Active = std::make_shared<const SettingsSnapshot>(std::move(Settings));
  HasTree = true;
  FailedPeers.clear();
  FallbackAttempts = 0;
  ReplicaActions Actions;
  Actions.emplace_back(ApplySettings{
      std::make_shared<const SettingsTree>(valueOf(Tree)), Active});
  if (Confirmed)
    markConfirmed();
  else
    checkQuorum();
  const std::vector<RouterId> Notifiees = choosePeersToNotify();
  if (!Notifiees.empty())
    Actions.emplace_back(NotifyPeers{Notifiees, Active->Head.Version});
  return Actions;
}

void SettingsReplica::markConfirmed() {
  Confirmed = true;
  Ready = Ready || (HasTree && Active->Head.Version >= HighestPeerVersion);
}

ReplicaActions SettingsReplica::onLocalChange(const SettingsSnapshot &Settings,
                                              TimePoint) {
  Confirmed = true;
  return activate(Settings);
}

} // namespace mallowglade

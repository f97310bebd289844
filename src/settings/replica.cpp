#include <mallowglade/detail/settings/replica.hpp>

#include <mallowglade/detail/membership/rendezvous.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr unsigned Percent = 100;

void append(ReplicaActions &Actions, ReplicaActions More) {
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
}

} // namespace

SettingsReplica::SettingsReplica(ReplicaMember Self, const nlohmann::json &Seed,
                                 RandomSource &Random, ReplicaTiming Timing)
    : Self(std::move(Self)), Random(Random), Timing(Timing),
      InForce(std::make_shared<const SettingsSnapshot>(snapshotOf(Seed))),
      HasTree(Seed.is_object()) {}

Milliseconds SettingsReplica::varied(Milliseconds Span, unsigned MinPercent,
                                     unsigned MaxPercent) {
  const auto Part = MinPercent + Random.below(MaxPercent - MinPercent + 1);
  return Span * static_cast<std::int64_t>(Part) / Percent;
}

void SettingsReplica::start(TimePoint Now) {
  NextRead = Now + varied(Timing.StartSpread, 0, Percent);
  NextAsk = Now;
  NextFallback = Now;
  NextWatch = Now;
}

ReplicaActions SettingsReplica::tick(TimePoint Now) {
  ReplicaActions Actions;
  if (Calling == ServiceCall::None && Now >= NextRead) {
    Calling = ServiceCall::Head;
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
  std::erase_if(Heard, [this](const auto &Entry) {
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
  // Before the first read the revision to watch from is not known.
  const bool Wanted = Confirmed && !Draining && !WatchRunning;
  if (!Wanted || Now < NextWatch || !isWatcher())
    return {};
  WatchRunning = true;
  return {WatchHead{HeadAt}};
}

ReplicaActions
SettingsReplica::onWatch(const Result<std::optional<KeyValue>> &Reply,
                         TimePoint Now) {
  WatchRunning = false;
  NextWatch = Now;
  if (!isOk(Reply)) {
    NextWatch = Now + varied(Timing.MaxBackoff, 5, 10);
    NextRead = std::min(NextRead, Now + varied(Timing.FirstBackoff, 50, 100));
    return {};
  }
  if (!valueOf(Reply))
    return {};
  const Result<SettingsHead> Head = parseHead(valueOf(Reply)->Value);
  if (!isOk(Head))
    return {ReportFault{errorOf(Head)}};
  // The next watch starts at the same revision and reports the change again.
  if (Calling != ServiceCall::None)
    return {};
  HeadAt = std::max(HeadAt, valueOf(Reply)->Modified);
  return takeHead(valueOf(Head));
}

void SettingsReplica::serviceFailed(TimePoint Now) {
  Calling = ServiceCall::None;
  constexpr unsigned MaxDoublings = 16;
  const auto Doubled =
      Timing.FirstBackoff * (1LL << std::min(Failures, MaxDoublings));
  ++Failures;
  const auto Delay = std::min<Milliseconds>(Doubled, Timing.MaxBackoff);
  NextRead = Now + varied(Delay, Percent / 2, Percent);
}

void SettingsReplica::serviceAnswered(TimePoint Now) {
  Calling = ServiceCall::None;
  Failures = 0;
  Answers.clear();
  NextRead = Now + varied(Timing.PollPeriod, 80, 120);
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
    confirm();
    return {};
  }
  const Result<SettingsHead> Head = parseHead(valueOf(Reply)->Value);
  if (!isOk(Head))
    return {ReportFault{errorOf(Head)}};
  HeadAt = std::max(HeadAt, valueOf(Reply)->Modified);
  return takeHead(valueOf(Head));
}

ReplicaActions SettingsReplica::takeHead(const SettingsHead &Head) {
  if (Head.Version <= InForce->Head.Version) {
    confirm();
    return {};
  }
  const std::vector<PackNumber> Missing = missingPacks(Head, InForce->Packs);
  if (Missing.empty()) {
    Confirmed = true;
    return take(Head, InForce->Packs);
  }
  Target = Head;
  Calling = ServiceCall::Packs;
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
  std::map<PackNumber, SettingsPack> Packs = InForce->Packs;
  for (const KeyValue &Entry : valueOf(Reply)) {
    const Result<SettingsPack> Pack = parsePack(Entry.Value);
    for (const auto &[Number, Version] : Target.Packs)
      if (isOk(Pack) && Entry.Key == packKey(Number))
        Packs[Number] = valueOf(Pack);
  }
  if (!missingPacks(Target, Packs).empty()) {
    // A change went through between the two reads.
    NextRead = Now + varied(Timing.FirstBackoff, 20, 100);
    return {};
  }
  Confirmed = true;
  return take(Target, std::move(Packs));
}

ReplicaActions SettingsReplica::take(const SettingsHead &Head,
                                     std::map<PackNumber, SettingsPack> Packs) {
  SettingsSnapshot Settings;
  Settings.Head = Head;
  for (const auto &[Number, Version] : Head.Packs)
    Settings.Packs[Number] = std::move(Packs[Number]);
  return putInForce(std::move(Settings));
}

ReplicaActions SettingsReplica::putInForce(SettingsSnapshot Settings) {
  if (Settings.Head.Version <= InForce->Head.Version)
    return {};
  const Result<SettingsTree> Tree = treeOf(Settings);
  if (!isOk(Tree))
    return {ReportFault{errorOf(Tree)}};
  InForce = std::make_shared<const SettingsSnapshot>(std::move(Settings));
  HasTree = true;
  Failed.clear();
  Misses = 0;
  ReplicaActions Actions;
  Actions.emplace_back(ApplySettings{
      std::make_shared<const SettingsTree>(valueOf(Tree)), InForce});
  if (Confirmed)
    confirm();
  else
    checkQuorum();
  const std::vector<RouterId> Notified = chooseNotified();
  if (!Notified.empty())
    Actions.emplace_back(NotifyPeers{Notified, InForce->Head.Version});
  return Actions;
}

void SettingsReplica::confirm() {
  Confirmed = true;
  Ready = Ready || (HasTree && InForce->Head.Version >= HighestHeard);
}

ReplicaActions SettingsReplica::onLocalChange(const SettingsSnapshot &Settings,
                                              TimePoint) {
  Confirmed = true;
  return putInForce(Settings);
}

} // namespace mallowglade

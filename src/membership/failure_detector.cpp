#include <mallowglade/membership.hpp>

#include <algorithm>
#include <bit>

namespace mallowglade {

namespace {

bool isLive(MemberState State) { return State != MemberState::Dead; }

std::uint64_t hashOf(const MemberRecord &Record) {
  const std::uint64_t Version = stableHash(Record.Id.Value, Record.Start.Value);
  return stableHash(Record.Id.Value, Version + Record.Counter);
}

} // namespace

FailureDetector::FailureDetector(MembershipOptions Options, MemberRecord Self,
                                 RandomSource &Random, TimePoint Now)
    : Options(Options), Self(std::move(Self)), Random(Random), LastTick(Now),
      LastAnswer(Now), LastChange(Now), NextProbe(Now), NextDeadProbe(Now),
      NextSync(Now), NextJoin(Now) {
  const auto Phase = [this, Now](Milliseconds Period) {
    return Now + Milliseconds(this->Random.below(
                     static_cast<std::uint64_t>(Period.count())));
  };
  NextProbe = Phase(Options.ProbePeriod);
  NextDeadProbe = Phase(Options.DeadProbePeriod);
  Digest = hashOf(this->Self);
  Updates.add(this->Self);
}

void FailureDetector::setSeeds(std::set<RouterId> Routers) {
  Seeds = std::move(Routers);
  Seeds.erase(Self.Id);
}

void FailureDetector::updateDigest(const MemberRecord &Record) {
  // Suspicion is left out: it comes and goes without a new version.
  if (isLive(Record.State))
    Digest ^= hashOf(Record);
}

void FailureDetector::apply(TimePoint Now, const MemberRecord &News,
                            bool Spread) {
  if (News.Id == Self.Id) {
    applyAboutSelf(News);
    return;
  }
  const auto Known = Members.find(News.Id);
  if (Known == Members.end() || supersedes(News, Known->second.Record)) {
    store(Now, News, Spread);
    return;
  }
  const MemberRecord &Record = Known->second.Record;
  const bool SameVersion =
      News.Start == Record.Start && News.Counter == Record.Counter;
  // A death declared while isolated says nothing about the member.
  const bool Isolated =
      Known->second.Unshared && Record.State == MemberState::Dead;
  if (Isolated && SameVersion)
    store(Now, News, false);
}

void FailureDetector::applyAboutSelf(const MemberRecord &News) {
  // An earlier process at this address had a clock that was ahead.
  if (News.Start > Self.Start) {
    updateDigest(Self);
    Self.Start = Incarnation(News.Start.Value + 1);
    updateDigest(Self);
    Updates.add(Self);
    return;
  }
  const bool Current = News.Start == Self.Start && News.Counter >= Self.Counter;
  if (Current && News.State != MemberState::Alive)
    raiseOwnCounter(News.Counter);
  // The sender missed a newer record, or has heard of an earlier process.
  if (!Current)
    Updates.add(Self);
}

void FailureDetector::raiseOwnCounter(std::uint32_t Above) {
  updateDigest(Self);
  Self.Counter = std::max(Self.Counter, Above) + 1;
  updateDigest(Self);
  Updates.add(Self);
}

void FailureDetector::store(TimePoint Now, const MemberRecord &News,
                            bool Spread) {
  const auto [Place, Added] = Members.try_emplace(News.Id);
  Entry &Known = Place->second;
  const MemberRecord Before = Known.Record;
  const bool WasLive = !Added && isLive(Before.State);
  if (WasLive)
    updateDigest(Before);
  updateDigest(News);
  Known = {News, Now};
  LiveCount += isLive(News.State) ? 1 : 0;
  LiveCount -= WasLive ? 1 : 0;
  if (News.State == MemberState::Suspect)
    Suspects.insert(News.Id);
  else
    Suspects.erase(News.Id);
  if (News.State != MemberState::Suspect)
    OwnSuspects.erase(News.Id);
  const bool Visible = WasLive != isLive(News.State) ||
                       Before.Start != News.Start ||
                       Before.Leaving != News.Leaving;
  Changed |= Visible;
  if (Visible)
    LastChange = Now;
  if (Spread)
    Updates.add(News);
}

void FailureDetector::setState(TimePoint Now, const RouterId &Id,
                               MemberState State) {
  const auto Found = Members.find(Id);
  if (Found == Members.end() || Found->second.Record.State >= State)
    return;
  MemberRecord News = Found->second.Record;
  News.State = State;
  const bool Share = State == MemberState::Dead && !isolated(Now);
  store(Now, News, Share);
  Members[Id].Unshared = !Share;
}

void FailureDetector::clearUnshared(TimePoint Now, const RouterId &Answering) {
  const auto Found = Members.find(Answering);
  if (Found == Members.end() || !Found->second.Unshared)
    return;
  MemberRecord News = Found->second.Record;
  News.State = MemberState::Alive;
  store(Now, News, false);
}

void FailureDetector::shareSuspicion(TimePoint Now, const RouterId &Id) {
  const auto Found = Members.find(Id);
  if (Found == Members.end() || !Found->second.Unshared || isolated(Now))
    return;
  Found->second.Unshared = false;
  Updates.add(Found->second.Record);
}

void FailureDetector::receive(TimePoint Now, const RouterId &From,
                              const MemberMessage &Message) {
  const bool IsSync = Message.Kind == MemberMessageKind::Sync ||
                      Message.Kind == MemberMessageKind::SyncReply;
  const auto Known = Members.find(From);
  const bool WasUnreachable =
      Known == Members.end() || Known->second.Record.State == MemberState::Dead;
  // What a new router learns from its first exchange is no news to others.
  const bool Spread = Joined || !IsSync;
  for (const MemberRecord &News : Message.Updates)
    apply(Now, News, Spread);
  switch (Message.Kind) {
  case MemberMessageKind::Probe:
    send(From, MemberMessageKind::ProbeAck, Message.Sequence);
    compareDigest(Now, From, Message.Digest);
    break;
  case MemberMessageKind::ProbeRequest:
    onProbeRequest(Now, From, Message);
    break;
  case MemberMessageKind::ProbeAck:
    onAck(Now, From, Message);
    // A partition has ended, or a new router is there.
    if (WasUnreachable && Message.Digest != Digest && Now >= NextSync)
      sendSync(Now, From, MemberMessageKind::Sync);
    compareDigest(Now, From, Message.Digest);
    break;
  case MemberMessageKind::Sync:
    sendSync(Now, From, MemberMessageKind::SyncReply);
    break;
  case MemberMessageKind::SyncReply:
    LastAnswer = Now;
    Joined = true;
    break;
  }
}

void FailureDetector::onProbeRequest(TimePoint Now, const RouterId &From,
                                     const MemberMessage &Request) {
  const std::uint64_t Sequence = ++LastSequence;
  Relays[Sequence] = {From, Request.Sequence, Now};
  send(Request.Target, MemberMessageKind::Probe, Sequence);
}

void FailureDetector::onAck(TimePoint Now, const RouterId &From,
                            const MemberMessage &Ack) {
  LastAnswer = Now;
  clearUnshared(Now, From);
  const auto Probe = Pending.find(Ack.Sequence);
  if (Probe != Pending.end()) {
    clearUnshared(Now, Probe->second.Target);
    Pending.erase(Probe);
  }
  const auto Relayed = Relays.find(Ack.Sequence);
  if (Relayed != Relays.end()) {
    send(Relayed->second.Origin, MemberMessageKind::ProbeAck,
         Relayed->second.Sequence);
    Relays.erase(Relayed);
  }
}

void FailureDetector::compareDigest(TimePoint Now, const RouterId &From,
                                    std::uint64_t Theirs) {
  const bool Quiet = Now - LastChange >= Options.QuietTime;
  const bool Due = Quiet || Updates.size() > Options.Backlog;
  if (Theirs != Digest && Due && Now >= NextSync)
    sendSync(Now, From, MemberMessageKind::Sync);
}

bool FailureDetector::isolated(TimePoint Now) const {
  return Now - LastAnswer > Options.IsolationLimit;
}

unsigned FailureDetector::maxSends() const {
  const auto Log = std::bit_width(LiveCount + 1);
  return Options.SendFactor * static_cast<unsigned>(Log);
}

void FailureDetector::send(const RouterId &To, MemberMessageKind Kind,
                           std::uint64_t Sequence, const RouterId &Target) {
  MemberMessage Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.Target = Target;
  Message.Version = SettingsInForce;
  Message.Digest = Digest;
  std::size_t Room = Options.MaxUpdates;
  // An accused member is told directly, so that it can refute in its answer.
  const auto Known = Members.find(To);
  if (Known != Members.end() && !Known->second.Unshared &&
      Known->second.Record.State != MemberState::Alive) {
    Message.Updates.push_back(Known->second.Record);
    --Room;
  }
  for (MemberRecord &Record : Updates.take(Room, maxSends()))
    Message.Updates.push_back(std::move(Record));
  Outbox.push_back({To, std::move(Message)});
}

void FailureDetector::sendSync(TimePoint Now, const RouterId &To,
                               MemberMessageKind Kind) {
  if (Kind == MemberMessageKind::Sync)
    NextSync = Now + Options.SyncPeriod;
  MemberMessage Message;
  Message.Kind = Kind;
  Message.Version = SettingsInForce;
  Message.Digest = Digest;
  Message.Updates = all();
  std::erase_if(Message.Updates, [this](const MemberRecord &Record) {
    const auto Known = Members.find(Record.Id);
    return Known != Members.end() && Known->second.Unshared;
  });
  Outbox.push_back({To, std::move(Message)});
}

void FailureDetector::announceLeaving(TimePoint Now) {
  if (Self.Leaving)
    return;
  Self.Leaving = true;
  raiseOwnCounter(Self.Counter);
  Changed = true;
  spreadNow(Now);
}

void FailureDetector::spreadNow(TimePoint Now) {
  std::vector<RouterId> Others;
  for (const auto &[Id, Known] : Members)
    if (Known.Record.State == MemberState::Alive)
      Others.push_back(Id);
  for (const RouterId &Id : sample(std::move(Others), Options.SpreadProbes)) {
    Pending[++LastSequence] = {Id, Now, false};
    send(Id, MemberMessageKind::Probe, LastSequence);
  }
}

std::vector<OutgoingMemberMessage> FailureDetector::takeMessages() {
  return std::exchange(Outbox, {});
}

bool FailureDetector::takeChanged() { return std::exchange(Changed, false); }

std::vector<MemberRecord> FailureDetector::all() const {
  std::vector<MemberRecord> List;
  List.reserve(Members.size() + 1);
  for (const auto &[Id, Known] : Members)
    List.push_back(Known.Record);
  const auto Place = std::lower_bound(
      List.begin(), List.end(), Self,
      [](const auto &Left, const auto &Right) { return Left.Id < Right.Id; });
  List.insert(Place, Self);
  return List;
}

std::vector<MemberRecord> FailureDetector::alive() const {
  std::vector<MemberRecord> List = all();
  std::erase_if(
      List, [](const MemberRecord &Record) { return !isLive(Record.State); });
  return List;
}

std::set<RouterId> FailureDetector::left() const {
  std::set<RouterId> Ids;
  for (const auto &[Id, Known] : Members)
    if (Known.Record.Leaving && !isLive(Known.Record.State))
      Ids.insert(Id);
  return Ids;
}

} // namespace mallowglade

#include <mallowglade/membership.hpp>

#include <algorithm>
#include <bit>

namespace mallowglade {

namespace {

bool isLive(MemberState State) { return State != MemberState::Dead; }

std::uint64_t recordHash(const MemberRecord &Record) {
  const std::uint64_t Version = stableHash(Record.Id.Value, Record.Start.Value);
  return stableHash(Record.Id.Value, Version + Record.VersionCounter);
}

} // namespace

FailureDetector::FailureDetector(MembershipOptions Options, MemberRecord Self,
                                 RandomSource &Random, TimePoint Now)
    : Options(Options), Self(std::move(Self)), Random(Random), LastTick(Now),
      LastReply(Now), LastChange(Now), NextProbe(Now), NextDeadProbe(Now),
      NextSync(Now), NextJoin(Now) {
  const auto RandomPhase = [this, Now](Milliseconds Period) {
    return Now + Milliseconds(this->Random.below(
                     static_cast<std::uint64_t>(Period.count())));
  };
  NextProbe = RandomPhase(Options.ProbePeriod);
  NextDeadProbe = RandomPhase(Options.DeadProbePeriod);
  Digest = recordHash(this->Self);
  Updates.add(this->Self);
}

void FailureDetector::setSeeds(std::set<RouterId> Routers) {
  Seeds = std::move(Routers);
  Seeds.erase(Self.Id);
}

void FailureDetector::updateDigest(const MemberRecord &Record) {
  // Suspects hash like alive members, because a suspicion starts and may be
  // revoked without a new version.
  if (isLive(Record.State))
    Digest ^= recordHash(Record);
}

void FailureDetector::applyUpdate(TimePoint Now, const MemberRecord &Update,
                                  bool Disseminate) {
  if (Update.Id == Self.Id) {
    applyUpdateAboutSelf(Update);
    return;
  }
  const auto Existing = Members.find(Update.Id);
  if (Existing == Members.end() ||
      supersedes(Update, Existing->second.Record)) {
    storeRecord(Now, Update, Disseminate);
    return;
  }
  const MemberRecord &Record = Existing->second.Record;
  const bool SameVersion = Update.Start == Record.Start &&
                           Update.VersionCounter == Record.VersionCounter;
  // A death declared while this router was isolated is no evidence against the
  // member: an update of the same version overrides it.
  const bool DeclaredWhileIsolated =
      Existing->second.LocalOnly && Record.State == MemberState::Dead;
  if (DeclaredWhileIsolated && SameVersion)
    storeRecord(Now, Update, false);
}

void FailureDetector::applyUpdateAboutSelf(const MemberRecord &Update) {
  // An earlier process at this address ran with a clock that was ahead; this
  // process needs a later start time for its records to take precedence.
  if (Update.Start > Self.Start) {
    updateDigest(Self);
    Self.Start = Incarnation(Update.Start.Value + 1);
    updateDigest(Self);
    Updates.add(Self);
    return;
  }
  const bool Current = Update.Start == Self.Start &&
                       Update.VersionCounter >= Self.VersionCounter;
  if (Current && Update.State != MemberState::Alive)
    raiseOwnCounter(Update.VersionCounter);
  // The sender has not received the current record, or still has that of an
  // earlier process.
  if (!Current)
    Updates.add(Self);
}

void FailureDetector::raiseOwnCounter(std::uint32_t ReportedCounter) {
  updateDigest(Self);
  Self.VersionCounter = std::max(Self.VersionCounter, ReportedCounter) + 1;
  updateDigest(Self);
  Updates.add(Self);
}

void FailureDetector::storeRecord(TimePoint Now, const MemberRecord &Update,
                                  bool Disseminate) {
  const auto [Position, Added] = Members.try_emplace(Update.Id);
  MemberEntry &Existing = Position->second;
  const MemberRecord Previous = Existing.Record;
  const bool WasLive = !Added && isLive(Previous.State);
  if (WasLive)
    updateDigest(Previous);
  updateDigest(Update);
  Existing = {Update, Now};
  LiveCount += isLive(Update.State) ? 1 : 0;
  LiveCount -= WasLive ? 1 : 0;
  if (Update.State == MemberState::Suspect)
    Suspects.insert(Update.Id);
  else
    Suspects.erase(Update.Id);
  if (Update.State != MemberState::Suspect)
    SuspectProbes.erase(Update.Id);
  const bool VisibleChange = WasLive != isLive(Update.State) ||
                             Previous.Start != Update.Start ||
                             Previous.Leaving != Update.Leaving;
  Changed |= VisibleChange;
  if (VisibleChange)
    LastChange = Now;
  if (Disseminate)
    Updates.add(Update);
}

void FailureDetector::escalateState(TimePoint Now, const RouterId &Id,
                                    MemberState State) {
  const auto Found = Members.find(Id);
  if (Found == Members.end() || Found->second.Record.State >= State)
    return;
  MemberRecord Update = Found->second.Record;
  Update.State = State;
  const bool Publish = State == MemberState::Dead && !isIsolated(Now);
  storeRecord(Now, Update, Publish);
  Members[Id].LocalOnly = !Publish;
}

void FailureDetector::revokeLocalState(TimePoint Now,
                                       const RouterId &Responder) {
  const auto Found = Members.find(Responder);
  if (Found == Members.end() || !Found->second.LocalOnly)
    return;
  MemberRecord Update = Found->second.Record;
  Update.State = MemberState::Alive;
  storeRecord(Now, Update, false);
}

void FailureDetector::gossipSuspicion(TimePoint Now, const RouterId &Id) {
  const auto Found = Members.find(Id);
  if (Found == Members.end() || !Found->second.LocalOnly || isIsolated(Now))
    return;
  Found->second.LocalOnly = false;
  Updates.add(Found->second.Record);
}

void FailureDetector::receive(TimePoint Now, const RouterId &From,
                              const MemberMessage &Message) {
  const bool IsSync = Message.Kind == MemberMessageKind::Sync ||
                      Message.Kind == MemberMessageKind::SyncReply;
  const auto Existing = Members.find(From);
  const bool WasUnreachable =
      Existing == Members.end() ||
      Existing->second.Record.State == MemberState::Dead;
  // The rest of the fleet already has the records that a joining router gets
  // from its first sync.
  const bool Disseminate = Joined || !IsSync;
  for (const MemberRecord &Update : Message.Updates)
    applyUpdate(Now, Update, Disseminate);
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
    // The sender is reachable again after a partition, or is a new router.
    if (WasUnreachable && Message.Digest != Digest && Now >= NextSync)
      sendSync(Now, From, MemberMessageKind::Sync);
    compareDigest(Now, From, Message.Digest);
    break;
  case MemberMessageKind::Sync:
    sendSync(Now, From, MemberMessageKind::SyncReply);
    break;
  case MemberMessageKind::SyncReply:
    LastReply = Now;
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
  LastReply = Now;
  revokeLocalState(Now, From);
  const auto Probe = Pending.find(Ack.Sequence);
  if (Probe != Pending.end()) {
    revokeLocalState(Now, Probe->second.Target);
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
                                    std::uint64_t PeerDigest) {
  const bool Settled = Now - LastChange >= Options.DigestSettleTime;
  const bool SyncDue = Settled || Updates.size() > Options.SyncBacklogLimit;
  if (PeerDigest != Digest && SyncDue && Now >= NextSync)
    sendSync(Now, From, MemberMessageKind::Sync);
}

bool FailureDetector::isIsolated(TimePoint Now) const {
  return Now - LastReply > Options.IsolationTimeout;
}

unsigned FailureDetector::maxTransmissions() const {
  const auto Log = std::bit_width(LiveCount + 1);
  return Options.RetransmitFactor * static_cast<unsigned>(Log);
}

void FailureDetector::send(const RouterId &To, MemberMessageKind Kind,
                           std::uint64_t Sequence, const RouterId &Target) {
  MemberMessage Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.Target = Target;
  Message.Version = ActiveSettingsVersion;
  Message.Digest = Digest;
  std::size_t FreeSlots = Options.MaxPiggybackedUpdates;
  // A suspect or dead member gets its own record, so that it can refute in its
  // reply.
  const auto Existing = Members.find(To);
  if (Existing != Members.end() && !Existing->second.LocalOnly &&
      Existing->second.Record.State != MemberState::Alive) {
    Message.Updates.push_back(Existing->second.Record);
    --FreeSlots;
  }
  for (MemberRecord &Record : Updates.take(FreeSlots, maxTransmissions()))
    Message.Updates.push_back(std::move(Record));
  Outbox.push_back({To, std::move(Message)});
}

void FailureDetector::sendSync(TimePoint Now, const RouterId &To,
                               MemberMessageKind Kind) {
  if (Kind == MemberMessageKind::Sync)
    NextSync = Now + Options.SyncPeriod;
  MemberMessage Message;
  Message.Kind = Kind;
  Message.Version = ActiveSettingsVersion;
  Message.Digest = Digest;
  Message.Updates = allMembers();
  std::erase_if(Message.Updates, [this](const MemberRecord &Record) {
    const auto Existing = Members.find(Record.Id);
    return Existing != Members.end() && Existing->second.LocalOnly;
  });
  Outbox.push_back({To, std::move(Message)});
}

void FailureDetector::announceLeaving(TimePoint Now) {
  if (Self.Leaving)
    return;
  Self.Leaving = true;
  raiseOwnCounter(Self.VersionCounter);
  Changed = true;
  disseminateNow(Now);
}

void FailureDetector::disseminateNow(TimePoint Now) {
  std::vector<RouterId> Others;
  for (const auto &[Id, Member] : Members)
    if (Member.Record.State == MemberState::Alive)
      Others.push_back(Id);
  for (const RouterId &Id : sample(std::move(Others), Options.GossipFanout)) {
    Pending[++LastSequence] = {Id, Now, false};
    send(Id, MemberMessageKind::Probe, LastSequence);
  }
}

std::vector<OutgoingMemberMessage> FailureDetector::takeMessages() {
  return std::exchange(Outbox, {});
}

bool FailureDetector::takeMembershipChanged() {
  return std::exchange(Changed, false);
}

std::vector<MemberRecord> FailureDetector::allMembers() const {
  std::vector<MemberRecord> List;
  List.reserve(Members.size() + 1);
  for (const auto &[Id, Member] : Members)
    List.push_back(Member.Record);
  const auto Position = std::lower_bound(
      List.begin(), List.end(), Self,
      [](const auto &Left, const auto &Right) { return Left.Id < Right.Id; });
  List.insert(Position, Self);
  return List;
}

std::vector<MemberRecord> FailureDetector::liveMembers() const {
  std::vector<MemberRecord> List = allMembers();
  std::erase_if(
      List, [](const MemberRecord &Record) { return !isLive(Record.State); });
  return List;
}

std::set<RouterId> FailureDetector::departedMembers() const {
  std::set<RouterId> Ids;
  for (const auto &[Id, Member] : Members)
    if (Member.Record.Leaving && !isLive(Member.Record.State))
      Ids.insert(Id);
  return Ids;
}

} // namespace mallowglade

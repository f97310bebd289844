#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// One batch per partition and period: at most 16 / 50 ms = 320 writes/s.
constexpr Milliseconds BatchPeriod{50};
constexpr Milliseconds MaintenancePeriod{10'000};
constexpr Milliseconds UnavailableRetryPeriod{1'000};
constexpr Milliseconds TakeOverDelay{500};
constexpr Milliseconds RefusalRetryAfter{2'000};
/// The first failure may be a lost reply, so the call is repeated at once.
constexpr std::uint32_t FailuresUntilUnavailable = 2;
constexpr std::size_t MaxRequestsPerBatch = 1'000;
constexpr std::size_t MaxQueueLength = 10'000;

} // namespace

ClaimPartition::ClaimPartition(std::uint32_t Number, const RouterId &Self,
                               Incarnation Start)
    : Self(Self), Start(Start), Log(Number, Self, Start) {}

ClaimActions ClaimPartition::takeActions() {
  ClaimActions TakenActions;
  TakenActions.swap(Actions);
  return TakenActions;
}

ClaimActions ClaimPartition::setShouldOwn(bool NewShouldOwn, TimePoint Now) {
  TakeOverPending |= NewShouldOwn && !ShouldOwn;
  ShouldOwn = NewShouldOwn;
  if (!ShouldOwn && CurrentStep == Step::Idle)
    redirectOpenRequests();
  startNextCall(Now);
  return takeActions();
}

ClaimActions ClaimPartition::handleRequest(const ClaimRequest &Message,
                                           TimePoint Now) {
  if (CurrentStep == Step::Idle && !ShouldOwn) {
    sendAnswer(Message, ClaimAnswer{});
    return takeActions();
  }
  if (StoreUnavailable || QueuedRequests.size() >= MaxQueueLength)
    answerWithoutGrant(Message, false);
  else
    QueuedRequests.push_back(Message);
  startNextCall(Now);
  return takeActions();
}

ClaimActions ClaimPartition::handleSettlement(const ClaimSettlement &Message,
                                              TimePoint Now) {
  std::erase_if(QueuedRequests, [&Message](const ClaimRequest &Other) {
    return Other.Requester.Token == Message.Holder.Token;
  });
  const bool AlreadyQueued =
      std::any_of(QueuedSettlements.begin(), QueuedSettlements.end(),
                  [&](const auto &Other) {
                    return Other.Holder.Token == Message.Holder.Token;
                  });
  if (isOwner() && !StoreUnavailable && !AlreadyQueued &&
      QueuedSettlements.size() < MaxQueueLength)
    QueuedSettlements.push_back(Message);
  startNextCall(Now);
  return takeActions();
}

ClaimActions ClaimPartition::tick(TimePoint Now) {
  startNextCall(Now);
  return takeActions();
}

void ClaimPartition::startNextCall(TimePoint Now) {
  if (CallInProgress || Now < NextCall)
    return;
  if (CurrentStep == Step::Idle) {
    if (!ShouldOwn || (!TakeOverPending && QueuedRequests.empty()))
      return;
    TakeOverPending = false;
    CurrentStep = Step::ReadHead;
    issueCall();
  } else if (CurrentStep == Step::Owned) {
    startOwnerWork(Now);
  } else {
    issueCall();
  }
}

void ClaimPartition::startOwnerWork(TimePoint Now) {
  if (Now < NextBatch)
    return;
  const bool HasWork = !QueuedRequests.empty() || !QueuedSettlements.empty();
  const bool MaintenanceDue = Now >= NextMaintenance && Log.hasExpired(Now);
  if (!HasWork && !MaintenanceDue)
    return;
  NextBatch = Now + BatchPeriod;
  if (MaintenanceDue)
    NextMaintenance = Now + MaintenancePeriod;
  startBatch(Now);
}

void ClaimPartition::startBatch(TimePoint Now) {
  const std::size_t Count =
      std::min(QueuedRequests.size(), MaxRequestsPerBatch);
  const auto End = QueuedRequests.begin() + static_cast<std::ptrdiff_t>(Count);
  InFlightRequests.assign(QueuedRequests.begin(), End);
  QueuedRequests.erase(QueuedRequests.begin(), End);
  InFlightSettlements.assign(QueuedSettlements.begin(),
                             QueuedSettlements.end());
  QueuedSettlements.clear();
  Batch = Log.prepare(collectRecords(), HeadRevision, Now);
  const bool HasWrites =
      !Batch.Change.Puts.empty() || !Batch.Change.Deletes.empty();
  CurrentStep = HasWrites ? Step::Commit : Step::Confirm;
  issueCall();
}

std::vector<ClaimRecord> ClaimPartition::collectRecords() {
  std::map<ClaimKey, ClaimRecord> Records;
  for (const ClaimSettlement &Item : InFlightSettlements) {
    const ClaimRecord *Existing = Log.find(Item.Key);
    if (Existing == nullptr || Existing->Holder.Token != Item.Holder.Token ||
        Existing->State != ClaimState::Claimed)
      continue;
    Records[Item.Key] = {Item.Key, Existing->Holder, Item.State, 0};
  }
  for (const ClaimRequest &Item : InFlightRequests) {
    const auto InBatch = Records.find(Item.Key);
    const ClaimRecord *Existing =
        InBatch == Records.end() ? Log.find(Item.Key) : &InBatch->second;
    // A delayed duplicate must not claim the key for a request that has ended.
    const bool HeldBefore =
        Existing != nullptr && Existing->Holder.Token == Item.Requester.Token;
    if (Existing == nullptr ||
        (Existing->State == ClaimState::Released && !HeldBefore))
      Records[Item.Key] = {Item.Key, Item.Requester, ClaimState::Claimed, 0};
  }
  std::vector<ClaimRecord> List;
  List.reserve(Records.size());
  for (auto &[Key, Record] : Records)
    List.push_back(std::move(Record));
  return List;
}

/// Issues the call to the key-value service for the current step.
void ClaimPartition::issueCall() {
  CallInProgress = true;
  switch (CurrentStep) {
  case Step::Idle:
  case Step::Owned:
    CallInProgress = false;
    return;
  case Step::ReadHead:
  case Step::Confirm:
    Actions.emplace_back(ReadClaimKey{Log.headKey()});
    return;
  case Step::TakeOverHead: {
    Transaction TakeOver;
    TakeOver.Conditions.push_back({Log.headKey(), HeadRevision});
    TakeOver.Puts.push_back(
        {Log.headKey(), encodeHead({Self, Start, OwnedEpoch}), LeaseId(0)});
    Actions.emplace_back(std::move(TakeOver));
    return;
  }
  case Step::Load:
    Actions.emplace_back(ReadClaimPrefix{Log.prefix()});
    return;
  case Step::Commit:
    Actions.emplace_back(Batch.Change);
    return;
  case Step::ReadBack:
    Actions.emplace_back(ReadClaimKey{Batch.SegmentKey});
    return;
  }
}

ClaimActions ClaimPartition::handleStoreReply(const ClaimStoreReply &Reply,
                                              TimePoint Now) {
  CallInProgress = false;
  const bool CallFailed =
      std::visit([](const auto &Outcome) { return !isOk(Outcome); }, Reply);
  if (VerifyingHead)
    handleHeadVerification(std::get<HeadReply>(Reply), Now);
  else if (CallFailed)
    handleFailure(Now);
  else
    handleSuccess(Reply, Now);
  startNextCall(Now);
  return takeActions();
}

void ClaimPartition::handleSuccess(const ClaimStoreReply &Reply,
                                   TimePoint Now) {
  switch (CurrentStep) {
  case Step::Idle:
  case Step::Owned:
    return;
  case Step::ReadHead:
    handleHeadRead(std::get<HeadReply>(Reply), Now);
    return;
  case Step::TakeOverHead:
    // The result is not checked here: Load reads the head together with the
    // segments and so shows who owns the partition.
    CurrentStep = Step::Load;
    return;
  case Step::Load:
    handleLoadReply(valueOf(std::get<Result<std::vector<KeyValue>>>(Reply)),
                    Now);
    return;
  case Step::Confirm:
    handleConfirmReply(std::get<HeadReply>(Reply), Now);
    return;
  case Step::Commit:
    handleCommitReply(valueOf(std::get<Result<TransactionReply>>(Reply)), Now);
    return;
  case Step::ReadBack:
    handleReadBack(valueOf(std::get<HeadReply>(Reply)).has_value(), Now);
    return;
  }
}

void ClaimPartition::handleCommitReply(const TransactionReply &Reply,
                                       TimePoint Now) {
  if (Reply.Succeeded) {
    completeCommit(Now);
  } else if (Batch.SegmentKey.empty()) {
    loseOwnership(Now);
  } else {
    // An earlier attempt may have succeeded although its reply was lost.
    CommitRejected = true;
    CurrentStep = Step::ReadBack;
  }
}

void ClaimPartition::handleReadBack(bool Present, TimePoint Now) {
  if (Present) {
    completeCommit(Now);
  } else if (CommitRejected) {
    loseOwnership(Now);
  } else {
    CurrentStep = Step::Commit;
    if (Failures >= FailuresUntilUnavailable)
      markStoreUnavailable(Now);
  }
}

void ClaimPartition::handleFailure(TimePoint Now) {
  ++Failures;
  const bool MayBeLostReply = Failures < FailuresUntilUnavailable;
  if (CurrentStep == Step::TakeOverHead)
    CurrentStep = Step::Load;
  else if (CurrentStep == Step::Commit && !Batch.SegmentKey.empty())
    CurrentStep = Step::ReadBack;
  else if (!MayBeLostReply)
    markStoreUnavailable(Now);
}

void ClaimPartition::markStoreUnavailable(TimePoint Now) {
  const bool WasUnavailable = StoreUnavailable;
  StoreUnavailable = true;
  NextCall = Now + UnavailableRetryPeriod;
  if (WasUnavailable || (InFlightRequests.empty() && QueuedRequests.empty()))
    return;
  if (CurrentStep == Step::Commit)
    verifyHeadBeforeRefusal();
  else
    refuseAll(false);
}

/// Reads the head to confirm the refusals: writes fail, but reads may succeed.
void ClaimPartition::verifyHeadBeforeRefusal() {
  VerifyingHead = true;
  CallInProgress = true;
  Actions.emplace_back(ReadClaimKey{Log.headKey()});
}

void ClaimPartition::handleHeadVerification(const HeadReply &Reply,
                                            TimePoint Now) {
  VerifyingHead = false;
  if (!isOk(Reply))
    refuseAll(false);
  else if (headIsUnchanged(Reply))
    refuseAll(true);
  else
    loseOwnership(Now);
}

void ClaimPartition::markStoreAvailable() {
  Failures = 0;
  StoreUnavailable = false;
  CommitRejected = false;
}

void ClaimPartition::handleHeadRead(const HeadReply &Reply, TimePoint Now) {
  const std::optional<KeyValue> &Entry = valueOf(Reply);
  HeadRevision = Entry ? Entry->Modified : Revision(0);
  OwnedEpoch = Epoch(1);
  if (Entry) {
    const std::optional<ClaimHead> Head = decodeHead(Entry->Value);
    if (!Head) {
      // A malformed head must not be overwritten: its epoch is unknown.
      markStoreUnavailable(Now);
      return;
    }
    OwnedEpoch = Head->OwnerEpoch + Epoch(1);
  }
  CurrentStep = Step::TakeOverHead;
}

void ClaimPartition::handleLoadReply(const std::vector<KeyValue> &Entries,
                                     TimePoint Now) {
  const auto HeadEntry = std::find_if(
      Entries.begin(), Entries.end(),
      [this](const KeyValue &Item) { return Item.Key == Log.headKey(); });
  const auto Head =
      HeadEntry == Entries.end() ? std::nullopt : decodeHead(HeadEntry->Value);
  const bool HeadIsOwn = Head && Head->Owner == Self &&
                         Head->OwnerStart == Start &&
                         Head->OwnerEpoch == OwnedEpoch;
  if (!HeadIsOwn) {
    handleFailedTakeOver(
        HeadEntry == Entries.end() ? Revision(0) : HeadEntry->Modified, Now);
    return;
  }
  if (!Log.load(Entries, OwnedEpoch, Now)) {
    Log.clear();
    markStoreUnavailable(Now);
    return;
  }
  HeadRevision = HeadEntry->Modified;
  CurrentStep = Step::Owned;
  markStoreAvailable();
}

/// Repeats a take-over that failed and left the head unchanged.
void ClaimPartition::handleFailedTakeOver(Revision SeenRevision,
                                          TimePoint Now) {
  if (SeenRevision != HeadRevision || Failures == 0) {
    loseOwnership(Now);
    return;
  }
  CurrentStep = Step::TakeOverHead;
  if (Failures >= FailuresUntilUnavailable)
    markStoreUnavailable(Now);
}

bool ClaimPartition::headIsUnchanged(const HeadReply &Reply) const {
  const std::optional<KeyValue> &Entry = valueOf(Reply);
  return Entry && Entry->Modified == HeadRevision;
}

void ClaimPartition::handleConfirmReply(const HeadReply &Reply, TimePoint Now) {
  if (!headIsUnchanged(Reply)) {
    loseOwnership(Now);
    return;
  }
  CurrentStep = Step::Owned;
  markStoreAvailable();
  answerInFlightRequests();
}

void ClaimPartition::completeCommit(TimePoint Now) {
  Log.apply(Batch, Now);
  CurrentStep = Step::Owned;
  markStoreAvailable();
  releaseRefusedClaims();
  answerInFlightRequests();
}

/// Releases new claims whose requesters were refused while the batch was in
/// flight.
void ClaimPartition::releaseRefusedClaims() {
  for (const ClaimRecord &Record : Batch.Records) {
    if (Record.State != ClaimState::Claimed || Record.Renewals > 0)
      continue;
    const bool StillAsked =
        std::any_of(InFlightRequests.begin(), InFlightRequests.end(),
                    [&Record](const ClaimRequest &Item) {
                      return Item.Requester.Token == Record.Holder.Token;
                    });
    if (!StillAsked)
      QueuedSettlements.push_back(
          {Record.Key, Record.Holder, ClaimState::Released});
  }
}

void ClaimPartition::answerInFlightRequests() {
  for (const ClaimRequest &Item : InFlightRequests) {
    const ClaimRecord *Record = Log.find(Item.Key);
    // The record expired with this batch. NotOwner makes the claiming router
    // retry, and the key is then free.
    if (Record == nullptr)
      sendAnswer(Item, ClaimAnswer{});
    else if (Record->State == ClaimState::Released)
      refuse(Item, true);
    else
      answerWithHolder(Item, *Record, true);
  }
  InFlightRequests.clear();
  for (const ClaimSettlement &Item : InFlightSettlements)
    Actions.emplace_back(
        SendClaimSettlementAck{Item.Holder.Router, {Item.Holder.Token}});
  InFlightSettlements.clear();
}

void ClaimPartition::answerWithHolder(const ClaimRequest &Message,
                                      const ClaimRecord &Record,
                                      bool Confirmed) {
  ClaimAnswer Reply;
  const bool SameRequest = Record.Holder.Token == Message.Requester.Token;
  Reply.Kind = SameRequest ? ClaimAnswerKind::Granted : ClaimAnswerKind::HeldBy;
  Reply.Holder = Record.Holder;
  Reply.Confirmed = Confirmed;
  sendAnswer(Message, Reply);
}

void ClaimPartition::refuse(const ClaimRequest &Message, bool Confirmed) {
  ClaimAnswer Reply;
  Reply.Kind = ClaimAnswerKind::Refused;
  Reply.Confirmed = Confirmed;
  Reply.RetryAfter = RefusalRetryAfter;
  sendAnswer(Message, Reply);
}

/// Answers all open requests without a grant. If confirmed, a key without a
/// record in memory was never claimed: no other router has taken over the
/// partition since it was loaded, and a transaction in flight contains only
/// claims that are refused here.
void ClaimPartition::refuseAll(bool Confirmed) {
  std::vector<ClaimRequest> OpenRequests(InFlightRequests.begin(),
                                         InFlightRequests.end());
  OpenRequests.insert(OpenRequests.end(), QueuedRequests.begin(),
                      QueuedRequests.end());
  InFlightRequests.clear();
  QueuedRequests.clear();
  for (const ClaimRequest &Item : OpenRequests)
    answerWithoutGrant(Item, Confirmed);
}

/// Reports another holder or refuses. Does not grant the claiming router's own
/// claim either, because its release may already be queued.
void ClaimPartition::answerWithoutGrant(const ClaimRequest &Message,
                                        bool Confirmed) {
  const ClaimRecord *Record = Log.find(Message.Key);
  const bool Held = Record != nullptr && Record->State != ClaimState::Released;
  if (Held && Record->Holder.Token != Message.Requester.Token)
    answerWithHolder(Message, *Record, Confirmed);
  else
    refuse(Message, Confirmed);
}

void ClaimPartition::loseOwnership(TimePoint Now) {
  CurrentStep = Step::Idle;
  markStoreAvailable();
  Log.clear();
  NextCall = Now + TakeOverDelay;
  redirectOpenRequests();
  QueuedSettlements.clear();
  InFlightSettlements.clear();
}

/// Answers NotOwner, which makes the requesters retry; their claims may or may
/// not have taken effect.
void ClaimPartition::redirectOpenRequests() {
  for (const ClaimRequest &Item : InFlightRequests)
    sendAnswer(Item, ClaimAnswer{});
  for (const ClaimRequest &Item : QueuedRequests)
    sendAnswer(Item, ClaimAnswer{});
  InFlightRequests.clear();
  QueuedRequests.clear();
}

void ClaimPartition::sendAnswer(const ClaimRequest &Request,
                                ClaimAnswer Message) {
  Message.Token = Request.Requester.Token;
  Actions.emplace_back(
      SendClaimAnswer{Request.Requester.Router, std::move(Message)});
}

} // namespace mallowglade

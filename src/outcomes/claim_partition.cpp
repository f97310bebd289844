#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Limits the writes of all partitions to 16 / 50 ms = 320/s.
constexpr Milliseconds BatchPeriod{50};
constexpr Milliseconds MaintenancePeriod{10'000};
constexpr Milliseconds DownRetryPeriod{1'000};
constexpr Milliseconds TakeOverPause{500};
constexpr Milliseconds RefusalRetryAfter{2'000};
/// The first failure may be a lost reply; the call is repeated at once.
constexpr std::uint32_t FailuresUntilDown = 2;
constexpr std::size_t MaxBatchAsks = 1'000;
constexpr std::size_t MaxWaiting = 10'000;

} // namespace

ClaimPartition::ClaimPartition(std::uint32_t Number, const RouterId &Self,
                               Incarnation Start)
    : Self(Self), Start(Start), Log(Number, Self, Start) {}

ClaimActions ClaimPartition::takeActions() {
  ClaimActions Taken;
  Taken.swap(Actions);
  return Taken;
}

ClaimActions ClaimPartition::setWanted(bool NewWanted, TimePoint Now) {
  TakeWanted |= NewWanted && !Wanted;
  Wanted = NewWanted;
  if (!Wanted && Current == Step::Idle)
    sendElsewhere();
  begin(Now);
  return takeActions();
}

ClaimActions ClaimPartition::ask(const ClaimAsk &Message, TimePoint Now) {
  if (Current == Step::Idle && !Wanted) {
    answer(Message, ClaimAnswer{});
    return takeActions();
  }
  if (Down || Waiting.size() >= MaxWaiting)
    giveUp(Message, false);
  else
    Waiting.push_back(Message);
  begin(Now);
  return takeActions();
}

ClaimActions ClaimPartition::settle(const ClaimSettlement &Message,
                                    TimePoint Now) {
  std::erase_if(Waiting, [&Message](const ClaimAsk &Other) {
    return Other.Asker.Token == Message.Holder.Token;
  });
  const bool Queued = std::any_of(
      Settlements.begin(), Settlements.end(), [&](const auto &Other) {
        return Other.Holder.Token == Message.Holder.Token;
      });
  if (owns() && !Down && !Queued && Settlements.size() < MaxWaiting)
    Settlements.push_back(Message);
  begin(Now);
  return takeActions();
}

ClaimActions ClaimPartition::tick(TimePoint Now) {
  begin(Now);
  return takeActions();
}

void ClaimPartition::begin(TimePoint Now) {
  if (CallOpen || Now < NextCall)
    return;
  if (Current == Step::Idle) {
    if (!Wanted || (!TakeWanted && Waiting.empty()))
      return;
    TakeWanted = false;
    Current = Step::ReadHead;
    call();
  } else if (Current == Step::Owned) {
    beginOwned(Now);
  } else {
    call();
  }
}

void ClaimPartition::beginOwned(TimePoint Now) {
  if (Now < NextBatch)
    return;
  const bool HasWork = !Waiting.empty() || !Settlements.empty();
  const bool Maintain = Now >= NextMaintenance && Log.hasExpired(Now);
  if (!HasWork && !Maintain)
    return;
  NextBatch = Now + BatchPeriod;
  if (Maintain)
    NextMaintenance = Now + MaintenancePeriod;
  beginBatch(Now);
}

void ClaimPartition::beginBatch(TimePoint Now) {
  const std::size_t Count = std::min(Waiting.size(), MaxBatchAsks);
  const auto End = Waiting.begin() + static_cast<std::ptrdiff_t>(Count);
  InFlight.assign(Waiting.begin(), End);
  Waiting.erase(Waiting.begin(), End);
  SettlementsInFlight.assign(Settlements.begin(), Settlements.end());
  Settlements.clear();
  Batch = Log.prepare(collectRecords(), HeadRevision, Now);
  const bool Writes =
      !Batch.Change.Puts.empty() || !Batch.Change.Deletes.empty();
  Current = Writes ? Step::Commit : Step::Confirm;
  call();
}

std::vector<ClaimRecord> ClaimPartition::collectRecords() {
  std::map<ClaimKey, ClaimRecord> Records;
  for (const ClaimSettlement &Item : SettlementsInFlight) {
    const ClaimRecord *Known = Log.find(Item.Key);
    if (Known == nullptr || Known->Holder.Token != Item.Holder.Token ||
        Known->State != ClaimState::Claimed)
      continue;
    Records[Item.Key] = {Item.Key, Known->Holder, Item.State, 0};
  }
  for (const ClaimAsk &Item : InFlight) {
    const auto InBatch = Records.find(Item.Key);
    const ClaimRecord *Known =
        InBatch == Records.end() ? Log.find(Item.Key) : &InBatch->second;
    // A late copy of an ask must not claim the key for a request that ended.
    const bool Ended =
        Known != nullptr && Known->Holder.Token == Item.Asker.Token;
    if (Known == nullptr || (Known->State == ClaimState::Released && !Ended))
      Records[Item.Key] = {Item.Key, Item.Asker, ClaimState::Claimed, 0};
  }
  std::vector<ClaimRecord> List;
  List.reserve(Records.size());
  for (auto &[Key, Record] : Records)
    List.push_back(std::move(Record));
  return List;
}

/// Issues the call that belongs to the current step.
void ClaimPartition::call() {
  CallOpen = true;
  switch (Current) {
  case Step::Idle:
  case Step::Owned:
    CallOpen = false;
    return;
  case Step::ReadHead:
  case Step::Confirm:
    Actions.emplace_back(ReadClaimKey{Log.headKey()});
    return;
  case Step::TakeHead: {
    Transaction Take;
    Take.Conditions.push_back({Log.headKey(), HeadRevision});
    Take.Puts.push_back(
        {Log.headKey(), encodeHead({Self, Start, Owned}), LeaseId(0)});
    Actions.emplace_back(std::move(Take));
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

ClaimActions ClaimPartition::stored(const ClaimStoreReply &Reply,
                                    TimePoint Now) {
  CallOpen = false;
  const bool Failed =
      std::visit([](const auto &Outcome) { return !isOk(Outcome); }, Reply);
  if (Proving)
    proofRead(std::get<HeadReply>(Reply), Now);
  else if (Failed)
    failed(Now);
  else
    succeeded(Reply, Now);
  begin(Now);
  return takeActions();
}

void ClaimPartition::succeeded(const ClaimStoreReply &Reply, TimePoint Now) {
  switch (Current) {
  case Step::Idle:
  case Step::Owned:
    return;
  case Step::ReadHead:
    headRead(std::get<HeadReply>(Reply), Now);
    return;
  case Step::TakeHead:
    // The segments are read together with the head, which tells who has it.
    Current = Step::Load;
    return;
  case Step::Load:
    loaded(valueOf(std::get<Result<std::vector<KeyValue>>>(Reply)), Now);
    return;
  case Step::Confirm:
    confirmed(std::get<HeadReply>(Reply), Now);
    return;
  case Step::Commit:
    commitAnswered(valueOf(std::get<Result<TransactionReply>>(Reply)), Now);
    return;
  case Step::ReadBack:
    readBack(valueOf(std::get<HeadReply>(Reply)).has_value(), Now);
    return;
  }
}

void ClaimPartition::commitAnswered(const TransactionReply &Reply,
                                    TimePoint Now) {
  if (Reply.Succeeded) {
    committed(Now);
  } else if (Batch.SegmentKey.empty()) {
    lose(Now);
  } else {
    // An earlier attempt may have taken effect although its reply was lost.
    Rejected = true;
    Current = Step::ReadBack;
  }
}

void ClaimPartition::readBack(bool Present, TimePoint Now) {
  if (Present) {
    committed(Now);
  } else if (Rejected) {
    lose(Now);
  } else {
    Current = Step::Commit;
    if (Failures >= FailuresUntilDown)
      goDown(Now);
  }
}

void ClaimPartition::failed(TimePoint Now) {
  ++Failures;
  const bool LostReply = Failures < FailuresUntilDown;
  if (Current == Step::TakeHead)
    Current = Step::Load;
  else if (Current == Step::Commit && !Batch.SegmentKey.empty())
    Current = Step::ReadBack;
  else if (!LostReply)
    goDown(Now);
}

void ClaimPartition::goDown(TimePoint Now) {
  const bool WasDown = Down;
  Down = true;
  NextCall = Now + DownRetryPeriod;
  if (WasDown || (InFlight.empty() && Waiting.empty()))
    return;
  if (Current == Step::Commit)
    proveRefusal();
  else
    refuseAll(false);
}

/// Reads the head: writes fail, but reads may still work.
void ClaimPartition::proveRefusal() {
  Proving = true;
  CallOpen = true;
  Actions.emplace_back(ReadClaimKey{Log.headKey()});
}

void ClaimPartition::proofRead(const HeadReply &Reply, TimePoint Now) {
  Proving = false;
  if (!isOk(Reply))
    refuseAll(false);
  else if (headIsOwn(Reply))
    refuseAll(true);
  else
    lose(Now);
}

void ClaimPartition::recovered() {
  Failures = 0;
  Down = false;
  Rejected = false;
}

void ClaimPartition::headRead(const HeadReply &Reply, TimePoint Now) {
  const std::optional<KeyValue> &Entry = valueOf(Reply);
  HeadRevision = Entry ? Entry->Modified : Revision(0);
  Owned = Epoch(1);
  if (Entry) {
    const std::optional<ClaimHead> Head = decodeHead(Entry->Value);
    if (!Head) {
      // A malformed head must not be replaced: its epoch is not known.
      goDown(Now);
      return;
    }
    Owned = Head->Number + Epoch(1);
  }
  Current = Step::TakeHead;
}

void ClaimPartition::loaded(const std::vector<KeyValue> &Entries,
                            TimePoint Now) {
  const auto Found = std::find_if(
      Entries.begin(), Entries.end(),
      [this](const KeyValue &Item) { return Item.Key == Log.headKey(); });
  const auto Head =
      Found == Entries.end() ? std::nullopt : decodeHead(Found->Value);
  const bool Own = Head && Head->Owner == Self && Head->OwnerStart == Start &&
                   Head->Number == Owned;
  if (!Own) {
    notTaken(Found == Entries.end() ? Revision(0) : Found->Modified, Now);
    return;
  }
  if (!Log.load(Entries, Owned, Now)) {
    Log.clear();
    goDown(Now);
    return;
  }
  HeadRevision = Found->Modified;
  Current = Step::Owned;
  recovered();
}

/// If the head is unchanged, the take-over did not arrive and is repeated.
void ClaimPartition::notTaken(Revision Seen, TimePoint Now) {
  if (Seen != HeadRevision || Failures == 0) {
    lose(Now);
    return;
  }
  Current = Step::TakeHead;
  if (Failures >= FailuresUntilDown)
    goDown(Now);
}

bool ClaimPartition::headIsOwn(const HeadReply &Reply) const {
  const std::optional<KeyValue> &Entry = valueOf(Reply);
  return Entry && Entry->Modified == HeadRevision;
}

void ClaimPartition::confirmed(const HeadReply &Reply, TimePoint Now) {
  if (!headIsOwn(Reply)) {
    lose(Now);
    return;
  }
  Current = Step::Owned;
  recovered();
  answerInFlight();
}

void ClaimPartition::committed(TimePoint Now) {
  Log.apply(Batch, Now);
  Current = Step::Owned;
  recovered();
  releaseRefused();
  answerInFlight();
}

/// Releases new claims whose askers were refused while the batch was open.
void ClaimPartition::releaseRefused() {
  for (const ClaimRecord &Record : Batch.Records) {
    if (Record.State != ClaimState::Claimed || Record.Renewals > 0)
      continue;
    const bool StillAsked = std::any_of(
        InFlight.begin(), InFlight.end(), [&Record](const ClaimAsk &Item) {
          return Item.Asker.Token == Record.Holder.Token;
        });
    if (!StillAsked)
      Settlements.push_back({Record.Key, Record.Holder, ClaimState::Released});
  }
}

void ClaimPartition::answerInFlight() {
  for (const ClaimAsk &Item : InFlight) {
    const ClaimRecord *Record = Log.find(Item.Key);
    // The record expired with this batch: the next ask finds the key free.
    if (Record == nullptr)
      answer(Item, ClaimAnswer{});
    else if (Record->State == ClaimState::Released)
      refuse(Item, true);
    else
      answerHeld(Item, *Record, true);
  }
  InFlight.clear();
  for (const ClaimSettlement &Item : SettlementsInFlight)
    Actions.emplace_back(
        SendClaimSettled{Item.Holder.Router, {Item.Holder.Token}});
  SettlementsInFlight.clear();
}

void ClaimPartition::answerHeld(const ClaimAsk &Message,
                                const ClaimRecord &Record, bool Confirmed) {
  ClaimAnswer Reply;
  const bool Same = Record.Holder.Token == Message.Asker.Token;
  Reply.Kind = Same ? ClaimAnswerKind::Granted : ClaimAnswerKind::HeldBy;
  Reply.Holder = Record.Holder;
  Reply.Confirmed = Confirmed;
  answer(Message, Reply);
}

void ClaimPartition::refuse(const ClaimAsk &Message, bool Confirmed) {
  ClaimAnswer Reply;
  Reply.Kind = ClaimAnswerKind::Refused;
  Reply.Confirmed = Confirmed;
  Reply.RetryAfter = RefusalRetryAfter;
  answer(Message, Reply);
}

/// Ends all open asks. With confirmation a key without a record in memory was
/// never claimed: no other router has taken the partition since it was loaded,
/// and an open transaction only holds claims that are refused here.
void ClaimPartition::refuseAll(bool Confirmed) {
  std::vector<ClaimAsk> Open(InFlight.begin(), InFlight.end());
  Open.insert(Open.end(), Waiting.begin(), Waiting.end());
  InFlight.clear();
  Waiting.clear();
  for (const ClaimAsk &Item : Open)
    giveUp(Item, Confirmed);
}

/// Answers without a grant: the asker's own claim may be on its way out.
void ClaimPartition::giveUp(const ClaimAsk &Message, bool Confirmed) {
  const ClaimRecord *Record = Log.find(Message.Key);
  const bool Held = Record != nullptr && Record->State != ClaimState::Released;
  if (Held && Record->Holder.Token != Message.Asker.Token)
    answerHeld(Message, *Record, Confirmed);
  else
    refuse(Message, Confirmed);
}

void ClaimPartition::lose(TimePoint Now) {
  Current = Step::Idle;
  recovered();
  Log.clear();
  NextCall = Now + TakeOverPause;
  sendElsewhere();
  Settlements.clear();
  SettlementsInFlight.clear();
}

/// Lets all askers ask again; their claims may or may not have taken effect.
void ClaimPartition::sendElsewhere() {
  for (const ClaimAsk &Item : InFlight)
    answer(Item, ClaimAnswer{});
  for (const ClaimAsk &Item : Waiting)
    answer(Item, ClaimAnswer{});
  InFlight.clear();
  Waiting.clear();
}

void ClaimPartition::answer(const ClaimAsk &To, ClaimAnswer Message) {
  Message.Token = To.Asker.Token;
  Actions.emplace_back(SendClaimAnswer{To.Asker.Router, std::move(Message)});
}

} // namespace mallowglade

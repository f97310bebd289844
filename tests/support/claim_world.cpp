#include "claim_world.hpp"

namespace mallowglade::test {

namespace {

constexpr Milliseconds TickPeriod{25};
constexpr Milliseconds LostCallLimit{100};
constexpr std::uint32_t EventKinds = 12;

ClaimKey keyOf(std::size_t Key) {
  return makeClaimKey(WorkspaceId("desk"), std::to_string(Key));
}

} // namespace

ClaimWorld::ClaimWorld(std::uint64_t Seed) : Random(Seed) {
  Routers.resize(RouterCount);
  for (std::size_t Index = 0; Index < RouterCount; ++Index)
    restart(Index);
}

RouterId ClaimWorld::idOf(std::size_t Router) {
  return RouterId(std::to_string(Router));
}

void ClaimWorld::fault(const std::string &Text) {
  if (Faults.empty())
    Faults = Text;
}

void ClaimWorld::restart(std::size_t Index) {
  Router &Which = Routers[Index];
  for (auto &[Token, Ended] : Which.Runs)
    for (auto &Notify : Ended->Attached)
      Notify("unknown");
  Which.Runs.clear();
  Which.Start = Which.Start + Incarnation(1);
  Which.PausedUntil = {};
  Which.Partition =
      std::make_unique<ClaimPartition>(0, idOf(Index), Which.Start);
  Which.Requester = std::make_unique<ClaimRequester>();
  run(Index, Which.Partition->setWanted(Which.OwnerView == Index, Now));
}

void ClaimWorld::at(Milliseconds Delay, Work Do) {
  Events.emplace(Now + Delay, std::move(Do));
}

/// Work of a router is lost when it restarts and waits while it is paused.
void ClaimWorld::onRouter(std::size_t Index, Milliseconds Delay, Work Do) {
  at(Delay, [this, Index, Start = Routers[Index].Start, Do = std::move(Do)] {
    Router &Which = Routers[Index];
    if (Which.Start != Start)
      return;
    if (Now < Which.PausedUntil)
      onRouter(Index, std::chrono::ceil<Milliseconds>(Which.PausedUntil - Now),
               Do);
    else
      Do();
  });
}

void ClaimWorld::deliver(std::size_t From, const RouterId &To,
                         const std::function<void(Router &)> &Receive) {
  const std::size_t Index = std::stoul(To.Value);
  const bool Cut = From != Index && (Now < Routers[From].CutUntil ||
                                     Now < Routers[Index].CutUntil);
  if (Cut || Random.below(100) < LossPercent)
    return;
  const std::uint64_t Copies = Random.below(10) == 0 ? 2 : 1;
  for (std::uint64_t Copy = 0; Copy < Copies; ++Copy) {
    const bool Slow = Random.below(20) == 0;
    const Milliseconds Delay(Random.below(Slow ? 8'000 : 5));
    onRouter(Index, Delay, [this, Index, Receive] { Receive(Routers[Index]); });
  }
}

void ClaimWorld::run(std::size_t Index, const ClaimRequesterActions &Actions) {
  const RouterId Owner = idOf(Routers[Index].OwnerView);
  const auto ToPartition = [this, &Owner, Index](auto Message, auto Call) {
    deliver(Index, Owner, [this, Message, Call](Router &To) {
      const std::size_t Target = static_cast<std::size_t>(&To - &Routers[0]);
      run(Target, ((*To.Partition).*Call)(Message, Now));
    });
  };
  for (const ClaimRequesterAction &Action : Actions) {
    if (const auto *Ask = std::get_if<SendClaimAsk>(&Action))
      ToPartition(*claim_codec::decodeAsk(claim_codec::encode(Ask->Message)),
                  &ClaimPartition::ask);
    else if (const auto *End = std::get_if<SendClaimSettlement>(&Action))
      ToPartition(
          *claim_codec::decodeSettlement(claim_codec::encode(End->Message)),
          &ClaimPartition::settle);
    else
      decided(Index, std::get<ClaimDecided>(Action).Message);
  }
}

void ClaimWorld::run(std::size_t Index, const ClaimActions &Actions) {
  using ReadReply = Result<std::optional<KeyValue>>;
  using ListReply = Result<std::vector<KeyValue>>;
  for (const ClaimAction &Action : Actions) {
    if (const auto *Read = std::get_if<ReadClaimKey>(&Action)) {
      callStore<ReadReply>(Index, false, [this, Key = Read->Key]() {
        const auto Found = Store.find(Key);
        if (Found == Store.end())
          return ReadReply(std::optional<KeyValue>());
        return ReadReply(std::optional<KeyValue>(
            {Key, Found->second.Value, Revision(Found->second.Modified)}));
      });
    } else if (std::holds_alternative<ReadClaimPrefix>(Action)) {
      callStore<ListReply>(Index, false, [this]() {
        std::vector<KeyValue> List;
        for (const auto &[Key, Value] : Store)
          List.push_back({Key, Value.Value, Revision(Value.Modified)});
        return ListReply(List);
      });
    } else if (const auto *Change = std::get_if<Transaction>(&Action)) {
      callStore<Result<TransactionReply>>(Index, true, [this, Copy = *Change] {
        return Result<TransactionReply>(commit(Copy));
      });
    } else if (const auto *Answer = std::get_if<SendClaimAnswer>(&Action)) {
      deliver(Index, Answer->To, [this, Sent = *Answer](Router &To) {
        run(std::stoul(Sent.To.Value),
            To.Requester->answered(Sent.Message, Now));
      });
    } else if (const auto *Ack = std::get_if<SendClaimSettled>(&Action)) {
      deliver(Index, Ack->To, [this, Sent = *Ack](Router &To) {
        To.Requester->settled(Sent.Message.Token, Now);
      });
    }
  }
}

template <class Outcome>
void ClaimWorld::callStore(std::size_t Index, bool Write,
                           std::function<Outcome()> Effect) {
  const auto Reply = [this, Index, Start = Routers[Index].Start](
                         Milliseconds Delay, Outcome Value) {
    if (Routers[Index].Start != Start)
      return;
    onRouter(Index, Delay, [this, Index, Value = std::move(Value)] {
      run(Index, Routers[Index].Partition->stored(Value, Now));
    });
  };
  const bool Unreachable = Mode == StoreMode::Down ||
                           Now < Routers[Index].CutUntil ||
                           (Write && Mode == StoreMode::ReadsOnly);
  if (Unreachable) {
    Reply(Milliseconds(5), Error{ErrorId::Unavailable, "", ""});
    return;
  }
  const bool Late = Write && Mode == StoreMode::LateWrites;
  const bool Lost = Late || (Write && Mode == StoreMode::LoseReplies);
  if (Lost)
    Reply(LostCallLimit, Error{ErrorId::Timeout, "", ""});
  at(Milliseconds(Random.below(Late ? 4'000 : 10)),
     [Effect = std::move(Effect), Reply, Lost] {
       const Outcome Value = Effect();
       if (!Lost)
         Reply(Milliseconds(2), Value);
     });
}

TransactionReply ClaimWorld::commit(const Transaction &Change) {
  for (const RevisionEquals &Condition : Change.Conditions) {
    const auto Found = Store.find(Condition.Key);
    const std::int64_t Actual =
        Found == Store.end() ? 0 : Found->second.Modified;
    if (Actual != Condition.Expected.Value)
      return {false, Revision(CurrentRevision)};
  }
  ++CurrentRevision;
  for (const PutOperation &Put : Change.Puts)
    Store[Put.Key] = {Put.Value, CurrentRevision};
  for (const std::string &Key : Change.Deletes)
    Store.erase(Key);
  return {true, Revision(CurrentRevision)};
}

std::shared_ptr<ClaimWorld::Run>
ClaimWorld::send(std::size_t Index, std::size_t Key, std::uint32_t Plan) {
  auto Added = std::make_shared<Run>();
  Added->Key = Key;
  Added->Plan = Plan;
  // Callers choose request ids, so the same one may return.
  Added->Id = RequestId("r" + std::to_string(Plan % 2));
  Added->ExecutionsBefore = Executions[Key];
  const ClaimToken Token(Random.next());
  Router &Which = Routers[Index];
  Which.Runs[Token] = Added;
  run(Index,
      Which.Requester->ask(
          {keyOf(Key), {idOf(Index), Which.Start, Added->Id, Token}}, Now));
  return Added;
}

void ClaimWorld::decided(std::size_t Index, const ClaimAnswer &Message) {
  const auto Found = Routers[Index].Runs.find(Message.Token);
  if (Found == Routers[Index].Runs.end())
    return;
  const std::shared_ptr<Run> Which = Found->second;
  if (!Which->Verdict.empty())
    fault("a request was decided twice");
  if (Message.Kind == ClaimAnswerKind::Granted)
    onRouter(Index, Milliseconds(Random.below(3'000)),
             [this, Index, Token = Message.Token] { execute(Index, Token); });
  else if (Message.Kind == ClaimAnswerKind::HeldBy)
    attach(Index, Which, Message);
  else
    conclude(Which, Message.Confirmed ? "not_run" : "unknown", false);
}

void ClaimWorld::attach(std::size_t, const std::shared_ptr<Run> &Mine,
                        const ClaimAnswer &Message) {
  const std::size_t Holder = std::stoul(Message.Holder.Router.Value);
  const Router &Other = Routers[Holder];
  if (Other.Start == Message.Holder.Start)
    run(Holder, Other.Requester->recheck(Message.Holder.Token, Now));
  const auto Found = Other.Runs.find(Message.Holder.Token);
  if (Other.Start != Message.Holder.Start || Found == Other.Runs.end()) {
    conclude(Mine, "unknown", false);
    return;
  }
  const auto Notify =
      [this, Mine, Confirmed = Message.Confirmed](const std::string &Verdict) {
        const bool Proven = Verdict != "not_run" || Confirmed;
        conclude(Mine, Proven ? Verdict : "unknown", false);
      };
  if (Found->second->Verdict.empty())
    Found->second->Attached.emplace_back(Notify);
  else
    Notify(Found->second->Verdict);
}

/// Plans: 0 runs and answers, 1 runs with an unknown end, 2 does not run.
void ClaimWorld::execute(std::size_t Index, ClaimToken Token) {
  Router &Which = Routers[Index];
  const std::shared_ptr<Run> Current = Which.Runs[Token];
  const std::uint32_t Plan = Current->Plan % 3;
  if (Plan != 2 && ++Executions[Current->Key] > 1)
    fault("key " + std::to_string(Current->Key) + " ran twice");
  conclude(Current,
           Plan == 0   ? "answered"
           : Plan == 1 ? "unknown"
                       : "not_run",
           true);
  const ClaimState End = Plan == 2 ? ClaimState::Released : ClaimState::Done;
  run(Index, Which.Requester->settle(Token, End, Now));
}

/// The holder of a key must know that nothing has run. Other requests may
/// overlap with a run of the same key, so for them nothing may have run before
/// they began.
void ClaimWorld::conclude(const std::shared_ptr<Run> &Which,
                          const std::string &Verdict, bool Strict) {
  if (!Which->Verdict.empty())
    fault("a request has two verdicts");
  Which->Verdict = Verdict;
  ++Verdicts[Verdict];
  const int Ran = Strict ? Executions[Which->Key] : Which->ExecutionsBefore;
  if (Verdict == "not_run" && Ran > 0)
    fault("a false verdict not_run for key " + std::to_string(Which->Key));
  if (Verdict == "answered" && Executions[Which->Key] == 0)
    fault("an answer without a run");
  for (auto &Notify : Which->Attached)
    Notify(Verdict);
  Which->Attached.clear();
}

void ClaimWorld::updateViews(std::uint32_t Choice) {
  for (std::size_t Index = 0; Index < RouterCount; ++Index) {
    Router &Which = Routers[Index];
    // Half of the changes reach all routers, the others only some.
    const bool Sees = Choice % 2 == 0 || Random.below(2) == 0;
    if (Sees)
      Which.OwnerView = Choice / 2 % RouterCount;
    if (Now >= Which.PausedUntil)
      run(Index, Which.Partition->setWanted(Which.OwnerView == Index, Now));
  }
}

void ClaimWorld::apply(std::uint32_t Event) {
  const std::uint32_t Kind = Event % EventKinds;
  const std::uint32_t Detail = Event / EventKinds;
  const std::size_t Index = Detail % RouterCount;
  const std::uint32_t Rest = Detail / RouterCount;
  const Milliseconds Span(Rest % 9'000);
  if (Kind <= 4 && Now >= Routers[Index].PausedUntil)
    send(Index, Rest % KeyCount, Rest / KeyCount);
  else if (Kind == 5)
    restart(Index);
  else if (Kind == 6)
    Routers[Index].PausedUntil = Now + Span;
  else if (Kind == 7)
    Routers[Index].CutUntil = Now + Span;
  else if (Kind == 8)
    updateViews(Rest);
  else if (Kind == 9)
    Mode = static_cast<StoreMode>(Rest % 5);
  else if (Kind == 10)
    LossPercent = Rest % 2 == 0 ? 0 : Rest % 60;
  else
    advance(Span);
  advance(Milliseconds(Random.below(300)));
}

void ClaimWorld::advance(Milliseconds Span) {
  const TimePoint End = Now + Span;
  while (Now < End) {
    const TimePoint Next = std::min(End, Now + TickPeriod);
    while (!Events.empty() && Events.begin()->first <= Next) {
      Now = std::max(Now, Events.begin()->first);
      const Work Do = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Do();
    }
    Now = Next;
    for (std::size_t Index = 0; Index < RouterCount; ++Index) {
      Router &Which = Routers[Index];
      if (Now < Which.PausedUntil)
        continue;
      run(Index, Which.Partition->tick(Now));
      run(Index, Which.Requester->tick(Now));
    }
  }
}

void ClaimWorld::healAndCheck() {
  Mode = StoreMode::Up;
  LossPercent = 0;
  for (Router &Which : Routers) {
    Which.PausedUntil = {};
    Which.CutUntil = {};
  }
  updateViews(0);
  advance(std::chrono::seconds(20));
  for (std::size_t Key = 0; Key < KeyCount; ++Key) {
    // The first request may find a claim that a late message has renewed.
    send(1, Key, 2);
    advance(std::chrono::seconds(15));
    const std::shared_ptr<Run> Last = send(1, Key, 0);
    advance(std::chrono::seconds(15));
    // A key stays held only if its holder ran or was lost.
    if (Last->Verdict != "answered" && Last->Verdict != "unknown")
      fault("a key is blocked after all faults have ended");
  }
  for (Router &Which : Routers)
    for (const auto &[Token, Ended] : Which.Runs)
      if (Ended->Verdict.empty())
        fault("a request has no verdict");
}

} // namespace mallowglade::test

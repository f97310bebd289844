#include "claim_simulation.hpp"

namespace mallowglade::test {

namespace {

constexpr Milliseconds TickPeriod{25};
constexpr Milliseconds LostReplyTimeout{100};
constexpr std::uint32_t EventKindCount = 12;

ClaimKey makeKey(std::size_t Key) {
  return makeClaimKey(WorkspaceId("desk"), std::to_string(Key));
}

} // namespace

ClaimSimulation::ClaimSimulation(std::uint64_t Seed) : Random(Seed) {
  Routers.resize(RouterCount);
  for (std::size_t Index = 0; Index < RouterCount; ++Index)
    restart(Index);
}

RouterId ClaimSimulation::routerId(std::size_t Router) {
  return RouterId(std::to_string(Router));
}

void ClaimSimulation::recordFailure(const std::string &Text) {
  if (FirstFailure.empty())
    FirstFailure = Text;
}

void ClaimSimulation::restart(std::size_t Index) {
  Router &Target = Routers[Index];
  for (auto &[Token, Request] : Target.Requests)
    for (auto &Notify : Request->VerdictListeners)
      Notify("unknown");
  Target.Requests.clear();
  Target.Start = Target.Start + Incarnation(1);
  Target.PausedUntil = {};
  Target.Partition =
      std::make_unique<ClaimPartition>(0, routerId(Index), Target.Start);
  Target.Requester = std::make_unique<ClaimRequester>();
  perform(Index,
          Target.Partition->setShouldOwn(Target.OwnerView == Index, Now));
}

void ClaimSimulation::schedule(Milliseconds Delay, Task Body) {
  Events.emplace(Now + Delay, std::move(Body));
}

/// Schedules a task of a router. A restart of the router discards the task, a
/// pause delays it.
void ClaimSimulation::scheduleOnRouter(std::size_t Index, Milliseconds Delay,
                                       Task Body) {
  schedule(Delay, [this, Index, Start = Routers[Index].Start,
                   Body = std::move(Body)] {
    Router &Target = Routers[Index];
    if (Target.Start != Start)
      return;
    if (Now < Target.PausedUntil)
      scheduleOnRouter(
          Index, std::chrono::ceil<Milliseconds>(Target.PausedUntil - Now),
          Body);
    else
      Body();
  });
}

void ClaimSimulation::deliver(std::size_t From, const RouterId &To,
                              const std::function<void(Router &)> &Receive) {
  const std::size_t Index = std::stoul(To.Value);
  const bool Disconnected =
      From != Index && (Now < Routers[From].DisconnectedUntil ||
                        Now < Routers[Index].DisconnectedUntil);
  if (Disconnected || Random.below(100) < LossPercent)
    return;
  const std::uint64_t Copies = Random.below(10) == 0 ? 2 : 1;
  for (std::uint64_t Copy = 0; Copy < Copies; ++Copy) {
    const bool Delayed = Random.below(20) == 0;
    const Milliseconds Delay(Random.below(Delayed ? 8'000 : 5));
    scheduleOnRouter(Index, Delay,
                     [this, Index, Receive] { Receive(Routers[Index]); });
  }
}

void ClaimSimulation::perform(std::size_t Index,
                              const ClaimRequesterActions &Actions) {
  const RouterId Owner = routerId(Routers[Index].OwnerView);
  const auto ToPartition = [this, &Owner, Index](auto Message, auto Call) {
    deliver(Index, Owner, [this, Message, Call](Router &To) {
      const std::size_t Target = static_cast<std::size_t>(&To - &Routers[0]);
      perform(Target, ((*To.Partition).*Call)(Message, Now));
    });
  };
  for (const ClaimRequesterAction &Action : Actions) {
    if (const auto *Request = std::get_if<SendClaimRequest>(&Action))
      ToPartition(
          *claim_codec::decodeRequest(claim_codec::encode(Request->Message)),
          &ClaimPartition::handleRequest);
    else if (const auto *End = std::get_if<SendClaimSettlement>(&Action))
      ToPartition(
          *claim_codec::decodeSettlement(claim_codec::encode(End->Message)),
          &ClaimPartition::handleSettlement);
    else
      handleDecision(Index, std::get<ClaimDecision>(Action).Message);
  }
}

void ClaimSimulation::perform(std::size_t Index, const ClaimActions &Actions) {
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
        perform(std::stoul(Sent.To.Value),
                To.Requester->handleAnswer(Sent.Message, Now));
      });
    } else if (const auto *Ack = std::get_if<SendClaimSettlementAck>(&Action)) {
      deliver(Index, Ack->To, [this, Sent = *Ack](Router &To) {
        To.Requester->handleSettlementAck(Sent.Message.Token, Now);
      });
    }
  }
}

template <class Outcome>
void ClaimSimulation::callStore(std::size_t Index, bool Write,
                                std::function<Outcome()> Effect) {
  const auto Reply = [this, Index, Start = Routers[Index].Start](
                         Milliseconds Delay, Outcome Value) {
    if (Routers[Index].Start != Start)
      return;
    scheduleOnRouter(Index, Delay, [this, Index, Value = std::move(Value)] {
      perform(Index, Routers[Index].Partition->handleStoreReply(Value, Now));
    });
  };
  const bool Unreachable = Mode == StoreMode::Down ||
                           Now < Routers[Index].DisconnectedUntil ||
                           (Write && Mode == StoreMode::ReadsOnly);
  if (Unreachable) {
    Reply(Milliseconds(5), Error{ErrorId::Unavailable, "", ""});
    return;
  }
  const bool LateWrite = Write && Mode == StoreMode::LateWrites;
  const bool ReplyLost = LateWrite || (Write && Mode == StoreMode::LoseReplies);
  if (ReplyLost)
    Reply(LostReplyTimeout, Error{ErrorId::Timeout, "", ""});
  schedule(Milliseconds(Random.below(LateWrite ? 4'000 : 10)),
           [Effect = std::move(Effect), Reply, ReplyLost] {
             const Outcome Value = Effect();
             if (!ReplyLost)
               Reply(Milliseconds(2), Value);
           });
}

TransactionReply ClaimSimulation::commit(const Transaction &Change) {
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

std::shared_ptr<ClaimSimulation::SimulatedRequest>
ClaimSimulation::send(std::size_t Index, std::size_t Key, std::uint32_t Plan) {
  auto NewRequest = std::make_shared<SimulatedRequest>();
  NewRequest->Key = Key;
  NewRequest->Plan = Plan;
  // Callers choose request ids, so the same id may be reused.
  NewRequest->Id = RequestId("r" + std::to_string(Plan % 2));
  NewRequest->ExecutionsBefore = Executions[Key];
  const ClaimToken Token(Random.next());
  Router &Target = Routers[Index];
  Target.Requests[Token] = NewRequest;
  perform(Index, Target.Requester->requestClaim(
                     {makeKey(Key),
                      {routerId(Index), Target.Start, NewRequest->Id, Token}},
                     Now));
  return NewRequest;
}

void ClaimSimulation::handleDecision(std::size_t Index,
                                     const ClaimAnswer &Message) {
  const auto Found = Routers[Index].Requests.find(Message.Token);
  if (Found == Routers[Index].Requests.end())
    return;
  const std::shared_ptr<SimulatedRequest> Request = Found->second;
  if (!Request->Verdict.empty())
    recordFailure("a request was decided twice");
  if (Message.Kind == ClaimAnswerKind::Granted)
    scheduleOnRouter(
        Index, Milliseconds(Random.below(3'000)),
        [this, Index, Token = Message.Token] { execute(Index, Token); });
  else if (Message.Kind == ClaimAnswerKind::HeldBy)
    attachToHolder(Index, Request, Message);
  else
    conclude(Request, Message.Confirmed ? "not_run" : "unknown", false);
}

void ClaimSimulation::attachToHolder(
    std::size_t, const std::shared_ptr<SimulatedRequest> &Waiter,
    const ClaimAnswer &Message) {
  const std::size_t Holder = std::stoul(Message.Holder.Router.Value);
  const Router &Other = Routers[Holder];
  if (Other.Start == Message.Holder.Start)
    perform(Holder, Other.Requester->recheck(Message.Holder.Token, Now));
  const auto Found = Other.Requests.find(Message.Holder.Token);
  if (Other.Start != Message.Holder.Start || Found == Other.Requests.end()) {
    conclude(Waiter, "unknown", false);
    return;
  }
  const auto Notify = [this, Waiter, Confirmed = Message.Confirmed](
                          const std::string &Verdict) {
    const bool Proven = Verdict != "not_run" || Confirmed;
    conclude(Waiter, Proven ? Verdict : "unknown", false);
  };
  if (Found->second->Verdict.empty())
    Found->second->VerdictListeners.emplace_back(Notify);
  else
    Notify(Found->second->Verdict);
}

/// Plans (modulo 3): 0 runs and is answered, 1 runs with unknown outcome,
/// 2 does not run.
void ClaimSimulation::execute(std::size_t Index, ClaimToken Token) {
  Router &Target = Routers[Index];
  const std::shared_ptr<SimulatedRequest> RunningRequest =
      Target.Requests[Token];
  const std::uint32_t Plan = RunningRequest->Plan % 3;
  if (Plan != 2 && ++Executions[RunningRequest->Key] > 1)
    recordFailure("key " + std::to_string(RunningRequest->Key) + " ran twice");
  conclude(RunningRequest,
           Plan == 0   ? "answered"
           : Plan == 1 ? "unknown"
                       : "not_run",
           true);
  const ClaimState End = Plan == 2 ? ClaimState::Released : ClaimState::Done;
  perform(Index, Target.Requester->settle(Token, End, Now));
}

/// Checks a verdict against the executions. For the holder of a key, "not_run"
/// requires that no request with the key has run. Other requests may overlap
/// with an execution of the key; for them, nothing may have run before they
/// were sent.
void ClaimSimulation::conclude(const std::shared_ptr<SimulatedRequest> &Request,
                               const std::string &Verdict, bool IsHolder) {
  if (!Request->Verdict.empty())
    recordFailure("a request has two verdicts");
  Request->Verdict = Verdict;
  ++Verdicts[Verdict];
  const int ExecutionCount =
      IsHolder ? Executions[Request->Key] : Request->ExecutionsBefore;
  if (Verdict == "not_run" && ExecutionCount > 0)
    recordFailure("a false verdict not_run for key " +
                  std::to_string(Request->Key));
  if (Verdict == "answered" && Executions[Request->Key] == 0)
    recordFailure("an answer without a run");
  for (auto &Notify : Request->VerdictListeners)
    Notify(Verdict);
  Request->VerdictListeners.clear();
}

void ClaimSimulation::updateOwnerViews(std::uint32_t Choice) {
  for (std::size_t Index = 0; Index < RouterCount; ++Index) {
    Router &Target = Routers[Index];
    // Half of the ownership changes reach all routers, the others only some.
    const bool SeesChange = Choice % 2 == 0 || Random.below(2) == 0;
    if (SeesChange)
      Target.OwnerView = Choice / 2 % RouterCount;
    if (Now >= Target.PausedUntil)
      perform(Index,
              Target.Partition->setShouldOwn(Target.OwnerView == Index, Now));
  }
}

void ClaimSimulation::apply(std::uint32_t Event) {
  const std::uint32_t Kind = Event % EventKindCount;
  const std::uint32_t Payload = Event / EventKindCount;
  const std::size_t Index = Payload % RouterCount;
  const std::uint32_t Argument = Payload / RouterCount;
  const Milliseconds Duration(Argument % 9'000);
  if (Kind <= 4 && Now >= Routers[Index].PausedUntil)
    send(Index, Argument % KeyCount, Argument / KeyCount);
  else if (Kind == 5)
    restart(Index);
  else if (Kind == 6)
    Routers[Index].PausedUntil = Now + Duration;
  else if (Kind == 7)
    Routers[Index].DisconnectedUntil = Now + Duration;
  else if (Kind == 8)
    updateOwnerViews(Argument);
  else if (Kind == 9)
    Mode = static_cast<StoreMode>(Argument % 5);
  else if (Kind == 10)
    LossPercent = Argument % 2 == 0 ? 0 : Argument % 60;
  else
    advance(Duration);
  advance(Milliseconds(Random.below(300)));
}

void ClaimSimulation::advance(Milliseconds Duration) {
  const TimePoint End = Now + Duration;
  while (Now < End) {
    const TimePoint Next = std::min(End, Now + TickPeriod);
    while (!Events.empty() && Events.begin()->first <= Next) {
      Now = std::max(Now, Events.begin()->first);
      const Task Body = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Body();
    }
    Now = Next;
    for (std::size_t Index = 0; Index < RouterCount; ++Index) {
      Router &Target = Routers[Index];
      if (Now < Target.PausedUntil)
        continue;
      perform(Index, Target.Partition->tick(Now));
      perform(Index, Target.Requester->tick(Now));
    }
  }
}

void ClaimSimulation::repairAndCheck() {
  Mode = StoreMode::Up;
  LossPercent = 0;
  for (Router &Target : Routers) {
    Target.PausedUntil = {};
    Target.DisconnectedUntil = {};
  }
  updateOwnerViews(0);
  advance(std::chrono::seconds(20));
  for (std::size_t Key = 0; Key < KeyCount; ++Key) {
    // The first request may meet a claim that a delayed message made again.
    send(1, Key, 2);
    advance(std::chrono::seconds(15));
    const std::shared_ptr<SimulatedRequest> SecondRequest = send(1, Key, 0);
    advance(std::chrono::seconds(15));
    // A key remains held only if its holder ran or was lost.
    if (SecondRequest->Verdict != "answered" &&
        SecondRequest->Verdict != "unknown")
      recordFailure("a key is blocked after all faults have ended");
  }
  for (Router &Target : Routers)
    for (const auto &[Token, Request] : Target.Requests)
      if (Request->Verdict.empty())
        recordFailure("a request has no verdict");
}

} // namespace mallowglade::test

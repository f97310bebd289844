#include <mallowglade/detail/router/keyed_claim_service.hpp>

#include <mallowglade/detail/router/member_service.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds ClaimTickPeriod{10};
constexpr std::size_t StoreThreads = 4;
constexpr const char *RequestType = "claim_request";
constexpr const char *AnswerType = "claim_reply";
constexpr const char *SettlementType = "claim_done";
constexpr const char *SettlementAckType = "claim_done_ack";

std::string roleOf(std::uint32_t Partition) {
  return "claims/" + std::to_string(Partition);
}

} // namespace

KeyedClaimService::KeyedClaimService(RouterContext Context)
    : Context(Context), Self(Context.Settings.PeerAdvertise),
      Random(systemSeed()), StoreCalls(StoreThreads) {
  for (std::uint32_t Number = 0; Number < ClaimPartitionCount; ++Number)
    Partitions.emplace_back(Number, Self, Context.Start);
}

void KeyedClaimService::start() {
  listen();
  Context.Control.postEvery(ClaimTickPeriod,
                            [Part = shared_from_this()] { Part->tick(); });
  Context.Services.find<MemberService>(service_name::Members)
      ->onChange([Part = shared_from_this()] { Part->updateOwnership(); });
  updateOwnership();
}

void KeyedClaimService::stop() { StoreCalls.stop(); }

void KeyedClaimService::listen() {
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  if (Peers == nullptr)
    return;
  const auto Add = [&](const char *Type, auto Decode) {
    Peers->onMessage(Type, [Part = shared_from_this(),
                            Decode](const PeerSender &, std::string_view Body) {
      if (const auto Message = Decode(Body))
        Part->receive(*Message);
    });
  };
  Add(RequestType, claim_codec::decodeRequest);
  Add(AnswerType, claim_codec::decodeAnswer);
  Add(SettlementType, claim_codec::decodeSettlement);
  Add(SettlementAckType, claim_codec::decodeSettlementAck);
}

void KeyedClaimService::updateOwnership() {
  const auto Members =
      Context.Services.find<MemberService>(service_name::Members);
  for (std::uint32_t Number = 0; Number < ClaimPartitionCount; ++Number) {
    const bool ShouldOwn = Members->ownerOf(roleOf(Number)) == Self;
    run(Number, Partitions[Number].setShouldOwn(ShouldOwn, Context.Time.now()));
  }
}

void KeyedClaimService::tick() {
  const TimePoint Now = Context.Time.now();
  run(Requester.tick(Now));
  for (std::uint32_t Number = 0; Number < ClaimPartitionCount; ++Number)
    run(Number, Partitions[Number].tick(Now));
}

RouterId KeyedClaimService::ownerOf(const ClaimKey &Key) const {
  return Context.Services.find<MemberService>(service_name::Members)
      ->ownerOf(roleOf(claimPartitionForKey(Key)));
}

ClaimToken KeyedClaimService::claim(const IdempotencyKey &Key,
                                    const RequestId &Request, Reply Done) {
  ClaimRequest Message;
  Message.Key = makeClaimKey(Key.Workspace, Key.Key);
  Message.Requester = {Self, Context.Start, Request, ClaimToken(Random.next())};
  Granted[{Message.Key, Request}] = Message.Requester.Token;
  const RequestKey Which{Message.Key, Request};
  Pending[Message.Requester.Token] =
      [this, Which, Done = std::move(Done)](const ClaimReply &Outcome) {
        if (!std::holds_alternative<ClaimGranted>(Outcome))
          Granted.erase(Which);
        Done(Outcome);
      };
  run(Requester.requestClaim(Message, Context.Time.now()));
  return Message.Requester.Token;
}

void KeyedClaimService::recheck(ClaimToken Token) {
  run(Requester.recheck(Token, Context.Time.now()));
}

void KeyedClaimService::settle(const IdempotencyKey &Key,
                               const RequestId &Request, ClaimEnd End) {
  const auto Found =
      Granted.find({makeClaimKey(Key.Workspace, Key.Key), Request});
  if (Found == Granted.end())
    return;
  const ClaimToken Token = Found->second;
  Granted.erase(Found);
  const ClaimState State =
      End == ClaimEnd::Done ? ClaimState::Done : ClaimState::Released;
  run(Requester.settle(Token, State, Context.Time.now()));
}

void KeyedClaimService::run(const ClaimRequesterActions &Actions) {
  for (const ClaimRequesterAction &Action : Actions) {
    if (const auto *Request = std::get_if<SendClaimRequest>(&Action))
      send(ownerOf(Request->Message.Key), RequestType, Request->Message);
    else if (const auto *End = std::get_if<SendClaimSettlement>(&Action))
      send(ownerOf(End->Message.Key), SettlementType, End->Message);
    else
      finish(std::get<ClaimDecision>(Action).Message);
  }
}

void KeyedClaimService::finish(const ClaimAnswer &Message) {
  const auto Found = Pending.find(Message.Token);
  if (Found == Pending.end())
    return;
  const Reply Done = std::move(Found->second);
  Pending.erase(Found);
  if (Message.Kind == ClaimAnswerKind::Granted) {
    Done(ClaimGranted{});
  } else if (Message.Kind == ClaimAnswerKind::HeldBy) {
    Done(ClaimHeldBy{Message.Holder, Message.Confirmed});
  } else {
    ClaimRefused Refused;
    Refused.Reason.Reason = {ErrorId::ClaimUnavailable,
                             "the idempotency key cannot be claimed now", ""};
    Refused.Reason.RetryAfter = Message.RetryAfter;
    Refused.NeverClaimed = Message.Confirmed;
    Done(Refused);
  }
}

void KeyedClaimService::run(std::uint32_t Partition,
                            const ClaimActions &Actions) {
  KeyValueStore &Store = Context.Store;
  for (const ClaimAction &Action : Actions) {
    if (const auto *Read = std::get_if<ReadClaimKey>(&Action))
      callStore(Partition, [&Store, Key = Read->Key] {
        return ClaimStoreReply(Store.read(Key));
      });
    else if (const auto *List = std::get_if<ReadClaimPrefix>(&Action))
      callStore(Partition, [&Store, Prefix = List->Prefix] {
        return ClaimStoreReply(Store.readPrefix(Prefix));
      });
    else if (const auto *Change = std::get_if<Transaction>(&Action))
      callStore(Partition, [&Store, Copy = *Change] {
        return ClaimStoreReply(Store.commit(Copy));
      });
    else if (const auto *Answer = std::get_if<SendClaimAnswer>(&Action))
      send(Answer->To, AnswerType, Answer->Message);
    else if (const auto *Ack = std::get_if<SendClaimSettlementAck>(&Action))
      send(Ack->To, SettlementAckType, Ack->Message);
  }
}

void KeyedClaimService::callStore(std::uint32_t Partition,
                                  std::function<ClaimStoreReply()> Call) {
  StoreCalls.post(
      [Part = shared_from_this(), Partition, Call = std::move(Call)] {
        Part->Context.Control.post([Part, Partition, Outcome = Call()] {
          Part->run(Partition, Part->Partitions[Partition].handleStoreReply(
                                   Outcome, Part->Context.Time.now()));
        });
      });
}

template <class Message>
void KeyedClaimService::send(const RouterId &To, const char *Type,
                             const Message &Content) {
  if (To == Self) {
    Context.Control.post(
        [Part = shared_from_this(), Content] { Part->receive(Content); });
    return;
  }
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  if (Peers != nullptr)
    Peers->send(To, Type, claim_codec::encode(Content));
}

void KeyedClaimService::receive(const ClaimRequest &Message) {
  const std::uint32_t Number = claimPartitionForKey(Message.Key);
  run(Number, Partitions[Number].handleRequest(Message, Context.Time.now()));
}

void KeyedClaimService::receive(const ClaimAnswer &Message) {
  run(Requester.handleAnswer(Message, Context.Time.now()));
}

void KeyedClaimService::receive(const ClaimSettlement &Message) {
  const std::uint32_t Number = claimPartitionForKey(Message.Key);
  run(Number, Partitions[Number].handleSettlement(Message, Context.Time.now()));
}

void KeyedClaimService::receive(const ClaimSettlementAck &Message) {
  Requester.handleSettlementAck(Message.Token, Context.Time.now());
}

} // namespace mallowglade

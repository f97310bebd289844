#include <mallowglade/outcomes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <iostream>

using namespace mallowglade;

namespace {

using HeadReply = Result<std::optional<KeyValue>>;

ClaimKey makeKey(std::uint64_t Number) {
  return makeClaimKey(WorkspaceId("desk"), std::to_string(Number));
}

ClaimRequest makeRequest(std::uint64_t Key, std::uint64_t Token) {
  return {makeKey(Key),
          {RouterId("a"), Incarnation(1), RequestId("r"), ClaimToken(Token)}};
}

/// Drives a partition with a simulated key-value service that replies at once.
class PartitionDriver {
public:
  explicit PartitionDriver(std::map<std::string, KeyValue> &Store,
                           const std::string &Name = "a")
      : Store(Store), Partition(0, RouterId(Name), Incarnation(1)) {
    run(Partition.setShouldOwn(true, Now));
  }

  void requestClaim(std::uint64_t Key, std::uint64_t Token) {
    run(Partition.handleRequest(makeRequest(Key, Token), Now));
  }
  void settle(std::uint64_t Key, std::uint64_t Token, ClaimState State) {
    run(Partition.handleSettlement(
        {makeKey(Key), makeRequest(Key, Token).Requester, State}, Now));
  }
  void advance(Milliseconds Duration, Milliseconds Step = Milliseconds(50)) {
    for (const TimePoint End = Now + Duration; Now < End;) {
      Now += Step;
      run(Partition.tick(Now));
    }
  }
  ClaimAnswer answerTo(std::uint64_t Key, std::uint64_t Token) {
    Answers.clear();
    requestClaim(Key, Token);
    advance(Milliseconds(100));
    CPPUNIT_ASSERT(!Answers.empty());
    return Answers.back();
  }

  std::map<std::string, KeyValue> &Store;
  TimePoint Now{std::chrono::hours(1)};
  ClaimPartition Partition;
  std::vector<ClaimAnswer> Answers;
  int Writes = 0;
  std::size_t MaxValueBytes = 0;
  std::size_t MaxOperations = 0;
  bool WritesFail = false;
  /// Number of reads that still succeed; negative for no limit.
  int ReadsUntilFailure = -1;

private:
  void run(const ClaimActions &InitialActions) {
    std::deque<ClaimAction> PendingActions(InitialActions.begin(),
                                           InitialActions.end());
    while (!PendingActions.empty()) {
      const ClaimAction Action = PendingActions.front();
      PendingActions.pop_front();
      if (const auto *Answer = std::get_if<SendClaimAnswer>(&Action)) {
        Answers.push_back(Answer->Message);
        continue;
      }
      if (std::holds_alternative<SendClaimSettlementAck>(Action))
        continue;
      for (ClaimAction &Next : Partition.handleStoreReply(perform(Action), Now))
        PendingActions.push_back(std::move(Next));
    }
  }

  ClaimStoreReply perform(const ClaimAction &Action) {
    const Error Failure{ErrorId::Unavailable, "", ""};
    if (const auto *Change = std::get_if<Transaction>(&Action))
      return WritesFail ? Result<TransactionReply>(Failure) : commit(*Change);
    if (ReadsUntilFailure == 0)
      return HeadReply(Failure);
    ReadsUntilFailure -= ReadsUntilFailure > 0 ? 1 : 0;
    if (const auto *Read = std::get_if<ReadClaimKey>(&Action)) {
      const auto Found = Store.find(Read->Key);
      return HeadReply(Found == Store.end()
                           ? std::nullopt
                           : std::optional<KeyValue>(Found->second));
    }
    std::vector<KeyValue> List;
    for (const auto &[Key, Value] : Store)
      List.push_back(Value);
    return Result<std::vector<KeyValue>>(List);
  }

  Result<TransactionReply> commit(const Transaction &Change) {
    ++Writes;
    MaxOperations =
        std::max(MaxOperations, Change.Puts.size() + Change.Deletes.size());
    for (const RevisionEquals &Condition : Change.Conditions) {
      const auto Found = Store.find(Condition.Key);
      const Revision ActualRevision =
          Found == Store.end() ? Revision(0) : Found->second.Modified;
      if (ActualRevision != Condition.Expected)
        return TransactionReply{false, {}};
    }
    const Revision NewRevision(static_cast<std::int64_t>(++LastRevision));
    for (const PutOperation &Put : Change.Puts) {
      Store[Put.Key] = {Put.Key, Put.Value, NewRevision};
      MaxValueBytes = std::max(MaxValueBytes, Put.Value.size());
    }
    for (const std::string &Key : Change.Deletes)
      Store.erase(Key);
    return TransactionReply{true, NewRevision};
  }

  static inline std::uint64_t LastRevision = 0;
};

} // namespace

class ClaimPartitionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimPartitionTest);
  CPPUNIT_TEST(endedClaimIsHeldForAnHour);
  CPPUNIT_TEST(claimOfRunningRequestIsRenewed);
  CPPUNIT_TEST(newOwnerLoadsMergedClaims);
  CPPUNIT_TEST(writeRateIsBounded);
  CPPUNIT_TEST(refusalIsConfirmedByTheUnchangedHead);
  CPPUNIT_TEST(releasedKeyCanBeClaimedAgain);
  CPPUNIT_TEST(malformedSegmentPreventsGrants);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second execution after a claim is deleted too early, and
  // against segments that are never deleted.
  void endedClaimIsHeldForAnHour() {
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    CPPUNIT_ASSERT(Owner.answerTo(1, 1).Kind == ClaimAnswerKind::Granted);
    Owner.advance(std::chrono::minutes(30), std::chrono::seconds(1));
    Owner.settle(1, 1, ClaimState::Done);
    Owner.advance(std::chrono::minutes(59), std::chrono::seconds(1));
    CPPUNIT_ASSERT(Owner.answerTo(1, 2).Kind == ClaimAnswerKind::HeldBy);
    Owner.advance(std::chrono::minutes(3), std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Owner.Partition.log().segmentCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.size());
    CPPUNIT_ASSERT(Owner.answerTo(1, 3).Kind == ClaimAnswerKind::Granted);
  }

  // Guards against a second execution of a request that runs longer than the
  // retention time of one hour.
  void claimOfRunningRequestIsRenewed() {
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    Owner.answerTo(1, 1);
    Owner.advance(std::chrono::hours(5), std::chrono::seconds(5));
    CPPUNIT_ASSERT(Owner.answerTo(1, 2).Kind == ClaimAnswerKind::HeldBy);
    PartitionDriver Next(Store, "b");
    CPPUNIT_ASSERT(Next.answerTo(1, 3).Kind == ClaimAnswerKind::HeldBy);
  }

  // Guards against the loss of claims when segments are merged.
  void newOwnerLoadsMergedClaims() {
    constexpr std::uint64_t Keys = 500;
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    for (std::uint64_t Key = 0; Key < Keys; ++Key) {
      Owner.answerTo(Key, Key + 1);
      if (Key % 2 == 0)
        Owner.settle(Key, Key + 1, ClaimState::Released);
    }
    Owner.advance(Milliseconds(200));
    CPPUNIT_ASSERT(Store.size() < 150);
    CPPUNIT_ASSERT(Owner.MaxOperations <= 128);
    PartitionDriver Next(Store, "b");
    for (std::uint64_t Key = 0; Key < Keys; ++Key) {
      const ClaimAnswerKind Kind = Next.answerTo(Key, Keys + Key + 1).Kind;
      CPPUNIT_ASSERT(Kind == (Key % 2 == 0 ? ClaimAnswerKind::Granted
                                           : ClaimAnswerKind::HeldBy));
    }
    CPPUNIT_ASSERT(Owner.answerTo(1, 9'999).Kind == ClaimAnswerKind::NotOwner);
  }

  // Guards against a write rate that grows with the load. At the design load of
  // 1,600 requests/s, all with keys, each of the 16 partitions gets 100/s.
  void writeRateIsBounded() {
    constexpr std::uint64_t RequestsPerSecond = 100;
    constexpr std::uint64_t Seconds = 60;
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    const int WritesBefore = Owner.Writes;
    for (std::uint64_t Number = 0; Number < RequestsPerSecond * Seconds;
         ++Number) {
      Owner.requestClaim(Number, Number + 1);
      if (Number >= RequestsPerSecond)
        Owner.settle(Number - RequestsPerSecond, Number + 1 - RequestsPerSecond,
                     ClaimState::Done);
      Owner.advance(Milliseconds(10), Milliseconds(10));
    }
    const int Writes = Owner.Writes - WritesBefore;
    CPPUNIT_ASSERT(Writes <= static_cast<int>(20 * Seconds + 1));
    CPPUNIT_ASSERT_EQUAL(RequestsPerSecond * Seconds,
                         Owner.Answers.size() + 0UL);
    CPPUNIT_ASSERT(Owner.MaxValueBytes < 1'000'000);
    std::size_t Bytes = 0;
    for (const auto &[Key, Value] : Store)
      Bytes += Value.Value.size();
    std::cout << "writes/s: " << Writes / static_cast<double>(Seconds)
              << ", segments: " << Owner.Partition.log().segmentCount()
              << ", bytes: " << Bytes
              << ", largest value: " << Owner.MaxValueBytes << "\n";
  }

  // Guards against a confirmed refusal from an owner that cannot read the head.
  void refusalIsConfirmedByTheUnchangedHead() {
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    Owner.answerTo(1, 1);
    Owner.WritesFail = true;
    ClaimAnswer Answer = Owner.answerTo(2, 2);
    CPPUNIT_ASSERT(Answer.Kind == ClaimAnswerKind::Refused);
    CPPUNIT_ASSERT(Answer.Confirmed);
    Answer = Owner.answerTo(3, 3);
    CPPUNIT_ASSERT(Answer.Kind == ClaimAnswerKind::Refused);
    CPPUNIT_ASSERT(!Answer.Confirmed);
    Answer = Owner.answerTo(1, 4);
    CPPUNIT_ASSERT(Answer.Kind == ClaimAnswerKind::HeldBy);
    CPPUNIT_ASSERT(!Answer.Confirmed);
    Owner.WritesFail = false;
    Owner.advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT(Owner.answerTo(2, 5).Kind == ClaimAnswerKind::Granted);
    Owner.WritesFail = true;
    // The reads after both failed writes succeed, but the read of the head that
    // would confirm the refusal fails.
    Owner.ReadsUntilFailure = 2;
    Answer = Owner.answerTo(6, 6);
    CPPUNIT_ASSERT(Answer.Kind == ClaimAnswerKind::Refused);
    CPPUNIT_ASSERT(!Answer.Confirmed);
  }

  // Guards against a key that stays blocked although nothing ran, and against
  // a delayed duplicate of the first request that claims the key again.
  void releasedKeyCanBeClaimedAgain() {
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    Owner.answerTo(1, 1);
    Owner.settle(1, 1, ClaimState::Released);
    Owner.advance(Milliseconds(100));
    CPPUNIT_ASSERT(Owner.answerTo(1, 1).Kind == ClaimAnswerKind::Refused);
    CPPUNIT_ASSERT(Owner.answerTo(1, 2).Kind == ClaimAnswerKind::Granted);
    Owner.settle(1, 1, ClaimState::Released);
    Owner.advance(Milliseconds(100));
    CPPUNIT_ASSERT(Owner.answerTo(1, 3).Kind == ClaimAnswerKind::HeldBy);
  }

  // Guards against an owner that grants claims although it cannot read all
  // segments.
  void malformedSegmentPreventsGrants() {
    std::map<std::string, KeyValue> Store;
    PartitionDriver Owner(Store);
    Owner.answerTo(1, 1);
    Store.begin()->second.Value = "damaged";
    PartitionDriver Next(Store, "b");
    const ClaimAnswer Answer = Next.answerTo(1, 2);
    CPPUNIT_ASSERT(Answer.Kind == ClaimAnswerKind::Refused);
    CPPUNIT_ASSERT(!Answer.Confirmed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimPartitionTest);

#pragma once

#include <mallowglade/detail/outcomes/claim_log.hpp>
#include <mallowglade/detail/outcomes/claim_messages.hpp>

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief Action: read one key of the key-value service.
struct ReadClaimKey {
  std::string Key;
};

/// @brief Action: read all entries of the partition.
struct ReadClaimPrefix {
  std::string Prefix;
};

/// @brief Action: send an answer to the requesting router.
struct SendClaimAnswer {
  RouterId To;
  ClaimAnswer Message;
};

/// @brief Action: acknowledge a settlement.
struct SendClaimSettlementAck {
  RouterId To;
  ClaimSettlementAck Message;
};

/// @brief What the caller of a partition has to perform; at most one call to
///   the key-value service is in progress at a time.
using ClaimAction = std::variant<ReadClaimKey, ReadClaimPrefix, Transaction,
                                 SendClaimAnswer, SendClaimSettlementAck>;
using ClaimActions = std::vector<ClaimAction>;

/// @brief Result of a call to the key-value service.
using ClaimStoreReply =
    std::variant<Result<std::optional<KeyValue>>, Result<std::vector<KeyValue>>,
                 Result<TransactionReply>>;

/// @brief State machine of a router for one claim partition, without I/O.
///
/// A router takes ownership by compare-and-swap of the head with epoch + 1 and
/// then reads the segments. Each batch of claims is a transaction on the
/// condition that the head is unchanged, so it fails once another router has
/// taken over. After a lost reply the segment is read back: its key contains
/// the epoch, so a segment that exists was written by this router. If it does
/// not exist, the transaction is repeated unchanged; its second condition,
/// that the segment does not exist, makes a delayed first attempt harmless.
///
/// Every answer but NotOwner waits for a successful transaction, or for a
/// read of the unchanged head, that began after the request arrived. While the
/// service is unavailable, requests are answered without confirmation and
/// never granted.
class ClaimPartition {
public:
  /// @param Number number of the partition
  /// @param Self this router
  /// @param Start start time of this router
  ClaimPartition(std::uint32_t Number, const RouterId &Self, Incarnation Start);

  /// @brief Sets which router should own the partition.
  /// @param ShouldOwn true if it is this router
  ClaimActions setShouldOwn(bool ShouldOwn, TimePoint Now);
  /// @brief Handles a request for a claim.
  ClaimActions handleRequest(const ClaimRequest &Message, TimePoint Now);
  /// @brief Handles the end of a claim.
  ///
  /// Sends no acknowledgement while this router is not the owner or the
  /// key-value service is unavailable; the sender retries.
  ClaimActions handleSettlement(const ClaimSettlement &Message, TimePoint Now);
  /// @brief Handles the result of the call in progress.
  ClaimActions handleStoreReply(const ClaimStoreReply &Reply, TimePoint Now);
  /// @brief Starts the next call if one is due; to be called every few
  ///   milliseconds.
  ClaimActions tick(TimePoint Now);

  /// @return true while this router owns the partition
  bool isOwner() const { return CurrentStep >= Step::Owned; }
  /// @return the records in memory
  const ClaimLog &log() const { return Log; }

private:
  enum class Step {
    Idle,
    ReadHead,
    TakeOverHead,
    Load,
    Owned,
    Confirm,
    Commit,
    ReadBack,
  };
  using HeadReply = Result<std::optional<KeyValue>>;

  void startNextCall(TimePoint Now);
  void startOwnerWork(TimePoint Now);
  void startBatch(TimePoint Now);
  std::vector<ClaimRecord> collectRecords();
  void issueCall();
  void verifyHeadBeforeRefusal();
  void handleSuccess(const ClaimStoreReply &Reply, TimePoint Now);
  void handleCommitReply(const TransactionReply &Reply, TimePoint Now);
  void handleReadBack(bool Present, TimePoint Now);
  void handleFailure(TimePoint Now);
  void markStoreUnavailable(TimePoint Now);
  void markStoreAvailable();
  void handleHeadRead(const HeadReply &Reply, TimePoint Now);
  void handleLoadReply(const std::vector<KeyValue> &Entries, TimePoint Now);
  void handleFailedTakeOver(Revision SeenRevision, TimePoint Now);
  void handleConfirmReply(const HeadReply &Reply, TimePoint Now);
  void handleHeadVerification(const HeadReply &Reply, TimePoint Now);
  void completeCommit(TimePoint Now);
  void releaseRefusedClaims();
  void answerInFlightRequests();
  void answerWithHolder(const ClaimRequest &Message, const ClaimRecord &Record,
                        bool Confirmed);
  void refuse(const ClaimRequest &Message, bool Confirmed);
  void answerWithoutGrant(const ClaimRequest &Message, bool Confirmed);
  void refuseAll(bool Confirmed);
  void loseOwnership(TimePoint Now);
  void redirectOpenRequests();
  bool headIsUnchanged(const HeadReply &Reply) const;
  void sendAnswer(const ClaimRequest &Request, ClaimAnswer Message);
  ClaimActions takeActions();

  RouterId Self;
  Incarnation Start;
  ClaimLog Log;
  ClaimActions Actions;
  Step CurrentStep = Step::Idle;
  bool ShouldOwn = false;
  bool TakeOverPending = false;
  bool CallInProgress = false;
  bool VerifyingHead = false;
  bool StoreUnavailable = false;
  /// True if the conditions of the transaction in progress were not met.
  bool CommitRejected = false;
  std::uint32_t Failures = 0;
  TimePoint NextCall{};
  TimePoint NextBatch{};
  TimePoint NextMaintenance{};
  Revision HeadRevision;
  Epoch OwnedEpoch;
  ClaimBatch Batch;
  std::deque<ClaimRequest> QueuedRequests;
  std::vector<ClaimRequest> InFlightRequests;
  std::deque<ClaimSettlement> QueuedSettlements;
  std::vector<ClaimSettlement> InFlightSettlements;
};

} // namespace mallowglade

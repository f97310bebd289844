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

/// @brief Action: send an answer to the router that asked.
struct SendClaimAnswer {
  RouterId To;
  ClaimAnswer Message;
};

/// @brief Action: confirm a settlement.
struct SendClaimSettled {
  RouterId To;
  ClaimSettled Message;
};

/// @brief What the driver of a partition has to do; at most one call to the
///   key-value service is open at a time.
using ClaimAction = std::variant<ReadClaimKey, ReadClaimPrefix, Transaction,
                                 SendClaimAnswer, SendClaimSettled>;
using ClaimActions = std::vector<ClaimAction>;

/// @brief Result of a call to the key-value service.
using ClaimStoreReply =
    std::variant<Result<std::optional<KeyValue>>, Result<std::vector<KeyValue>>,
                 Result<TransactionReply>>;

/// @brief Decisions of a router about one claim partition.
///
/// An owner takes the partition by compare-and-swap of its head with epoch + 1
/// and then reads the segments. Each batch of claims is a transaction on the
/// condition that the head is unchanged, so it fails once another router has
/// taken over. After a lost reply the segment is read back: its key holds the
/// epoch, so a segment that is present is the own write. If it is absent, the
/// transaction is repeated unchanged; its second condition, that the segment
/// is absent, makes a late effect of the first attempt harmless.
///
/// Every answer but NotOwner waits for a successful transaction, or for a
/// read of the unchanged head, that began after the ask arrived. While the
/// service is down, asks are refused without confirmation.
class ClaimPartition {
public:
  /// @param Number number of the partition
  /// @param Self this router
  /// @param Start start time of this router
  ClaimPartition(std::uint32_t Number, const RouterId &Self, Incarnation Start);

  /// @brief Takes the members' opinion on who owns the partition.
  /// @param Wanted true if it is this router
  ClaimActions setWanted(bool Wanted, TimePoint Now);
  /// @brief Handles a request for a key.
  ClaimActions ask(const ClaimAsk &Message, TimePoint Now);
  /// @brief Handles the end of a claim; without reply while not the owner.
  ClaimActions settle(const ClaimSettlement &Message, TimePoint Now);
  /// @brief Handles the result of the open call.
  ClaimActions stored(const ClaimStoreReply &Reply, TimePoint Now);
  /// @brief Starts what is due; to be called every few milliseconds.
  ClaimActions tick(TimePoint Now);

  /// @return true while this router answers for the partition
  bool owns() const { return Current >= Step::Owned; }
  /// @return the records in memory
  const ClaimLog &log() const { return Log; }

private:
  enum class Step {
    Idle,
    ReadHead,
    TakeHead,
    Load,
    Owned,
    Confirm,
    Commit,
    ReadBack,
  };
  using HeadReply = Result<std::optional<KeyValue>>;

  void begin(TimePoint Now);
  void beginOwned(TimePoint Now);
  void beginBatch(TimePoint Now);
  std::vector<ClaimRecord> collectRecords();
  void call();
  void proveRefusal();
  void succeeded(const ClaimStoreReply &Reply, TimePoint Now);
  void commitAnswered(const TransactionReply &Reply, TimePoint Now);
  void readBack(bool Present, TimePoint Now);
  void failed(TimePoint Now);
  void goDown(TimePoint Now);
  void recovered();
  void headRead(const HeadReply &Reply, TimePoint Now);
  void loaded(const std::vector<KeyValue> &Entries, TimePoint Now);
  void notTaken(Revision Seen, TimePoint Now);
  void confirmed(const HeadReply &Reply, TimePoint Now);
  void proofRead(const HeadReply &Reply, TimePoint Now);
  void committed(TimePoint Now);
  void releaseRefused();
  void answerInFlight();
  void answerHeld(const ClaimAsk &Message, const ClaimRecord &Record,
                  bool Confirmed);
  void refuse(const ClaimAsk &Message, bool Confirmed);
  void giveUp(const ClaimAsk &Message, bool Confirmed);
  void refuseAll(bool Confirmed);
  void lose(TimePoint Now);
  void sendElsewhere();
  bool headIsOwn(const HeadReply &Reply) const;
  void answer(const ClaimAsk &To, ClaimAnswer Message);
  ClaimActions takeActions();

  RouterId Self;
  Incarnation Start;
  ClaimLog Log;
  ClaimActions Actions;
  Step Current = Step::Idle;
  bool Wanted = false;
  bool TakeWanted = false;
  bool CallOpen = false;
  bool Proving = false;
  bool Down = false;
  /// True if the service answered that the open transaction's conditions fail.
  bool Rejected = false;
  std::uint32_t Failures = 0;
  TimePoint NextCall{};
  TimePoint NextBatch{};
  TimePoint NextMaintenance{};
  Revision HeadRevision;
  Epoch Owned;
  ClaimBatch Batch;
  std::deque<ClaimAsk> Waiting;
  std::vector<ClaimAsk> InFlight;
  std::deque<ClaimSettlement> Settlements;
  std::vector<ClaimSettlement> SettlementsInFlight;
};

} // namespace mallowglade

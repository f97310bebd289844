#pragma once

#include <mallowglade/detail/outcomes/claim_messages.hpp>

#include <map>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief Action: send a claim request to the owner of the key's partition.
struct SendClaimRequest {
  ClaimRequest Message;
};

/// @brief Action: send a settlement to the owner of the key's partition.
struct SendClaimSettlement {
  ClaimSettlement Message;
};

/// @brief Action: report the final answer to a claim request, never NotOwner.
struct ClaimDecision {
  ClaimAnswer Message;
};

using ClaimRequesterAction =
    std::variant<SendClaimRequest, SendClaimSettlement, ClaimDecision>;
using ClaimRequesterActions = std::vector<ClaimRequesterAction>;

/// @brief State machine that claims keys for the requests of a router, without
///   I/O.
///
/// A claim request is resent with the same token until it is answered or times
/// out. A claim that is granted after the timeout or after a refusal is
/// released: the request does not run. Settlements are resent until the owner
/// acknowledges them.
class ClaimRequester {
public:
  /// @brief Requests a claim.
  ClaimRequesterActions requestClaim(const ClaimRequest &Message,
                                     TimePoint Now);
  /// @brief Handles an owner's answer.
  ClaimRequesterActions handleAnswer(const ClaimAnswer &Message, TimePoint Now);
  /// @brief Ends a granted claim.
  ClaimRequesterActions settle(ClaimToken Token, ClaimState State,
                               TimePoint Now);
  /// @brief Handles an owner's acknowledgement of a settlement.
  void handleSettlementAck(ClaimToken Token, TimePoint Now);
  /// @brief Handles the case that another router still sees the claim as the
  ///   holder of its key; a claim that was released is released again.
  ClaimRequesterActions recheck(ClaimToken Token, TimePoint Now);
  /// @brief Resends unanswered messages and ends those that have timed out.
  ClaimRequesterActions tick(TimePoint Now);
  /// @return number of settlements that no owner has acknowledged
  std::size_t unsettledCount() const;

private:
  enum class Stage { Requesting, Running, Settling, Finished };
  struct Entry {
    ClaimRequest Request;
    Stage CurrentStage = Stage::Requesting;
    ClaimState FinalState = ClaimState::Done;
    TimePoint Deadline;
    TimePoint NextSend;
    Milliseconds RetryDelay{};
  };

  void handleDecision(Entry &Claim, ClaimAnswer Message, TimePoint Now);
  void startSettling(Entry &Claim, ClaimState FinalState, TimePoint Now);
  static void finish(Entry &Claim, TimePoint Now);
  bool advance(Entry &Claim, TimePoint Now);
  ClaimRequesterActions takeActions();

  std::map<ClaimToken, Entry> Entries;
  ClaimRequesterActions Actions;
};

} // namespace mallowglade

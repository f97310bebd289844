#pragma once

#include <mallowglade/detail/outcomes/claim_messages.hpp>

#include <map>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief Action: send an ask to the owner of the key's partition.
struct SendClaimAsk {
  ClaimAsk Message;
};

/// @brief Action: send a settlement to the owner of the key's partition.
struct SendClaimSettlement {
  ClaimSettlement Message;
};

/// @brief Action: the ask has its final answer, never NotOwner.
struct ClaimDecided {
  ClaimAnswer Message;
};

using ClaimRequesterAction =
    std::variant<SendClaimAsk, SendClaimSettlement, ClaimDecided>;
using ClaimRequesterActions = std::vector<ClaimRequesterAction>;

/// @brief Decisions of a router that claims keys for its requests.
///
/// An ask is repeated with the same token until it is answered or its time
/// limit has passed. A claim that is granted too late, or after the ask was
/// refused, is released: the request does not run. Settlements are repeated
/// until the owner confirms them.
class ClaimRequester {
public:
  /// @brief Starts an ask.
  ClaimRequesterActions ask(const ClaimAsk &Message, TimePoint Now);
  /// @brief Handles an owner's answer.
  ClaimRequesterActions answered(const ClaimAnswer &Message, TimePoint Now);
  /// @brief Ends a granted claim.
  ClaimRequesterActions settle(ClaimToken Token, ClaimState State,
                               TimePoint Now);
  /// @brief Handles an owner's confirmation of a settlement.
  void settled(ClaimToken Token, TimePoint Now);
  /// @brief Another router still sees this claim as the key's holder; a claim
  ///   that was released is released again.
  ClaimRequesterActions recheck(ClaimToken Token, TimePoint Now);
  /// @brief Repeats and gives up what is due.
  ClaimRequesterActions tick(TimePoint Now);
  /// @return settlements that no owner has confirmed
  std::size_t unsettled() const;

private:
  enum class Stage { Asking, Running, Settling, Forgotten };
  struct Entry {
    ClaimAsk Ask;
    Stage Now = Stage::Asking;
    ClaimState End = ClaimState::Done;
    TimePoint Deadline;
    TimePoint NextSend;
    Milliseconds Pause{};
  };

  void decide(Entry &Which, ClaimAnswer Message, TimePoint Now);
  void beginSettling(Entry &Which, ClaimState End, TimePoint Now);
  static void forget(Entry &Which, TimePoint Now);
  bool advance(Entry &Which, TimePoint Now);
  ClaimRequesterActions takeActions();

  std::map<ClaimToken, Entry> Entries;
  ClaimRequesterActions Actions;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/router/dispatcher.hpp>
#include <mallowglade/outcomes.hpp>

#include <functional>
#include <string>
#include <variant>

namespace mallowglade {

/// @brief Names a non-idempotent request across repeats by its caller.
struct IdempotencyKey {
  WorkspaceId Workspace;
  std::string Key;
};

/// @brief The request may run; nobody else may.
struct ClaimGranted {};

/// @brief Another request holds the key; its answer is the answer.
struct ClaimHeldBy {
  ClaimHolder Holder;
  /// True if the holder still held the key after this claim was requested;
  /// only then does its verdict `not_run` hold for all requests with the key.
  bool Confirmed = false;
};

/// @brief No claim was made.
struct ClaimRefused {
  Refusal Reason;
  /// True if it is proven that no request under the key has run.
  bool NeverClaimed = false;
};

/// @brief Reply to a claim.
using ClaimReply = std::variant<ClaimGranted, ClaimHeldBy, ClaimRefused>;

/// @brief How a claimed request ended.
enum class ClaimEnd {
  /// It ran or may have run; the key stays claimed.
  Done,
  /// It is proven not to have run; the key may be claimed again.
  Released,
};

/// @brief Makes sure that a key runs at most once; control thread only.
class ClaimService {
public:
  /// @brief Receives the reply, on the control thread, exactly once.
  using Reply = std::function<void(ClaimReply)>;

  virtual ~ClaimService() = default;
  /// @brief Claims a key for a request.
  /// @return identifies the claim, whether it will be granted or not
  virtual ClaimToken claim(const IdempotencyKey &Key, const RequestId &Request,
                           Reply Done) = 0;
  /// @brief Reports the end of a claimed request.
  virtual void settle(const IdempotencyKey &Key, const RequestId &Request,
                      ClaimEnd End) = 0;
  /// @brief Another request still sees this router's claim as the holder.
  virtual void recheck(ClaimToken Token) = 0;
  /// @return ended claims whose end the partition's owner has not confirmed
  virtual std::size_t unsettledCount() const = 0;
};

} // namespace mallowglade

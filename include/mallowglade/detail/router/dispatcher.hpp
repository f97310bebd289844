#pragma once

#include <mallowglade/core.hpp>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief A request that waits for an upstream.
struct DispatchRequest {
  RequestId Id;
  WorkspaceId Workspace;
  PoolId Pool;
  /// Cost hint from the request; the real cost is known when it ends.
  ServiceUnits Hint;
  Fingerprint RequestFingerprint;
  /// Hash of the prompt's beginning; equal prefixes profit from one cache.
  std::uint64_t PrefixHash = 0;
  /// True for a further attempt of a request that already had service.
  bool Retry = false;
  /// Upstreams that failed this request; avoided while others have room.
  std::vector<UpstreamId> Avoid;
};

/// @brief Permission to run one attempt on one upstream.
struct Assignment {
  GrantId Grant;
  /// Router that runs the cell which made the grant.
  RouterId Cell;
  UpstreamId Upstream;
  /// Address of the upstream, `ip:port`.
  std::string Address;
};

/// @brief A final refusal: the request was not handed to any upstream.
struct Refusal {
  Error Reason;
  /// When the caller may come back.
  Milliseconds RetryAfter{};
};

/// @brief Reply to a request for an upstream.
using DispatchReply = std::variant<Assignment, Refusal>;

/// @brief How an attempt ended.
enum class AttemptEnd {
  /// The upstream's answer is complete.
  Answered,
  /// No connection was made; nothing was handed over.
  ConnectFailed,
  /// The upstream said that it does not take the request (503).
  Refused,
  /// The connection ended before the answer was complete.
  ConnectionLost,
  /// The connection ended and the upstream accepts no new one.
  UpstreamCrashed,
  /// The answer cannot be passed on, for example in the middle of a stream.
  Unusable,
  /// No byte arrived within the gap limit.
  Silent,
  /// The router gave the attempt up, for example after the caller left.
  Cancelled,
};

/// @brief Measured state of a running or ended attempt.
struct AttemptProgress {
  /// Service received so far, in service units.
  ServiceUnits Served;
  /// Time from the dispatch to the first token, once known.
  std::optional<Milliseconds> FirstToken;
  /// Mean time between tokens so far, once known.
  std::optional<Milliseconds> InterToken;
};

/// @brief Finds an upstream for each request; control thread only.
class Dispatcher {
public:
  /// @brief Receives the reply, on the control thread, exactly once.
  using Reply = std::function<void(DispatchReply)>;

  virtual ~Dispatcher() = default;
  /// @brief Queues a request until an upstream is assigned or it is refused.
  virtual void enqueue(DispatchRequest Request, Reply Done) = 0;
  /// @brief Removes a queued request; its reply is not called any more.
  /// @return true if the request was still queued
  virtual bool cancel(const RequestId &Request) = 0;
  /// @brief Reports the service that a running attempt has received so far.
  virtual void progress(const RequestId &Request, const Assignment &Where,
                        const AttemptProgress &Progress) = 0;
  /// @brief Reports the end of an attempt; frees its slot.
  virtual void finish(const RequestId &Request, const Assignment &Where,
                      AttemptEnd End, const AttemptProgress &Progress) = 0;
};

} // namespace mallowglade

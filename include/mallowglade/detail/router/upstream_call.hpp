#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/router/dispatcher.hpp>
#include <mallowglade/scheduling.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace mallowglade {

/// @brief What is sent to an upstream.
struct UpstreamRequest {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// @brief Status and headers of an upstream's reply.
struct UpstreamHead {
  int Status = 0;
  std::string ContentType;
  /// True if the upstream said that it closes down (`Connection: close` with
  /// 503, or `X-Leaving: true`).
  bool Leaving = false;
  std::int64_t RetryAfterSeconds = 0;
  /// Requests per second that the upstream takes from all routers together
  /// (`Server-Limit`); nothing if it named no limit.
  std::optional<RequestRate> Rate;
  /// True if it named a limit that cannot be read.
  bool RateUnreadable = false;
};

/// @brief Receives an upstream's reply, on the calling thread.
struct UpstreamReceiver {
  std::function<void(const UpstreamHead &)> OnHead;
  /// Returns false to end the call.
  std::function<bool(std::string_view)> OnBytes;
};

/// @brief Limits of one call.
struct UpstreamLimits {
  Milliseconds ConnectTimeout{};
  /// Longest silence of the connection.
  Milliseconds GapLimit{};
};

/// @brief Ends a running call from another thread; thread-safe.
class CallCancellation {
public:
  /// @brief Ends the running call and all later ones.
  void cancel();
  /// @return true once cancelled
  bool cancelled() const;
  /// @brief Names the action that ends the running call; null for none.
  void setAction(std::function<void()> End);

private:
  mutable std::mutex Mutex;
  std::function<void()> Action;
  bool Cancelled = false;
};

/// @brief Runs one attempt on a new connection and waits for its end.
///
/// Each attempt has a connection of its own: a connection that went silent
/// is never reused, and a request is never handed to one that was already
/// closed by its other end.
/// @param Cancellation ends the call early; may be null
/// @return how the attempt ended
AttemptEnd callUpstream(const std::string &Address,
                        const UpstreamRequest &Request,
                        const UpstreamLimits &Limits,
                        const UpstreamReceiver &Receiver,
                        CallCancellation *Cancellation = nullptr);

} // namespace mallowglade

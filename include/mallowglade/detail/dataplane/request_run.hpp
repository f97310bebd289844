#pragma once

#include <mallowglade/detail/dataplane/relay_window.hpp>
#include <mallowglade/detail/dataplane/response_reader.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>
#include <mallowglade/outcomes.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mallowglade::dataplane {

/// @brief Handles one request from its arrival to its final response.
///
/// Queues the request, sends it to an upstream, retries it if that is safe, and
/// relays the response. The caller always receives either exactly one final
/// response or a connection that is closed before the response is complete.
class RequestRun final : public QueuedRequest,
                         public http1::ExchangeObserver,
                         public std::enable_shared_from_this<RequestRun> {
public:
  RequestRun(Traffic &Proxy, std::shared_ptr<http1::ServerExchange> Exchange,
             RequestMetadata Metadata,
             std::shared_ptr<const Configuration> Config,
             const Route &MatchedRoute, WorkspaceId Workspace,
             RequestFeatures Features, bool IsProbe);

  /// @brief Submits the request to the admission queue.
  void start();

  void place(const PlacementChoice &Choice) override;
  void refuse(Refusal Reason, Milliseconds RetryAfter) override;

  bool maySend() override;
  bool acceptsUnidentified(const http1::ResponseHead &Head) override;
  void onResponseHead(http1::ResponseHead &Head) override;
  void onResponseBody(std::string_view Data) override;
  void onResponseEnd() override;
  void onExchangeFailed(http1::ExchangeFailure Failure) override;

private:
  /// Retry-After of responses to requests that were not executed.
  static constexpr Milliseconds FailureRetryAfter{500};

  Milliseconds timeLeft() const;
  std::string buildForwardedRequest(const UpstreamState &Destination) const;
  /// @param End time at which the request ends without a response
  void armDeadline(TimePoint End);
  void onDeadline();
  void onCallerDisconnected();
  void recordFirstEvent();
  void releaseLoad();
  /// @brief Records that the upstream broke off the run, unless it is leaving.
  void recordBrokenOff();
  /// @brief Records an attempt that the upstream took.
  /// @param Took time to the end of the response; nothing if that was broken
  ///   off
  void recordTaken(std::optional<Milliseconds> Took);
  void endAttempt(bool KeepConnection);
  void retryOrFail(AttemptFailure Failure, std::string_view Cause);
  void respondWithError(unsigned Status, std::string_view Cause,
                        std::optional<Milliseconds> RetryAfter);
  /// @brief Ends an attempt whose upstream did not execute the request.
  void endRefusedAttempt(bool KeepConnection);
  /// @brief Ends an attempt whose response cannot be passed on.
  void failResponse(ResponseFault Fault);
  void beginRelay();
  /// @brief Passes on what the reader releases of the response's body.
  void relay();
  /// @brief Stops reading from the upstream until the caller has caught up, or
  ///   for as long as the upstream may wait.
  void pauseUpstream();
  /// @brief Records the outcome; later calls have no effect.
  void complete(std::string_view Outcome, unsigned Status);
  http1::HeaderList responseFields(const http1::ResponseHead &Head) const;
  /// @return hashes of the shared prompt parts, for the log
  std::string sharedParts() const;
  void log(std::string_view Outcome, unsigned Status);

  Traffic &Proxy;
  std::shared_ptr<http1::ServerExchange> Exchange;
  RequestMetadata Metadata;
  std::shared_ptr<const Configuration> Config;
  const Route &MatchedRoute;
  WorkspaceId Workspace;
  RequestFeatures Features;
  /// True if the request is let through although it has a feature in
  /// quarantine.
  bool IsProbe = false;
  TimePoint Deadline;
  asio::steady_timer DeadlineTimer;
  asio::steady_timer PauseTimer;
  RelayWindow Window;
  AttemptHistory History;
  std::shared_ptr<http1::UpstreamConnection> Connection;
  UpstreamRecord TargetUpstream;
  UpstreamProcess TargetProcess;
  /// Address, `ip:port`, of the upstream whose KV cache the chosen one fetches
  /// the shared prompt parts from; empty for none.
  std::string KvCacheSource;
  /// Load that this request adds to `TargetUpstream` in the upstream table.
  UpstreamLoad ReservedLoad;
  TimePoint SentAt{};
  ResponseReader Reader;
  /// Head of the response of the current attempt.
  http1::ResponseHead Head;
  /// Attempts that the upstream did not execute: it refused the request, or no
  /// byte of the request was sent.
  unsigned UnexecutedAttempts = 0;
  /// Time from arrival to the first event; negative before that event.
  Milliseconds FirstEventDelay{-1};
  bool Done = false;
  /// True once the request was handed to an upstream connection.
  bool Dispatched = false;
  /// True once the head of the response was sent to the caller.
  bool RelayStarted = false;
  /// True after a refusal that may be a copy of an earlier one, while the
  /// response to this request may follow.
  bool RefusalUnproven = false;
};

} // namespace mallowglade::dataplane

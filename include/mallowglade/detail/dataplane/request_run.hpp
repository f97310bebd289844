#pragma once

#include <mallowglade/detail/dataplane/traffic.hpp>
#include <mallowglade/detail/http1/event_stream.hpp>
#include <mallowglade/outcomes.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mallowglade::dataplane {

/// @brief One request from its arrival to its final answer.
///
/// It waits for an upstream, is sent, and its answer is relayed. Whatever
/// happens, the caller gets exactly one final answer or a connection that
/// visibly ends early.
class RequestRun final : public Waiter,
                         public http1::ExchangeObserver,
                         public std::enable_shared_from_this<RequestRun> {
public:
  RequestRun(Traffic &Owner, std::shared_ptr<http1::ServerExchange> Exchange,
             RequestFacts Facts, std::shared_ptr<const Configuration> Config,
             const Route &Of, WorkspaceId Workspace, RequestPrint Print);

  /// @brief Starts to wait for an upstream.
  void start();

  void place(const PlacementChoice &Where) override;
  void refuse(Refusal Reason, Milliseconds RetryAfter) override;

  void onResponseHead(http1::ResponseHead &Head) override;
  void onResponseBody(std::string_view Data) override;
  void onResponseEnd() override;
  void onExchangeFailed(http1::ExchangeFailure Failure) override;

private:
  /// What is done with the answer being read.
  enum class Mode { Waiting, Discarding, Collecting, Relaying };

  Milliseconds timeLeft() const;
  std::string forwardMessage(const UpstreamState &To) const;
  void armDeadline();
  void onDeadline();
  void onCallerGone();
  void onFirstEvent();
  void releaseLoad();
  void endAttempt(bool KeepConnection);
  void retryOrFail(AttemptFailure Failure, std::string_view Cause);
  void answerFailure(unsigned Status, std::string_view Cause,
                     std::optional<Milliseconds> RetryAfter);
  void beginRelay();
  void relay(std::string_view Data);
  void complete(std::string_view Outcome, unsigned Status);
  http1::HeaderList answerFields(const http1::ResponseHead &Head) const;
  void log(std::string_view Outcome, unsigned Status);

  Traffic &Owner;
  std::shared_ptr<http1::ServerExchange> Exchange;
  RequestFacts Facts;
  std::shared_ptr<const Configuration> Config;
  const Route &Of;
  WorkspaceId Workspace;
  RequestPrint Print;
  TimePoint Deadline;
  asio::steady_timer DeadlineTimer;
  AttemptHistory History;
  std::shared_ptr<http1::UpstreamConnection> Connection;
  UpstreamRecord Target;
  /// Upstream that the target fetches shared prompt parts from, `ip:port`.
  std::string FetchPartsFrom;
  UpstreamLoad Counted;
  TimePoint SentAt{};
  Mode Reading = Mode::Waiting;
  AnswerFacts Answer;
  http1::ResponseHead Head;
  std::optional<http1::ResponseHead> FirstHead;
  std::string Collected;
  EventStream Events;
  unsigned Refusals = 0;
  Milliseconds FirstByte{-1};
  bool Done = false;
  bool Sent = false;
  bool Relayed = false;
};

} // namespace mallowglade::dataplane

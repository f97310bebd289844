#pragma once

#include <mallowglade/detail/router/answer.hpp>
#include <mallowglade/detail/router/claim_service.hpp>
#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/upstream_call.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace mallowglade {

/// @brief An accepted request.
struct RouterRequest {
  RequestId Id;
  WorkspaceId Workspace;
  PoolSettings Pool;
  /// False if a second run could do harm.
  bool Idempotent = true;
  /// Set if the caller named the request for repeats.
  std::optional<IdempotencyKey> Key;
  UpstreamRequest Payload;
};

/// @brief Runs accepted requests to their end, whoever still listens.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
  /// @param Context what the router's services share
  /// @param Answers where answers are kept
  /// @param Attempts threads that run attempts
  RequestRunner(RouterContext Context, AnswerStore &Answers,
                BlockingPool &Attempts);
  /// @brief Starts a request; safe to call from any thread.
  /// @param Request the request
  /// @param Target its answer
  void start(RouterRequest Request, std::shared_ptr<Answer> Target);
  /// @return requests that have not ended
  std::size_t active() const { return Active; }

private:
  struct Run;
  using RunPointer = std::shared_ptr<Run>;

  void claim(const RunPointer &Current);
  void attachTo(const RunPointer &Current, const ClaimHeldBy &Holder);
  void enqueue(const RunPointer &Current);
  void dispatch(const RunPointer &Current, const Assignment &Where);
  void runAttempt(const RunPointer &Current, const Assignment &Where);
  void attemptEnded(const RunPointer &Current, const Assignment &Where,
                    AttemptEnd End, const AttemptProgress &Progress);
  void failAttempt(const RunPointer &Current, AttemptEnd End);
  void finish(const RunPointer &Current, std::optional<Problem> Failure);

  RouterContext Context;
  AnswerStore &Answers;
  BlockingPool &Attempts;
  std::atomic<std::size_t> Active{0};
};

/// @brief Estimates the cost of a request before it runs.
/// @param Pool pool with the weights
/// @param Body request body
/// @return estimate in service units
ServiceUnits estimateCost(const PoolSettings &Pool, const std::string &Body);

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/router/answer.hpp>
#include <mallowglade/detail/router/claim_service.hpp>
#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/upstream_call.hpp>
#include <mallowglade/scheduling.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace mallowglade {

struct FetchResult;

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
  /// True if the caller asked for a stream of events.
  bool Streamed = false;
  /// Bearer key of the caller, to fetch an answer from another router.
  std::string BearerKey;
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
  /// @brief Ends all requests with a problem document at once; new ones are
  ///   refused. Safe to call from any thread.
  void abortAll();
  /// @brief Ends waiting requests whose fingerprint was convicted; control
  ///   thread only.
  void refuseConvicted();
  /// @return requests that have not ended
  std::size_t active() const { return Active; }

private:
  struct Run;
  struct AttemptOutcome {
    AttemptEnd End = AttemptEnd::Answered;
    /// The connection was lost, but the upstream accepts new ones.
    bool Cut = false;
    /// The next attempt needs no retry budget.
    bool Free = false;
  };
  using RunPointer = std::shared_ptr<Run>;

  void claim(const RunPointer &Current);
  void refuseClaim(const RunPointer &Current, const ClaimRefused &Refused);
  void attachTo(const RunPointer &Current, const ClaimHeldBy &Held);
  void attachHere(const RunPointer &Current, const ClaimHeldBy &Held);
  void attachElsewhere(const RunPointer &Current, const ClaimHeldBy &Held);
  void fetch(const RunPointer &Current, const ClaimHeldBy &Held,
             const std::string &Address);
  void fetched(const RunPointer &Current, const ClaimHeldBy &Held,
               const FetchResult &Result);
  void attachedEnded(const RunPointer &Current, const ClaimHeldBy &Held,
                     std::optional<Problem> Failure);
  void holderGone(const RunPointer &Current);
  void enqueue(const RunPointer &Current);
  bool refuseIfConvicted(const RunPointer &Current);
  /// @brief Refuses a request if others with a suspected feature were sent
  ///   shortly before.
  bool refuseIfSuspected(const RunPointer &Current);
  void dispatch(const RunPointer &Current, const Assignment &Where);
  void runAttempt(const RunPointer &Current, const Assignment &Where);
  void recordEnd(const RunPointer &Current, const Assignment &Where,
                 AttemptEnd End);
  void attemptEnded(const RunPointer &Current, const Assignment &Where,
                    const AttemptOutcome &Outcome,
                    const AttemptProgress &Progress);
  AttemptEnd reportedEnd(const RunPointer &Current,
                         const AttemptOutcome &Outcome);
  void failAttempt(const RunPointer &Current, AttemptEnd End, bool Free);
  void settle(const RunPointer &Current, Verdict Outcome);
  void abort(const RunPointer &Current);
  void finish(const RunPointer &Current, std::optional<Problem> Failure);

  RouterContext Context;
  AnswerStore &Answers;
  BlockingPool &Attempts;
  std::atomic<std::size_t> Active{0};
  /// Requests that have not ended; control thread only.
  std::set<RunPointer> Runs;
  RetryBudget Budget;
  /// Fingerprints whose connection was cut lately, with the time.
  std::map<Fingerprint, TimePoint> RecentCuts;
  bool Aborted = false;
};

} // namespace mallowglade

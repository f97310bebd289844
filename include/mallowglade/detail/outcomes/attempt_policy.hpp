#pragma once

#include <mallowglade/detail/outcomes/verdict.hpp>

#include <cstdint>

namespace mallowglade {

/// @brief How an attempt ended without a complete response.
enum class AttemptFailure {
  /// No usable connection was established; the request was not sent.
  NotSent,
  /// The upstream reported that it does not run the request.
  RefusedByUpstream,
  /// The connection was lost after bytes were sent.
  Interrupted,
  /// The upstream stopped sending data after bytes were sent to it.
  Stalled,
};

/// @brief What to do after a failed attempt.
enum class NextStep {
  /// Start another attempt; a stream resumes after its last event.
  Retry,
  /// Report to the caller that the request was not run.
  FailNotRun,
  /// Report to the caller that the request may have run.
  FailUnknown,
};

/// @brief State of a request that determines its next step.
struct AttemptHistory {
  bool Idempotent = true;
  /// True once any attempt may have reached an upstream.
  bool MayHaveRun = false;
  std::uint32_t Attempts = 0;
  std::uint32_t MaxAttempts = 0;
  /// True if nothing else rules out one more attempt, such as the retry budget,
  /// the deadline or a stream that cannot be resumed.
  bool RetryAllowed = false;
};

/// @brief Decides what follows a failed attempt.
/// @param History state before this failure; `MayHaveRun` is updated
/// @param Failure how the attempt ended
/// @return the next step
NextStep decideNextStep(AttemptHistory &History, AttemptFailure Failure);

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/outcomes/verdict.hpp>

#include <cstdint>

namespace mallowglade {

/// @brief How an attempt ended without a complete answer.
enum class AttemptFailure {
  /// No connection was made; nothing was handed over.
  NotHandedOver,
  /// The upstream said that it does not run the request.
  RefusedByUpstream,
  /// The connection ended after bytes were sent.
  Interrupted,
  /// The connection went silent after bytes were sent.
  Silent,
};

/// @brief What to do after a failed attempt.
enum class NextStep {
  /// Run another attempt; a stream resumes after its last event.
  Retry,
  /// Tell the caller that the request was not run.
  FailNotRun,
  /// Tell the caller that the request may have run.
  FailUnknown,
};

/// @brief Facts about a request that decide its next step.
struct AttemptHistory {
  bool Idempotent = true;
  /// True once any attempt may have reached an upstream.
  bool MayHaveRun = false;
  std::uint32_t Attempts = 0;
  std::uint32_t MaxAttempts = 0;
  /// True if the retry budget allows one more attempt.
  bool BudgetLeft = false;
};

/// @brief Decides what follows a failed attempt.
/// @param History facts before this failure; `MayHaveRun` is updated
/// @param Failure how the attempt ended
/// @return the next step
NextStep decideNextStep(AttemptHistory &History, AttemptFailure Failure);

} // namespace mallowglade

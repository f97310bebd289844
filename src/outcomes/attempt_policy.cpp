#include <mallowglade/outcomes.hpp>

namespace mallowglade {

std::string_view toString(Verdict Outcome) {
  switch (Outcome) {
  case Verdict::Answered:
    return "answered";
  case Verdict::NotRun:
    return "not_run";
  case Verdict::Unknown:
    return "unknown";
  }
  return "unknown";
}

NextStep decideNextStep(AttemptHistory &History, AttemptFailure Failure) {
  const bool ProvenNotRun = Failure == AttemptFailure::NotSent ||
                            Failure == AttemptFailure::RefusedByUpstream;
  if (!ProvenNotRun)
    History.MayHaveRun = true;
  const bool MayRetry = History.Idempotent || !History.MayHaveRun;
  const bool AttemptsLeft = History.Attempts < History.MaxAttempts;
  if (MayRetry && AttemptsLeft && History.RetryAllowed)
    return NextStep::Retry;
  return History.MayHaveRun ? NextStep::FailUnknown : NextStep::FailNotRun;
}

} // namespace mallowglade

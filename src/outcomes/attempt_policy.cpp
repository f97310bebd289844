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
  const bool Proven = Failure == AttemptFailure::NotHandedOver ||
                      Failure == AttemptFailure::RefusedByUpstream;
  if (!Proven)
    History.MayHaveRun = true;
  const bool MayRepeat = History.Idempotent || !History.MayHaveRun;
  const bool RoomLeft = History.Attempts < History.MaxAttempts;
  if (MayRepeat && RoomLeft && History.BudgetLeft)
    return NextStep::Retry;
  return History.MayHaveRun ? NextStep::FailUnknown : NextStep::FailNotRun;
}

} // namespace mallowglade

#include <mallowglade/detail/scheduling/token_bucket.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr double RetryRatio = 0.1;
constexpr double MaxRetryTokens = 100;
constexpr double MaxWaitMs = 60'000;
constexpr double MillisPerSecond = 1'000;

} // namespace

void TokenBucket::refill(double Rate, double Burst, TimePoint Now) {
  if (!Initialised) {
    Initialised = true;
    Level = Burst;
  } else {
    const std::chrono::duration<double> Elapsed = Now - Last;
    Level = std::min(Burst, Level + Rate * Elapsed.count());
  }
  Last = Now;
}

Milliseconds TokenBucket::timeUntilAvailable(double Amount, double Rate) const {
  if (Level >= Amount)
    return Milliseconds(0);
  if (Rate <= 0)
    return Milliseconds(static_cast<std::int64_t>(MaxWaitMs));
  const double Wait = (Amount - Level) / Rate * MillisPerSecond;
  return Milliseconds(
      static_cast<std::int64_t>(std::clamp(Wait, 1.0, MaxWaitMs)));
}

void RetryBudget::recordSuccess() {
  Tokens = std::min(MaxRetryTokens, Tokens + RetryRatio);
}

bool RetryBudget::takeRetry() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace mallowglade

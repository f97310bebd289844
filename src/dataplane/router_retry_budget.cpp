#include <mallowglade/detail/dataplane/router_retry_budget.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Fraction of the limits that is used; the rest covers routers that join and
/// retries that an observer counts in a different window.
constexpr double UsableFraction = 0.5;

} // namespace

double RouterRetryBudget::routerSlack() const {
  return UsableFraction * Limits.Slack / static_cast<double>(RouterCount);
}

void RouterRetryBudget::setRouters(std::size_t Count) {
  RouterCount = std::max<std::size_t>(1, Count);
}

RouterRetryBudget::Bucket &RouterRetryBudget::refill(const ServiceId &Name) {
  const TimePoint Now = Time.now();
  const auto [It, New] = Buckets.try_emplace(Name);
  Bucket &Budget = It->second;
  // Half of the slack may be used in a burst, the other half is refilled over
  // the window.
  const double Burst = routerSlack() / 2;
  if (New) {
    Budget.Tokens = Burst;
    Budget.RefilledAt = Now;
  }
  const double ElapsedSeconds =
      std::chrono::duration<double>(Now - Budget.RefilledAt).count();
  const double WindowSeconds =
      std::chrono::duration<double>(Limits.Window).count();
  Budget.Tokens =
      std::min(Budget.Tokens + ElapsedSeconds * Burst / WindowSeconds,
               std::max(Burst, Budget.Tokens));
  Budget.RefilledAt = Now;
  return Budget;
}

void RouterRetryBudget::recordRequest(const ServiceId &Name) {
  Bucket &Budget = refill(Name);
  const double MaxTokens = routerSlack();
  Budget.Tokens = std::max(
      Budget.Tokens,
      std::min(MaxTokens, Budget.Tokens + UsableFraction * Limits.Ratio));
}

bool RouterRetryBudget::tryTake(const ServiceId &Name) {
  Bucket &Budget = refill(Name);
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace mallowglade::dataplane

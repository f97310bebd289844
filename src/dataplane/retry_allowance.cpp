#include <mallowglade/detail/dataplane/retry_allowance.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Part of the bound that is spent; the rest covers routers that join and
/// repeats that callers' own accounting sees in another window.
constexpr double SpentPart = 0.5;

} // namespace

double RetryAllowance::slackShare() const {
  return SpentPart * Bounds.Slack / static_cast<double>(Routers);
}

void RetryAllowance::setRouters(std::size_t Count) {
  Routers = std::max<std::size_t>(1, Count);
}

RetryAllowance::Account &RetryAllowance::refilled(const ServiceId &For) {
  const TimePoint Now = Time.now();
  const auto [At, New] = Accounts.try_emplace(For);
  Account &Of = At->second;
  // Half of the share may be spent in a burst, the other half over the window.
  const double Burst = slackShare() / 2;
  if (New) {
    Of.Tokens = Burst;
    Of.Refilled = Now;
  }
  const double Passed =
      std::chrono::duration<double>(Now - Of.Refilled).count();
  const double Window = std::chrono::duration<double>(Bounds.Window).count();
  Of.Tokens =
      std::min(Of.Tokens + Passed * Burst / Window, std::max(Burst, Of.Tokens));
  Of.Refilled = Now;
  return Of;
}

void RetryAllowance::request(const ServiceId &For) {
  Account &Of = refilled(For);
  const double Most = slackShare();
  Of.Tokens =
      std::max(Of.Tokens, std::min(Most, Of.Tokens + SpentPart * Bounds.Ratio));
}

bool RetryAllowance::take(const ServiceId &For) {
  Account &Of = refilled(For);
  if (Of.Tokens < 1)
    return false;
  Of.Tokens -= 1;
  return true;
}

} // namespace mallowglade::dataplane

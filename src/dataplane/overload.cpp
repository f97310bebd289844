#include <mallowglade/detail/dataplane/overload.hpp>

namespace mallowglade::dataplane {

namespace {

/// Delay above which new work is refused: a tenth of the shortest latency
/// objective in use.
constexpr double RefuseAboveMs = 60;
/// Delay below which new work is accepted again.
constexpr double AcceptBelowMs = 30;
constexpr double SmoothingWeight = 0.5;
/// Time that the router is not offered after it was overloaded: callers ask
/// for addresses every two seconds.
constexpr Milliseconds ShunFor{3'000};

} // namespace

void OverloadDetector::sample(Milliseconds Delay, TimePoint Now) {
  Smoothed += SmoothingWeight * (static_cast<double>(Delay.count()) - Smoothed);
  if (Smoothed > RefuseAboveMs)
    Refusing = true;
  else if (Smoothed < AcceptBelowMs)
    Refusing = false;
  if (Refusing)
    ShunnedUntil = Now + ShunFor;
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/overload.hpp>

namespace mallowglade::dataplane {

namespace {

/// Delay above which new streams are refused: a tenth of the shortest latency
/// objective in use.
constexpr double RefuseAboveDelayMs = 60;
/// Delay below which new streams are accepted again.
constexpr double AcceptBelowDelayMs = 30;
constexpr double SmoothingWeight = 0.5;
/// Time for which the router is not advertised after an overload; longer than
/// the two seconds after which callers look up addresses again.
constexpr Milliseconds AdvertiseHoldOff{3'000};

} // namespace

void OverloadDetector::sample(Milliseconds Delay, TimePoint Now) {
  SmoothedDelayMs +=
      SmoothingWeight * (static_cast<double>(Delay.count()) - SmoothedDelayMs);
  if (SmoothedDelayMs > RefuseAboveDelayMs)
    RefusesStreams = true;
  else if (SmoothedDelayMs < AcceptBelowDelayMs)
    RefusesStreams = false;
  if (RefusesStreams)
    NotAdvertisedUntil = Now + AdvertiseHoldOff;
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/overload.hpp>

namespace mallowglade::dataplane {

namespace {

/// Delay above which the router is overloaded: a tenth of the shortest latency
/// objective in use.
constexpr double OverloadDelayMs = 60;
/// Delay below which an overload ends.
constexpr double RecoveredDelayMs = 30;
/// Delay above which all new streams are refused: about half of the shortest
/// latency objective of a stream.
constexpr double SaturationDelayMs = 240;
constexpr double SmoothingWeight = 0.5;
/// Time for which the router is not advertised after an overload; longer than
/// the two seconds after which callers look up addresses again.
constexpr Milliseconds AdvertiseHoldOff{3'000};
/// Longest time without accepting a connection.
constexpr Milliseconds MaxAcceptPause{1'000};

} // namespace

void OverloadDetector::sample(Milliseconds Delay, TimePoint Now) {
  SmoothedDelayMs +=
      SmoothingWeight * (static_cast<double>(Delay.count()) - SmoothedDelayMs);
  if (SmoothedDelayMs > OverloadDelayMs)
    Overloaded = true;
  else if (SmoothedDelayMs < RecoveredDelayMs)
    Overloaded = false;
  if (!Overloaded) {
    AcceptsConnections = true;
    return;
  }
  NotAdvertisedUntil = Now + AdvertiseHoldOff;
  if (AcceptsConnections)
    AcceptPauseBegan = Now;
  AcceptsConnections = Now - AcceptPauseBegan >= MaxAcceptPause;
}

bool OverloadDetector::refusesStream(bool LeastServed) const {
  return Overloaded && (!LeastServed || SmoothedDelayMs > SaturationDelayMs);
}

} // namespace mallowglade::dataplane

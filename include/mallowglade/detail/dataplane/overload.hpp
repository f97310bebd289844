#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade::dataplane {

/// @brief Detects CPU overload of a router from the scheduling delay of a
///   periodic task.
///
/// Handles a workspace that floods one router. While the router is overloaded,
/// new streams are refused at once and its address is not advertised, so that
/// callers move to the other routers.
class OverloadDetector {
public:
  /// @brief Records one measurement.
  /// @param Delay time from when the task was due to when it ran
  void sample(Milliseconds Delay, TimePoint Now);
  /// @return true while new streams should be refused
  bool refusesStreams() const { return RefusesStreams; }
  /// @return true while the router should not be advertised; outlasts
  ///   `refusesStreams`, so that callers do not all return at once
  bool withheldFromCallers(TimePoint Now) const {
    return Now < NotAdvertisedUntil;
  }

private:
  double SmoothedDelayMs = 0;
  TimePoint NotAdvertisedUntil{};
  bool RefusesStreams = false;
};

} // namespace mallowglade::dataplane

#include <mallowglade/core.hpp>

namespace mallowglade {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

TimePoint ManualClock::now() const { return MonotonicTime; }

WallTime ManualClock::wallNow() const { return WallClockTime; }

void ManualClock::advance(std::chrono::nanoseconds Duration) {
  MonotonicTime += std::chrono::duration_cast<TimePoint::duration>(Duration);
  WallClockTime += std::chrono::duration_cast<WallTime::duration>(Duration);
}

} // namespace mallowglade

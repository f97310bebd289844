#include <mallowglade/core.hpp>

namespace mallowglade {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

TimePoint ManualClock::now() const { return Steady; }

WallTime ManualClock::wallNow() const { return Wall; }

void ManualClock::advance(std::chrono::nanoseconds Span) {
  Steady += std::chrono::duration_cast<TimePoint::duration>(Span);
  Wall += std::chrono::duration_cast<WallTime::duration>(Span);
}

} // namespace mallowglade

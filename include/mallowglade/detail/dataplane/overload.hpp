#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade::dataplane {

/// @brief Tells from the delay of a periodic task whether a router has more
///   work than its processor share allows.
///
/// Load it answers: a flooding workspace whose callers all use one router.
/// While the router is overloaded it refuses new streams at once and is not
/// offered to callers, who then spread over the others.
class OverloadDetector {
public:
  /// @brief Takes one measurement.
  /// @param Delay time between when the task was due and when it ran
  void sample(Milliseconds Delay, TimePoint Now);
  /// @return true while new work should be refused
  bool refusing() const { return Refusing; }
  /// @return true while callers should be sent elsewhere; lasts longer, so
  ///   that they do not come back together
  bool shunned(TimePoint Now) const { return Now < ShunnedUntil; }

private:
  double Smoothed = 0;
  TimePoint ShunnedUntil{};
  bool Refusing = false;
};

} // namespace mallowglade::dataplane

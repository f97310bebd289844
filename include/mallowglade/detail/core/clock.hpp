#pragma once

#include <chrono>

namespace mallowglade {

/// @brief Time point on the monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;
/// @brief Time point on the wall clock; used for audit entries and
///   incarnations.
using WallTime = std::chrono::system_clock::time_point;
/// @brief Duration in milliseconds.
using Milliseconds = std::chrono::milliseconds;

/// @brief Time source that is injected into decision logic, so that tests can
///   control the time.
class Clock {
public:
  virtual ~Clock() = default;
  /// @return the current monotonic time
  virtual TimePoint now() const = 0;
  /// @return the current wall-clock time
  virtual WallTime wallNow() const = 0;
};

/// @brief Clock of the operating system.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// @brief Clock that advances only on request.
class ManualClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
  /// @brief Advances the monotonic and the wall-clock time.
  /// @param Duration time to add, not negative
  void advance(std::chrono::nanoseconds Duration);

private:
  TimePoint MonotonicTime{std::chrono::hours(1)};
  WallTime WallClockTime{std::chrono::hours(24 * 365 * 50)};
};

} // namespace mallowglade

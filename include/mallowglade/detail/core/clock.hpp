#pragma once

#include <chrono>

namespace mallowglade {

/// @brief Point on the monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;
/// @brief Point on the wall clock; used for audit entries and incarnations.
using WallTime = std::chrono::system_clock::time_point;
/// @brief Span of time in milliseconds.
using Milliseconds = std::chrono::milliseconds;

/// @brief Source of time; decisions receive it instead of reading a clock.
class Clock {
public:
  virtual ~Clock() = default;
  /// @return the current point on the monotonic clock
  virtual TimePoint now() const = 0;
  /// @return the current point on the wall clock
  virtual WallTime wallNow() const = 0;
};

/// @brief The clock of the operating system.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// @brief A clock that moves only when told to.
class ManualClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
  /// @brief Moves both readings forward.
  /// @param Span time to add, not negative
  void advance(std::chrono::nanoseconds Span);

private:
  TimePoint Steady{std::chrono::hours(1)};
  WallTime Wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace mallowglade

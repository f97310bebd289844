#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <optional>

namespace mallowglade {

/// @brief Bounds and targets of an in-flight limit.
struct LimitSettings {
  std::uint32_t Initial = 1;
  std::uint32_t Max = 1;
  Milliseconds FirstTokenTarget{};
  Milliseconds InterTokenTarget{};
};

/// @brief In-flight limit of one replica: additive increase, multiplicative
/// decrease.
class AdaptiveLimit {
public:
  /// @param Settings bounds and targets
  explicit AdaptiveLimit(const LimitSettings &Settings);
  /// @brief Takes new bounds and targets.
  void configure(const LimitSettings &Settings);
  /// @brief Takes token times of a running or ended request.
  void sample(std::optional<Milliseconds> FirstToken,
              std::optional<Milliseconds> InterToken);
  /// @brief Notes that the limit was reached while work waited.
  void markSaturated() { Saturated = true; }
  /// @brief Adjusts the limit once a period.
  void adjust(TimePoint Now);
  /// @return most requests in flight, at least 1
  std::uint32_t value() const;

private:
  LimitSettings Settings;
  double Limit;
  std::uint32_t Late = 0;
  std::uint32_t Samples = 0;
  bool Saturated = false;
  /// No congestion seen so far: the limit grows by half instead of by one.
  bool Probing = true;
  std::optional<TimePoint> LastAdjust;
};

} // namespace mallowglade

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

/// @brief In-flight limit of one replica (AIMD: additive increase,
/// multiplicative decrease).
class AdaptiveLimit {
public:
  /// @param Settings bounds and targets
  explicit AdaptiveLimit(const LimitSettings &Settings);
  /// @brief Applies changed bounds and targets.
  void configure(const LimitSettings &Settings);
  /// @brief Records latency samples of a running or ended request.
  void sample(std::optional<Milliseconds> FirstToken,
              std::optional<Milliseconds> InterToken);
  /// @brief Records that the limit was reached while requests were queued.
  void markSaturated() { Saturated = true; }
  /// @brief Adjusts the limit, at most once per adjustment period.
  void adjust(TimePoint Now);
  /// @return maximum number of requests in flight, at least 1
  std::uint32_t value() const;

private:
  LimitSettings Settings;
  double Limit;
  std::uint32_t LateSamples = 0;
  std::uint32_t Samples = 0;
  bool Saturated = false;
  /// True until the first decrease; the limit then grows by half per period
  /// instead of by one.
  bool Probing = true;
  std::optional<TimePoint> LastAdjust;
};

} // namespace mallowglade

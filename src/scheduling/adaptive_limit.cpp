#include <mallowglade/detail/scheduling/adaptive_limit.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

// Token times are reported every 250 ms, so a period holds several samples of
// each stream.
constexpr Milliseconds AdjustPeriod{1'000};
constexpr double DecreaseFactor = 0.85;
constexpr double ProbeGrowth = 0.5;
// The targets are 95th percentiles, so 5 % of the samples may be late; 25 %
// is a clear violation.
constexpr double LateFraction = 0.25;

} // namespace

AdaptiveLimit::AdaptiveLimit(const LimitSettings &Settings)
    : Settings(Settings), Limit(std::min(Settings.Initial, Settings.Max)) {}

void AdaptiveLimit::configure(const LimitSettings &Updated) {
  Settings = Updated;
  Limit = std::min<double>(Limit, Settings.Max);
}

void AdaptiveLimit::sample(std::optional<Milliseconds> FirstToken,
                           std::optional<Milliseconds> InterToken) {
  if (!FirstToken && !InterToken)
    return;
  ++Samples;
  const bool FirstTokenLate =
      FirstToken && *FirstToken > Settings.FirstTokenTarget;
  const bool InterTokenLate =
      InterToken && *InterToken > Settings.InterTokenTarget;
  if (FirstTokenLate || InterTokenLate)
    ++LateSamples;
}

void AdaptiveLimit::adjust(TimePoint Now) {
  if (LastAdjust && Now - *LastAdjust < AdjustPeriod)
    return;
  LastAdjust = Now;
  if (Samples > 0 && LateSamples >= LateFraction * Samples) {
    Limit *= DecreaseFactor;
    Probing = false;
  } else if (Saturated) {
    Limit += Probing ? std::max(1.0, Limit * ProbeGrowth) : 1.0;
  }
  Limit = std::clamp<double>(Limit, 1, std::max(1U, Settings.Max));
  LateSamples = 0;
  Samples = 0;
  Saturated = false;
}

std::uint32_t AdaptiveLimit::value() const {
  return static_cast<std::uint32_t>(Limit);
}

} // namespace mallowglade

#include <mallowglade/detail/dataplane/stated_loads.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade::dataplane {

namespace {

/// Time constant of the smoothing of the work time.
constexpr double WorkTimeSmoothingSeconds = 0.3;
/// Time constant with which an old statement loses its effect.
constexpr double ForgettingSeconds = 2;
/// Bound on the processes kept; upstreams come and go.
constexpr std::size_t MaxStatedLoads = 4'096;

double ageInSeconds(TimePoint::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void StatedLoads::record(UpstreamProcess Process, const StatedLoad &Load,
                         TimePoint SentAt) {
  const auto Known = Statements.find(Process);
  if (Known == Statements.end() && Statements.size() >= MaxStatedLoads)
    return;
  if (Known != Statements.end() && Known->second.SentAt > SentAt)
    return;
  const TimePoint Now = Time.now();
  const double Stated =
      std::clamp(Load.WorkTimeFactor, MinWorkTimeFactor, MaxWorkTimeFactor);
  double Smoothed = Stated;
  if (Known != Statements.end()) {
    const double Kept = std::exp(-ageInSeconds(Now - Known->second.ReceivedAt) /
                                 WorkTimeSmoothingSeconds);
    Smoothed = Kept * Known->second.WorkTimeFactor + (1 - Kept) * Stated;
  }
  Statements[Process] = {Load, SentAt, Now, Smoothed};
  AnyWorkTime = AnyWorkTime || Load.StatesWorkTime;
}

bool StatedLoads::statesWorkTime(UpstreamProcess Process) const {
  const auto Found = Statements.find(Process);
  return Found != Statements.end() && Found->second.Load.StatesWorkTime;
}

std::optional<StatedLoad> StatedLoads::latest(UpstreamProcess Process,
                                              Milliseconds MaxAge) const {
  const auto Found = Statements.find(Process);
  if (Found == Statements.end() ||
      Time.now() - Found->second.ReceivedAt > MaxAge)
    return std::nullopt;
  return Found->second.Load;
}

double StatedLoads::workTimeFactor(UpstreamProcess Process) const {
  const auto Found = Statements.find(Process);
  if (Found == Statements.end())
    return 1;
  const double Kept = std::exp(
      -ageInSeconds(Time.now() - Found->second.ReceivedAt) / ForgettingSeconds);
  return 1 + Kept * (Found->second.WorkTimeFactor - 1);
}

} // namespace mallowglade::dataplane

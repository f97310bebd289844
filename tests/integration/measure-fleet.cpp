#include <backlog.hpp>
#include <measure.hpp>

#include <fmt/format.h>

#include <cstdio>

namespace fleet {

namespace {

constexpr Milliseconds WarmUp{2'000};
constexpr Milliseconds Window{6'000};
constexpr double MinUtilisation = 0.97;

/// @return true if the measures keep the stated numbers
bool measureCase(BacklogFleet &Run, const std::string &Case,
                 const std::string &Policy) {
  std::this_thread::sleep_for(WarmUp);
  const FleetMeasures Seen = Run.measure(Window);
  const json Line{{"case", Case},
                  {"policy", Policy},
                  {"fairness_gap", Seen.Gap},
                  {"bound", Seen.Bound},
                  {"utilisation", Seen.Utilisation},
                  {"control_bytes_per_node_per_s", Seen.ControlBytesPerNode},
                  {"wait_p50_s", Seen.WaitP50},
                  {"wait_p95_s", Seen.WaitP95}};
  fmt::print("{}\n", Line.dump());
  std::fflush(stdout);
  return Seen.Gap <= Seen.Bound && Seen.Utilisation >= MinUtilisation;
}

bool measurePolicy(const std::string &Policy) {
  BacklogFleet Run(Policy);
  Run.startLoad();
  const bool UnevenKept = measureCase(Run, "uneven", Policy);
  Run.startFlood();
  const bool FloodKept = measureCase(Run, "flood", Policy);
  Run.stopLoad();
  return UnevenKept && FloodKept;
}

} // namespace

int measureFleet() {
  const bool Kept = measurePolicy("cell");
  measurePolicy("split");
  measurePolicy("random");
  return Kept ? 0 : 1;
}

} // namespace fleet

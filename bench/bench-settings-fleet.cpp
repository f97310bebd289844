// Propagation of settings and load on the key-value service, in simulated time.
//
// Usage: bench-settings-fleet [ROUTERS] [ZONES]

#include "../tests/support/settings_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>

using namespace mallowglade;
using testing::SettingsFleet;

namespace {

constexpr Milliseconds Step{100};
constexpr Milliseconds Minute{60'000};
constexpr int Changes = 20;

void measureStart(SettingsFleet &Fleet) {
  std::uint64_t Last = 0;
  std::uint64_t Peak = 0;
  Milliseconds Ready{0};
  for (int Second = 0; Second < 5; ++Second) {
    for (int I = 0; I < 10; ++I) {
      Fleet.run(Step);
      if (!Fleet.converged())
        Ready += Step;
    }
    Peak = std::max(Peak, Fleet.ServiceCalls - Last);
    Last = Fleet.ServiceCalls;
  }
  fmt::print("start at once: {} calls in all, at most {} calls/s, all ready "
             "after {} ms\n",
             Fleet.ServiceCalls, Peak, (Ready + Step).count());
}

double measureRest(SettingsFleet &Fleet) {
  const std::uint64_t Before = Fleet.ServiceCalls;
  Fleet.run(Minute * 5);
  const double PerSecond =
      static_cast<double>(Fleet.ServiceCalls - Before) / 300;
  fmt::print("at rest: {:.1f} calls/s\n", PerSecond);
  return PerSecond;
}

void measureChanges(SettingsFleet &Fleet, double Rest) {
  std::vector<std::int64_t> Times;
  const std::uint64_t Before = Fleet.ServiceCalls;
  constexpr int Seconds = 10;
  for (int I = 0; I < Changes; ++I) {
    Fleet.commit();
    Milliseconds Passed{0};
    Milliseconds Reached{0};
    while (Passed < std::chrono::seconds(Seconds)) {
      Fleet.run(Step);
      Passed += Step;
      if (Reached.count() == 0 && Fleet.converged())
        Reached = Passed;
    }
    Times.push_back(Reached.count() == 0 ? -1 : Reached.count());
  }
  std::sort(Times.begin(), Times.end());
  const double Calls = static_cast<double>(Fleet.ServiceCalls - Before) -
                       Rest * Seconds * Changes;
  fmt::print("change in force on every router after: median {} ms, longest {} "
             "ms ({} changes)\n",
             Times[Changes / 2], Times.back(), Changes);
  fmt::print("calls per change beyond those at rest: {:.1f}\n",
             Calls / Changes);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const std::size_t Routers =
      ArgumentCount > 1 ? std::strtoul(Arguments[1], nullptr, 10) : 390;
  const std::size_t Zones =
      ArgumentCount > 2 ? std::strtoul(Arguments[2], nullptr, 10) : 8;
  SettingsFleet Fleet(Routers, Zones, 1);
  Fleet.commit();
  fmt::print("{} routers, {} zones\n", Routers, Zones);
  measureStart(Fleet);
  const double Rest = measureRest(Fleet);
  measureChanges(Fleet, Rest);
  return 0;
}

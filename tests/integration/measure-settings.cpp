#include <measure.hpp>
#include <settings-client.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace fleet {

namespace {

constexpr int RouterCount = 16;
constexpr int ZoneCount = 4;
constexpr int ChangeCount = 25;
constexpr double LimitSeconds = 5;

/// Seconds from the acceptance of a change until each router applies it.
std::vector<double> timesToInForce(const Fleet &Run, int Number) {
  const std::vector<Node *> Routers = Run.routers();
  const Node &Asked = *Routers[static_cast<std::size_t>(Number) % RouterCount];
  const Reply Done = setMember(
      Asked.Address, fmt::format("measured-change-{}", Number), "platform",
      settingsVersion(Asked.Address), "/shares/quote", 1 + Number);
  const auto Accepted = std::chrono::steady_clock::now();
  if (Done.Status != 200)
    throw std::runtime_error("a change was rejected: " + Done.Body);
  const long Version = Done.document()["version"];
  std::vector<double> Times;
  std::vector<bool> Applied(RouterCount, false);
  const bool All = waitUntil([&] {
    for (std::size_t I = 0; I < RouterCount; ++I) {
      if (Applied[I] || settingsVersion(Routers[I]->Address) < Version)
        continue;
      Applied[I] = true;
      const std::chrono::duration<double> Passed =
          std::chrono::steady_clock::now() - Accepted;
      Times.push_back(Passed.count());
    }
    return Times.size() == RouterCount;
  });
  if (!All)
    throw std::runtime_error("a change is not in force everywhere");
  return Times;
}

double quantile(const std::vector<double> &Sorted, double Part) {
  const double Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::ceil(Last * Part))];
}

} // namespace

int measureSettings() {
  Fleet Run;
  const json Tree = makeTree({{"line-plan", 2}, {"quote", 1}});
  for (int I = 0; I < RouterCount; ++I)
    Run.startRouter(
        {{"seed_tree", Tree},
         {"availability_zone", fmt::format("zone-{}", I % ZoneCount)}});
  for (const Node *Router : Run.routers())
    Run.waitReady(*Router);
  if (!Run.waitForMembers(RouterCount))
    throw std::runtime_error("the routers do not find each other");
  std::vector<double> Times;
  for (int Number = 0; Number < ChangeCount; ++Number)
    for (const double Time : timesToInForce(Run, Number))
      Times.push_back(Time);
  std::sort(Times.begin(), Times.end());
  const json Line{{"routers", RouterCount},
                  {"changes", ChangeCount},
                  {"in_force_p50_s", quantile(Times, 0.5)},
                  {"in_force_p95_s", quantile(Times, 0.95)},
                  {"in_force_p99_s", quantile(Times, 0.99)},
                  {"in_force_max_s", Times.back()},
                  {"limit_s", LimitSeconds}};
  fmt::print("{}\n", Line.dump());
  return Times.back() <= LimitSeconds ? 0 : 1;
}

} // namespace fleet

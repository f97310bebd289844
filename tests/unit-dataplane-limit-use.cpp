#include "support/limit_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <array>

using std::chrono::milliseconds;

namespace {

constexpr std::array<std::uint64_t, 3> Seeds{7'919, 15'838, 23'757};
/// A limited upstream is used within a tenth of its limit as long as work
/// waits.
constexpr double MinUse = 0.9;

void checkUse(const LimitScenario &Scenario) {
  for (const std::uint64_t Seed : Seeds) {
    const double Use = simulateLimits(Scenario, Seed).PerSecond /
                       (Scenario.Limit * Scenario.Upstreams);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {:.2f} used", Seed, Use),
                           Use >= MinUse);
  }
}

} // namespace

class LimitUseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitUseTest);
  CPPUNIT_TEST(fewRequestsOnEachRouterUseASmallLimit);
  CPPUNIT_TEST(limitIsUsedWhileRoutersRestart);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shares that lie with routers on which nothing waits.
  void fewRequestsOnEachRouterUseASmallLimit() {
    LimitScenario Scenario;
    Scenario.Limit = 1;
    Scenario.Demand = 3 * Scenario.Limit * Scenario.Upstreams;
    checkUse(Scenario);
  }

  // Guards against shares that lie with routers that are away.
  void limitIsUsedWhileRoutersRestart() {
    LimitScenario Scenario;
    Scenario.Limit = 2;
    Scenario.Runs = [](unsigned Router, milliseconds At) {
      return (At.count() / 1'000) % 8 != Router || At < milliseconds(3'000);
    };
    checkUse(Scenario);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitUseTest);

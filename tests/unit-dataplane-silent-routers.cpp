#include "support/limit_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <array>

using std::chrono::milliseconds;

namespace {

constexpr std::array<std::uint64_t, 3> Seeds{7'919, 15'838, 23'757};
/// What an upstream may get in all, as in the other tests of fleets.
constexpr double MaxUse = 1.1;
constexpr double MinUse = 0.9;

} // namespace

class SilentRoutersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentRoutersTest);
  CPPUNIT_TEST(limitHoldsWhileRoutersAreSilentForAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shares of routers that are only slow to report which others
  // take and both use.
  void limitHoldsWhileRoutersAreSilentForAWhile() {
    for (const double Limit : {1.0, 4.0, 20.0})
      for (const std::uint64_t Seed : Seeds) {
        LimitScenario Scenario;
        Scenario.Limit = Limit;
        Scenario.Demand = std::max(100.0, 5 * Limit * Scenario.Upstreams);
        Scenario.Reaches = [](unsigned From, unsigned, milliseconds At) {
          return (At + From * milliseconds(250)) % milliseconds(2'000) >=
                 milliseconds(800);
        };
        const LimitOutcome Outcome = simulateLimits(Scenario, Seed);
        const double Use = Outcome.PerSecond / (Limit * Scenario.Upstreams);
        const std::string Figures =
            fmt::format("limit {}, seed {}: {} in 4 s; {:.2f} of the limit",
                        Limit, Seed, Outcome.MostInFourSeconds, Use);
        CPPUNIT_ASSERT_MESSAGE(Figures, Outcome.MostInFourSeconds <=
                                            1.5 * 4 * Limit + 5);
        CPPUNIT_ASSERT_MESSAGE(Figures, Use >= MinUse && Use <= MaxUse);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentRoutersTest);

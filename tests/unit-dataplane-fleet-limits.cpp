#include "support/limit_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using std::chrono::milliseconds;

namespace {

/// What an upstream may get in four seconds: one and a half times its limit
/// and five requests.
double allowed(double Limit) { return 1.5 * 4 * Limit + 5; }

constexpr std::array<std::uint64_t, 3> Seeds{7'919, 15'838, 23'757};

/// Fails if an upstream got more than allowed, or if less than a fraction of
/// what the limits leave was used.
void checkLimits(const std::string &Name, const LimitScenario &Scenario,
                 double MinUse) {
  for (const std::uint64_t Seed : Seeds) {
    const LimitOutcome Outcome = simulateLimits(Scenario, Seed);
    const double Use =
        Outcome.PerSecond / (Scenario.Limit * Scenario.Upstreams);
    const std::string Figures = fmt::format(
        "{}, seed {}: {} in 4 s, {:.1f} allowed; {:.2f} of the limit used",
        Name, Seed, Outcome.MostInFourSeconds, allowed(Scenario.Limit), Use);
    CPPUNIT_ASSERT_MESSAGE(Figures, Outcome.MostInFourSeconds <=
                                        allowed(Scenario.Limit));
    CPPUNIT_ASSERT_MESSAGE(Figures, Use >= MinUse);
    CPPUNIT_ASSERT_MESSAGE(Figures, Use <= 1.1);
  }
}

} // namespace

class FleetLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLimitsTest);
  CPPUNIT_TEST(fleetKeepsALimitAndUsesIt);
  CPPUNIT_TEST(smallRateUnderManyRouters);
  CPPUNIT_TEST(callersOfOneRouterUseTheWholeLimit);
  CPPUNIT_TEST(restartedRoutersDoNotStartAnew);
  CPPUNIT_TEST(routersThatJoinDoNotExceedTheLimit);
  CPPUNIT_TEST(limitHoldsWhileReportsAreLateAndLost);
  CPPUNIT_TEST(limitHoldsWhileRoutersFreeze);
  CPPUNIT_TEST(limitHoldsWhileZonesAreCutOff);
  CPPUNIT_TEST(loweredLimitIsFollowed);
  CPPUNIT_TEST(endedLimitIsDropped);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a limit that each router takes for its own, and against one
  // that is divided and left unused.
  void fleetKeepsALimitAndUsesIt() {
    for (const unsigned Routers : {1U, 2U, 8U, 30U})
      for (const double Limit : {1.0, 4.0, 20.0}) {
        LimitScenario Scenario;
        Scenario.Routers = Routers;
        Scenario.Limit = Limit;
        // Work waits at each router: three requests on average.
        Scenario.Demand =
            std::max(3 * Limit * Scenario.Upstreams, 6.0 * Routers);
        checkLimits(fmt::format("{} routers, limit {}", Routers, Limit),
                    Scenario, 0.9);
      }
  }

  // Guards against one saved request on each router.
  void smallRateUnderManyRouters() {
    for (const double Limit : {0.5, 1.0, 2.0}) {
      LimitScenario Scenario;
      Scenario.Routers = 65;
      Scenario.Upstreams = 6;
      Scenario.Limit = Limit;
      Scenario.Demand = 300;
      // Few requests in all: what is saved at the end must not count much.
      Scenario.Duration = milliseconds(40'000);
      checkLimits(fmt::format("65 routers, limit {}", Limit), Scenario, 0.9);
    }
  }

  // Guards against shares that lie with routers without callers.
  void callersOfOneRouterUseTheWholeLimit() {
    LimitScenario Scenario;
    Scenario.OnFirstRouter = 0.97;
    checkLimits("most callers at one router", Scenario, 0.9);
  }

  // Guards against allowances that begin full after each restart.
  void restartedRoutersDoNotStartAnew() {
    LimitScenario Scenario;
    Scenario.Limit = 2;
    Scenario.Runs = [](unsigned Router, milliseconds At) {
      // One router after the other is away for a second.
      return (At.count() / 1'000) % 8 != Router || At < milliseconds(3'000);
    };
    checkLimits("rolling restart", Scenario, 0.6);
  }

  // Guards against new routers that count on the whole limit.
  void routersThatJoinDoNotExceedTheLimit() {
    LimitScenario Scenario;
    Scenario.Routers = 16;
    Scenario.Runs = [](unsigned Router, milliseconds At) {
      return Router < 4 || At >= milliseconds(6'000);
    };
    checkLimits("twelve routers join four", Scenario, 0.9);
  }

  // Guards against a bound that needs fresh reports.
  void limitHoldsWhileReportsAreLateAndLost() {
    for (const auto Delay : {milliseconds(50), milliseconds(600)}) {
      LimitScenario Scenario;
      Scenario.Routers = 16;
      Scenario.ReportDelay = Delay;
      Scenario.ReportLoss = 0.2;
      checkLimits(fmt::format("reports {} ms late", Delay.count()), Scenario,
                  0.9);
    }
  }

  // Guards against what routers save up while they do not run.
  void limitHoldsWhileRoutersFreeze() {
    LimitScenario Scenario;
    Scenario.Freezes = [](unsigned Router, milliseconds At) {
      return Router < 3 && At >= milliseconds(6'000) &&
             At < milliseconds(9'000);
    };
    checkLimits("three of eight routers freeze for 3 s", Scenario, 0.9);
  }

  // Guards against parts of a fleet that each take the whole limit.
  void limitHoldsWhileZonesAreCutOff() {
    LimitScenario Scenario;
    Scenario.Routers = 9;
    Scenario.Reaches = [](unsigned From, unsigned To, milliseconds At) {
      return At < milliseconds(5'000) || At > milliseconds(11'000) ||
             From % 3 == To % 3;
    };
    checkLimits("three zones cut off from each other", Scenario, 0.9);
    Scenario.Reaches = [](unsigned From, unsigned To, milliseconds At) {
      return At < milliseconds(5'000) || At > milliseconds(11'000) ||
             (From < 3) == (To < 3);
    };
    for (const std::uint64_t Seed : Seeds)
      CPPUNIT_ASSERT(simulateLimits(Scenario, Seed).MostInFourSeconds <=
                     allowed(Scenario.Limit));
  }

  // Guards against allowances that were saved under a higher limit.
  void loweredLimitIsFollowed() {
    LimitScenario Scenario;
    Scenario.Routers = 16;
    Scenario.LimitAt = [](milliseconds At) {
      return At < milliseconds(8'000) ? 20.0 : 1.0;
    };
    for (const std::uint64_t Seed : Seeds) {
      const LimitOutcome Outcome = simulateLimits(Scenario, Seed);
      // One second for the first responses that name it.
      double After = 0;
      for (std::size_t Second = 9; Second < 13; ++Second)
        After += Outcome.BySecond[Second];
      CPPUNIT_ASSERT_LESSEQUAL(allowed(1) * Scenario.Upstreams, After);
    }
  }

  // Guards against a limit that outlives its last response.
  void endedLimitIsDropped() {
    LimitScenario Scenario;
    Scenario.LimitAt = [](milliseconds At) {
      return At < milliseconds(8'000) ? 2.0 : 0.0;
    };
    for (const std::uint64_t Seed : Seeds) {
      const LimitOutcome Outcome = simulateLimits(Scenario, Seed);
      double After = 0;
      for (std::size_t Second = 10; Second < 14; ++Second)
        After += Outcome.BySecond[Second];
      CPPUNIT_ASSERT_GREATEREQUAL(0.9 * 4 * Scenario.Demand, After);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLimitsTest);

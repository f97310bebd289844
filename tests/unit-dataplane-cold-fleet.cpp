#include "support/limit_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::uint64_t, 3> Seeds{7'919, 15'838, 23'757};

/// A fleet that reads new registrations up to a second after the return.
LimitScenario coldReturn(unsigned Routers) {
  LimitScenario Scenario;
  Scenario.Routers = Routers;
  Scenario.Demand = 6.0 * Routers;
  Scenario.Duration = milliseconds(6'000);
  Scenario.Return.emplace();
  Scenario.Return->LearnsAfter = [](unsigned Router) {
    return milliseconds(100 + 371 * Router % 900);
  };
  return Scenario;
}

/// Fails if a cold upstream got more in a second than it may, or less than a
/// fraction of what it tolerates.
void checkCold(const std::string &Name, const LimitScenario &Scenario,
               double MinUse, std::size_t Runs = Seeds.size()) {
  const ColdReturn &Return = *Scenario.Return;
  const double Allowed =
      Return.PerSecond * Return.Limits.Overage + Return.Limits.Allowance;
  for (std::size_t Run = 0; Run < Runs; ++Run) {
    const std::uint64_t Seed = Seeds[Run];
    const LimitOutcome Outcome = simulateLimits(Scenario, Seed);
    const double Use =
        Outcome.PerColdSecond / (Return.PerSecond * Scenario.Upstreams);
    const std::string Figures = fmt::format(
        "{}, seed {}: {} in a second, {:.1f} allowed; {:.2f} of the rate used",
        Name, Seed, Outcome.MostInColdSecond, Allowed, Use);
    CPPUNIT_ASSERT_MESSAGE(Figures, Outcome.MostInColdSecond <= Allowed);
    CPPUNIT_ASSERT_MESSAGE(Figures, Use >= MinUse);
  }
}

} // namespace

class ColdFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdFleetTest);
  CPPUNIT_TEST(fleetsOfAnySizeKeepTheBound);
  CPPUNIT_TEST(zoneThatComesBackAtOnce);
  CPPUNIT_TEST(boundHoldsWhileRoutersRestartAndJoin);
  CPPUNIT_TEST(boundHoldsWhileRoutersFreeze);
  CPPUNIT_TEST(boundHoldsWhileReportsAreLostOrCut);
  CPPUNIT_TEST(boundHoldsWhileTheStoreIsDown);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a rate that each router takes for its own, and against one
  // that is left unused.
  void fleetsOfAnySizeKeepTheBound() {
    for (const unsigned Routers : {2U, 9U, 65U, 300U}) {
      LimitScenario Scenario = coldReturn(Routers);
      Scenario.Demand = std::max(100.0, Scenario.Demand);
      checkCold(fmt::format("{} routers", Routers), Scenario, 0.3,
                Routers < 300 ? Seeds.size() : 1);
    }
  }

  void zoneThatComesBackAtOnce() {
    LimitScenario Scenario = coldReturn(90);
    Scenario.Upstreams = 39;
    Scenario.Demand = 1'300;
    checkCold("39 upstreams", Scenario, 0.3);
  }

  // Guards against allowances that begin full, and routers that count on the
  // whole rate.
  void boundHoldsWhileRoutersRestartAndJoin() {
    LimitScenario Scenario = coldReturn(65);
    Scenario.Runs = [](unsigned Router, milliseconds At) {
      return Router % 2 == 0 || At < milliseconds(2'800) ||
             At >= milliseconds(4'500);
    };
    checkCold("half of the routers are killed at once", Scenario, 0.1);
    Scenario.Runs = [](unsigned Router, milliseconds At) {
      return Router < 20 || At >= milliseconds(3'300);
    };
    checkCold("45 routers join 20", Scenario, 0.2);
  }

  void boundHoldsWhileRoutersFreeze() {
    LimitScenario Scenario = coldReturn(30);
    Scenario.Freezes = [](unsigned Router, milliseconds At) {
      return Router % 3 == 0 && At >= milliseconds(1'000) &&
             At < milliseconds(4'000);
    };
    checkCold("ten of 30 routers freeze", Scenario, 0.1);
  }

  void boundHoldsWhileReportsAreLostOrCut() {
    LimitScenario Scenario = coldReturn(30);
    Scenario.ReportLoss = 0.3;
    Scenario.ReportDelay = milliseconds(300);
    checkCold("reports late and lost", Scenario, 0.2);
    Scenario.ReportLoss = 0;
    Scenario.Reaches = [](unsigned From, unsigned To, milliseconds At) {
      return At < milliseconds(1'000) || (From % 3 == 0) == (To % 3 == 0);
    };
    checkCold("a third is cut off", Scenario, 0.2);
  }

  // Guards against a rate that needs the new registrations.
  void boundHoldsWhileTheStoreIsDown() {
    LimitScenario Scenario = coldReturn(65);
    Scenario.Return->LearnsAfter = [](unsigned) {
      return milliseconds(60'000);
    };
    checkCold("registrations are not read", Scenario, 0.2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdFleetTest);

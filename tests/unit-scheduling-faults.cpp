#include "support/scheduling_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <iostream>

using namespace mallowglade;
using namespace mallowglade::test;

namespace {

constexpr Milliseconds ShortRun{15'000};
/// 10 ms steps: report, grant and dispatch take one step each besides delays.
constexpr Milliseconds StepAllowance{50};
/// A lost grant is repeated after 300 to 600 ms, a lost completion after 250
/// ms. Four losses in a row, or a grant that comes too late and is reclaimed
/// after 3 s, stay below this.
constexpr Milliseconds LossAllowance{4'000};

FleetConfig anyFleet() {
  FleetConfig Config;
  Config.Seed = *rc::gen::arbitrary<std::uint64_t>();
  Config.Routers = *rc::gen::inRange<std::size_t>(1, 6);
  Config.Replicas = *rc::gen::inRange<std::size_t>(1, 4);
  Config.Slots = *rc::gen::inRange<std::uint32_t>(1, 5);
  const auto Workspaces = *rc::gen::inRange<std::size_t>(2, 6);
  Config.Weights.clear();
  for (std::size_t W = 0; W < Workspaces; ++W) {
    Config.Weights.push_back(*rc::gen::element(0.5, 1.0, 2.0, 5.0));
    // Each workspace has its requests on its own subset of the routers.
    std::vector<std::size_t> Backlog(Config.Routers, 0);
    for (std::size_t &Count : Backlog)
      Count = *rc::gen::element<std::size_t>(0, 3, 12, 40);
    Backlog[W % Config.Routers] += 20;
    Config.Backlog.push_back(Backlog);
  }
  Config.Hints = *rc::gen::element(HintMode::Exact, HintMode::Tenfold,
                                   HintMode::Zero, HintMode::Largest);
  Config.MaxDelay = Milliseconds(*rc::gen::inRange(0, 40));
  return Config;
}

Milliseconds roundTrip(const FleetConfig &Config) {
  return 2 * Config.MaxDelay + StepAllowance;
}

} // namespace

class SchedulingFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulingFaultsTest);
  CPPUNIT_TEST(boundHoldsWithoutFaults);
  CPPUNIT_TEST(boundHoldsWithLossAndDuplicates);
  CPPUNIT_TEST(boundHoldsAfterRestart);
  CPPUNIT_TEST(boundHoldsAfterShareChange);
  CPPUNIT_TEST(idlingEarnsNoCredit);
  CPPUNIT_TEST(concurrencyLimitHolds);
  CPPUNIT_TEST(partitionKeepsReplicaLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against unfair order, idle slots and overload in a healthy fleet,
  // with hints of any quality.
  void boundHoldsWithoutFaults() {
    CPPUNIT_ASSERT(rc::check("healthy fleet", [] {
      const FleetConfig Config = anyFleet();
      SimulatedFleet Fleet(Config);
      Fleet.expectFaults(true);
      Fleet.run(Milliseconds(1'000));
      Fleet.expectFaults(false);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.largestGap() <= Fleet.bound());
      RC_ASSERT(Fleet.longestIdle() <= roundTrip(Config));
      RC_ASSERT(Fleet.mostOnReplica() <= Config.Slots);
    }));
  }

  // Guards against lost slots and double service when messages are lost,
  // delayed, repeated and reordered.
  void boundHoldsWithLossAndDuplicates() {
    CPPUNIT_ASSERT(rc::check("faulty network", [] {
      FleetConfig Config = anyFleet();
      Config.LossPercent = *rc::gen::inRange(0, 21);
      Config.DuplicatePercent = *rc::gen::inRange(0, 31);
      Config.MaxDelay = Milliseconds(*rc::gen::inRange(0, 200));
      SimulatedFleet Fleet(Config);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.largestGap() <= Fleet.bound());
      RC_ASSERT(Fleet.longestIdle() <= LossAllowance);
      RC_ASSERT(Fleet.mostOnReplica() <= Config.Slots);
      RC_ASSERT(Fleet.completed() > 0);
    }));
  }

  // Guards against slots that stay lost with a router's state, and against
  // grants of the old process that reach the new one.
  void boundHoldsAfterRestart() {
    CPPUNIT_ASSERT(rc::check("restart", [] {
      FleetConfig Config = anyFleet();
      Config.LossPercent = *rc::gen::inRange(0, 11);
      SimulatedFleet Fleet(Config);
      Fleet.run(Milliseconds(3'000));
      Fleet.restart(*rc::gen::inRange<std::size_t>(0, Config.Routers));
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.longestIdle() <= LossAllowance);
      RC_ASSERT(Fleet.mostOnReplica() <= Config.Slots);
      // The requests of the restarted router count as served to their
      // workspaces, but the new owner may not know of them.
      RC_ASSERT(Fleet.largestGap() <= 2 * Fleet.bound());
    }));
  }

  // Guards against old shares that stay in force or a jump in virtual time.
  void boundHoldsAfterShareChange() {
    CPPUNIT_ASSERT(rc::check("share change", [] {
      const FleetConfig Config = anyFleet();
      SimulatedFleet Fleet(Config);
      for (int Change = 0; Change < 3; ++Change) {
        Fleet.run(Milliseconds(4'000));
        const auto Which =
            *rc::gen::inRange<std::size_t>(0, Config.Weights.size());
        Fleet.changeWeight(Which, *rc::gen::element(0.5, 1.0, 3.0));
      }
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.largestGap() <= Fleet.bound());
    }));
  }

  // Guards against credit for idling, and against a penalty for service that
  // was received while nobody else wanted it.
  void idlingEarnsNoCredit() {
    CPPUNIT_ASSERT(rc::check("idle workspace", [] {
      const FleetConfig Config = anyFleet();
      SimulatedFleet Fleet(Config);
      Fleet.setSupply(0, false);
      Fleet.run(Milliseconds(20'000));
      Fleet.setSupply(0, true);
      Fleet.run(Milliseconds(20'000));
      RC_ASSERT(Fleet.largestGap() <= Fleet.bound());
      RC_ASSERT(Fleet.longestIdle() <= roundTrip(Config));
    }));
  }

  // Guards against more requests of a workspace in flight than its limit, and
  // against slots that idle because of another workspace's limit.
  void concurrencyLimitHolds() {
    CPPUNIT_ASSERT(rc::check("concurrency", [] {
      FleetConfig Config = anyFleet();
      Config.Concurrency = {*rc::gen::inRange(1U, 4U)};
      SimulatedFleet Fleet(Config);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.mostInFlight(0) <= Config.Concurrency[0]);
      RC_ASSERT(Fleet.served(0) > 0);
    }));
  }

  // Guards against two owners that overload replicas, and against debts that
  // outlive a partition.
  void partitionKeepsReplicaLimits() {
    CPPUNIT_ASSERT(rc::check("partition", [] {
      FleetConfig Config = anyFleet();
      Config.Routers = *rc::gen::inRange<std::size_t>(2, 6);
      for (auto &Backlog : Config.Backlog)
        Backlog.resize(Config.Routers, 5);
      Config.Slots = *rc::gen::inRange(4U, 9U);
      SimulatedFleet Fleet(Config);
      Fleet.run(Milliseconds(4'000));
      std::vector<int> Groups(Config.Routers);
      for (int &Group : Groups)
        Group = *rc::gen::inRange(0, 2);
      Fleet.expectFaults(true);
      Fleet.partition(Groups);
      Fleet.run(Milliseconds(12'000));
      Fleet.heal();
      Fleet.run(Milliseconds(6'000));
      Fleet.expectFaults(false);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.mostOnReplica() <= Config.Slots);
      RC_ASSERT(Fleet.longestIdle() <= roundTrip(Config));
      RC_ASSERT(Fleet.largestGap() <= Fleet.bound());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingFaultsTest);

#include "support/scheduling_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <iostream>

using namespace mallowglade;
using namespace mallowglade::test;

namespace {

constexpr Milliseconds ShortRun{15'000};
/// Report, grant and dispatch take one step of 10 ms each, in addition to the
/// network delay.
constexpr Milliseconds StepAllowance{50};
/// A lost grant is repeated after 300 to 600 ms, a lost completion after
/// 250 ms. Four consecutive losses, or a grant that arrives too late and is
/// reclaimed after 3 s, stay below this limit.
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
    // Each workspace sends through its own subset of the routers.
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
  CPPUNIT_TEST(idleWorkspaceGainsNoCredit);
  CPPUNIT_TEST(concurrencyLimitHolds);
  CPPUNIT_TEST(partitionKeepsReplicaLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against unfair scheduling, idle slots and overload in a healthy
  // fleet, whatever the accuracy of the hints.
  void boundHoldsWithoutFaults() {
    CPPUNIT_ASSERT(rc::check("healthy fleet", [] {
      const FleetConfig Config = anyFleet();
      SimulatedFleet Fleet(Config);
      Fleet.expectFaults(true);
      Fleet.run(Milliseconds(1'000));
      Fleet.expectFaults(false);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.largestGap() <= Fleet.fairnessBound());
      RC_ASSERT(Fleet.longestIdle() <= roundTrip(Config));
      RC_ASSERT(Fleet.peakOnReplica() <= Config.Slots);
    }));
  }

  // Guards against leaked slots and duplicate dispatch when messages are lost,
  // delayed, duplicated or reordered.
  void boundHoldsWithLossAndDuplicates() {
    CPPUNIT_ASSERT(rc::check("faulty network", [] {
      FleetConfig Config = anyFleet();
      Config.LossPercent = *rc::gen::inRange(0, 21);
      Config.DuplicatePercent = *rc::gen::inRange(0, 31);
      Config.MaxDelay = Milliseconds(*rc::gen::inRange(0, 200));
      SimulatedFleet Fleet(Config);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.largestGap() <= Fleet.fairnessBound());
      RC_ASSERT(Fleet.longestIdle() <= LossAllowance);
      RC_ASSERT(Fleet.peakOnReplica() <= Config.Slots);
      RC_ASSERT(Fleet.completed() > 0);
    }));
  }

  // Guards against slots that leak when a router loses its state, and against
  // grants for the old process that reach the new one.
  void boundHoldsAfterRestart() {
    CPPUNIT_ASSERT(rc::check("restart", [] {
      FleetConfig Config = anyFleet();
      Config.LossPercent = *rc::gen::inRange(0, 11);
      SimulatedFleet Fleet(Config);
      Fleet.run(Milliseconds(3'000));
      Fleet.restart(*rc::gen::inRange<std::size_t>(0, Config.Routers));
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.longestIdle() <= LossAllowance);
      RC_ASSERT(Fleet.peakOnReplica() <= Config.Slots);
      // The aborted requests of the restarted router count as delivered
      // service, but the new owner may not know of them.
      RC_ASSERT(Fleet.largestGap() <= 2 * Fleet.fairnessBound());
    }));
  }

  // Guards against a share change that takes no effect or makes virtual time
  // jump.
  void boundHoldsAfterShareChange() {
    CPPUNIT_ASSERT(rc::check("share change", [] {
      const FleetConfig Config = anyFleet();
      SimulatedFleet Fleet(Config);
      for (int Change = 0; Change < 3; ++Change) {
        Fleet.run(Milliseconds(4'000));
        const auto Workspace =
            *rc::gen::inRange<std::size_t>(0, Config.Weights.size());
        Fleet.changeWeight(Workspace, *rc::gen::element(0.5, 1.0, 3.0));
      }
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.largestGap() <= Fleet.fairnessBound());
    }));
  }

  // Guards against credit for idling, and against a penalty for service
  // received while no other workspace was backlogged.
  void idleWorkspaceGainsNoCredit() {
    CPPUNIT_ASSERT(rc::check("idle workspace", [] {
      const FleetConfig Config = anyFleet();
      SimulatedFleet Fleet(Config);
      Fleet.setSupply(0, false);
      Fleet.run(Milliseconds(20'000));
      Fleet.setSupply(0, true);
      Fleet.run(Milliseconds(20'000));
      RC_ASSERT(Fleet.largestGap() <= Fleet.fairnessBound());
      RC_ASSERT(Fleet.longestIdle() <= roundTrip(Config));
    }));
  }

  // Guards against more concurrent requests of a workspace than its limit, and
  // against a limited workspace that receives no service.
  void concurrencyLimitHolds() {
    CPPUNIT_ASSERT(rc::check("concurrency", [] {
      FleetConfig Config = anyFleet();
      Config.Concurrency = {*rc::gen::inRange(1U, 4U)};
      SimulatedFleet Fleet(Config);
      Fleet.run(ShortRun);
      RC_ASSERT(Fleet.peakInFlight(0) <= Config.Concurrency[0]);
      RC_ASSERT(Fleet.served(0) > 0);
    }));
  }

  // Guards against two owners that overload replicas during a partition, and
  // against unfairness or idle slots that persist after it.
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
      RC_ASSERT(Fleet.peakOnReplica() <= Config.Slots);
      RC_ASSERT(Fleet.longestIdle() <= roundTrip(Config));
      RC_ASSERT(Fleet.largestGap() <= Fleet.fairnessBound());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingFaultsTest);

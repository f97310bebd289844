#include "support/settings_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using testing::SettingsFleet;

namespace {

constexpr Milliseconds Minute{60'000};

/// Applies a random event and lets the fleet run for up to 5 s.
void injectRandomEvent(SettingsFleet &Fleet) {
  const std::size_t Index = Fleet.Random.below(Fleet.Nodes.size());
  switch (Fleet.Random.below(7)) {
  case 0:
  case 1:
    Fleet.commit();
    break;
  case 2:
    Fleet.restart(Index);
    break;
  case 3:
    Fleet.Nodes[Index].Partitioned = !Fleet.Nodes[Index].Partitioned;
    break;
  case 4:
    Fleet.ServiceDown = !Fleet.ServiceDown;
    break;
  case 5:
    Fleet.Nodes[Index].Down = !Fleet.Nodes[Index].Down;
    break;
  default:
    Fleet.ActiveFaults = {30, 30, 30, 30};
    break;
  }
  Fleet.run(Milliseconds(100 * (1 + Fleet.Random.below(50))));
}

void clearFaults(SettingsFleet &Fleet) {
  Fleet.ServiceDown = false;
  Fleet.ActiveFaults = {};
  for (SettingsFleet::Node &Router : Fleet.Nodes) {
    Router.Partitioned = false;
    Router.Down = false;
  }
}

std::size_t currentCount(const SettingsFleet &Fleet) {
  std::size_t Count = 0;
  for (const SettingsFleet::Node &Router : Fleet.Nodes)
    Count += Router.Replica->version() == Fleet.latest() ? 1 : 0;
  return Count;
}

std::size_t readyCount(const SettingsFleet &Fleet) {
  std::size_t Count = 0;
  for (const SettingsFleet::Node &Router : Fleet.Nodes)
    Count += Router.Replica->ready() ? 1 : 0;
  return Count;
}

} // namespace

class SettingsReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsReplicaTest);
  CPPUNIT_TEST(versionsNeverDecreaseAndConverge);
  CPPUNIT_TEST(changeReachesWholeFleetInFiveSeconds);
  CPPUNIT_TEST(changeSpreadsWithoutGossipWithinPoll);
  CPPUNIT_TEST(startOfWholeFleetStaysWithinReadBudget);
  CPPUNIT_TEST(idleFleetMakesFewServiceCalls);
  CPPUNIT_TEST(freshRouterAcceptsQuorumDuringOutage);
  CPPUNIT_TEST(freshRouterAloneIsNotReadyDuringOutage);
  CPPUNIT_TEST(freshRouterIsNotReadyBelowAVersionSeenAtAPeer);
  CPPUNIT_TEST(stalePeerIsIgnored);
  CPPUNIT_TEST(slowReadDoesNotRevert);
  CPPUNIT_TEST(twoWatchersPerZone);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against routers that return to an older version or stay behind after
  // races, lost and delayed messages, stale reads, restarts, partitions and
  // outages.
  void versionsNeverDecreaseAndConverge() {
    const bool Holds = rc::check([](std::uint64_t Seed) {
      SettingsFleet Fleet(6, 2, Seed);
      for (int I = 0; I < 20; ++I) {
        injectRandomEvent(Fleet);
        RC_ASSERT(!Fleet.reverted());
      }
      clearFaults(Fleet);
      Fleet.run(Minute * 2);
      RC_ASSERT(!Fleet.reverted());
      RC_ASSERT(Fleet.converged());
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against a change that takes longer than 5 s to reach every router
  // (invariant I8).
  void changeReachesWholeFleetInFiveSeconds() {
    SettingsFleet Fleet(390, 8, 1);
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    CPPUNIT_ASSERT(Fleet.converged());
    for (int I = 0; I < 4; ++I) {
      Fleet.commit();
      Fleet.run(Milliseconds(5'000));
      CPPUNIT_ASSERT_EQUAL(Fleet.Nodes.size(), currentCount(Fleet));
    }
  }

  void changeSpreadsWithoutGossipWithinPoll() {
    SettingsFleet Fleet(16, 2, 1);
    Fleet.Gossip = false;
    Fleet.run(Milliseconds(5'000));
    Fleet.commit();
    Fleet.run(Milliseconds(36'000));
    CPPUNIT_ASSERT(Fleet.converged());
  }

  // Guards against overload of the service when all routers start at once.
  void startOfWholeFleetStaysWithinReadBudget() {
    SettingsFleet Fleet(390, 8, 1);
    for (int I = 0; I < 20; ++I)
      Fleet.commit();
    Fleet.run(Milliseconds(1'200));
    CPPUNIT_ASSERT(Fleet.converged());
    CPPUNIT_ASSERT(Fleet.ServiceReads <= 2 * Fleet.Nodes.size());
  }

  // Guards against polling load that grows too far with the size of the fleet.
  void idleFleetMakesFewServiceCalls() {
    SettingsFleet Fleet(390, 8, 1);
    Fleet.commit();
    Fleet.run(Minute);
    const std::uint64_t CallsBefore = Fleet.ServiceCalls;
    Fleet.run(Minute);
    const std::uint64_t PerSecond = (Fleet.ServiceCalls - CallsBefore) / 60;
    CPPUNIT_ASSERT(PerSecond <= 20);
  }

  // Guards against routers that cannot be restarted while the service is down.
  void freshRouterAcceptsQuorumDuringOutage() {
    SettingsFleet Fleet(5, 1, 1);
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    Fleet.ServiceDown = true;
    Fleet.restart(0);
    Fleet.run(Milliseconds(5'000));
    CPPUNIT_ASSERT(Fleet.Nodes[0].Replica->ready());
    CPPUNIT_ASSERT(Fleet.Nodes[0].Replica->version() == Fleet.latest());
  }

  // Guards against a partitioned router that serves with its seed tree although
  // the fleet has newer settings.
  void freshRouterAloneIsNotReadyDuringOutage() {
    SettingsFleet Fleet(5, 1, 1);
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    Fleet.Nodes[0].Partitioned = true;
    Fleet.restart(0);
    Fleet.run(Minute);
    CPPUNIT_ASSERT(!Fleet.Nodes[0].Replica->ready());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, readyCount(Fleet));
  }

  // Guards against a restarted router that serves with an older version, which
  // it got from a stale read of the service.
  void freshRouterIsNotReadyBelowAVersionSeenAtAPeer() {
    SettingsFleet Fleet(1, 1, 1);
    SettingsReplica &Replica = *Fleet.Nodes[0].Replica;
    const RouterId Peer("10.0.0.9:81");
    Replica.setMembers({Fleet.Nodes[0].Self, {Peer, ZoneId("zone-0")}}, 2);
    Replica.onPeerVersion(SettingsVersion(2), Peer, Fleet.Now);
    Fleet.commit();
    const KeyValue Stale{settings_layout::HeadKey,
                         encodeHead(Fleet.Versions[1].Head), Revision(1)};
    Replica.onHead(std::optional<KeyValue>(Stale), Fleet.Now);
    std::vector<KeyValue> Packs;
    for (const auto &[Number, Pack] : Fleet.Versions[1].Packs)
      Packs.push_back({packKey(Number), encodePack(Pack), {}});
    Replica.onPacks(Packs, Fleet.Now);
    CPPUNIT_ASSERT(Replica.version() == SettingsVersion(1));
    CPPUNIT_ASSERT(!Replica.ready());
  }

  // Guards against a router that rejoins and spreads its outdated settings.
  void stalePeerIsIgnored() {
    SettingsFleet Fleet(3, 1, 1);
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    const SettingsReply Old = Fleet.Nodes[1].Replica->handleRequest({});
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    Fleet.Nodes[0].Replica->onPeerReply(SettingsFleet::routerId(1), Old,
                                        Fleet.Now);
    CPPUNIT_ASSERT(Fleet.Nodes[0].Replica->version() == SettingsVersion(2));
  }

  // Guards against a slow read of the service that completes after a peer has
  // delivered a later version.
  void slowReadDoesNotRevert() {
    SettingsFleet Fleet(3, 1, 1);
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    Fleet.Nodes[0].Partitioned = true;
    Fleet.commit();
    const SettingsSnapshot Slow = Fleet.Versions.back();
    SettingsReplica &Replica = *Fleet.Nodes[0].Replica;
    const KeyValue Head{settings_layout::HeadKey, encodeHead(Slow.Head),
                        Revision(2)};
    Replica.onHead(std::optional<KeyValue>(Head), Fleet.Now);
    Fleet.commit();
    Fleet.run(Milliseconds(5'000));
    Replica.onPeerReply(SettingsFleet::routerId(1),
                        Fleet.Nodes[1].Replica->handleRequest({}), Fleet.Now);
    CPPUNIT_ASSERT(Replica.version() == SettingsVersion(3));
    std::vector<KeyValue> Packs;
    for (const auto &[Number, Pack] : Slow.Packs)
      Packs.push_back({packKey(Number), encodePack(Pack), {}});
    Replica.onPacks(Packs, Fleet.Now);
    CPPUNIT_ASSERT(Replica.version() == SettingsVersion(3));
  }

  void twoWatchersPerZone() {
    SettingsFleet Fleet(24, 3, 1);
    Fleet.run(Milliseconds(2'000));
    std::map<ZoneId, int> Watchers;
    for (const SettingsFleet::Node &Router : Fleet.Nodes)
      Watchers[Router.Self.Zone] += Router.Replica->isWatcher() ? 1 : 0;
    for (const auto &[Zone, Count] : Watchers)
      CPPUNIT_ASSERT_EQUAL(2, Count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsReplicaTest);

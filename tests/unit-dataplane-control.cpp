#include "support/control_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using namespace mallowglade::testing::control;

class DataplaneControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneControlTest);
  CPPUNIT_TEST(followersDoNotReadWhileReportsConfirmState);
  CPPUNIT_TEST(followersReadOnceAfterChange);
  CPPUNIT_TEST(digestsReachAllRoutersOfOtherZones);
  CPPUNIT_TEST(overloadedRouterHandsItsCallersOver);
  CPPUNIT_TEST(restorationIsToldToAllRouters);
  CPPUNIT_TEST(restoredConfigurationProvesNothing);
  CPPUNIT_TEST(restartedRouterDoesNotTrustTheCopy);
  CPPUNIT_TEST(readBegunBeforeOthersAreHeardIsNotTrusted);
  CPPUNIT_TEST(slowRegisteredRouterIsWaitedFor);
  CPPUNIT_TEST(configurationThatNobodyReadIsWaitedFor);
  CPPUNIT_TEST(configurationStaysKnownWithoutItsReader);
  CPPUNIT_TEST(quarantineOutlivesAllRouters);
  CPPUNIT_TEST(quarantineIsStoredOnceTheStoreTakesIt);
  CPPUNIT_TEST(quarantineLostByTheStoreIsWrittenAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against ignoring the state proofs in received reports: every router
  // would then poll the store itself.
  void followersDoNotReadWhileReportsConfirmState() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    const auto Before = TestFleet.readCounts();
    TestFleet.Context.run_for(2 * Freshness);
    const auto After = TestFleet.readCounts();
    unsigned Followers = 0;
    unsigned PollingRouters = 0;
    for (std::size_t Index = 0; Index < After.size(); ++Index) {
      const unsigned Count = After[Index] - Before[Index];
      if (Count == 0)
        ++Followers;
      // The polling router of a zone reads four times per freshness interval.
      if (Count >= 6)
        ++PollingRouters;
    }
    CPPUNIT_ASSERT_EQUAL(4U, Followers);
    CPPUNIT_ASSERT_EQUAL(2U, PollingRouters);
  }

  // Guards against followers that learn of a change too late, or that keep
  // reading the store after it.
  void followersReadOnceAfterChange() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    const auto Before = TestFleet.readCounts();
    TestFleet.State.Upstreams.push_back(makeUpstream("two", 9'002));
    TestFleet.Context.run_for(Freshness);
    for (std::size_t Index = 0; Index < Before.size(); ++Index) {
      const unsigned Count =
          TestFleet.Routers[Index]->Store.ReadCount - Before[Index];
      CPPUNIT_ASSERT(Count >= 1);
    }
    const auto AfterChange = TestFleet.readCounts();
    TestFleet.Context.run_for(Freshness);
    unsigned IdleRouters = 0;
    for (std::size_t Index = 0; Index < AfterChange.size(); ++Index)
      IdleRouters +=
          TestFleet.Routers[Index]->Store.ReadCount == AfterChange[Index] ? 1
                                                                          : 0;
    CPPUNIT_ASSERT_EQUAL(4U, IdleRouters);
  }

  // Guards against digests that are not forwarded within a zone: they are sent
  // only to the first two routers of it.
  void digestsReachAllRoutersOfOtherZones() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'500));
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT_EQUAL(TestFleet.Routers.size(),
                           TestFleet.countAdvertisedRouters(*Router));
  }

  // Guards against callers that stay at an overloaded router because it says
  // that it is ready, and against a fleet in which no router is ready.
  void overloadedRouterHandsItsCallersOver() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'500));
    const auto IsReady = [&TestFleet](const TestRouter &Target) {
      return TestFleet
          .get(Target.Settings.ReadinessListen, "/mallowglade/readyz")
          .starts_with("HTTP/1.1 200");
    };
    const auto Overload = [](TestRouter &Target) {
      TrafficReport Report;
      Report.Overloaded = true;
      Target.TrafficStalled = true;
      Target.State.onReport(Report, {});
    };
    TestRouter &First = *TestFleet.Routers.front();
    CPPUNIT_ASSERT(IsReady(First));
    Overload(First);
    CPPUNIT_ASSERT(!IsReady(First));
    for (const auto &Router : TestFleet.Routers)
      Overload(*Router);
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT(IsReady(First));
  }

  // Guards against routers that learn of a restoration only when they read the
  // store for another reason: they hold a lease that is not theirs any more.
  void restorationIsToldToAllRouters() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.Context.run_for(Milliseconds(1'500));
    const auto Before = TestFleet.readCounts();
    TestFleet.State.Era = StoreEra(2);
    TestFleet.Context.run_for(Freshness);
    unsigned Told = 0;
    for (std::size_t Index = 0; Index < Before.size(); ++Index) {
      const CountingStore &Store = TestFleet.Routers[Index]->Store;
      CPPUNIT_ASSERT(Store.ReadCount > Before[Index]);
      Told += Store.ObservedEra == StoreEra(2) ? 1 : 0;
    }
    CPPUNIT_ASSERT(Told >= 4);
    const auto AfterRestoration = TestFleet.readCounts();
    TestFleet.Context.run_for(Freshness);
    unsigned IdleRouters = 0;
    for (std::size_t Index = 0; Index < Before.size(); ++Index)
      IdleRouters +=
          TestFleet.Routers[Index]->Store.ReadCount == AfterRestoration[Index]
              ? 1
              : 0;
    CPPUNIT_ASSERT_EQUAL(4U, IdleRouters);
  }

  // Guards against taking an older configuration from the copy, and against
  // accepting credentials for long while the store lacks a newer one, which may
  // have withdrawn them.
  void restoredConfigurationProvesNothing() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Milliseconds(1'500));
    const TestRouter &First = *TestFleet.Routers.front();
    CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(First));
    TestFleet.State.Era = StoreEra(2);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers) {
      CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(*Router));
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) > 1.9);
    }
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
  }

  // Guards against a router that starts while the store lacks the newest
  // configuration: it would accept a credential that was withdrawn.
  void restartedRouterDoesNotTrustTheCopy() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(2);
    TestFleet.State.Config = makeConfiguration(5);
    FleetState Copy = TestFleet.State;
    Copy.Config = makeConfiguration(4);
    const auto Number = TestFleet.Routers.size() + 1;
    TestRouter Restarted(TestFleet.Context, "a", Copy, Number);
    TestFleet.State.Routers.push_back(Restarted.record());
    Copy.Routers = TestFleet.State.Routers;
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT(!Restarted.State.start());
    TestFleet.Context.run_for(Milliseconds(1'500));
    const double Limit =
        std::chrono::duration<double>(Restarted.Settings.CredentialFreshness)
            .count();
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) > Limit);
    CPPUNIT_ASSERT_EQUAL(0.0, TestFleet.configurationVersion(Restarted));
    Copy.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(Restarted));
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) < Limit);
  }

  // Guards against a starting router that hears of a newer configuration while
  // its first read is under way and takes the older one from the copy.
  void readBegunBeforeOthersAreHeardIsNotTrusted() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(2);
    TestFleet.State.Config = makeConfiguration(5);
    FleetState Copy = TestFleet.State;
    Copy.Config = makeConfiguration(4);
    TestRouter Restarted(TestFleet.Context, "a", Copy,
                         TestFleet.Routers.size() + 1);
    Restarted.Store.ReadTime = Milliseconds(300);
    TestFleet.State.Routers.push_back(Restarted.record());
    Copy.Routers = TestFleet.State.Routers;
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT(!Restarted.State.start());
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(0.0, TestFleet.configurationVersion(Restarted));
  }

  // Guards against a starting router that takes the copy's configuration
  // because the only router that knows a newer one is slow to report.
  void slowRegisteredRouterIsWaitedFor() {
    Fleet TestFleet;
    const std::uint64_t Number = TestFleet.Routers.size() + 1;
    FleetState Copy;
    Copy.Era = StoreEra(2);
    Copy.Config = makeConfiguration(4);
    TestRouter Started(TestFleet.Context, "a", Copy, Number);
    const RouterRecord Slow{RouterId(loopbackAddress(200, 7'004)), ZoneId("a"),
                            loopbackAddress(200, 7'001),
                            loopbackAddress(200, 7'004)};
    Copy.Routers = {Slow};
    // In a large zone, reports are far apart.
    constexpr std::uint64_t OthersInZone = 119;
    for (std::uint64_t Other = 0; Other < OthersInZone; ++Other)
      Copy.Routers.push_back({RouterId(loopbackAddress(Other, 7'104)),
                              ZoneId("a"), loopbackAddress(Other, 7'101),
                              loopbackAddress(Other, 7'104)});
    CPPUNIT_ASSERT(!Started.State.start());
    TestFleet.Context.run_for(Milliseconds(1'900));
    PeerReport Report;
    Report.Sender = Slow.Id;
    Report.Incarnation = Report.Sequence = 1;
    Report.Zone = ZoneId("a");
    Report.CallerAddress = Slow.CallerAddress;
    Report.Config = ConfigurationVersion(5);
    Report.Era = StoreEra(2);
    const HostPort Target = splitAddress(Started.Settings.PeerListen);
    asio::ip::udp::socket Sender(TestFleet.Context, asio::ip::udp::v4());
    Sender.send_to(asio::buffer(encodeReport(Report)),
                   {asio::ip::make_address(Target.Host), Target.Port});
    TestFleet.Context.run_for(Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0.0, TestFleet.configurationVersion(Started));
  }

  // Guards against taking the copy's configuration for current although the
  // store may have lost a newer one that no router had read, also by a router
  // that starts meanwhile.
  void configurationThatNobodyReadIsWaitedFor() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(5);
    TestRouter Restarted(TestFleet.Context, "a", TestFleet.State,
                         TestFleet.Routers.size() + 1);
    TestFleet.State.Routers.push_back(Restarted.record());
    TestFleet.Context.run_for(Milliseconds(1'500));
    TestFleet.State.Era = StoreEra(2);
    TestFleet.Context.run_for(Milliseconds(1'000));
    CPPUNIT_ASSERT(!Restarted.State.start());
    TestFleet.Context.run_for(Milliseconds(1'500));
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) > 1.9);
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) > 1.9);
    TestFleet.State.Config = makeConfiguration(6);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) < 1.9);
  }

  // Guards against forgetting that a newer configuration exists when the store
  // came back without it and the only router that has read it is gone: the
  // others would accept what it withdrew.
  void configurationStaysKnownWithoutItsReader() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report;
    Report.Sender = RouterId(loopbackAddress(200, 7'004));
    Report.Incarnation = Report.Sequence = 1;
    Report.Zone = ZoneId("a");
    Report.CallerAddress = loopbackAddress(200, 7'001);
    Report.Config = ConfigurationVersion(5);
    Report.Era = StoreEra(1);
    const HostPort Target =
        splitAddress(TestFleet.Routers.front()->Settings.PeerListen);
    asio::ip::udp::socket Reader(TestFleet.Context, asio::ip::udp::v4());
    Reader.send_to(asio::buffer(encodeReport(Report)),
                   {asio::ip::make_address(Target.Host), Target.Port});
    TestFleet.State.Era = StoreEra(2);
    // A zone's digest is used for up to 2.5 s, and restored stores are waited
    // for by the hold time.
    const Milliseconds ForgottenAfter =
        TestFleet.Routers.front()->Settings.RestoredStoreHold +
        Milliseconds(4'000);
    TestFleet.Context.run_for(ForgottenAfter);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) > 1.9);
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
  }

  // Guards against harm that is forgotten when all routers are killed.
  void quarantineOutlivesAllRouters() {
    FleetState Kept;
    {
      Fleet Former;
      Former.Context.run_for(Milliseconds(1'000));
      quarantine(*Former.Routers[1]);
      Former.Context.run_for(Milliseconds(1'500));
      for (const auto &Router : Former.Routers)
        CPPUNIT_ASSERT_EQUAL(1.0, quarantinedFeatures(Former, *Router));
      Kept = Former.State;
      unsigned Changes = 0;
      for (const auto &Router : Former.Routers)
        Changes += Router->Store.ChangeCount;
      // The first router of each zone writes.
      CPPUNIT_ASSERT(Changes >= 1 && Changes <= 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Kept.Quarantines.size());
    Fleet Next;
    Next.State.Quarantines = Kept.Quarantines;
    Next.Context.run_for(Milliseconds(1'500));
    for (const auto &Router : Next.Routers)
      CPPUNIT_ASSERT_EQUAL(1.0, quarantinedFeatures(Next, *Router));
  }

  // Guards against a quarantine that is never stored because the store failed
  // when it began.
  void quarantineIsStoredOnceTheStoreTakesIt() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    for (const auto &Router : TestFleet.Routers)
      Router->Store.ChangesFail = true;
    quarantine(*TestFleet.Routers[2]);
    TestFleet.Context.run_for(Milliseconds(1'000));
    CPPUNIT_ASSERT(TestFleet.State.Quarantines.empty());
    for (const auto &Router : TestFleet.Routers)
      Router->Store.ChangesFail = false;
    TestFleet.Context.run_for(Milliseconds(2'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TestFleet.State.Quarantines.size());
  }

  // Guards against forgetting what a store lost that came back from a copy.
  void quarantineLostByTheStoreIsWrittenAgain() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.Context.run_for(Milliseconds(1'000));
    quarantine(*TestFleet.Routers[0]);
    TestFleet.Context.run_for(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TestFleet.State.Quarantines.size());
    TestFleet.State.Quarantines.clear();
    TestFleet.State.Era = StoreEra(2);
    TestFleet.Context.run_for(2 * Freshness + Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TestFleet.State.Quarantines.size());
  }

private:
  static void quarantine(TestRouter &Target) {
    QuarantineStatus Status;
    Status.begin();
    PeerSums Sums;
    Sums.Crashes.Quarantines[{FeatureKind::PromptPart, 666}] = {Status, 0, {}};
    Target.Proxy.applyPeerSums(Sums);
  }
  static double quarantinedFeatures(Fleet &Of, const TestRouter &Target) {
    return Of.metric(Target, "mallowglade_quarantined_features");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneControlTest);

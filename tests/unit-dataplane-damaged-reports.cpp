#include "support/control_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using namespace mallowglade::testing::control;

/// Reports between routers whose bytes were damaged, or that a process which is
/// no router of the fleet sends.
class DamagedReportsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DamagedReportsTest);
  CPPUNIT_TEST(reportWithoutAddressesEndsNoRouter);
  CPPUNIT_TEST(claimedVersionThatNobodyWroteIsForgotten);
  CPPUNIT_TEST(claimedEraThatTheStoreRefutesIsForgotten);
  CPPUNIT_TEST(implausibleEraDoesNotHideTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against one damaged report that ends all routers which receive it:
  // its sender is no address to which reports can be sent, or its addresses
  // cannot be printed for callers.
  void reportWithoutAddressesEndsNoRouter() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    for (const std::string Text :
         {"x", "", "10.0.0.300:80", "10.0.0.1:70000", "\xff\xfe:80"}) {
      PeerReport Report = makeStrangersReport();
      Report.Ready = true;
      Report.Sender = RouterId(Text);
      TestFleet.sendToAll(Report);
      Report = makeStrangersReport();
      Report.Ready = true;
      Report.CallerAddress = Text;
      TestFleet.sendToAll(Report);
      Report.CallerAddress = loopbackAddress(200, 7'001);
      Report.Zone = ZoneId("c");
      Report.Members.push_back({RouterId(Text), Text, true});
      TestFleet.sendToAll(Report);
    }
    TestFleet.Context.run_for(Milliseconds(500));
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                           TestFleet.countAdvertisedRouters(*Router));
  }

  // Guards against one report with a damaged version, which routers would tell
  // each other from then on: no credential is accepted any more.
  void claimedVersionThatNobodyWroteIsForgotten() {
    Fleet TestFleet;
    TestFleet.State.Era = TestFleet.State.ConfirmedEra = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report = makeStrangersReport();
    Report.Era = StoreEra(1);
    Report.Config = ConfigurationVersion(std::uint64_t(1) << 40U);
    TestFleet.sendToAll(Report);
    TestFleet.Context.run_for(2 * Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    // One that starts now takes the configuration of the store.
    TestFleet.Routers.push_back(std::make_unique<TestRouter>(
        TestFleet.Context, "a", TestFleet.State, 7));
    TestFleet.State.Routers.push_back(TestFleet.Routers.back()->record());
    CPPUNIT_ASSERT(!TestFleet.Routers.back()->State.start());
    TestFleet.Context.run_for(2 * Freshness);
    CPPUNIT_ASSERT_EQUAL(
        4.0, TestFleet.configurationVersion(*TestFleet.Routers.back()));
  }

  // Guards against one report with a slightly damaged era, after which a router
  // drops all that the store sends.
  void claimedEraThatTheStoreRefutesIsForgotten() {
    Fleet TestFleet;
    TestFleet.State.Era = TestFleet.State.ConfirmedEra = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report = makeStrangersReport();
    Report.Era = StoreEra(3);
    TestFleet.sendToAll(Report);
    TestFleet.Context.run_for(Milliseconds(500));
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(2 * Freshness);
    for (const auto &Router : TestFleet.Routers) {
      CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(*Router));
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    }
  }

  // Guards against one report with a damaged era, after which a router drops
  // all that the store sends.
  void implausibleEraDoesNotHideTheStore() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report = makeStrangersReport();
    Report.Era = StoreEra(std::uint64_t(1) << 63U);
    TestFleet.sendToAll(Report);
    TestFleet.Context.run_for(Milliseconds(500));
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers) {
      CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(*Router));
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DamagedReportsTest);

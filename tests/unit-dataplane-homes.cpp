#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Pool("pool");
const RegionId North("north");
const RegionId South("south");
const std::map<ZoneId, RegionId> Regions{{ZoneId("n"), North},
                                         {ZoneId("s"), South}};

Route routeWith(const std::vector<RegionId> &HomeRegions) {
  Route Made;
  Made.HomeRegions = HomeRegions;
  return Made;
}

RouterRecord routerIn(const std::string &Zone) {
  return {RouterId(Zone), ZoneId(Zone), "caller-" + Zone, "peer-" + Zone};
}

} // namespace

class HomesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomesTest);
  CPPUNIT_TEST(routeAndWorkspaceBothBind);
  CPPUNIT_TEST(busyHomeIsNotLeft);
  CPPUNIT_TEST(callersGetRoutersOfTheirRegion);
  CPPUNIT_TEST(routersThatEndedAreNotNamed);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests outside the homes of their workspace.
  void routeAndWorkspaceBothBind() {
    Workspace Desk;
    Desk.HomeRegions = {South};
    const Route Both = routeWith({North, South});
    CPPUNIT_ASSERT(!Homes(routeWith({}), nullptr).restricts());
    CPPUNIT_ASSERT(Homes(Both, nullptr).allow(ZoneId("n"), Regions));
    CPPUNIT_ASSERT(!Homes(Both, &Desk).allow(ZoneId("n"), Regions));
    CPPUNIT_ASSERT(Homes(Both, &Desk).allow(ZoneId("s"), Regions));
    const Homes None(routeWith({North}), &Desk);
    CPPUNIT_ASSERT(!None.allow(ZoneId("s"), Regions));
    CPPUNIT_ASSERT(!Homes(Both, nullptr).allow(ZoneId("unknown"), Regions));
  }

  // Guards against leaving the homes when they have no room, and against
  // waiting for an upstream that is not allowed.
  void busyHomeIsNotLeft() {
    ManualClock Time;
    SeededRandom Random(3);
    UpstreamTable Table(Time);
    Placement Placer(Table, Time, Random, ZoneId("s"), PlacementSettings());
    Configuration Config;
    Config.Services.push_back({Pool, "", 100, {}});
    Config.index();
    std::vector<UpstreamRecord> List(2);
    for (std::size_t Index = 0; Index < List.size(); ++Index) {
      List[Index].Id = UpstreamId(std::to_string(Index));
      List[Index].Service = Pool;
      List[Index].Zone = ZoneId(Index == 0 ? "n" : "s");
      List[Index].Slots = 1;
      List[Index].Ready = true;
    }
    Table.update(List);
    Placer.configure(Config);
    Placer.setZoneRegions(Regions);
    PlacementQuery Query;
    Query.Service = Pool;
    CPPUNIT_ASSERT(Placer.choose(Query).Upstream->Record.Zone == ZoneId("s"));
    Query.Allowed = Homes(routeWith({North}), nullptr);
    CPPUNIT_ASSERT(Placer.choose(Query).Upstream->Record.Zone == ZoneId("n"));
    Table.add(UpstreamId("0"), Query.Work.load(false));
    CPPUNIT_ASSERT(Placer.choose(Query).Upstream == nullptr);
    CPPUNIT_ASSERT(Placer.availability(Query).From);
    Query.Allowed = Homes(routeWith({RegionId("west")}), nullptr);
    CPPUNIT_ASSERT(!Placer.availability(Query).From);
    CPPUNIT_ASSERT(Placer.availability(Query).Missing ==
                   Placement::Unavailable::OutsideHomes);
  }

  // Guards against sending callers of routes with homes to other regions.
  void callersGetRoutersOfTheirRegion() {
    const std::vector<RouterCandidate> Routers{{"caller-n", ZoneId("n"), {}},
                                               {"caller-s", ZoneId("s"), {}}};
    Configuration Config;
    const auto Named = [&](const CallerPlace &Caller) {
      std::string Zones;
      for (const RouterCandidate &Router :
           routersNearCaller(Routers, Caller, Regions, Config))
        Zones += Router.Zone.Value;
      return Zones;
    };
    Config.Routes = {routeWith({})};
    CPPUNIT_ASSERT_EQUAL(std::string("ns"), Named({South, ZoneId("s")}));
    Config.Routes.push_back(routeWith({North}));
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Named({South, ZoneId("s")}));
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Named({RegionId(), ZoneId("s")}));
    CPPUNIT_ASSERT_EQUAL(std::string("n"), Named({RegionId("west"), {}}));
    Config.Routes = {routeWith({RegionId("east")})};
    CPPUNIT_ASSERT_EQUAL(std::string("ns"), Named({RegionId("west"), {}}));
  }

  // Guards against answers that name routers which ended more than 7 s ago,
  // also when most of the fleet ended at once and stays registered.
  void routersThatEndedAreNotNamed() {
    ManualClock Time;
    PeerDirectory Peers(routerIn("s"), Time);
    std::vector<RouterRecord> Registered;
    for (int Index = 0; Index < 8; ++Index) {
      const std::string Name = "10.0.0." + std::to_string(Index) + ":1";
      Registered.push_back({RouterId(Name), ZoneId("s"), Name, Name});
    }
    std::uint64_t Sequence = 0;
    const auto Hear = [&](std::size_t From, std::size_t To) {
      ++Sequence;
      for (std::size_t Index = From; Index < To; ++Index) {
        PeerReport Report;
        Report.Sender = Registered[Index].Id;
        Report.Zone = ZoneId("s");
        Report.CallerAddress = Registered[Index].CallerAddress;
        Report.Sequence = Sequence;
        Report.Ready = true;
        Peers.accept(Report);
      }
    };
    const auto Pass = [&](int Seconds) {
      for (int Step = 0; Step < 2 * Seconds; ++Step) {
        Time.advance(Milliseconds(500));
        Hear(1, 2);
      }
      return Peers.callerAddresses().size();
    };
    Time.advance(std::chrono::hours(1));
    Hear(1, Registered.size());
    Peers.setRegistered(Registered);
    // All but one end; the first one was never heard.
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Pass(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), Pass(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Pass(3));
    // A router that was stopped itself knows nothing of the others.
    Hear(1, Registered.size());
    Time.advance(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Peers.callerAddresses().size());
    Hear(1, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Peers.callerAddresses().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomesTest);

#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cmath>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Models("models");
const std::array<ZoneId, 3> Zones{ZoneId("a"), ZoneId("b"), ZoneId("c")};
constexpr Milliseconds Objective{400};
constexpr PreciseMilliseconds Cost{10};

/// Zones of 10 upstreams with demand in units of a zone's capacity. Work decays
/// over 1.5 s, and each router sees the loads 0.1 to 0.3 s late.
struct FakeZones {
  static constexpr double StepSeconds = 0.05;
  ManualClock Time;
  SeededRandom Random{7};
  std::array<double, 3> Load{0.3, 0.3, 0.3};
  std::array<std::vector<ZoneChoice>, 3> Routers;
  std::vector<std::array<double, 3>> History;

  FakeZones() {
    for (std::size_t Zone = 0; Zone < 3; ++Zone)
      for (int Router = 0; Router < 8; ++Router)
        Routers[Zone].emplace_back(Time, Zones[Zone], Cost);
  }

  /// @return mean share that leaves each zone
  std::array<double, 3> step(const std::array<double, 3> &Demand) {
    std::array<double, 3> Inflow{};
    std::array<double, 3> Left{};
    History.push_back(Load);
    for (std::size_t Zone = 0; Zone < 3; ++Zone)
      for (ZoneChoice &Router : Routers[Zone]) {
        const std::size_t Late = 2 + Random.below(5);
        const auto &Seen =
            History[History.size() > Late ? History.size() - Late : 0];
        ZoneLoads Loads;
        for (std::size_t Other = 0; Other < 3; ++Other)
          Loads[Zones[Other]] = {10, Seen[Other]};
        Router.setLoads(Models, Loads, Objective);
        const double Part = 1.0 / static_cast<double>(Routers[Zone].size());
        for (std::size_t Other = 0; Other < 3; ++Other)
          Inflow[Other] += Demand[Zone] * Part *
                           (Other == Zone ? 1 - Router.sumOfShares(Models)
                                          : Router.share(Models, Zones[Other]));
        Left[Zone] += Part * Router.sumOfShares(Models);
      }
    for (std::size_t Zone = 0; Zone < 3; ++Zone)
      Load[Zone] = std::min(1.0, Load[Zone] + (Inflow[Zone] - Load[Zone]) *
                                                  StepSeconds / 1.5);
    Time.advance(Milliseconds(50));
    return Left;
  }

  /// @return lowest and highest share that leaves the first zone, and the
  ///   highest that leaves the others, over 10 s once settled
  std::array<double, 3> play(const std::array<double, 3> &Demand) {
    for (int Step = 0; Step < 200; ++Step)
      step(Demand);
    std::array<double, 3> Range{1, 0, 0};
    for (int Step = 0; Step < 200; ++Step) {
      const auto Left = step(Demand);
      Range = {std::min(Range[0], Left[0]), std::max(Range[1], Left[0]),
               std::max({Range[2], Left[1], Left[2]})};
    }
    return Range;
  }
};

/// A router of zone a whose service has the given loads for a while.
ZoneChoice settled(ManualClock &Time, const ZoneLoads &Loads,
                   const std::set<ZoneId> &Silent = {}) {
  ZoneChoice Choice(Time, Zones[0], Cost);
  Choice.setSilentZones(Silent);
  for (int Step = 0; Step < 100; ++Step) {
    Choice.setLoads(Models, Loads, Objective);
    Time.advance(Milliseconds(50));
  }
  return Choice;
}

/// A router of zone a with 10 engines in each of two zones.
struct FakeRouter {
  ManualClock Time;
  SeededRandom Random{3};
  UpstreamTable Table{Time};
  Placement Placer;
  Configuration Config;
  PlacementQuery Query;
  std::vector<UpstreamRecord> List;

  explicit FakeRouter(std::optional<PreciseMilliseconds> ZoneCost)
      : Placer(Table, Time, Random, Zones[0], settingsWith(ZoneCost)) {
    Config.Services.push_back({Models, "", 0, EngineProfile{8, 1e6, 6, true}});
    Config.index();
    for (unsigned Index = 0; Index < 20; ++Index) {
      UpstreamRecord Record;
      Record.Id = UpstreamId(std::to_string(Index));
      Record.Service = Models;
      Record.Zone = Zones[Index % 2];
      Record.Slots = 8;
      Record.Ready = true;
      List.push_back(Record);
    }
    Table.update(List);
    Placer.configure(Config);
    Query.Service = Models;
    Query.LatencyObjective = Objective;
  }

  static PlacementSettings
  settingsWith(std::optional<PreciseMilliseconds> ZoneCost) {
    PlacementSettings Settings;
    Settings.ZoneCost = ZoneCost;
    return Settings;
  }

  /// @return how many of 200 requests with different prefixes leave
  unsigned countLeaving(std::uint64_t From) {
    unsigned Left = 0;
    for (std::uint64_t Prefix = From; Prefix < From + 200; ++Prefix) {
      Query.Affinity = Prefix;
      const PlacementChoice Choice = Placer.choose(Query);
      Left += Choice.Upstream != nullptr &&
              Choice.Upstream->Record.Zone != Zones[0];
    }
    return Left;
  }

  void fillOwnZone() {
    UpstreamLoad Full;
    Full.Running = 8;
    for (const UpstreamRecord &Record : List)
      if (Record.Zone == Zones[0])
        Table.add(Record.Id, Full);
    Time.advance(Milliseconds(100));
  }
};

} // namespace

class ZoneChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneChoiceTest);
  CPPUNIT_TEST(busyZoneSettlesOnAShare);
  CPPUNIT_TEST(fullZonesDoNotExchange);
  CPPUNIT_TEST(costKeepsRequestsHome);
  CPPUNIT_TEST(unusableZonesGetNothing);
  CPPUNIT_TEST(zoneWithoutUpstreamsUsesTheRoomOfOthers);
  CPPUNIT_TEST(prefixesMoveTogether);
  CPPUNIT_TEST(prefixUsesAreBounded);
  CPPUNIT_TEST(requestsStayUnlessFull);
  CPPUNIT_TEST(enginesWithoutStartsLeftCountAsFull);
  CPPUNIT_TEST(firstUseIsFetchedFromAnotherZone);
  CPPUNIT_TEST(zoneIsSilentWithoutADigest);
  CPPUNIT_TEST(changesAreToldOnceASecond);
  CPPUNIT_TEST_SUITE_END();

public:
  // Load: a zone with 1.6 times its capacity beside two at 0.4.
  void busyZoneSettlesOnAShare() {
    FakeZones Fleet;
    const auto [Lowest, Highest, Back] = Fleet.play({1.6, 0.4, 0.4});
    CPPUNIT_ASSERT(Lowest > 0.3);
    CPPUNIT_ASSERT(Highest - Lowest < 0.1);
    CPPUNIT_ASSERT_EQUAL(0.0, Back);
    // The other zones' own callers find room.
    CPPUNIT_ASSERT(Fleet.Load[1] < 0.8 && Fleet.Load[2] < 0.8);
  }

  // Load: all zones at more than they can do, or equally busy.
  void fullZonesDoNotExchange() {
    for (const double Demand : {0.7, 1.2}) {
      const auto [Lowest, Highest, Back] =
          FakeZones().play({Demand, Demand, Demand});
      CPPUNIT_ASSERT(Highest < 0.01 && Back < 0.01);
    }
  }

  void costKeepsRequestsHome() {
    ManualClock Time;
    const ZoneLoads Loads{{Zones[0], {10, 0.25}}, {Zones[1], {10, 0}}};
    CPPUNIT_ASSERT_EQUAL(0.0, settled(Time, Loads).sumOfShares(Models));
    CPPUNIT_ASSERT(settled(Time, Loads).overflowZones(Models).empty());
  }

  // Failure: the other zone is cut off, emptied, or has two warm upstreams.
  void unusableZonesGetNothing() {
    ManualClock Time;
    ZoneLoads Loads{{Zones[0], {10, 1}}, {Zones[1], {10, 0}}};
    CPPUNIT_ASSERT(settled(Time, Loads).sumOfShares(Models) > 0.8);
    ZoneChoice Cut = settled(Time, Loads, {Zones[1]});
    CPPUNIT_ASSERT_EQUAL(0.0, Cut.sumOfShares(Models));
    CPPUNIT_ASSERT(Cut.overflowZones(Models).empty());
    CPPUNIT_ASSERT(!Cut.mayFollowPrefix(Models, Zones[1]));
    Loads[Zones[1]].Upstreams = 2;
    CPPUNIT_ASSERT(settled(Time, Loads).sumOfShares(Models) < 0.3);
    ZoneChoice Emptied = settled(Time, Loads);
    Loads.erase(Zones[1]);
    Emptied.setLoads(Models, Loads, Objective);
    CPPUNIT_ASSERT(Zones[0] == Emptied.zoneOf(Models, 1));
  }

  // Failure: this zone has no upstream of the service.
  void zoneWithoutUpstreamsUsesTheRoomOfOthers() {
    ManualClock Time;
    const ZoneLoads Loads{{Zones[1], {10, 0.5}}, {Zones[2], {30, 0.5}}};
    const ZoneChoice Choice = settled(Time, Loads);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Choice.share(Models, Zones[1]), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Choice.sumOfShares(Models), 0.01);
    CPPUNIT_ASSERT(Zones[2] == Choice.zoneOf(Models, ~std::uint64_t(0)));
    const ZoneChoice Silent = settled(Time, Loads, {Zones[1], Zones[2]});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Silent.sumOfShares(Models), 0.01);
  }

  // Guards against prefixes that are read in two zones by turns.
  void prefixesMoveTogether() {
    ManualClock Time;
    const ZoneLoads Less{{Zones[0], {10, 0.8}}, {Zones[1], {10, 0.4}}};
    const ZoneLoads More{{Zones[0], {10, 0.9}}, {Zones[1], {10, 0.4}}};
    const ZoneChoice Before = settled(Time, Less);
    const ZoneChoice After = settled(Time, More);
    for (std::uint64_t Prefix = 0; Prefix < 1'000; ++Prefix) {
      const std::uint64_t Hash = stableHash(std::to_string(Prefix));
      if (Before.zoneOf(Models, Hash) == Zones[1])
        CPPUNIT_ASSERT(After.zoneOf(Models, Hash) == Zones[1]);
    }
  }

  void prefixUsesAreBounded() {
    ManualClock Time;
    PrefixUses Uses(Time, Milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(1.0, Uses.record(1));
    CPPUNIT_ASSERT_EQUAL(2.0, Uses.record(1));
    for (std::uint64_t Prefix = 0; Prefix < 20'000; ++Prefix)
      Uses.record(Prefix);
    CPPUNIT_ASSERT_EQUAL(PrefixUses::MaxEntries, Uses.size());
    Time.advance(Milliseconds(40'000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Uses.record(1), 0.1);
    Uses.record(1 << 30);
    CPPUNIT_ASSERT(Uses.size() < 10);
  }

  // Placement with and without the setting: whole requests, no shares.
  void requestsStayUnlessFull() {
    for (const bool Enabled : {false, true}) {
      FakeRouter Router(Enabled ? std::optional(Cost) : std::nullopt);
      const unsigned Left = Router.countLeaving(0);
      CPPUNIT_ASSERT(Enabled ? Left == 0 : Left > 50);
      Router.fillOwnZone();
      CPPUNIT_ASSERT(Router.countLeaving(1'000) == 200 || !Enabled);
    }
  }

  // Guards against a zone that looks empty because its engines are cold: what
  // they may start is used up, and requests queue for the few others.
  void enginesWithoutStartsLeftCountAsFull() {
    FakeRouter At(PreciseMilliseconds(10));
    UpstreamLimits &Limits = At.Table.limits();
    unsigned Used = 0;
    for (const UpstreamState *State : At.Table.upstreamsOf(Models)) {
      if (State->Record.Zone != Zones[0] || Used == 8)
        continue;
      ++Used;
      Limits.recordResponse(State->Process, RequestRate(1), At.Time.now());
      for (int Start = 0; Start < 50 && Limits.mayStart(State->Process);
           ++Start)
        Limits.recordStart(State->Process);
      CPPUNIT_ASSERT(!Limits.mayStart(State->Process));
    }
    for (int Count = 0; Count < 5; ++Count) {
      At.Time.advance(Milliseconds(100));
      At.countLeaving(1);
    }
    CPPUNIT_ASSERT(At.Placer.zoneChoice()->sumOfShares(Models) > 0.3);
    CPPUNIT_ASSERT(!At.Placer.zoneChoice()->overflowZones(Models).empty());
    CPPUNIT_ASSERT(At.countLeaving(1'000) > 60);
  }

  // Guards against prefilling a prefix once more in each zone.
  void firstUseIsFetchedFromAnotherZone() {
    FakeRouter Router(Cost);
    unsigned Fetched = 0;
    for (std::uint64_t Prefix = 0; Prefix < 100; ++Prefix) {
      Router.Query.Affinity = Prefix;
      Router.Placer.recordPrefixUse(Router.Query);
      const PlacementChoice First = Router.Placer.choose(Router.Query);
      CPPUNIT_ASSERT(First.Upstream->Record.Zone == Zones[0]);
      Fetched += First.FetchFrom != nullptr &&
                 First.FetchFrom->Record.Zone == Zones[1];
      Router.Placer.recordPrefixUse(Router.Query);
      CPPUNIT_ASSERT(!Router.Placer.choose(Router.Query).FetchFrom);
    }
    CPPUNIT_ASSERT(Fetched > 30 && Fetched < 70);
    Router.Placer.zoneChoice()->setSilentZones({Zones[1]});
    Router.Query.Affinity = 1'000;
    Router.Query.PrefixUses = 1;
    CPPUNIT_ASSERT(!Router.Placer.choose(Router.Query).FetchFrom);
  }

  // Failure: the link to a zone, or all of its routers.
  void zoneIsSilentWithoutADigest() {
    ManualClock Time;
    const RouterRecord Self{RouterId("10.0.0.1:1"), Zones[0], "10.0.0.1:2",
                            "10.0.0.1:1"};
    const RouterRecord Other{RouterId("10.0.0.2:1"), Zones[1], "10.0.0.2:2",
                             "10.0.0.2:1"};
    PeerDirectory Peers(Self, Time);
    Peers.setRegistered({Self, Other});
    CPPUNIT_ASSERT(Peers.sums().SilentZones.contains(Zones[1]));
    PeerReport Digest;
    Digest.Sender = Other.Id;
    Digest.Incarnation = Digest.Sequence = 1;
    Digest.Zone = Other.Zone;
    Digest.CallerAddress = Other.CallerAddress;
    Digest.Members = {{Other.Id, Other.CallerAddress, true}};
    CPPUNIT_ASSERT(Peers.accept(Digest).Accepted);
    CPPUNIT_ASSERT(Peers.sums().SilentZones.empty());
    Time.advance(Milliseconds(3'000));
    CPPUNIT_ASSERT(Peers.sums().SilentZones.contains(Zones[1]));
  }

  // Load: shares that move all the time must not fill the log.
  void changesAreToldOnceASecond() {
    ManualClock Time;
    ZoneChoice Choice(Time, Zones[0], Cost);
    std::size_t Told = 0;
    for (int Step = 0; Step < 200; ++Step) {
      const double Here = Step / 20 % 2 == 0 ? 0.9 : 0.1;
      Choice.setLoads(Models, {{Zones[0], {10, Here}}, {Zones[1], {10, 0.1}}},
                      Objective);
      Told += Choice.takeChanges().size();
      Time.advance(Milliseconds(50));
    }
    CPPUNIT_ASSERT(Told >= 5 && Told <= 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneChoiceTest);

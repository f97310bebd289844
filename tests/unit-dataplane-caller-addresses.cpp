#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr std::uint32_t Small = 120;
constexpr std::uint32_t Large = 500;

/// One router in twelve is large.
std::vector<RouterCandidate> makeFleet(std::size_t Routers) {
  std::vector<RouterCandidate> Fleet;
  for (std::size_t Index = 0; Index < Routers; ++Index)
    Fleet.push_back({std::to_string(Index),
                     ZoneId(std::string(1, char('a' + Index % 3))),
                     {Index % 12 < 3 && Routers > 8 ? Large
                      : Index == 0                  ? 2 * Small
                                                    : Small,
                      0, 0}});
  return Fleet;
}

/// Callers that keep an answer for some picks and pick at random.
class Callers {
public:
  explicit Callers(std::uint64_t Seed) : Random(Seed) {}

  /// Plays picks of callers in a zone, each of which keeps its answer for two
  /// picks, some for six.
  void play(const std::vector<RouterCandidate> &Routers, const ZoneId &Zone,
            std::size_t Answers) {
    CallerAddresses Choice(Random);
    for (std::size_t Answer = 0; Answer < Answers; ++Answer) {
      const auto Named = Choice.choose(Routers, Zone);
      CPPUNIT_ASSERT(!Named.empty());
      FewestNamed = std::min(FewestNamed, Named.size());
      const std::size_t Uses = Random.below(3) == 0 ? 6 : 2;
      for (std::size_t Use = 0; Use < Uses; ++Use)
        ++Picks[Named[Random.below(Named.size())]];
    }
  }
  /// Picks of a router for its size, relative to the mean of the fleet.
  double relativeLoad(const std::vector<RouterCandidate> &Routers,
                      const RouterCandidate &Router) {
    double Size = 0;
    double Total = 0;
    for (const RouterCandidate &Each : Routers) {
      Size += Each.Load.Size;
      Total += Picks[Each.Address];
    }
    return Picks[Router.Address] / Total * Size / Router.Load.Size;
  }

  SeededRandom Random;
  std::map<std::string, double> Picks;
  std::size_t FewestNamed = 64;
};

} // namespace

class CallerAddressesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerAddressesTest);
  CPPUNIT_TEST(loadIsInProportionToSize);
  CPPUNIT_TEST(startedRouterGetsNoMoreThanItsPart);
  CPPUNIT_TEST(crowdedZoneSendsCallersToOthers);
  CPPUNIT_TEST(crowdedRouterGetsFewerCallers);
  CPPUNIT_TEST(callersHaveSomewhereToGoWhenHalfOfTheRoutersDie);
  CPPUNIT_TEST(missingFactsNeverEmptyTheList);
  CPPUNIT_TEST(equalRoutersAreNoCaseForIt);
  CPPUNIT_TEST(lookupsAreForgotten);
  CPPUNIT_TEST(loadsReachOtherZones);
  CPPUNIT_TEST(damagedLoadsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against small routers that get as many callers as large ones.
  void loadIsInProportionToSize() {
    for (const std::size_t Size :
         {std::size_t(8), std::size_t(72), std::size_t(300)}) {
      const auto Fleet = makeFleet(Size);
      Callers Played(Size);
      constexpr std::size_t AnswersPerRouter = 600;
      Played.play(Fleet, ZoneId(), AnswersPerRouter * Size);
      for (const RouterCandidate &Router : Fleet) {
        const double Load = Played.relativeLoad(Fleet, Router);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Load),
                               Load < 1.2 && Load > 1 / 1.2);
      }
    }
  }

  // Guards against a herd of callers on a router that reports no load yet.
  void startedRouterGetsNoMoreThanItsPart() {
    auto Fleet = makeFleet(72);
    for (RouterCandidate &Router : Fleet)
      Router.Load.Busy = Router.Load.Size / 2;
    Fleet.back().Load.Busy = 0;
    Callers Played(3);
    Played.play(Fleet, Fleet.back().Zone, 40'000);
    for (const RouterCandidate &Router : Fleet)
      if (Router.Zone == Fleet.back().Zone && Router.Load.Size == Small)
        CPPUNIT_ASSERT(Played.Picks[Fleet.back().Address] <
                       1.2 * Played.Picks[Router.Address]);
  }

  // Guards against a zone that keeps three of four callers, and against one
  // that sends callers away while it has room.
  void crowdedZoneSendsCallersToOthers() {
    auto Fleet = makeFleet(72);
    for (RouterCandidate &Router : Fleet)
      Router.Load.Lookups = Router.Zone == ZoneId("a") ? 90 : 15;
    Callers Played(4);
    Played.play(Fleet, ZoneId("a"), 30'000);
    Played.play(Fleet, ZoneId("b"), 5'000);
    Played.play(Fleet, ZoneId("c"), 5'000);
    for (const RouterCandidate &Router : Fleet)
      CPPUNIT_ASSERT(Played.relativeLoad(Fleet, Router) < 1.2);
    Callers Quiet(5);
    Quiet.play(Fleet, ZoneId("b"), 5'000);
    double Stay = 0;
    double Total = 0;
    for (const RouterCandidate &Router : Fleet) {
      Stay += Router.Zone == ZoneId("b") ? Quiet.Picks[Router.Address] : 0;
      Total += Quiet.Picks[Router.Address];
    }
    CPPUNIT_ASSERT(Stay > 0.8 * Total);
  }

  // Guards against further callers at a router that callers come to without
  // asking.
  void crowdedRouterGetsFewerCallers() {
    auto Fleet = makeFleet(72);
    for (RouterCandidate &Router : Fleet)
      Router.Load.Busy = 10;
    RouterCandidate &Crowded = Fleet.back();
    Crowded.Load.Busy = 400;
    Callers Played(6);
    Played.play(Fleet, Crowded.Zone, 40'000);
    CPPUNIT_ASSERT(Played.Picks[Crowded.Address] > 0);
    CPPUNIT_ASSERT(Played.relativeLoad(Fleet, Crowded) < 0.5);
  }

  // Guards against callers whose answer names only routers that have died,
  // also those of one zone.
  void callersHaveSomewhereToGoWhenHalfOfTheRoutersDie() {
    const auto Fleet = makeFleet(72);
    SeededRandom Random(7);
    CallerAddresses Choice(Random);
    constexpr int Answers = 10'000;
    int WithoutAny = 0;
    int OneZoneOnly = 0;
    for (int Answer = 0; Answer < Answers; ++Answer) {
      const auto Named = Choice.choose(Fleet, ZoneId("a"));
      CPPUNIT_ASSERT_EQUAL(
          Named.size(),
          std::set<std::string>(Named.begin(), Named.end()).size());
      bool AnyAlive = false;
      bool AnyElsewhere = false;
      for (const std::string &Address : Named) {
        AnyAlive |= std::stoul(Address) / 3 % 2 == 0;
        AnyElsewhere |= std::stoul(Address) % 3 != 0;
      }
      WithoutAny += AnyAlive ? 0 : 1;
      OneZoneOnly += AnyElsewhere ? 0 : 1;
    }
    CPPUNIT_ASSERT(WithoutAny < Answers / 20);
    CPPUNIT_ASSERT(OneZoneOnly < Answers / 2);
  }

  // Guards against empty answers, or names for none of the callers, when
  // reports are missing or a router knows only its own zone.
  void missingFactsNeverEmptyTheList() {
    SeededRandom Random(8);
    CallerAddresses Choice(Random);
    CPPUNIT_ASSERT(Choice.choose({}, ZoneId("a")).empty());
    for (const ZoneId &Zone : {ZoneId("a"), ZoneId("b"), ZoneId()})
      for (const std::uint32_t Size : {0U, Small, 1U << 24U}) {
        const std::vector<RouterCandidate> One{
            {"x", ZoneId("a"), {Size, 1U << 24U, 1U << 24U}}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Choice.choose(One, Zone).size());
        auto Several = makeFleet(9);
        for (RouterCandidate &Router : Several)
          Router.Zone = ZoneId("a");
        Several[3].Load = {Size, 0, 0};
        std::set<std::string> Named;
        for (int Answer = 0; Answer < 2'000; ++Answer) {
          const auto Addresses = Choice.choose(Several, Zone);
          CPPUNIT_ASSERT(!Addresses.empty());
          Named.insert(Addresses.begin(), Addresses.end());
        }
        CPPUNIT_ASSERT(Named.size() == Several.size() || Size > Large);
      }
  }

  // Guards against another choice than before where all routers are equal or
  // report no size.
  void equalRoutersAreNoCaseForIt() {
    std::vector<RouterCandidate> Fleet(72);
    CPPUNIT_ASSERT(!sizesDiffer(Fleet));
    for (RouterCandidate &Router : Fleet)
      Router.Load.Size = Small;
    Fleet.front().Load.Size = 0;
    CPPUNIT_ASSERT(!sizesDiffer(Fleet));
    Fleet.back().Load.Size = Large;
    CPPUNIT_ASSERT(sizesDiffer(Fleet));
  }

  // Guards against counting callers that have long gone.
  void lookupsAreForgotten() {
    ManualClock Time;
    LookupCounter Lookups(Time);
    for (int Index = 0; Index < 5; ++Index)
      Lookups.record();
    CPPUNIT_ASSERT_EQUAL(5U, Lookups.recent());
    Time.advance(Milliseconds(5'000));
    Lookups.record();
    CPPUNIT_ASSERT_EQUAL(6U, Lookups.recent());
    Time.advance(Milliseconds(20'000));
    CPPUNIT_ASSERT_EQUAL(0U, Lookups.recent());
  }

  // Guards against sizes that are lost between two digests which carry them.
  void loadsReachOtherZones() {
    const ManualClock Time;
    const auto Router = [](const std::string &Host, const std::string &Zone) {
      return RouterRecord{RouterId(Host + ":7400"), ZoneId(Zone),
                          Host + ":8080", Host + ":7400"};
    };
    PeerDirectory Sender(Router("10.0.0.1", "a"), Time);
    PeerDirectory Receiver(Router("10.0.1.1", "b"), Time);
    PeerReport Own;
    Own.Sender = RouterId("10.0.0.2:7400");
    Own.Incarnation = Own.Sequence = 1;
    Own.Zone = ZoneId("a");
    Own.CallerAddress = "10.0.0.2:8080";
    Own.Ready = true;
    Own.Load = {Large, 7, 9};
    CPPUNIT_ASSERT(
        Sender.accept(valueOf(decodeReport(encodeReport(Own)))).Accepted);
    PeerReport First = Own;
    First.Sender = RouterId("10.0.0.1:7400");
    First.CallerAddress = "10.0.0.1:8080";
    First.Load = {Small, 1, 2};
    for (First.Sequence = 5; First.Sequence < 8; ++First.Sequence)
      CPPUNIT_ASSERT(Receiver
                         .accept(valueOf(decodeReport(
                             encodeReport(Sender.makeDigest(First)))))
                         .Accepted);
    std::map<std::string, RouterLoad> Loads;
    for (const RouterCandidate &Each : Receiver.callerRouters())
      Loads[Each.Address] = Each.Load;
    CPPUNIT_ASSERT_EQUAL(Small, Loads["10.0.0.1:8080"].Size);
    CPPUNIT_ASSERT_EQUAL(Large, Loads["10.0.0.2:8080"].Size);
    CPPUNIT_ASSERT_EQUAL(7U, Loads["10.0.0.2:8080"].Busy);
    CPPUNIT_ASSERT_EQUAL(9U, Loads["10.0.0.2:8080"].Lookups);
  }

  // Guards against one damaged report that draws all callers to a router.
  void damagedLoadsAreBounded() {
    PeerReport Report;
    Report.Sender = RouterId("10.0.0.2:7400");
    Report.CallerAddress = "10.0.0.2:8080";
    Report.Load = {4'000'000'000, 4'000'000'000, 4'000'000'000};
    const auto Decoded = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(isOk(Decoded));
    CPPUNIT_ASSERT(valueOf(Decoded).Load.Size <= 1U << 24U);
    CPPUNIT_ASSERT(valueOf(Decoded).Load.Lookups <= 1U << 24U);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerAddressesTest);

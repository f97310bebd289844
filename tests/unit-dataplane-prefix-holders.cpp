#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>
#include <map>
#include <memory>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Models("models");
const std::array<ZoneId, 3> Zones{ZoneId("a"), ZoneId("b"), ZoneId("c")};
constexpr Milliseconds Reuse{10'000};
constexpr std::size_t EnginesPerZone = 6;

std::vector<UpstreamRecord> engines() {
  std::vector<UpstreamRecord> List;
  for (std::size_t Index = 0; Index < EnginesPerZone * Zones.size(); ++Index) {
    UpstreamRecord Record;
    Record.Id = UpstreamId(std::to_string(Index));
    Record.Service = Models;
    Record.Zone = Zones[Index % Zones.size()];
    Record.Slots = 100;
    Record.Ready = true;
    List.push_back(Record);
  }
  return List;
}

/// The placement of a router whose requests share prompts of 4,000 tokens.
struct Router {
  Router(const Clock &Time, std::size_t Zone,
         std::optional<PreciseMilliseconds> Cost = PreciseMilliseconds(10))
      : Random(Zone + 1), Table(Time),
        Placer(Table, Time, Random, Zones[Zone], settings(Cost)) {
    Config.Services.push_back(
        {Models, "", 0, EngineProfile{100, 1e9, 6, true}});
    Config.index();
    Table.update(engines());
    Placer.configure(Config);
    Query.Service = Models;
    Query.LatencyObjective = Milliseconds(400);
    Query.Work.SharedPrompt = 4'000;
  }

  PlacementChoice choose(std::uint64_t Prefix) {
    Query.Affinity = Prefix;
    Placer.recordPrefixUse(Query);
    return Placer.choose(Query);
  }
  PlacementChoice send(std::uint64_t Prefix) {
    const PlacementChoice Choice = choose(Prefix);
    Placer.recordPrefixRead(Query, Choice.Upstream->Process);
    return Choice;
  }

  SeededRandom Random;
  UpstreamTable Table;
  Placement Placer;
  Configuration Config;
  PlacementQuery Query;

private:
  static PlacementSettings
  settings(const std::optional<PreciseMilliseconds> &Cost) {
    PlacementSettings Settings;
    Settings.ZoneCost = Cost;
    Settings.PrefixReuse = Reuse;
    return Settings;
  }
};

/// Four routers in each zone, whose callers use the same documents, and what
/// the engines have read.
class Fleet {
public:
  explicit Fleet(bool Reports) : Reports(Reports) {
    for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone)
      for (int Count = 0; Count < 4; ++Count)
        Routers.push_back(std::make_unique<Router>(Time, Zone));
  }

  /// @return fraction of the requests whose engine reads a prefix that another
  ///   engine has
  double play(std::chrono::seconds Duration) {
    constexpr Milliseconds Step{10};
    constexpr std::uint64_t Documents = 800;
    constexpr int StepsPerReport = 12;
    std::size_t Again = 0;
    std::size_t Requests = 0;
    for (int Count = 0; Count * Step < Duration; ++Count) {
      ++Requests;
      Router &At = *Routers[Random.below(Routers.size())];
      Again += readsAgain(Random.below(Documents), At);
      Time.advance(Step);
      if (Reports && Count % StepsPerReport == 0)
        exchange();
    }
    return static_cast<double>(Again) / static_cast<double>(Requests);
  }

private:
  bool readsAgain(std::uint64_t Document, Router &At) {
    finishReading();
    const PlacementChoice Choice = At.choose(Document + 1);
    std::map<UpstreamProcess, TimePoint> &Having = HaveRead[Document];
    std::erase_if(Having, [this](const auto &Entry) {
      return Time.now() - Entry.second >= Reuse;
    });
    const bool Known = !Having.empty();
    const bool Found = Having.contains(Choice.Upstream->Process) ||
                       (Choice.FetchFrom != nullptr &&
                        Having.contains(Choice.FetchFrom->Process));
    Reading.push_back(
        {Document, Choice.Upstream->Process, &At, Time.now() + ReadingTime});
    return Known && !Found;
  }
  /// Lets engines begin to answer.
  void finishReading() {
    for (; !Reading.empty() && Reading.front().Until <= Time.now();
         Reading.pop_front()) {
      const Run &Done = Reading.front();
      HaveRead[Done.Document][Done.Engine] = Time.now();
      Done.At->Query.Affinity = Done.Document + 1;
      Done.At->Placer.recordPrefixRead(Done.At->Query, Done.Engine);
    }
  }
  /// Delivers what was reported one period earlier.
  void exchange() {
    for (const auto &Each : Routers)
      Each->Placer.prefixHolders().addReported(OnTheWay);
    OnTheWay.clear();
    for (const auto &Each : Routers)
      for (const PrefixPlacement &Placed :
           Each->Placer.prefixHolders().report())
        OnTheWay.push_back(Placed);
  }

  bool Reports;
  ManualClock Time;
  SeededRandom Random{11};
  std::vector<std::unique_ptr<Router>> Routers;
  struct Run {
    std::uint64_t Document = 0;
    UpstreamProcess Engine{};
    Router *At = nullptr;
    TimePoint Until{};
  };
  static constexpr Milliseconds ReadingTime{100};
  std::deque<Run> Reading;
  /// Latest use of each document by engine; unused ones are dropped.
  std::map<std::uint64_t, std::map<UpstreamProcess, TimePoint>> HaveRead;
  std::vector<PrefixPlacement> OnTheWay;
};

PrefixPlacement placement(std::uint64_t Prefix, std::uint64_t Engine,
                          Milliseconds Age = Milliseconds(0)) {
  return {Prefix, UpstreamProcess(Engine), Age};
}

/// @return an engine of a zone
const UpstreamState *engineIn(Router &At, const ZoneId &Zone) {
  for (const UpstreamState *State : At.Table.upstreamsOf(Models))
    if (State->Record.Zone == Zone)
      return State;
  return nullptr;
}

} // namespace

class PrefixHoldersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixHoldersTest);
  CPPUNIT_TEST(prefixesAreReadOnceInTheFleet);
  CPPUNIT_TEST(holderOfTheSameZoneGoesFirst);
  CPPUNIT_TEST(unusableHoldersAreNotNamed);
  CPPUNIT_TEST(holdersThatTheRequestMayNotUseAreNotNamed);
  CPPUNIT_TEST(prefixThatTheEngineHasCountsAsCached);
  CPPUNIT_TEST(shortPrefixesAreRead);
  CPPUNIT_TEST(deploymentsWithoutZoneCostReportNothing);
  CPPUNIT_TEST(placementsExpire);
  CPPUNIT_TEST(onlyNewsIsReported);
  CPPUNIT_TEST(enginesInTurnAreNoNews);
  CPPUNIT_TEST(tablesAreBounded);
  CPPUNIT_TEST(placementsAreEncodedAndDecoded);
  CPPUNIT_TEST(digestsCarryThoseOfTheZone);
  CPPUNIT_TEST(otherZonesAreHeardByDigests);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against engines that read a prompt again which another engine has,
  // when callers in all zones use the same documents.
  void prefixesAreReadOnceInTheFleet() {
    constexpr std::chrono::seconds Duration{20};
    const double Before = Fleet(false).play(Duration);
    const double Now = Fleet(true).play(Duration);
    // Left are uses within the time that a report takes.
    CPPUNIT_ASSERT(Now < 0.02);
    CPPUNIT_ASSERT(Before > 5 * Now);
  }

  void holderOfTheSameZoneGoesFirst() {
    ManualClock Time;
    Router At(Time, 0);
    At.choose(1);
    const auto &All = At.Table.upstreamsOf(Models);
    const PlacementChoice First = At.choose(7);
    const UpstreamState *Elsewhere = engineIn(At, Zones[1]);
    const UpstreamState *Near = nullptr;
    for (const UpstreamState *State : All)
      if (State->Record.Zone == Zones[0] && State != First.Upstream)
        Near = State;
    At.Placer.prefixHolders().addReported(
        {placement(7, Elsewhere->Process.Value)});
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Elsewhere);
    if (Near == nullptr)
      CPPUNIT_FAIL("no second engine in the zone");
    else
      At.Placer.prefixHolders().addReported(
          {placement(7, Near->Process.Value, Milliseconds(500))});
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Near);
    At.Placer.prefixHolders().addReported(
        {placement(7, First.Upstream->Process.Value, Milliseconds(600))});
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == nullptr);
  }

  // Guards against fetching from engines that are gone, emptied or out of
  // reach.
  void unusableHoldersAreNotNamed() {
    ManualClock Time;
    Router At(Time, 0);
    At.choose(1);
    const UpstreamState *Elsewhere = engineIn(At, Zones[1]);
    At.Placer.prefixHolders().addReported(
        {placement(7, Elsewhere->Process.Value)});
    const auto Names = [&] { return At.choose(7).FetchFrom == Elsewhere; };
    CPPUNIT_ASSERT(Names());
    At.Placer.zoneChoice()->setSilentZones({Zones[1]});
    CPPUNIT_ASSERT(!Names());
    At.Placer.zoneChoice()->setSilentZones({});
    CPPUNIT_ASSERT(Names());
    At.Table.setEvacuated({Zones[1]});
    CPPUNIT_ASSERT(!Names());
    At.Table.setEvacuated({});
    At.Table.failed(Elsewhere->Record.Id);
    CPPUNIT_ASSERT(!Names());
    Time.advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(Names());
    // It restarts under its id.
    const UpstreamId Id = Elsewhere->Record.Id;
    const auto NamesId = [&] {
      const UpstreamState *Source = At.choose(7).FetchFrom;
      return Source != nullptr && Source->Record.Id == Id;
    };
    At.Table.update(engines());
    CPPUNIT_ASSERT(NamesId());
    auto Restarted = engines();
    for (UpstreamRecord &Record : Restarted)
      Record.BornMs = 5;
    At.Table.update(Restarted);
    CPPUNIT_ASSERT(!NamesId());
  }

  // Guards against a prompt that is read from outside of its home regions, and
  // against an engine at which the request has failed.
  void holdersThatTheRequestMayNotUseAreNotNamed() {
    ManualClock Time;
    Router At(Time, 0);
    At.choose(1);
    const UpstreamState *Elsewhere = engineIn(At, Zones[1]);
    At.Placer.prefixHolders().addReported(
        {placement(7, Elsewhere->Process.Value)});
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Elsewhere);
    At.Query.Excluded = {Elsewhere->Record.Id};
    CPPUNIT_ASSERT(At.choose(7).FetchFrom != Elsewhere);
    At.Query.Excluded.clear();
    At.Placer.setZoneRegions({{Zones[0], RegionId("here")},
                              {Zones[1], RegionId("there")},
                              {Zones[2], RegionId("there")}});
    Route Bound;
    Bound.HomeRegions = {RegionId("here")};
    At.Query.Allowed = Homes(Bound, nullptr);
    CPPUNIT_ASSERT(At.choose(7).FetchFrom != Elsewhere);
  }

  // Guards against engines that look full because prompts that they have read
  // count as unread.
  void prefixThatTheEngineHasCountsAsCached() {
    ManualClock Time;
    Router At(Time, 0);
    const PlacementChoice First = At.choose(7);
    // Its home is excluded, so that the next one in the order is selected.
    At.Query.Excluded = {First.Upstream->Record.Id};
    const PlacementChoice Second = At.choose(7);
    CPPUNIT_ASSERT(Second.Upstream != First.Upstream);
    At.Placer.recordPrefixRead(At.Query, Second.Upstream->Process);
    const PlacementChoice Again = At.choose(7);
    CPPUNIT_ASSERT(Again.Upstream == Second.Upstream);
    CPPUNIT_ASSERT(Again.PrefixCached && Again.FetchFrom == nullptr);
  }

  void shortPrefixesAreRead() {
    ManualClock Time;
    Router At(Time, 0);
    At.Query.Work.SharedPrompt = 100;
    At.send(7);
    CPPUNIT_ASSERT(At.Placer.prefixHolders().report().empty());
  }

  void deploymentsWithoutZoneCostReportNothing() {
    ManualClock Time;
    Router At(Time, 0, std::nullopt);
    At.send(7);
    CPPUNIT_ASSERT(At.Placer.prefixHolders().report().empty());
    const PlacementChoice Before = At.choose(7);
    At.Placer.prefixHolders().addReported(
        {placement(7, engineIn(At, Zones[1])->Process.Value)});
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Before.FetchFrom);
  }

  void placementsExpire() {
    ManualClock Time;
    PrefixHolders Holders(Time, Reuse);
    Holders.recordRead(1, UpstreamProcess(5));
    Holders.addReported({placement(1, 6, Milliseconds(4'000)),
                         placement(1, 8, Reuse), placement(1, 9, -Reuse)});
    CPPUNIT_ASSERT(Holders.holds(1, UpstreamProcess(5)));
    CPPUNIT_ASSERT(Holders.holdersOf(1) ==
                   (std::vector{UpstreamProcess(5), UpstreamProcess(6)}));
    Time.advance(Milliseconds(6'500));
    CPPUNIT_ASSERT(Holders.holdersOf(1) == std::vector{UpstreamProcess(5)});
    Time.advance(Milliseconds(3'500));
    CPPUNIT_ASSERT(Holders.holdersOf(1).empty());
    Holders.recordRead(2, UpstreamProcess(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holders.size());
  }

  // Guards against reports that grow with the requests, and against facts that
  // one lost report takes away.
  void onlyNewsIsReported() {
    ManualClock Time;
    PrefixHolders Holders(Time, Reuse);
    for (int Use = 0; Use < 10; ++Use)
      Holders.recordRead(1, UpstreamProcess(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holders.report().size());
    Time.advance(Milliseconds(400));
    CPPUNIT_ASSERT(Holders.report() ==
                   std::vector{placement(1, 5, Milliseconds(400))});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holders.report().size());
    CPPUNIT_ASSERT(Holders.report().empty());
    Time.advance(Reuse / 2);
    Holders.recordRead(1, UpstreamProcess(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holders.report().size());
    // A use in between keeps it known.
    Time.advance(Reuse - Milliseconds(1));
    CPPUNIT_ASSERT(Holders.holds(1, UpstreamProcess(5)));
  }

  // Guards against engines that displace each other, each time as news, when a
  // prefix is used at more engines than are known.
  void enginesInTurnAreNoNews() {
    ManualClock Time;
    PrefixHolders Holders(Time, Reuse);
    for (int Use = 0; Use < 60; ++Use) {
      Holders.recordRead(1, UpstreamProcess(std::uint64_t(1 + Use % 6)));
      Time.advance(Milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Holders.report().size());
  }

  void tablesAreBounded() {
    ManualClock Time;
    PrefixHolders Holders(Time, Reuse);
    for (std::uint64_t Prefix = 0; Prefix < 2 * PrefixHolders::MaxReported;
         ++Prefix)
      for (std::uint64_t Engine = 1; Engine < 10; ++Engine)
        Holders.recordRead(Prefix, UpstreamProcess(Engine));
    CPPUNIT_ASSERT_EQUAL(PrefixHolders::MaxReported, Holders.report().size());
    // What could not be reported is not taken for reported.
    CPPUNIT_ASSERT(Holders.size() < PrefixHolders::MaxReported);
    for (std::uint64_t Prefix = 0; Prefix < 2 * PrefixHolders::MaxPrefixes;
         ++Prefix)
      Holders.addReported({placement(Prefix, 5)});
    CPPUNIT_ASSERT_EQUAL(PrefixHolders::MaxPrefixes, Holders.size());
    for (int Count = 0; Count < 4; ++Count)
      Holders.report();
    Holders.recordRead(3 * PrefixHolders::MaxPrefixes, UpstreamProcess(5));
    CPPUNIT_ASSERT(Holders.report().empty());
  }

  void placementsAreEncodedAndDecoded() {
    PeerReport Report;
    Report.Sender = RouterId("10.0.0.2:7400");
    Report.Zone = Zones[0];
    Report.CallerAddress = "10.0.0.2:80";
    const std::string Without = encodeReport(Report);
    Report.Prefixes = {placement(1, 5, Milliseconds(40))};
    const auto Decoded = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(isOk(Decoded));
    CPPUNIT_ASSERT(valueOf(Decoded).Prefixes == Report.Prefixes);
    for (std::uint64_t Prefix = 0; Prefix < 2'000; ++Prefix)
      Report.Prefixes.push_back(placement(Prefix, 5));
    CPPUNIT_ASSERT_EQUAL(
        PrefixHolders::MaxReported,
        valueOf(decodeReport(encodeReport(Report))).Prefixes.size());
    // Deployments without a zone cost send what they sent before.
    Report.Prefixes.clear();
    CPPUNIT_ASSERT(encodeReport(Report) == Without);
  }

  void digestsCarryThoseOfTheZone() {
    ManualClock Time;
    PeerDirectory Peers(
        {RouterId("10.0.0.1:7400"), Zones[0], "10.0.0.1:80", "10.0.0.1:7400"},
        Time);
    PeerReport Report;
    Report.Sender = RouterId("10.0.0.2:7400");
    Report.Sequence = 1;
    Report.Zone = Zones[0];
    Report.CallerAddress = "10.0.0.2:80";
    Report.Prefixes = {placement(1, 5, Milliseconds(40))};
    Peers.accept(Report);
    Time.advance(Milliseconds(10));
    CPPUNIT_ASSERT(Peers.sums().Prefixes ==
                   std::vector{placement(1, 5, Milliseconds(50))});
    Time.advance(Milliseconds(90));
    // The sums of a later report do not tell it once more.
    CPPUNIT_ASSERT(Peers.sums().Prefixes.empty());
    PeerReport Own;
    Own.Sender = RouterId("10.0.0.1:7400");
    Own.Prefixes = {placement(2, 6)};
    CPPUNIT_ASSERT(
        Peers.makeDigest(Own).Prefixes ==
        (std::vector{placement(2, 6), placement(1, 5, Milliseconds(140))}));
    // A digest that is too long keeps the latest ones.
    for (std::uint64_t Prefix = 10; Prefix < 2'000; ++Prefix)
      Own.Prefixes.push_back(placement(Prefix, 6, Milliseconds(200)));
    const auto Kept = Peers.makeDigest(Own).Prefixes;
    CPPUNIT_ASSERT_EQUAL(PrefixHolders::MaxReported, Kept.size());
    CPPUNIT_ASSERT(Kept[1] == placement(1, 5, Milliseconds(140)));
  }

  void otherZonesAreHeardByDigests() {
    ManualClock Time;
    PeerDirectory Peers(
        {RouterId("10.0.0.1:7400"), Zones[0], "10.0.0.1:80", "10.0.0.1:7400"},
        Time);
    PeerReport Digest;
    Digest.Sender = RouterId("10.0.1.2:7400");
    Digest.Sequence = 1;
    Digest.Zone = Zones[1];
    Digest.CallerAddress = "10.0.1.2:80";
    Digest.Members = {{Digest.Sender, Digest.CallerAddress, true}};
    Digest.Prefixes = {placement(3, 7, Milliseconds(60))};
    Peers.accept(Digest);
    CPPUNIT_ASSERT(Peers.sums().Prefixes == Digest.Prefixes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixHoldersTest);

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
constexpr Milliseconds Reuse{3'000};

std::vector<UpstreamRecord> engines(std::size_t Count, unsigned Slots) {
  std::vector<UpstreamRecord> List;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    UpstreamRecord Record;
    Record.Id = UpstreamId(std::to_string(Index));
    Record.Service = Models;
    Record.Zone = Zones[Index % Zones.size()];
    Record.Slots = Slots;
    Record.Ready = true;
    List.push_back(Record);
  }
  return List;
}

/// The placement of a router in a deployment without zone cost.
struct Router {
  Router(const Clock &Time, std::size_t Index, std::size_t Engines = 18,
         unsigned Slots = 100)
      : Time(Time), Random(Index + 1), Table(Time),
        Placer(Table, Time, Random, Zones[Index % Zones.size()], settings()) {
    Service Pool{Models, "", 0, EngineProfile{Slots, 1e9, 6, true}};
    Pool.ColdTime = Milliseconds(3'000);
    Pool.ColdRequestsPerSecond = 1;
    Config.Services.push_back(Pool);
    Config.index();
    Table.update(engines(Engines, Slots));
    Placer.configure(Config);
    Query.Service = Models;
    Query.LatencyObjective = Milliseconds(400);
    Query.Work.SharedPrompt = 4'000;
  }

  /// An engine responds.
  void hear(const UpstreamState &Engine, bool StatesWorkTime) {
    StatedLoad Load{1, 0, Engine.Record.Slots};
    Load.StatesWorkTime = StatesWorkTime;
    Table.statedLoads().record(Engine.Process, Load, Time.now());
  }
  PlacementChoice choose(std::uint64_t Prefix) {
    Query.Affinity = Prefix;
    Placer.recordPrefixUse(Query);
    return Placer.choose(Query);
  }
  void report(std::uint64_t Prefix, const UpstreamState &Engine) {
    Placer.prefixHolders().addReported(
        {{Prefix, Engine.Process, Milliseconds(0)}});
  }
  const std::vector<UpstreamState *> &all() {
    return Table.upstreamsOf(Models);
  }

  const Clock &Time;
  SeededRandom Random;
  UpstreamTable Table;
  Placement Placer;
  Configuration Config;
  PlacementQuery Query;

private:
  static PlacementSettings settings() {
    PlacementSettings Settings;
    Settings.PrefixReuse = Reuse;
    return Settings;
  }
};

/// Routers whose callers use the same documents all the time, while engines ask
/// for pauses, so that others stand in for them.
class Fleet {
public:
  explicit Fleet(bool StatesWorkTime) : StatesWorkTime(StatesWorkTime) {
    for (std::size_t Index = 0; Index < RouterCount; ++Index)
      Routers.push_back(
          std::make_unique<Router>(Time, Index, EngineCount, EngineSlots));
  }

  /// Reads of prefixes, once the first of each is over.
  struct Result {
    std::size_t Sent = 0;
    /// Reads of a prefix that another engine has.
    std::size_t Again = 0;
    std::size_t MostReported = 0;
  };

  Result play() {
    constexpr Milliseconds Step{2};
    constexpr Milliseconds Warming{4'000};
    constexpr Milliseconds Duration{14'000};
    constexpr int StepsPerReport = 60;
    constexpr int StepsPerPause = 50;
    Result Found;
    for (int Count = 0; Count * Step < Duration; ++Count) {
      finish();
      const bool Counts = Count * Step >= Warming;
      Router &At = *Routers[Random.below(Routers.size())];
      send(Random.below(Documents) + 1, At, Counts ? &Found : nullptr);
      Time.advance(Step);
      if (Count % StepsPerReport == 0)
        exchange(Found);
      if (Count % StepsPerPause == 0)
        pause(Random.below(EngineCount));
    }
    return Found;
  }

private:
  static constexpr std::size_t RouterCount = 33;
  static constexpr std::size_t EngineCount = 90;
  static constexpr unsigned EngineSlots = 6;
  static constexpr std::uint64_t Documents = 120;
  static constexpr Milliseconds ReadingTime{100};
  static constexpr Milliseconds RunningTime{900};
  struct Run {
    std::uint64_t Document = 0;
    UpstreamId Id;
    UpstreamProcess Engine{};
    UpstreamLoad Load;
    Router *At = nullptr;
    TimePoint Until{};
  };

  void send(std::uint64_t Document, Router &At, Result *Found) {
    const PlacementChoice Choice = At.choose(Document);
    if (Choice.Upstream == nullptr)
      return;
    const UpstreamLoad Load = At.Query.Work.load(Choice.PrefixCached);
    At.Table.add(Choice.Upstream->Record.Id, Load);
    std::map<UpstreamProcess, TimePoint> &Having = HaveRead[Document];
    std::erase_if(Having, [this](const auto &Entry) {
      return Time.now() - Entry.second >= Reuse;
    });
    const bool IsThere = Having.contains(Choice.Upstream->Process) ||
                         (Choice.FetchFrom != nullptr &&
                          Having.contains(Choice.FetchFrom->Process));
    if (Found != nullptr) {
      ++Found->Sent;
      Found->Again += !Having.empty() && !IsThere ? 1 : 0;
    }
    Reading.push_back({Document, Choice.Upstream->Record.Id,
                       Choice.Upstream->Process, Load, &At,
                       Time.now() + ReadingTime});
  }
  void pause(std::size_t Index) {
    constexpr Milliseconds Pause{500};
    for (const auto &Each : Routers)
      Each->Table.paused(Each->all()[Index]->Record, Time.now() + Pause);
  }
  /// Lets engines begin to answer, and end.
  void finish() {
    for (; !Reading.empty() && Reading.front().Until <= Time.now();
         Reading.pop_front()) {
      Run &Done = Reading.front();
      HaveRead[Done.Document][Done.Engine] = Time.now();
      for (const auto &Each : Routers)
        Each->Table.accepted(Done.Id);
      Done.At->hear(*Done.At->Table.find(Done.Id), StatesWorkTime);
      Done.At->Query.Affinity = Done.Document;
      Done.At->Placer.recordPrefixRead(Done.At->Query, Done.Engine);
      UpstreamLoad Read;
      std::swap(Read.UnreadPrompt, Done.Load.UnreadPrompt);
      Done.At->Table.remove(Done.Id, Read);
      Done.Until += RunningTime;
      Running.push_back(Done);
    }
    for (; !Running.empty() && Running.front().Until <= Time.now();
         Running.pop_front())
      Running.front().At->Table.remove(Running.front().Id,
                                       Running.front().Load);
  }
  /// Delivers what was reported one period earlier.
  void exchange(Result &Found) {
    LoadTable Total;
    std::vector<LoadTable> Own;
    for (const auto &Each : Routers) {
      Own.push_back(Each->Table.ownLoads());
      for (const auto &[Key, Load] : Own.back())
        Total[Key] += Load;
    }
    for (std::size_t Index = 0; Index < Routers.size(); ++Index) {
      LoadTable Peers = Total;
      for (const auto &[Key, Load] : Own[Index])
        Peers[Key] -= Load;
      Routers[Index]->Table.setPeers(Peers);
      Routers[Index]->Placer.prefixHolders().addReported(OnTheWay);
    }
    OnTheWay.clear();
    for (const auto &Each : Routers) {
      const auto Report = Each->Placer.prefixHolders().report();
      Found.MostReported = std::max(Found.MostReported, Report.size());
      OnTheWay.insert(OnTheWay.end(), Report.begin(), Report.end());
    }
  }

  bool StatesWorkTime;
  ManualClock Time;
  SeededRandom Random{11};
  std::vector<std::unique_ptr<Router>> Routers;
  std::deque<Run> Reading;
  std::deque<Run> Running;
  std::map<std::uint64_t, std::map<UpstreamProcess, TimePoint>> HaveRead;
  std::vector<PrefixPlacement> OnTheWay;
};

/// @return an engine of a zone other than the ones given
const UpstreamState *
engineIn(Router &At, const ZoneId &Zone,
         const std::set<const UpstreamState *> &Others = {}) {
  for (const UpstreamState *State : At.all())
    if (State->Record.Zone == Zone && !Others.contains(State))
      return State;
  return nullptr;
}

} // namespace

class PrefixSharingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixSharingTest);
  CPPUNIT_TEST(fewPrefixesAreReadAgainUnderLoad);
  CPPUNIT_TEST(enginesThatStateTheirWorkTimeSwitchItOn);
  CPPUNIT_TEST(otherDeploymentsDecideAsBefore);
  CPPUNIT_TEST(enginesThatCannotFetchAreNotTold);
  CPPUNIT_TEST(reportsBeforeTheFirstResponseAreKept);
  CPPUNIT_TEST(holderInTheZoneOfTheEngineGoesFirst);
  CPPUNIT_TEST(unusableHoldersAreNotNamed);
  CPPUNIT_TEST(nextHomeFetchesWhatTheFirstHad);
  CPPUNIT_TEST(holdersInSilentZonesAreNotNamed);
  CPPUNIT_TEST(longestReportFitsADatagram);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against engines that read a prompt again which another engine has,
  // while homes take no requests for a time.
  void fewPrefixesAreReadAgainUnderLoad() {
    const Fleet::Result Before = Fleet(false).play();
    const Fleet::Result Now = Fleet(true).play();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Before.MostReported);
    CPPUNIT_ASSERT(Now.MostReported > 0);
    CPPUNIT_ASSERT(Now.MostReported < PrefixHolders::MaxReported);
    CPPUNIT_ASSERT(Now.Sent > 4'000);
    CPPUNIT_ASSERT(Now.Again * 5 < Before.Again);
    CPPUNIT_ASSERT(Now.Again * 100 < Now.Sent);
  }

  void enginesThatStateTheirWorkTimeSwitchItOn() {
    ManualClock Time;
    Router At(Time, 0);
    const UpstreamState *Home = At.choose(7).Upstream;
    const UpstreamState *Holder = engineIn(At, Zones[1], {Home});
    At.report(7, *Holder);
    CPPUNIT_ASSERT(!At.Placer.sharesHolders(Models));
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == nullptr);
    At.hear(*Holder, true);
    CPPUNIT_ASSERT(At.Placer.sharesHolders(Models));
    CPPUNIT_ASSERT(At.choose(7).Upstream == Home);
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Holder);
    At.Placer.recordPrefixRead(At.Query, Home->Process);
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         At.Placer.prefixHolders().report().size());
    // A release brings engines that state less.
    At.hear(*Holder, false);
    CPPUNIT_ASSERT(!At.Placer.sharesHolders(Models));
  }

  // Guards against a change in deployments without zone cost whose engines do
  // not state how long work takes.
  void otherDeploymentsDecideAsBefore() {
    ManualClock Time;
    constexpr unsigned Slots = 2;
    Router At(Time, 0, 18, Slots);
    Router Told(Time, 0, 18, Slots);
    SeededRandom Random(3);
    unsigned Fetched = 0;
    for (int Count = 0; Count < 500; ++Count) {
      const std::uint64_t Prefix = Random.below(20) + 1;
      const PlacementChoice Choice = At.choose(Prefix);
      Told.report(Prefix, *Told.all()[Random.below(Told.all().size())]);
      const PlacementChoice Other = Told.choose(Prefix);
      CPPUNIT_ASSERT_EQUAL(Choice.Upstream == nullptr,
                           Other.Upstream == nullptr);
      if (Choice.Upstream != nullptr) {
        CPPUNIT_ASSERT(Choice.Upstream->Record.Id == Other.Upstream->Record.Id);
        CPPUNIT_ASSERT_EQUAL(Choice.PrefixCached, Other.PrefixCached);
        CPPUNIT_ASSERT_EQUAL(Choice.FetchFrom == nullptr,
                             Other.FetchFrom == nullptr);
        // The home is named for those that go elsewhere, and nothing else.
        CPPUNIT_ASSERT_EQUAL(Choice.PrefixCached, Choice.FetchFrom == nullptr);
        Fetched += Choice.FetchFrom != nullptr ? 1 : 0;
        for (Router *Each : {&At, &Told}) {
          Each->Table.add(Choice.Upstream->Record.Id,
                          Each->Query.Work.load(Choice.PrefixCached));
          Each->hear(*Each->Table.find(Choice.Upstream->Record.Id), false);
          Each->Placer.recordPrefixRead(Each->Query, Choice.Upstream->Process);
        }
      }
      if (Count % 30 == 0)
        for (Router *Each : {&At, &Told})
          for (const UpstreamState *State : Each->all())
            Each->Table.remove(State->Record.Id, State->Own);
    }
    CPPUNIT_ASSERT(Fetched > 50);
    CPPUNIT_ASSERT(At.Placer.prefixHolders().report().empty());
    CPPUNIT_ASSERT(Told.Placer.prefixHolders().report().empty());
  }

  void enginesThatCannotFetchAreNotTold() {
    ManualClock Time;
    Router At(Time, 0);
    At.Config.Services.front().Engine->CanFetchCachedPrefix = false;
    At.hear(*At.all().front(), true);
    const UpstreamState *Home = At.choose(7).Upstream;
    At.report(7, *engineIn(At, Zones[1], {Home}));
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == nullptr);
    At.Placer.recordPrefixRead(At.Query, Home->Process);
    CPPUNIT_ASSERT(At.Placer.prefixHolders().report().empty());
  }

  // Guards against a router that has just started and misses what the others
  // report before its first response.
  void reportsBeforeTheFirstResponseAreKept() {
    ManualClock Time;
    Router At(Time, 0);
    const UpstreamState *Home = At.choose(7).Upstream;
    const UpstreamState *Holder = engineIn(At, Zones[2], {Home});
    At.report(7, *Holder);
    Time.advance(Reuse / 2);
    At.hear(*Home, true);
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Holder);
  }

  void holderInTheZoneOfTheEngineGoesFirst() {
    ManualClock Time;
    Router At(Time, 0);
    At.hear(*At.all().front(), true);
    const UpstreamState *Home = At.choose(7).Upstream;
    const ZoneId &Own = Home->Record.Zone;
    const ZoneId &Other = Own == Zones[0] ? Zones[1] : Zones[0];
    const UpstreamState *Near = engineIn(At, Own, {Home});
    const UpstreamState *Far = engineIn(At, Other);
    At.report(7, *Near);
    Time.advance(Milliseconds(100));
    At.report(7, *Far);
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Near);
    At.Table.failed(Near->Record.Id);
    CPPUNIT_ASSERT(At.choose(7).FetchFrom == Far);
  }

  // Guards against fetching from engines that fail, are emptied, cold, excluded
  // for the request, or have restarted.
  void unusableHoldersAreNotNamed() {
    ManualClock Time;
    Router At(Time, 0);
    At.Table.cold().configure(At.Config,
                              {{1.5, 5}, Zones[0], Milliseconds(1'200)});
    At.Table.update(engines(18, 100));
    At.hear(*At.all().front(), true);
    const UpstreamState *Home = At.choose(7).Upstream;
    const UpstreamState *Holder = engineIn(At, Zones[1], {Home});
    const UpstreamId Id = Holder->Record.Id;
    At.report(7, *Holder);
    const auto Names = [&] {
      const UpstreamState *Source = At.choose(7).FetchFrom;
      return Source != nullptr && Source->Record.Id == Id;
    };
    CPPUNIT_ASSERT(Names());
    At.Table.setEvacuated({Zones[1]});
    CPPUNIT_ASSERT(!Names());
    At.Table.setEvacuated({});
    CPPUNIT_ASSERT(Names());
    At.Query.Excluded = {Id};
    CPPUNIT_ASSERT(!Names());
    At.Query.Excluded.clear();
    At.Table.failed(Id);
    CPPUNIT_ASSERT(!Names());
    Time.advance(Milliseconds(2'000));
    CPPUNIT_ASSERT(Names());
    At.Table.cold().recordStated(Holder->Process, Milliseconds(1'000));
    CPPUNIT_ASSERT(!Names());
    auto Restarted = engines(18, 100);
    for (UpstreamRecord &Record : Restarted)
      Record.BornMs = Record.Id == Id ? 5 : 0;
    At.Table.update(Restarted);
    Time.advance(Milliseconds(4'000));
    CPPUNIT_ASSERT(!Names());
  }

  // Guards against reading again what the home has read when it fails, is cold,
  // or is excluded, so that another engine becomes the home.
  void nextHomeFetchesWhatTheFirstHad() {
    ManualClock Time;
    Router At(Time, 0);
    At.hear(*At.all().front(), true);
    UpstreamState *Home = At.choose(7).Upstream;
    At.Placer.recordPrefixRead(At.Query, Home->Process);
    At.Table.paused(Home->Record, Time.now() + Milliseconds(500));
    const PlacementChoice Paused = At.choose(7);
    CPPUNIT_ASSERT(Paused.Upstream != Home);
    // It takes no requests, but serves what it has cached.
    CPPUNIT_ASSERT(Paused.FetchFrom == Home);
    At.Placer.recordPrefixRead(At.Query, Paused.Upstream->Process);
    Time.advance(Milliseconds(501));
    At.Table.accepted(Home->Record.Id);
    At.Table.failed(Home->Record.Id);
    const PlacementChoice Failing = At.choose(7);
    CPPUNIT_ASSERT(Failing.Upstream == Paused.Upstream);
    CPPUNIT_ASSERT(Failing.PrefixCached && Failing.FetchFrom == nullptr);
  }

  // Guards against fetches over a link that is cut.
  void holdersInSilentZonesAreNotNamed() {
    ManualClock Time;
    Router At(Time, 0);
    At.hear(*At.all().front(), true);
    std::uint64_t Prefix = 1;
    while (At.choose(Prefix).Upstream->Record.Zone != Zones[0])
      ++Prefix;
    const UpstreamState *Holder = engineIn(At, Zones[1]);
    At.report(Prefix, *Holder);
    CPPUNIT_ASSERT(At.choose(Prefix).FetchFrom == Holder);
    At.Placer.setSilentZones({Zones[1]});
    CPPUNIT_ASSERT(At.choose(Prefix).FetchFrom == nullptr);
    At.Placer.setSilentZones({});
    CPPUNIT_ASSERT(At.choose(Prefix).FetchFrom == Holder);
  }

  // Guards against reports that do not fit in a datagram.
  void longestReportFitsADatagram() {
    PeerReport Report;
    Report.Sender = RouterId("10.0.0.2:7400");
    Report.Zone = Zones[0];
    Report.CallerAddress = "10.0.0.2:80";
    const std::size_t Without = encodeReport(Report).size();
    for (std::size_t Row = 0; Row < PrefixHolders::MaxReported; ++Row)
      Report.Prefixes.push_back({~std::uint64_t(Row),
                                 UpstreamProcess(~std::uint64_t(Row)),
                                 Reuse - Milliseconds(1)});
    const std::size_t Added = encodeReport(Report).size() - Without;
    constexpr std::size_t RowBytes = 22;
    constexpr std::size_t HeaderBytes = 16;
    CPPUNIT_ASSERT(Added <=
                   PrefixHolders::MaxReported * RowBytes + HeaderBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixSharingTest);

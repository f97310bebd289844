#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Models("models");
constexpr unsigned Engines = 6;

/// A router of a service whose engines share their machines with others.
struct FakeRouter {
  ManualClock Time;
  SeededRandom Random{5};
  UpstreamTable Table{Time};
  Placement Placer{Table, Time, Random, ZoneId("a"), PlacementSettings()};
  Configuration Config;
  std::vector<UpstreamRecord> List;

  FakeRouter() {
    Config.Services.push_back({Models, "", 0, EngineProfile{200, 1e7, 6}});
    Config.Limits.TokensPerSecond = 60'000;
    Config.index();
    for (unsigned Index = 0; Index < Engines; ++Index) {
      UpstreamRecord Record;
      Record.Id = UpstreamId(std::to_string(Index));
      Record.Service = Models;
      Record.Address = {asio::ip::make_address("127.0.0.1"),
                        static_cast<std::uint16_t>(9'000 + Index)};
      Record.Slots = 200;
      Record.Ready = true;
      List.push_back(Record);
    }
    Table.update(List);
    Placer.configure(Config);
  }

  void state(unsigned Index, double WorkTimeFactor) {
    Table.statedLoads().record(upstreamProcess(List[Index]),
                               {1, 0, 200, WorkTimeFactor}, Time.now());
  }

  /// Offers more requests than there is room for.
  /// @return requests that each engine got
  std::vector<unsigned> fill() {
    std::vector<unsigned> Got(Engines);
    PlacementQuery Query;
    Query.Service = Models;
    Query.LatencyObjective = Milliseconds(600);
    Query.Work = {200, 0, 20};
    for (unsigned Request = 0; Request < 2'000; ++Request) {
      const PlacementChoice Choice = Placer.choose(Query);
      if (Choice.Upstream == nullptr)
        continue;
      ++Got[std::stoul(Choice.Upstream->Record.Id.Value)];
      UpstreamLoad Load = Query.Work.load(false);
      Load.UnreadPrompt = 0;
      Table.add(Choice.Upstream->Record.Id, Load);
    }
    return Got;
  }
};

} // namespace

class UpstreamSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamSpeedTest);
  CPPUNIT_TEST(workFollowsTheSpeed);
  CPPUNIT_TEST(oldWordStarvesNobody);
  CPPUNIT_TEST(wrongWordNeitherEmptiesNorFloods);
  CPPUNIT_TEST_SUITE_END();

public:
  // Load: more than six engines can do, of which one is slow and one is fast.
  void workFollowsTheSpeed() {
    FakeRouter Router;
    Router.state(0, 2.0);
    Router.state(1, 0.8);
    const auto Got = Router.fill();
    const double Usual = Got[2];
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Got[0] / Usual, 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25, Got[1] / Usual, 0.1);
    CPPUNIT_ASSERT_EQUAL(Got[2], Got[5]);
  }

  // Failure: an engine that nobody asks states nothing new.
  void oldWordStarvesNobody() {
    FakeRouter Router;
    Router.state(0, 4.0);
    Router.Time.advance(Milliseconds(10'000));
    const auto Got = Router.fill();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, double(Got[0]) / Got[2], 0.1);
  }

  // Failure: damaged or hostile statements, also ones that change each time.
  void wrongWordNeitherEmptiesNorFloods() {
    for (const auto &[First, Second] :
         {std::pair(0.0, 0.0), {0.01, 0.01}, {100.0, 100.0}, {0.0, 100.0}}) {
      FakeRouter Router;
      for (int Response = 0; Response < 50; ++Response) {
        Router.Time.advance(Milliseconds(10));
        Router.state(0, Response % 2 == 0 ? First : Second);
      }
      const auto Got = Router.fill();
      CPPUNIT_ASSERT(4.5 * Got[0] >= Got[2]);
      CPPUNIT_ASSERT(Got[0] <= 2.2 * Got[2]);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSpeedTest);

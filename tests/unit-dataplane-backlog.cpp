#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Models("models");
const WorkspaceKey Steady(1);
const WorkspaceKey Gone(2);
constexpr double TokensPerSecond = 100'000;
constexpr double WindowTokens = 4 * TokensPerSecond;
constexpr double RequestTokens = 1'000;

class FakeRequest final : public QueuedRequest {
public:
  void place(const PlacementChoice &) override { Placed = true; }
  void refuse(Refusal, Milliseconds) override { Refused = true; }
  bool Placed = false;
  bool Refused = false;
};

/// A router in front of idle or full engines.
struct TestRouter {
  ManualClock Time;
  SeededRandom Random{3};
  Configuration Config;
  UpstreamTable Table{Time};
  Placement Placer{Table, Time, Random, ZoneId("a"), PlacementSettings()};
  FairShare Shares{Time};
  Admission Queue{Placer, Shares, Time, Random};

  TestRouter() {
    Service Pool;
    Pool.Name = Models;
    Pool.Engine = EngineProfile{16, 400'000, 7, true};
    Config.Services = {Pool};
    Config.Limits.TokensPerSecond = TokensPerSecond;
    Config.index();
    UpstreamRecord Engine;
    Engine.Id = UpstreamId("engine");
    Engine.Service = Models;
    Engine.Address = {asio::ip::make_address("127.0.0.1"), 9'000};
    Engine.Slots = 16;
    Engine.Ready = true;
    Table.update({Engine});
    Placer.configure(Config);
    Time.advance(std::chrono::hours(1));
  }
  /// Sets the requests that run at the engine, as other routers report them.
  void setRunning(double Running) {
    UpstreamLoad Load;
    Load.Running = Running;
    Table.setPeers({{UpstreamKey(stableHash("engine")), Load}});
  }
  std::shared_ptr<FakeRequest> submit(WorkspaceKey Key) {
    auto Request = std::make_shared<FakeRequest>();
    Request->Query.Service = Models;
    Request->Query.Work = {RequestTokens, 0, 10};
    Request->Query.LatencyObjective = Milliseconds(600);
    Request->HasWorkspace = true;
    Request->ShareKey = Key;
    Request->ShareTokens = RequestTokens;
    Request->QueueDeadline = Time.now() + Milliseconds(300);
    Shares.recordDemand(Key, RequestTokens);
    Queue.submit(Request);
    return Request;
  }
};

} // namespace

class BacklogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BacklogTest);
  CPPUNIT_TEST(spareCapacityIsUsedOnceABacklogEnds);
  CPPUNIT_TEST(backlogAtOtherRoutersCounts);
  CPPUNIT_TEST(requestThatFoundRoomIsNoBacklog);
  CPPUNIT_TEST(requestThatNoUpstreamTakesIsNoBacklog);
  CPPUNIT_TEST(limitDoesNotRefuseAfterTheQueueTime);
  CPPUNIT_TEST(exhaustedPoolHasNoSpareCapacity);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against refusing requests while engines have room, because of a
  // workspace that asked for much more than it got and then went away.
  void spareCapacityIsUsedOnceABacklogEnds() {
    TestRouter Router;
    Router.setRunning(16);
    constexpr int Steps = 400;
    unsigned Backlogged = 0;
    unsigned Refused = 0;
    // 2 s in which all engines are full and one workspace floods, then 2 s at
    // half of the engines' slots without it.
    for (int Step = 0; Step < Steps; ++Step) {
      const bool Flooded = Step < Steps / 2;
      if (Step == Steps / 2)
        Router.setRunning(8);
      Router.Shares.recordAdmitted(Steady, 1.3 * RequestTokens);
      if (Flooded)
        for (int Request = 0; Request < 5; ++Request)
          Router.submit(Gone);
      Router.Shares.update(TokensPerSecond);
      const auto Request = Router.submit(Steady);
      Router.Queue.expire();
      Router.Time.advance(Milliseconds(10));
      (Flooded ? Backlogged : Refused) += Request->Refused ? 1 : 0;
    }
    CPPUNIT_ASSERT(Backlogged > 0);
    // The backlog counts for a second.
    CPPUNIT_ASSERT(Refused <= Steps / 4);
  }

  // Guards against taking the spare capacity from a workspace whose callers
  // all use another router.
  void backlogAtOtherRoutersCounts() {
    ManualClock Time;
    FairShare Shares(Time);
    Shares.recordDemand(Steady, 2 * WindowTokens);
    Shares.recordAdmitted(Steady, WindowTokens);
    Shares.recordUnmet(Steady, WindowTokens);
    Shares.setPeers({{Gone, {WindowTokens, WindowTokens / 10, 0}}});
    Shares.update(TokensPerSecond);
    CPPUNIT_ASSERT(Shares.mayExceedShare(Steady));
    Shares.setPeers({{Gone, {WindowTokens, WindowTokens / 10, WindowTokens}}});
    Shares.update(TokensPerSecond);
    CPPUNIT_ASSERT(!Shares.mayExceedShare(Steady));
  }

  // Guards against a backlog of requests that only waited for a moment.
  void requestThatFoundRoomIsNoBacklog() {
    TestRouter Router;
    Router.setRunning(16);
    const auto Request = Router.submit(Gone);
    CPPUNIT_ASSERT(Router.Shares.ownUsage().at(Gone).Unmet > 0);
    Router.setRunning(0);
    Router.Queue.dispatch();
    CPPUNIT_ASSERT(Request->Placed);
    CPPUNIT_ASSERT_EQUAL(0.0, Router.Shares.ownUsage().at(Gone).Unmet);
    // One that waited longer does not hide a refusal that follows.
    Router.setRunning(16);
    const auto Later = Router.submit(Gone);
    Router.Time.advance(Milliseconds(600));
    Router.setRunning(0);
    Router.Queue.dispatch();
    CPPUNIT_ASSERT(Later->Placed);
    Router.Time.advance(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0.0, Router.Shares.ownUsage().at(Gone).Unmet);
  }

  // Guards against holding back others for requests that no upstream may take.
  void requestThatNoUpstreamTakesIsNoBacklog() {
    TestRouter Router;
    Router.Table.update({});
    CPPUNIT_ASSERT(Router.submit(Gone)->Refused);
    CPPUNIT_ASSERT_EQUAL(0.0, Router.Shares.ownUsage().at(Gone).Unmet);
  }

  // Guards against telling a caller the wait for a limit when a dispatch comes
  // between the end of the request's queue time and its expiry.
  void limitDoesNotRefuseAfterTheQueueTime() {
    TestRouter Router;
    const auto &Engine = *Router.Table.find(UpstreamId("engine"));
    Router.Table.limits().recordResponse(Engine.Process, RequestRate(50),
                                         Router.Time.now());
    Router.Time.advance(std::chrono::seconds(5));
    Router.setRunning(16);
    const auto Request = Router.submit(Steady);
    CPPUNIT_ASSERT(!Request->Refused && !Request->Placed);
    Router.Time.advance(Milliseconds(301));
    Router.Queue.dispatch();
    CPPUNIT_ASSERT(!Request->Refused);
    Router.Queue.expire();
    CPPUNIT_ASSERT(Request->Refused);
  }

  // Guards against a workspace that is crowded out at an engine that has room
  // by limits of a stated capacity, while the pool does less than half of that.
  void exhaustedPoolHasNoSpareCapacity() {
    TestRouter Router;
    Router.setRunning(4);
    const WorkspaceUsage LeastServed{0.4 * WindowTokens, 0.02 * WindowTokens,
                                     0.2 * WindowTokens};
    Router.Shares.setPeers(
        {{Gone, LeastServed},
         {Steady,
          {0.5 * WindowTokens, 0.2 * WindowTokens, 0.1 * WindowTokens}}});
    Router.Shares.update(TokensPerSecond);
    const auto Request = Router.submit(Steady);
    CPPUNIT_ASSERT(!Request->Placed && !Request->Refused);
    CPPUNIT_ASSERT(Router.submit(Gone)->Placed);
    // A pool that does what is stated has the capacity that its limits show.
    Router.Shares.setPeers(
        {{Gone, LeastServed},
         {Steady, {WindowTokens, 0.58 * WindowTokens, 0.1 * WindowTokens}}});
    Router.Shares.update(TokensPerSecond);
    Router.Queue.dispatch();
    CPPUNIT_ASSERT(Request->Placed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BacklogTest);

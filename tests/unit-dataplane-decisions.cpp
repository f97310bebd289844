#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <numeric>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr double TokensPerSecond = 96'000;
constexpr unsigned Engines = 4;
const ServiceId Models("models");

Configuration configurationOf() {
  Configuration Config;
  Config.Version = ConfigurationVersion(1);
  Route Chat;
  Chat.Name = "chat";
  Chat.Host = "api.example";
  Chat.PathPrefix = "/chat/";
  Chat.Streaming = Chat.PromptAffinity = true;
  Chat.LatencyObjective = Milliseconds(600);
  Chat.Services = {{Models, 1}};
  Config.Routes.push_back(Chat);
  Chat.Name = "chat-special";
  Chat.PathPrefix = "/chat/special/";
  Config.Routes.push_back(Chat);
  Service Pool;
  Pool.Name = Models;
  Pool.Engine = EngineProfile{64, 500'000, 6, true};
  Config.Services.push_back(Pool);
  Config.Workspaces.push_back({WorkspaceId("desk"), {"key-a", "key-b"}, {}});
  Config.Limits.TokensPerSecond = TokensPerSecond;
  Config.index();
  return Config;
}

std::vector<UpstreamRecord> engines(unsigned Count = Engines) {
  std::vector<UpstreamRecord> List;
  for (unsigned Index = 0; Index < Count; ++Index) {
    UpstreamRecord Record;
    Record.Id = UpstreamId("engine-" + std::to_string(Index));
    Record.Service = Models;
    Record.Address = {asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(9'000 + Index)};
    Record.Slots = 64;
    Record.Ready = true;
    List.push_back(Record);
  }
  return List;
}

PlacementQuery query(std::optional<std::uint64_t> Affinity,
                     double Prompt = 1'000) {
  PlacementQuery Query;
  Query.Service = Models;
  Query.Affinity = Affinity;
  Query.Work = {Prompt, 4'000, 200};
  Query.LatencyObjective = Milliseconds(600);
  return Query;
}

/// Records whether a request was placed or refused.
class FakeQueuedRequest final : public QueuedRequest {
public:
  void place(const PlacementChoice &Choice) override {
    Placed = Choice.Upstream->Record.Id;
    if (Table != nullptr)
      Table->add(Placed, Query.Work.load(Choice.PrefixCached));
  }
  void refuse(Refusal Reason, Milliseconds RetryAfter) override {
    Refused = Reason;
    RetryDelay = RetryAfter;
  }

  UpstreamTable *Table = nullptr;
  UpstreamId Placed;
  std::optional<Refusal> Refused;
  Milliseconds RetryDelay{};
};

struct TestRouter {
  ManualClock Time;
  Configuration Config = configurationOf();
  UpstreamTable Table{Time};
  SeededRandom Random;
  Placement Placer{Table, Time, Random, ZoneId("a"), PlacementSettings()};
  FairShare Shares{Time};
  Admission Queue{Placer, Shares, Time, Random};

  explicit TestRouter(std::uint64_t Seed = 1) : Random(Seed) {
    Table.update(engines());
    Placer.configure(Config);
  }

  std::shared_ptr<FakeQueuedRequest> submit(const std::string &Workspace,
                                            double Prompt, double Tokens) {
    auto Request = std::make_shared<FakeQueuedRequest>();
    Request->Table = &Table;
    Request->Query = query(std::nullopt, Prompt);
    Request->HasWorkspace = true;
    Request->ShareKey = WorkspaceKey(stableHash(Workspace));
    Request->ShareTokens = Tokens;
    Request->Arrived = Time.now();
    Request->QueueDeadline = Time.now() + Milliseconds(300);
    Shares.recordDemand(Request->ShareKey, Tokens);
    Queue.submit(Request);
    return Request;
  }

  void fillEngines() {
    for (const UpstreamRecord &Engine : engines()) {
      UpstreamLoad Load;
      Load.Running = 50;
      Load.RecentWork = 2 * Placer.workLimit();
      Table.add(Engine.Id, Load);
    }
  }
};

} // namespace

class DataplaneDecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneDecisionsTest);
  CPPUNIT_TEST(longestPrefixSelectsTheRoute);
  CPPUNIT_TEST(maxMinLevelUsesTheWholeCapacity);
  CPPUNIT_TEST(placementAgreesAcrossRouters);
  CPPUNIT_TEST(routersWithEqualReportsDoNotHerd);
  CPPUNIT_TEST(onlyUpstreamWithCapacityIsNotFlooded);
  CPPUNIT_TEST(cachedPrefixIsFetchedFromBusyUpstream);
  CPPUNIT_TEST(unreadyAndFailedUpstreamsGetNoRequests);
  CPPUNIT_TEST(recentWorkIsLimitedPerEngine);
  CPPUNIT_TEST(longPromptsAreNotStarvedByShortOnes);
  CPPUNIT_TEST(floodingWorkspaceIsRefusedAtOnce);
  CPPUNIT_TEST(leastServedWorkspaceGetsSpareCapacityFirst);
  CPPUNIT_TEST(lastCapacityIsReservedForTheLeastServed);
  CPPUNIT_TEST(fullQueueKeepsTheLeastServed);
  CPPUNIT_TEST(sharesDoNotLeaveCapacityIdle);
  CPPUNIT_TEST(retryDelayFitsTheLatencyObjective);
  CPPUNIT_TEST(queuedRequestIsRefusedAfterItsQueueTime);
  CPPUNIT_TEST(requestPastItsQueueTimeFindsNoRoom);
  CPPUNIT_TEST(lateFirstEventsReduceTheWorkLimit);
  CPPUNIT_TEST(routersConvergeOnTheWorkLimit);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against matching a request to the wrong route when path prefixes
  // overlap.
  void longestPrefixSelectsTheRoute() {
    const Configuration Config = configurationOf();
    CPPUNIT_ASSERT_EQUAL(
        std::string("chat-special"),
        Config.match("API.example:80", "/chat/special/x")->Name);
    CPPUNIT_ASSERT_EQUAL(std::string("chat"),
                         Config.match("api.example", "/chat/specialx")->Name);
    CPPUNIT_ASSERT(Config.match("api.example", "/cha") == nullptr);
    CPPUNIT_ASSERT(Config.match("other.example", "/chat/x") == nullptr);
    CPPUNIT_ASSERT(Config.findWorkspaceByKey("key-b") != nullptr);
    CPPUNIT_ASSERT(Config.findWorkspaceByKey("key-c") == nullptr);
  }

  // Guards against shares that do not add up to the capacity.
  void maxMinLevelUsesTheWholeCapacity() {
    const bool Holds = rc::check([](const std::vector<std::uint16_t> &Samples) {
      const std::vector<double> Demands(Samples.begin(), Samples.end());
      constexpr double Capacity = 50'000;
      const double Level = maxMinLevel(Demands, Capacity);
      double Allocated = 0;
      for (const double Demand : Demands)
        Allocated += std::min(Demand, Level);
      const double Sum = std::accumulate(Demands.begin(), Demands.end(), 0.0);
      RC_ASSERT(std::abs(Allocated - std::min(Sum, Capacity)) <
                1e-6 * Capacity);
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against routers that rank upstreams differently and so spread one
  // session over several engines, which loses its cached prompt prefix.
  void placementAgreesAcrossRouters() {
    TestRouter First;
    TestRouter Second;
    for (std::uint64_t Session = 1; Session < 100; ++Session) {
      const auto Left = First.Placer.choose(query(Session));
      const auto Right = Second.Placer.choose(query(Session));
      CPPUNIT_ASSERT(Left.Upstream->Record.Id == Right.Upstream->Record.Id);
      CPPUNIT_ASSERT(Left.PrefixCached);
    }
  }

  // Guards against a thundering herd: between two reports all routers see the
  // same loads and would select the same least loaded upstream.
  void routersWithEqualReportsDoNotHerd() {
    constexpr std::uint64_t Routers = 60;
    std::map<UpstreamId, unsigned> Chosen;
    for (std::uint64_t Router = 0; Router < Routers; ++Router) {
      TestRouter Node(Router);
      UpstreamLoad OtherLoad;
      OtherLoad.Running = 5;
      OtherLoad.RecentWork = 100;
      for (unsigned Index = 1; Index < Engines; ++Index)
        Node.Table.add(engines()[Index].Id, OtherLoad);
      ++Chosen[Node.Placer.choose(query(std::nullopt)).Upstream->Record.Id];
    }
    for (const auto &[Id, Count] : Chosen)
      CPPUNIT_ASSERT(Count < Routers * 3 / 4);
  }

  // Guards against overloading the only upstream with capacity: all routers see
  // it in the same delayed reports and would send to it at once.
  void onlyUpstreamWithCapacityIsNotFlooded() {
    constexpr std::uint64_t Routers = 60;
    constexpr unsigned ManyEngines = 40;
    unsigned Sent = 0;
    for (std::uint64_t Router = 0; Router < Routers; ++Router) {
      TestRouter Node(Router);
      Node.Table.update(engines(ManyEngines));
      Node.Placer.configure(Node.Config);
      UpstreamLoad Full;
      Full.Running = 50;
      Full.RecentWork = 2 * Node.Placer.workLimit();
      for (unsigned Index = 1; Index < ManyEngines; ++Index)
        Node.Table.add(engines(ManyEngines)[Index].Id, Full);
      if (Node.Placer.choose(query(std::nullopt)).Upstream != nullptr)
        ++Sent;
    }
    // One request from each router would exceed its capacity several times.
    CPPUNIT_ASSERT(Sent <= Routers / 4);
  }

  // Guards against a repeated prefill of a shared prefix when the upstream that
  // has it cached is busy: another upstream has to fetch it from there.
  void cachedPrefixIsFetchedFromBusyUpstream() {
    TestRouter Node;
    const auto Preferred = Node.Placer.choose(query(7));
    UpstreamLoad Busy;
    Busy.RecentWork = 2 * Node.Placer.workLimit();
    Node.Table.add(Preferred.Upstream->Record.Id, Busy);
    const auto Other = Node.Placer.choose(query(7));
    CPPUNIT_ASSERT(Other.Upstream != Preferred.Upstream);
    CPPUNIT_ASSERT(Other.FetchFrom == Preferred.Upstream);
  }

  // Guards against requests sent to an upstream that is shutting down or has
  // just failed.
  void unreadyAndFailedUpstreamsGetNoRequests() {
    TestRouter Node;
    auto List = engines();
    for (unsigned Index = 0; Index + 1 < Engines; ++Index)
      List[Index].Ready = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t(Engines - 1),
                         Node.Table.update(List).size());
    const UpstreamId Last = List.back().Id;
    CPPUNIT_ASSERT(Node.Placer.choose(query(7)).Upstream->Record.Id == Last);
    Node.Table.failed(Last);
    CPPUNIT_ASSERT(Node.Placer.choose(query(7)).Upstream == nullptr);
    Node.Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT(Node.Placer.choose(query(7)).Upstream->Record.Id == Last);
  }

  // Guards against streams that miss their time limit because their engine gets
  // prompts without interruption and has no time left for decoding.
  void recentWorkIsLimitedPerEngine() {
    TestRouter Node;
    double SentWork = 0;
    while (true) {
      const auto Choice = Node.Placer.choose(query(std::nullopt, 6'000));
      if (Choice.Upstream == nullptr)
        break;
      UpstreamLoad Load = query(std::nullopt, 6'000).Work.load(false);
      Load.UnreadPrompt = 0;
      Node.Table.add(Choice.Upstream->Record.Id, Load);
      SentWork += Load.RecentWork;
      CPPUNIT_ASSERT(SentWork < 10 * Engines * Node.Placer.workLimit());
    }
    const double Largest =
        query(std::nullopt, 6'000).Work.load(false).RecentWork;
    CPPUNIT_ASSERT(SentWork <= Engines * (Node.Placer.workLimit() + Largest));
    Node.Time.advance(2 * RecentWorkDecayTime);
    CPPUNIT_ASSERT(Node.Placer.choose(query(std::nullopt)).Upstream != nullptr);
  }

  // Guards against starvation of long prompts: at the same load an upstream has
  // to accept long prompts as well as short ones.
  void longPromptsAreNotStarvedByShortOnes() {
    TestRouter Node;
    for (const UpstreamRecord &Engine : engines()) {
      UpstreamLoad Load;
      Load.RecentWork = 0.45 * Node.Placer.workLimit();
      Node.Table.add(Engine.Id, Load);
    }
    CPPUNIT_ASSERT(Node.Placer.choose(query(std::nullopt, 100)).Upstream);
    CPPUNIT_ASSERT(Node.Placer.choose(query(std::nullopt, 50'000)).Upstream);
  }

  // Guards against a flooding workspace that takes the share of others, or
  // whose requests are queued until they time out.
  void floodingWorkspaceIsRefusedAtOnce() {
    TestRouter Node;
    Node.fillEngines();
    const double Window = 4 * TokensPerSecond;
    Node.Shares.recordDemand(WorkspaceKey(stableHash("flood")), 3 * Window);
    Node.Shares.recordAdmitted(WorkspaceKey(stableHash("flood")), Window);
    Node.Shares.recordDemand(WorkspaceKey(stableHash("small")), Window / 10);
    Node.Shares.update(TokensPerSecond);
    const auto Flood = Node.submit("flood", 1'000, 1'000);
    CPPUNIT_ASSERT(Flood->Refused == Refusal::ShareUsedUp);
    const auto Small = Node.submit("small", 1'000, 1'000);
    CPPUNIT_ASSERT(!Small->Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Node.Queue.waiting());
  }

  // Guards against spare capacity going to a backlogged workspace that is far
  // ahead of another backlogged one.
  void leastServedWorkspaceGetsSpareCapacityFirst() {
    TestRouter Node;
    const double Window = 4 * TokensPerSecond;
    const WorkspaceKey Ahead(stableHash("ahead"));
    const WorkspaceKey Behind(stableHash("behind"));
    for (const WorkspaceKey Key : {Ahead, Behind}) {
      Node.Shares.recordDemand(Key, 2 * Window);
      Node.Shares.recordUnmet(Key, Window);
    }
    Node.Shares.recordAdmitted(Ahead, Window);
    Node.Shares.recordAdmitted(Behind, Window / 3);
    Node.Shares.update(TokensPerSecond);
    CPPUNIT_ASSERT(!Node.Shares.mayExceedShare(Ahead));
    CPPUNIT_ASSERT(Node.Shares.mayExceedShare(Behind));
  }

  // Guards against one router using up the capacity while another router has a
  // backlog: both workspaces are below their share, but one is far behind.
  void lastCapacityIsReservedForTheLeastServed() {
    TestRouter Node;
    const double Window = 4 * TokensPerSecond;
    const WorkspaceKey Ahead(stableHash("ahead"));
    const WorkspaceKey Behind(stableHash("behind"));
    Node.Shares.recordDemand(Ahead, Window);
    Node.Shares.recordDemand(Behind, Window);
    Node.Shares.recordAdmitted(Ahead, 0.45 * Window);
    Node.Shares.recordAdmitted(Behind, 0.1 * Window);
    Node.Shares.recordUnmet(Behind, 0.9 * Window);
    Node.Shares.update(TokensPerSecond);
    for (const UpstreamRecord &Engine : engines()) {
      UpstreamLoad Load;
      Load.RecentWork = 0.9 * Node.Placer.workLimit();
      Node.Table.add(Engine.Id, Load);
    }
    CPPUNIT_ASSERT(Node.submit("ahead", 100, 100)->Placed.empty());
    Node.Queue.stop();
    TestRouter Other;
    CPPUNIT_ASSERT(!Other.submit("ahead", 100, 100)->Placed.empty());
  }

  // Guards against a queue that is full of one workspace's requests and shuts
  // out the others.
  void fullQueueKeepsTheLeastServed() {
    TestRouter Node;
    Node.fillEngines();
    const double Window = 4 * TokensPerSecond;
    Node.Shares.recordDemand(WorkspaceKey(stableHash("ahead")), Window);
    Node.Shares.recordAdmitted(WorkspaceKey(stableHash("ahead")), Window / 4);
    Node.Shares.update(TokensPerSecond);
    std::vector<std::shared_ptr<FakeQueuedRequest>> Ahead;
    while (Ahead.empty() || !Ahead.back()->Refused)
      Ahead.push_back(Node.submit("ahead", 100, 100));
    CPPUNIT_ASSERT(Ahead.back()->Refused == Refusal::QueueFull);
    Ahead.pop_back();
    const auto Behind = Node.submit("behind", 100, 100);
    CPPUNIT_ASSERT(!Behind->Refused);
    CPPUNIT_ASSERT_EQUAL(Ahead.size(), Node.Queue.waiting());
    // The request that arrived last waits the longest.
    CPPUNIT_ASSERT(Ahead.back()->Refused == Refusal::QueueFull);
    CPPUNIT_ASSERT(!Ahead.front()->Refused);
  }

  // Guards against refusing requests because of shares while capacity is idle.
  void sharesDoNotLeaveCapacityIdle() {
    TestRouter Node;
    const double Window = 4 * TokensPerSecond;
    Node.Shares.recordDemand(WorkspaceKey(stableHash("only")), 3 * Window);
    Node.Shares.recordAdmitted(WorkspaceKey(stableHash("only")), 2 * Window);
    Node.Shares.update(TokensPerSecond);
    const auto Request = Node.submit("only", 1'000, 1'000);
    CPPUNIT_ASSERT(!Request->Refused);
    CPPUNIT_ASSERT(!Request->Placed.empty());
  }

  // Guards against a retry delay with which the caller can no longer meet its
  // latency objective.
  void retryDelayFitsTheLatencyObjective() {
    TestRouter Node;
    Node.Queue.stop();
    Node.Table.update({});
    TestRouter Empty;
    Empty.Table.update({});
    for (int Round = 0; Round < 50; ++Round) {
      const auto Request = Empty.submit("desk", 1'000, 1'000);
      CPPUNIT_ASSERT(Request->Refused == Refusal::NoUpstream);
      CPPUNIT_ASSERT(Request->RetryDelay <= Milliseconds(300));
      CPPUNIT_ASSERT(Request->RetryDelay >= Milliseconds(100));
    }
  }

  // Guards against a request that stays queued until its deadline.
  void queuedRequestIsRefusedAfterItsQueueTime() {
    TestRouter Node;
    Node.fillEngines();
    const auto Request = Node.submit("desk", 1'000, 1'000);
    CPPUNIT_ASSERT(!Request->Refused);
    Node.Time.advance(Milliseconds(301));
    Node.Queue.expire();
    CPPUNIT_ASSERT(Request->Refused == Refusal::NoRoom);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Node.Queue.waiting());
  }

  // Guards against telling a caller that all upstreams pause, when a dispatch
  // comes between the end of the request's queue time and its expiry.
  void requestPastItsQueueTimeFindsNoRoom() {
    TestRouter Node;
    Node.fillEngines();
    const auto Request = Node.submit("desk", 1'000, 1'000);
    Node.Time.advance(Milliseconds(301));
    Node.Queue.dispatch();
    CPPUNIT_ASSERT(!Request->Refused);
    Node.Queue.expire();
    CPPUNIT_ASSERT(Request->Refused == Refusal::NoRoom);
  }

  // Guards against permanent overload of engines that are slower than their
  // stated capacity.
  void lateFirstEventsReduceTheWorkLimit() {
    TestRouter Node;
    const double Full = Node.Placer.workLimit();
    for (int Request = 0; Request < 200; ++Request)
      Node.Placer.recordFirstEvent(false);
    Node.Placer.workLimitController().setPeers(0, 0);
    CPPUNIT_ASSERT(Node.Placer.workLimit() < 0.5 * Full);
    CPPUNIT_ASSERT(Node.Placer.workLimit() > 0.2 * Full);
    for (int Request = 0; Request < 1'000; ++Request)
      Node.Placer.recordFirstEvent(true);
    Node.Placer.workLimitController().setPeers(0, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Full, Node.Placer.workLimit(), 0.01 * Full);
  }

  // Guards against routers that keep different work limits, with which the
  // service of a workspace would depend on the router that it uses.
  void routersConvergeOnTheWorkLimit() {
    constexpr int Rounds = 100;
    WorkLimitController Slow;
    WorkLimitController Quick;
    for (int Round = 0; Round < Rounds; ++Round) {
      Slow.sample(false);
      Quick.sample(true);
      const double SlowOwn = Slow.own();
      Slow.setPeers(Quick.own(), 1);
      Quick.setPeers(SlowOwn, 1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Slow.factor(), Quick.factor(), 0.02);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneDecisionsTest);

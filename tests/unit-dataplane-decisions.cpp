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
  for (unsigned At = 0; At < Count; ++At) {
    UpstreamRecord Record;
    Record.Id = UpstreamId("engine-" + std::to_string(At));
    Record.Service = Models;
    Record.Address = {asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(9'000 + At)};
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

/// Records what happened to a request.
class FakeWaiter final : public Waiter {
public:
  void place(const PlacementChoice &Where) override {
    Placed = Where.Upstream->Record.Id;
    if (Table != nullptr)
      Table->add(Placed, Query.Work.load(Where.PartsKept));
  }
  void refuse(Refusal Reason, Milliseconds RetryAfter) override {
    Refused = Reason;
    Return = RetryAfter;
  }

  UpstreamTable *Table = nullptr;
  UpstreamId Placed;
  std::optional<Refusal> Refused;
  Milliseconds Return{};
};

struct World {
  ManualClock Time;
  Configuration Config = configurationOf();
  UpstreamTable Table{Time};
  SeededRandom Random;
  Placement Places{Table, Time, Random, ZoneId("a"), PlacementSettings()};
  FairShare Shares{Time};
  Admission Queue{Places, Shares, Time, Random};

  explicit World(std::uint64_t Seed = 1) : Random(Seed) {
    Table.update(engines());
    Places.configure(Config);
  }

  std::shared_ptr<FakeWaiter> submit(const std::string &Workspace,
                                     double Prompt, double Tokens) {
    auto Request = std::make_shared<FakeWaiter>();
    Request->Table = &Table;
    Request->Query = query(std::nullopt, Prompt);
    Request->HasWorkspace = true;
    Request->Who = WorkspaceKey(stableHash(Workspace));
    Request->ShareTokens = Tokens;
    Request->Arrived = Time.now();
    Request->GiveUpAt = Time.now() + Milliseconds(300);
    Shares.asked(Request->Who, Tokens);
    Queue.submit(Request);
    return Request;
  }

  void fillEngines() {
    for (const UpstreamRecord &Each : engines()) {
      UpstreamLoad Load;
      Load.Running = 50;
      Load.RecentWork = 2 * Places.workLimit();
      Table.add(Each.Id, Load);
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
  CPPUNIT_TEST(lastRoomIsNotRushedInto);
  CPPUNIT_TEST(busyHomeIsAskedForItsParts);
  CPPUNIT_TEST(leavingAndFailedUpstreamsGetNoWork);
  CPPUNIT_TEST(recentWorkLimitsWhatAnEngineIsGiven);
  CPPUNIT_TEST(longPromptsAreNotStarvedByShortOnes);
  CPPUNIT_TEST(floodingWorkspaceIsRefusedAtOnce);
  CPPUNIT_TEST(leastServedWorkspaceGetsSpareCapacityFirst);
  CPPUNIT_TEST(lastCapacityIsKeptForTheLeastServed);
  CPPUNIT_TEST(capacityIsNotLeftIdleForShares);
  CPPUNIT_TEST(refusedCallersMayStillBeOnTime);
  CPPUNIT_TEST(waitingRequestIsGivenUpInTime);
  CPPUNIT_TEST(lateFirstEventsReduceTheWork);
  CPPUNIT_TEST(routersAgreeOnThePace);
  CPPUNIT_TEST(unconfirmedStateIsReadInTime);
  CPPUNIT_TEST(delayedReportsProveNothing);
  CPPUNIT_TEST(overloadedRouterIsNotOffered);
  CPPUNIT_TEST(requestThatCrashesUpstreamsIsIsolated);
  CPPUNIT_TEST(requestThatAlsoFinishesIsNotIsolated);
  CPPUNIT_TEST(repeatsOfTheWholeFleetStayWithinTheBudget);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that runs under another route's rules.
  void longestPrefixSelectsTheRoute() {
    const Configuration Config = configurationOf();
    CPPUNIT_ASSERT_EQUAL(
        std::string("chat-special"),
        Config.match("API.example:80", "/chat/special/x")->Name);
    CPPUNIT_ASSERT_EQUAL(std::string("chat"),
                         Config.match("api.example", "/chat/specialx")->Name);
    CPPUNIT_ASSERT(Config.match("api.example", "/cha") == nullptr);
    CPPUNIT_ASSERT(Config.match("other.example", "/chat/x") == nullptr);
    CPPUNIT_ASSERT(Config.workspaceOf("key-b") != nullptr);
    CPPUNIT_ASSERT(Config.workspaceOf("key-c") == nullptr);
  }

  // Guards against shares that add up to less or more than the capacity.
  void maxMinLevelUsesTheWholeCapacity() {
    const bool Holds = rc::check([](const std::vector<std::uint16_t> &Demands) {
      const std::vector<double> Asked(Demands.begin(), Demands.end());
      constexpr double Capacity = 50'000;
      const double Level = maxMinLevel(Asked, Capacity);
      double Owed = 0;
      for (const double Each : Asked)
        Owed += std::min(Each, Level);
      const double Sum = std::accumulate(Asked.begin(), Asked.end(), 0.0);
      RC_ASSERT(std::abs(Owed - std::min(Sum, Capacity)) < 1e-6 * Capacity);
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against routers that spread one session over several engines.
  void placementAgreesAcrossRouters() {
    World First;
    World Second;
    for (std::uint64_t Session = 1; Session < 100; ++Session) {
      const auto Left = First.Places.choose(query(Session));
      const auto Right = Second.Places.choose(query(Session));
      CPPUNIT_ASSERT(Left.Upstream->Record.Id == Right.Upstream->Record.Id);
      CPPUNIT_ASSERT(Left.PartsKept);
    }
  }

  // Guards against one upstream flooded by all routers between two reports.
  void routersWithEqualReportsDoNotHerd() {
    constexpr std::uint64_t Routers = 60;
    std::map<UpstreamId, unsigned> Chosen;
    for (std::uint64_t Router = 0; Router < Routers; ++Router) {
      World W(Router);
      UpstreamLoad Some;
      Some.Running = 5;
      Some.RecentWork = 100;
      for (unsigned At = 1; At < Engines; ++At)
        W.Table.add(engines()[At].Id, Some);
      ++Chosen[W.Places.choose(query(std::nullopt)).Upstream->Record.Id];
    }
    for (const auto &[Id, Count] : Chosen)
      CPPUNIT_ASSERT(Count < Routers * 3 / 4);
  }

  // Guards against an upstream that gets the requests of all routers because
  // it is the only one with room in their equal, late reports.
  void lastRoomIsNotRushedInto() {
    constexpr std::uint64_t Routers = 60;
    constexpr unsigned ManyEngines = 40;
    unsigned Sent = 0;
    for (std::uint64_t Router = 0; Router < Routers; ++Router) {
      World W(Router);
      W.Table.update(engines(ManyEngines));
      W.Places.configure(W.Config);
      UpstreamLoad Full;
      Full.Running = 50;
      Full.RecentWork = 2 * W.Places.workLimit();
      for (unsigned At = 1; At < ManyEngines; ++At)
        W.Table.add(engines(ManyEngines)[At].Id, Full);
      if (W.Places.choose(query(std::nullopt)).Upstream != nullptr)
        ++Sent;
    }
    // One request of each router would be several times what it can take.
    CPPUNIT_ASSERT(Sent <= Routers / 4);
  }

  // Guards against shared parts read again when their home is busy.
  void busyHomeIsAskedForItsParts() {
    World W;
    const auto Home = W.Places.choose(query(7));
    UpstreamLoad Busy;
    Busy.RecentWork = 2 * W.Places.workLimit();
    W.Table.add(Home.Upstream->Record.Id, Busy);
    const auto Other = W.Places.choose(query(7));
    CPPUNIT_ASSERT(Other.Upstream != Home.Upstream);
    CPPUNIT_ASSERT(Other.FetchFrom == Home.Upstream);
  }

  // Guards against work sent to an upstream that leaves or has just failed.
  void leavingAndFailedUpstreamsGetNoWork() {
    World W;
    auto List = engines();
    for (unsigned At = 0; At + 1 < Engines; ++At)
      List[At].Ready = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t(Engines - 1), W.Table.update(List).size());
    const UpstreamId Last = List.back().Id;
    CPPUNIT_ASSERT(W.Places.choose(query(7)).Upstream->Record.Id == Last);
    W.Table.failed(Last);
    CPPUNIT_ASSERT(W.Places.choose(query(7)).Upstream == nullptr);
    W.Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT(W.Places.choose(query(7)).Upstream->Record.Id == Last);
  }

  // Guards against streams that miss their time limit because their engine is
  // given prompts without pause.
  void recentWorkLimitsWhatAnEngineIsGiven() {
    World W;
    double Given = 0;
    while (true) {
      const auto Choice = W.Places.choose(query(std::nullopt, 6'000));
      if (Choice.Upstream == nullptr)
        break;
      UpstreamLoad Load = query(std::nullopt, 6'000).Work.load(false);
      Load.UnreadPrompt = 0;
      W.Table.add(Choice.Upstream->Record.Id, Load);
      Given += Load.RecentWork;
      CPPUNIT_ASSERT(Given < 10 * Engines * W.Places.workLimit());
    }
    const double Largest =
        query(std::nullopt, 6'000).Work.load(false).RecentWork;
    CPPUNIT_ASSERT(Given <= Engines * (W.Places.workLimit() + Largest));
    W.Time.advance(2 * RecentSpan);
    CPPUNIT_ASSERT(W.Places.choose(query(std::nullopt)).Upstream != nullptr);
  }

  // Guards against long prompts refused where short ones are accepted.
  void longPromptsAreNotStarvedByShortOnes() {
    World W;
    for (const UpstreamRecord &Each : engines()) {
      UpstreamLoad Load;
      Load.RecentWork = 0.45 * W.Places.workLimit();
      W.Table.add(Each.Id, Load);
    }
    CPPUNIT_ASSERT(W.Places.choose(query(std::nullopt, 100)).Upstream);
    CPPUNIT_ASSERT(W.Places.choose(query(std::nullopt, 50'000)).Upstream);
  }

  // Guards against a flood that takes the share of others, or waits in vain.
  void floodingWorkspaceIsRefusedAtOnce() {
    World W;
    W.fillEngines();
    const double Window = 4 * TokensPerSecond;
    W.Shares.asked(WorkspaceKey(stableHash("flood")), 3 * Window);
    W.Shares.admitted(WorkspaceKey(stableHash("flood")), Window);
    W.Shares.asked(WorkspaceKey(stableHash("small")), Window / 10);
    W.Shares.update(TokensPerSecond);
    const auto Flood = W.submit("flood", 1'000, 1'000);
    CPPUNIT_ASSERT(Flood->Refused == Refusal::ShareUsedUp);
    const auto Small = W.submit("small", 1'000, 1'000);
    CPPUNIT_ASSERT(!Small->Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), W.Queue.waiting());
  }

  // Guards against one backlogged workspace far ahead of another.
  void leastServedWorkspaceGetsSpareCapacityFirst() {
    World W;
    const double Window = 4 * TokensPerSecond;
    const WorkspaceKey Ahead(stableHash("ahead"));
    const WorkspaceKey Behind(stableHash("behind"));
    for (const WorkspaceKey Who : {Ahead, Behind})
      W.Shares.asked(Who, 2 * Window);
    W.Shares.admitted(Ahead, Window);
    W.Shares.admitted(Behind, Window / 3);
    W.Shares.update(TokensPerSecond);
    CPPUNIT_ASSERT(!W.Shares.mayExceed(Ahead));
    CPPUNIT_ASSERT(W.Shares.mayExceed(Behind));
  }

  // Guards against a backlog in one router that others outrun: both
  // workspaces are below their share, but one is far behind the other.
  void lastCapacityIsKeptForTheLeastServed() {
    World W;
    const double Window = 4 * TokensPerSecond;
    const WorkspaceKey Ahead(stableHash("ahead"));
    const WorkspaceKey Behind(stableHash("behind"));
    W.Shares.asked(Ahead, Window);
    W.Shares.asked(Behind, Window);
    W.Shares.admitted(Ahead, 0.45 * Window);
    W.Shares.admitted(Behind, 0.1 * Window);
    W.Shares.update(TokensPerSecond);
    for (const UpstreamRecord &Each : engines()) {
      UpstreamLoad Load;
      Load.RecentWork = 0.9 * W.Places.workLimit();
      W.Table.add(Each.Id, Load);
    }
    CPPUNIT_ASSERT(W.submit("ahead", 100, 100)->Placed.empty());
    W.Queue.stop();
    World Other;
    CPPUNIT_ASSERT(!Other.submit("ahead", 100, 100)->Placed.empty());
  }

  // Guards against capacity that idles while work is refused.
  void capacityIsNotLeftIdleForShares() {
    World W;
    const double Window = 4 * TokensPerSecond;
    W.Shares.asked(WorkspaceKey(stableHash("only")), 3 * Window);
    W.Shares.admitted(WorkspaceKey(stableHash("only")), 2 * Window);
    W.Shares.update(TokensPerSecond);
    const auto Request = W.submit("only", 1'000, 1'000);
    CPPUNIT_ASSERT(!Request->Refused);
    CPPUNIT_ASSERT(!Request->Placed.empty());
  }

  // Guards against sending callers away for longer than they can be on time.
  void refusedCallersMayStillBeOnTime() {
    World W;
    W.Queue.stop();
    W.Table.update({});
    World Empty;
    Empty.Table.update({});
    for (int Round = 0; Round < 50; ++Round) {
      const auto Request = Empty.submit("desk", 1'000, 1'000);
      CPPUNIT_ASSERT(Request->Refused == Refusal::NoUpstream);
      CPPUNIT_ASSERT(Request->Return <= Milliseconds(300));
      CPPUNIT_ASSERT(Request->Return >= Milliseconds(100));
    }
  }

  // Guards against a request held until its deadline.
  void waitingRequestIsGivenUpInTime() {
    World W;
    W.fillEngines();
    const auto Request = W.submit("desk", 1'000, 1'000);
    CPPUNIT_ASSERT(!Request->Refused);
    W.Time.advance(Milliseconds(301));
    W.Queue.expire();
    CPPUNIT_ASSERT(Request->Refused == Refusal::NoRoom);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), W.Queue.waiting());
  }

  // Guards against engines that stay overfilled because they are slower than
  // their stated capacity.
  void lateFirstEventsReduceTheWork() {
    World W;
    const double Full = W.Places.workLimit();
    for (int Request = 0; Request < 200; ++Request)
      W.Places.firstEvent(false);
    W.Places.pace().setPeers(0, 0);
    CPPUNIT_ASSERT(W.Places.workLimit() < 0.5 * Full);
    CPPUNIT_ASSERT(W.Places.workLimit() > 0.2 * Full);
    for (int Request = 0; Request < 1'000; ++Request)
      W.Places.firstEvent(true);
    W.Places.pace().setPeers(0, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Full, W.Places.workLimit(), 0.01 * Full);
  }

  // Guards against workspaces whose service depends on the router they use.
  void routersAgreeOnThePace() {
    constexpr int Rounds = 100;
    PaceControl Slow;
    PaceControl Quick;
    for (int Round = 0; Round < Rounds; ++Round) {
      Slow.sample(false);
      Quick.sample(true);
      const double SlowOwn = Slow.own();
      Slow.setPeers(Quick.own(), 1);
      Quick.setPeers(SlowOwn, 1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Slow.factor(), Quick.factor(), 0.02);
  }

  // Guards against a router that learns too late that an upstream leaves,
  // because the routers that read the store cannot reach it.
  void unconfirmedStateIsReadInTime() {
    constexpr Milliseconds Bound{2'000};
    constexpr Milliseconds Step{200};
    constexpr Milliseconds SlowAnswer{300};
    constexpr std::size_t NotAReader = ReadingPolicy::Readers;
    ManualClock Time;
    ReadingPolicy Policy(Bound);
    Policy.readAt(Time.now());
    const TimePoint Start = Time.now();
    while (!Policy.shouldRead(Time.now(), NotAReader))
      Time.advance(Step);
    CPPUNIT_ASSERT(Time.now() + Step + SlowAnswer - Start < Bound);
    // Reports that confirm the state make own readings needless.
    Policy.confirmed(Time.now(), Milliseconds(100));
    CPPUNIT_ASSERT(!Policy.shouldRead(Time.now(), NotAReader));
    CPPUNIT_ASSERT(Policy.shouldRead(Time.now(), 0));
    // A report from before the own reading is no reason to read again.
    Policy.readAt(Time.now());
    Time.advance(Step);
    CPPUNIT_ASSERT(!Policy.isNewer(Time.now(), 2 * Step));
    CPPUNIT_ASSERT(Policy.isNewer(Time.now(), Step / 2));
    // A store that fails is not asked by all routers with each look.
    Time.advance(2 * Bound);
    Policy.failedAt(Time.now());
    CPPUNIT_ASSERT(Policy.shouldRead(Time.now(), 0));
    CPPUNIT_ASSERT(!Policy.shouldRead(Time.now(), NotAReader));
    Time.advance(Bound / 2);
    CPPUNIT_ASSERT(Policy.shouldRead(Time.now(), NotAReader));
  }

  // Guards against a withdrawn key accepted on the word of old datagrams.
  void delayedReportsProveNothing() {
    ManualClock Time;
    ReadingPolicy Policy(Milliseconds(2'000));
    Policy.readAt(Time.now());
    const TimePoint Read = Time.now();
    Time.advance(std::chrono::seconds(4));
    Policy.confirmed(Time.now(), Milliseconds(100));
    CPPUNIT_ASSERT(Policy.provenAt() == Read);
    CPPUNIT_ASSERT(Policy.shouldRead(Time.now(), ReadingPolicy::Readers));
  }

  // Guards against callers sent to a router that cannot keep up.
  void overloadedRouterIsNotOffered() {
    ManualClock Time;
    OverloadDetector Overload;
    Overload.sample(Milliseconds(5), Time.now());
    CPPUNIT_ASSERT(!Overload.refusing());
    for (int Round = 0; Round < 4; ++Round)
      Overload.sample(Milliseconds(150), Time.now());
    CPPUNIT_ASSERT(Overload.refusing());
    CPPUNIT_ASSERT(Overload.shunned(Time.now()));
    for (int Round = 0; Round < 8; ++Round)
      Overload.sample(Milliseconds(0), Time.now());
    CPPUNIT_ASSERT(!Overload.refusing());
    CPPUNIT_ASSERT(Overload.shunned(Time.now()));
    Time.advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT(!Overload.shunned(Time.now()));
  }

  // Guards against a storm of repeats after upstreams fail.
  void repeatsOfTheWholeFleetStayWithinTheBudget() {
    constexpr std::size_t Routers = 8;
    constexpr double Ratio = 0.2;
    constexpr double Slack = 56;
    constexpr int WindowSeconds = 10;
    const bool Holds = rc::check([&](std::uint8_t Requests) {
      ManualClock Time;
      std::vector<RetryAllowance> All;
      for (std::size_t At = 0; At < Routers; ++At) {
        All.emplace_back(
            RetryBounds{Ratio, Slack, std::chrono::seconds(WindowSeconds)},
            Time);
        All.back().setRouters(Routers);
      }
      const std::size_t PerSecond = Requests / 8U;
      double Repeats = 0;
      for (int Second = 0; Second < WindowSeconds; ++Second) {
        for (RetryAllowance &Each : All) {
          for (std::size_t At = 0; At < PerSecond; ++At)
            Each.request(Models);
          while (Each.take(Models))
            ++Repeats;
        }
        Time.advance(std::chrono::seconds(1));
      }
      const auto Sent =
          static_cast<double>(PerSecond * Routers * WindowSeconds);
      RC_ASSERT(Repeats <= Ratio * Sent + Slack);
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against a request that takes one upstream after the other away: its
  // caller sends it to a different router each time.
  void requestThatCrashesUpstreamsIsIsolated() {
    ManualClock Time;
    const RequestPrint Print = printOf("desk", "POST", "/chat/1", "body");
    const RequestPrint Other = printOf("desk", "POST", "/chat/1", "bodz");
    CrashHistory First(Time);
    CrashHistory Second(Time);
    First.interrupted(Print);
    First.interrupted(Print);
    CPPUNIT_ASSERT(!First.isolated(Print));
    Second.setPeers(First.own());
    Second.interrupted(Print);
    First.setPeers(Second.own());
    CPPUNIT_ASSERT(First.isolated(Print) && Second.isolated(Print));
    CPPUNIT_ASSERT(!First.isolated(Other) && !Second.isolated(Other));
    // The table stays bounded, and a crash of many requests leaves it there.
    for (std::uint64_t At = 0; At < 10 * CrashHistory::MostPrints; ++At)
      First.interrupted(RequestPrint(At));
    CPPUNIT_ASSERT(First.own().size() <= CrashHistory::MostPrints);
    CPPUNIT_ASSERT(First.isolated(Print));
    Time.advance(CrashHistory::RememberFor + Milliseconds(1));
    First.setPeers(Second.own());
    CPPUNIT_ASSERT(!First.isolated(Print));
  }

  // Guards against refusing a common request because upstreams crashed while
  // it ran beside the cause.
  void requestThatAlsoFinishesIsNotIsolated() {
    ManualClock Time;
    const RequestPrint Print = printOf("desk", "GET", "/status", "");
    CrashHistory First(Time);
    CrashHistory Second(Time);
    for (int At = 0; At < 5; ++At)
      First.interrupted(Print);
    Second.setPeers(First.own());
    CPPUNIT_ASSERT(Second.isolated(Print));
    Second.finished(Print);
    First.setPeers(Second.own());
    CPPUNIT_ASSERT(!First.isolated(Print) && !Second.isolated(Print));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneDecisionsTest);

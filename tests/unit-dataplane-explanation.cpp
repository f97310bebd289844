#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <map>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Models("models");
constexpr unsigned Engines = 6;
constexpr Milliseconds Objective{600};
constexpr double Tokens = 2'000;

Configuration configuration(bool IsEngine) {
  Configuration Config;
  Config.Version = ConfigurationVersion(3);
  Route Chat;
  Chat.Name = "chat";
  Chat.Host = "api.example";
  Chat.PathPrefix = "/chat/";
  Chat.Streaming = Chat.PromptAffinity = true;
  Chat.LatencyObjective = Objective;
  Chat.Services = {{Models, 1}};
  Config.Routes.push_back(Chat);
  Service Pool;
  Pool.Name = Models;
  if (IsEngine)
    Pool.Engine = EngineProfile{64, 500'000, 6, true};
  Config.Services.push_back(Pool);
  Config.Limits.TokensPerSecond = 96'000;
  Config.index();
  return Config;
}

std::vector<UpstreamRecord> engines() {
  std::vector<UpstreamRecord> List;
  for (unsigned Index = 0; Index < Engines; ++Index) {
    UpstreamRecord Record;
    Record.Id = UpstreamId("engine-" + std::to_string(Index));
    Record.Service = Models;
    Record.Zone = ZoneId(Index % 2 == 0 ? "a" : "b");
    Record.Address.port(static_cast<std::uint16_t>(9'000 + Index));
    Record.Slots = 64;
    Record.Ready = true;
    List.push_back(Record);
  }
  return List;
}

/// Records what becomes of a request.
class TestRequest final : public QueuedRequest {
public:
  void place(const PlacementChoice &Choice) override {
    Placed = Choice.Upstream->Record.Id;
    if (Table != nullptr)
      Table->add(Placed, Query.Work.load(Choice.PrefixCached));
  }
  void refuse(Refusal Reason, Milliseconds Delay) override {
    Refused = Reason;
    RetryAfter = Delay;
  }

  UpstreamTable *Table = nullptr;
  UpstreamId Placed;
  std::optional<Refusal> Refused;
  Milliseconds RetryAfter{};
};

/// The parts of a router that decide.
struct Decider {
  ManualClock Time;
  Configuration Config;
  UpstreamTable Table{Time, RouterKey(1), 1};
  SeededRandom Random;
  Placement Placer;
  FairShare Shares{Time};
  Admission Queue{Placer, Shares, Time, Random};

  explicit Decider(std::uint64_t Seed, bool IsEngine = true,
                   const PlacementSettings &Settings = {})
      : Config(configuration(IsEngine)), Random(Seed),
        Placer(Table, Time, Random, ZoneId("a"), Settings) {
    Table.update(engines());
    Placer.setZoneRegions(
        {{ZoneId("a"), RegionId("north")}, {ZoneId("b"), RegionId("south")}});
    Placer.configure(Config);
  }

  std::shared_ptr<TestRequest> request(const std::string &Workspace,
                                       std::optional<std::uint64_t> Affinity) {
    auto Made = std::make_shared<TestRequest>();
    Made->Table = &Table;
    Made->Query.Service = Models;
    Made->Query.Affinity = Affinity;
    Made->Query.Work = {1'000, 4'000, 200};
    Made->Query.LatencyObjective = Objective;
    Made->HasWorkspace = true;
    Made->ShareKey = WorkspaceKey(stableHash(Workspace));
    Made->ShareTokens = Tokens;
    Made->Arrived = Time.now();
    Made->QueueDeadline = Time.now() + Milliseconds(300);
    return Made;
  }

  /// Draws as the next request of the router would.
  Explanation explain(TestRequest &Asked) {
    SeededRandom Same = Random;
    return explainDecision(Asked, Queue, Placer, Shares, Same);
  }

  /// Submits a request after asking what becomes of it.
  /// @return name of the rule that decided
  std::string checkedRule(const std::string &Workspace,
                          std::optional<std::uint64_t> Affinity = {}) {
    const Explanation Explained = explain(*request(Workspace, Affinity));
    const std::size_t Waiting = Queue.waiting();
    const auto Submitted = request(Workspace, Affinity);
    Queue.submit(Submitted);
    switch (Explained.Decision.What) {
    case AdmissionDecision::Action::Send:
      CPPUNIT_ASSERT_EQUAL(Explained.Decision.Choice.Upstream->Record.Id.Value,
                           Submitted->Placed.Value);
      break;
    case AdmissionDecision::Action::Wait:
      CPPUNIT_ASSERT(Submitted->Placed.empty());
      CPPUNIT_ASSERT(!Submitted->Refused);
      CPPUNIT_ASSERT_EQUAL(Waiting + 1, Queue.waiting());
      break;
    case AdmissionDecision::Action::Refuse:
      CPPUNIT_ASSERT(Submitted->Refused == Explained.Decision.Reason);
      CPPUNIT_ASSERT(Submitted->RetryAfter == Explained.RetryAfter);
      break;
    }
    return std::string(decidingRule(Explained));
  }

  void fill(double Running, double WorkLimits) {
    for (const UpstreamRecord &Engine : engines()) {
      UpstreamLoad Load;
      Load.Running = Running;
      Load.RecentWork = WorkLimits * Placer.workLimit();
      Table.add(Engine.Id, Load);
    }
  }

  void useUpShare(const std::string &Workspace) {
    const WorkspaceKey Key(stableHash(Workspace));
    const WorkspaceKey Other(stableHash("other"));
    Shares.recordDemand(Key, 4'000'000);
    Shares.recordAdmitted(Key, 400'000);
    Shares.recordDemand(Other, 4'000'000);
    Shares.recordUnmet(Other, 100'000);
    Shares.update(Config.Limits.TokensPerSecond);
  }

  UpstreamState &engine(unsigned Index) {
    return *Table.find(engines()[Index].Id);
  }
};

std::string stateOf(const Explanation &Explained, unsigned Index) {
  for (const PlacementCandidate &Candidate : Explained.Candidates)
    if (Candidate.Upstream->Record.Id == engines()[Index].Id)
      return std::string(toString(Candidate.State));
  return {};
}

/// Compares two routers of which one was asked in between.
/// @return what each request met with
std::vector<std::string> play(Decider &Router, unsigned Asked) {
  constexpr unsigned Requests = 300;
  std::vector<std::string> Outcomes;
  for (unsigned Number = 0; Number < Requests; ++Number) {
    std::optional<std::uint64_t> Affinity;
    if (Number % 3 != 0)
      Affinity = Number % 7;
    for (unsigned Index = 0; Index < Asked; ++Index) {
      SeededRandom Own(Number);
      const auto Unsent = Router.request("desk", Index % 5);
      explainDecision(*Unsent, Router.Queue, Router.Placer, Router.Shares, Own);
    }
    const auto Sent = Router.request("desk", Affinity);
    Router.Shares.recordDemand(Sent->ShareKey, Sent->ShareTokens);
    Router.Queue.submit(Sent);
    Outcomes.push_back(Sent->Refused
                           ? std::string(toString(*Sent->Refused)) +
                                 std::to_string(Sent->RetryAfter.count())
                           : Sent->Placed.Value);
    Router.Time.advance(Milliseconds(15));
    Router.Shares.update(Router.Config.Limits.TokensPerSecond);
    Router.Queue.expire();
  }
  return Outcomes;
}

} // namespace

class ExplanationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplanationTest);
  CPPUNIT_TEST(agreesWithWhatIsSent);
  CPPUNIT_TEST(agreesWithWhatIsRefusedOrWaits);
  CPPUNIT_TEST(agreesForSmallServices);
  CPPUNIT_TEST(agreesOnLeavingTheZone);
  CPPUNIT_TEST(askingChangesNoDecision);
  CPPUNIT_TEST(askingChangesNoCounter);
  CPPUNIT_TEST(namesWhyUpstreamsGetNothing);
  CPPUNIT_TEST(namesWhyUpstreamsHaveNoCapacity);
  CPPUNIT_TEST(ranksAgreeWithTheHomeOfThePrefix);
  CPPUNIT_TEST(documentIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an explanation by other rules than those that requests meet.
  void agreesWithWhatIsSent() {
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Decider Router(Seed);
      CPPUNIT_ASSERT_EQUAL(std::string("least_loaded"),
                           Router.checkedRule("desk"));
      CPPUNIT_ASSERT_EQUAL(std::string("prefix_home"),
                           Router.checkedRule("desk", Seed));
      const auto Home =
          Router.explain(*Router.request("desk", Seed)).Decision.Choice;
      UpstreamLoad Full;
      Full.Running = 64;
      Router.Table.add(Home.Upstream->Record.Id, Full);
      CPPUNIT_ASSERT_EQUAL(std::string("prefix_rank"),
                           Router.checkedRule("desk", Seed));
      // Low load: the share is not enforced.
      Router.useUpShare("desk");
      const Explanation Spare = Router.explain(*Router.request("desk", {}));
      CPPUNIT_ASSERT(Spare.Decision.OverShare);
      CPPUNIT_ASSERT(Spare.ShareFill.value_or(0) > 1);
      CPPUNIT_ASSERT_EQUAL(std::string("least_loaded"),
                           Router.checkedRule("desk"));
    }
  }

  void agreesWithWhatIsRefusedOrWaits() {
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Decider Full(Seed);
      Full.fill(64, 0);
      CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"),
                           Full.checkedRule("desk"));
      CPPUNIT_ASSERT_EQUAL(std::string("others_wait"),
                           Full.checkedRule("desk"));
      Full.useUpShare("desk");
      CPPUNIT_ASSERT_EQUAL(std::string("share_used_up"),
                           Full.checkedRule("desk"));
      Full.Queue.stop();
      CPPUNIT_ASSERT_EQUAL(std::string("stopping"), Full.checkedRule("desk"));

      Decider Empty(Seed);
      Empty.Table.update({});
      CPPUNIT_ASSERT_EQUAL(std::string("no_upstream"),
                           Empty.checkedRule("desk"));

      Decider Evacuated(Seed);
      Evacuated.Table.setEvacuated({ZoneId("a"), ZoneId("b")});
      CPPUNIT_ASSERT_EQUAL(std::string("zones_evacuated"),
                           Evacuated.checkedRule("desk"));

      Decider Paused(Seed);
      for (const UpstreamRecord &Engine : engines())
        Paused.Table.paused(Engine, Paused.Time.now() + Milliseconds(5'000));
      CPPUNIT_ASSERT_EQUAL(std::string("upstreams_paused"),
                           Paused.checkedRule("desk"));

      Decider Limited(Seed);
      for (const UpstreamRecord &Engine : engines())
        Limited.Table.limits().recordResponse(
            upstreamProcess(Engine), RequestRate(0.01), Limited.Time.now());
      std::string Rule;
      for (unsigned Number = 0; Number < 20; ++Number)
        Rule = Limited.checkedRule("desk");
      CPPUNIT_ASSERT_EQUAL(std::string("upstreams_limited"), Rule);
    }
  }

  void agreesForSmallServices() {
    std::map<std::string, unsigned> Rules;
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      Decider Router(Seed, false);
      Router.Placer.smallServices().setRouters(1'000);
      Router.Placer.smallServices().setPeers({});
      // Estimates need responses.
      for (unsigned Number = 0; Number < 40; ++Number)
        Router.Placer.smallServices().recordOutcome(
            Models, Router.engine(0).Process, Milliseconds(1'000), false);
      Router.Placer.smallServices().setPeers(
          {{serviceKey(Models), RequestRate(800)}});
      const Explanation Explained = Router.explain(*Router.request("desk", {}));
      CPPUNIT_ASSERT(Explained.Drawn);
      ++Rules[Router.checkedRule("desk")];
    }
    CPPUNIT_ASSERT(Rules["small_service"] > 0);
    CPPUNIT_ASSERT(Rules["slots_taken"] > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Rules.size());
  }

  void agreesOnLeavingTheZone() {
    PlacementSettings Settings;
    Settings.ZoneCost = PreciseMilliseconds(100);
    std::map<std::string, unsigned> Rules;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      Decider Router(Seed, true, Settings);
      ++Rules[Router.checkedRule("desk")];
      for (unsigned Index = 0; Index < Engines; Index += 2) {
        UpstreamLoad Load;
        Load.Running = 64;
        Router.Table.add(Router.engine(Index).Record.Id, Load);
      }
      Router.Time.advance(std::chrono::seconds(1));
      const Explanation Explained = Router.explain(*Router.request("desk", {}));
      CPPUNIT_ASSERT(Explained.LeavingShare.value_or(0) > 0);
      ++Rules[Router.checkedRule("desk")];
    }
    CPPUNIT_ASSERT_EQUAL(20U, Rules["least_loaded"]);
    CPPUNIT_ASSERT_EQUAL(20U, Rules["leaves_zone_for_load"]);
  }

  // Guards against operators who change what callers get by asking.
  void askingChangesNoDecision() {
    PlacementSettings ZoneFirst;
    ZoneFirst.ZoneCost = PreciseMilliseconds(100);
    for (const PlacementSettings &Settings : {PlacementSettings(), ZoneFirst})
      for (const bool IsEngine : {true, false}) {
        Decider Asked(5, IsEngine, Settings);
        Decider Silent(5, IsEngine, Settings);
        if (!IsEngine)
          for (Decider *Router : {&Asked, &Silent}) {
            Router->Placer.smallServices().setRouters(1'000);
            Router->Placer.smallServices().setPeers({});
          }
        CPPUNIT_ASSERT(play(Silent, 0) == play(Asked, 4));
        CPPUNIT_ASSERT(Silent.Random.next() == Asked.Random.next());
      }
  }

  void askingChangesNoCounter() {
    Decider Router(3, false);
    Router.Placer.smallServices().setRouters(1'000);
    Router.Placer.smallServices().setPeers({});
    Router.Shares.recordDemand(WorkspaceKey(1), Tokens);
    for (const UpstreamRecord &Engine : engines())
      Router.Table.limits().recordResponse(upstreamProcess(Engine),
                                           RequestRate(5), Router.Time.now());
    for (unsigned Number = 0; Number < 100; ++Number)
      Router.explain(*Router.request("desk", Number));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Router.Queue.waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Router.Shares.ownUsage().size());
    for (const auto &[Key, Rate] : Router.Placer.smallServices().ownRates())
      CPPUNIT_ASSERT_EQUAL(0.0, Rate.Value);
    for (const auto &[Name, Status] : Router.Placer.smallServices().status())
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Status.Refused);
    CPPUNIT_ASSERT(Router.Table.limits().ownDemand().empty());
    for (unsigned Index = 0; Index < Engines; ++Index)
      CPPUNIT_ASSERT_EQUAL(0.0, Router.engine(Index).Own.Running);
  }

  void namesWhyUpstreamsGetNothing() {
    Decider Router(1);
    const auto States = [&](const Homes &Allowed, unsigned Index) {
      const auto Asked = Router.request("desk", {});
      Asked->Query.Allowed = Allowed;
      Asked->Query.Excluded = {engines()[5].Id};
      return stateOf(Router.explain(*Asked), Index);
    };
    Homes North;
    North.restrictTo({RegionId("north")});
    CPPUNIT_ASSERT_EQUAL(std::string("eligible"), States({}, 0));
    CPPUNIT_ASSERT_EQUAL(std::string("excluded"), States({}, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("outside_homes"), States(North, 1));
    Router.Table.leaving(engines()[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), States({}, 0));
    Router.Table.failed(engines()[1].Id);
    CPPUNIT_ASSERT_EQUAL(std::string("backing_off"), States({}, 1));
    Router.Table.paused(engines()[2], Router.Time.now() + Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string("paused"), States({}, 2));
    Router.Time.advance(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("eligible"), States({}, 2));
    UpstreamLoad One;
    One.Running = 1;
    Router.Table.add(engines()[2].Id, One);
    CPPUNIT_ASSERT_EQUAL(std::string("recovering"), States({}, 2));
    const UpstreamProcess Limited = upstreamProcess(engines()[4]);
    Router.Table.limits().recordResponse(Limited, RequestRate(0.01),
                                         Router.Time.now());
    for (unsigned Number = 0; Number < 5; ++Number)
      Router.Table.limits().recordStart(Limited);
    CPPUNIT_ASSERT_EQUAL(std::string("limit_used_up"), States({}, 4));
    Router.Table.setEvacuated({ZoneId("b")});
    CPPUNIT_ASSERT_EQUAL(std::string("evacuated"), States({}, 3));
    auto List = engines();
    List[3].Ready = false;
    Router.Table.update(List);
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), States({}, 3));
  }

  void namesWhyUpstreamsHaveNoCapacity() {
    Decider Router(1);
    const std::vector<std::pair<UpstreamLoad, std::string>> Loads{
        {{}, "free"},
        {{64, 0, 0, 0}, "slots_taken"},
        {{1, 0, 500'000, 0}, "kv_cache_full"},
        {{1, 0, 0, 2 * Router.Placer.workLimit()}, "work_limit_reached"},
        {{1, 1e7, 0, 0}, "unread_limit_reached"}};
    std::map<std::string, std::string> Expected;
    for (unsigned Index = 0; Index < Loads.size(); ++Index) {
      Router.Table.add(engines()[Index].Id, Loads[Index].first);
      Expected[engines()[Index].Id.Value] = Loads[Index].second;
    }
    Expected[engines()[5].Id.Value] = "free";
    const Explanation Explained = Router.explain(*Router.request("desk", {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(Engines), Explained.Candidates.size());
    for (const PlacementCandidate &Candidate : Explained.Candidates)
      CPPUNIT_ASSERT_EQUAL(Expected[Candidate.Upstream->Record.Id.Value],
                           std::string(toString(Candidate.Room)));
  }

  void ranksAgreeWithTheHomeOfThePrefix() {
    for (std::uint64_t Prefix = 1; Prefix <= 50; ++Prefix) {
      Decider Router(Prefix);
      const Explanation Explained =
          Router.explain(*Router.request("desk", Prefix));
      CPPUNIT_ASSERT(Explained.Decision.Choice.Upstream ==
                     Explained.Candidates.front().Upstream);
      for (std::size_t Index = 0; Index < Engines; ++Index)
        CPPUNIT_ASSERT_EQUAL(Index + 1, Explained.Candidates[Index].Rank);
    }
  }

  void documentIsBounded() {
    Decider Router(1);
    auto List = engines();
    constexpr unsigned Many = 300;
    for (unsigned Index = 0; Index < Many; ++Index) {
      UpstreamRecord Added = List.front();
      Added.Id = UpstreamId("more-" + std::to_string(Index));
      Added.Address.port(static_cast<std::uint16_t>(10'000 + Index));
      List.push_back(Added);
    }
    Router.Table.update(List);
    const auto Document = nlohmann::json::parse(
        toJson(Router.explain(*Router.request("desk", {}))));
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Document["candidates"].size());
    CPPUNIT_ASSERT_EQUAL(Many + Engines - 100,
                         Document["candidates_omitted"].get<unsigned>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplanationTest);

#include "support/control_fleet.hpp"
#include "support/proxy_harness.hpp"

#include <rapidcheck.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ZoneId ZoneA("a");
const ZoneId ZoneB("b");
const ServiceId Models("models");
const TimePoint Start{std::chrono::hours(1)};

EvacuationReport listed(std::uint64_t Era, std::int64_t Revision,
                        const std::set<ZoneId> &Zones) {
  return {{StoreEra(Era), Revision}, Zones, {}};
}

/// Three engines in each of three zones; a router in the first zone.
struct TestRouter {
  ManualClock Time;
  SeededRandom Random{7};
  UpstreamTable Table{Time};
  Placement Placer{Table, Time, Random, ZoneA, PlacementSettings()};
  FairShare Shares{Time};
  Admission Queue{Placer, Shares, Time, Random};
  Configuration Config;

  TestRouter() {
    Service Pool;
    Pool.Name = Models;
    Pool.Engine = EngineProfile{8, 500'000, 6, true};
    Config.Services = {Pool};
    Config.Limits.TokensPerSecond = 90'000;
    Config.index();
    std::vector<UpstreamRecord> List;
    for (std::uint16_t Index = 0; Index < 9; ++Index)
      List.push_back({UpstreamId(std::to_string(Index)),
                      Models,
                      {asio::ip::make_address("127.0.0.1"), Index},
                      ZoneId(std::string(1, "abc"[Index % 3])),
                      8,
                      true,
                      0,
                      {},
                      {}});
    Table.update(List);
    Placer.configure(Config);
  }
  PlacementQuery query(std::uint64_t Prompt) const {
    PlacementQuery Query;
    Query.Service = Models;
    Query.Affinity = Prompt % 5;
    Query.Work = {300, 1'000, 50};
    Query.LatencyObjective = Milliseconds(600);
    return Query;
  }
};

class QueuedProbe final : public QueuedRequest {
public:
  void place(const PlacementChoice &) override { Placed = true; }
  void refuse(Refusal Given, Milliseconds Delay) override {
    Reason = Given;
    RetryAfter = Delay;
  }
  bool Placed = false;
  std::optional<Refusal> Reason;
  Milliseconds RetryAfter{};
};

} // namespace

class EvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(newestPositionWins);
  CPPUNIT_TEST(wrongReportIsRefutedByTheStore);
  CPPUNIT_TEST(restoredStoreDoesNotEndEvacuations);
  CPPUNIT_TEST(unknownZonesAreRemoved);
  CPPUNIT_TEST(loadAvoidsEvacuatedZones);
  CPPUNIT_TEST(lastZoneIsRefusedAtOnce);
  CPPUNIT_TEST(nothingChangesWithoutTheFields);
  CPPUNIT_TEST(runningRequestsEndWhereTheyAre);
  CPPUNIT_TEST(fleetLearnsInTime);
  CPPUNIT_TEST(routerWithoutStoreHearsOfIt);
  CPPUNIT_TEST(evacuationsNeedTheSetting);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reports that come late, overlapping evacuations that end
  // each other, and a store outage that ends them.
  void newestPositionWins() {
    ZoneEvacuations Router;
    CPPUNIT_ASSERT(
        Router.recordRead(listed(1, 5, {ZoneA}), Start, false).any());
    CPPUNIT_ASSERT(
        Router.recordReport(listed(1, 8, {ZoneA, ZoneB}), false, Start).any());
    CPPUNIT_ASSERT(!Router.recordReport(listed(1, 7, {}), false, Start).any());
    // A read that was started before the report came.
    CPPUNIT_ASSERT(!Router.recordRead(listed(1, 6, {}), Start, false).any());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Router.inForce().size());
    const EvacuationChange Back =
        Router.recordReport(listed(1, 9, {ZoneB}), false, Start);
    CPPUNIT_ASSERT(Back.TakenBack == std::set<ZoneId>{ZoneA});
    CPPUNIT_ASSERT(Router.inForce() == std::set<ZoneId>{ZoneB});
  }

  // Guards against a damaged report that stays in force, or comes back from
  // other routers.
  void wrongReportIsRefutedByTheStore() {
    ZoneEvacuations Router;
    Router.recordRead(listed(1, 5, {}), Start, false);
    const EvacuationReport Wrong = listed(1, 5'000, {ZoneA});
    CPPUNIT_ASSERT(Router.recordReport(Wrong, false, Start).any());
    const TimePoint Later = Start + Milliseconds(1);
    CPPUNIT_ASSERT(Router.recordRead(listed(1, 6, {}), Later, false).any());
    CPPUNIT_ASSERT(!Router.recordReport(Wrong, false, Later).any());
    CPPUNIT_ASSERT(
        Router.recordReport(listed(1, 7, {ZoneB}), false, Later).any());
    CPPUNIT_ASSERT(!Router.recordReport({}, false, Later).any());
    CPPUNIT_ASSERT(Router.inForce() == std::set<ZoneId>{ZoneB});
  }

  // Guards against using a zone because the store lost its evacuation.
  void restoredStoreDoesNotEndEvacuations() {
    ZoneEvacuations Router;
    Router.recordRead(listed(1, 90, {ZoneA}), Start, false);
    CPPUNIT_ASSERT(!Router.recordRead(listed(2, 50, {}), Start, true).any());
    // A router that has started since, and one that has no store.
    ZoneEvacuations Started;
    Started.recordRead(listed(2, 51, {}), Start, true);
    CPPUNIT_ASSERT(Started.recordReport(Router.report(), true, Start).any());
    ZoneEvacuations Remote;
    Remote.recordRead(listed(1, 90, {ZoneA}), Start, false);
    CPPUNIT_ASSERT(!Remote.recordReport(Router.report(), true, Start).any());
    // The operator has written again, or had the time to.
    CPPUNIT_ASSERT(Router.recordRead(listed(2, 60, {}), Start, false).any());
    CPPUNIT_ASSERT(!Router.recordReport(Started.report(), true, Start).any());
    for (ZoneEvacuations *Other : {&Started, &Remote})
      CPPUNIT_ASSERT(Other->recordReport(Router.report(), false, Start).any());
  }

  // Guards against keys that are damaged or name another deployment's zone.
  void unknownZonesAreRemoved() {
    const std::set<ZoneId> Named{ZoneId(), ZoneA, ZoneId("a/b"), ZoneId("x")};
    std::set<ZoneId> Zones = Named;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(3),
        removeUnknownZones(Zones, {{ZoneA, RegionId("r")}}, {}));
    CPPUNIT_ASSERT(Zones == std::set<ZoneId>{ZoneA});
    Zones = Named;
    UpstreamRecord InA;
    InA.Zone = ZoneA;
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), removeUnknownZones(Zones, {}, {InA}));
  }

  // Guards against requests, retries and KV-cache fetches that still use the
  // zone of most callers, and against shares of capacity that is not there.
  void loadAvoidsEvacuatedZones() {
    TestRouter Router;
    Router.Table.add(UpstreamId("0"), Router.query(0).Work.load(false));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         Router.Table.setEvacuated({ZoneA}).size());
    CPPUNIT_ASSERT(Router.Table.setEvacuated({ZoneA}).empty());
    std::size_t Sent = 0;
    for (std::uint64_t Number = 0; Number < 400; ++Number) {
      const PlacementQuery Query = Router.query(Number);
      const PlacementChoice Choice = Router.Placer.choose(Query);
      CPPUNIT_ASSERT(Choice.FetchFrom == nullptr ||
                     Choice.FetchFrom->Record.Zone != ZoneA);
      if (Choice.Upstream == nullptr)
        continue;
      CPPUNIT_ASSERT(Choice.Upstream->Record.Zone != ZoneA);
      Router.Table.add(Choice.Upstream->Record.Id, Query.Work.load(false));
      ++Sent;
    }
    CPPUNIT_ASSERT(Sent > 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 3, Router.Placer.capacityFraction(),
                                 0.01);
    // A request that waits for a connection there is withdrawn; one that runs
    // goes on.
    const UpstreamState &Emptied = *Router.Table.find(UpstreamId("0"));
    CPPUNIT_ASSERT(!Router.Table.takesRequests(Emptied.Record));
    CPPUNIT_ASSERT_EQUAL(1.0, Emptied.Own.Running);
    Router.Table.setEvacuated({});
    CPPUNIT_ASSERT(Router.Table.takesRequests(Emptied.Record));
    CPPUNIT_ASSERT_EQUAL(1.0, Router.Placer.capacityFraction());
  }

  // Guards against requests that wait for a service without any upstream.
  void lastZoneIsRefusedAtOnce() {
    TestRouter Router;
    const auto Submit = [&Router] {
      auto Request = std::make_shared<QueuedProbe>();
      Request->Query = Router.query(1);
      Request->QueueDeadline = Router.Time.now() + Milliseconds(300);
      Router.Queue.submit(Request);
      return Request;
    };
    Router.Table.setEvacuated({ZoneA, ZoneB});
    CPPUNIT_ASSERT(Submit()->Placed);
    Router.Table.setEvacuated({ZoneA, ZoneB, ZoneId("c")});
    const auto Refused = Submit();
    CPPUNIT_ASSERT(Refused->Reason == Refusal::ZonesEvacuated);
    CPPUNIT_ASSERT(Refused->RetryAfter >= Milliseconds(1'000));
    Router.Table.setEvacuated({ZoneA});
    CPPUNIT_ASSERT(Submit()->Placed);
  }

  // Guards against other decisions in a deployment that evacuates no zone and
  // has no homes.
  void nothingChangesWithoutTheFields() {
    TestRouter Plain;
    TestRouter Router;
    Router.Placer.setZoneRegions({{ZoneA, RegionId("r")}});
    for (std::uint64_t Number = 0; Number < 400; ++Number) {
      PlacementQuery Query = Router.query(Number);
      const PlacementChoice Expected = Plain.Placer.choose(Query);
      Query.Allowed = Homes(Route(), nullptr);
      Router.Table.setEvacuated({});
      const PlacementChoice Choice = Router.Placer.choose(Query);
      CPPUNIT_ASSERT_EQUAL(Expected.Upstream == nullptr,
                           Choice.Upstream == nullptr);
      if (Choice.Upstream == nullptr)
        continue;
      CPPUNIT_ASSERT(Choice.Upstream->Record.Id ==
                     Expected.Upstream->Record.Id);
      Plain.Table.add(Choice.Upstream->Record.Id, Query.Work.load(false));
      Router.Table.add(Choice.Upstream->Record.Id, Query.Work.load(false));
    }
    CPPUNIT_ASSERT_EQUAL(1.0, Router.Placer.capacityFraction());
    CPPUNIT_ASSERT(!Router.Placer.availability(Router.query(0)).Rate);
    // Reports of such a deployment are as before.
    const auto Read =
        decodeReport(encodeReport(testing::control::makeStrangersReport()));
    CPPUNIT_ASSERT(isOk(Read) && !valueOf(Read).Evacuated);
  }

  // Guards against ending a request that runs in the zone, and against using
  // its connection again.
  void runningRequestsEndWhereTheyAre() {
    ProxyHarness H(2);
    H.View.Upstreams[0].Zone = ZoneA;
    H.View.Upstreams[1].Zone = ZoneB;
    H.apply();
    UpstreamSession *Running = nullptr;
    std::string Id = "r0";
    std::size_t Elsewhere = 0;
    H.OnRequest = [&](UpstreamSession &Session, const std::string &) {
      if (Running == nullptr) {
        Running = &Session;
        return;
      }
      Elsewhere += Session.Upstream;
      Session.send(ProxyHarness::signedResponse(Id, "done"));
    };
    const auto IsAnswered = [&H](std::size_t Caller) {
      return H.runUntil(
          [&] { return H.received(Caller).find("done") != std::string::npos; });
    };
    const auto First = H.connect();
    H.sendAsCaller(First, ProxyHarness::callerRequest("GET", "/safe/x", Id));
    CPPUNIT_ASSERT(H.runUntil([&] { return Running != nullptr; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Running->Upstream);
    H.View.EvacuatedZones = {ZoneA};
    H.apply();
    constexpr std::size_t Others = 6;
    for (std::size_t Number = 0; Number < Others; ++Number) {
      Id = "other-" + std::to_string(Number);
      const auto Caller = H.connect();
      H.sendAsCaller(Caller, ProxyHarness::callerRequest("GET", "/safe/x", Id));
      CPPUNIT_ASSERT(IsAnswered(Caller));
    }
    CPPUNIT_ASSERT_EQUAL(Others, Elsewhere);
    Running->send(ProxyHarness::signedResponse("r0", "done"));
    CPPUNIT_ASSERT(IsAnswered(First));
    CPPUNIT_ASSERT(H.runUntil([&] { return Running->ClosedByRouter; }));
  }

  // Guards against routers that learn late, join, restart, freeze, are cut off
  // or lose reports and use an evacuated zone after the time for it. One router
  // at least keeps its way to the store.
  void fleetLearnsInTime() {
    const bool Holds = rc::check([](std::uint16_t Size, std::uint32_t Seed) {
      constexpr Milliseconds Step{100};
      constexpr int Allowed = 5'000 / 100;
      constexpr int ReadPeriod = 750 / 100;
      constexpr int Duration = 200;
      constexpr int ReportsHeard = 3;
      struct Member {
        ZoneEvacuations State;
        bool ReadsStore = false;
        /// Step until which it neither reads nor hears anything.
        int DeafUntil = 0;
      };
      SeededRandom Random(Seed);
      std::vector<Member> Fleet(2 + Size % 299);
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        Fleet[Index].ReadsStore = Index == 0 || Random.below(4) == 0;
      std::set<ZoneId> Listed;
      int ChangedAt = 0;
      for (int Now = 1; Now < Duration; ++Now) {
        const TimePoint Time = Start + Now * Step;
        if (Now % 60 == 20) {
          Listed =
              Listed.empty() ? std::set<ZoneId>{ZoneA} : std::set<ZoneId>();
          ChangedAt = Now;
        }
        for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
          Member &Router = Fleet[Index];
          if (Index > 0 && Random.below(400) == 0) {
            Router.DeafUntil = Now + 1 + static_cast<int>(Random.below(40));
            if (Random.below(2) == 0)
              Router.State = ZoneEvacuations();
          }
          if (Now < Router.DeafUntil)
            continue;
          if (Router.ReadsStore &&
              (Now + static_cast<int>(Index)) % ReadPeriod == 0)
            Router.State.recordRead(listed(1, ChangedAt + 1, Listed), Time,
                                    false);
          for (int Report = 0; Report < ReportsHeard; ++Report) {
            const Member &Other = Fleet[Random.below(Fleet.size())];
            const bool Lost = Random.below(3) == 0;
            if (&Other != &Router && Now >= Other.DeafUntil && !Lost)
              Router.State.recordReport(Other.State.report(), false, Time);
          }
          if (Now - std::max(ChangedAt, Router.DeafUntil) > Allowed)
            RC_ASSERT(Router.State.inForce() == Listed);
        }
      }
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against control planes that do not tell each other.
  void routerWithoutStoreHearsOfIt() {
    testing::control::Fleet Fleet;
    for (const auto &Router : Fleet.Routers)
      Router->Settings.EvacuationTime = Milliseconds(5'000);
    evacuate(Fleet);
    CPPUNIT_ASSERT_EQUAL(
        1.0, Fleet.metric(*Fleet.Routers.back(), EvacuatedZonesMetric));
    // Counted by the routers that have read it.
    const std::string Unknown = "\nmallowglade_unknown_evacuations_total ";
    CPPUNIT_ASSERT(std::any_of(
        Fleet.Routers.begin(), Fleet.Routers.end(), [&](const auto &Router) {
          const std::string Metrics =
              Fleet.get(Router->Settings.MetricsListen, "/metrics");
          const auto Found = Metrics.find(Unknown);
          return Found != std::string::npos &&
                 std::stod(Metrics.substr(Found + Unknown.size())) > 0;
        }));
  }

  // Guards against evacuations in a deployment that has none, whether the store
  // or a router with other settings names them.
  void evacuationsNeedTheSetting() {
    testing::control::Fleet Fleet;
    evacuate(Fleet);
    PeerReport Reported = testing::control::makeStrangersReport();
    Reported.Evacuated = listed(0, 9, {ZoneA});
    Fleet.sendToAll(Reported);
    Fleet.Context.run_for(Milliseconds(100));
    for (const auto &Router : Fleet.Routers)
      CPPUNIT_ASSERT_EQUAL(0.0, Fleet.metric(*Router, EvacuatedZonesMetric));
  }

private:
  static constexpr const char *EvacuatedZonesMetric =
      "mallowglade_evacuated_zones";

  /// Evacuates a zone while the last router gets no answers from the store.
  static void evacuate(testing::control::Fleet &Fleet) {
    Fleet.State.ReadAt = {StoreEra(), 5};
    Fleet.Context.run_for(Milliseconds(1'500));
    Fleet.Routers.back()->Store.ReadTime = std::chrono::hours(1);
    Fleet.State.EvacuatedZones = {ZoneA, ZoneId("nowhere")};
    Fleet.State.ReadAt.Revision = 6;
    Fleet.Context.run_for(testing::control::Freshness);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

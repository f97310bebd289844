#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using std::chrono::milliseconds;

namespace {

constexpr double PerSecond = 8;
constexpr ColdUpstreamLimits Limits{1.5, 5};
constexpr milliseconds ColdTime{3'000};
const ServiceId Models("models");

Configuration configurationOf(double ColdPerSecond = PerSecond) {
  Configuration Config;
  Service Pool;
  Pool.Name = Models;
  Pool.Engine = EngineProfile{16, 500'000, 6, false};
  Pool.ColdTime = ColdTime;
  Pool.ColdRequestsPerSecond = ColdPerSecond;
  Config.Services.push_back(Pool);
  Config.index();
  return Config;
}

UpstreamRecord upstream(const std::string &Id, std::int64_t Revision,
                        milliseconds ColdRemaining = milliseconds(0)) {
  UpstreamRecord Record;
  Record.Id = UpstreamId(Id);
  Record.Service = Models;
  Record.Zone = ZoneId(Id.substr(0, 1));
  Record.Slots = 16;
  Record.Ready = true;
  Record.ColdRemaining = ColdRemaining;
  Record.WrittenAt = {StoreEra(1), Revision};
  return Record;
}

/// The table of a router in zone a.
struct Router {
  explicit Router(double ColdPerSecond = PerSecond)
      : Config(configurationOf(ColdPerSecond)), Table(Time) {
    Table.cold().configure(Config, {Limits, ZoneId("a"), milliseconds(1'200)});
    Placer.configure(Config);
  }
  bool isCold(const std::string &Id) {
    return Table.cold().isCold(Table.find(UpstreamId(Id))->Process);
  }
  /// Returns the rate in force; -1 for any.
  double rate(const std::string &Id) {
    Table.applyCold();
    return Table.limits()
        .limitOf(Table.find(UpstreamId(Id))->Process)
        .value_or(RequestRate(-1))
        .Value;
  }
  /// Returns where a request goes whose prefix prefers the first upstream in
  /// rank.
  std::string place(std::uint64_t Affinity) {
    PlacementQuery Query;
    Query.Service = Models;
    Query.Affinity = Affinity;
    Query.LatencyObjective = milliseconds(1'000);
    const PlacementChoice Choice = Placer.choose(Query);
    return Choice.Upstream == nullptr ? "" : Choice.Upstream->Record.Id.Value;
  }

  ManualClock Time;
  SeededRandom Random{1};
  Configuration Config;
  UpstreamTable Table;
  Placement Placer{Table, Time, Random, ZoneId("a"), {}};
};

} // namespace

class ColdUpstreamsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdUpstreamsTest);
  CPPUNIT_TEST(derivedRateKeepsTheBound);
  CPPUNIT_TEST(registrationBeginsAndEndsTheColdTime);
  CPPUNIT_TEST(unreadableRegistrationChangesNothing);
  CPPUNIT_TEST(rateOpensGradually);
  CPPUNIT_TEST(unreachableUpstreamComesBackCold);
  CPPUNIT_TEST(zoneThatIsTakenBackIsCold);
  CPPUNIT_TEST(latestReportCounts);
  CPPUNIT_TEST(warmUpstreamsAreUsedFirst);
  CPPUNIT_TEST(nothingChangesWithoutRates);
  CPPUNIT_TEST_SUITE_END();

public:
  void derivedRateKeepsTheBound() {
    CPPUNIT_ASSERT(rc::check([] {
      const double Named = *rc::gen::inRange(1, 4'000) / 20.0;
      const ColdUpstreamLimits Allowed{*rc::gen::inRange(10, 40) / 10.0,
                                       double(*rc::gen::inRange(0, 20))};
      const RateCap Cap = coldRate(Named, Allowed);
      const double Most =
          1.25 * 4 / 3 * Cap.Rate.Value + 4.0 / 3 * double(Cap.Holders + 2);
      RC_ASSERT(Cap.Rate.Value <= Named && Cap.Holders >= 1);
      RC_ASSERT(Cap.Rate.Value == 0 ||
                Most <= Named * Allowed.Overage + Allowed.Allowance + 1e-6);
    }));
  }

  // Guards against a cold time that each heartbeat, or each reading of the same
  // registration, starts again.
  void registrationBeginsAndEndsTheColdTime() {
    Router R;
    R.Table.update({upstream("a1", 1, ColdTime), upstream("a2", 1)});
    CPPUNIT_ASSERT(R.isCold("a1") && !R.isCold("a2"));
    R.Time.advance(milliseconds(1'500));
    R.Table.update({upstream("a1", 1, ColdTime), upstream("a2", 1)});
    R.Time.advance(milliseconds(1'600));
    CPPUNIT_ASSERT(!R.isCold("a1"));
    R.Table.update({upstream("a1", 1), upstream("a2", 2, ColdTime)});
    CPPUNIT_ASSERT(R.isCold("a2"));
    R.Table.update({upstream("a1", 1), upstream("a2", 3)});
    CPPUNIT_ASSERT(!R.isCold("a2"));
  }

  // Guards against a damaged registration that ends a cold time.
  void unreadableRegistrationChangesNothing() {
    Router Node;
    Node.Table.update({upstream("a1", 1, ColdTime)});
    CPPUNIT_ASSERT(Node.isCold("a1"));
    UpstreamRecord Damaged = upstream("a1", 2);
    Damaged.ColdUnreadable = true;
    Node.Table.update({Damaged});
    CPPUNIT_ASSERT(Node.isCold("a1"));
  }

  // Guards against a wave at the end of the cold time.
  void rateOpensGradually() {
    Router R;
    R.Table.update({upstream("a1", 1, ColdTime)});
    const double Cold = coldRate(PerSecond, Limits).Rate.Value;
    CPPUNIT_ASSERT_EQUAL(Cold, R.rate("a1"));
    R.Time.advance(ColdTime + ColdUpstreams::DoublingTime);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2 * Cold, R.rate("a1"), 1e-6);
    R.Time.advance(ColdUpstreams::OpeningTime);
    CPPUNIT_ASSERT_EQUAL(-1.0, R.rate("a1"));
  }

  // Guards against requests of the usual rate to a process that restarts
  // before its registration is read, and against reports of a cut network.
  void unreachableUpstreamComesBackCold() {
    Router R;
    R.Table.update({upstream("a1", 1), upstream("b1", 1)});
    for (const std::string Id : {"a1", "b1"})
      R.Table.cold().recordUnreachable(R.Table.find(UpstreamId(Id))->Process);
    CPPUNIT_ASSERT(R.isCold("a1") && R.isCold("b1"));
    // What was placed before is not sent once a connection is established.
    const UpstreamProcess Process = R.Table.find(UpstreamId("a1"))->Process;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), R.Table.cold().takeChanges().size());
    CPPUNIT_ASSERT(
        R.Table.cold().turnedColdAfter(Process, R.Time.now() - ColdTime));
    CPPUNIT_ASSERT(!R.Table.cold().turnedColdAfter(Process, R.Time.now()));
    const ColdTable Reported = R.Table.cold().report();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Reported.size());
    CPPUNIT_ASSERT(Reported.contains(Process));
    R.Time.advance(ColdUpstreams::ReturnTime + ColdTime - milliseconds(1));
    CPPUNIT_ASSERT(R.isCold("a1"));
    R.Table.update({upstream("a1", 1), upstream("b1", 2)});
    CPPUNIT_ASSERT(R.isCold("a1") && !R.isCold("b1"));
  }

  void zoneThatIsTakenBackIsCold() {
    Router R;
    R.Table.update({upstream("a1", 1), upstream("b1", 1)});
    R.Table.cold().setEvacuated({ZoneId("b")});
    CPPUNIT_ASSERT(!R.isCold("b1"));
    R.Table.cold().setEvacuated({});
    CPPUNIT_ASSERT(R.isCold("b1") && !R.isCold("a1"));
    // The registration would say so after two heartbeats.
    R.Time.advance(milliseconds(2'400));
    CPPUNIT_ASSERT(!R.isCold("b1"));
  }

  // Guards against late, repeated and damaged reports.
  void latestReportCounts() {
    Router R;
    R.Table.update({upstream("a1", 1)});
    const UpstreamProcess Process = R.Table.find(UpstreamId("a1"))->Process;
    ColdUpstreams &Cold = R.Table.cold();
    PeerReport Report;
    Report.Sender = RouterId("127.0.0.1:1");
    Report.CallerAddress = "127.0.0.1:2";
    Report.Cold[Process] = {milliseconds(4'000'000), milliseconds(500)};
    Report.Cold[UpstreamProcess(1)] = {ColdTime, milliseconds(0)};
    Cold.setPeers(valueOf(decodeReport(encodeReport(Report))).Cold);
    CPPUNIT_ASSERT(R.isCold("a1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Cold.coldCount());
    // What is only heard is not told, and does not outlive what it could mean.
    CPPUNIT_ASSERT(Cold.report().empty());
    R.Time.advance(ColdTime + ColdUpstreams::ReturnTime);
    CPPUNIT_ASSERT(!R.isCold("a1"));
    R.Table.update({upstream("a1", 2)});
    Cold.setPeers({{Process, {ColdTime, milliseconds(100)}}});
    CPPUNIT_ASSERT(!R.isCold("a1"));
    Cold.setPeers({{Process, {ColdTime, milliseconds(0) - milliseconds(1)}}});
    CPPUNIT_ASSERT(R.isCold("a1"));
  }

  // Guards against cold upstreams that get most requests, since they are idle.
  void warmUpstreamsAreUsedFirst() {
    Router R;
    R.Table.update({upstream("a1", 1), upstream("a2", 1)});
    std::uint64_t Affinity = 1;
    while (R.place(Affinity) != "a1")
      ++Affinity;
    R.Table.update({upstream("a1", 2, ColdTime), upstream("a2", 1)});
    for (int Count = 0; Count < 50; ++Count, R.Time.advance(milliseconds(50)))
      CPPUNIT_ASSERT_EQUAL(std::string("a2"), R.place(Affinity));
    R.Time.advance(ColdTime + ColdUpstreams::OpeningTime);
    R.Table.applyCold();
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), R.place(Affinity));
  }

  // Guards against changes of deployments that name no rates.
  void nothingChangesWithoutRates() {
    Router R(0);
    R.Table.update({upstream("a1", 1, ColdTime), upstream("a2", 1)});
    R.Table.cold().recordUnreachable(R.Table.find(UpstreamId("a2"))->Process);
    R.Table.cold().setEvacuated({ZoneId("a")});
    R.Table.cold().setEvacuated({});
    CPPUNIT_ASSERT(!R.Table.cold().any() && R.Table.cold().report().empty());
    R.Table.applyCold();
    CPPUNIT_ASSERT(!R.Table.limits().any());
    CPPUNIT_ASSERT_EQUAL(1.0, R.Placer.capacityFraction());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdUpstreamsTest);

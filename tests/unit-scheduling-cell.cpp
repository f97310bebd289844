#include <mallowglade/scheduling.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;

namespace {

const RouterId Near("near");
const RouterId Far("far");

QueuedItem itemOf(std::uint64_t Number, std::uint64_t Prefix = 0) {
  QueuedItem Item;
  Item.Id = Ticket(Number);
  Item.Hint = ServiceUnits(10);
  Item.RequestFingerprint = Fingerprint(Number);
  Item.PrefixHash = Prefix;
  return Item;
}

DemandReport reportOf(std::uint64_t Sequence, std::vector<QueuedItem> Items,
                      const std::string &Workspace = "w") {
  DemandReport Report;
  Report.Cell = CellId("c");
  Report.Session = Epoch(1);
  Report.Sequence = Sequence;
  Report.Full = true;
  WorkspaceDemand Demand;
  Demand.Workspace = WorkspaceId(Workspace);
  Demand.Queued = static_cast<std::uint32_t>(Items.size());
  Demand.OldestRequests = std::move(Items);
  Report.Workspaces.push_back(Demand);
  return Report;
}

std::vector<Grant> grantsIn(const std::vector<CellAction> &Actions) {
  std::vector<Grant> Grants;
  for (const CellAction &Action : Actions)
    if (const auto *Granted = std::get_if<Outgoing<Grant>>(&Action))
      Grants.push_back(Granted->Body);
  return Grants;
}

/// Vetoes all placements on one replica.
class OneReplicaGuard final : public PlacementGuard {
public:
  bool mayPlace(Fingerprint, const UpstreamId &Upstream) const override {
    return Upstream != UpstreamId("u0");
  }
  void dispatched(GrantId, Fingerprint, const UpstreamId &) override {
    ++Dispatched;
  }
  void ended(GrantId, Fingerprint, const UpstreamId &, bool) override {
    ++Ended;
  }
  void crashed(GrantId, Fingerprint, const UpstreamId &) override { ++Crashed; }

  int Dispatched = 0;
  int Ended = 0;
  int Crashed = 0;
};

} // namespace

class SchedulingCellTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulingCellTest);
  CPPUNIT_TEST(equalPrefixesShareReplica);
  CPPUNIT_TEST(affinityLeavesNoSlotIdle);
  CPPUNIT_TEST(guardFiltersAndObservesPlacements);
  CPPUNIT_TEST(repeatedAndStaleGrantsAreNotDispatched);
  CPPUNIT_TEST(newOwnerWaitsForReportsAndKeepsOrder);
  CPPUNIT_TEST(limitOfAReplicaHoldsAndIsUsed);
  CPPUNIT_TEST(limitDoesNotHoldBackOtherReplicas);
  CPPUNIT_TEST(newOwnerDoesNotSpendALimitAgain);
  CPPUNIT_TEST(limitIsSplitAcrossAPartition);
  CPPUNIT_TEST(grantOfTheFormerOwnerIsFound);
  CPPUNIT_TEST(lateReportDoesNotReviveEndedGrant);
  CPPUNIT_TEST(partitionSidesNeverExceedLimit);
  CPPUNIT_TEST(limitAdaptsToTokenTimes);
  CPPUNIT_TEST(wireFormatPreservesAllFields);
  CPPUNIT_TEST(limitNoticeKeepsTheEndOfALimit);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { TestedCell = makeCell(nullptr, 4); }

  // Guards against prefix cache misses because requests with equal prefixes go
  // to different replicas.
  void equalPrefixesShareReplica() {
    TestedCell->receive(
        Near, reportOf(1, {itemOf(1, 7), itemOf(2, 8), itemOf(3, 7)}), Now);
    const auto Grants = grantsIn(TestedCell->decide(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Grants.size());
    CPPUNIT_ASSERT(Grants[0].Upstream == Grants[2].Upstream);
    CPPUNIT_ASSERT(Grants[0].Upstream != Grants[1].Upstream);
  }

  // Guards against waiting for a replica with a cached prefix while another one
  // is free.
  void affinityLeavesNoSlotIdle() {
    TestedCell = makeCell(nullptr, 1);
    TestedCell->receive(Near, reportOf(1, {itemOf(1, 7), itemOf(2, 7)}), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         grantsIn(TestedCell->decide(Now)).size());
  }

  // Guards against a cell that ignores vetoes, or does not report placements
  // and their ends to the guard.
  void guardFiltersAndObservesPlacements() {
    OneReplicaGuard Guard;
    TestedCell = makeCell(&Guard, 2);
    TestedCell->receive(Near, reportOf(1, {itemOf(1), itemOf(2), itemOf(3)}),
                        Now);
    const auto Grants = grantsIn(TestedCell->decide(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Grants.size());
    for (const Grant &Granted : Grants)
      CPPUNIT_ASSERT(Granted.Upstream == UpstreamId("u1"));
    Completion Done;
    Done.Grant = Grants[0].Id;
    Done.End = GrantEnd::Crashed;
    TestedCell->receive(Near, Done, Now);
    Done.Grant = Grants[1].Id;
    Done.End = GrantEnd::Answered;
    TestedCell->receive(Near, Done, Now);
    CPPUNIT_ASSERT_EQUAL(2, Guard.Dispatched);
    CPPUNIT_ASSERT_EQUAL(1, Guard.Crashed);
    CPPUNIT_ASSERT_EQUAL(1, Guard.Ended);
  }

  // Guards against running a request twice, and against using a grant that
  // arrives after its slot was granted again.
  void repeatedAndStaleGrantsAreNotDispatched() {
    DemandQueue Queue(CellId("c"), Epoch(5));
    for (const char *Name : {"a", "b", "c"}) {
      QueueRequest Request;
      Request.Id = RequestId(Name);
      Request.Workspace = WorkspaceId("w");
      Queue.enqueue(Request, Now);
    }
    const auto Report = *Queue.report(Now);
    Grant Offer;
    Offer.Id = GrantId(1);
    Offer.Session = Epoch(5);
    Offer.ReportSequence = Report.Sequence;
    Offer.Workspace = WorkspaceId("w");
    Offer.Request = Report.Workspaces[0].OldestRequests[0].Id;
    CPPUNIT_ASSERT(
        std::holds_alternative<DispatchedRequest>(Queue.receive(Offer, Now)));
    CPPUNIT_ASSERT(Queue.receive(Offer, Now).index() == 0);
    Offer.Id = GrantId(2);
    CPPUNIT_ASSERT(reasonOf(Queue.receive(Offer, Now)) ==
                   ReturnReason::RequestNotQueued);
    Offer.Request = Report.Workspaces[0].OldestRequests[1].Id;
    Offer.Session = Epoch(4);
    CPPUNIT_ASSERT(reasonOf(Queue.receive(Offer, Now)) ==
                   ReturnReason::SessionMismatch);
    Offer.Session = Epoch(5);
    CPPUNIT_ASSERT(reasonOf(Queue.receive(Offer, Now + Milliseconds(2'000))) ==
                   ReturnReason::Expired);
  }

  // Guards against a new owner that grants slots still in use, or that loses
  // the differences in virtual time between workspaces.
  void newOwnerWaitsForReportsAndKeepsOrder() {
    DemandReport First = reportOf(1, {itemOf(1)}, "ahead");
    First.Workspaces[0].Lag = 500;
    HeldGrant Held;
    Held.Grant = GrantId(77);
    Held.Workspace = WorkspaceId("ahead");
    Held.Upstream = UpstreamId("u0");
    First.Held.push_back(Held);
    TestedCell = makeCell(nullptr, 1, {Near, Far});
    TestedCell->receive(Near, First, Now);
    CPPUNIT_ASSERT(grantsIn(TestedCell->decide(Now)).empty());
    TestedCell->receive(Far, reportOf(1, {itemOf(1)}, "behind"), Now);
    const auto Grants = grantsIn(TestedCell->decide(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Grants.size());
    CPPUNIT_ASSERT(Grants[0].Workspace == WorkspaceId("behind"));
    CPPUNIT_ASSERT(Grants[0].Upstream == UpstreamId("u1"));
  }

  // Guards against a new owner that gives away a slot whose grant, from before
  // a restart, reached the router after its full report.
  void grantOfTheFormerOwnerIsFound() {
    TestedCell = makeCell(nullptr, 1);
    TestedCell->receive(Near, reportOf(1, {}), Now);
    TestedCell->decide(Now);
    DemandReport Delta = reportOf(2, {});
    Delta.Full = false;
    Delta.Accepted = {GrantId(77)};
    TestedCell->receive(Near, Delta, Now);
    bool AskedForFullReport = false;
    for (const CellAction &Action : TestedCell->decide(Now))
      if (const auto *Sent = std::get_if<Outgoing<Allotment>>(&Action))
        AskedForFullReport |=
            Sent->Recipient == Near && Sent->Body.Session == Epoch(0);
    CPPUNIT_ASSERT(AskedForFullReport);
    DemandReport Full = reportOf(3, {itemOf(1), itemOf(2)});
    HeldGrant Held;
    Held.Grant = GrantId(77);
    Held.Workspace = WorkspaceId("w");
    Held.Upstream = UpstreamId("u0");
    Full.Held.push_back(Held);
    TestedCell->receive(Near, Full, Now);
    const auto Grants = grantsIn(TestedCell->decide(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Grants.size());
    CPPUNIT_ASSERT(Grants[0].Upstream != UpstreamId("u0"));
  }

  // Guards against leaked slots when messages arrive out of order.
  void lateReportDoesNotReviveEndedGrant() {
    TestedCell->receive(Near, reportOf(1, {itemOf(1)}), Now);
    const Grant Granted = grantsIn(TestedCell->decide(Now)).at(0);
    Completion Done;
    Done.Grant = Granted.Id;
    Done.Served = ServiceUnits(10);
    TestedCell->receive(Near, Done, Now);
    DemandReport Late = reportOf(2, {});
    HeldGrant Held;
    Held.Grant = Granted.Id;
    Held.Workspace = WorkspaceId("w");
    Held.Upstream = Granted.Upstream;
    Late.Held.push_back(Held);
    TestedCell->receive(Near, Late, Now);
    CPPUNIT_ASSERT_EQUAL(0U, TestedCell->status(Now).InFlight);
  }

  // Guards against overloaded replicas when both sides of a partition grant.
  void partitionSidesNeverExceedLimit() {
    CPPUNIT_ASSERT(rc::check("parts", [] {
      const auto Registered = *rc::gen::inRange<std::size_t>(1, 400);
      const auto Side = *rc::gen::inRange<std::size_t>(0, Registered + 1);
      const auto Limit = *rc::gen::inRange<std::uint32_t>(1, 5'000);
      const FleetCoverage Left{Side, Registered};
      const FleetCoverage Right{Registered - Side, Registered};
      RC_ASSERT(Left.scaled(Limit) + Right.scaled(Limit) <= Limit);
      RC_ASSERT(Left.scaled(Limit) + Right.scaled(Limit) + 1 >= Limit);
    }));
  }

  // Guards against a limit that ignores slow replicas, or that never grows.
  void limitAdaptsToTokenTimes() {
    AdaptiveLimit Limit({4, 32, Milliseconds(630), Milliseconds(68)});
    for (int Second = 0; Second < 20; ++Second) {
      Limit.markSaturated();
      Limit.sample(Milliseconds(100), Milliseconds(20));
      Limit.adjust(Now += Milliseconds(1'000));
    }
    CPPUNIT_ASSERT_EQUAL(32U, Limit.value());
    for (int Second = 0; Second < 40; ++Second) {
      Limit.sample(Milliseconds(100), Milliseconds(90));
      Limit.adjust(Now += Milliseconds(1'000));
    }
    CPPUNIT_ASSERT_EQUAL(1U, Limit.value());
  }

  // Guards against fields that are missing or swapped on the wire, and against
  // accepting, or crashing on, arbitrary bytes.
  void limitNoticeKeepsTheEndOfALimit() {
    const LimitNotice Sent{
        CellId("c"),
        {{UpstreamId("u0"), RequestRate(2.5), Milliseconds(40)},
         {UpstreamId("u1"), std::nullopt, Milliseconds(900)}}};
    const LimitNotice Received = valueOf(decode<LimitNotice>(encode(Sent)));
    CPPUNIT_ASSERT(Received.Limits[0].Rate == RequestRate(2.5));
    CPPUNIT_ASSERT(!Received.Limits[1].Rate);
    CPPUNIT_ASSERT(Received.Limits[1].Age == Milliseconds(900));
  }

  void wireFormatPreservesAllFields() {
    DemandReport Report = reportOf(3, {itemOf(1, 9)});
    Report.Workspaces[0].Lag = 2.5;
    Report.Workspaces[0].OldestRequests[0].Avoid.emplace_back("u9");
    Completion Done;
    Done.Grant = GrantId(5);
    Done.Served = ServiceUnits(1'234'567);
    Done.FirstToken = Milliseconds(8);
    Done.Signal = UpstreamSignal::Leaving;
    Report.Ended.push_back(Done);
    const auto Decoded = decode<DemandReport>(encode(Report));
    CPPUNIT_ASSERT(isOk(Decoded));
    const DemandReport &Restored = valueOf(Decoded);
    CPPUNIT_ASSERT_EQUAL(encode(Report), encode(Restored));
    CPPUNIT_ASSERT_EQUAL(2.5, Restored.Workspaces[0].Lag);
    CPPUNIT_ASSERT(Restored.Workspaces[0].OldestRequests[0].Avoid[0] ==
                   UpstreamId("u9"));
    CPPUNIT_ASSERT_EQUAL(1'234'567.0, Restored.Ended[0].Served.Value);
    CPPUNIT_ASSERT(Restored.Ended[0].FirstToken == Milliseconds(8));
    CPPUNIT_ASSERT(!Restored.Ended[0].InterToken);
    CPPUNIT_ASSERT(Restored.Ended[0].Signal == UpstreamSignal::Leaving);
    CPPUNIT_ASSERT(rc::check("foreign bytes", [](const std::string &Bytes) {
      RC_ASSERT(!isOk(decode<DemandReport>(Bytes)));
    }));
  }

  // Guards against grants beyond the requests per second that a replica takes,
  // and against a limit that is left unused.
  void limitOfAReplicaHoldsAndIsUsed() {
    for (const double Rate : {0.5, 2.0, 20.0}) {
      TestedCell = makeCell(nullptr, Slots);
      nameLimits(RequestRate(Rate), RequestRate(Rate));
      const std::size_t Granted = grantsDuring(Milliseconds(20'000));
      CPPUNIT_ASSERT(static_cast<double>(Granted) >= 2 * 0.9 * 20 * Rate - 2);
      CPPUNIT_ASSERT(static_cast<double>(Granted) <= 2 * (20 * Rate + 1));
    }
  }

  // Guards against requests that wait for a limited replica while another is
  // free, and against a limit that outlives its last response.
  void limitDoesNotHoldBackOtherReplicas() {
    TestedCell = makeCell(nullptr, Slots);
    nameLimits(RequestRate(1), std::nullopt);
    // Four new requests in each of ten ticks.
    constexpr std::size_t All = 40;
    CPPUNIT_ASSERT_EQUAL(All, grantsDuring(Milliseconds(200)));
    nameLimits(std::nullopt, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(All, grantsDuring(Milliseconds(200)));
  }

  // Guards against an owner that grants at once what the former one has.
  void newOwnerDoesNotSpendALimitAgain() {
    std::size_t Granted = 0;
    for (int Owner = 0; Owner < 4; ++Owner) {
      TestedCell = makeCell(nullptr, Slots);
      nameLimits(RequestRate(1), RequestRate(1));
      Granted += grantsDuring(Milliseconds(1'000));
    }
    // Two replicas in four seconds.
    CPPUNIT_ASSERT_LESSEQUAL(std::size_t{8}, Granted);
  }

  // Guards against two sides of a partition that each use the whole limit.
  void limitIsSplitAcrossAPartition() {
    TestedCell = makeCell(nullptr, Slots);
    TestedCell->setMembers({{Near, ZoneId("z")}}, 2, Now);
    nameLimits(RequestRate(4), RequestRate(4));
    const std::size_t Granted = grantsDuring(Milliseconds(10'000));
    // Two replicas, half of the limit, and a request that each may have saved.
    CPPUNIT_ASSERT_LESSEQUAL(std::size_t{42}, Granted);
  }

private:
  std::unique_ptr<Cell> makeCell(PlacementGuard *Guard, std::uint32_t Slots,
                                 const std::vector<RouterId> &Routers = {
                                     Near}) const {
    CellSettings Settings;
    Settings.Id = CellId("c");
    Settings.Replica = {Slots, Slots, Milliseconds(630), Milliseconds(68)};
    Settings.MaxRequestUnits = 100;
    auto Result = std::make_unique<Cell>(Settings, 1, Now, Guard);
    std::vector<CellMember> Members;
    Members.reserve(Routers.size());
    for (const RouterId &Id : Routers)
      Members.push_back({Id, ZoneId("z")});
    Result->setMembers(Members, Members.size(), Now);
    Result->setReplicas({{UpstreamId("u0"), "a0", ZoneId("z"), Slots, {}},
                         {UpstreamId("u1"), "a1", ZoneId("z"), Slots, {}}});
    return Result;
  }

  static constexpr std::uint32_t Slots = 64;

  void nameLimits(std::optional<RequestRate> First,
                  std::optional<RequestRate> Second) {
    TestedCell->setReplicas(
        {{UpstreamId("u0"), "a0", ZoneId("z"), Slots, {}, First},
         {UpstreamId("u1"), "a1", ZoneId("z"), Slots, {}, Second}});
  }

  /// Counts the grants of a time in which a request always waits and each one
  /// granted ends at once.
  std::size_t grantsDuring(Milliseconds Span) {
    constexpr Milliseconds Tick{20};
    std::size_t Count = 0;
    for (Milliseconds At{0}; At < Span; At += Tick, Now += Tick) {
      ++ReportNumber;
      std::vector<QueuedItem> Items;
      for (std::uint64_t Number = 0; Number < 4; ++Number)
        Items.push_back(itemOf(4 * ReportNumber + Number));
      TestedCell->receive(Near, reportOf(ReportNumber, Items), Now);
      for (const Grant &Granted : grantsIn(TestedCell->decide(Now))) {
        ++Count;
        Completion Done;
        Done.Cell = CellId("c");
        Done.Grant = Granted.Id;
        Done.Upstream = Granted.Upstream;
        TestedCell->receive(Near, Done, Now);
      }
    }
    return Count;
  }

  static ReturnReason reasonOf(const GrantOutcome &Outcome) {
    return std::get<GrantReturn>(Outcome).Reason;
  }

  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t ReportNumber = 0;
  std::unique_ptr<Cell> TestedCell;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingCellTest);

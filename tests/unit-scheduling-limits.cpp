#include "support/scheduling_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using namespace mallowglade::test;

namespace {

constexpr std::size_t Routers = 4;
constexpr double Limit = 40;

QueueRequest requestOf(std::uint64_t Number) {
  QueueRequest Request;
  Request.Id = RequestId(std::to_string(Number));
  Request.Workspace = WorkspaceId("w");
  Request.Hint = ServiceUnits(1);
  return Request;
}

/// Four routers' queues and a cell that allots the request rate of one
/// workspace.
class RateFleet {
public:
  RateFleet() : RateCell(settings(), 1, Now) {
    std::vector<CellMember> Members;
    for (std::size_t Router = 0; Router < Routers; ++Router) {
      Queues.emplace_back(CellId("c"), Epoch(1));
      Queues.back().configure(
          {{WorkspaceId("w"), Limit, 0, 0, Milliseconds(1'000)}}, Routers);
      Members.push_back({RouterId(std::to_string(Router)), ZoneId("z")});
    }
    RateCell.setMembers(Members, Routers, Now);
  }

  /// Offers requests for one second; returns the number of accepted ones.
  std::size_t runOneSecond(const std::vector<double> &PerSecond) {
    std::size_t Accepted = 0;
    for (int Tick = 0; Tick < 100; ++Tick) {
      Now += Milliseconds(10);
      for (std::size_t Router = 0; Router < Routers; ++Router) {
        PendingArrivals[Router] += PerSecond[Router] / 100;
        for (; PendingArrivals[Router] >= 1; PendingArrivals[Router] -= 1)
          Accepted +=
              Queues[Router].enqueue(requestOf(NextRequest++), Now) ? 0 : 1;
        Queues[Router].expire(Now);
        if (const auto Report = Queues[Router].report(Now))
          RateCell.receive(RouterId(std::to_string(Router)), *Report, Now);
      }
      for (const CellAction &Action : RateCell.decide(Now))
        if (const auto *Rates = std::get_if<Outgoing<Allotment>>(&Action))
          Queues[std::stoul(Rates->Recipient.Value)].receive(Rates->Body, Now);
    }
    return Accepted;
  }

private:
  static CellSettings settings() {
    CellSettings Settings;
    Settings.Id = CellId("c");
    return Settings;
  }

  TimePoint Now{std::chrono::hours(1)};
  Cell RateCell;
  std::vector<DemandQueue> Queues;
  std::vector<double> PendingArrivals = std::vector<double>(Routers, 0);
  std::uint64_t NextRequest = 1;
};

} // namespace

class SchedulingLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulingLimitsTest);
  CPPUNIT_TEST(fleetRateFollowsTraffic);
  CPPUNIT_TEST(fullQueueRefusesAtOnce);
  CPPUNIT_TEST(floodDoesNotStarveOthers);
  CPPUNIT_TEST(queueTimeoutRefusesRequest);
  CPPUNIT_TEST(serviceRateCountsActualCost);
  CPPUNIT_TEST(retriesStayWithinBudget);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a rate limit that is exceeded fleet-wide, or that cannot be
  // used up because the traffic enters through few routers.
  void fleetRateFollowsTraffic() {
    CPPUNIT_ASSERT(rc::check("rate limit", [] {
      RateFleet Fleet;
      std::vector<double> Offered(Routers);
      for (double &Rate : Offered)
        Rate = *rc::gen::element(0.0, 5.0, 30.0, 200.0);
      double Total = 0;
      for (const double Rate : Offered)
        Total += Rate;
      std::size_t Accepted = 0;
      // Warm-up: the first second uses equal fractions, later ones follow the
      // traffic.
      for (int Second = 0; Second < 3; ++Second)
        Fleet.runOneSecond(Offered);
      for (int Second = 0; Second < 10; ++Second)
        Accepted += Fleet.runOneSecond(Offered);
      const double Admissible = std::min(Total, Limit) * 10;
      RC_ASSERT(Accepted <= 1.15 * Limit * 10);
      RC_ASSERT(Accepted >= 0.8 * Admissible - 4);
    }));
  }

  // Guards against an unbounded queue: requests above the queue length must be
  // refused at once.
  void fullQueueRefusesAtOnce() {
    DemandQueue Queue(CellId("c"), Epoch(1));
    Queue.configure({{WorkspaceId("w"), 0, 0, 5, Milliseconds(1'000)}}, 1);
    const TimePoint Now{std::chrono::hours(1)};
    for (std::uint64_t Number = 0; Number < 5; ++Number)
      CPPUNIT_ASSERT(!Queue.enqueue(requestOf(Number), Now));
    const auto Refused = Queue.enqueue(requestOf(5), Now);
    CPPUNIT_ASSERT(Refused);
    CPPUNIT_ASSERT(Refused->Reason.Id == ErrorId::QueueFull);
    CPPUNIT_ASSERT(Refused->RetryAfter.count() > 0);
  }

  // Guards against starvation of a small workspace by the long queue of another
  // one.
  void floodDoesNotStarveOthers() {
    CPPUNIT_ASSERT(rc::check("flood", [] {
      FleetConfig Config;
      Config.Seed = *rc::gen::arbitrary<std::uint64_t>();
      Config.Weights = {1, *rc::gen::element(0.5, 1.0, 4.0)};
      Config.Backlog = {{1, 0, 0}, {0, 500, 500}};
      SimulatedFleet Fleet(Config);
      Fleet.run(Milliseconds(10'000));
      const double Slots = Config.Replicas * Config.Slots;
      const double MaxStarvationMs = Fleet.fairnessBound() *
                                     (Config.Weights[0] + Config.Weights[1]) /
                                     (Slots * SimulatedFleet::SlotRate) * 1'000;
      RC_ASSERT(Fleet.longestStarvation().count() <= MaxStarvationMs);
      RC_ASSERT(Fleet.largestGap() <= Fleet.fairnessBound());
    }));
  }

  // Guards against requests that stay queued until the client times out.
  void queueTimeoutRefusesRequest() {
    DemandQueue Queue(CellId("c"), Epoch(1));
    Queue.configure({{WorkspaceId("w"), 0, 0, 0, Milliseconds(100)}}, 1);
    const TimePoint Now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(!Queue.enqueue(requestOf(1), Now));
    CPPUNIT_ASSERT(Queue.expire(Now + Milliseconds(99)).empty());
    const auto Refused = Queue.expire(Now + Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Refused.size());
    CPPUNIT_ASSERT(Refused.front().Reason.Id == ErrorId::QueueTimeout);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Queue.queued());
  }

  // Guards against a service rate limit that small hints can bypass.
  void serviceRateCountsActualCost() {
    DemandQueue Queue(CellId("c"), Epoch(1));
    Queue.configure({{WorkspaceId("w"), 0, 100, 0, Milliseconds(0)}}, 1);
    TimePoint Now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(!Queue.enqueue(requestOf(1), Now));
    const auto Report = Queue.report(Now);
    const Grant Offer{CellId("c"),
                      GrantId(1),
                      Epoch(1),
                      Report->Sequence,
                      Report->Workspaces.front().OldestRequests.front().Id,
                      WorkspaceId("w"),
                      UpstreamId("u"),
                      "",
                      ServiceUnits(1)};
    Queue.receive(Offer, Now);
    Completion Done;
    Done.Grant = GrantId(1);
    Done.Served = ServiceUnits(1'000);
    CPPUNIT_ASSERT(Queue.finish(Done, Now));
    const auto Refused = Queue.enqueue(requestOf(2), Now);
    CPPUNIT_ASSERT(Refused);
    CPPUNIT_ASSERT(Refused->Reason.Id == ErrorId::RateLimited);
    Now += Refused->RetryAfter + Milliseconds(10);
    CPPUNIT_ASSERT(!Queue.enqueue(requestOf(3), Now));
  }

  // Guards against a retry storm while upstreams fail.
  void retriesStayWithinBudget() {
    RetryBudget Budget;
    int Retries = 0;
    for (int Request = 0; Request < 1'000; ++Request) {
      Budget.recordSuccess();
      Retries += Budget.takeRetry() ? 1 : 0;
    }
    CPPUNIT_ASSERT(Retries <= 111);
    CPPUNIT_ASSERT(Retries >= 99);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingLimitsTest);

#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Models("models");

} // namespace

/// Reads of the store, overload, retry budget and crash history of a router.
class DataplaneLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneLimitsTest);
  CPPUNIT_TEST(unconfirmedStateIsReadInTime);
  CPPUNIT_TEST(delayedReportsDoNotProveTheState);
  CPPUNIT_TEST(overloadedRouterIsNotAdvertised);
  CPPUNIT_TEST(overloadedRouterStaysReachable);
  CPPUNIT_TEST(saturatedRouterRefusesAllStreams);
  CPPUNIT_TEST(fleetRetriesStayWithinTheBudget);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a router that learns too late that an upstream is shutting
  // down because the routers that poll the store cannot reach it.
  void unconfirmedStateIsReadInTime() {
    constexpr Milliseconds Bound{2'000};
    constexpr Milliseconds Step{200};
    constexpr Milliseconds SlowReadTime{300};
    constexpr std::size_t NonPollingRank = StoreReadPolicy::PollingRouters;
    ManualClock Time;
    StoreReadPolicy ReadPolicy(Bound);
    ReadPolicy.recordRead(Time.now());
    const TimePoint Start = Time.now();
    while (!ReadPolicy.shouldRead(Time.now(), NonPollingRank))
      Time.advance(Step);
    CPPUNIT_ASSERT(Time.now() + Step + SlowReadTime - Start < Bound);
    // No read is needed while reports confirm the state.
    ReadPolicy.recordConfirmation(Time.now(), Milliseconds(100));
    CPPUNIT_ASSERT(!ReadPolicy.shouldRead(Time.now(), NonPollingRank));
    CPPUNIT_ASSERT(ReadPolicy.shouldRead(Time.now(), 0));
    // A report older than this router's latest read does not trigger another.
    ReadPolicy.recordRead(Time.now());
    Time.advance(Step);
    CPPUNIT_ASSERT(!ReadPolicy.isNewer(Time.now(), 2 * Step));
    CPPUNIT_ASSERT(ReadPolicy.isNewer(Time.now(), Step / 2));
    // Only the routers that poll retry a failed read without back-off.
    Time.advance(2 * Bound);
    ReadPolicy.recordFailedRead(Time.now());
    CPPUNIT_ASSERT(ReadPolicy.shouldRead(Time.now(), 0));
    CPPUNIT_ASSERT(!ReadPolicy.shouldRead(Time.now(), NonPollingRank));
    Time.advance(Bound / 2);
    CPPUNIT_ASSERT(ReadPolicy.shouldRead(Time.now(), NonPollingRank));
  }

  // Guards against accepting a revoked key on the basis of delayed datagrams.
  void delayedReportsDoNotProveTheState() {
    ManualClock Time;
    StoreReadPolicy ReadPolicy(Milliseconds(2'000));
    ReadPolicy.recordRead(Time.now());
    const TimePoint Read = Time.now();
    Time.advance(std::chrono::seconds(4));
    ReadPolicy.recordConfirmation(Time.now(), Milliseconds(100));
    CPPUNIT_ASSERT(ReadPolicy.provenAt() == Read);
    CPPUNIT_ASSERT(
        ReadPolicy.shouldRead(Time.now(), StoreReadPolicy::PollingRouters));
  }

  // Guards against advertising a router that is overloaded.
  void overloadedRouterIsNotAdvertised() {
    ManualClock Time;
    OverloadDetector Overload;
    Overload.sample(Milliseconds(5), Time.now());
    CPPUNIT_ASSERT(!Overload.overloaded());
    CPPUNIT_ASSERT(!Overload.refusesStream(false));
    for (int Round = 0; Round < 4; ++Round)
      Overload.sample(Milliseconds(150), Time.now());
    CPPUNIT_ASSERT(Overload.overloaded());
    CPPUNIT_ASSERT(Overload.refusesStream(false));
    CPPUNIT_ASSERT(Overload.withheldFromCallers(Time.now()));
    for (int Round = 0; Round < 8; ++Round)
      Overload.sample(Milliseconds(0), Time.now());
    CPPUNIT_ASSERT(!Overload.overloaded());
    CPPUNIT_ASSERT(!Overload.refusesStream(false));
    CPPUNIT_ASSERT(Overload.withheldFromCallers(Time.now()));
    Time.advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT(!Overload.withheldFromCallers(Time.now()));
  }

  // Guards against a router that is never reachable while its overload lasts.
  void overloadedRouterStaysReachable() {
    constexpr Milliseconds Period{50};
    constexpr Milliseconds LongestPause{3'000};
    ManualClock Time;
    OverloadDetector Overload;
    TimePoint LastAccepted = Time.now();
    unsigned Accepting = 0;
    constexpr unsigned Samples = 400;
    for (unsigned Sample = 0; Sample < Samples; ++Sample) {
      Time.advance(Period);
      Overload.sample(Milliseconds(200), Time.now());
      if (Overload.acceptsConnections()) {
        LastAccepted = Time.now();
        ++Accepting;
      }
      CPPUNIT_ASSERT(Time.now() - LastAccepted < LongestPause);
    }
    CPPUNIT_ASSERT(Accepting < Samples / 4);
  }

  // Guards against serving streams that cannot start within their latency
  // objective.
  void saturatedRouterRefusesAllStreams() {
    ManualClock Time;
    OverloadDetector Overload;
    CPPUNIT_ASSERT(!Overload.refusesStream(false));
    Overload.sample(Milliseconds(200), Time.now());
    CPPUNIT_ASSERT(Overload.refusesStream(false));
    CPPUNIT_ASSERT(!Overload.refusesStream(true));
    for (int Round = 0; Round < 4; ++Round)
      Overload.sample(Milliseconds(600), Time.now());
    CPPUNIT_ASSERT(Overload.refusesStream(true));
  }

  // Guards against a retry storm after upstreams fail.
  void fleetRetriesStayWithinTheBudget() {
    constexpr std::size_t Routers = 8;
    constexpr double Ratio = 0.2;
    constexpr double Slack = 56;
    constexpr int WindowSeconds = 10;
    const bool Holds = rc::check([&](std::uint8_t Requests) {
      ManualClock Time;
      std::vector<RouterRetryBudget> All;
      for (std::size_t Index = 0; Index < Routers; ++Index) {
        All.emplace_back(
            RetryLimits{Ratio, Slack, std::chrono::seconds(WindowSeconds)},
            Time);
        All.back().setRouters(Routers);
      }
      const std::size_t PerSecond = Requests / 8U;
      double Retries = 0;
      for (int Second = 0; Second < WindowSeconds; ++Second) {
        for (RouterRetryBudget &Budget : All) {
          for (std::size_t Index = 0; Index < PerSecond; ++Index)
            Budget.recordRequest(Models);
          while (Budget.tryTake(Models))
            ++Retries;
        }
        Time.advance(std::chrono::seconds(1));
      }
      const auto Sent =
          static_cast<double>(PerSecond * Routers * WindowSeconds);
      RC_ASSERT(Retries <= Ratio * Sent + Slack);
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneLimitsTest);

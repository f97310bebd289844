#include "support/limit_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <array>
#include <cmath>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::uint64_t, 3> Seeds{7'919, 15'838, 23'757};
constexpr UpstreamProcess Engine(7);
const ServiceId Pool("pool");

/// A router that knows one upstream.
struct Router {
  explicit Router(const Clock &Time, std::uint64_t Key = 1)
      : Limits(Time, RouterKey(Key), Key) {
    Limits.setListed({{Engine, serviceKey(Pool)}});
  }
  /// Records a response to a request that was just sent.
  void respond(const ManualClock &Time, std::optional<double> Rate) {
    Limits.recordResponse(
        Engine, Rate ? std::optional(RequestRate(*Rate)) : std::nullopt,
        Time.now());
  }
  /// Returns the rate of the whole fleet, negative without one.
  double rate() const {
    const auto Rate = Limits.limitOf(Engine);
    return Rate ? Rate->Value : -1;
  }

  UpstreamLimits Limits;
};

/// Requests that an upstream may get within a time after the end of its limit:
/// what a rate that doubles each half a second gives, and what its holders may
/// have saved, see `rateHolders`.
double allowedAfterEnd(double Limit, double Seconds) {
  const double Last = Limit * std::exp2(2 * Seconds);
  return (Last - Limit) / (2 * std::log(2)) + 4.0 / 3 * (2 + std::ceil(Last)) +
         Last / 4;
}

constexpr double LimitBeforeEnd = 2;
constexpr milliseconds EndsAt{8'000};

/// A fleet with much more work than the limit allows, which ends at `EndsAt`.
LimitScenario endingLimit(unsigned Routers) {
  LimitScenario Scenario;
  Scenario.Routers = Routers;
  Scenario.Demand = std::max(400.0, 4.0 * Routers);
  Scenario.Duration = milliseconds(14'000);
  Scenario.LimitAt = [](milliseconds At) {
    return At < EndsAt ? LimitBeforeEnd : 0.0;
  };
  return Scenario;
}

/// Fails if the upstreams get a wave after the end of the limit, or if the
/// limit lasts.
void checkOpening(const std::string &Name, const LimitScenario &Scenario,
                  double MinServed = 0.9, std::size_t Runs = Seeds.size()) {
  for (std::size_t Run = 0; Run < Runs; ++Run) {
    const std::uint64_t Seed = Seeds[Run];
    const LimitOutcome Outcome = simulateLimits(Scenario, Seed);
    const std::size_t End = EndsAt / milliseconds(1'000);
    double Served = 0;
    for (std::size_t Second = End + 3; Second < End + 6; ++Second)
      Served += Outcome.BySecond[Second] / (3 * Scenario.Demand);
    const double First = Outcome.BySecond[End] / Scenario.Upstreams;
    const double Two = First + Outcome.BySecond[End + 1] / Scenario.Upstreams;
    const std::string Figures = fmt::format(
        "{}, seed {}: {} in the first second, {:.1f} allowed; {} in two, "
        "{:.1f} allowed; {:.2f} of the demand served afterwards",
        Name, Seed, First, allowedAfterEnd(LimitBeforeEnd, 1), Two,
        allowedAfterEnd(LimitBeforeEnd, 2), Served);
    CPPUNIT_ASSERT_MESSAGE(Figures,
                           First <= allowedAfterEnd(LimitBeforeEnd, 1));
    CPPUNIT_ASSERT_MESSAGE(Figures, Two <= allowedAfterEnd(LimitBeforeEnd, 2));
    CPPUNIT_ASSERT_MESSAGE(Figures, Served >= MinServed);
  }
}

} // namespace

/// Load: callers held back by limits that end or are raised, at all routers.
class LimitOpeningsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitOpeningsTest);
  CPPUNIT_TEST(rateOpensAfterTheEnd);
  CPPUNIT_TEST(raiseOpensAndReductionHoldsAtOnce);
  CPPUNIT_TEST(upstreamsWithoutALimitAreNotTouched);
  CPPUNIT_TEST(lateResponseDoesNotBringALimitBack);
  CPPUNIT_TEST(routersThatStartHearOfAnOpening);
  CPPUNIT_TEST(endSendsNoWave);
  CPPUNIT_TEST(raiseSendsNoWave);
  CPPUNIT_TEST(endSendsNoWaveWhileRoutersFail);
  CPPUNIT_TEST_SUITE_END();

public:
  void rateOpensAfterTheEnd() {
    ManualClock Time;
    Router R(Time);
    R.respond(Time, 3);
    Time.advance(milliseconds(100));
    R.respond(Time, {});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, R.rate(), 1e-6);
    Time.advance(RateDoublingTime);
    R.respond(Time, {});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, R.rate(), 1e-6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), R.Limits.limitedCount());
    Time.advance(RateOpeningTime - RateDoublingTime);
    CPPUNIT_ASSERT_EQUAL(-1.0, R.rate());
    R.Limits.setPeers({}, {});
    CPPUNIT_ASSERT(!R.Limits.any());
    // A limit that is named afterwards holds at once.
    R.respond(Time, 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, R.rate(), 1e-6);
  }

  // Also guards against a second limit that opens the first one when it ends.
  void raiseOpensAndReductionHoldsAtOnce() {
    ManualClock Time;
    Router R(Time);
    R.respond(Time, 2);
    Time.advance(milliseconds(100));
    R.respond(Time, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, R.rate(), 1e-6);
    Time.advance(RateDoublingTime);
    // Naming it again does not change the time of the raise.
    R.respond(Time, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, R.rate(), 1e-6);
    Time.advance(RateDoublingTime);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, R.rate(), 1e-6);
    R.respond(Time, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, R.rate(), 1e-6);
    Time.advance(std::chrono::seconds(10));
    R.respond(Time, 5);
    Time.advance(std::chrono::seconds(10));
    R.respond(Time, {});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, R.rate(), 1e-6);
  }

  void upstreamsWithoutALimitAreNotTouched() {
    ManualClock Time;
    Router R(Time);
    for (int Count = 0; Count < 100; ++Count) {
      R.Limits.recordDemand(serviceKey(Pool));
      CPPUNIT_ASSERT(R.Limits.mayStart(Engine));
      R.Limits.recordStart(Engine);
      R.respond(Time, {});
    }
    R.Limits.setPeers({}, {{RouterKey(2), {}}});
    CPPUNIT_ASSERT(!R.Limits.any());
    CPPUNIT_ASSERT(R.Limits.mayStart(Engine));
    CPPUNIT_ASSERT_EQUAL(-1.0, R.rate());
    CPPUNIT_ASSERT(R.Limits.report().empty());
    CPPUNIT_ASSERT(R.Limits.ownDemand().empty());
  }

  // Guards against a response that was on its way when the limit ended.
  void lateResponseDoesNotBringALimitBack() {
    ManualClock Time;
    Router R(Time);
    R.respond(Time, 3);
    const TimePoint SentBefore = Time.now();
    Time.advance(milliseconds(100));
    R.respond(Time, {});
    Time.advance(RateDoublingTime);
    R.Limits.recordResponse(Engine, RequestRate(3), SentBefore);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, R.rate(), 1e-6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), R.Limits.limitedCount());
    // A lower limit, and one that answers a later request, are new.
    R.Limits.recordResponse(Engine, RequestRate(2), SentBefore);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, R.rate(), 1e-6);
    Time.advance(milliseconds(100));
    R.respond(Time, {});
    Time.advance(RateDoublingTime);
    R.respond(Time, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), R.Limits.limitedCount());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, R.rate(), 1e-6);
  }

  // Guards against routers that start while a rate opens and know no limit.
  void routersThatStartHearOfAnOpening() {
    ManualClock Time;
    Router Known(Time);
    Known.respond(Time, 3);
    Time.advance(milliseconds(100));
    Known.respond(Time, {});
    Time.advance(RateDoublingTime);
    PeerReport Report;
    Report.Sender = RouterId("127.0.0.1:1");
    Report.CallerAddress = "127.0.0.1:2";
    Report.Limits = Known.Limits.report();
    const auto Received = valueOf(decodeReport(encodeReport(Report)));
    Router Started(Time, 2);
    Started.Limits.setPeers(Received.Limits, {{RouterKey(1), {}}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, Started.rate(), 1e-3);
    // Further reports of it do not begin it again.
    Time.advance(RateDoublingTime);
    Known.respond(Time, {});
    Started.Limits.setPeers(Known.Limits.report(), {{RouterKey(1), {}}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, Started.rate(), 1e-3);
  }

  void endSendsNoWave() {
    for (const unsigned Routers : {2U, 8U, 30U, 300U})
      checkOpening(fmt::format("{} routers", Routers), endingLimit(Routers),
                   0.9, Routers < 300 ? Seeds.size() : 1);
  }

  void raiseSendsNoWave() {
    constexpr double Raised = 40;
    for (const unsigned Routers : {2U, 30U}) {
      LimitScenario Scenario = endingLimit(Routers);
      Scenario.LimitAt = [](milliseconds At) {
        return At < EndsAt ? LimitBeforeEnd : Raised;
      };
      checkOpening(fmt::format("raise, {} routers", Routers), Scenario,
                   0.9 * Raised * Scenario.Upstreams / Scenario.Demand);
    }
  }

  void endSendsNoWaveWhileRoutersFail() {
    LimitScenario Scenario = endingLimit(30);
    const auto IsAway = [](unsigned Router, milliseconds At) {
      return Router % 2 == 1 && At >= EndsAt - milliseconds(500) &&
             At < EndsAt + milliseconds(500);
    };
    Scenario.Runs = [IsAway](unsigned Router, milliseconds At) {
      return !IsAway(Router, At);
    };
    checkOpening("half of the routers restart", Scenario);
    Scenario.Runs = {};
    Scenario.Freezes = IsAway;
    checkOpening("half of the routers freeze", Scenario);
    Scenario.Freezes = {};
    Scenario.Reaches = [IsAway](unsigned From, unsigned, milliseconds At) {
      return !IsAway(From, At);
    };
    checkOpening("half of the routers are silent", Scenario);
    Scenario.Reaches = [IsAway](unsigned, unsigned To, milliseconds At) {
      return !IsAway(To, At);
    };
    checkOpening("half of the routers hear nothing", Scenario);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitOpeningsTest);

#include <mallowglade/detail/router/attempt_meter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace mallowglade;

namespace {

PoolSettings makePool() {
  PoolSettings Pool;
  Pool.Kind = PoolKind::Model;
  Pool.InputWeight = 1;
  Pool.OutputWeight = 10;
  Pool.MaxRequestUnits = 1'000'000;
  return Pool;
}

/// Service of an attempt without a body whose engine stated its usage.
double servedAfter(const std::string &Json) {
  const PoolSettings Pool = makePool();
  const ManualClock Time;
  AttemptMeter Meter(Pool, 0, Time);
  Meter.usageOf(Json);
  return Meter.progress().Served.Value;
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

} // namespace

class AttemptMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptMeterTest);
  CPPUNIT_TEST(statedUsageIsCharged);
  CPPUNIT_TEST(usageOfAnotherTypeIsIgnored);
  CPPUNIT_TEST(usageIsBounded);
  CPPUNIT_TEST(nestedDocumentsEndNothing);
  CPPUNIT_TEST(bodiesAreEstimatedWithinBounds);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a usage object that is not found in an event.
  void statedUsageIsCharged() {
    CPPUNIT_ASSERT_EQUAL(
        27.0, servedAfter(R"({"a":{"b":[1]},"usage":{"prompt_tokens":7,)"
                          R"("x":{},"completion_tokens":2},"z":0})"));
  }

  // Guards against accounts that follow text, truth values, negative numbers
  // or a usage that is no object.
  void usageOfAnotherTypeIsIgnored() {
    for (const char *Json :
         {R"({"usage":{"prompt_tokens":"7","completion_tokens":true}})",
          R"({"usage":{"prompt_tokens":-7,"completion_tokens":[2]}})",
          R"({"usage":[7,2]})", R"([{"usage":{"prompt_tokens":7}}])",
          R"({"usage":{"prompt_tokens":7})", R"("usage")",
          R"({"usage":{"prompt_tokens":1e999}})"})
      CPPUNIT_ASSERT_EQUAL(0.0, servedAfter(Json));
  }

  // Guards against one answer that fills the account of its workspace for good.
  void usageIsBounded() {
    const double Served = servedAfter(
        R"({"usage":{"prompt_tokens":1e308,"completion_tokens":1e308}})");
    CPPUNIT_ASSERT(std::isfinite(Served));
    CPPUNIT_ASSERT(Served <= 110'000'000);
  }

  // Guards against a process that ends by a stack overflow: callers and
  // upstreams decide how deeply their documents are nested.
  void nestedDocumentsEndNothing() {
    for (const std::size_t Depth : {1'000, 200'000}) {
      CPPUNIT_ASSERT_EQUAL(0.0,
                           servedAfter(R"({"usage":{"prompt_tokens":7,"x":)" +
                                       nested(Depth) + "}}"));
      const std::string Body =
          R"({"stream":true,"max_tokens":5,"x":)" + nested(Depth) + "}";
      CPPUNIT_ASSERT(!asksForStream(Body));
      CPPUNIT_ASSERT(estimateCost(makePool(), Body).Value > 0);
    }
  }

  // Guards against an estimate that a number in the body makes useless.
  void bodiesAreEstimatedWithinBounds() {
    CPPUNIT_ASSERT(asksForStream(R"({"stream":true})"));
    CPPUNIT_ASSERT(!asksForStream(R"({"stream":1})"));
    CPPUNIT_ASSERT(!asksForStream(R"({"x":{"stream":true}})"));
    const auto Estimate = [](const std::string &Body) {
      return estimateCost(makePool(), Body).Value;
    };
    CPPUNIT_ASSERT(Estimate(R"({"max_tokens":5})") <
                   Estimate(R"({"max_tokens":50})"));
    CPPUNIT_ASSERT_EQUAL(1'000'000.0, Estimate(R"({"max_tokens":1e300})"));
    CPPUNIT_ASSERT_EQUAL(Estimate(R"({"max_tokens":"x"})"),
                         Estimate(R"({"max_tokens":-55})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptMeterTest);

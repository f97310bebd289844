#include "../platform/entries.hpp"
#include "../platform/wire.hpp"

#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

ResponseMetadata responseWith(const char *Name, const char *Value) {
  http1::ResponseHead Head;
  Head.Status = 200;
  Head.Headers.add(Name, Value);
  return platform::PlatformWire().readResponse(Head);
}

std::optional<StatedLoad> loadOf(const char *Value) {
  return responseWith("Mallowglade-Replica-Load", Value).Load;
}

const UpstreamProcess Engine{7};

} // namespace

class StatedLoadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatedLoadsTest);
  CPPUNIT_TEST(loadIsRead);
  CPPUNIT_TEST(damagedLoadStatesNothing);
  CPPUNIT_TEST(coldTimeIsRead);
  CPPUNIT_TEST(coldTimeOfAnEntryIsBounded);
  CPPUNIT_TEST(unreadableStatementsAreCounted);
  CPPUNIT_TEST(workTimeIsSmoothed);
  CPPUNIT_TEST(oldStatementLosesItsEffect);
  CPPUNIT_TEST(wrongStatementIsBounded);
  CPPUNIT_TEST(responseToAnEarlierRequestIsIgnored);
  CPPUNIT_TEST(callerPlaceIsRead);
  CPPUNIT_TEST(placeOfExecutionIsRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void loadIsRead() {
    const auto Load = loadOf("3,1,8,250");
    CPPUNIT_ASSERT(Load.has_value());
    CPPUNIT_ASSERT_EQUAL(3U, Load->Running);
    CPPUNIT_ASSERT_EQUAL(1U, Load->Waiting);
    CPPUNIT_ASSERT_EQUAL(8U, Load->Slots);
    CPPUNIT_ASSERT_EQUAL(2.5, Load->WorkTimeFactor);
    CPPUNIT_ASSERT(Load->StatesWorkTime);
    CPPUNIT_ASSERT(loadOf("3,1,8,100")->StatesWorkTime);
    CPPUNIT_ASSERT_EQUAL(1.0, loadOf("3,1,8")->WorkTimeFactor);
    CPPUNIT_ASSERT(!loadOf("3,1,8")->StatesWorkTime);
  }

  // Guards against a figure that no upstream can mean.
  void damagedLoadStatesNothing() {
    const char *Name = "Mallowglade-Replica-Load";
    for (const char *Text : {"", "3", "3,1", "-3,1,8", "x,1,8", "3,1,9999999",
                             "3.7,1,8", "3x,1,8"}) {
      CPPUNIT_ASSERT(!loadOf(Text));
      CPPUNIT_ASSERT(responseWith(Name, Text).LoadUnreadable);
    }
    for (const char *Text :
         {"3,1,8,0", "3,1,8,-5", "3,1,8,x", "3,1,8,9999999", "3,1,8,100x"}) {
      CPPUNIT_ASSERT_EQUAL(1.0, loadOf(Text)->WorkTimeFactor);
      CPPUNIT_ASSERT(!loadOf(Text)->StatesWorkTime);
      CPPUNIT_ASSERT(responseWith(Name, Text).LoadUnreadable);
    }
    CPPUNIT_ASSERT(!responseWith(Name, "3,1,8,100").LoadUnreadable);
    CPPUNIT_ASSERT(!responseWith("Other", "x").LoadUnreadable);
  }

  void coldTimeIsRead() {
    const char *Name = "Mallowglade-Cold-Remaining-Ms";
    CPPUNIT_ASSERT(Milliseconds(1'200) ==
                   responseWith(Name, "1200").ColdRemaining.value());
    CPPUNIT_ASSERT(Milliseconds(600'000) ==
                   responseWith(Name, "600000").ColdRemaining.value());
    CPPUNIT_ASSERT(!responseWith(Name, "0").ColdUnreadable);
    for (const char *Text : {"", "-1", "soon", "600001", "99999999", "nan"}) {
      CPPUNIT_ASSERT(!responseWith(Name, Text).ColdRemaining);
      CPPUNIT_ASSERT(responseWith(Name, Text).ColdUnreadable);
    }
  }

  // Guards against an entry that is dropped for its cold time, and against one
  // that is taken for cold by a damaged one.
  void coldTimeOfAnEntryIsBounded() {
    const auto Decode = [](const std::string &Cold) {
      const auto Entry = platform::decodeUpstream(
          "i-1", R"({"service":"pool","address":"127.0.0.1:9000","zone":"a",)"
                 R"("slots":8,"state":"ready","cold_remaining_ms":)" +
                     Cold + "}");
      CPPUNIT_ASSERT(isOk(Entry));
      return valueOf(Entry);
    };
    CPPUNIT_ASSERT(Decode("1200").ColdRemaining == Milliseconds(1'200));
    CPPUNIT_ASSERT(!Decode("1200").ColdUnreadable);
    for (const char *Cold :
         {"-1", "\"soon\"", "1e300", "600001", "null", "{}"}) {
      CPPUNIT_ASSERT(Decode(Cold).ColdRemaining == Milliseconds(0));
      CPPUNIT_ASSERT(Decode(Cold).ColdUnreadable);
    }
  }

  // Guards against an upstream that fills the log.
  void unreadableStatementsAreCounted() {
    UnreadableStatements Statements;
    const TimePoint Start{std::chrono::hours(1)};
    CPPUNIT_ASSERT(Statements.record(Statement::Load, 1, Start) == 1U);
    for (int Response = 0; Response < 50; ++Response)
      CPPUNIT_ASSERT(!Statements.record(Statement::Load, 1, Start));
    CPPUNIT_ASSERT(Statements.record(Statement::ColdTime, 1, Start) == 1U);
    CPPUNIT_ASSERT(Statements.record(Statement::Load, 1,
                                     Start + UnreadableStatements::LogPeriod) ==
                   51U);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(52), Statements.count(Statement::Load));
  }

  // Guards against decisions that follow each of many changes a second.
  void workTimeIsSmoothed() {
    ManualClock Time;
    StatedLoads Loads(Time);
    CPPUNIT_ASSERT_EQUAL(1.0, Loads.workTimeFactor(Engine));
    Loads.record(Engine, {1, 0, 8, 1.0}, Time.now());
    for (int Response = 0; Response < 200; ++Response) {
      Time.advance(Milliseconds(10));
      Loads.record(Engine, {1, 0, 8, Response % 2 == 0 ? 1.0 : 3.0},
                   Time.now());
      if (Response > 100)
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, Loads.workTimeFactor(Engine), 0.2);
    }
  }

  // Guards against an upstream that gets nothing for good after a slow answer.
  void oldStatementLosesItsEffect() {
    ManualClock Time;
    StatedLoads Loads(Time);
    Loads.record(Engine, {1, 0, 8, 4.0}, Time.now());
    CPPUNIT_ASSERT_EQUAL(4.0, Loads.workTimeFactor(Engine));
    Time.advance(Milliseconds(10'000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Loads.workTimeFactor(Engine), 0.05);
    CPPUNIT_ASSERT(!Loads.latest(Engine, Milliseconds(1'000)));
  }

  void wrongStatementIsBounded() {
    ManualClock Time;
    StatedLoads Loads(Time);
    Loads.record(Engine, {1, 0, 8, 1'000.0}, Time.now());
    CPPUNIT_ASSERT_EQUAL(StatedLoads::MaxWorkTimeFactor,
                         Loads.workTimeFactor(Engine));
    Loads.forget(Engine);
    Loads.record(Engine, {1, 0, 8, 0.001}, Time.now());
    CPPUNIT_ASSERT_EQUAL(StatedLoads::MinWorkTimeFactor,
                         Loads.workTimeFactor(Engine));
  }

  void responseToAnEarlierRequestIsIgnored() {
    ManualClock Time;
    StatedLoads Loads(Time);
    const TimePoint Early = Time.now();
    Time.advance(Milliseconds(100));
    Loads.record(Engine, {1, 0, 8, 1.0}, Time.now());
    Loads.record(Engine, {9, 9, 8, 4.0}, Early);
    CPPUNIT_ASSERT_EQUAL(1U,
                         Loads.latest(Engine, Milliseconds(1'000))->Running);
  }

  void callerPlaceIsRead() {
    const platform::PlatformWire Wire;
    const CallerPlace Place = Wire.readCallerPlace(
        "/mallowglade/resolve?name=a.example&region=north&zone=north-b");
    CPPUNIT_ASSERT_EQUAL(std::string("north"), Place.Region.Value);
    CPPUNIT_ASSERT_EQUAL(std::string("north-b"), Place.Zone.Value);
    for (const char *Target :
         {"/mallowglade/resolve", "/x?", "/x?zone", "/x?&="})
      CPPUNIT_ASSERT(Wire.readCallerPlace(Target).Zone.empty());
  }

  // Cold times, homes and evacuations of the platform's documents.
  void placeOfExecutionIsRead() {
    const auto Config = platform::decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
        R"("service":"pool","allowed_regions":["north"]}],"services":[{)"
        R"("name":"pool","cold_start_s":3.5,"cold_per_s":7.8}],"tenants":[{)"
        R"("name":"w","api_keys":["k"],"allowed_regions":["north","south"]}]})");
    CPPUNIT_ASSERT(isOk(Config));
    const Configuration &Read = valueOf(Config);
    CPPUNIT_ASSERT(Read.Routes[0].HomeRegions ==
                   std::vector<RegionId>{RegionId("north")});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Workspaces[0].HomeRegions.size());
    CPPUNIT_ASSERT(Milliseconds(3'500) == Read.Services[0].ColdTime);
    CPPUNIT_ASSERT_EQUAL(7.8, Read.Services[0].ColdRequestsPerSecond);
    const std::string Entry =
        R"({"service":"pool","address":"10.1.0.33:8783","zone":"a",)"
        R"("slots":64,"state":"ready","cold_remaining_ms":)";
    const auto ColdOf = [&Entry](const char *Value) {
      const auto Record = platform::decodeUpstream("i-1", Entry + Value + "}");
      CPPUNIT_ASSERT(isOk(Record));
      return valueOf(Record).ColdRemaining;
    };
    CPPUNIT_ASSERT(Milliseconds(2'900) == ColdOf("2900"));
    for (const char *Damaged : {"-1", "1e300", "\"soon\"", "null"})
      CPPUNIT_ASSERT(Milliseconds(0) == ColdOf(Damaged));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedLoadsTest);

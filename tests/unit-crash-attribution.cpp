#include "support/crash_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <algorithm>

using namespace mallowglade;

namespace {

const RequestFeature Harmful{FeatureKind::PromptPart, 666};
const RequestFeature Shared{FeatureKind::PromptPart, 1};
/// Allowed by the platform after the fifth crash and its stable window.
constexpr std::size_t RequestsAfterwards = 3;

RequestFeature exactRequest(std::uint64_t Number) {
  return {FeatureKind::ExactRequest, Number};
}

UpstreamProcess process(std::uint64_t Number) {
  return UpstreamProcess(Number);
}

/// Two routers that exchange reports.
struct Pair {
  ManualClock Time;
  CrashAttribution First{Time, 1};
  CrashAttribution Second{Time, 2};

  void exchange() {
    const CrashReport Report = First.report();
    First.merge(Second.report());
    Second.merge(Report);
    First.update();
    Second.update();
  }

  /// Crashes one process after the other with the given features; the routers
  /// take turns. Each request differs from the others.
  void crash(const RequestFeatures &Parts, std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      CrashAttribution &Router = Crashes % 2 == 0 ? First : Second;
      RequestFeatures Features = Parts;
      Features.push_back(exactRequest(1'000 + Crashes));
      Router.recordBrokenOff(Features, process(++Crashes));
      Time.advance(CrashAttribution::SettleTime);
      exchange();
    }
  }

  bool bothRefuse(const RequestFeature &Feature) {
    return First.refusedFor({Feature}) && Second.refusedFor({Feature});
  }
  bool oneRefuses(const RequestFeature &Feature) {
    return First.refusedFor({Feature}) || Second.refusedFor({Feature});
  }

  std::uint64_t Crashes = 0;
};

} // namespace

class CrashAttributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashAttributionTest);
  CPPUNIT_TEST(requestThatCrashesUpstreamsIsRefused);
  CPPUNIT_TEST(requestThatIsAlsoAnsweredIsNotRefused);
  CPPUNIT_TEST(equalRequestsThatBreakOffTogetherAreNotRefused);
  CPPUNIT_TEST(partOfDifferentRequestsIsRefused);
  CPPUNIT_TEST(partsThatAreAnsweredAreNotBlamed);
  CPPUNIT_TEST(partThatWasAnsweredBeforeIsBlamedLast);
  CPPUNIT_TEST(processThatRespondsLaterHasNotCrashed);
  CPPUNIT_TEST(simultaneousCrashesHaveOneCause);
  CPPUNIT_TEST(suspectedFeatureOfOneRouterIsTriedInTime);
  CPPUNIT_TEST(repeatedReportsCountOnce);
  CPPUNIT_TEST(restartedRouterLearnsQuarantines);
  CPPUNIT_TEST(quarantineLastsAsLongAsRequestsCome);
  CPPUNIT_TEST(lapsedQuarantineBeginsAgainWithOneCrash);
  CPPUNIT_TEST(probesAreFewAndOfOneRouter);
  CPPUNIT_TEST(answerEndsAQuarantine);
  CPPUNIT_TEST(laterStatusWins);
  CPPUNIT_TEST(releaseReachesAllRouters);
  CPPUNIT_TEST(evidenceStaysBounded);
  CPPUNIT_TEST(orderAndRepetitionOfReportsHaveNoEffect);
  CPPUNIT_TEST(answeredFeatureIsNeverInQuarantine);
  CPPUNIT_TEST(fewHarmfulRequestsReachUpstreams);
  CPPUNIT_TEST(twoHarmfulPartsAreBothFound);
  CPPUNIT_TEST(crashesOfOtherCausesBlameNoPart);
  CPPUNIT_TEST(quarantineSurvivesTheRestartOfAllRouters);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that crashes one upstream after the other while
  // its caller sends it to a different router each time.
  void requestThatCrashesUpstreamsIsRefused() {
    ManualClock Time;
    CrashAttribution First(Time, 1);
    CrashAttribution Second(Time, 2);
    First.recordBrokenOff({exactRequest(1)}, process(1), Time.now());
    Time.advance(CrashAttribution::EpisodeGap);
    First.recordBrokenOff({exactRequest(1)}, process(2), Time.now());
    CPPUNIT_ASSERT(!First.refusedFor({exactRequest(1)}));
    Second.merge(First.report());
    Time.advance(CrashAttribution::EpisodeGap);
    Second.recordBrokenOff({exactRequest(1)}, process(3), Time.now());
    First.merge(Second.report());
    CPPUNIT_ASSERT(First.refusedFor({exactRequest(1)}) &&
                   Second.refusedFor({exactRequest(1)}));
    CPPUNIT_ASSERT(!First.refusedFor({exactRequest(2)}) &&
                   !Second.refusedFor({exactRequest(2)}));
  }

  // Guards against refusing a harmless request that was running on upstreams
  // when another request crashed them.
  void requestThatIsAlsoAnsweredIsNotRefused() {
    ManualClock Time;
    CrashAttribution First(Time, 1);
    CrashAttribution Second(Time, 2);
    for (std::uint64_t Index = 0; Index < 5; ++Index) {
      First.recordBrokenOff({exactRequest(1)}, process(Index), Time.now());
      Time.advance(Milliseconds(1));
    }
    Time.advance(CrashAttribution::SettleTime);
    Second.merge(First.report());
    CPPUNIT_ASSERT(Second.refusedFor({exactRequest(1)}));
    Time.advance(Milliseconds(1));
    Second.recordAnswered({exactRequest(1)});
    First.merge(Second.report());
    CPPUNIT_ASSERT(!First.refusedFor({exactRequest(1)}) &&
                   !Second.refusedFor({exactRequest(1)}));
  }

  // Guards against refusing a request that many callers send alike, such as a
  // status query, because several of them broke off together.
  void equalRequestsThatBreakOffTogetherAreNotRefused() {
    ManualClock Time;
    CrashAttribution First(Time, 1);
    CrashAttribution Second(Time, 2);
    const TimePoint Sent = Time.now();
    for (std::uint64_t Index = 0; Index < 6; ++Index) {
      Time.advance(Milliseconds(1));
      (Index % 2 == 0 ? First : Second)
          .recordBrokenOff({exactRequest(1)}, process(Index), Sent);
    }
    First.merge(Second.report());
    First.update();
    CPPUNIT_ASSERT(!First.refusedFor({exactRequest(1)}));
    // The same for one that was answered before, and breaks off again.
    Second.recordAnswered({exactRequest(1)});
    for (std::uint64_t Index = 10; Index < 13; ++Index) {
      Time.advance(Milliseconds(50));
      Second.recordBrokenOff({exactRequest(1)}, process(Index), Time.now());
      Second.update();
    }
    CPPUNIT_ASSERT(!Second.refusedFor({exactRequest(1)}));
  }

  // Guards against recognising harm by the exact request only.
  void partOfDifferentRequestsIsRefused() {
    Pair Fleet;
    Fleet.crash({Harmful}, CrashAttribution::MinCrashes - 1);
    CPPUNIT_ASSERT(!Fleet.oneRefuses(Harmful));
    Fleet.crash({Harmful}, 1);
    CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
  }

  // Guards against blaming what sound requests share with harmful ones.
  void partsThatAreAnsweredAreNotBlamed() {
    Pair Fleet;
    for (std::size_t Index = 0; Index < 5; ++Index) {
      Fleet.crash({Shared, Harmful}, 1);
      Fleet.Second.recordAnswered({Shared, exactRequest(Index)});
      Fleet.exchange();
    }
    CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
    CPPUNIT_ASSERT(!Fleet.oneRefuses(Shared));
  }

  // Guards against blaming the part of all requests while callers send nothing
  // but harmful ones.
  void partThatWasAnsweredBeforeIsBlamedLast() {
    Pair Fleet;
    Fleet.First.recordAnswered({Shared});
    Fleet.Second.recordAnswered({Shared});
    Fleet.Time.advance(Milliseconds(10));
    Fleet.crash({Shared, Harmful}, 6);
    CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
    CPPUNIT_ASSERT(!Fleet.oneRefuses(Shared));
  }

  // Guards against taking a closed connection of a sound upstream for a crash.
  void processThatRespondsLaterHasNotCrashed() {
    ManualClock Time;
    CrashAttribution Router(Time, 1);
    for (std::uint64_t Index = 0; Index < 10; ++Index) {
      Router.recordBrokenOff({Harmful}, process(Index));
      Time.advance(Milliseconds(300));
      Router.recordAlive(process(Index));
      Router.update();
    }
    Time.advance(CrashAttribution::SettleTime);
    Router.update();
    CPPUNIT_ASSERT(!Router.refusedFor({Harmful}));
    CPPUNIT_ASSERT(!Router.mustWait({Harmful}));
  }

  // Guards against blaming what runs on the upstreams of a rack that fails.
  void simultaneousCrashesHaveOneCause() {
    ManualClock Time;
    CrashAttribution Router(Time, 1);
    for (std::uint64_t Index = 0; Index < 10; ++Index)
      Router.recordBrokenOff({Shared, exactRequest(Index)}, process(Index));
    Time.advance(CrashAttribution::SettleTime);
    CPPUNIT_ASSERT(Router.update().empty());
    CPPUNIT_ASSERT(!Router.refusedFor({Shared}));
    // Requests with the part are tried one after the other.
    Router.mustWait({Shared});
    Time.advance(CrashAttribution::TrialInterval);
    CPPUNIT_ASSERT(!Router.mustWait({Shared}));
    CPPUNIT_ASSERT(Router.mustWait({Shared}));
    Router.recordAnswered({Shared});
    CPPUNIT_ASSERT(!Router.mustWait({Shared}));
  }

  // Guards against holding back sound requests for minutes in a large fleet, if
  // all of them come to one router.
  void suspectedFeatureOfOneRouterIsTriedInTime() {
    ManualClock Time;
    CrashAttribution Router(Time, 1);
    constexpr std::size_t Routers = 300;
    Router.setFleet(false, Routers);
    for (std::uint64_t Index = 0; Index < 5; ++Index)
      Router.recordBrokenOff({Shared, exactRequest(Index)}, process(Index));
    Time.advance(CrashAttribution::SettleTime);
    Router.mustWait({Shared});
    Time.advance(CrashAttribution::MaxTrialInterval);
    CPPUNIT_ASSERT(!Router.mustWait({Shared}));
    CPPUNIT_ASSERT(Router.mustWait({Shared}));
  }

  // Guards against counting one crash for each router that reports it.
  void repeatedReportsCountOnce() {
    ManualClock Time;
    CrashAttribution First(Time, 1);
    CrashAttribution Second(Time, 2);
    First.recordBrokenOff({Harmful}, process(1));
    Second.recordBrokenOff({Harmful}, process(1));
    for (int Count = 0; Count < 20; ++Count) {
      Time.advance(Milliseconds(100));
      First.merge(Second.report());
      First.merge(Second.report());
      Second.merge(First.report());
      First.update();
      Second.update();
    }
    CPPUNIT_ASSERT(!First.refusedFor({Harmful}));
    CPPUNIT_ASSERT(!First.mustWait({Harmful}));
  }

  // Guards against harm that is forgotten with one router's memory.
  void restartedRouterLearnsQuarantines() {
    Pair Fleet;
    Fleet.crash({Harmful}, 3);
    CrashAttribution Restarted(Fleet.Time, 3);
    Restarted.merge(Fleet.First.report());
    CPPUNIT_ASSERT(Restarted.refusedFor({Harmful}));
  }

  // Guards against harm that is forgotten after a fixed time.
  void quarantineLastsAsLongAsRequestsCome() {
    Pair Fleet;
    Fleet.crash({Harmful}, 3);
    for (int Minute = 0; Minute < 600; ++Minute) {
      Fleet.Time.advance(std::chrono::minutes(1));
      if (Minute % 10 == 0)
        CPPUNIT_ASSERT(Fleet.Second.refusedFor({Harmful}));
      Fleet.exchange();
    }
    CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
  }

  // Guards against a series of crashes by requests that come once in a while.
  void lapsedQuarantineBeginsAgainWithOneCrash() {
    Pair Fleet;
    Fleet.crash({Harmful}, 3);
    Fleet.Time.advance(CrashAttribution::RetentionTime +
                       std::chrono::seconds(1));
    Fleet.exchange();
    Fleet.exchange();
    CPPUNIT_ASSERT(!Fleet.oneRefuses(Harmful));
    Fleet.crash({Harmful}, 1);
    CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
  }

  // Guards against probes that end an upstream again and again, or one for each
  // router.
  void probesAreFewAndOfOneRouter() {
    Pair Fleet;
    Fleet.First.setFleet(true, 2);
    Fleet.Second.setFleet(false, 2);
    Fleet.crash({Harmful}, 3);
    std::size_t Probes = 0;
    for (int Second = 0; Second < 7'200; ++Second) {
      Fleet.Time.advance(std::chrono::seconds(1));
      CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
      CPPUNIT_ASSERT(!Fleet.Second.takeProbe({Harmful}));
      if (Fleet.First.takeProbe({Harmful})) {
        ++Probes;
        CPPUNIT_ASSERT(!Fleet.First.takeProbe({Harmful}));
        Fleet.crash({Harmful}, 1);
      }
      Fleet.exchange();
    }
    CPPUNIT_ASSERT_EQUAL(CrashAttribution::ProbeTimes.size(), Probes);
    CPPUNIT_ASSERT(Probes <= RequestsAfterwards);
  }

  // Guards against refusing a part for good after its upstreams were mended.
  void answerEndsAQuarantine() {
    Pair Fleet;
    Fleet.First.setFleet(true, 2);
    Fleet.crash({Harmful}, 3);
    Fleet.Time.advance(CrashAttribution::ProbeTimes.front());
    CPPUNIT_ASSERT(Fleet.First.takeProbe({Harmful}));
    Fleet.First.recordAnswered({Harmful});
    Fleet.exchange();
    Fleet.exchange();
    CPPUNIT_ASSERT(!Fleet.oneRefuses(Harmful));
  }

  // Guards against stale reports that undo or renew a quarantine.
  void laterStatusWins() {
    QuarantineStatus Status;
    CPPUNIT_ASSERT(!Status.quarantined());
    Status.begin();
    const QuarantineStatus Begun = Status;
    Status.begin();
    CPPUNIT_ASSERT(Begun == Status && Status.quarantined());
    Status.lapse();
    CPPUNIT_ASSERT(Status > Begun && Status.lapsed());
    const QuarantineStatus Lapsed = Status;
    Status.clear();
    CPPUNIT_ASSERT(Status > Lapsed && !Status.quarantined() &&
                   !Status.lapsed());
    Status.begin();
    CPPUNIT_ASSERT(Status > Lapsed && Status.quarantined());
    Pair Fleet;
    Fleet.crash({Harmful}, 3);
    const CrashReport Stale = Fleet.First.report();
    CPPUNIT_ASSERT(Fleet.First.release(Harmful));
    Fleet.First.merge(Stale);
    CPPUNIT_ASSERT(!Fleet.First.refusedFor({Harmful}));
  }

  // Guards against a release that other routers take back.
  void releaseReachesAllRouters() {
    Pair Fleet;
    CPPUNIT_ASSERT(!Fleet.First.release(Harmful));
    Fleet.crash({Harmful}, 3);
    CPPUNIT_ASSERT(Fleet.First.release(Harmful));
    Fleet.exchange();
    Fleet.exchange();
    CPPUNIT_ASSERT(!Fleet.oneRefuses(Harmful));
  }

  // Guards against memory and reports that grow with the features of requests,
  // and against losing the cause among them.
  void evidenceStaysBounded() {
    Pair Fleet;
    for (std::uint64_t Round = 0; Round < 5; ++Round) {
      for (std::uint64_t Index = 0; Index < 150; ++Index)
        Fleet.First.recordBrokenOff(
            {exactRequest(10'000 * Round + Index),
             Harmful,
             {FeatureKind::PromptPart, 10'000 * (Round + 1) + Index}},
            process(Round));
      Fleet.Time.advance(CrashAttribution::SettleTime);
      Fleet.exchange();
      CPPUNIT_ASSERT(Fleet.First.report().Features.size() <= 96);
    }
    CPPUNIT_ASSERT(Fleet.bothRefuse(Harmful));
    CPPUNIT_ASSERT(Fleet.First.report().Quarantines.size() <=
                   CrashAttribution::MaxQuarantines);
  }

  // Guards against decisions that depend on the order of datagrams.
  void orderAndRepetitionOfReportsHaveNoEffect() {
    const bool Holds = rc::check([](std::uint64_t Seed) {
      ManualClock Time;
      SeededRandom Random(Seed);
      std::vector<CrashReport> Reports;
      for (std::uint64_t Router = 0; Router < 6; ++Router) {
        CrashAttribution Source(Time, Router);
        for (std::uint64_t Count = Random.below(4); Count > 0; --Count)
          Source.recordBrokenOff({Harmful, Shared}, process(Random.below(8)));
        if (Random.below(3) == 0)
          Source.recordAnswered({Shared});
        Reports.push_back(Source.report());
      }
      CrashAttribution InOrder(Time, 1);
      CrashAttribution Shuffled(Time, 2);
      CrashReport Sum;
      for (const CrashReport &Report : Reports) {
        InOrder.merge(Report);
        Sum.add(Report, Milliseconds(0));
      }
      for (int Count = 0; Count < 30; ++Count)
        Shuffled.merge(Reports[Random.below(Reports.size())]);
      Shuffled.merge(Sum);
      for (int Count = 0; Count < 3; ++Count) {
        Time.advance(CrashAttribution::SettleTime);
        const auto Expected = InOrder.update();
        const auto Actual = Shuffled.update();
        RC_ASSERT(Expected.size() == Actual.size());
        for (std::size_t Index = 0; Index < Expected.size(); ++Index)
          RC_ASSERT(Expected[Index].Feature == Actual[Index].Feature &&
                    Expected[Index].Crashes == Actual[Index].Crashes);
      }
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against blaming a feature that has been answered since its last
  // crash.
  void answeredFeatureIsNeverInQuarantine() {
    const bool Holds = rc::check([](std::uint64_t Seed) {
      SeededRandom Random(Seed);
      Pair Fleet;
      for (int Count = 0; Count < 40; ++Count) {
        CrashAttribution &Router =
            Random.below(2) == 0 ? Fleet.First : Fleet.Second;
        if (Random.below(4) == 0) {
          Fleet.crash({Shared, Harmful}, 1 + Random.below(4));
        } else {
          Router.recordAnswered({Shared, Harmful});
          Fleet.Time.advance(Milliseconds(Random.below(400)));
          if (Random.below(2) == 0)
            Fleet.exchange();
        }
      }
      Fleet.First.recordAnswered({Shared, Harmful});
      Fleet.exchange();
      Fleet.exchange();
      RC_ASSERT(!Fleet.oneRefuses(Harmful) && !Fleet.oneRefuses(Shared));
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against upstreams that end one after the other, at any rate of
  // harmful requests.
  void fewHarmfulRequestsReachUpstreams() {
    for (const double Rate : {0.2, 1.5, 10.0}) {
      CrashScenario Scenario;
      Scenario.HarmfulRate = Rate;
      Scenario.Duration = std::chrono::seconds(Rate < 1 ? 60 : 20);
      const CrashOutcome Outcome = simulateCrashes(Scenario, 5);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Outcome.QuarantinedHarmful);
      CPPUNIT_ASSERT(Outcome.SentTooLate <= RequestsAfterwards);
      // Sound requests begin at least half as often as without crashes.
      CPPUNIT_ASSERT(2 * (Outcome.SoundRefused + Outcome.SoundBrokenOff) <
                     Outcome.SoundSent);
    }
  }

  // Guards against two harmful parts that hide each other.
  void twoHarmfulPartsAreBothFound() {
    CrashScenario Scenario;
    Scenario.HarmfulParts = 2;
    Scenario.HarmfulRate = 3;
    const CrashOutcome Outcome = simulateCrashes(Scenario, 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Outcome.QuarantinedHarmful);
    CPPUNIT_ASSERT(Outcome.SentTooLate <= RequestsAfterwards);
  }

  // Guards against quarantines without harmful requests.
  void crashesOfOtherCausesBlameNoPart() {
    CrashScenario Scenario;
    Scenario.HarmfulRate = 0;
    Scenario.BackgroundCrashRate = 0.3;
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      Scenario.OutageShare = Seed == 1 ? 0.4 : 0;
      CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                           simulateCrashes(Scenario, Seed).QuarantinedSound);
    }
  }

  // Guards against quarantines that are only in the memory of routers.
  void quarantineSurvivesTheRestartOfAllRouters() {
    CrashScenario Scenario;
    Scenario.RestartAt = std::chrono::seconds(10);
    const CrashOutcome Outcome = simulateCrashes(Scenario, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Outcome.QuarantinedHarmful);
    CPPUNIT_ASSERT(Outcome.SentTooLate <= RequestsAfterwards);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashAttributionTest);

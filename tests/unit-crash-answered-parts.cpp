#include <mallowglade/outcomes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace mallowglade;

namespace {

const RequestFeature Harmful{FeatureKind::PromptPart, 666};
/// Part that nearly all requests carry.
const RequestFeature Shared{FeatureKind::PromptPart, 1};
const RequestFeature Other{FeatureKind::PromptPart, 2};
/// Allowed by the platform after the fifth crash and its stable window.
constexpr std::size_t RequestsAfterwards = 3;
/// Bound on the crashes after which harm is found without any other requests.
constexpr std::size_t CrashesWithoutContrast = 30;
/// The platform allows five crashes and three requests, and one trial each half
/// a second in the stable window of three seconds between them.
constexpr std::size_t CrashesWithContrast = 5 + 6;

/// Three routers that exchange reports; the first one lets probes through.
struct Fleet {
  ManualClock Time;
  std::vector<std::unique_ptr<CrashAttribution>> Routers;
  std::uint64_t Requests = 0;
  std::uint64_t Processes = 0;

  Fleet() {
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Routers.push_back(nullptr);
      restart(Index);
    }
  }

  void restart(std::size_t Index) {
    Routers[Index] = std::make_unique<CrashAttribution>(Time, ++Requests);
    Routers[Index]->setFleet(Index == 0, 3);
  }

  /// Lets time pass; the routers report ten times a second.
  void pass(Milliseconds Span) {
    constexpr Milliseconds ReportPeriod{100};
    for (; Span.count() > 0; Span -= ReportPeriod) {
      Time.advance(ReportPeriod);
      CrashReport All;
      for (const auto &Router : Routers)
        All.add(Router->report(), Milliseconds(0));
      for (const auto &Router : Routers) {
        Router->merge(All);
        Router->update();
      }
    }
  }

  RequestFeatures request(RequestFeatures Parts) {
    Parts.push_back({FeatureKind::ExactRequest, 1'000 + ++Requests});
    return Parts;
  }

  void answer(const RequestFeatures &Parts, std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Routers[Requests % Routers.size()]->recordAnswered(request(Parts));
  }

  /// Crashes one process after the other while requests run on it.
  void crash(const RequestFeatures &Parts, std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      ++Processes;
      Routers[Processes % Routers.size()]->recordBrokenOff(
          request(Parts), UpstreamProcess(Processes));
      pass(CrashAttribution::SettleTime);
    }
  }

  /// @return number of crashes after which the part is refused, at most `Most`
  std::size_t crashesUntilRefused(const RequestFeature &Part,
                                  std::size_t Most) {
    for (std::size_t Count = 0; Count < Most; ++Count) {
      if (refuses(Part))
        return Count;
      crash({Part}, 1);
      // Others are served meanwhile.
      answer({Other}, OthersPerCrash);
    }
    return Most;
  }

  bool refuses(const RequestFeature &Part) {
    return std::any_of(Routers.begin(), Routers.end(), [&](const auto &Router) {
      return Router->isQuarantined(Part);
    });
  }

  std::size_t OthersPerCrash = 0;
};

} // namespace

class CrashAnsweredPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashAnsweredPartsTest);
  CPPUNIT_TEST(partOfAllRequestsIsNotBlamedForOtherCauses);
  CPPUNIT_TEST(restartedRouterKnowsWhatWasAnswered);
  CPPUNIT_TEST(harmfulPartIsFoundInItsPlace);
  CPPUNIT_TEST(partThatBecomesHarmfulIsFound);
  CPPUNIT_TEST(wrongQuarantineEndsSoonAfterTheFaults);
  CPPUNIT_TEST(probesOfAnAnsweredPartAreFew);
  CPPUNIT_TEST(probeHasNoOtherSuspectedPart);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against refusing everything because several upstreams crashed, of
  // causes outside the requests, while hardly anything was answered.
  void partOfAllRequestsIsNotBlamedForOtherCauses() {
    Fleet Play;
    Play.answer({Shared}, 3);
    Play.pass(Milliseconds(1'000));
    for (int Round = 0; Round < 5; ++Round) {
      Play.crash({Shared}, 8);
      CPPUNIT_ASSERT(!Play.refuses(Shared));
      Play.answer({Shared}, 1);
    }
  }

  // Guards against the same by a router that has just started.
  void restartedRouterKnowsWhatWasAnswered() {
    Fleet Play;
    Play.answer({Shared}, 3);
    Play.pass(Milliseconds(5'000));
    for (std::size_t Count = 0; Count < 8; ++Count) {
      Play.crash({Shared}, 1);
      Play.restart(1 + Count % 2);
      CPPUNIT_ASSERT(!Play.refuses(Shared));
    }
  }

  // Guards against blaming the part of all requests for what a harmful one and
  // other causes do together.
  void harmfulPartIsFoundInItsPlace() {
    Fleet Play;
    Play.answer({Shared}, 3);
    Play.pass(Milliseconds(1'000));
    for (int Round = 0; Round < 3; ++Round) {
      Play.crash({Shared, Harmful}, 1);
      Play.crash({Shared}, 2);
    }
    CPPUNIT_ASSERT(!Play.refuses(Shared));
    CPPUNIT_ASSERT(Play.refuses(Harmful));
  }

  // Guards against upstreams that end for ever by a part that was harmless.
  void partThatBecomesHarmfulIsFound() {
    Fleet Alone;
    Alone.answer({Shared}, 3);
    CPPUNIT_ASSERT(Alone.crashesUntilRefused(Shared, CrashesWithoutContrast) <
                   CrashesWithoutContrast);
    Fleet WithOthers;
    WithOthers.OthersPerCrash = 10;
    WithOthers.answer({Shared, Other}, 60);
    WithOthers.pass(Milliseconds(1'000));
    CPPUNIT_ASSERT(WithOthers.crashesUntilRefused(
                       Shared, CrashesWithoutContrast) <= CrashesWithContrast);
  }

  // Guards against a fleet that serves nothing for a minute after its faults.
  void wrongQuarantineEndsSoonAfterTheFaults() {
    Fleet Play;
    Play.answer({Shared}, 3);
    Play.crash({Shared}, CrashesWithoutContrast);
    CPPUNIT_ASSERT(Play.refuses(Shared));
    Milliseconds Waited{0};
    for (; Play.refuses(Shared); Waited += Milliseconds(100)) {
      Play.pass(Milliseconds(100));
      const RequestFeatures Features = Play.request({Shared});
      if (Play.Routers.front()->takeProbe(Features))
        Play.Routers.front()->recordAnswered(Features);
    }
    CPPUNIT_ASSERT(Waited <= std::chrono::seconds(8));
  }

  // Guards against probes that end more upstreams than the platform allows.
  void probesOfAnAnsweredPartAreFew() {
    Fleet Play;
    Play.answer({Shared}, 3);
    Play.crash({Shared}, CrashesWithoutContrast);
    std::size_t Probes = 0;
    for (int Second = 0; Second < 7'200; ++Second) {
      Play.pass(Milliseconds(1'000));
      CPPUNIT_ASSERT(Play.Routers.back()->refusedFor({Shared}));
      for (const auto &Router : Play.Routers)
        if (Router->takeProbe(Play.request({Shared}))) {
          ++Probes;
          Play.crash({Shared}, 1);
        }
    }
    CPPUNIT_ASSERT(Probes > 0 && Probes <= RequestsAfterwards);
  }

  // Guards against a probe that tells nothing about the part, since its request
  // may crash the upstream for another reason.
  void probeHasNoOtherSuspectedPart() {
    Fleet Play;
    Play.answer({Shared}, 3);
    Play.crash({Shared}, CrashesWithoutContrast);
    Play.crash({Shared, Harmful}, 1);
    Play.pass(Milliseconds(10'000));
    CrashAttribution &Prober = *Play.Routers.front();
    CPPUNIT_ASSERT(!Prober.takeProbe(Play.request({Shared, Harmful})));
    CPPUNIT_ASSERT(Prober.takeProbe(Play.request({Shared, Other})));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashAnsweredPartsTest);

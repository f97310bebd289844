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
/// Allowed by the platform after the fifth crash and its stable window.
constexpr std::size_t RequestsAfterwards = 3;
constexpr Milliseconds ReportPeriod{100};
/// Longer than routers report what they have seen themselves.
constexpr Milliseconds LongAfter{5'000};

/// Three routers that exchange reports; each report is on the way for a while.
struct Fleet {
  ManualClock Time;
  std::vector<std::unique_ptr<CrashAttribution>> Routers;
  std::uint64_t Requests = 0;
  std::uint64_t Processes = 0;

  Fleet() : Routers(3) {
    for (std::size_t Index = 0; Index < Routers.size(); ++Index)
      restart(Index);
  }

  void restart(std::size_t Index) {
    Routers[Index] = std::make_unique<CrashAttribution>(Time, ++Requests);
    Routers[Index]->setFleet(Index == 0, Routers.size());
  }

  void pass(Milliseconds Span, Milliseconds Delay = Milliseconds(1)) {
    for (; Span.count() > 0; Span -= ReportPeriod) {
      CrashReport All;
      for (const auto &Router : Routers)
        All.add(Router->report(), Milliseconds(0));
      Time.advance(Delay);
      for (const auto &Router : Routers) {
        Router->merge(All);
        Router->update();
      }
      Time.advance(ReportPeriod - Delay);
    }
  }

  RequestFeatures request(RequestFeatures Parts) {
    Parts.push_back({FeatureKind::ExactRequest, 1'000 + ++Requests});
    return Parts;
  }

  void answer(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Routers[Index % Routers.size()]->recordAnswered(request({Shared}));
  }

  /// Ends a process with a harmful request and sound ones, all of one router.
  UpstreamProcess crash(std::size_t Index) {
    const UpstreamProcess Process(++Processes);
    Routers[Index]->recordBrokenOff(request({Shared, Harmful}), Process);
    for (int Count = 0; Count < 4; ++Count)
      Routers[Index]->recordBrokenOff(request({Shared}), Process);
    return Process;
  }

  /// Six crashes within half a second while hardly anything is answered; they
  /// are too close together to blame a part for them.
  std::vector<UpstreamProcess> crashAtOnce() {
    answer(12);
    pass(ReportPeriod);
    std::vector<UpstreamProcess> Ended;
    for (int Burst = 0; Burst < 3; ++Burst) {
      Ended.push_back(crash(0));
      Ended.push_back(crash(0));
      pass(2 * ReportPeriod);
    }
    pass(LongAfter);
    answer(12);
    pass(LongAfter);
    return Ended;
  }

  /// @return true if a router sends such a request to an upstream
  bool sends(std::size_t Index, const RequestFeatures &Parts) {
    const RequestFeatures Features = request(Parts);
    return !Routers[Index]->refusedFor(Features) &&
           !Routers[Index]->mustWait(Features);
  }

  bool refuses(const RequestFeature &Part) const {
    return std::any_of(Routers.begin(), Routers.end(), [&](const auto &Router) {
      return Router->isQuarantined(Part);
    });
  }
};

} // namespace

class CrashHeldEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashHeldEvidenceTest);
  CPPUNIT_TEST(restartedRoutersKnowEarlierCrashes);
  CPPUNIT_TEST(evidenceOutlivesTheRouterThatSawIt);
  CPPUNIT_TEST(processThatRespondsIsNoSuspicionAfterARestart);
  CPPUNIT_TEST(answeredPartIsNotBlamedAfterARestart);
  CPPUNIT_TEST(releaseIsNotUndoneByOtherRouters);
  CPPUNIT_TEST(answerReachesRoutersThatWereCut);
  CPPUNIT_TEST(agesDoNotDriftWithRepetition);
  CPPUNIT_TEST(reportsOfEvidenceStayBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against upstreams that a harmful part ends once more because routers
  // have restarted since it was suspected.
  void restartedRoutersKnowEarlierCrashes() {
    Fleet Play;
    Play.crashAtOnce();
    CPPUNIT_ASSERT(!Play.refuses(Harmful));
    Play.restart(0);
    Play.restart(2);
    Play.pass(LongAfter);
    std::size_t Sent = 0;
    for (std::size_t Index = 0; Index < Play.Routers.size(); ++Index)
      for (int Count = 0; Count < 6; ++Count) {
        if (Play.sends(Index, {Shared, Harmful})) {
          ++Sent;
          Play.crash(Index);
        }
        Play.Time.advance(Milliseconds(20));
        Play.Routers[Index]->update();
      }
    CPPUNIT_ASSERT(Sent <= RequestsAfterwards);
  }

  // Guards against evidence that is lost although routers knew it at all times.
  void evidenceOutlivesTheRouterThatSawIt() {
    Fleet Play;
    Play.crashAtOnce();
    for (std::size_t Index = 0; Index < Play.Routers.size(); ++Index) {
      Play.restart(Index);
      Play.pass(LongAfter);
    }
    std::size_t Sent = 0;
    for (std::size_t Index = 0; Index < Play.Routers.size(); ++Index)
      for (int Count = 0; Count < 6; ++Count)
        Sent += Play.sends(Index, {Shared, Harmful}) ? 1 : 0;
    CPPUNIT_ASSERT(Sent <= RequestsAfterwards);
  }

  // Guards against suspecting the parts of a router that was cut from all
  // upstreams, on the others.
  void processThatRespondsIsNoSuspicionAfterARestart() {
    Fleet Play;
    std::vector<UpstreamProcess> Ended(4);
    for (UpstreamProcess &Each : Ended)
      Each = Play.crash(0);
    Play.Time.advance(LongAfter);
    // The link is back; the upstreams answer the other routers.
    for (int Count = 0; Count < 10; ++Count) {
      Play.pass(ReportPeriod);
      for (const UpstreamProcess Process : Ended)
        Play.Routers[1]->recordAlive(Process);
      CPPUNIT_ASSERT(Play.sends(1, {Shared}) && Play.sends(2, {Shared}));
    }
    CPPUNIT_ASSERT(!Play.refuses(Shared) && !Play.refuses(Harmful));
    CPPUNIT_ASSERT(Play.sends(2, {Harmful}) && Play.sends(2, {Harmful}));
  }

  // Guards against blaming the part of all requests on a router that has heard
  // of its crashes and not of its answers.
  void answeredPartIsNotBlamedAfterARestart() {
    Fleet Play;
    Play.answer(12);
    Play.pass(ReportPeriod);
    for (int Count = 0; Count < 6; ++Count) {
      Play.Routers[0]->recordBrokenOff(Play.request({Shared}),
                                       UpstreamProcess(++Play.Processes));
      Play.pass(CrashAttribution::SettleTime);
    }
    for (std::size_t Index = 0; Index < Play.Routers.size(); ++Index) {
      Play.pass(LongAfter);
      Play.restart(Index);
      Play.pass(LongAfter);
      CPPUNIT_ASSERT(!Play.refuses(Shared));
    }
  }

  // Guards against evidence that comes back from other routers and begins the
  // quarantine again that an operator has ended.
  void releaseIsNotUndoneByOtherRouters() {
    Fleet Play;
    Play.answer(12);
    Play.pass(ReportPeriod);
    for (int Count = 0; Count < 6; ++Count) {
      Play.crash(0);
      Play.pass(CrashAttribution::SettleTime);
    }
    Play.pass(LongAfter);
    CPPUNIT_ASSERT(Play.refuses(Harmful));
    const CrashReport Former = Play.Routers[1]->report();
    CPPUNIT_ASSERT(Play.Routers[2]->release(Harmful));
    Play.Routers[2]->merge(Former);
    Play.pass(LongAfter);
    CPPUNIT_ASSERT(!Play.refuses(Harmful));
    CPPUNIT_ASSERT(Play.sends(2, {Harmful}) && Play.sends(2, {Harmful}));
  }

  // Guards against a part that stays suspected on a router that was cut while
  // the others answered it.
  void answerReachesRoutersThatWereCut() {
    ManualClock Time;
    CrashAttribution Cut(Time, 1);
    CrashAttribution Answering(Time, 2);
    CrashAttribution Third(Time, 3);
    for (std::uint64_t Number = 1; Number <= 4; ++Number)
      Cut.recordBrokenOff({Shared}, UpstreamProcess(Number));
    Time.advance(Milliseconds(1'000));
    Answering.recordAnswered({Shared});
    Time.advance(std::chrono::seconds(60));
    for (int Count = 0; Count < 3; ++Count) {
      const CrashReport Held = Cut.report();
      Answering.merge(Held);
      Third.merge(Held);
      const CrashReport Answer = Answering.report();
      Cut.merge(Answer);
      Third.merge(Answer);
      Time.advance(ReportPeriod);
    }
    Time.advance(CrashAttribution::SettleTime);
    for (CrashAttribution *Router : {&Cut, &Third})
      CPPUNIT_ASSERT(!Router->mustWait({Shared}) &&
                     !Router->mustWait({Shared}));
  }

  // Guards against crashes that move past the time at which a process
  // responded, since each repetition leaves the delay of a report out of its
  // age.
  void agesDoNotDriftWithRepetition() {
    Fleet Play;
    const std::vector<UpstreamProcess> Ended = Play.crashAtOnce();
    const Milliseconds Delay{50};
    const auto AgeOfFirst = [&](std::size_t Index) {
      return Play.Routers[Index]->report().Features.at(Harmful).BrokenOff.at(
          Ended.front());
    };
    const Milliseconds Before = AgeOfFirst(0);
    Play.restart(1);
    const Milliseconds Span = std::chrono::minutes(2);
    Play.pass(Span, Delay);
    CPPUNIT_ASSERT(AgeOfFirst(0) == Before + Span);
    CPPUNIT_ASSERT(AgeOfFirst(1) >= Before + Span - 2 * Delay);
  }

  // Guards against reports that grow with all that ever crashed.
  void reportsOfEvidenceStayBounded() {
    ManualClock Time;
    CrashAttribution Router(Time, 1);
    for (std::uint64_t Number = 0; Number < 300; ++Number) {
      RequestFeatures Features;
      for (std::uint64_t Part = 0; Part < 40; ++Part)
        Features.push_back({FeatureKind::PromptPart, 1 + Part});
      Router.recordBrokenOff(Features, UpstreamProcess(Number));
      Time.advance(Milliseconds(10));
    }
    Time.advance(LongAfter);
    const CrashReport Report = Router.report();
    CPPUNIT_ASSERT(!Report.Features.empty());
    CPPUNIT_ASSERT(Report.Features.size() <= CrashAttribution::MaxHeldFeatures);
    for (const auto &[Feature, Observed] : Report.Features)
      CPPUNIT_ASSERT(Observed.BrokenOff.size() <=
                     CrashAttribution::MaxHeldCrashes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashHeldEvidenceTest);

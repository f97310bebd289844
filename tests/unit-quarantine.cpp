#include <mallowglade/outcomes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;

namespace {

constexpr Fingerprint PoisonFingerprint(1);
constexpr Fingerprint SecondPoisonFingerprint(2);

UpstreamId upstream(std::uint64_t Number) {
  return UpstreamId("u" + std::to_string(Number));
}

/// Simulates replicas that crash on each poison request and restart later. The
/// reports to the quarantine are delayed and arrive in any order.
class CrashSimulation {
public:
  static constexpr std::size_t ReplicaCount = 6;
  static constexpr std::size_t SlotsPerReplica = 4;

  CrashSimulation(std::uint64_t Seed, std::size_t PoisonCount)
      : Random(Seed), Quarantine(Time), PoisonCount(PoisonCount) {}

  void send(Fingerprint RequestFingerprint) {
    Waiting.push_back(RequestFingerprint);
  }

  void step() {
    Time.advance(Milliseconds(50));
    report();
    place();
    run();
    Quarantine.expire();
  }

  ManualClock Time;
  SeededRandom Random;
  CrashQuarantine Quarantine;
  std::vector<Fingerprint> Waiting;
  std::map<Fingerprint, int> Crashes;
  int Answered = 0;

private:
  struct Run {
    GrantId Grant;
    Fingerprint RequestFingerprint;
    std::size_t Replica = 0;
    int StepsLeft = 0;
    bool Lost = false;
    bool Reached = true;
  };

  bool isPoison(Fingerprint RequestFingerprint) const {
    return RequestFingerprint.Value <= PoisonCount;
  }

  void report() {
    std::vector<Run> Remaining;
    for (const Run &Item : Runs) {
      if (!Item.Lost || Random.below(4) == 0) {
        Remaining.push_back(Item);
        continue;
      }
      const UpstreamId Upstream = upstream(Item.Replica);
      if (Item.Reached)
        Quarantine.crashed(Item.Grant, Item.RequestFingerprint, Upstream);
      else
        Quarantine.ended(Item.Grant, Item.RequestFingerprint, Upstream, false);
      Waiting.push_back(Item.RequestFingerprint);
    }
    Runs = Remaining;
  }

  void place() {
    std::vector<Fingerprint> Remaining;
    for (const Fingerprint RequestFingerprint : Waiting) {
      if (Quarantine.convictionTimeLeft(RequestFingerprint))
        continue;
      if (!tryPlace(RequestFingerprint))
        Remaining.push_back(RequestFingerprint);
    }
    Waiting = Remaining;
  }

  bool tryPlace(Fingerprint RequestFingerprint) {
    const std::size_t First = Random.below(ReplicaCount);
    for (std::size_t Offset = 0; Offset < ReplicaCount; ++Offset) {
      const std::size_t Index = (First + Offset) % ReplicaCount;
      const UpstreamId Upstream = upstream(Index);
      const auto UsedSlots =
          std::count_if(Runs.begin(), Runs.end(), [Index](const Run &Item) {
            return Item.Replica == Index;
          });
      if (UsedSlots >= static_cast<std::ptrdiff_t>(SlotsPerReplica) ||
          !Quarantine.mayPlace(RequestFingerprint, Upstream))
        continue;
      const GrantId Grant(NextGrant++);
      Quarantine.dispatched(Grant, RequestFingerprint, Upstream);
      const bool Reached = DownSteps[Index] == 0;
      const int Steps = 1 + static_cast<int>(Random.below(10));
      Runs.push_back(
          {Grant, RequestFingerprint, Index, Steps, !Reached, Reached});
      return true;
    }
    return false;
  }

  void run() {
    for (int &RemainingSteps : DownSteps)
      RemainingSteps = std::max(0, RemainingSteps - 1);
    for (Run &Item : Runs) {
      if (Item.Lost || --Item.StepsLeft > 0)
        continue;
      if (isPoison(Item.RequestFingerprint))
        crash(Item);
      else
        Item.StepsLeft = -1;
    }
    std::erase_if(Runs, [this](const Run &Item) {
      if (Item.Lost || Item.StepsLeft >= 0)
        return false;
      Quarantine.ended(Item.Grant, Item.RequestFingerprint,
                       upstream(Item.Replica), true);
      ++Answered;
      return true;
    });
  }

  void crash(const Run &Cause) {
    ++Crashes[Cause.RequestFingerprint];
    DownSteps[Cause.Replica] = 1 + static_cast<int>(Random.below(5));
    for (Run &Item : Runs)
      if (Item.Replica == Cause.Replica)
        Item.Lost = true;
  }

  std::size_t PoisonCount;
  std::vector<Run> Runs;
  std::vector<int> DownSteps = std::vector<int>(ReplicaCount, 0);
  std::uint64_t NextGrant = 1;
};

} // namespace

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(onePoisonCrashesAtMostThreeUpstreams);
  CPPUNIT_TEST(twoPoisonsCrashAtMostSixUpstreams);
  CPPUNIT_TEST(suspectRunsAloneOrWithClearedRequests);
  CPPUNIT_TEST(suspicionEndsWhenTheUpstreamStillAnswers);
  CPPUNIT_TEST(thirdCrashConvictsEvenIfNeverAlone);
  CPPUNIT_TEST(waitingSuspectKeepsOneUpstreamFree);
  CPPUNIT_TEST(oneCrashOfClearedRequestsRaisesNoSuspicion);
  CPPUNIT_TEST(convictionsAreImportedByANewOwner);
  CPPUNIT_TEST(releaseEndsAConviction);
  CPPUNIT_TEST(convictionEndsAfterTenMinutes);
  CPPUNIT_TEST(convictionLastsAsLongAsRequestsCome);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that is retried and crashes one upstream after
  // another.
  void onePoisonCrashesAtMostThreeUpstreams() { checkCrashBound(1); }

  // Guards against two such requests that run together, so that neither crashes
  // an upstream alone.
  void twoPoisonsCrashAtMostSixUpstreams() { checkCrashBound(2); }

  // Guards against suspects that run together, or with uncleared requests,
  // while the cause of a crash is being determined.
  void suspectRunsAloneOrWithClearedRequests() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    Quarantine.dispatched(GrantId(1), PoisonFingerprint, upstream(0));
    Quarantine.dispatched(GrantId(2), SecondPoisonFingerprint, upstream(0));
    Quarantine.crashed(GrantId(1), PoisonFingerprint, upstream(0));
    Quarantine.crashed(GrantId(2), SecondPoisonFingerprint, upstream(0));
    Quarantine.dispatched(GrantId(3), Fingerprint(3), upstream(1));
    CPPUNIT_ASSERT(!Quarantine.mayPlace(PoisonFingerprint, upstream(1)));
    CPPUNIT_ASSERT(Quarantine.mayPlace(PoisonFingerprint, upstream(2)));
    Quarantine.dispatched(GrantId(4), PoisonFingerprint, upstream(2));
    CPPUNIT_ASSERT(!Quarantine.mayPlace(SecondPoisonFingerprint, upstream(3)));
    CPPUNIT_ASSERT(!Quarantine.mayPlace(Fingerprint(4), upstream(2)));
    Quarantine.ended(GrantId(3), Fingerprint(3), upstream(1), true);
    CPPUNIT_ASSERT(Quarantine.mayPlace(Fingerprint(3), upstream(2)));
    Quarantine.ended(GrantId(4), PoisonFingerprint, upstream(2), true);
    CPPUNIT_ASSERT(Quarantine.mayPlace(SecondPoisonFingerprint, upstream(3)));
  }

  // Guards against a suspicion because of a broken network connection.
  void suspicionEndsWhenTheUpstreamStillAnswers() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    Quarantine.dispatched(GrantId(1), PoisonFingerprint, upstream(0));
    Quarantine.dispatched(GrantId(2), Fingerprint(3), upstream(0));
    Quarantine.crashed(GrantId(1), PoisonFingerprint, upstream(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Quarantine.exportRecords().size());
    Time.advance(std::chrono::seconds(5));
    Quarantine.ended(GrantId(2), Fingerprint(3), upstream(0), true);
    CPPUNIT_ASSERT(Quarantine.exportRecords().empty());
  }

  // Guards against a poison request that is never alone on an upstream.
  void thirdCrashConvictsEvenIfNeverAlone() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    Quarantine.importRecords({{PoisonFingerprint, 2, 0, {}, {}}});
    Quarantine.dispatched(GrantId(1), PoisonFingerprint, upstream(0));
    Quarantine.dispatched(GrantId(2), Fingerprint(3), upstream(0));
    CPPUNIT_ASSERT(!Quarantine.convictionTimeLeft(PoisonFingerprint));
    Quarantine.crashed(GrantId(2), Fingerprint(3), upstream(0));
    CPPUNIT_ASSERT(
        Quarantine.convictionTimeLeft(PoisonFingerprint).has_value());
    CPPUNIT_ASSERT(!Quarantine.convictionTimeLeft(Fingerprint(3)));
  }

  // Guards against a suspect that is never placed while all upstreams are busy.
  void waitingSuspectKeepsOneUpstreamFree() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    Quarantine.importRecords({{PoisonFingerprint, 1, 0, {}, {}}});
    Quarantine.dispatched(GrantId(1), Fingerprint(3), upstream(0));
    CPPUNIT_ASSERT(!Quarantine.mayPlace(PoisonFingerprint, upstream(0)));
    CPPUNIT_ASSERT(!Quarantine.mayPlace(Fingerprint(4), upstream(0)));
    CPPUNIT_ASSERT(Quarantine.mayPlace(Fingerprint(4), upstream(1)));
    Quarantine.ended(GrantId(1), Fingerprint(3), upstream(0), true);
    CPPUNIT_ASSERT(Quarantine.mayPlace(PoisonFingerprint, upstream(0)));
    Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT(Quarantine.mayPlace(Fingerprint(4), upstream(0)));
  }

  // Guards against suspects, of which only one runs at a time in the whole
  // fleet, after a machine that runs harmless requests fails.
  void oneCrashOfClearedRequestsRaisesNoSuspicion() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    const Fingerprint ClearedFingerprint(3);
    Quarantine.dispatched(GrantId(1), ClearedFingerprint, upstream(0));
    Quarantine.ended(GrantId(1), ClearedFingerprint, upstream(0), true);
    for (std::uint64_t Crash = 0; Crash < 2; ++Crash) {
      CPPUNIT_ASSERT(Quarantine.exportRecords().empty());
      Quarantine.dispatched(GrantId(10 + Crash), ClearedFingerprint,
                            upstream(Crash));
      Quarantine.crashed(GrantId(10 + Crash), ClearedFingerprint,
                         upstream(Crash));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Quarantine.exportRecords().size());
  }

  // Guards against a new owner of the cell that places a convicted request.
  void convictionsAreImportedByANewOwner() {
    ManualClock Time;
    CrashQuarantine Former(Time);
    convict(Former);
    CrashQuarantine Next(Time);
    Next.importRecords(Former.exportRecords());
    CPPUNIT_ASSERT(Next.convictionTimeLeft(PoisonFingerprint).has_value());
    CPPUNIT_ASSERT(!Next.mayPlace(PoisonFingerprint, upstream(4)));
  }

  // Guards against stale records of other routers that undo a release.
  void releaseEndsAConviction() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    convict(Quarantine);
    const auto Stale = Quarantine.exportRecords();
    CPPUNIT_ASSERT(Quarantine.release(PoisonFingerprint));
    CPPUNIT_ASSERT(!Quarantine.release(PoisonFingerprint));
    Quarantine.importRecords(Stale);
    CPPUNIT_ASSERT(Quarantine.mayPlace(PoisonFingerprint, upstream(4)));
    CrashQuarantine Other(Time);
    Other.importRecords(Stale);
    Other.importRecords(Quarantine.exportRecords());
    CPPUNIT_ASSERT(!Other.convictionTimeLeft(PoisonFingerprint));
  }

  // Guards against a conviction that never expires.
  void convictionEndsAfterTenMinutes() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    convict(Quarantine);
    Time.advance(std::chrono::minutes(9));
    CPPUNIT_ASSERT(
        Quarantine.convictionTimeLeft(PoisonFingerprint).has_value());
    Time.advance(std::chrono::minutes(1));
    Quarantine.expire();
    CPPUNIT_ASSERT(Quarantine.mayPlace(PoisonFingerprint, upstream(4)));
  }

  // Guards against a request that crashes three upstreams every ten minutes.
  void convictionLastsAsLongAsRequestsCome() {
    ManualClock Time;
    CrashQuarantine Quarantine(Time);
    CPPUNIT_ASSERT(!Quarantine.renewConviction(PoisonFingerprint));
    convict(Quarantine);
    for (int Minute = 0; Minute < 60; ++Minute) {
      Time.advance(std::chrono::minutes(1));
      Quarantine.expire();
      CPPUNIT_ASSERT(Quarantine.renewConviction(PoisonFingerprint));
      CPPUNIT_ASSERT(!Quarantine.mayPlace(PoisonFingerprint, upstream(4)));
    }
  }

private:
  static void convict(CrashQuarantine &Quarantine) {
    for (std::uint64_t Number = 0; Number < 2; ++Number) {
      Quarantine.dispatched(GrantId(Number), PoisonFingerprint,
                            upstream(Number));
      Quarantine.crashed(GrantId(Number), PoisonFingerprint, upstream(Number));
    }
    CPPUNIT_ASSERT(
        Quarantine.convictionTimeLeft(PoisonFingerprint).has_value());
  }

  static void checkCrashBound(std::size_t PoisonCount) {
    const bool Passed = rc::check([PoisonCount](std::uint64_t Seed) {
      CrashSimulation Simulation(Seed, PoisonCount);
      constexpr int Steps = 400;
      constexpr int RequestsPerStep = 4;
      // Half of the fingerprints are new, the others recur.
      constexpr std::uint64_t FirstHarmless = 100;
      constexpr std::uint64_t RecurringCount = 50;
      int Sent = 0;
      for (int Step = 0; Step < Steps; ++Step) {
        for (int Count = 0; Count < RequestsPerStep; ++Count, ++Sent) {
          const bool IsNew = Simulation.Random.below(2) == 0;
          Simulation.send(
              Fingerprint(FirstHarmless +
                          (IsNew ? RecurringCount + Sent
                                 : Simulation.Random.below(RecurringCount))));
        }
        // Callers keep sending the poison requests.
        if (Step % 10 == 0)
          Simulation.send(
              Fingerprint(1 + Simulation.Random.below(PoisonCount)));
        Simulation.step();
      }
      // The poison requests are convicted even under load.
      for (std::uint64_t Number = 1; Number <= PoisonCount; ++Number)
        RC_ASSERT(Simulation.Quarantine.convictionTimeLeft(Fingerprint(Number))
                      .has_value());
      for (int Step = 0; Step < Steps; ++Step)
        Simulation.step();
      for (const auto &[RequestFingerprint, Count] : Simulation.Crashes)
        RC_ASSERT(Count <= 3);
      // No other request is refused or starved.
      RC_ASSERT(Simulation.Answered == Sent);
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

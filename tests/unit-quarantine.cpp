#include <mallowglade/outcomes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;

namespace {

constexpr Fingerprint Poison(1);
constexpr Fingerprint SecondPoison(2);

UpstreamId upstream(std::uint64_t Number) {
  return UpstreamId("u" + std::to_string(Number));
}

/// Replicas that die with each poisonous request and come back later. The
/// router's reports arrive late and in any order.
class CrashWorld {
public:
  static constexpr std::size_t Replicas = 6;
  static constexpr std::size_t Slots = 4;

  CrashWorld(std::uint64_t Seed, std::size_t Poisons)
      : Random(Seed), Guard(Time), Poisons(Poisons) {}

  void send(Fingerprint Print) { Waiting.push_back(Print); }

  void step() {
    Time.advance(Milliseconds(50));
    report();
    place();
    run();
    Guard.expire();
  }

  ManualClock Time;
  SeededRandom Random;
  CrashQuarantine Guard;
  std::vector<Fingerprint> Waiting;
  std::map<Fingerprint, int> Crashes;
  int Answered = 0;

private:
  struct Run {
    GrantId Grant;
    Fingerprint Print;
    std::size_t Replica = 0;
    int StepsLeft = 0;
    bool Lost = false;
    bool Reached = true;
  };

  bool poisonous(Fingerprint Print) const { return Print.Value <= Poisons; }

  void report() {
    std::vector<Run> Kept;
    for (const Run &Item : Runs) {
      if (!Item.Lost || Random.below(4) == 0) {
        Kept.push_back(Item);
        continue;
      }
      const UpstreamId Where = upstream(Item.Replica);
      if (Item.Reached)
        Guard.crashed(Item.Grant, Item.Print, Where);
      else
        Guard.ended(Item.Grant, Item.Print, Where, false);
      Waiting.push_back(Item.Print);
    }
    Runs = Kept;
  }

  void place() {
    std::vector<Fingerprint> Kept;
    for (const Fingerprint Print : Waiting) {
      if (Guard.convictedFor(Print))
        continue;
      if (!placeOne(Print))
        Kept.push_back(Print);
    }
    Waiting = Kept;
  }

  bool placeOne(Fingerprint Print) {
    const std::size_t First = Random.below(Replicas);
    for (std::size_t Offset = 0; Offset < Replicas; ++Offset) {
      const std::size_t Index = (First + Offset) % Replicas;
      const UpstreamId Where = upstream(Index);
      const auto Used =
          std::count_if(Runs.begin(), Runs.end(), [Index](const Run &Item) {
            return Item.Replica == Index;
          });
      if (Used >= static_cast<std::ptrdiff_t>(Slots) ||
          !Guard.mayPlace(Print, Where))
        continue;
      const GrantId Grant(NextGrant++);
      Guard.dispatched(Grant, Print, Where);
      const bool Reached = DownSteps[Index] == 0;
      const int Steps = 1 + static_cast<int>(Random.below(10));
      Runs.push_back({Grant, Print, Index, Steps, !Reached, Reached});
      return true;
    }
    return false;
  }

  void run() {
    for (int &Left : DownSteps)
      Left = std::max(0, Left - 1);
    for (Run &Item : Runs) {
      if (Item.Lost || --Item.StepsLeft > 0)
        continue;
      if (poisonous(Item.Print))
        crash(Item);
      else
        Item.StepsLeft = -1;
    }
    std::erase_if(Runs, [this](const Run &Item) {
      if (Item.Lost || Item.StepsLeft >= 0)
        return false;
      Guard.ended(Item.Grant, Item.Print, upstream(Item.Replica), true);
      ++Answered;
      return true;
    });
  }

  void crash(const Run &Cause) {
    ++Crashes[Cause.Print];
    DownSteps[Cause.Replica] = 1 + static_cast<int>(Random.below(5));
    for (Run &Item : Runs)
      if (Item.Replica == Cause.Replica)
        Item.Lost = true;
  }

  std::size_t Poisons;
  std::vector<Run> Runs;
  std::vector<int> DownSteps = std::vector<int>(Replicas, 0);
  std::uint64_t NextGrant = 1;
};

} // namespace

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(onePoisonCrashesAtMostThreeUpstreams);
  CPPUNIT_TEST(twoPoisonsCrashAtMostSixUpstreams);
  CPPUNIT_TEST(suspectRunsAloneOrWithClearedRequests);
  CPPUNIT_TEST(lostConnectionOfServingUpstreamIsForgiven);
  CPPUNIT_TEST(thirdCrashConvictsAlsoInCompany);
  CPPUNIT_TEST(waitingSuspectKeepsOneUpstreamFree);
  CPPUNIT_TEST(oneCrashOfClearedRequestsIsNotTheirs);
  CPPUNIT_TEST(convictionsMoveToANewOwner);
  CPPUNIT_TEST(releaseEndsAConviction);
  CPPUNIT_TEST(convictionEndsAfterTenMinutes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that is sent again and again and takes one
  // upstream after another down.
  void onePoisonCrashesAtMostThreeUpstreams() { checkBound(1); }

  // Guards against two such requests that hide behind each other.
  void twoPoisonsCrashAtMostSixUpstreams() { checkBound(2); }

  // Guards against a second victim while the culprit is being found.
  void suspectRunsAloneOrWithClearedRequests() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    Guard.dispatched(GrantId(1), Poison, upstream(0));
    Guard.dispatched(GrantId(2), SecondPoison, upstream(0));
    Guard.crashed(GrantId(1), Poison, upstream(0));
    Guard.crashed(GrantId(2), SecondPoison, upstream(0));
    Guard.dispatched(GrantId(3), Fingerprint(3), upstream(1));
    CPPUNIT_ASSERT(!Guard.mayPlace(Poison, upstream(1)));
    CPPUNIT_ASSERT(Guard.mayPlace(Poison, upstream(2)));
    Guard.dispatched(GrantId(4), Poison, upstream(2));
    CPPUNIT_ASSERT(!Guard.mayPlace(SecondPoison, upstream(3)));
    CPPUNIT_ASSERT(!Guard.mayPlace(Fingerprint(4), upstream(2)));
    Guard.ended(GrantId(3), Fingerprint(3), upstream(1), true);
    CPPUNIT_ASSERT(Guard.mayPlace(Fingerprint(3), upstream(2)));
    Guard.ended(GrantId(4), Poison, upstream(2), true);
    CPPUNIT_ASSERT(Guard.mayPlace(SecondPoison, upstream(3)));
  }

  // Guards against a conviction because of a broken network connection.
  void lostConnectionOfServingUpstreamIsForgiven() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    Guard.dispatched(GrantId(1), Poison, upstream(0));
    Guard.dispatched(GrantId(2), Fingerprint(3), upstream(0));
    Guard.crashed(GrantId(1), Poison, upstream(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Guard.exportRecords().size());
    Time.advance(std::chrono::seconds(5));
    Guard.ended(GrantId(2), Fingerprint(3), upstream(0), true);
    CPPUNIT_ASSERT(Guard.exportRecords().empty());
  }

  // Guards against a request that never crashes an upstream alone.
  void thirdCrashConvictsAlsoInCompany() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    Guard.importRecords({{Poison, 2, 0, {}, {}}});
    Guard.dispatched(GrantId(1), Poison, upstream(0));
    Guard.dispatched(GrantId(2), Fingerprint(3), upstream(0));
    CPPUNIT_ASSERT(!Guard.convictedFor(Poison));
    Guard.crashed(GrantId(2), Fingerprint(3), upstream(0));
    CPPUNIT_ASSERT(Guard.convictedFor(Poison).has_value());
    CPPUNIT_ASSERT(!Guard.convictedFor(Fingerprint(3)));
  }

  // Guards against a suspect that never finds a place while all are busy.
  void waitingSuspectKeepsOneUpstreamFree() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    Guard.importRecords({{Poison, 1, 0, {}, {}}});
    Guard.dispatched(GrantId(1), Fingerprint(3), upstream(0));
    CPPUNIT_ASSERT(!Guard.mayPlace(Poison, upstream(0)));
    CPPUNIT_ASSERT(!Guard.mayPlace(Fingerprint(4), upstream(0)));
    CPPUNIT_ASSERT(Guard.mayPlace(Fingerprint(4), upstream(1)));
    Guard.ended(GrantId(1), Fingerprint(3), upstream(0), true);
    CPPUNIT_ASSERT(Guard.mayPlace(Poison, upstream(0)));
    Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT(Guard.mayPlace(Fingerprint(4), upstream(0)));
  }

  // Guards against one request at a time for the whole fleet after a machine
  // with harmless requests fails.
  void oneCrashOfClearedRequestsIsNotTheirs() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    const Fingerprint Common(3);
    Guard.dispatched(GrantId(1), Common, upstream(0));
    Guard.ended(GrantId(1), Common, upstream(0), true);
    for (std::uint64_t Crash = 0; Crash < 2; ++Crash) {
      CPPUNIT_ASSERT(Guard.exportRecords().empty());
      Guard.dispatched(GrantId(10 + Crash), Common, upstream(Crash));
      Guard.crashed(GrantId(10 + Crash), Common, upstream(Crash));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Guard.exportRecords().size());
  }

  // Guards against a new owner of the cell that lets the request run again.
  void convictionsMoveToANewOwner() {
    ManualClock Time;
    CrashQuarantine Former(Time);
    convict(Former);
    CrashQuarantine Next(Time);
    Next.importRecords(Former.exportRecords());
    CPPUNIT_ASSERT(Next.convictedFor(Poison).has_value());
    CPPUNIT_ASSERT(!Next.mayPlace(Poison, upstream(4)));
  }

  // Guards against a release that stale records of other routers undo.
  void releaseEndsAConviction() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    convict(Guard);
    const auto Stale = Guard.exportRecords();
    CPPUNIT_ASSERT(Guard.release(Poison));
    CPPUNIT_ASSERT(!Guard.release(Poison));
    Guard.importRecords(Stale);
    CPPUNIT_ASSERT(Guard.mayPlace(Poison, upstream(4)));
    CrashQuarantine Other(Time);
    Other.importRecords(Stale);
    Other.importRecords(Guard.exportRecords());
    CPPUNIT_ASSERT(!Other.convictedFor(Poison));
  }

  // Guards against a refusal that never ends.
  void convictionEndsAfterTenMinutes() {
    ManualClock Time;
    CrashQuarantine Guard(Time);
    convict(Guard);
    Time.advance(std::chrono::minutes(9));
    CPPUNIT_ASSERT(Guard.convictedFor(Poison).has_value());
    Time.advance(std::chrono::minutes(1));
    Guard.expire();
    CPPUNIT_ASSERT(Guard.mayPlace(Poison, upstream(4)));
  }

private:
  static void convict(CrashQuarantine &Guard) {
    for (std::uint64_t Number = 0; Number < 2; ++Number) {
      Guard.dispatched(GrantId(Number), Poison, upstream(Number));
      Guard.crashed(GrantId(Number), Poison, upstream(Number));
    }
    CPPUNIT_ASSERT(Guard.convictedFor(Poison).has_value());
  }

  static void checkBound(std::size_t Poisons) {
    const bool Holds = rc::check([Poisons](std::uint64_t Seed) {
      CrashWorld World(Seed, Poisons);
      constexpr int Steps = 400;
      constexpr int PerStep = 4;
      // Half of the fingerprints are new, the others return.
      constexpr std::uint64_t FirstInnocent = 100;
      constexpr std::uint64_t Returning = 50;
      int Sent = 0;
      for (int Step = 0; Step < Steps; ++Step) {
        for (int Count = 0; Count < PerStep; ++Count, ++Sent) {
          const bool New = World.Random.below(2) == 0;
          World.send(Fingerprint(
              FirstInnocent +
              (New ? Returning + Sent : World.Random.below(Returning))));
        }
        // Callers send the poisonous requests again and again.
        if (Step % 10 == 0)
          World.send(Fingerprint(1 + World.Random.below(Poisons)));
        World.step();
      }
      // Under load, too, the culprits are found.
      for (std::uint64_t Number = 1; Number <= Poisons; ++Number)
        RC_ASSERT(World.Guard.convictedFor(Fingerprint(Number)).has_value());
      for (int Step = 0; Step < Steps; ++Step)
        World.step();
      for (const auto &[Print, Count] : World.Crashes)
        RC_ASSERT(Count <= 3);
      // Nobody else is refused or starved.
      RC_ASSERT(World.Answered == Sent);
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

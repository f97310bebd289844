#include "support/fake_member_network.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using mallowglade::test::FakeMemberNetwork;
using namespace std::chrono_literals;

namespace {

using Network = FakeMemberNetwork;

constexpr std::size_t FleetSize = 16;
constexpr auto SettleLimit = 60'000ms;

void settle(Network &Fleet, std::size_t Size) {
  Fleet.startAll(Size);
  Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
}

std::size_t deadViews(const Network &Fleet) {
  std::size_t Count = 0;
  for (const auto &[Id, Node] : Fleet.Nodes)
    for (const MemberRecord &Record : Node.Detector->all())
      Count += Record.State == MemberState::Dead ? 1 : 0;
  return Count;
}

bool seesLive(Network &Fleet, std::size_t Viewer, std::size_t Target) {
  const auto Live = Fleet.node(Viewer).Detector->alive();
  return std::any_of(Live.begin(), Live.end(), [Target](const auto &Record) {
    return Record.Id == Network::idOf(Target);
  });
}

std::set<RouterId> idsOf(std::initializer_list<std::size_t> Indices) {
  std::set<RouterId> Ids;
  for (const std::size_t Index : Indices)
    Ids.insert(Network::idOf(Index));
  return Ids;
}

std::uint64_t drawSeed() { return *rc::gen::inRange<std::uint64_t>(1, 10'000); }

} // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(killedMembersAreFoundInTime);
  CPPUNIT_TEST(lossCausesNoFalseDeaths);
  CPPUNIT_TEST(oneCutDirectionHarmsNobody);
  CPPUNIT_TEST(deafMemberDoesNotAccuseTheFleet);
  CPPUNIT_TEST(shortPauseIsSurvived);
  CPPUNIT_TEST(longPauseIsRefutedOnReturn);
  CPPUNIT_TEST(pausedMemberDoesNotBlameOthers);
  CPPUNIT_TEST(restartWithNoStateRejoins);
  CPPUNIT_TEST(restartWithAnEarlierClockRejoins);
  CPPUNIT_TEST(partitionHeals);
  CPPUNIT_TEST(zoneLossConverges);
  CPPUNIT_TEST(massReplacementConverges);
  CPPUNIT_TEST(leavingIsKnownEverywhere);
  CPPUNIT_TEST(bytesDoNotGrowWithTheFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against dead routers that keep owning cells.
  void killedMembersAreFoundInTime() {
    const bool Holds = rc::check([] {
      Network Fleet(drawSeed());
      settle(Fleet, FleetSize);
      const auto Killed = *rc::gen::inRange<std::size_t>(1, FleetSize / 2);
      for (std::size_t I = 0; I < Killed; ++I)
        Fleet.node(I).Running = false;
      const auto Took =
          Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
      // Not before the suspicion time has passed, and well within 15 s.
      RC_ASSERT(Took >= 5'000ms);
      RC_ASSERT(Took <= 15'000ms);
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against routers declared dead because some messages were lost.
  void lossCausesNoFalseDeaths() {
    const bool Holds = rc::check([] {
      Network Fleet(drawSeed());
      settle(Fleet, FleetSize);
      Fleet.LossPercent = *rc::gen::inRange<unsigned>(1, 21);
      std::size_t Dead = 0;
      constexpr int Seconds = 60;
      for (int Second = 0; Second < Seconds; ++Second) {
        Fleet.run(1'000ms);
        Dead += deadViews(Fleet);
      }
      // At most one view in a thousand, and all of them recover.
      RC_ASSERT(Dead * 1'000 <= Seconds * FleetSize * FleetSize);
      Fleet.LossPercent = 0;
      Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
      RC_ASSERT(Fleet.agreed());
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against a member declared dead over one faulty link.
  void oneCutDirectionHarmsNobody() {
    Network Fleet(1);
    settle(Fleet, FleetSize);
    Fleet.Connected = [](const RouterId &From, const RouterId &To) {
      return From != Network::idOf(0) || To != Network::idOf(1);
    };
    for (int Second = 0; Second < 120; ++Second) {
      Fleet.run(1'000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), deadViews(Fleet));
    }
  }

  // Guards against a member that hears nobody and makes others give up on
  // each other.
  void deafMemberDoesNotAccuseTheFleet() {
    Network Fleet(2);
    settle(Fleet, FleetSize);
    Fleet.Connected = [](const RouterId &, const RouterId &To) {
      return To != Network::idOf(0);
    };
    for (int Second = 0; Second < 60; ++Second) {
      Fleet.run(1'000ms);
      for (std::size_t Viewer = 1; Viewer < FleetSize; ++Viewer)
        for (std::size_t Target = 1; Target < FleetSize; ++Target)
          CPPUNIT_ASSERT(seesLive(Fleet, Viewer, Target));
    }
    CPPUNIT_ASSERT(!seesLive(Fleet, 1, 0));
    Fleet.Connected = nullptr;
    Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
    CPPUNIT_ASSERT(Fleet.agreed());
  }

  // Guards against a slow member that loses its roles too early.
  void shortPauseIsSurvived() {
    Network Fleet(3);
    settle(Fleet, FleetSize);
    Fleet.node(0).Paused = true;
    Fleet.run(4'500ms);
    Fleet.node(0).Paused = false;
    for (int Step = 0; Step < 150; ++Step) {
      Fleet.run(100ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), deadViews(Fleet));
    }
  }

  // Guards against a member that stays dead after a long pause.
  void longPauseIsRefutedOnReturn() {
    Network Fleet(4);
    settle(Fleet, FleetSize);
    Fleet.node(0).Paused = true;
    Fleet.run(20'000ms);
    CPPUNIT_ASSERT(!seesLive(Fleet, 1, 0));
    Fleet.node(0).Paused = false;
    Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
    CPPUNIT_ASSERT(Fleet.agreed());
    CPPUNIT_ASSERT(Fleet.node(0).Detector->self().Counter > 0);
  }

  // Guards against time limits that pass while this process is stopped.
  void pausedMemberDoesNotBlameOthers() {
    Network Fleet(5);
    settle(Fleet, FleetSize);
    Fleet.node(0).Paused = true;
    Fleet.run(30'000ms);
    Fleet.node(0).Paused = false;
    for (int Step = 0; Step < 100; ++Step) {
      Fleet.run(100ms);
      for (std::size_t Target = 1; Target < FleetSize; ++Target)
        CPPUNIT_ASSERT(seesLive(Fleet, 0, Target));
    }
  }

  // Guards against a new process that is taken for the old one.
  void restartWithNoStateRejoins() {
    Network Fleet(6);
    settle(Fleet, FleetSize);
    const Incarnation Before = Fleet.node(0).Detector->self().Start;
    Fleet.start(0, idsOf({5}));
    const auto Known = [&Fleet, Before] {
      const auto Live = Fleet.node(9).Detector->alive();
      return Fleet.agreed() &&
             std::all_of(Live.begin(), Live.end(), [Before](const auto &Each) {
               return Each.Id != Network::idOf(0) || Each.Start > Before;
             });
    };
    CPPUNIT_ASSERT(Fleet.runUntil(Known, SettleLimit) < 10'000ms);
  }

  // Guards against a restarted router that is ignored because the wall clock
  // was set back.
  void restartWithAnEarlierClockRejoins() {
    Network Fleet(7);
    settle(Fleet, FleetSize);
    Fleet.node(0).Running = false;
    Fleet.run(20'000ms);
    Fleet.start(0, idsOf({5}), Incarnation(1));
    Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
    CPPUNIT_ASSERT(Fleet.agreed());
  }

  // Guards against halves that do not find each other again.
  void partitionHeals() {
    const bool Holds = rc::check([] {
      Network Fleet(drawSeed());
      settle(Fleet, FleetSize);
      const auto Split = *rc::gen::inRange<std::size_t>(1, FleetSize);
      std::set<RouterId> Left;
      for (std::size_t I = 0; I < Split; ++I)
        Left.insert(Network::idOf(I));
      Fleet.Connected = [Left](const RouterId &From, const RouterId &To) {
        return Left.contains(From) == Left.contains(To);
      };
      Fleet.run(60'000ms);
      RC_ASSERT(Fleet.node(0).Detector->alive().size() == Split);
      Fleet.Connected = nullptr;
      Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
      RC_ASSERT(Fleet.agreed());
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against updates that crowd each other out when a zone fails.
  void zoneLossConverges() {
    constexpr std::size_t Size = 64;
    constexpr std::size_t Zones = 8;
    Network Fleet(8);
    settle(Fleet, Size);
    for (std::size_t I = 0; I < Size; I += Zones)
      Fleet.node(I).Running = false;
    const auto Took =
        Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
    CPPUNIT_ASSERT(Took <= 25'000ms);
  }

  // Guards against new routers that only know replaced ones.
  void massReplacementConverges() {
    constexpr std::size_t Size = 32;
    Network Fleet(9);
    settle(Fleet, Size);
    for (std::size_t I = 0; I + 1 < Size; ++I) {
      Fleet.node(I).Running = false;
      Fleet.start(Size + I, idsOf({I, Size - 1, Size + I - 1}));
      Fleet.run(500ms);
    }
    Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
    CPPUNIT_ASSERT(Fleet.agreed());
  }

  // Guards against new work for a router that is being stopped.
  void leavingIsKnownEverywhere() {
    Network Fleet(10);
    settle(Fleet, FleetSize);
    Fleet.node(0).Detector->announceLeaving(Fleet.Time.now());
    const auto Known = [&Fleet] {
      return std::all_of(
          Fleet.Nodes.begin(), Fleet.Nodes.end(), [](const auto &Item) {
            const auto Live = Item.second.Detector->alive();
            return std::any_of(Live.begin(), Live.end(), [](const auto &Each) {
              return Each.Leaving && Each.Id == Network::idOf(0);
            });
          });
    };
    CPPUNIT_ASSERT(Fleet.runUntil(Known, SettleLimit) < 5'000ms);
    Fleet.node(0).Running = false;
    Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, SettleLimit);
    CPPUNIT_ASSERT(Fleet.node(1).Detector->left() == idsOf({0}));
  }

  // Guards against messages whose size or number follows the fleet size; the
  // limit is 2 messages/s with 8 updates each, reached right after a start.
  void bytesDoNotGrowWithTheFleet() {
    constexpr std::array<std::size_t, 3> Sizes{8, 64, 390};
    constexpr double AllowedBytesPerSecond = 1'000;
    for (const std::size_t Size : Sizes) {
      Network Fleet(11);
      settle(Fleet, Size);
      const std::uint64_t Before = Fleet.bytesSent();
      Fleet.run(10'000ms);
      const double Rate =
          double(Fleet.bytesSent() - Before) / 10 / double(Size);
      CPPUNIT_ASSERT(Rate < AllowedBytesPerSecond);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

class MemberRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberRecordsTest);
  CPPUNIT_TEST(messageSurvivesEncoding);
  CPPUNIT_TEST(damagedMessageIsRefused);
  CPPUNIT_TEST(updatesAreSentALimitedNumberOfTimes);
  CPPUNIT_TEST(listedRouterCountsWithoutRegistration);
  CPPUNIT_TEST(droppedAndLeftRoutersDoNotCount);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against fields that are lost or swapped on the way.
  void messageSurvivesEncoding() {
    MemberMessage Sent = exampleMessage();
    const auto Received = decodeMemberMessage(encodeMemberMessage(Sent));
    CPPUNIT_ASSERT(isOk(Received));
    CPPUNIT_ASSERT_EQUAL(encodeMemberMessage(Sent),
                         encodeMemberMessage(valueOf(Received)));
    const MemberRecord &Record = valueOf(Received).Updates.at(0);
    CPPUNIT_ASSERT(Record.State == MemberState::Suspect && Record.Leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), Record.CallerAddress);
  }

  // Guards against a crash on bytes that are not a message.
  void damagedMessageIsRefused() {
    const bool Holds = rc::check([](const std::string &Bytes) {
      RC_ASSERT(!isOk(decodeMemberMessage(Bytes)));
      std::string Cut = encodeMemberMessage(exampleMessage());
      Cut.resize(Cut.size() - 1 - Bytes.size() % (Cut.size() - 1));
      RC_ASSERT(!isOk(decodeMemberMessage(Cut)));
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against updates that are repeated for ever or never sent.
  void updatesAreSentALimitedNumberOfTimes() {
    UpdateQueue Queue;
    for (std::size_t I = 0; I < 3; ++I) {
      MemberRecord Record;
      Record.Id = Network::idOf(I);
      Queue.add(Record);
    }
    std::map<RouterId, int> Sends;
    for (int Message = 0; Message < 20; ++Message)
      for (const MemberRecord &Record : Queue.take(2, 4))
        ++Sends[Record.Id];
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Sends.size());
    for (const auto &[Id, Count] : Sends)
      CPPUNIT_ASSERT_EQUAL(4, Count);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Queue.size());
  }

  // Guards against both sides of a partition using a replica in full when
  // one side cannot renew its registrations.
  void listedRouterCountsWithoutRegistration() {
    RegisteredRouters Known;
    Known.setListed(idsOf({0, 1, 2}));
    Known.setRegistrations(idsOf({0, 1, 2}));
    Known.setRegistrations(idsOf({0}));
    const std::vector<RouterId> Heard{Network::idOf(0)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Known.count(Heard, {}));
    Known.setListed(idsOf({0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Known.count(Heard, {}));
  }

  // Guards against capacity withheld for routers that are gone while the
  // key-value service cannot say so.
  void droppedAndLeftRoutersDoNotCount() {
    RegisteredRouters Known;
    Known.setRegistrations(idsOf({0, 1, 2, 3}));
    Known.setListed(idsOf({0, 1}));
    Known.setListed(idsOf({0}));
    const std::vector<RouterId> Heard{Network::idOf(0)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Known.count(Heard, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Known.count(Heard, idsOf({2})));
    const std::vector<RouterId> Both{Network::idOf(0), Network::idOf(1)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Known.count(Both, {}));
  }

private:
  static MemberMessage exampleMessage() {
    MemberMessage Message;
    Message.Kind = MemberMessageKind::ProbeRequest;
    Message.Sequence = 300;
    Message.Target = Network::idOf(4);
    Message.Version = SettingsVersion(17);
    Message.Digest = ~std::uint64_t(0);
    MemberRecord Record;
    Record.Id = Network::idOf(3);
    Record.Start = Incarnation(1'700'000'000'000);
    Record.Counter = 5;
    Record.State = MemberState::Suspect;
    Record.Leaving = true;
    Record.Zone = ZoneId("pl-south-a");
    Record.CallerAddress = "10.0.0.1:80";
    Message.Updates.push_back(Record);
    return Message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberRecordsTest);

#include "support/fake_member_network.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using mallowglade::test::FakeMemberNetwork;
using namespace std::chrono_literals;

namespace {

using Network = FakeMemberNetwork;

constexpr std::size_t FleetSize = 16;
constexpr auto ConvergenceTimeout = 60'000ms;

void startAndConverge(Network &Fleet, std::size_t Size) {
  Fleet.startAll(Size);
  Fleet.runUntil([&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
}

std::size_t countDeadRecords(const Network &Fleet) {
  std::size_t Count = 0;
  for (const auto &[Id, Node] : Fleet.Nodes)
    for (const MemberRecord &Record : Node.Detector->allMembers())
      Count += Record.State == MemberState::Dead ? 1 : 0;
  return Count;
}

bool considersLive(Network &Fleet, std::size_t Viewer, std::size_t Target) {
  const auto Live = Fleet.node(Viewer).Detector->liveMembers();
  return std::any_of(Live.begin(), Live.end(), [Target](const auto &Record) {
    return Record.Id == Network::routerId(Target);
  });
}

std::set<RouterId> idsOf(std::initializer_list<std::size_t> Indices) {
  std::set<RouterId> Ids;
  for (const std::size_t Index : Indices)
    Ids.insert(Network::routerId(Index));
  return Ids;
}

std::uint64_t generateSeed() {
  return *rc::gen::inRange<std::uint64_t>(1, 10'000);
}

} // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(killedMembersAreDetectedInTime);
  CPPUNIT_TEST(messageLossCausesNoFalseDeaths);
  CPPUNIT_TEST(oneWayLinkFailureCausesNoDeaths);
  CPPUNIT_TEST(memberWithoutInboundMessagesAccusesNobody);
  CPPUNIT_TEST(shortPauseCausesNoDeath);
  CPPUNIT_TEST(memberRefutesItsDeathAfterLongPause);
  CPPUNIT_TEST(resumedMemberKeepsOthersAlive);
  CPPUNIT_TEST(restartWithoutStateRejoins);
  CPPUNIT_TEST(restartWithEarlierClockRejoins);
  CPPUNIT_TEST(partitionHeals);
  CPPUNIT_TEST(zoneLossConverges);
  CPPUNIT_TEST(massReplacementConverges);
  CPPUNIT_TEST(leavingIsPropagatedToAllMembers);
  CPPUNIT_TEST(trafficPerMemberIsIndependentOfFleetSize);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against late detection: a dead router would keep owning cells.
  void killedMembersAreDetectedInTime() {
    const bool Passed = rc::check([] {
      Network Fleet(generateSeed());
      startAndConverge(Fleet, FleetSize);
      const auto Killed = *rc::gen::inRange<std::size_t>(1, FleetSize / 2);
      for (std::size_t I = 0; I < Killed; ++I)
        Fleet.node(I).Running = false;
      const auto Elapsed = Fleet.runUntil(
          [&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
      // Not before the suspicion timeout of 5 s, and within 15 s.
      RC_ASSERT(Elapsed >= 5'000ms);
      RC_ASSERT(Elapsed <= 15'000ms);
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against routers declared dead because of up to 20 % message loss.
  void messageLossCausesNoFalseDeaths() {
    const bool Passed = rc::check([] {
      Network Fleet(generateSeed());
      startAndConverge(Fleet, FleetSize);
      Fleet.LossPercent = *rc::gen::inRange<unsigned>(1, 21);
      std::size_t Dead = 0;
      constexpr int Seconds = 60;
      for (int Second = 0; Second < Seconds; ++Second) {
        Fleet.run(1'000ms);
        Dead += countDeadRecords(Fleet);
      }
      // At most one record in a thousand is Dead, and all of them recover.
      RC_ASSERT(Dead * 1'000 <= Seconds * FleetSize * FleetSize);
      Fleet.LossPercent = 0;
      Fleet.runUntil([&Fleet] { return Fleet.converged(); },
                     ConvergenceTimeout);
      RC_ASSERT(Fleet.converged());
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against a member declared dead because one link loses all messages
  // in one direction.
  void oneWayLinkFailureCausesNoDeaths() {
    Network Fleet(1);
    startAndConverge(Fleet, FleetSize);
    Fleet.Connected = [](const RouterId &From, const RouterId &To) {
      return From != Network::routerId(0) || To != Network::routerId(1);
    };
    for (int Second = 0; Second < 120; ++Second) {
      Fleet.run(1'000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), countDeadRecords(Fleet));
    }
  }

  // Guards against a member that receives no messages and, by gossiping its
  // suspicions, makes the other members declare each other dead.
  void memberWithoutInboundMessagesAccusesNobody() {
    Network Fleet(2);
    startAndConverge(Fleet, FleetSize);
    Fleet.Connected = [](const RouterId &, const RouterId &To) {
      return To != Network::routerId(0);
    };
    for (int Second = 0; Second < 60; ++Second) {
      Fleet.run(1'000ms);
      for (std::size_t Viewer = 1; Viewer < FleetSize; ++Viewer)
        for (std::size_t Target = 1; Target < FleetSize; ++Target)
          CPPUNIT_ASSERT(considersLive(Fleet, Viewer, Target));
    }
    CPPUNIT_ASSERT(!considersLive(Fleet, 1, 0));
    Fleet.Connected = nullptr;
    Fleet.runUntil([&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
    CPPUNIT_ASSERT(Fleet.converged());
  }

  // Guards against a member that loses its roles because of a pause shorter
  // than the suspicion timeout.
  void shortPauseCausesNoDeath() {
    Network Fleet(3);
    startAndConverge(Fleet, FleetSize);
    Fleet.node(0).Paused = true;
    Fleet.run(4'500ms);
    Fleet.node(0).Paused = false;
    for (int Step = 0; Step < 150; ++Step) {
      Fleet.run(100ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), countDeadRecords(Fleet));
    }
  }

  // Guards against a member that stays dead after a pause longer than the
  // suspicion timeout.
  void memberRefutesItsDeathAfterLongPause() {
    Network Fleet(4);
    startAndConverge(Fleet, FleetSize);
    Fleet.node(0).Paused = true;
    Fleet.run(20'000ms);
    CPPUNIT_ASSERT(!considersLive(Fleet, 1, 0));
    Fleet.node(0).Paused = false;
    Fleet.runUntil([&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
    CPPUNIT_ASSERT(Fleet.converged());
    CPPUNIT_ASSERT(Fleet.node(0).Detector->self().VersionCounter > 0);
  }

  // Guards against timeouts that expire while the process is paused, so that
  // the resumed member declares the others dead.
  void resumedMemberKeepsOthersAlive() {
    Network Fleet(5);
    startAndConverge(Fleet, FleetSize);
    Fleet.node(0).Paused = true;
    Fleet.run(30'000ms);
    Fleet.node(0).Paused = false;
    for (int Step = 0; Step < 100; ++Step) {
      Fleet.run(100ms);
      for (std::size_t Target = 1; Target < FleetSize; ++Target)
        CPPUNIT_ASSERT(considersLive(Fleet, 0, Target));
    }
  }

  // Guards against a restarted router that is mistaken for its previous
  // process.
  void restartWithoutStateRejoins() {
    Network Fleet(6);
    startAndConverge(Fleet, FleetSize);
    const Incarnation Before = Fleet.node(0).Detector->self().Start;
    Fleet.start(0, idsOf({5}));
    const auto RestartSeen = [&Fleet, Before] {
      const auto Live = Fleet.node(9).Detector->liveMembers();
      return Fleet.converged() &&
             std::all_of(Live.begin(), Live.end(),
                         [Before](const auto &Record) {
                           return Record.Id != Network::routerId(0) ||
                                  Record.Start > Before;
                         });
    };
    CPPUNIT_ASSERT(Fleet.runUntil(RestartSeen, ConvergenceTimeout) < 10'000ms);
  }

  // Guards against a restarted router whose records are ignored as outdated
  // because its wall clock was set back.
  void restartWithEarlierClockRejoins() {
    Network Fleet(7);
    startAndConverge(Fleet, FleetSize);
    Fleet.node(0).Running = false;
    Fleet.run(20'000ms);
    Fleet.start(0, idsOf({5}), Incarnation(1));
    Fleet.runUntil([&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
    CPPUNIT_ASSERT(Fleet.converged());
  }

  // Guards against sides of a partition that do not merge after it has ended.
  void partitionHeals() {
    const bool Passed = rc::check([] {
      Network Fleet(generateSeed());
      startAndConverge(Fleet, FleetSize);
      const auto Split = *rc::gen::inRange<std::size_t>(1, FleetSize);
      std::set<RouterId> Left;
      for (std::size_t I = 0; I < Split; ++I)
        Left.insert(Network::routerId(I));
      Fleet.Connected = [Left](const RouterId &From, const RouterId &To) {
        return Left.contains(From) == Left.contains(To);
      };
      Fleet.run(60'000ms);
      RC_ASSERT(Fleet.node(0).Detector->liveMembers().size() == Split);
      Fleet.Connected = nullptr;
      Fleet.runUntil([&Fleet] { return Fleet.converged(); },
                     ConvergenceTimeout);
      RC_ASSERT(Fleet.converged());
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against updates that displace each other in the limited space of
  // probes when a whole zone fails.
  void zoneLossConverges() {
    constexpr std::size_t Size = 64;
    constexpr std::size_t Zones = 8;
    Network Fleet(8);
    startAndConverge(Fleet, Size);
    for (std::size_t I = 0; I < Size; I += Zones)
      Fleet.node(I).Running = false;
    const auto Elapsed = Fleet.runUntil([&Fleet] { return Fleet.converged(); },
                                        ConvergenceTimeout);
    CPPUNIT_ASSERT(Elapsed <= 25'000ms);
  }

  // Guards against a fleet that does not converge after almost all routers were
  // replaced one by one, each new router with a seed that no longer runs.
  void massReplacementConverges() {
    constexpr std::size_t Size = 32;
    Network Fleet(9);
    startAndConverge(Fleet, Size);
    for (std::size_t I = 0; I + 1 < Size; ++I) {
      Fleet.node(I).Running = false;
      Fleet.start(Size + I, idsOf({I, Size - 1, Size + I - 1}));
      Fleet.run(500ms);
    }
    Fleet.runUntil([&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
    CPPUNIT_ASSERT(Fleet.converged());
  }

  // Guards against new work being sent to a router that is shutting down.
  void leavingIsPropagatedToAllMembers() {
    Network Fleet(10);
    startAndConverge(Fleet, FleetSize);
    Fleet.node(0).Detector->announceLeaving(Fleet.Time.now());
    const auto LeavingSeen = [&Fleet] {
      return std::all_of(
          Fleet.Nodes.begin(), Fleet.Nodes.end(), [](const auto &Item) {
            const auto Live = Item.second.Detector->liveMembers();
            return std::any_of(
                Live.begin(), Live.end(), [](const auto &Record) {
                  return Record.Leaving && Record.Id == Network::routerId(0);
                });
          });
    };
    CPPUNIT_ASSERT(Fleet.runUntil(LeavingSeen, ConvergenceTimeout) < 5'000ms);
    Fleet.node(0).Running = false;
    Fleet.runUntil([&Fleet] { return Fleet.converged(); }, ConvergenceTimeout);
    CPPUNIT_ASSERT(Fleet.node(1).Detector->departedMembers() == idsOf({0}));
  }

  // Guards against messages whose size or number grows with the fleet size. The
  // limit corresponds to 2 messages/s with 8 updates each, which is reached
  // right after a start.
  void trafficPerMemberIsIndependentOfFleetSize() {
    constexpr std::array<std::size_t, 3> Sizes{8, 64, 390};
    constexpr double AllowedBytesPerSecond = 1'000;
    for (const std::size_t Size : Sizes) {
      Network Fleet(11);
      startAndConverge(Fleet, Size);
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
  CPPUNIT_TEST(messageRoundTripKeepsFields);
  CPPUNIT_TEST(malformedMessageIsRejected);
  CPPUNIT_TEST(namesThatCannotBePrintedAreRejected);
  CPPUNIT_TEST(updateTransmissionsAreLimited);
  CPPUNIT_TEST(listedRouterCountsWithoutRegistration);
  CPPUNIT_TEST(delistedAndDepartedRoutersDoNotCount);
  CPPUNIT_TEST(routerThatJoinedDuringOutageCounts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against fields that the codec loses or swaps.
  void messageRoundTripKeepsFields() {
    MemberMessage Sent = exampleMessage();
    const auto Received = decodeMemberMessage(encodeMemberMessage(Sent));
    CPPUNIT_ASSERT(isOk(Received));
    CPPUNIT_ASSERT_EQUAL(encodeMemberMessage(Sent),
                         encodeMemberMessage(valueOf(Received)));
    const MemberRecord &Record = valueOf(Received).Updates.at(0);
    CPPUNIT_ASSERT(Record.State == MemberState::Suspect && Record.Leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), Record.CallerAddress);
  }

  // Guards against a crash on random bytes or truncated messages.
  void malformedMessageIsRejected() {
    const bool Passed = rc::check([](const std::string &Bytes) {
      RC_ASSERT(!isOk(decodeMemberMessage(Bytes)));
      std::string Cut = encodeMemberMessage(exampleMessage());
      Cut.resize(Cut.size() - 1 - Bytes.size() % (Cut.size() - 1));
      RC_ASSERT(!isOk(decodeMemberMessage(Cut)));
    });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against a record that ends the process, or makes each lookup of
  // addresses fail, when it is printed for operators and callers.
  void namesThatCannotBePrintedAreRejected() {
    for (const std::string &Text :
         {std::string("\xff\xfe"), std::string("\xed\xa0\x80"),
          std::string("a\nb"), std::string(300, 'a')}) {
      MemberMessage Sent = exampleMessage();
      Sent.Updates.front().Id = RouterId(Text);
      CPPUNIT_ASSERT(!isOk(decodeMemberMessage(encodeMemberMessage(Sent))));
      Sent = exampleMessage();
      Sent.Updates.front().Zone = ZoneId(Text);
      CPPUNIT_ASSERT(!isOk(decodeMemberMessage(encodeMemberMessage(Sent))));
      Sent = exampleMessage();
      Sent.Updates.front().CallerAddress = Text;
      CPPUNIT_ASSERT(!isOk(decodeMemberMessage(encodeMemberMessage(Sent))));
    }
  }

  // Guards against updates that are sent forever or never.
  void updateTransmissionsAreLimited() {
    UpdateQueue Queue;
    for (std::size_t I = 0; I < 3; ++I) {
      MemberRecord Record;
      Record.Id = Network::routerId(I);
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
    RegisteredRouters Routers;
    Routers.setListed(idsOf({0, 1, 2}));
    Routers.setRegistrations(idsOf({0, 1, 2}));
    Routers.setRegistrations(idsOf({0}));
    const std::vector<RouterId> Reachable{Network::routerId(0)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Routers.count(Reachable, {}));
    Routers.setListed(idsOf({0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Routers.count(Reachable, {}));
  }

  // Guards against capacity reserved for routers that have gone, while outdated
  // registrations remain because the key-value service is unavailable.
  void delistedAndDepartedRoutersDoNotCount() {
    RegisteredRouters Routers;
    Routers.setRegistrations(idsOf({0, 1, 2, 3}));
    Routers.setListed(idsOf({0, 1}));
    Routers.setListed(idsOf({0}));
    const std::vector<RouterId> Reachable{Network::routerId(0)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Routers.count(Reachable, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Routers.count(Reachable, idsOf({2})));
    const std::vector<RouterId> BothReachable{Network::routerId(0),
                                              Network::routerId(1)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Routers.count(BothReachable, {}));
  }

  // Guards against both sides of a partition using a replica in full when
  // routers joined while the key-value service was unavailable.
  void routerThatJoinedDuringOutageCounts() {
    RegisteredRouters Routers;
    Routers.setRegistrations(idsOf({0}));
    Routers.addReachable({Network::routerId(0), Network::routerId(1)});
    const std::vector<RouterId> Reachable{Network::routerId(0)};
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Routers.count(Reachable, {}));
    Routers.setRegistrations(idsOf({0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Routers.count(Reachable, {}));
  }

private:
  static MemberMessage exampleMessage() {
    MemberMessage Message;
    Message.Kind = MemberMessageKind::ProbeRequest;
    Message.Sequence = 300;
    Message.Target = Network::routerId(4);
    Message.Version = SettingsVersion(17);
    Message.Digest = ~std::uint64_t(0);
    MemberRecord Record;
    Record.Id = Network::routerId(3);
    Record.Start = Incarnation(1'700'000'000'000);
    Record.VersionCounter = 5;
    Record.State = MemberState::Suspect;
    Record.Leaving = true;
    Record.Zone = ZoneId("pl-south-a");
    Record.CallerAddress = "10.0.0.1:80";
    Message.Updates.push_back(Record);
    return Message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberRecordsTest);

#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr Milliseconds HoldTime{10'000};

FleetState makeState(std::uint64_t Era, std::uint64_t Version,
                     std::int64_t Revision) {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(Version);
  FleetState State;
  State.Era = StoreEra(Era);
  State.Config = std::move(Config);
  State.ConfigWrittenAt = {State.Era, Revision};
  return State;
}

/// A router that has read configuration 5 in era 1.
struct Reader {
  RestorationProof Proof{HoldTime};
  TimePoint Now{std::chrono::hours(1)};

  Reader() { CPPUNIT_ASSERT(read(makeState(1, 5, 7))); }
  bool read(const FleetState &State) {
    Now += Milliseconds(500);
    return Proof.record(State, {}, Now);
  }
};

} // namespace

class RestorationProofTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestorationProofTest);
  CPPUNIT_TEST(copyProvesNothing);
  CPPUNIT_TEST(holdEndsWithoutTheOperator);
  CPPUNIT_TEST(writtenConfigurationIsCurrent);
  CPPUNIT_TEST(unknownVersionInTheCopyProvesNothing);
  CPPUNIT_TEST(eachRestorationBeginsAHold);
  CPPUNIT_TEST(startedRouterFollowsTheOthers);
  CPPUNIT_TEST(startedRouterHearsOfTheEarlierEra);
  CPPUNIT_TEST(fleetThatStartsInALaterEraProvesNothing);
  CPPUNIT_TEST(confirmedEraIsProvenAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against accepting a credential that a lost configuration withdrew.
  void copyProvesNothing() {
    Reader Router;
    for (int Read = 0; Read < 10; ++Read)
      CPPUNIT_ASSERT(!Router.read(makeState(2, 5, 7)));
    CPPUNIT_ASSERT(Router.Proof.held());
  }

  // Guards against refusing credentials for good if nothing was lost.
  void holdEndsWithoutTheOperator() {
    Reader Router;
    CPPUNIT_ASSERT(!Router.read(makeState(2, 5, 7)));
    Router.Now += HoldTime;
    CPPUNIT_ASSERT(Router.read(makeState(2, 5, 7)));
    CPPUNIT_ASSERT(!Router.Proof.held());
  }

  // Guards against refusing credentials after the operator has written again:
  // a newer version, or the same one again.
  void writtenConfigurationIsCurrent() {
    for (const FleetState &Written : {makeState(2, 6, 9), makeState(2, 5, 9)}) {
      Reader Router;
      CPPUNIT_ASSERT(!Router.read(makeState(2, 5, 7)));
      CPPUNIT_ASSERT(Router.read(Written));
    }
  }

  // Guards against trusting a copy that was made while the fleet was cut off
  // from the store, and so holds a version that is new to it.
  void unknownVersionInTheCopyProvesNothing() {
    Reader Router;
    CPPUNIT_ASSERT(!Router.read(makeState(2, 6, 9)));
    CPPUNIT_ASSERT(Router.read(makeState(2, 7, 10)));
  }

  // Guards against a second restoration that looks like the first.
  void eachRestorationBeginsAHold() {
    Reader Router;
    CPPUNIT_ASSERT(!Router.read(makeState(2, 5, 7)));
    CPPUNIT_ASSERT(Router.read(makeState(2, 5, 9)));
    CPPUNIT_ASSERT(!Router.read(makeState(3, 5, 7)));
  }

  // Guards against a router that starts in the new era and trusts the copy.
  void startedRouterFollowsTheOthers() {
    constexpr PeerEraReports Held{true, false};
    RestorationProof Started(HoldTime);
    const TimePoint Now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(!Started.record(makeState(2, 5, 7), Held, Now));
    CPPUNIT_ASSERT(Started.record(makeState(2, 5, 7), {}, Now));
    CPPUNIT_ASSERT(!Started.record(makeState(2, 5, 7), Held, Now));
    CPPUNIT_ASSERT(Started.record(makeState(2, 5, 9), Held, Now));
  }

  // Guards against a router that starts and reads the copy before the others
  // have noticed the restoration.
  void startedRouterHearsOfTheEarlierEra() {
    RestorationProof Started(HoldTime);
    TimePoint Now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(!Started.record(makeState(2, 5, 7), {false, true}, Now));
    CPPUNIT_ASSERT(!Started.record(makeState(2, 5, 7), {}, Now));
    CPPUNIT_ASSERT(Started.record(makeState(2, 5, 7), {}, Now + HoldTime));
  }

  // Guards against accepting a withdrawn credential after all routers were
  // restarted in a restoration: the copy is all that they know.
  void fleetThatStartsInALaterEraProvesNothing() {
    RestorationProof Started(HoldTime);
    TimePoint Now{std::chrono::hours(1)};
    FleetState Copy = makeState(2, 5, 7);
    Copy.ConfirmedEra = StoreEra(1);
    FleetState Written = makeState(2, 5, 9);
    Written.ConfirmedEra = StoreEra(1);
    for (int Read = 0; Read < 10; ++Read)
      CPPUNIT_ASSERT(!Started.record(Copy, {}, Now += Milliseconds(500)));
    CPPUNIT_ASSERT(Started.held());
    // The operator has written again.
    CPPUNIT_ASSERT(Started.record(Written, {}, Now += Milliseconds(500)));
    // Without the operator, the hold ends.
    RestorationProof Other(HoldTime);
    CPPUNIT_ASSERT(!Other.record(Copy, {}, Now));
    CPPUNIT_ASSERT(Other.record(Copy, {}, Now + HoldTime));
  }

  // Guards against refusing credentials after each restart of a fleet whose
  // store was restored some time before.
  void confirmedEraIsProvenAtOnce() {
    const TimePoint Now{std::chrono::hours(1)};
    FleetState Read = makeState(2, 5, 7);
    Read.ConfirmedEra = StoreEra(2);
    CPPUNIT_ASSERT(RestorationProof(HoldTime).record(Read, {}, Now));
    // A copy holds the confirmation of an earlier era.
    Read.ConfirmedEra = StoreEra(1);
    CPPUNIT_ASSERT(!RestorationProof(HoldTime).record(Read, {}, Now));
    // Another router has proof.
    PeerEraReports Peers;
    Peers.Proven = true;
    CPPUNIT_ASSERT(RestorationProof(HoldTime).record(Read, Peers, Now));
    // A fleet starts with this store for the first time, in whatever era.
    CPPUNIT_ASSERT(
        RestorationProof(HoldTime).record(makeState(3, 5, 7), {}, Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestorationProofTest);

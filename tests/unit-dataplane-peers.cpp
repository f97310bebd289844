#include "../platform/entries.hpp"

#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <rapidcheck.h>

#include <algorithm>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const UpstreamKey Engine(42);

RouterRecord makeRouter(const std::string &Name, const std::string &Zone) {
  return {RouterId(Name + ":7400"), ZoneId(Zone), Name + ":8080",
          Name + ":7400"};
}

PeerReport makeReport(const RouterRecord &Sender, std::uint64_t Sequence,
                      double Running = 1) {
  PeerReport Report;
  Report.Sender = Sender.Id;
  Report.Incarnation = 1;
  Report.Sequence = Sequence;
  Report.Zone = Sender.Zone;
  Report.CallerAddress = Sender.CallerAddress;
  Report.Ready = true;
  Report.Loads[Engine] = {Running, 100, 200, 300};
  Report.Usage[WorkspaceKey(7)] = {10, 5, 3};
  return Report;
}

} // namespace

class DataplanePeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplanePeersTest);
  CPPUNIT_TEST(reportsAreEncodedAndDecoded);
  CPPUNIT_TEST(corruptReportsAreRejected);
  CPPUNIT_TEST(digestConveysZoneToOtherZones);
  CPPUNIT_TEST(repeatedReportsAreNotCountedTwice);
  CPPUNIT_TEST(failedRoutersAreNotAdvertised);
  CPPUNIT_TEST(isolatedRouterAdvertisesRegisteredRouters);
  CPPUNIT_TEST(callersAreOnlyHandedOverToRoutersThatAcceptThem);
  CPPUNIT_TEST(backupDigestTakesOverAfterTimeout);
  CPPUNIT_TEST(readerMovesToRouterThatReachesStore);
  CPPUNIT_TEST(misaddressedDigestsAreForwarded);
  CPPUNIT_TEST(digestsAreSentToFirstTwoLiveRouters);
  CPPUNIT_TEST(routersNamedInReportsAreBounded);
  CPPUNIT_TEST(foreignEntriesAreRejected);
  CPPUNIT_TEST(configurationIsDecoded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against fields that the encoder or the decoder omits.
  void reportsAreEncodedAndDecoded() {
    PeerReport Report = makeReport(makeRouter("10.0.0.1", "a"), 9);
    Report.Members.push_back(
        {RouterId("10.0.0.2:7400"), "10.0.0.2:8080", true});
    Report.StoreUnavailable = true;
    const RequestFeature Part{FeatureKind::PromptPart, 5};
    Report.Crashes.Features[Part] = {{{UpstreamProcess(6), Milliseconds(30)}},
                                     Milliseconds(20)};
    Report.Crashes.Alive[UpstreamProcess(7)] = Milliseconds(10);
    QuarantineStatus Status;
    Status.begin();
    Report.Crashes.Quarantines[Part] = {Status, 1, Milliseconds(40)};
    Report.Era = StoreEra(3);
    Report.Departed.insert(UpstreamKey(8));
    Report.Proof = StateProof{77, Milliseconds(120), {{RouterId("x"), 3}}};
    const auto DecodeResult = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(isOk(DecodeResult));
    const PeerReport &Decoded = valueOf(DecodeResult);
    CPPUNIT_ASSERT(Decoded.Sender == Report.Sender);
    CPPUNIT_ASSERT(Decoded.Zone == Report.Zone);
    CPPUNIT_ASSERT(Decoded.StoreUnavailable);
    CPPUNIT_ASSERT(Decoded.Era == Report.Era);
    CPPUNIT_ASSERT(Decoded.Departed == Report.Departed);
    const CrashReport &Crashes = Decoded.Crashes;
    CPPUNIT_ASSERT(Crashes.Features.at(Part).BrokenOff ==
                   Report.Crashes.Features.at(Part).BrokenOff);
    CPPUNIT_ASSERT(Crashes.Features.at(Part).AnsweredAge == Milliseconds(20));
    CPPUNIT_ASSERT(Crashes.Alive == Report.Crashes.Alive);
    CPPUNIT_ASSERT(Crashes.Quarantines.at(Part).Status == Status);
    CPPUNIT_ASSERT_EQUAL(1U, Crashes.Quarantines.at(Part).Probes);
    CPPUNIT_ASSERT(Crashes.Quarantines.at(Part).RefusedAge == Milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decoded.Members.size());
    CPPUNIT_ASSERT_EQUAL(300.0, Decoded.Loads.at(Engine).RecentWork);
    CPPUNIT_ASSERT_EQUAL(5.0, Decoded.Usage.at(WorkspaceKey(7)).Admitted);
    CPPUNIT_ASSERT_EQUAL(3.0, Decoded.Usage.at(WorkspaceKey(7)).Unmet);
    CPPUNIT_ASSERT(Decoded.Proof->Age == Milliseconds(120));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         Decoded.Proof->ReceivedSequences.at(RouterId("x")));
  }

  // Guards against a crash or a large allocation caused by a corrupt datagram.
  void corruptReportsAreRejected() {
    const std::string Encoded =
        encodeReport(makeReport(makeRouter("10.0.0.1", "a"), 9));
    const bool Holds = rc::check(
        [&](std::uint16_t Offset, std::uint8_t Value, std::uint16_t Length) {
          std::string Corrupted = Encoded;
          Corrupted[Offset % Corrupted.size()] = static_cast<char>(Value);
          Corrupted.resize(Length % (Corrupted.size() + 1));
          const auto DecodeResult = decodeReport(Corrupted);
          // Either the report can be encoded again, or the error is
          // InvalidMessage.
          if (isOk(DecodeResult))
            RC_ASSERT(!encodeReport(valueOf(DecodeResult)).empty());
          else
            RC_ASSERT(errorOf(DecodeResult).Id == ErrorId::InvalidMessage);
        });
    CPPUNIT_ASSERT(Holds);
    CPPUNIT_ASSERT(!isOk(decodeReport(Encoded.substr(0, Encoded.size() / 2))));
    CPPUNIT_ASSERT(!isOk(decodeReport("")));
  }

  // Guards against loads of other zones that are missing or counted twice.
  void digestConveysZoneToOtherZones() {
    ManualClock Time;
    const RouterRecord First = makeRouter("10.0.0.1", "a");
    const RouterRecord Second = makeRouter("10.0.0.2", "a");
    const RouterRecord Remote = makeRouter("10.1.0.1", "b");
    PeerDirectory InZone(First, Time);
    InZone.accept(makeReport(Second, 1, 3));
    const PeerReport Digest = InZone.makeDigest(makeReport(First, 1, 4));
    PeerDirectory Other(Remote, Time);
    CPPUNIT_ASSERT(Other.accept(Digest).Changed);
    CPPUNIT_ASSERT_EQUAL(7.0, Other.sums().Loads.at(Engine).Running);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Other.liveRouters());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Other.callerAddresses().size());
    // A router ignores digests of its own zone and sums up the reports.
    CPPUNIT_ASSERT(!InZone.accept(Digest).Accepted);
    CPPUNIT_ASSERT_EQUAL(3.0, InZone.sums().Loads.at(Engine).Running);
  }

  // Guards against counting datagrams that are duplicated or out of order.
  void repeatedReportsAreNotCountedTwice() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.0.0.1", "a"), Time);
    const RouterRecord Other = makeRouter("10.0.0.2", "a");
    Peers.accept(makeReport(Other, 2, 5));
    Peers.accept(makeReport(Other, 1, 1));
    Peers.accept(makeReport(Other, 2, 9));
    CPPUNIT_ASSERT_EQUAL(5.0, Peers.sums().Loads.at(Engine).Running);
  }

  // Guards against advertising a failed router to callers.
  void failedRoutersAreNotAdvertised() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.0.0.1", "a"), Time);
    for (const char *Name : {"10.0.0.2", "10.0.0.3", "10.0.0.4"})
      Peers.accept(makeReport(makeRouter(Name, "a"), 1));
    Time.advance(Milliseconds(900));
    for (const char *Name : {"10.0.0.2", "10.0.0.3"})
      Peers.accept(makeReport(makeRouter(Name, "a"), 2));
    Time.advance(Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Peers.callerAddresses().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Peers.liveRouters());
  }

  // Guards against a slow or isolated router that takes the others for failed
  // and directs the callers of the whole zone to itself.
  void isolatedRouterAdvertisesRegisteredRouters() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.0.0.1", "a"), Time);
    std::vector<RouterRecord> Registered;
    for (int Index = 2; Index < 10; ++Index) {
      Registered.push_back(makeRouter("10.0.0." + std::to_string(Index), "a"));
      Peers.accept(makeReport(Registered.back(), 1));
    }
    Peers.setRegistered(Registered);
    Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(Registered.size(), Peers.callerAddresses().size());
    // Losing half of the fleet does not indicate a slow router.
    for (std::size_t Index = 0; Index < Registered.size() / 2; ++Index)
      Peers.accept(makeReport(Registered[Index], 2));
    CPPUNIT_ASSERT_EQUAL(Registered.size() / 2, Peers.callerAddresses().size());
  }

  // Guards against handing callers over to a fleet that is overloaded itself.
  void callersAreOnlyHandedOverToRoutersThatAcceptThem() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.0.0.1", "a"), Time);
    CPPUNIT_ASSERT(!Peers.othersAcceptCallers());
    constexpr int Others = 8;
    for (int Index = 0; Index < Others; ++Index) {
      PeerReport Report =
          makeReport(makeRouter("10.0.1." + std::to_string(Index), "a"), 1);
      Report.Ready = Index < Others / 2;
      Peers.accept(Report);
    }
    CPPUNIT_ASSERT(Peers.othersAcceptCallers());
    PeerReport Report = makeReport(makeRouter("10.0.1.0", "a"), 2);
    Report.Ready = false;
    Peers.accept(Report);
    CPPUNIT_ASSERT(!Peers.othersAcceptCallers());
  }

  // Guards against losing a zone when the router that sends its digests fails.
  void backupDigestTakesOverAfterTimeout() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.1.0.1", "b"), Time);
    const RouterRecord First = makeRouter("10.0.0.1", "a");
    const RouterRecord Second = makeRouter("10.0.0.2", "a");
    PeerDirectory ZoneFirst(First, Time);
    PeerDirectory ZoneSecond(Second, Time);
    Peers.accept(ZoneFirst.makeDigest(makeReport(First, 1, 4)));
    CPPUNIT_ASSERT(
        !Peers.accept(ZoneSecond.makeDigest(makeReport(Second, 1, 6)))
             .Accepted);
    CPPUNIT_ASSERT_EQUAL(4.0, Peers.sums().Loads.at(Engine).Running);
    Time.advance(Milliseconds(600));
    Peers.accept(ZoneSecond.makeDigest(makeReport(Second, 2, 6)));
    CPPUNIT_ASSERT_EQUAL(6.0, Peers.sums().Loads.at(Engine).Running);
    Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT(Peers.sums().Loads.empty());
  }

  // Guards against a zone in which no router reads the store because only the
  // first one cannot reach it, and against all routers reading when none can.
  void readerMovesToRouterThatReachesStore() {
    ManualClock Time;
    const RouterRecord One = makeRouter("10.0.0.1", "a");
    const RouterRecord Two = makeRouter("10.0.0.2", "a");
    PeerDirectory AtOne(One, Time);
    PeerDirectory AtTwo(Two, Time);
    const auto ExchangeReports = [&](bool OneUnavailable, bool TwoUnavailable,
                                     std::uint64_t Sequence) {
      PeerReport FromOne = makeReport(One, Sequence);
      FromOne.StoreUnavailable = OneUnavailable;
      AtTwo.accept(FromOne);
      PeerReport FromTwo = makeReport(Two, Sequence);
      FromTwo.StoreUnavailable = TwoUnavailable;
      AtOne.accept(FromTwo);
    };
    ExchangeReports(false, false, 1);
    const bool OneIsFirst = AtOne.pollingRank(false) == 0;
    CPPUNIT_ASSERT(OneIsFirst != (AtTwo.pollingRank(false) == 0));
    ExchangeReports(true, false, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), AtOne.pollingRank(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), AtTwo.pollingRank(false));
    ExchangeReports(true, true, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         AtOne.pollingRank(true) + AtTwo.pollingRank(true));
  }

  // Guards against two zones that never learn of each other: the first router
  // of each zone knew only one router of the other zone, and that router did
  // not forward the digests.
  void misaddressedDigestsAreForwarded() {
    ManualClock Time;
    constexpr std::uint64_t Sequence = 7;
    std::vector<RouterRecord> Zone;
    for (int Index = 1; Index <= 4; ++Index)
      Zone.push_back(makeRouter("10.0.0." + std::to_string(Index), "a"));
    unsigned Forwarders = 0;
    unsigned Senders = 0;
    for (const RouterRecord &Self : Zone) {
      PeerDirectory Peers(Self, Time);
      for (const RouterRecord &Other : Zone)
        Peers.accept(makeReport(Other, 1));
      Forwarders += Peers.shouldForwardDigest(Sequence) ? 1 : 0;
      Senders += Peers.shouldSendDigest(Sequence) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1U, Senders);
    // All but the second router, which is the backup of the first.
    CPPUNIT_ASSERT_EQUAL(3U, Forwarders);
  }

  // Guards against traffic between zones that grows with the number of routers
  // in a zone, and against sending digests only to failed routers.
  void digestsAreSentToFirstTwoLiveRouters() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.1.0.1", "b"), Time);
    std::vector<RouterRecord> RemoteRouters;
    for (int Index = 1; Index < 9; ++Index)
      RemoteRouters.push_back(
          makeRouter("10.0.0." + std::to_string(Index), "a"));
    Peers.setRegistered(RemoteRouters);
    CPPUNIT_ASSERT_EQUAL(RemoteRouters.size(), Peers.digestAddresses().size());
    const auto MakeDigest = [&](std::size_t FirstAlive,
                                std::uint64_t Sequence) {
      PeerReport Digest = makeReport(RemoteRouters[FirstAlive], Sequence);
      for (std::size_t Index = FirstAlive; Index < RemoteRouters.size();
           ++Index)
        Digest.Members.push_back({RemoteRouters[Index].Id,
                                  RemoteRouters[Index].CallerAddress, true});
      return Digest;
    };
    Peers.accept(MakeDigest(0, 1));
    const auto Before = Peers.digestAddresses();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Before.size());
    // Routers that are no longer in the digests are dropped once they expire.
    Time.advance(std::chrono::seconds(2));
    Peers.accept(MakeDigest(6, 2));
    Time.advance(std::chrono::seconds(1));
    Peers.accept(MakeDigest(6, 3));
    const auto After = Peers.digestAddresses();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), After.size());
    for (const std::string &Address : After)
      CPPUNIT_ASSERT(Address == RemoteRouters[6].PeerAddress ||
                     Address == RemoteRouters[7].PeerAddress);
  }

  // Guards against memory that grows with each name that a faulty sender of
  // reports makes up.
  void routersNamedInReportsAreBounded() {
    ManualClock Time;
    PeerDirectory Peers(makeRouter("10.1.0.1", "b"), Time);
    constexpr std::size_t Allowed = 8'193;
    for (int Number = 0; Number < 20'000; ++Number) {
      const std::string Name =
          fmt::format("10.{}.{}.1", Number / 200, Number % 200);
      Peers.accept(makeReport(makeRouter(Name, "b"), 1));
      PeerReport Digest = makeReport(makeRouter(Name, Name), 1);
      Digest.Members.push_back({RouterId(Name + ":7401"), Name + ":80", true});
      Peers.accept(Digest);
    }
    CPPUNIT_ASSERT(Peers.liveRouters() <= Allowed);
  }

  // Guards against taking entries of other writers for upstreams.
  void foreignEntriesAreRejected() {
    using platform::decodeUpstream;
    const std::string Good =
        R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":4,)"
        R"("state":"ready"})";
    CPPUNIT_ASSERT(isOk(decodeUpstream("i-1", Good)));
    CPPUNIT_ASSERT(valueOf(decodeUpstream("i-1", Good)).Ready);
    for (
        const char *Bad :
        {"", "{", "[]", R"({"service":"s"})",
         R"({"service":1,"address":"10.0.0.9:80","slots":4,"state":"ready"})",
         R"({"service":"s","address":"host:80","slots":4,"state":"ready"})",
         R"({"service":"s","address":"10.0.0.9:80","slots":"4","state":"ready"})",
         R"({"service":"s","address":"10.0.0.9:80","slots":4,"state":"odd"})"})
      CPPUNIT_ASSERT(!isOk(decodeUpstream("i-1", Bad)));
  }

  // Guards against decoding the retry rules of routes incorrectly.
  void configurationIsDecoded() {
    const auto Config = platform::decodeConfiguration(
        R"({"version":7,"routes":[
          {"name":"a","host":"h","path_prefix":"/a/","type":"streaming",
           "timeout_ms":15000,"target_latency_ms":1000,"max_attempts":2,
           "sticky":true,"resumable":true,
           "split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
          {"name":"b","host":"h","path_prefix":"/b/","type":"unsafe",
           "timeout_ms":4000,"target_latency_ms":300,"service":"y",
           "resumable":true}],
          "services":[{"name":"x","max_connections":370,"engine":{"slots":64,
           "kv_capacity_tokens":567833,"stride":6,"link_mbps":1.0}}],
          "tenants":[{"name":"t","api_keys":["k"]}],
          "limits":{"tokens_per_s":290000}})");
    CPPUNIT_ASSERT(isOk(Config));
    const Configuration &Decoded = valueOf(Config);
    CPPUNIT_ASSERT(Decoded.Routes[0].Resumable && Decoded.Routes[0].Idempotent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Decoded.Routes[0].Services.size());
    CPPUNIT_ASSERT(!Decoded.Routes[1].Idempotent &&
                   !Decoded.Routes[1].Resumable);
    CPPUNIT_ASSERT(Decoded.Services[0].Engine->CanFetchCachedPrefix);
    CPPUNIT_ASSERT(Decoded.findWorkspaceByKey("k") != nullptr);
    CPPUNIT_ASSERT(!isOk(platform::decodeConfiguration("{}")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplanePeersTest);

#include "../platform/entries.hpp"

#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <algorithm>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const UpstreamKey Engine(42);

RouterRecord router(const std::string &Name, const std::string &Zone) {
  return {RouterId(Name + ":7400"), ZoneId(Zone), Name + ":8080",
          Name + ":7400"};
}

PeerReport reportOf(const RouterRecord &From, std::uint64_t Sequence,
                    double Running = 1) {
  PeerReport Report;
  Report.Sender = From.Id;
  Report.Incarnation = 1;
  Report.Sequence = Sequence;
  Report.Zone = From.Zone;
  Report.CallerAddress = From.CallerAddress;
  Report.Ready = true;
  Report.Loads[Engine] = {Running, 100, 200, 300};
  Report.Usage[WorkspaceKey(7)] = {10, 5};
  return Report;
}

} // namespace

class DataplanePeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplanePeersTest);
  CPPUNIT_TEST(reportsSurviveTheWire);
  CPPUNIT_TEST(damagedReportsAreRejected);
  CPPUNIT_TEST(digestCarriesAZoneToAnother);
  CPPUNIT_TEST(repeatedReportsAreNotCountedTwice);
  CPPUNIT_TEST(silentRoutersAreNotOffered);
  CPPUNIT_TEST(cutOffRouterOffersTheRegisteredOnes);
  CPPUNIT_TEST(secondDigestTakesOverAfterAPause);
  CPPUNIT_TEST(readingsMoveToARouterThatReachesTheStore);
  CPPUNIT_TEST(digestsAtTheWrongRouterAreHandedOn);
  CPPUNIT_TEST(digestsGoToTheFirstTwoLiveRoutersOfAZone);
  CPPUNIT_TEST(foreignEntriesNameNoUpstream);
  CPPUNIT_TEST(configurationIsDecoded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against fields that get lost between encoder and decoder.
  void reportsSurviveTheWire() {
    PeerReport Report = reportOf(router("10.0.0.1", "a"), 9);
    Report.Members.push_back(
        {RouterId("10.0.0.2:7400"), "10.0.0.2:8080", true});
    Report.StoreLost = true;
    Report.Crashes[RequestPrint(5)] = {2, 1};
    Report.Proof = StateProof{77, Milliseconds(120), {{RouterId("x"), 3}}};
    const auto Read = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(isOk(Read));
    const PeerReport &Back = valueOf(Read);
    CPPUNIT_ASSERT(Back.Sender == Report.Sender);
    CPPUNIT_ASSERT(Back.Zone == Report.Zone);
    CPPUNIT_ASSERT(Back.StoreLost);
    CPPUNIT_ASSERT_EQUAL(2U, Back.Crashes.at(RequestPrint(5)).Interrupted);
    CPPUNIT_ASSERT_EQUAL(1U, Back.Crashes.at(RequestPrint(5)).Finished);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Back.Members.size());
    CPPUNIT_ASSERT_EQUAL(300.0, Back.Loads.at(Engine).RecentWork);
    CPPUNIT_ASSERT_EQUAL(5.0, Back.Usage.at(WorkspaceKey(7)).Admitted);
    CPPUNIT_ASSERT(Back.Proof->Age == Milliseconds(120));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Back.Proof->Heard.at(RouterId("x")));
  }

  // Guards against a crash or a large allocation by a damaged datagram.
  void damagedReportsAreRejected() {
    const std::string Whole =
        encodeReport(reportOf(router("10.0.0.1", "a"), 9));
    const bool Holds = rc::check(
        [&](std::uint16_t At, std::uint8_t Value, std::uint16_t Length) {
          std::string Damaged = Whole;
          Damaged[At % Damaged.size()] = static_cast<char>(Value);
          Damaged.resize(Length % (Damaged.size() + 1));
          const auto Read = decodeReport(Damaged);
          // What decodes has to encode again; nothing else may come out.
          if (isOk(Read))
            RC_ASSERT(!encodeReport(valueOf(Read)).empty());
          else
            RC_ASSERT(errorOf(Read).Id == ErrorId::InvalidMessage);
        });
    CPPUNIT_ASSERT(Holds);
    CPPUNIT_ASSERT(!isOk(decodeReport(Whole.substr(0, Whole.size() / 2))));
    CPPUNIT_ASSERT(!isOk(decodeReport("")));
  }

  // Guards against loads of other zones that are missing or counted twice.
  void digestCarriesAZoneToAnother() {
    ManualClock Time;
    const RouterRecord First = router("10.0.0.1", "a");
    const RouterRecord Second = router("10.0.0.2", "a");
    const RouterRecord Far = router("10.1.0.1", "b");
    PeerDirectory InZone(First, Time);
    InZone.accept(reportOf(Second, 1, 3));
    const PeerReport Digest = InZone.digest(reportOf(First, 1, 4));
    PeerDirectory Other(Far, Time);
    CPPUNIT_ASSERT(Other.accept(Digest).Changed);
    CPPUNIT_ASSERT_EQUAL(7.0, Other.sums().Loads.at(Engine).Running);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Other.liveRouters());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Other.callerAddresses().size());
    // The zone itself counts the routers, not the digest.
    CPPUNIT_ASSERT(!InZone.accept(Digest).Fresh);
    CPPUNIT_ASSERT_EQUAL(3.0, InZone.sums().Loads.at(Engine).Running);
  }

  // Guards against datagrams that arrive twice or out of order.
  void repeatedReportsAreNotCountedTwice() {
    ManualClock Time;
    PeerDirectory Peers(router("10.0.0.1", "a"), Time);
    const RouterRecord Other = router("10.0.0.2", "a");
    Peers.accept(reportOf(Other, 2, 5));
    Peers.accept(reportOf(Other, 1, 1));
    Peers.accept(reportOf(Other, 2, 9));
    CPPUNIT_ASSERT_EQUAL(5.0, Peers.sums().Loads.at(Engine).Running);
  }

  // Guards against callers sent to a router that has failed.
  void silentRoutersAreNotOffered() {
    ManualClock Time;
    PeerDirectory Peers(router("10.0.0.1", "a"), Time);
    for (const char *Name : {"10.0.0.2", "10.0.0.3", "10.0.0.4"})
      Peers.accept(reportOf(router(Name, "a"), 1));
    Time.advance(Milliseconds(900));
    for (const char *Name : {"10.0.0.2", "10.0.0.3"})
      Peers.accept(reportOf(router(Name, "a"), 2));
    Time.advance(Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Peers.callerAddresses().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Peers.liveRouters());
  }

  // Guards against a slow router that draws the callers of its whole zone.
  void cutOffRouterOffersTheRegisteredOnes() {
    ManualClock Time;
    PeerDirectory Peers(router("10.0.0.1", "a"), Time);
    std::vector<RouterRecord> Registered;
    for (int At = 2; At < 10; ++At) {
      Registered.push_back(router("10.0.0." + std::to_string(At), "a"));
      Peers.accept(reportOf(Registered.back(), 1));
    }
    Peers.setRegistered(Registered);
    Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(Registered.size(), Peers.callerAddresses().size());
    // Half of the fleet lost is no sign of a slow router.
    for (std::size_t At = 0; At < Registered.size() / 2; ++At)
      Peers.accept(reportOf(Registered[At], 2));
    CPPUNIT_ASSERT_EQUAL(Registered.size() / 2, Peers.callerAddresses().size());
  }

  // Guards against a zone that disappears with the router that spoke for it.
  void secondDigestTakesOverAfterAPause() {
    ManualClock Time;
    PeerDirectory Peers(router("10.1.0.1", "b"), Time);
    const RouterRecord First = router("10.0.0.1", "a");
    const RouterRecord Second = router("10.0.0.2", "a");
    PeerDirectory ZoneFirst(First, Time);
    PeerDirectory ZoneSecond(Second, Time);
    Peers.accept(ZoneFirst.digest(reportOf(First, 1, 4)));
    CPPUNIT_ASSERT(
        !Peers.accept(ZoneSecond.digest(reportOf(Second, 1, 6))).Fresh);
    CPPUNIT_ASSERT_EQUAL(4.0, Peers.sums().Loads.at(Engine).Running);
    Time.advance(Milliseconds(600));
    Peers.accept(ZoneSecond.digest(reportOf(Second, 2, 6)));
    CPPUNIT_ASSERT_EQUAL(6.0, Peers.sums().Loads.at(Engine).Running);
    Time.advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT(Peers.sums().Loads.empty());
  }

  // Guards against a zone without readings because its first router alone has
  // lost the store, and against all routers reading when all have lost it.
  void readingsMoveToARouterThatReachesTheStore() {
    ManualClock Time;
    const RouterRecord One = router("10.0.0.1", "a");
    const RouterRecord Two = router("10.0.0.2", "a");
    PeerDirectory AtOne(One, Time);
    PeerDirectory AtTwo(Two, Time);
    const auto Tell = [&](bool OneLost, bool TwoLost, std::uint64_t Sequence) {
      PeerReport FromOne = reportOf(One, Sequence);
      FromOne.StoreLost = OneLost;
      AtTwo.accept(FromOne);
      PeerReport FromTwo = reportOf(Two, Sequence);
      FromTwo.StoreLost = TwoLost;
      AtOne.accept(FromTwo);
    };
    Tell(false, false, 1);
    const bool OneIsFirst = AtOne.readerRank(false) == 0;
    CPPUNIT_ASSERT(OneIsFirst != (AtTwo.readerRank(false) == 0));
    Tell(true, false, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), AtOne.readerRank(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), AtTwo.readerRank(false));
    Tell(true, true, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         AtOne.readerRank(true) + AtTwo.readerRank(true));
  }

  // Guards against two zones that stay unknown to each other: the first router
  // of each knew only one router of the other zone, which did not hand on.
  void digestsAtTheWrongRouterAreHandedOn() {
    ManualClock Time;
    constexpr std::uint64_t Sequence = 7;
    std::vector<RouterRecord> Zone;
    for (int At = 1; At <= 4; ++At)
      Zone.push_back(router("10.0.0." + std::to_string(At), "a"));
    unsigned HandOn = 0;
    unsigned Send = 0;
    for (const RouterRecord &Self : Zone) {
      PeerDirectory Peers(Self, Time);
      for (const RouterRecord &Other : Zone)
        Peers.accept(reportOf(Other, 1));
      HandOn += Peers.handsOn(Sequence) ? 1 : 0;
      Send += Peers.sendsDigest(Sequence) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1U, Send);
    // All but the second one, which is there for a first one that failed.
    CPPUNIT_ASSERT_EQUAL(3U, HandOn);
  }

  // Guards against bytes between zones that grow with the size of the zones,
  // and against digests sent only to routers that have failed.
  void digestsGoToTheFirstTwoLiveRoutersOfAZone() {
    ManualClock Time;
    PeerDirectory Peers(router("10.1.0.1", "b"), Time);
    std::vector<RouterRecord> Far;
    for (int At = 1; At < 9; ++At)
      Far.push_back(router("10.0.0." + std::to_string(At), "a"));
    Peers.setRegistered(Far);
    CPPUNIT_ASSERT_EQUAL(Far.size(), Peers.digestAddresses().size());
    const auto DigestOf = [&](std::size_t FirstAlive, std::uint64_t Sequence) {
      PeerReport Digest = reportOf(Far[FirstAlive], Sequence);
      for (std::size_t At = FirstAlive; At < Far.size(); ++At)
        Digest.Members.push_back({Far[At].Id, Far[At].CallerAddress, true});
      return Digest;
    };
    Peers.accept(DigestOf(0, 1));
    const auto Before = Peers.digestAddresses();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Before.size());
    // Routers that are missing from the digests are left out in the end.
    Time.advance(std::chrono::seconds(2));
    Peers.accept(DigestOf(6, 2));
    Time.advance(std::chrono::seconds(1));
    Peers.accept(DigestOf(6, 3));
    const auto After = Peers.digestAddresses();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), After.size());
    for (const std::string &Address : After)
      CPPUNIT_ASSERT(Address == Far[6].PeerAddress ||
                     Address == Far[7].PeerAddress);
  }

  // Guards against entries of other writers taken for upstreams.
  void foreignEntriesNameNoUpstream() {
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

  // Guards against routes whose repetition rules are read wrongly.
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
    const Configuration &Read = valueOf(Config);
    CPPUNIT_ASSERT(Read.Routes[0].Resumable && Read.Routes[0].Idempotent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Routes[0].Services.size());
    CPPUNIT_ASSERT(!Read.Routes[1].Idempotent && !Read.Routes[1].Resumable);
    CPPUNIT_ASSERT(Read.Services[0].Engine->FetchesParts);
    CPPUNIT_ASSERT(Read.workspaceOf("k") != nullptr);
    CPPUNIT_ASSERT(!isOk(platform::decodeConfiguration("{}")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplanePeersTest);

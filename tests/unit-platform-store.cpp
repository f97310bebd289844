#include "../platform/entries.hpp"
#include "support/paged_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using mallowglade::testing::PagedStore;
using mallowglade::testing::StoreFixture;
using mallowglade::testing::StoreHistory;
using nlohmann::json;

class PlatformStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformStoreTest);
  CPPUNIT_TEST(laterReadsTakeOneRequest);
  CPPUNIT_TEST(changesAndRemovalsAreRead);
  CPPUNIT_TEST(compactedHistoryCausesFullRead);
  CPPUNIT_TEST(staleCacheCausesFullRead);
  CPPUNIT_TEST(failedReadKeepsEntries);
  CPPUNIT_TEST(pauseWithinHistoryTakesOneRequest);
  CPPUNIT_TEST(oldPagesAreBroughtUpToDate);
  CPPUNIT_TEST(oldPagesBeyondHistoryAreReadAgain);
  CPPUNIT_TEST(restoredStoreIsReadWhole);
  CPPUNIT_TEST(revisionsGivenOutAgainAreApplied);
  CPPUNIT_TEST(configurationOfTheCopyIsReported);
  CPPUNIT_TEST(twoRestoresInARow);
  CPPUNIT_TEST(leaseGivenOutAgainIsLeftAlone);
  CPPUNIT_TEST(quarantinesAreWrittenReadAndRemoved);
  CPPUNIT_TEST(foreignQuarantineEntriesAreSkipped);
  CPPUNIT_TEST(responsesOfAnotherFormAreErrors);
  CPPUNIT_TEST(endlessResponseIsAnError);
  CPPUNIT_TEST(responsesThatDoNotAdvanceEndTheRead);
  CPPUNIT_TEST(firstEraIsKnown);
  CPPUNIT_TEST(confirmedEraIsRead);
  CPPUNIT_TEST(reportedEraThatTheStoreRefutesIsDropped);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reading all pages on every read.
  void laterReadsTakeOneRequest() {
    StoreFixture Fixture;
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Fixture.readyUpstreams().size());
    // The first read takes old pages, and the changes since then.
    CPPUNIT_ASSERT_EQUAL(0U, Fixture.Platform.PageRequests.load());
    CPPUNIT_ASSERT_EQUAL(3U, Fixture.Platform.OldPageRequests.load());
    CPPUNIT_ASSERT_EQUAL(1U, Fixture.Platform.WatchRequests.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(0U, Fixture.Platform.PageRequests.load());
    CPPUNIT_ASSERT_EQUAL(3U, Fixture.Platform.OldPageRequests.load());
    CPPUNIT_ASSERT_EQUAL(2U, Fixture.Platform.WatchRequests.load());
  }

  // Guards against losing changes between two reads.
  void changesAndRemovalsAreRead() {
    StoreFixture Fixture;
    Fixture.readyUpstreams();
    Fixture.Platform.put("i-2", "draining");
    Fixture.Platform.remove("i-3");
    Fixture.Platform.put("i-6", "ready");
    const std::set<std::string> Expected{"i-1", "i-4", "i-5", "i-6"};
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
    Fixture.Platform.put("i-3", "ready");
    CPPUNIT_ASSERT(Fixture.readyUpstreams().contains("i-3"));
  }

  // Guards against missing changes that the store has removed from its history.
  void compactedHistoryCausesFullRead() {
    StoreFixture Fixture;
    Fixture.readyUpstreams();
    Fixture.Platform.remove("i-1");
    Fixture.Platform.put("i-7", "ready");
    Fixture.Platform.compactHistory();
    const std::set<std::string> Expected{"i-2", "i-3", "i-4", "i-5", "i-7"};
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
  }

  // Guards against requesting a long history of changes after a pause.
  void staleCacheCausesFullRead() {
    StoreFixture Fixture;
    Fixture.readyUpstreams();
    Fixture.Time.advance(std::chrono::seconds(30));
    Fixture.Platform.remove("i-1");
    const auto AtPause = Fixture.Platform.copy().LastRevision;
    Fixture.Platform.OldestWatch = AtPause;
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(AtPause, Fixture.Platform.OldestWatch.load());
  }

  // Guards against entries dropped from the cache by a read that failed midway.
  void failedReadKeepsEntries() {
    StoreFixture Fixture;
    Fixture.readyUpstreams();
    Fixture.Platform.Failing = true;
    CPPUNIT_ASSERT(!isOk(Fixture.read()));
    Fixture.Time.advance(std::chrono::seconds(30));
    CPPUNIT_ASSERT(!isOk(Fixture.read()));
    Fixture.Platform.Failing = false;
    Fixture.Platform.remove("i-5");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Fixture.readyUpstreams().size());
  }

  // Guards against reading all pages on each router of a fleet that had nothing
  // to read for some seconds before a change.
  void pauseWithinHistoryTakesOneRequest() {
    StoreFixture Fixture;
    Fixture.readyUpstreams();
    const unsigned Pages = Fixture.Platform.OldPageRequests;
    Fixture.Time.advance(StoreHistory - std::chrono::seconds(1));
    Fixture.Platform.remove("i-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(Pages, Fixture.Platform.OldPageRequests.load());
    CPPUNIT_ASSERT_EQUAL(0U, Fixture.Platform.PageRequests.load());
  }

  // Guards against using what old pages say without the changes since then.
  void oldPagesAreBroughtUpToDate() {
    StoreFixture Fixture;
    Fixture.Platform.OldState = Fixture.Platform.copy();
    Fixture.Platform.put("i-2", "draining");
    Fixture.Platform.remove("i-3");
    Fixture.Platform.put("i-6", "ready");
    const std::set<std::string> Expected{"i-1", "i-4", "i-5", "i-6"};
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
    CPPUNIT_ASSERT_EQUAL(0U, Fixture.Platform.PageRequests.load());
  }

  // Guards against old pages whose later changes the store has discarded, and
  // against going on from them after the read of the changes failed.
  void oldPagesBeyondHistoryAreReadAgain() {
    StoreFixture Fixture;
    Fixture.Platform.OldState = Fixture.Platform.copy();
    Fixture.Platform.remove("i-3");
    Fixture.Platform.compactHistory();
    const std::set<std::string> Expected{"i-1", "i-2", "i-4", "i-5"};
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
    CPPUNIT_ASSERT_EQUAL(2U, Fixture.Platform.PageRequests.load());
  }

  // Guards against asking a restored store for the changes since a revision
  // that it has given out again: an upstream that registered after the copy was
  // made, and is gone, would stay in the list.
  void restoredStoreIsReadWhole() {
    StoreFixture Fixture;
    const auto Copy = Fixture.Platform.copy();
    Fixture.Platform.put("i-6", "ready");
    CPPUNIT_ASSERT(Fixture.readyUpstreams().contains("i-6"));
    Fixture.Platform.restore(Copy);
    Fixture.Platform.put("i-7", "ready");
    Fixture.Platform.put("i-8", "ready");
    const std::set<std::string> Expected{"i-1", "i-2", "i-3", "i-4",
                                         "i-5", "i-7", "i-8"};
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
  }

  // Guards against comparing bare revisions: an entry written again at a lower
  // revision than the lost one would be taken for older.
  void revisionsGivenOutAgainAreApplied() {
    StoreFixture Fixture;
    const auto Copy = Fixture.Platform.copy();
    for (int Write = 0; Write < 5; ++Write)
      Fixture.Platform.put("i-2", "ready");
    CPPUNIT_ASSERT(Fixture.readyUpstreams().contains("i-2"));
    Fixture.Platform.restore(Copy);
    Fixture.Platform.put("i-2", "draining");
    CPPUNIT_ASSERT(!Fixture.readyUpstreams().contains("i-2"));
  }

  // Guards against hiding that the store went back to an older configuration:
  // the control plane has to know that a read of it proves nothing.
  void configurationOfTheCopyIsReported() {
    StoreFixture Fixture;
    Fixture.Platform.putConfiguration(4);
    const auto Copy = Fixture.Platform.copy();
    Fixture.Platform.putConfiguration(5);
    const auto Version = [&Fixture] {
      const auto Read = Fixture.read();
      CPPUNIT_ASSERT(isOk(Read) && valueOf(Read).Config);
      return valueOf(Read).Config->Version.Value;
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Version());
    Fixture.Platform.restore(Copy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Version());
    Fixture.Platform.putConfiguration(5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Version());
  }

  // Guards against a second restore while the first one is still unknown.
  void twoRestoresInARow() {
    StoreFixture Fixture;
    const auto Copy = Fixture.Platform.copy();
    Fixture.Platform.put("i-6", "ready");
    Fixture.readyUpstreams();
    Fixture.Platform.restore(Copy);
    Fixture.Platform.put("i-7", "ready");
    Fixture.Platform.restore(Copy);
    Fixture.Platform.put("i-8", "ready");
    const std::set<std::string> Expected{"i-1", "i-2", "i-3",
                                         "i-4", "i-5", "i-8"};
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
    CPPUNIT_ASSERT(Fixture.readyUpstreams() == Expected);
  }

  // Guards against renewing or ending a lease whose id a restored store has
  // given to another client.
  void leaseGivenOutAgainIsLeftAlone() {
    StoreFixture Fixture;
    const auto Copy = Fixture.Platform.copy();
    Fixture.registerRouter();
    CPPUNIT_ASSERT_EQUAL(1U, Fixture.Platform.Registrations.load());
    Fixture.Platform.restore(Copy);
    Fixture.Platform.grantLeaseToOther();
    Fixture.readyUpstreams();
    Fixture.registerRouter();
    CPPUNIT_ASSERT_EQUAL(2U, Fixture.Platform.Registrations.load());
    Fixture.registerRouter();
    CPPUNIT_ASSERT_EQUAL(2U, Fixture.Platform.Registrations.load());
    CPPUNIT_ASSERT_EQUAL(0U, Fixture.Platform.ForeignLeaseCalls.load());
  }

  // Guards against quarantines that do not outlive the routers, and against
  // fields that the encoder or the decoder omits.
  void quarantinesAreWrittenReadAndRemoved() {
    StoreFixture Fixture;
    const RequestFeature Part{FeatureKind::PromptPart, 0xabcdef};
    const RequestFeature Exact{FeatureKind::ExactRequest, 0xabcdef};
    QuarantineStatus Status;
    Status.begin();
    Fixture.changeQuarantines(
        {{Part, {Status, 1, {}}}, {Exact, {Status, 0, {}}}}, {});
    for (const bool NewClient : {false, true}) {
      const auto Read = NewClient ? Fixture.readAnew() : Fixture.read();
      const auto &Quarantines = valueOf(Read).Quarantines;
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Quarantines.size());
      CPPUNIT_ASSERT(Quarantines.at(Part).Status == Status);
      CPPUNIT_ASSERT_EQUAL(1U, Quarantines.at(Part).Probes);
    }
    Fixture.changeQuarantines({}, {Part});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         valueOf(Fixture.read()).Quarantines.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         valueOf(Fixture.readAnew()).Quarantines.size());
  }

  // Guards against a process that ends because of an entry of another writer.
  void foreignQuarantineEntriesAreSkipped() {
    using platform::decodeFeature;
    using platform::decodeQuarantine;
    for (const char *Name : {"", "prompt_part", "prompt_part-", "x-1",
                             "prompt_part-12g", "prompt_part-12 "})
      CPPUNIT_ASSERT(!isOk(decodeFeature(Name)));
    for (const char *Text :
         {"", "{", "[]", "{}", R"({"status":1})",
          R"({"status":"1","probes":0})", R"({"status":-1,"probes":0})"})
      CPPUNIT_ASSERT(!isOk(decodeQuarantine(Text)));
    const RequestFeature Part{FeatureKind::PromptPart, 7};
    CPPUNIT_ASSERT(valueOf(decodeFeature(platform::encodeFeature(Part))) ==
                   Part);
  }

  // Guards against a process that ends because a response of the store broke
  // off, or has members of another type than expected.
  void responsesOfAnotherFormAreErrors() {
    for (const char *Body :
         {"", "null", "[]", "7", R"("text")", R"({"lease":"7"})",
          R"({"lease":null,"entries":5,"events":"x"})"}) {
      StoreFixture Fixture;
      Fixture.Platform.ReplacedBody = Body;
      CPPUNIT_ASSERT_MESSAGE(Body, !Fixture.registerRouter());
      CPPUNIT_ASSERT_MESSAGE(Body, !isOk(Fixture.read()));
      Fixture.Platform.ReplacedBody.reset();
      CPPUNIT_ASSERT(Fixture.registerRouter());
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), Fixture.readyUpstreams().size());
    }
    StoreFixture Fixture;
    Fixture.Platform.ReplacedBody =
        R"({"at":"y","has_more":1,"entries":[5,null,{"key":7},{"key":"servers/a","value":3}],)"
        R"("events":[]})";
    CPPUNIT_ASSERT(Fixture.readyUpstreams().empty());
  }

  // Guards against taking the first part of a response for the whole, and
  // against memory that grows with what the store sends.
  void endlessResponseIsAnError() {
    StoreFixture Fixture;
    constexpr std::size_t MoreThanAllowed = std::size_t(12) << 20U;
    Fixture.Platform.ReplacedBody =
        R"({"at":1,"entries":[],"has_more":false})" +
        std::string(MoreThanAllowed, ' ');
    const auto Read = Fixture.read();
    CPPUNIT_ASSERT(!isOk(Read));
    CPPUNIT_ASSERT(errorOf(Read).Detail.find("exceeds") != std::string::npos);
  }

  // Guards against a read that never ends and fills the processor, as each
  // response announces more and repeats what was read.
  void responsesThatDoNotAdvanceEndTheRead() {
    std::string Changes;
    for (int Number = 0; Number < 300; ++Number)
      Changes += std::string(Number == 0 ? "" : ",") + R"({"key":"x"})";
    for (const std::string &Body :
         {std::string(R"({"at":5,"has_more":true,"entries":[{"key":"a"}]})"),
          R"({"at":5,"entries":[],"events":[)" + Changes + "]}"}) {
      StoreFixture F;
      F.Platform.ReplacedBody = Body;
      CPPUNIT_ASSERT(!isOk(F.read()));
      F.Platform.ReplacedBody.reset();
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), F.readyUpstreams().size());
    }
  }

  // Guards against a first restoration that is not noticed: the platform counts
  // from 0, which must not be taken for an era that nobody told.
  void firstEraIsKnown() {
    StoreFixture F;
    F.Platform.Era = 0;
    const PagedStore::Copy Earlier = F.Platform.copy();
    const auto First = F.read();
    CPPUNIT_ASSERT(isOk(First));
    CPPUNIT_ASSERT(valueOf(First).Era.Value != 0);
    F.Platform.restore(Earlier);
    F.read();
    const auto Second = F.read();
    CPPUNIT_ASSERT(isOk(Second));
    CPPUNIT_ASSERT(valueOf(Second).Era > valueOf(First).Era);
  }

  // Guards against a fleet that refuses credentials after each restart, as it
  // does not find that the era was confirmed.
  void confirmedEraIsRead() {
    StoreFixture F;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         valueOf(F.read()).ConfirmedEra.Value);
    F.Platform.putBytes("eras/confirmed", "2");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         valueOf(F.read()).ConfirmedEra.Value);
    F.Platform.putBytes("eras/confirmed", "x");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         valueOf(F.read()).ConfirmedEra.Value);
  }

  // Guards against a store whose responses are all dropped, as another router
  // reported an era that does not exist.
  void reportedEraThatTheStoreRefutesIsDropped() {
    StoreFixture F;
    const auto First = F.read();
    CPPUNIT_ASSERT(isOk(First));
    F.Client.observeEra(dataplane::StoreEra(valueOf(First).Era.Value + 2));
    const auto Second = F.read();
    CPPUNIT_ASSERT(isOk(Second));
    CPPUNIT_ASSERT(valueOf(Second).Era == valueOf(First).Era);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), valueOf(Second).Upstreams.size());
    // A restoration is noticed all the same.
    F.Platform.restore(F.Platform.copy());
    F.read();
    CPPUNIT_ASSERT(valueOf(F.read()).Era > valueOf(First).Era);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

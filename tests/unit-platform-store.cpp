#include "../platform/entries.hpp"
#include "../platform/store.hpp"

#include <mallowglade/detail/platform/base64.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <httplib.h>

#include <atomic>
#include <limits>
#include <optional>
#include <thread>

using namespace mallowglade;
using nlohmann::json;

namespace {

constexpr std::size_t PageSize = 2;
constexpr std::chrono::seconds StoreHistory{20};

/// In-process metadata store with small pages and a history that can be
/// compacted.
class PagedStore {
public:
  PagedStore() {
    Server.Get("/mallowglade/kv-range",
               [this](const auto &Request, auto &Response) {
                 servePage(Request, Response);
               });
    Server.Get("/mallowglade/kv-watch",
               [this](const auto &Request, auto &Response) {
                 serveChanges(Request, Response);
               });
    Server.Post("/mallowglade/kv-lease",
                [this](const auto &, auto &Response) { grantLease(Response); });
    Server.Post(R"(/mallowglade/kv-keep/(\d+))",
                [this](const auto &Request, auto &Response) {
                  renewLease(Request, Response);
                });
    Server.Delete(R"(/mallowglade/kv-lease-end/(\d+))",
                  [this](const auto &Request, auto &Response) {
                    endLease(Request, Response);
                  });
    Server.Post("/mallowglade/kv-txn",
                [this](const auto &Request, auto &Response) {
                  serveWrite(Request, Response);
                });
    Server.set_pre_routing_handler([this](const auto &, auto &Response) {
      if (!ReplacedBody)
        return httplib::Server::HandlerResponse::Unhandled;
      Response.set_content(*ReplacedBody, "application/json");
      return httplib::Server::HandlerResponse::Handled;
    });
    Server.set_post_routing_handler([this](const auto &, auto &Response) {
      Response.set_header("Store-Era", std::to_string(Era));
    });
    Port = Server.bind_to_any_port("127.0.0.1");
    Thread = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::yield();
  }
  ~PagedStore() {
    Server.stop();
    Thread.join();
  }

  /// Contents of the store at one moment.
  struct Copy {
    std::map<std::string, json> Entries;
    std::vector<json> History;
    std::int64_t LastRevision = 0;
    std::map<std::int64_t, std::string> LeaseHolders;
    std::int64_t LastLease = 0;
  };
  Copy copy() const {
    return {Entries, History, LastRevision, LeaseHolders, LastLease};
  }
  /// Replaces the contents by those of a copy: later writes and leases are
  /// lost, and their revisions and lease ids are given out again.
  void restore(const Copy &From) {
    Entries = From.Entries;
    History = From.History;
    LastRevision = From.LastRevision;
    LeaseHolders = From.LeaseHolders;
    LastLease = From.LastLease;
    ++Era;
  }

  void putConfiguration(unsigned Version) {
    const json Value{{"version", Version},
                     {"routes", json::array()},
                     {"services", json::array()}};
    Entries["op/config"] = makeItem("op/config", Value.dump());
    History.push_back(Entries["op/config"]);
  }
  /// Grants a lease to a client other than the one under test.
  void grantLeaseToOther() { LeaseHolders[++LastLease] = "other"; }

  void put(const std::string &Name, const std::string &State) {
    const json Entry{{"service", "pool"},
                     {"address", "127.0.0.1:9000"},
                     {"zone", "a"},
                     {"slots", 4},
                     {"state", State}};
    const std::string Key = "servers/" + Name;
    Entries[Key] = makeItem(Key, Entry.dump());
    History.push_back(Entries[Key]);
  }
  /// Writes any bytes under any key, as another writer may.
  void putBytes(const std::string &Key, const std::string &Value) {
    Entries[Key] = makeItem(Key, Value);
    History.push_back(Entries[Key]);
  }
  /// The same with a value that is not even Base64.
  void putText(const std::string &Key, const std::string &Text) {
    putBytes(Key, "");
    Entries[Key]["value"] = Text;
    History.back() = Entries[Key];
  }
  void remove(const std::string &Name) {
    const std::string Key = "servers/" + Name;
    Entries.erase(Key);
    History.push_back(
        {{"key", Key}, {"revision", ++LastRevision}, {"deleted", true}});
  }
  void compactHistory() {
    History.clear();
    OldestRevision = LastRevision;
  }

  std::atomic<bool> Failing{false};
  /// Sent instead of the body of each response; set while the store is idle.
  std::optional<std::string> ReplacedBody;
  std::atomic<unsigned> PageRequests{0};
  std::atomic<unsigned> OldPageRequests{0};
  std::atomic<unsigned> WatchRequests{0};
  /// Lowest revision since which changes were requested.
  std::atomic<std::int64_t> OldestWatch{std::numeric_limits<long>::max()};
  /// State that reads which may be old get; the current one if not set.
  std::optional<Copy> OldState;
  /// Renewals and deletions of leases that another client holds.
  std::atomic<unsigned> ForeignLeaseCalls{0};
  std::atomic<unsigned> Registrations{0};
  int Port = 0;
  std::uint64_t Era = 1;

private:
  json makeItem(const std::string &Key, const std::string &Value) {
    ++LastRevision;
    return {{"key", Key},
            {"value", mallowglade::detail::encodeBase64(Value)},
            {"revision", LastRevision},
            {"created", LastRevision},
            {"lease", 0}};
  }

  bool failIfRequested(httplib::Response &Response) const {
    if (Failing)
      Response.status = 503;
    return Failing;
  }

  void servePage(const httplib::Request &Request, httplib::Response &Response) {
    const bool Old = Request.get_param_value("serializable") == "1";
    ++(Old ? OldPageRequests : PageRequests);
    if (failIfRequested(Response))
      return;
    const bool FromOlder = Old && OldState;
    const auto &Items = FromOlder ? OldState->Entries : Entries;
    json List = json::array();
    auto Position = Items.upper_bound(Request.get_param_value("after"));
    for (; Position != Items.end() && List.size() < PageSize; ++Position)
      List.push_back(Position->second);
    Response.set_content(
        json{{"entries", List},
             {"has_more", Position != Items.end()},
             {"at", FromOlder ? OldState->LastRevision : LastRevision}}
            .dump(),
        "application/json");
  }

  void serveChanges(const httplib::Request &Request,
                    httplib::Response &Response) {
    ++WatchRequests;
    if (failIfRequested(Response))
      return;
    const auto After = std::stoll(Request.get_param_value("after"));
    OldestWatch = std::min(OldestWatch.load(), std::int64_t(After));
    if (After < OldestRevision || After > LastRevision) {
      Response.status = 410;
      return;
    }
    json List = json::array();
    for (const json &Change : History)
      if (Change.at("revision").get<std::int64_t>() > After)
        List.push_back(Change);
    Response.set_content(json{{"events", List}, {"at", LastRevision}}.dump(),
                         "application/json");
  }

  void grantLease(httplib::Response &Response) {
    LeaseHolders[++LastLease] = "tested";
    Response.set_content(json{{"lease", LastLease}, {"ttl_ms", 9'000}}.dump(),
                         "application/json");
  }

  bool findLease(const httplib::Request &Request) {
    const auto Holder = LeaseHolders.find(std::stoll(Request.matches[1]));
    if (Holder == LeaseHolders.end())
      return false;
    if (Holder->second != "tested")
      ++ForeignLeaseCalls;
    return true;
  }

  void renewLease(const httplib::Request &Request,
                  httplib::Response &Response) {
    Response.status = findLease(Request) ? 200 : 404;
    Response.set_content("{}", "application/json");
  }

  void endLease(const httplib::Request &Request, httplib::Response &Response) {
    renewLease(Request, Response);
    LeaseHolders.erase(std::stoll(Request.matches[1]));
  }

  void serveWrite(const httplib::Request &Request,
                  httplib::Response &Response) {
    const json Body = json::parse(Request.body);
    const auto IsQuarantine = [](const std::string &Key) {
      return Key.starts_with("quarantine/");
    };
    for (const json &Write : Body.at("write")) {
      const std::string Key = Write.at("key");
      if (!IsQuarantine(Key)) {
        ++Registrations;
        continue;
      }
      Entries[Key] = makeItem(Key, "");
      Entries[Key]["value"] = Write.at("value");
      History.push_back(Entries[Key]);
    }
    for (const std::string Key : Body.at("delete")) {
      CPPUNIT_ASSERT(IsQuarantine(Key));
      Entries.erase(Key);
      History.push_back(
          {{"key", Key}, {"revision", ++LastRevision}, {"deleted", true}});
    }
    Response.set_content(json{{"revision", ++LastRevision}}.dump(),
                         "application/json");
  }

  httplib::Server Server;
  std::thread Thread;
  std::map<std::string, json> Entries;
  std::vector<json> History;
  std::int64_t LastRevision = 10;
  std::int64_t OldestRevision = 10;
  std::map<std::int64_t, std::string> LeaseHolders;
  std::int64_t LastLease = 0;
};

struct StoreFixture {
  PagedStore Platform;
  asio::io_context Context;
  ManualClock Time;
  platform::PlatformStore Client{Context,
                                 {asio::ip::make_address("127.0.0.1"),
                                  static_cast<std::uint16_t>(Platform.Port)},
                                 Time,
                                 StoreHistory};

  StoreFixture() {
    for (const char *Name : {"i-1", "i-2", "i-3", "i-4", "i-5"})
      Platform.put(Name, "ready");
  }

  Result<dataplane::FleetState> read() {
    std::optional<Result<dataplane::FleetState>> Outcome;
    Client.read(
        [&](const Result<dataplane::FleetState> &Read) { Outcome = Read; });
    Context.restart();
    while (!Outcome && Context.run_one() > 0)
      ;
    CPPUNIT_ASSERT(Outcome.has_value());
    return *Outcome;
  }

  /// Reads as a router that has just started.
  Result<dataplane::FleetState> readAnew() {
    platform::PlatformStore Started(Context,
                                    {asio::ip::make_address("127.0.0.1"),
                                     static_cast<std::uint16_t>(Platform.Port)},
                                    Time, StoreHistory);
    std::optional<Result<dataplane::FleetState>> Outcome;
    Started.read(
        [&](const Result<dataplane::FleetState> &Read) { Outcome = Read; });
    Context.restart();
    while (!Outcome && Context.run_one() > 0)
      ;
    CPPUNIT_ASSERT(Outcome.has_value());
    return *Outcome;
  }

  /// Registers the router, or renews its registration.
  /// @return true if the store acknowledged it
  bool registerRouter() {
    bool Ended = false;
    bool Registered = false;
    Client.registerRouter(
        {RouterId("127.0.0.1:1"), ZoneId("a"), "127.0.0.1:2", "127.0.0.1:1"},
        [&](const Result<Success> &Outcome) {
          Ended = true;
          Registered = isOk(Outcome);
        });
    Context.restart();
    while (!Ended && Context.run_one() > 0)
      ;
    return Registered;
  }

  void changeQuarantines(const std::map<RequestFeature, QuarantineEntry> &Write,
                         const std::vector<RequestFeature> &Remove) {
    bool Ended = false;
    Client.changeQuarantines(Write, Remove, [&](const Result<Success> &Done) {
      Ended = true;
      CPPUNIT_ASSERT(isOk(Done));
    });
    Context.restart();
    while (!Ended && Context.run_one() > 0)
      ;
  }

  std::set<std::string> readyUpstreams() {
    const auto Read = read();
    CPPUNIT_ASSERT(isOk(Read));
    std::set<std::string> Names;
    for (const auto &Upstream : valueOf(Read).Upstreams)
      if (Upstream.Ready)
        Names.insert(Upstream.Id.Value);
    return Names;
  }
};

} // namespace

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
  CPPUNIT_TEST(firstEraIsKnown);
  CPPUNIT_TEST(confirmedEraIsRead);
  CPPUNIT_TEST(oddEntriesLeaveTheOthersInUse);
  CPPUNIT_TEST(oddKeysAtTheEndOfAPageLeaveTheOthers);
  CPPUNIT_TEST(oddValuesAreNotBase64);
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

  // Guards against a router that one entry of another writer ends, or keeps
  // from following the list: the valid entries beside it hold, and so do later
  // changes.
  void oddEntriesLeaveTheOthersInUse() {
    for (const std::string &Odd : oddEntries()) {
      StoreFixture F;
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, F.readyUpstreams().size());
      F.Platform.putBytes("servers/odd", Odd);
      F.Platform.putBytes("routers/odd", Odd);
      F.Platform.putBytes("quarantine/odd", Odd);
      F.Platform.put("i-5", "draining");
      F.Platform.put("i-6", "ready");
      const std::set<std::string> Expected{"i-1", "i-2", "i-3", "i-4", "i-6"};
      const std::string Message = Odd.substr(0, 80);
      CPPUNIT_ASSERT_MESSAGE(Message, F.readyUpstreams() == Expected);
      F.Platform.remove("i-1");
      F.Platform.remove("odd");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, std::size_t{4},
                                   F.readyUpstreams().size());
    }
  }

  // Guards against a key that ends the request line in which the next page is
  // requested, or the field that names the upstream.
  void oddKeysAtTheEndOfAPageLeaveTheOthers() {
    const std::string Valid =
        R"({"service":"pool","address":"127.0.0.1:9000","slots":4,)"
        R"("state":"ready"})";
    for (const std::string &Name :
         {std::string("i-1 b"), std::string("i-1&after=i-3"),
          std::string("i-1#%41+"), std::string("i-1\r\nX-Field: y"),
          std::string("i-1\0", 4), std::string("i-1\xc3\xa9")}) {
      StoreFixture F;
      F.Platform.putBytes("servers/" + Name, Valid);
      std::set<std::string> Ready = F.readyUpstreams();
      Ready.erase("i-1 b");
      Ready.erase("i-1&after=i-3");
      Ready.erase("i-1#%41+");
      Ready.erase("i-1\xc3\xa9");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t{5}, Ready.size());
    }
  }

  // Guards against a value whose padding is longer than its data, which ended
  // the process.
  void oddValuesAreNotBase64() {
    for (const char *Text : {"====", "=", "A===", "AA==========", "AAAA====",
                             "  ==", "A=AA", "%%%%", "AAA"})
      CPPUNIT_ASSERT_MESSAGE(Text, !detail::decodeBase64(Text));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *detail::decodeBase64("YQ=="));
    StoreFixture F;
    F.Platform.putText("servers/odd", "====");
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, F.readyUpstreams().size());
  }

private:
  static std::vector<std::string> oddEntries() {
    const auto Entry = [](const std::string &Address, const std::string &Slots,
                          const std::string &Extra = "") {
      return R"({"service":"pool","address":)" + Address + R"(,"slots":)" +
             Slots + R"(,"state":"ready")" + Extra + "}";
    };
    constexpr std::size_t Depth = 300'000;
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    const std::string Good = R"("127.0.0.1:9001")";
    return {Nested,
            Entry(Good, "4", R"(,"x":)" + Nested),
            Entry(Good, Nested),
            Entry(Good, "1e400"),
            Entry(Good, "1e300"),
            Entry(Good, "99999999999999999999"),
            Entry(Good, "-1"),
            Entry(Good, "1.5"),
            Entry(Good, "true"),
            Entry(Good, "\"4\""),
            Entry(Good, "4", R"(,"born":-5)"),
            Entry(Good, "4", R"(,"zone":7)"),
            Entry(R"("127.0.0.1:70000")", "4"),
            Entry(R"("127.0.0.1:99999999999999999999")", "4"),
            Entry(R"("127.0.0.1:-1")", "4"),
            Entry(R"("127.0.0.1:0")", "4"),
            Entry(R"("host:80")", "4"),
            Entry(R"("127.0.0.1\u0000x:80")", "4"),
            Entry("7", "4"),
            "{\"service\":\"pool\"",
            "\xff\xfe",
            "",
            "null",
            std::string(900'000, '7')};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

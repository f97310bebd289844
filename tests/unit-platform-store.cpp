#include "../platform/store.hpp"

#include <mallowglade/detail/platform/base64.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <httplib.h>

#include <atomic>
#include <thread>

using namespace mallowglade;
using nlohmann::json;

namespace {

constexpr std::size_t PageSize = 2;

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
    Port = Server.bind_to_any_port("127.0.0.1");
    Thread = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::yield();
  }
  ~PagedStore() {
    Server.stop();
    Thread.join();
  }

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
  std::atomic<unsigned> PageRequests{0};
  std::atomic<unsigned> WatchRequests{0};
  int Port = 0;

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
    ++PageRequests;
    if (failIfRequested(Response))
      return;
    json List = json::array();
    auto Position = Entries.upper_bound(Request.get_param_value("after"));
    for (; Position != Entries.end() && List.size() < PageSize; ++Position)
      List.push_back(Position->second);
    Response.set_content(json{{"entries", List},
                              {"has_more", Position != Entries.end()},
                              {"at", LastRevision}}
                             .dump(),
                         "application/json");
  }

  void serveChanges(const httplib::Request &Request,
                    httplib::Response &Response) {
    ++WatchRequests;
    if (failIfRequested(Response))
      return;
    const auto After = std::stoll(Request.get_param_value("after"));
    if (After < OldestRevision) {
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

  httplib::Server Server;
  std::thread Thread;
  std::map<std::string, json> Entries;
  std::vector<json> History;
  std::int64_t LastRevision = 10;
  std::int64_t OldestRevision = 10;
};

struct StoreFixture {
  PagedStore Platform;
  asio::io_context Context;
  ManualClock Time;
  platform::PlatformStore Client{Context,
                                 {asio::ip::make_address("127.0.0.1"),
                                  static_cast<std::uint16_t>(Platform.Port)},
                                 Time};

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
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against reading all pages on every read.
  void laterReadsTakeOneRequest() {
    StoreFixture Fixture;
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(3U, Fixture.Platform.PageRequests.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(3U, Fixture.Platform.PageRequests.load());
    CPPUNIT_ASSERT_EQUAL(1U, Fixture.Platform.WatchRequests.load());
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
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Fixture.readyUpstreams().size());
    CPPUNIT_ASSERT_EQUAL(0U, Fixture.Platform.WatchRequests.load());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

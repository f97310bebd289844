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

/// The platform's store with small pages and a history that can be dropped.
class PagedStore {
public:
  PagedStore() {
    Server.Get("/mallowglade/kv-range", [this](const auto &Request, auto &To) {
      answerPage(Request, To);
    });
    Server.Get("/mallowglade/kv-watch", [this](const auto &Request, auto &To) {
      answerChanges(Request, To);
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
    Entries[Key] = item(Key, Entry.dump());
    History.push_back(Entries[Key]);
  }
  void remove(const std::string &Name) {
    const std::string Key = "servers/" + Name;
    Entries.erase(Key);
    History.push_back({{"key", Key}, {"revision", ++Last}, {"deleted", true}});
  }
  void forgetHistory() {
    History.clear();
    Oldest = Last;
  }

  std::atomic<bool> Fails{false};
  std::atomic<unsigned> Pages{0};
  std::atomic<unsigned> Watches{0};
  int Port = 0;

private:
  json item(const std::string &Key, const std::string &Value) {
    ++Last;
    return {{"key", Key},
            {"value", mallowglade::detail::encodeBase64(Value)},
            {"revision", Last},
            {"created", Last},
            {"lease", 0}};
  }

  bool failed(httplib::Response &To) const {
    if (Fails)
      To.status = 503;
    return Fails;
  }

  void answerPage(const httplib::Request &Request, httplib::Response &To) {
    ++Pages;
    if (failed(To))
      return;
    json List = json::array();
    auto At = Entries.upper_bound(Request.get_param_value("after"));
    for (; At != Entries.end() && List.size() < PageSize; ++At)
      List.push_back(At->second);
    To.set_content(
        json{{"entries", List}, {"has_more", At != Entries.end()}, {"at", Last}}
            .dump(),
        "application/json");
  }

  void answerChanges(const httplib::Request &Request, httplib::Response &To) {
    ++Watches;
    if (failed(To))
      return;
    const auto After = std::stoll(Request.get_param_value("after"));
    if (After < Oldest) {
      To.status = 410;
      return;
    }
    json List = json::array();
    for (const json &Each : History)
      if (Each.at("revision").get<std::int64_t>() > After)
        List.push_back(Each);
    To.set_content(json{{"events", List}, {"at", Last}}.dump(),
                   "application/json");
  }

  httplib::Server Server;
  std::thread Thread;
  std::map<std::string, json> Entries;
  std::vector<json> History;
  std::int64_t Last = 10;
  std::int64_t Oldest = 10;
};

struct World {
  PagedStore Platform;
  asio::io_context Context;
  ManualClock Time;
  platform::PlatformStore Client{Context,
                                 {asio::ip::make_address("127.0.0.1"),
                                  static_cast<std::uint16_t>(Platform.Port)},
                                 Time};

  World() {
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

  std::set<std::string> ready() {
    const auto Read = read();
    CPPUNIT_ASSERT(isOk(Read));
    std::set<std::string> Names;
    for (const auto &Each : valueOf(Read).Upstreams)
      if (Each.Ready)
        Names.insert(Each.Id.Value);
    return Names;
  }
};

} // namespace

class PlatformStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformStoreTest);
  CPPUNIT_TEST(laterReadingsTakeOneCall);
  CPPUNIT_TEST(changesAndRemovalsAreSeen);
  CPPUNIT_TEST(forgottenHistoryIsReadAnew);
  CPPUNIT_TEST(oldKnowledgeIsReadAnew);
  CPPUNIT_TEST(failedReadingLeavesNothingOut);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a call for each page in each reading.
  void laterReadingsTakeOneCall() {
    World W;
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), W.ready().size());
    CPPUNIT_ASSERT_EQUAL(3U, W.Platform.Pages.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), W.ready().size());
    CPPUNIT_ASSERT_EQUAL(3U, W.Platform.Pages.load());
    CPPUNIT_ASSERT_EQUAL(1U, W.Platform.Watches.load());
  }

  // Guards against changes that are lost between two readings.
  void changesAndRemovalsAreSeen() {
    World W;
    W.ready();
    W.Platform.put("i-2", "draining");
    W.Platform.remove("i-3");
    W.Platform.put("i-6", "ready");
    const std::set<std::string> Expected{"i-1", "i-4", "i-5", "i-6"};
    CPPUNIT_ASSERT(W.ready() == Expected);
    W.Platform.put("i-3", "ready");
    CPPUNIT_ASSERT(W.ready().contains("i-3"));
  }

  // Guards against changes missed because the store has dropped them.
  void forgottenHistoryIsReadAnew() {
    World W;
    W.ready();
    W.Platform.remove("i-1");
    W.Platform.put("i-7", "ready");
    W.Platform.forgetHistory();
    const std::set<std::string> Expected{"i-2", "i-3", "i-4", "i-5", "i-7"};
    CPPUNIT_ASSERT(W.ready() == Expected);
  }

  // Guards against answers with a long history after a pause.
  void oldKnowledgeIsReadAnew() {
    World W;
    W.ready();
    W.Time.advance(std::chrono::seconds(30));
    W.Platform.remove("i-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), W.ready().size());
    CPPUNIT_ASSERT_EQUAL(0U, W.Platform.Watches.load());
  }

  // Guards against entries dropped by a reading that ended early.
  void failedReadingLeavesNothingOut() {
    World W;
    W.ready();
    W.Platform.Fails = true;
    CPPUNIT_ASSERT(!isOk(W.read()));
    W.Time.advance(std::chrono::seconds(30));
    CPPUNIT_ASSERT(!isOk(W.read()));
    W.Platform.Fails = false;
    W.Platform.remove("i-5");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), W.ready().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), W.ready().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

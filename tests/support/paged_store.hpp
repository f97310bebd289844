#pragma once

#include "../../platform/store.hpp"

#include <mallowglade/detail/platform/base64.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <httplib.h>

#include <atomic>
#include <limits>
#include <optional>
#include <set>
#include <thread>

namespace mallowglade::testing {

using nlohmann::json;

inline constexpr std::size_t PageSize = 2;
inline constexpr std::chrono::seconds StoreHistory{20};

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
    Server.set_tcp_nodelay(true);
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

} // namespace mallowglade::testing

// Stand-in for the platform: key-value service and instance list on one port.
//
// Usage: standin-platform ADDRESS PORT
// Key-value service: the part of the etcd v3 JSON gateway that the routers
// use (kv/range, kv/txn, lease/grant, lease/keepalive, lease/revoke, watch).
// Instance list: GET /v1/instances; POST replaces the list.
// POST /control {"mode": "up" | "down" | "lose_replies" | "slow"} makes the
// key-value service fail: `down` answers 503, `lose_replies` commits writes
// and cuts the reply, `slow` delays every call by 500 ms.

#include <mallowglade/detail/platform/base64.hpp>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

namespace {

struct Entry {
  std::string Value;
  long ModRevision = 0;
  long Lease = 0;
};

struct Lease {
  std::chrono::seconds TimeToLive{};
  SteadyClock::time_point Ends;
};

enum class Mode { Up, Down, LoseReplies, Slow };

std::string decode(const std::string &Text) {
  return mallowglade::detail::decodeBase64(Text).value_or("");
}

long numberOf(const json &Object, const char *Key) {
  if (!Object.contains(Key))
    return 0;
  const json &Value = Object[Key];
  return Value.is_string() ? std::atol(Value.get<std::string>().c_str())
                           : Value.get<long>();
}

class Store {
public:
  json range(const json &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expire();
    ++Reads;
    const std::string From = decode(Request.value("key", ""));
    const std::string To = decode(Request.value("range_end", ""));
    json Found = json::array();
    for (auto It = Entries.lower_bound(From); It != Entries.end(); ++It) {
      if (To.empty() ? It->first != From : It->first >= To)
        break;
      Found.push_back(toJson(It->first, It->second));
    }
    json Reply{{"header", header()}};
    if (!Found.empty()) {
      Reply["kvs"] = Found;
      Reply["count"] = std::to_string(Found.size());
    }
    return Reply;
  }

  json transact(const json &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expire();
    ++Writes;
    const bool Holds = conditionsHold(Request);
    const char *Branch = Holds ? "success" : "failure";
    if (Request.contains(Branch) && !Request[Branch].empty()) {
      ++Current;
      for (const json &Operation : Request[Branch])
        apply(Operation);
    }
    Changed.notify_all();
    return {{"header", header()}, {"succeeded", Holds}};
  }

  json grant(const json &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Writes;
    const long Id = ++LastLease;
    const std::chrono::seconds Ttl(numberOf(Request, "TTL"));
    Leases[Id] = {Ttl, SteadyClock::now() + Ttl};
    return {{"header", header()},
            {"ID", std::to_string(Id)},
            {"TTL", std::to_string(Ttl.count())}};
  }

  json keepAlive(const json &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    expire();
    ++Writes;
    const long Id = numberOf(Request, "ID");
    const auto Found = Leases.find(Id);
    json Reply{{"header", header()}, {"ID", std::to_string(Id)}};
    if (Found != Leases.end()) {
      Found->second.Ends = SteadyClock::now() + Found->second.TimeToLive;
      Reply["TTL"] = std::to_string(Found->second.TimeToLive.count());
    }
    return {{"result", Reply}};
  }

  json revoke(const json &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Writes;
    endLease(numberOf(Request, "ID"));
    Changed.notify_all();
    return {{"header", header()}};
  }

  /// Waits until the key changes after a revision; empty if nothing did.
  json waitForChange(const std::string &Key, long From,
                     std::chrono::milliseconds Limit) {
    std::unique_lock<std::mutex> Lock(Mutex);
    const auto IsNewer = [&] {
      const auto Found = Entries.find(Key);
      return Found != Entries.end() && Found->second.ModRevision >= From;
    };
    if (!Changed.wait_for(Lock, Limit, IsNewer))
      return {};
    return {
        {"result",
         {{"header", header()},
          {"events", {{{"type", "PUT"}, {"kv", toJson(Key, Entries[Key])}}}}}}};
  }

  json counters() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return {{"reads", Reads}, {"writes", Writes}, {"watches", Watches}};
  }
  void countWatch() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Watches;
  }

private:
  json header() const { return {{"revision", std::to_string(Current)}}; }

  json toJson(const std::string &Key, const Entry &Value) const {
    return {{"key", encode(Key)},
            {"value", Value.Value},
            {"mod_revision", std::to_string(Value.ModRevision)}};
  }

  static std::string encode(const std::string &Data) {
    return mallowglade::detail::encodeBase64(Data);
  }

  bool conditionsHold(const json &Request) {
    for (const json &Compare : Request.value("compare", json::array())) {
      const auto Found = Entries.find(decode(Compare.value("key", "")));
      const long Actual =
          Found == Entries.end() ? 0 : Found->second.ModRevision;
      if (Actual != numberOf(Compare, "mod_revision"))
        return false;
    }
    return true;
  }

  void apply(const json &Operation) {
    if (Operation.contains("request_put")) {
      const json &Put = Operation["request_put"];
      Entries[decode(Put.value("key", ""))] = {Put.value("value", ""), Current,
                                               numberOf(Put, "lease")};
    } else if (Operation.contains("request_delete_range")) {
      Entries.erase(decode(Operation["request_delete_range"].value("key", "")));
    }
  }

  void endLease(long Id) {
    Leases.erase(Id);
    if (std::erase_if(Entries, [Id](const auto &Item) {
          return Id != 0 && Item.second.Lease == Id;
        }) > 0)
      ++Current;
  }

  void expire() {
    std::vector<long> Ended;
    for (const auto &[Id, Held] : Leases)
      if (Held.Ends <= SteadyClock::now())
        Ended.push_back(Id);
    for (const long Id : Ended)
      endLease(Id);
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Entry> Entries;
  std::map<long, Lease> Leases;
  long Current = 1;
  long LastLease = 0;
  long Reads = 0;
  long Writes = 0;
  long Watches = 0;
};

class Platform {
public:
  void addRoutes(httplib::Server &Server) {
    addCall(Server, "/v3/kv/range", false,
            [this](const json &Request) { return Data.range(Request); });
    addCall(Server, "/v3/kv/txn", true,
            [this](const json &Request) { return Data.transact(Request); });
    addCall(Server, "/v3/lease/grant", true,
            [this](const json &Request) { return Data.grant(Request); });
    addCall(Server, "/v3/lease/keepalive", true,
            [this](const json &Request) { return Data.keepAlive(Request); });
    addCall(Server, "/v3/lease/revoke", true,
            [this](const json &Request) { return Data.revoke(Request); });
    addWatch(Server);
    addInstances(Server);
    addControl(Server);
  }

private:
  using Call = std::function<json(const json &)>;

  bool fails(httplib::Response &Response) const {
    if (State == Mode::Slow)
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    if (State != Mode::Down)
      return false;
    Response.status = 503;
    return true;
  }

  void addCall(httplib::Server &Server, const char *Path, bool Write,
               const Call &Serve) {
    Server.Post(Path, [this, Write, Serve](const httplib::Request &Request,
                                           httplib::Response &Response) {
      if (fails(Response))
        return;
      const json Body = json::parse(Request.body, nullptr, false);
      const std::string Reply = Serve(Body).dump();
      if (Write && State == Mode::LoseReplies) {
        // Announces more bytes than it sends, then cuts the connection.
        Response.set_content_provider(
            Reply.size() + 1, "application/json",
            [](std::size_t, std::size_t, httplib::DataSink &) {
              return false;
            });
        return;
      }
      Response.set_content(Reply, "application/json");
    });
  }

  void addWatch(httplib::Server &Server) {
    Server.Post("/v3/watch", [this](const httplib::Request &Request,
                                    httplib::Response &Response) {
      if (fails(Response))
        return;
      const json Body = json::parse(Request.body, nullptr, false);
      const json &Create = Body["create_request"];
      Data.countWatch();
      Response.set_chunked_content_provider(
          "application/json",
          [this, Key = decode(Create.value("key", "")),
           From = numberOf(Create, "start_revision"),
           Waited = 0](std::size_t, httplib::DataSink &Sink) mutable {
            const json Event =
                Data.waitForChange(Key, From, std::chrono::milliseconds(200));
            if (Event.empty()) {
              if (State == Mode::Down || ++Waited > 150)
                Sink.done();
              return Sink.is_writable();
            }
            const std::string Line = Event.dump() + "\n";
            Sink.write(Line.data(), Line.size());
            Sink.done();
            return true;
          });
    });
  }

  void addInstances(httplib::Server &Server) {
    Server.Get("/v1/instances",
               [this](const httplib::Request &, httplib::Response &Response) {
                 const std::lock_guard<std::mutex> Lock(Mutex);
                 Response.set_content(Instances, "application/json");
               });
    Server.Post("/v1/instances", [this](const httplib::Request &Request,
                                        httplib::Response &Response) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Instances = Request.body;
      Response.set_content("{}", "application/json");
    });
  }

  void addControl(httplib::Server &Server) {
    Server.Post("/control", [this](const httplib::Request &Request,
                                   httplib::Response &Response) {
      const json Body = json::parse(Request.body, nullptr, false);
      const std::string Name = Body.value("mode", "up");
      State = Name == "down"           ? Mode::Down
              : Name == "lose_replies" ? Mode::LoseReplies
              : Name == "slow"         ? Mode::Slow
                                       : Mode::Up;
      Response.set_content("{}", "application/json");
    });
    Server.Get("/counters", [this](const httplib::Request &,
                                   httplib::Response &Response) {
      Response.set_content(Data.counters().dump(), "application/json");
    });
  }

  Store Data;
  std::mutex Mutex;
  std::string Instances = "{\"instances\":[]}";
  std::atomic<Mode> State{Mode::Up};
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 3) {
    fmt::print(stderr, "usage: standin-platform ADDRESS PORT\n");
    return 2;
  }
  Platform Service;
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(256); };
  Server.set_tcp_nodelay(true);
  Service.addRoutes(Server);
  return Server.listen(Arguments[1], std::atoi(Arguments[2])) ? 0 : 1;
}

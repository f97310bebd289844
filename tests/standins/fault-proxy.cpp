// TCP proxy that injects faults.
//
// Usage: fault-proxy FILE
// FILE: {"control": "ip:port", "routes": {"<name>": {"listen": "ip:port",
// "target": "ip:port"}}}. The control address speaks HTTP: `GET /routes`
// lists routes with counters; `POST /routes/<name>` changes the faults of a
// route, all keys optional:
//   delay_ms      delay of every block of bytes in both directions
//   drop_new      true: new connections are closed at once
//   cut_after     the next connection to pass this many bytes towards the
//                 client is closed; applies once
//   silence       true: connections open now pass nothing any more; new ones
//                 are not affected
//   lose_replies  true: requests are passed on; the connection is closed at
//                 the first byte of the reply
//   reset_unframed true: connections that are cut or lose replies end with a
//                 reset if the response on them has neither a length nor
//                 chunks, since an orderly close would end it
//   cut_sources   list of client addresses; their connections, old and new,
//                 pass nothing until the list is replaced
// A route refuses connections while its target does, as a direct connection
// to the target would.

#include <asio.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <thread>

using asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr std::size_t BlockBytes = 16'384;
constexpr std::chrono::milliseconds TargetProbePeriod{200};

struct Faults {
  std::chrono::milliseconds Delay{0};
  bool DropNew = false;
  std::optional<long> CutAfter;
  bool ResetUnframed = false;
  bool LoseReplies = false;
  std::set<std::string> CutSources;
};

struct Route {
  std::string Listen;
  tcp::endpoint Target;
  Faults Set;
  long Accepted = 0;
  long BytesToTarget = 0;
  long BytesToClient = 0;
};

/// One client's connection and its connection to the target.
class Pair : public std::enable_shared_from_this<Pair> {
public:
  Pair(tcp::socket Accepted, Route &Through, std::function<void()> OnRefused)
      : Client(std::move(Accepted)), Target(Client.get_executor()),
        Through(Through), OnRefused(std::move(OnRefused)) {
    asio::error_code Ignored;
    Source = Client.remote_endpoint(Ignored).address().to_string();
    Client.set_option(tcp::no_delay(true), Ignored);
  }

  void start() {
    Target.async_connect(Through.Target,
                         [Self = shared_from_this()](asio::error_code Failed) {
                           if (Failed)
                             return Self->refuse();
                           Self->Target.set_option(tcp::no_delay(true), Failed);
                           Self->pump(Self->Client, Self->Target, true);
                           Self->pump(Self->Target, Self->Client, false);
                         });
  }

  void silence() { Silent = true; }
  bool closed() const { return !Client.is_open(); }

private:
  struct Block {
    std::array<char, BlockBytes> Data;
    std::size_t Size = 0;
  };
  using BlockPointer = std::shared_ptr<Block>;

  void close() {
    asio::error_code Ignored;
    Client.close(Ignored);
    Target.close(Ignored);
  }

  void refuse() {
    close();
    OnRefused();
  }

  /// Bytes that were swallowed cannot be made up for, so silence lasts.
  bool passesNothing() {
    Silent |= Through.Set.CutSources.contains(Source);
    return Silent;
  }

  void pump(tcp::socket &From, tcp::socket &To, bool TowardsTarget) {
    auto Next = std::make_shared<Block>();
    From.async_read_some(asio::buffer(Next->Data),
                         [Self = shared_from_this(), &From, &To, TowardsTarget,
                          Next](asio::error_code Failed, std::size_t Size) {
                           Next->Size = Size;
                           Self->onRead(From, To, TowardsTarget, Next, Failed);
                         });
  }

  void onRead(tcp::socket &From, tcp::socket &To, bool TowardsTarget,
              const BlockPointer &Next, asio::error_code Failed) {
    // A silent connection swallows data and the end of the stream alike.
    if (passesNothing()) {
      if (!Failed)
        pump(From, To, TowardsTarget);
      return;
    }
    if (Failed) {
      endDirection(To);
      return;
    }
    if (!TowardsTarget)
      noteHead(*Next);
    if (!TowardsTarget && applyCut(*Next)) {
      writeAndClose(To, Next);
      return;
    }
    (TowardsTarget ? Through.BytesToTarget : Through.BytesToClient) +=
        static_cast<long>(Next->Size);
    passOn(From, To, TowardsTarget, Next);
  }

  void endDirection(tcp::socket &To) {
    asio::error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
    if (++EndedDirections == 2)
      close();
  }

  /// A head comes with the first bytes of a block, as the stand-ins send it in
  /// one piece.
  void noteHead(const Block &Received) {
    const std::string_view Bytes(Received.Data.data(), Received.Size);
    if (!Bytes.starts_with("HTTP/1.1 "))
      return;
    const std::string_view Head = Bytes.substr(0, Bytes.find("\r\n\r\n"));
    ResponseUnframed =
        Head.find("\r\nContent-Length: ") == std::string_view::npos &&
        Head.find("\r\nTransfer-Encoding: ") == std::string_view::npos;
  }

  /// @return true if the connection has to end after this block
  bool applyCut(Block &Next) {
    if (Through.Set.LoseReplies) {
      Next.Size = 0;
      return true;
    }
    ToClient += static_cast<long>(Next.Size);
    if (!Through.Set.CutAfter || ToClient < *Through.Set.CutAfter)
      return false;
    // A connection that is past the limit already passes nothing more.
    const auto Beyond =
        static_cast<std::size_t>(ToClient - *Through.Set.CutAfter);
    Next.Size -= std::min(Next.Size, Beyond);
    Through.Set.CutAfter.reset();
    return true;
  }

  void writeAndClose(tcp::socket &To, const BlockPointer &Next) {
    asio::async_write(To, asio::buffer(Next->Data.data(), Next->Size),
                      [Self = shared_from_this(),
                       Next](asio::error_code, std::size_t) { Self->cut(); });
  }

  void cut() {
    asio::error_code Ignored;
    if (Through.Set.ResetUnframed && ResponseUnframed)
      Client.set_option(asio::socket_base::linger(true, 0), Ignored);
    close();
  }

  void passOn(tcp::socket &From, tcp::socket &To, bool TowardsTarget,
              const BlockPointer &Next) {
    if (Through.Set.Delay.count() == 0) {
      write(From, To, TowardsTarget, Next);
      return;
    }
    auto Timer = std::make_shared<asio::steady_timer>(Client.get_executor(),
                                                      Through.Set.Delay);
    Timer->async_wait([Self = shared_from_this(), Timer, &From, &To,
                       TowardsTarget, Next](asio::error_code) {
      Self->write(From, To, TowardsTarget, Next);
    });
  }

  void write(tcp::socket &From, tcp::socket &To, bool TowardsTarget,
             const BlockPointer &Next) {
    asio::async_write(To, asio::buffer(Next->Data.data(), Next->Size),
                      [Self = shared_from_this(), &From, &To, TowardsTarget,
                       Next](asio::error_code Failed, std::size_t) {
                        if (Failed)
                          return Self->close();
                        Self->pump(From, To, TowardsTarget);
                      });
  }

  tcp::socket Client;
  tcp::socket Target;
  Route &Through;
  std::function<void()> OnRefused;
  std::string Source;
  bool Silent = false;
  bool ResponseUnframed = false;
  long ToClient = 0;
  int EndedDirections = 0;
};

tcp::endpoint parseEndpoint(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1))};
}

/// Accepts the connections of one route; used on the I/O thread only.
class RouteServer {
public:
  RouteServer(asio::io_context &Context, const json &Settings)
      : Acceptor(Context, parseEndpoint(Settings["listen"])), Probe(Context),
        Timer(Context) {
    Through.Listen = Settings["listen"];
    Through.Target = parseEndpoint(Settings["target"]);
    accept();
  }

  void change(const json &Change) {
    Faults &Set = Through.Set;
    Set.Delay = std::chrono::milliseconds(
        Change.value("delay_ms", static_cast<int>(Set.Delay.count())));
    Set.DropNew = Change.value("drop_new", Set.DropNew);
    Set.ResetUnframed = Change.value("reset_unframed", Set.ResetUnframed);
    Set.LoseReplies = Change.value("lose_replies", Set.LoseReplies);
    if (Change.contains("cut_after"))
      Set.CutAfter = Change["cut_after"].get<long>();
    if (Change.contains("cut_sources"))
      Set.CutSources = Change["cut_sources"].get<std::set<std::string>>();
    if (Change.value("silence", false))
      for (const auto &Open : Pairs)
        Open->silence();
  }

  json describe() {
    dropClosed();
    return {{"listen", Through.Listen},
            {"accepted", Through.Accepted},
            {"open", Pairs.size()},
            {"cut_pending", Through.Set.CutAfter.has_value()},
            {"bytes_to_target", Through.BytesToTarget},
            {"bytes_to_client", Through.BytesToClient}};
  }

private:
  void accept() {
    Acceptor.async_accept([this](asio::error_code Failed, tcp::socket Client) {
      if (!Failed)
        admit(std::move(Client));
      if (Acceptor.is_open())
        accept();
    });
  }

  void refuseUntilTargetAccepts() {
    asio::error_code Ignored;
    Acceptor.close(Ignored);
    Timer.expires_after(TargetProbePeriod);
    Timer.async_wait([this](asio::error_code) { probeTarget(); });
  }

  void probeTarget() {
    Probe.async_connect(Through.Target, [this](asio::error_code Failed) {
      asio::error_code Ignored;
      Probe.close(Ignored);
      if (Failed)
        return refuseUntilTargetAccepts();
      Acceptor =
          tcp::acceptor(Probe.get_executor(), parseEndpoint(Through.Listen));
      accept();
    });
  }

  void admit(tcp::socket Client) {
    ++Through.Accepted;
    dropClosed();
    if (Through.Set.DropNew)
      return;
    Pairs.push_back(std::make_shared<Pair>(std::move(Client), Through, [this] {
      if (Acceptor.is_open())
        refuseUntilTargetAccepts();
    }));
    Pairs.back()->start();
  }

  void dropClosed() {
    Pairs.remove_if([](const auto &Open) { return Open->closed(); });
  }

  Route Through;
  tcp::acceptor Acceptor;
  tcp::socket Probe;
  asio::steady_timer Timer;
  std::list<std::shared_ptr<Pair>> Pairs;
};

class Proxy {
public:
  explicit Proxy(const json &Settings) {
    for (const auto &[Name, Route] : Settings["routes"].items())
      Routes.emplace(Name, std::make_unique<RouteServer>(Context, Route));
    addControl();
    Control = parseEndpoint(Settings["control"]);
  }

  int run() {
    std::thread Io([this] {
      const auto Guard = asio::make_work_guard(Context);
      Context.run();
    });
    const bool Served =
        Server.listen(Control.address().to_string(), Control.port());
    Context.stop();
    Io.join();
    return Served ? 0 : 1;
  }

private:
  /// Runs a step on the I/O thread and waits for its result.
  json onIoThread(const std::function<json()> &Step) {
    std::promise<json> Done;
    asio::post(Context, [&] {
      try {
        Done.set_value(Step());
      } catch (const std::exception &Failure) {
        Done.set_value({{"error", Failure.what()}});
      }
    });
    return Done.get_future().get();
  }

  void addControl() {
    Server.Get("/routes",
               [this](const httplib::Request &, httplib::Response &Response) {
                 const json Listed = onIoThread([this] { return describe(); });
                 Response.set_content(Listed.dump(), "application/json");
               });
    Server.Post("/routes/(.+)", [this](const httplib::Request &Request,
                                       httplib::Response &Response) {
      const json Change = json::parse(Request.body, nullptr, false);
      const std::string Name = Request.matches[1];
      const json Reply = onIoThread([&] { return change(Name, Change); });
      Response.status = Reply.contains("error") ? 400 : 200;
      Response.set_content(Reply.dump(), "application/json");
    });
  }

  json change(const std::string &Name, const json &Change) {
    const auto Found = Routes.find(Name);
    if (Found == Routes.end() || !Change.is_object())
      return {{"error", "no such route, or not an object"}};
    Found->second->change(Change);
    return Found->second->describe();
  }

  json describe() {
    json Listed = json::object();
    for (const auto &[Name, Route] : Routes)
      Listed[Name] = Route->describe();
    return Listed;
  }

  asio::io_context Context;
  std::map<std::string, std::unique_ptr<RouteServer>> Routes;
  httplib::Server Server;
  tcp::endpoint Control;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 2) {
    fmt::print(stderr, "usage: fault-proxy FILE\n");
    return 2;
  }
  std::ifstream File(Arguments[1]);
  const json Settings = json::parse(File, nullptr, false);
  if (!Settings.is_object()) {
    fmt::print(stderr, "fault-proxy: {} is not JSON\n", Arguments[1]);
    return 2;
  }
  return Proxy(Settings).run();
}

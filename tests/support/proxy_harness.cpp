#include "proxy_harness.hpp"

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <thread>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Pool("pool");
constexpr const char *LogPath = "/dev/null";

Route makeRoute(const std::string &Prefix) {
  Route Result;
  Result.Name = Prefix;
  Result.Host = "api.example";
  Result.PathPrefix = Prefix;
  Result.Timeout = Milliseconds(1'500);
  Result.LatencyObjective = Milliseconds(600);
  Result.MaxAttempts = 2;
  Result.Services = {{Pool, 1}};
  return Result;
}

std::shared_ptr<const Configuration> makeConfiguration() {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(1);
  Route Safe = makeRoute("/safe/");
  Safe.Idempotent = true;
  Route Resumable = makeRoute("/resumable/");
  Resumable.Streaming = Resumable.Resumable = Resumable.Idempotent = true;
  Route Stream = makeRoute("/stream/");
  Stream.Streaming = true;
  Route Model = makeRoute("/model/");
  Model.Streaming = Model.PromptAffinity = true;
  Config->Routes = {Safe, makeRoute("/unsafe/"), Resumable, Stream, Model};
  Config->Services.push_back({Pool, "/healthz", 100, {}});
  Config->Workspaces.push_back({WorkspaceId("desk"), {"key"}, {}});
  Config->Workspaces.push_back({WorkspaceId("shop"), {"shop-key"}, {}});
  Config->Limits = {16'384, 1 << 20, Milliseconds(3'000), Milliseconds(15'000),
                    0};
  Config->index();
  return Config;
}

/// Returns a loopback address with a port that is free at the time of the call.
std::string freeAddress(asio::io_context &Context) {
  asio::ip::tcp::acceptor Probe(Context,
                                {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
}

} // namespace

void UpstreamSession::send(const std::string &Data) {
  std::error_code Ignored;
  asio::write(Socket, asio::buffer(Data), Ignored);
}

std::size_t UpstreamSession::trySend(const std::string &Data) {
  std::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  return Socket.write_some(asio::buffer(Data), Ignored);
}

void UpstreamSession::close() {
  std::error_code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
}

void UpstreamSession::reset() {
  std::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

ProxyHarness::ProxyHarness(unsigned Upstreams)
    : Log(::open(LogPath, O_WRONLY | O_CLOEXEC), 1'000, Time) {
  Settings.CallerListen = freeAddress(Context);
  Settings.Zone = ZoneId("a");
  Settings.CredentialFreshness = Milliseconds(5'000);
  Settings.Retries = {0.2, 1'000, std::chrono::seconds(10)};
  Settings.MemoryBytes = 100'000'000;
  Settings.Descriptors = 1'000;
  Router =
      std::make_unique<Traffic>(Context, Settings, Wire, Time, Random, Log);
  View.Config = makeConfiguration();
  View.ProvenAt = Time.now();
  for (unsigned Index = 0; Index < Upstreams; ++Index) {
    Acceptors.push_back(std::make_unique<asio::ip::tcp::acceptor>(
        Context,
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
    acceptFrom(Acceptors.size() - 1);
    UpstreamRecord Record;
    Record.Id = UpstreamId("upstream-" + std::to_string(Index));
    Record.Service = Pool;
    Record.Address = Acceptors.back()->local_endpoint();
    Record.Slots = 4;
    Record.Ready = true;
    View.Upstreams.push_back(Record);
  }
  apply();
  Router->start();
}

ProxyHarness::~ProxyHarness() {
  for (const auto &Each : Acceptors)
    Each->close();
  for (const auto &Each : Callers)
    Each->Socket.close();
  for (const auto &Each : Sessions)
    Each->close();
  runFor(std::chrono::milliseconds(20));
  // Their sockets and timers use the event loop, so they are destroyed first.
  Router.reset();
  Sessions.clear();
}

void ProxyHarness::apply() { Router->apply(View); }

void ProxyHarness::acceptFrom(std::size_t Upstream) {
  Acceptors[Upstream]->async_accept(
      [this, Upstream](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error)
          return;
        Sessions.push_back(
            std::make_shared<UpstreamSession>(std::move(Socket)));
        Sessions.back()->Upstream = Upstream;
        readSession(Sessions.back());
        acceptFrom(Upstream);
      });
}

void ProxyHarness::crash(std::size_t Upstream) {
  Acceptors[Upstream]->close();
  for (const auto &Each : Sessions)
    if (Each->Upstream == Upstream)
      Each->reset();
}

void ProxyHarness::readSession(
    const std::shared_ptr<UpstreamSession> &Session) {
  Session->Socket.async_read_some(
      asio::buffer(Session->Bytes),
      [this, Session](std::error_code Error, std::size_t Size) {
        if (Error) {
          Session->ClosedByRouter = true;
          return;
        }
        Session->Input.append(Session->Bytes.data(), Size);
        const auto HeadEnd = Session->Input.find("\r\n\r\n");
        if (HeadEnd != std::string::npos) {
          std::size_t Length = 0;
          const auto LengthField = Session->Input.find("Content-Length: ");
          if (LengthField != std::string::npos && LengthField < HeadEnd)
            Length = std::stoul(Session->Input.substr(LengthField + 16));
          if (Session->Input.size() >= HeadEnd + 4 + Length) {
            const std::string Request = std::move(Session->Input);
            Session->Input.clear();
            Session->Requests.push_back(Request);
            if (OnRequest)
              OnRequest(*Session, Request);
          }
        }
        readSession(Session);
      });
}

std::size_t ProxyHarness::connect() {
  auto NewCaller = std::make_shared<Caller>(Context);
  const HostPort Parts = splitAddress(Settings.CallerListen);
  std::error_code Refused;
  // A router whose event loop was late, for example for load of the machine,
  // accepts no connections for a moment; callers try again.
  runUntil([&] {
    NewCaller->Socket.close(Refused);
    NewCaller->Socket.connect({asio::ip::make_address(Parts.Host), Parts.Port},
                              Refused);
    return !Refused;
  });
  if (Refused)
    throw std::system_error(Refused, "connect");
  Callers.push_back(NewCaller);
  readCaller(NewCaller);
  return Callers.size() - 1;
}

bool ProxyHarness::acceptsConnections() {
  asio::ip::tcp::socket Socket(Context);
  const HostPort Parts = splitAddress(Settings.CallerListen);
  std::error_code Error;
  Socket.connect({asio::ip::make_address(Parts.Host), Parts.Port}, Error);
  return !Error;
}

void ProxyHarness::stall(std::chrono::milliseconds Duration) {
  std::this_thread::sleep_for(Duration);
  runFor(std::chrono::milliseconds(1));
}

void ProxyHarness::readCaller(const std::shared_ptr<Caller> &Source) {
  Source->Socket.async_read_some(
      asio::buffer(Source->Bytes),
      [this, Source](std::error_code Error, std::size_t Size) {
        if (Error) {
          Source->Closed = true;
          return;
        }
        Source->Received.append(Source->Bytes.data(), Size);
        if (!Source->Stopped)
          readCaller(Source);
      });
}

void ProxyHarness::sendAsCaller(std::size_t Caller, const std::string &Bytes) {
  asio::write(Callers.at(Caller)->Socket, asio::buffer(Bytes));
}

void ProxyHarness::stopReading(std::size_t Caller) {
  Callers.at(Caller)->Stopped = true;
}

void ProxyHarness::readSome(std::size_t Caller, std::size_t Bytes) {
  auto &Source = *Callers.at(Caller);
  std::error_code Error;
  Source.Socket.non_blocking(true, Error);
  const std::size_t Size = Source.Socket.read_some(
      asio::buffer(Source.Bytes.data(), std::min(Bytes, Source.Bytes.size())),
      Error);
  Source.Received.append(Source.Bytes.data(), Size);
}

void ProxyHarness::readOn(std::size_t Caller) {
  Callers.at(Caller)->Stopped = false;
  readCaller(Callers.at(Caller));
}

void ProxyHarness::closeCaller(std::size_t Caller) {
  Callers.at(Caller)->Socket.close();
}

bool ProxyHarness::runUntil(const std::function<bool()> &Condition) {
  const auto TimeLimit =
      std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > TimeLimit)
      return false;
    runFor(std::chrono::milliseconds(5));
  }
  return true;
}

void ProxyHarness::runFor(std::chrono::milliseconds Duration) {
  Context.restart();
  Context.run_for(Duration);
}

const std::string &ProxyHarness::received(std::size_t Caller) const {
  return Callers.at(Caller)->Received;
}

bool ProxyHarness::closedByRouter(std::size_t Caller) const {
  return Callers.at(Caller)->Closed;
}

std::size_t ProxyHarness::requestCount() const {
  std::size_t Count = 0;
  for (const auto &Each : Sessions)
    Count += Each->Requests.size();
  return Count;
}

std::string ProxyHarness::callerRequest(const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Id,
                                        const std::string &Extra,
                                        const std::string &Body) {
  std::string Message = Method + " " + Path +
                        " HTTP/1.1\r\nHost: api.example\r\n" +
                        "Mallowglade-Attempt-Id: " + Id +
                        "\r\nMallowglade-Deadline-Ms: 1500\r\n"
                        "Authorization: Bearer key\r\n" +
                        Extra;
  if (Method == "POST")
    Message += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Message + "\r\n" + Body;
}

std::string ProxyHarness::signedResponse(const std::string &Id,
                                         const std::string &Body,
                                         const std::string &Status,
                                         const std::string &Extra) {
  return "HTTP/1.1 " + Status + "\r\nMallowglade-Attempt-Id: " + Id +
         "\r\nMallowglade-Replica-Signature: s1\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Extra + "\r\n" + Body;
}

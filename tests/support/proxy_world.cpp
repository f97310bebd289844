#include "proxy_world.hpp"

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

const ServiceId Pool("pool");
constexpr const char *LogTarget = "/dev/null";

Route route(const std::string &Prefix) {
  Route Of;
  Of.Name = Prefix;
  Of.Host = "api.example";
  Of.PathPrefix = Prefix;
  Of.Timeout = Milliseconds(1'500);
  Of.LatencyObjective = Milliseconds(600);
  Of.MaxAttempts = 2;
  Of.Services = {{Pool, 1}};
  return Of;
}

std::shared_ptr<const Configuration> configurationOf() {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(1);
  Route Safe = route("/safe/");
  Safe.Idempotent = true;
  Route Resumable = route("/resumable/");
  Resumable.Streaming = Resumable.Resumable = Resumable.Idempotent = true;
  Route Stream = route("/stream/");
  Stream.Streaming = true;
  Config->Routes = {Safe, route("/unsafe/"), Resumable, Stream};
  Config->Services.push_back({Pool, "/healthz", 100, {}});
  Config->Workspaces.push_back({WorkspaceId("desk"), {"key"}, {}});
  Config->Limits = {16'384, 1 << 20, Milliseconds(3'000), Milliseconds(15'000),
                    0};
  Config->index();
  return Config;
}

/// A free port of the loopback interface.
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

ProxyWorld::ProxyWorld(unsigned Upstreams)
    : Log(::open(LogTarget, O_WRONLY | O_CLOEXEC), 1'000, Time) {
  Settings.CallerListen = freeAddress(Context);
  Settings.Zone = ZoneId("a");
  Settings.CredentialFreshness = Milliseconds(5'000);
  Settings.Retries = {0.2, 1'000, std::chrono::seconds(10)};
  Settings.MemoryBytes = 100'000'000;
  Settings.Descriptors = 1'000;
  Router =
      std::make_unique<Traffic>(Context, Settings, Wire, Time, Random, Log);
  View.Config = configurationOf();
  View.ProvenAt = Time.now();
  for (unsigned At = 0; At < Upstreams; ++At) {
    Acceptors.push_back(std::make_unique<asio::ip::tcp::acceptor>(
        Context,
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
    accept(*Acceptors.back());
    UpstreamRecord Record;
    Record.Id = UpstreamId("upstream-" + std::to_string(At));
    Record.Service = Pool;
    Record.Address = Acceptors.back()->local_endpoint();
    Record.Slots = 4;
    Record.Ready = true;
    View.Upstreams.push_back(Record);
  }
  apply();
  Router->start();
}

ProxyWorld::~ProxyWorld() {
  for (const auto &Each : Acceptors)
    Each->close();
  for (const auto &Each : Callers)
    Each->Socket.close();
  for (const auto &Each : Sessions)
    Each->close();
  runFor(std::chrono::milliseconds(20));
  // Their sockets and timers belong to the event loop.
  Router.reset();
  Sessions.clear();
}

void ProxyWorld::apply() { Router->apply(View); }

void ProxyWorld::accept(asio::ip::tcp::acceptor &From) {
  From.async_accept([this, &From](std::error_code Error,
                                  asio::ip::tcp::socket Socket) {
    if (Error)
      return;
    Sessions.push_back(std::make_shared<UpstreamSession>(std::move(Socket)));
    readSession(Sessions.back());
    accept(From);
  });
}

void ProxyWorld::readSession(const std::shared_ptr<UpstreamSession> &Session) {
  Session->Socket.async_read_some(
      asio::buffer(Session->Bytes),
      [this, Session](std::error_code Error, std::size_t Size) {
        if (Error) {
          Session->Ended = true;
          return;
        }
        Session->Input.append(Session->Bytes.data(), Size);
        const auto HeadEnd = Session->Input.find("\r\n\r\n");
        if (HeadEnd != std::string::npos) {
          std::size_t Length = 0;
          const auto At = Session->Input.find("Content-Length: ");
          if (At != std::string::npos && At < HeadEnd)
            Length = std::stoul(Session->Input.substr(At + 16));
          if (Session->Input.size() >= HeadEnd + 4 + Length) {
            const std::string Whole = std::move(Session->Input);
            Session->Input.clear();
            Session->Requests.push_back(Whole);
            if (OnRequest)
              OnRequest(*Session, Whole);
          }
        }
        readSession(Session);
      });
}

std::size_t ProxyWorld::connect() {
  auto Next = std::make_shared<Caller>(Context);
  const HostPort Parts = splitAddress(Settings.CallerListen);
  Next->Socket.connect({asio::ip::make_address(Parts.Host), Parts.Port});
  Callers.push_back(Next);
  readCaller(Next);
  return Callers.size() - 1;
}

void ProxyWorld::readCaller(const std::shared_ptr<Caller> &From) {
  From->Socket.async_read_some(
      asio::buffer(From->Bytes),
      [this, From](std::error_code Error, std::size_t Size) {
        if (Error) {
          From->Closed = true;
          return;
        }
        From->Received.append(From->Bytes.data(), Size);
        readCaller(From);
      });
}

void ProxyWorld::sendFrom(std::size_t Caller, const std::string &Bytes) {
  asio::write(Callers.at(Caller)->Socket, asio::buffer(Bytes));
}

void ProxyWorld::closeCaller(std::size_t Caller) {
  Callers.at(Caller)->Socket.close();
}

bool ProxyWorld::until(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    runFor(std::chrono::milliseconds(5));
  }
  return true;
}

void ProxyWorld::runFor(std::chrono::milliseconds Span) {
  Context.restart();
  Context.run_for(Span);
}

const std::string &ProxyWorld::received(std::size_t Caller) const {
  return Callers.at(Caller)->Received;
}

bool ProxyWorld::closedByRouter(std::size_t Caller) const {
  return Callers.at(Caller)->Closed;
}

std::size_t ProxyWorld::arrivals() const {
  std::size_t Count = 0;
  for (const auto &Each : Sessions)
    Count += Each->Requests.size();
  return Count;
}

std::string ProxyWorld::request(const std::string &Method,
                                const std::string &Path, const std::string &Id,
                                const std::string &Extra,
                                const std::string &Body) {
  std::string Text = Method + " " + Path +
                     " HTTP/1.1\r\nHost: api.example\r\n" +
                     "Mallowglade-Attempt-Id: " + Id +
                     "\r\nMallowglade-Deadline-Ms: 1500\r\n"
                     "Authorization: Bearer key\r\n" +
                     Extra;
  if (Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

std::string ProxyWorld::answer(const std::string &Id, const std::string &Body,
                               const std::string &Status,
                               const std::string &Extra) {
  return "HTTP/1.1 " + Status + "\r\nMallowglade-Attempt-Id: " + Id +
         "\r\nMallowglade-Replica-Signature: s1\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Extra + "\r\n" + Body;
}

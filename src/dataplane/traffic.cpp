#include <mallowglade/detail/dataplane/traffic.hpp>

#include <mallowglade/detail/dataplane/request_run.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <asio/post.hpp>

namespace mallowglade::dataplane {

namespace {

/// Period of the check for requests that have waited too long.
constexpr Milliseconds TickPeriod{50};
/// Descriptors kept for files, upstreams and messages between routers.
constexpr std::size_t ReservedDescriptors = 1'400;
/// Part of the connections at which the server is crowded.
constexpr double CrowdedPart = 0.5;
/// Part of the memory that callers' request bodies may take.
constexpr std::size_t BodyShareOfMemory = 5;
constexpr http1::UpstreamTimeouts Timeouts{Milliseconds(1'000),
                                           Milliseconds(2'000)};
/// Bounds in force until a configuration is known.
constexpr std::size_t DefaultHeaderBytes = 16'384;
constexpr std::size_t DefaultBodyBytes = 4'194'304;
constexpr Milliseconds DefaultReadTimeout{3'000};
constexpr Milliseconds DefaultIdleTimeout{15'000};
constexpr std::string_view RetryAfterStart = "0.3";

http1::ServerLimits limitsOf(const NodeSettings &Settings,
                             const Configuration *Config) {
  http1::ServerLimits Limits;
  Limits.MaxHeadBytes =
      Config != nullptr ? Config->Limits.MaxHeaderBytes : DefaultHeaderBytes;
  Limits.MaxBodyBytes =
      Config != nullptr ? Config->Limits.MaxBodyBytes : DefaultBodyBytes;
  Limits.ReadTimeout =
      Config != nullptr ? Config->Limits.HeaderTimeout : DefaultReadTimeout;
  Limits.IdleTimeout =
      Config != nullptr ? Config->Limits.IdleTimeout : DefaultIdleTimeout;
  Limits.MaxConnections = Settings.Descriptors > 2 * ReservedDescriptors
                              ? Settings.Descriptors - ReservedDescriptors
                              : Settings.Descriptors / 2;
  Limits.CrowdedConnections = static_cast<std::size_t>(
      CrowdedPart * static_cast<double>(Limits.MaxConnections));
  Limits.MaxBufferedBytes = Settings.MemoryBytes / BodyShareOfMemory;
  return Limits;
}

asio::ip::tcp::endpoint endpointOf(const std::string &Address) {
  const HostPort Parts = splitAddress(Address);
  return {asio::ip::make_address(Parts.Host), Parts.Port};
}

std::string_view bearerToken(const http1::HeaderList &Headers) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string *Value = Headers.find("authorization");
  if (Value == nullptr ||
      !http1::equalsIgnoreCase(Value->substr(0, Scheme.size()), Scheme))
    return {};
  return std::string_view(*Value).substr(Scheme.size());
}

} // namespace

Traffic::Traffic(asio::io_context &Context, const NodeSettings &Settings,
                 const WireProtocol &Wire, const Clock &Time,
                 RandomSource &Random, EventLog &Log)
    : Context(Context), Settings(Settings), Wire(Wire), Time(Time),
      Random(Random), Log(Log),
      Server(Context, endpointOf(Settings.CallerListen),
             limitsOf(Settings, nullptr),
             [this](const std::shared_ptr<http1::ServerExchange> &Exchange) {
               onRequest(Exchange);
             }),
      Pool(Context, Wire.attemptHeader(), Timeouts), Upstreams(Time),
      Places(Upstreams, Time, Random, Settings.Zone, Settings.Placing),
      Shares(Time), Queue(Places, Shares, Time, Random),
      Retries(Settings.Retries, Time), Crashes(Time), Ticker(Context) {}

Traffic::~Traffic() = default;

std::error_code Traffic::start() {
  const std::error_code Error = Server.listen();
  if (!Error)
    tick();
  return Error;
}

void Traffic::tick() {
  Ticker.expires_after(TickPeriod);
  Ticker.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    Overload.sample(std::chrono::duration_cast<Milliseconds>(
                        std::chrono::steady_clock::now() - Ticker.expiry()),
                    Time.now());
    if (Queue.waiting() > 0) {
      Queue.pump();
      Queue.expire();
    }
    tick();
  });
}

void Traffic::apply(const ControlView &Next) {
  const bool ConfigChanged = Next.Config != View.Config;
  View = Next;
  for (const UpstreamRecord &Gone : Upstreams.update(View.Upstreams))
    Pool.forget(Gone.Address);
  Retries.setRouters(View.Routers);
  if (!View.Config)
    return;
  if (ConfigChanged)
    Server.setLimits(limitsOf(Settings, View.Config.get()));
  Places.configure(*View.Config);
  Queue.pump();
}

void Traffic::prove(TimePoint ProvenAt) {
  View.ProvenAt = std::max(View.ProvenAt, ProvenAt);
}

void Traffic::applyPeers(const PeerSums &Sums) {
  Upstreams.setPeers(Sums.Loads);
  Shares.setPeers(Sums.Usage);
  Crashes.setPeers(Sums.Crashes);
  Places.pace().setPeers(Sums.PaceSum, Sums.Routers);
  if (View.Config)
    Shares.update(View.Config->Limits.TokensPerSecond);
  Queue.pump();
}

TrafficReport Traffic::report() {
  return {Upstreams.ownLoads(),
          Shares.ownUsage(),
          Crashes.own(),
          Server.busyConnections(),
          Overload.shunned(Time.now()),
          Places.pace().own()};
}

void Traffic::drain() {
  Server.drain();
  Server.closeIdle();
}

void Traffic::refuseNew() {
  Refusing = true;
  Queue.stop();
}

bool Traffic::credentialsFresh() const {
  return Time.now() - View.ProvenAt < Settings.CredentialFreshness;
}

void Traffic::schedulePump() {
  if (PumpScheduled || Queue.waiting() == 0)
    return;
  PumpScheduled = true;
  asio::post(Context, [this] {
    PumpScheduled = false;
    Queue.pump();
  });
}

const ServiceId &Traffic::pickService(const Route &Of) {
  double Sum = 0;
  for (const ServiceWeight &Each : Of.Services)
    Sum += Each.Weight;
  constexpr std::uint64_t Resolution = 1U << 20U;
  double At = Sum * static_cast<double>(Random.below(Resolution)) /
              static_cast<double>(Resolution);
  for (const ServiceWeight &Each : Of.Services) {
    if (At < Each.Weight)
      return Each.Service;
    At -= Each.Weight;
  }
  return Of.Services.back().Service;
}

void Traffic::refuseAtOnce(http1::ServerExchange &Exchange, unsigned Status,
                           std::string_view Reason, const AttemptId &Attempt) {
  http1::HeaderList Fields;
  if (Status == 503)
    Fields.add("Retry-After", std::string(RetryAfterStart));
  ++Counters.Refused;
  Log.write("request",
            {{"request", Attempt.Value},
             {"target", Exchange.Head.Target},
             {"outcome", Reason},
             {"status", std::int64_t(Status)},
             {"config", View.Config ? std::int64_t(View.Config->Version.Value)
                                    : std::int64_t(0)}});
  Exchange.respond(Status, Fields, "");
}

void Traffic::onRequest(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  ++Counters.Requests;
  RequestFacts Facts = Wire.readRequest(Exchange->Head.Headers);
  if (!View.Config) {
    refuseAtOnce(*Exchange, 503, "no_configuration", Facts.Attempt);
    return;
  }
  const std::string *Host = Exchange->Head.Headers.find("host");
  const std::string_view Target = Exchange->Head.Target;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  if (Host == nullptr || Exchange->Head.Headers.count("host") != 1 ||
      Facts.Attempt.empty()) {
    refuseAtOnce(*Exchange, 400, "bad_request", Facts.Attempt);
    return;
  }
  const Route *Of = View.Config->match(*Host, Path);
  if (Of == nullptr || Of->Services.empty()) {
    refuseAtOnce(*Exchange, 404, "no_route", Facts.Attempt);
    return;
  }
  WorkspaceId Workspace;
  const bool NeedsKey = !View.Config->Workspaces.empty() && !Of->Public;
  if (NeedsKey) {
    if (!credentialsFresh()) {
      refuseAtOnce(*Exchange, 503, "credentials_not_fresh", Facts.Attempt);
      return;
    }
    const auto *Owner =
        View.Config->workspaceOf(bearerToken(Exchange->Head.Headers));
    if (Owner == nullptr) {
      refuseAtOnce(*Exchange, 401, "unknown_credential", Facts.Attempt);
      return;
    }
    Workspace = Owner->Name;
  }
  if (Refusing || (RefusingStreams && Of->Streaming)) {
    refuseAtOnce(*Exchange, 503, "stopping", Facts.Attempt);
    return;
  }
  if (Overload.refusing() && Of->Streaming) {
    Exchange->closeAfterwards();
    refuseAtOnce(*Exchange, 503, "router_overloaded", Facts.Attempt);
    return;
  }
  const RequestPrint Print = printOf(Workspace.Value, Exchange->Head.Method,
                                     Exchange->Head.Target, Exchange->Body);
  if (Crashes.isolated(Print)) {
    refuseAtOnce(*Exchange, 503, "crashes_upstreams", Facts.Attempt);
    return;
  }
  const auto Run = std::make_shared<RequestRun>(
      *this, Exchange, std::move(Facts), View.Config, *Of, Workspace, Print);
  Run->start();
}

} // namespace mallowglade::dataplane

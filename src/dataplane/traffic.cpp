#include <mallowglade/detail/dataplane/traffic.hpp>

#include <mallowglade/detail/dataplane/request_run.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <asio/post.hpp>

#include <tuple>

namespace mallowglade::dataplane {

namespace {

/// Period at which the event loop's delay is sampled and expired requests are
/// removed from the queue.
constexpr Milliseconds TickPeriod{50};
/// File descriptors reserved for files, connections to upstreams and messages
/// between routers.
constexpr std::size_t ReservedDescriptors = 1'400;
/// Fraction of the connection limit above which the server closes idle
/// connections and ends others after their response.
constexpr double CrowdedFraction = 0.5;
/// Buffered request bodies may take the memory limit divided by this.
constexpr std::size_t BodyMemoryDivisor = 5;
/// The same for what callers have not read of their responses.
constexpr std::size_t UnsentMemoryDivisor = 8;
/// Time to connect, and time that sent bytes may stay unacknowledged.
constexpr http1::UpstreamTimeouts ConnectionTimeouts{Milliseconds(1'000),
                                                     Milliseconds(2'000)};
/// Limits in force until a configuration has been read.
constexpr std::size_t DefaultHeaderBytes = 16'384;
constexpr std::size_t DefaultBodyBytes = 4'194'304;
constexpr Milliseconds DefaultReadTimeout{3'000};
constexpr Milliseconds DefaultIdleTimeout{15'000};
/// Retry-After of requests that are refused before they are queued.
constexpr std::string_view RefusalRetryAfterSeconds = "0.3";

http1::ServerLimits serverLimits(const NodeSettings &Settings,
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
  Limits.SoftMaxConnections = static_cast<std::size_t>(
      CrowdedFraction * static_cast<double>(Limits.MaxConnections));
  Limits.MaxBufferedBytes = Settings.MemoryBytes / BodyMemoryDivisor;
  Limits.MaxUnsentBytes = Settings.MemoryBytes / UnsentMemoryDivisor;
  return Limits;
}

asio::ip::tcp::endpoint parseEndpoint(const std::string &Address) {
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
      Server(Context, parseEndpoint(Settings.CallerListen),
             serverLimits(Settings, nullptr),
             [this](const std::shared_ptr<http1::ServerExchange> &Exchange) {
               onRequest(Exchange);
             }),
      Pool(Context, Wire.attemptHeader(), ConnectionTimeouts),
      Upstreams(Time, RouterKey(stableHash(Settings.PeerListen)),
                Random.next()),
      Placer(Upstreams, Time, Random, Settings.Zone, Settings.PlacementLimits),
      Shares(Time), Queue(Placer, Shares, Time, Random),
      Retries(Settings.Retries, Time), Crashes(Time, Random.next()),
      ExplanationRandom(stableHash("explain", stableHash(Settings.PeerListen))),
      Ticker(Context) {
  Placer.setZoneRegions(Settings.ZoneRegions);
}

Traffic::~Traffic() {
  // The requests in flight use the other members until they have ended.
  Ending = true;
  Server.closeAll();
}

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
    sampleDelay(std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now() - Ticker.expiry()));
    updateQuarantines();
    if (Queue.waiting() > 0) {
      Queue.dispatch();
      Queue.expire();
    }
    tick();
  });
}

void Traffic::sampleDelay(Milliseconds Delay) {
  const bool WasOverloaded = Overload.overloaded();
  Overload.sample(Delay, Time.now());
  if (!ListeningEnded && Overload.acceptsConnections() != Server.listening())
    setListening(Overload.acceptsConnections());
  if (Overload.overloaded() == WasOverloaded)
    return;
  Log.write(
      WasOverloaded ? "overload_ends" : "overload_begins",
      {{"delay_ms", std::int64_t(Delay.count())},
       {"connections", std::int64_t(Server.connections())},
       {"busy_connections", std::int64_t(Server.busyConnections())},
       {"refused_for_overload", std::int64_t(Counters.RefusedForOverload)}});
}

void Traffic::setListening(bool Listening) {
  if (!Listening) {
    // Answering those that wait would take the time that is lacking, and keep
    // their callers from trying another router.
    Server.pauseListening();
    return;
  }
  // Tried again with the next sample.
  if (const std::error_code Error = Server.listen())
    Log.write("listen_failed", {{"cause", Error.message()}});
}

bool Traffic::isLeastServed(const Route &MatchedRoute,
                            const WorkspaceId &Workspace) {
  return MatchedRoute.PromptAffinity && !Workspace.empty() &&
         Shares.level() > 0 &&
         Shares.mayExceedShare(WorkspaceKey(stableHash(Workspace.Value)));
}

void Traffic::apply(const ControlView &Next) {
  const bool ConfigChanged = Next.Config != View.Config;
  View = Next;
  const bool KnowsCold = Settings.ColdUpstreams && View.Config;
  if (KnowsCold && ConfigChanged)
    Upstreams.cold().configure(
        *View.Config,
        {*Settings.ColdUpstreams, Settings.Zone, Settings.UpstreamHeartbeat});
  for (const UpstreamRecord &Removed : Upstreams.update(View.Upstreams))
    Pool.closeIdleConnections(Removed.Address);
  for (const UpstreamRecord &Emptied :
       Upstreams.setEvacuated(View.EvacuatedZones))
    Pool.closeIdleConnections(Emptied.Address);
  if (KnowsCold) {
    Upstreams.cold().setEvacuated(View.EvacuatedZones);
    updateCold();
    countUnreadableRegistrations();
  }
  Retries.setRouters(View.Routers);
  Placer.smallServices().setRouters(View.Routers);
  Crashes.merge(View.Stored);
  if (!View.Config)
    return;
  if (ConfigChanged)
    Server.setLimits(serverLimits(Settings, View.Config.get()));
  Placer.configure(*View.Config);
  Queue.dispatch();
}

void Traffic::updateProvenAt(TimePoint ProvenAt) {
  View.ProvenAt = std::max(View.ProvenAt, ProvenAt);
}

void Traffic::applyPeerSums(const PeerSums &Sums) {
  Upstreams.setPeers(Sums.Loads);
  Shares.setPeers(Sums.Usage);
  Crashes.merge(Sums.Crashes);
  Crashes.setFleet(Sums.FirstOfFleet, View.Routers);
  Placer.workLimitController().setPeers(Sums.WorkLimitFactorSum, Sums.Routers);
  logWorkLimit();
  Upstreams.cold().setPeers(Sums.Cold);
  Upstreams.limits().setPeers(Sums.Limits, Sums.Members);
  updateCold();
  Placer.setSilentZones(Sums.SilentZones);
  if (ZoneChoice *Zones = Placer.zoneChoice())
    updateZones(*Zones);
  Placer.smallServices().setPeers(Sums.Offered);
  Placer.prefixHolders().addReported(Sums.Prefixes);
  logSmallServices();
  if (View.Config) {
    const double Fraction = Placer.capacityFraction();
    Shares.setCapacityReduced(Fraction < 1);
    Shares.update(View.Config->Limits.TokensPerSecond * Fraction);
  }
  Queue.dispatch();
}

void Traffic::observeLimit(const UpstreamRecord &Upstream,
                           const ResponseMetadata &Response, TimePoint SentAt) {
  if (Response.LimitUnreadable)
    return;
  std::optional<RequestRate> Rate;
  if (Response.RequestsPerSecond)
    Rate = RequestRate(*Response.RequestsPerSecond);
  const UpstreamProcess Process = upstreamProcess(Upstream);
  const LimitChange Change =
      Upstreams.limits().recordResponse(Process, Rate, SentAt);
  if (Change == LimitChange::None)
    return;
  const auto Share = Upstreams.limits().shareOf(Process);
  Log.write(Change == LimitChange::Begins    ? "upstream_limit_begins"
            : Change == LimitChange::Changes ? "upstream_limit_changes"
                                             : "upstream_limit_ends",
            {{"upstream", Upstream.Id.Value},
             {"per_second", Rate ? Rate->Value : 0.0},
             {"own_share", Share ? Share->Value : 0.0}});
}

void Traffic::observeUnreachable(UpstreamProcess Process) {
  if (!Upstreams.cold().recordUnreachable(Process))
    return;
  ++Counters.UpstreamsUnreachable;
  updateCold();
}

void Traffic::observe(const UpstreamRecord &Upstream,
                      const ResponseMetadata &Response, TimePoint SentAt) {
  observeLimit(Upstream, Response, SentAt);
  if (Response.Load)
    Upstreams.statedLoads().record(upstreamProcess(Upstream), *Response.Load,
                                   SentAt);
  if (Response.LoadUnreadable)
    recordUnreadable(Statement::Load, 1, Upstream.Id);
  if (Response.ColdUnreadable && Settings.ColdUpstreams)
    recordUnreadable(Statement::ColdTime, 1, Upstream.Id);
  if (Response.ColdRemaining)
    Upstreams.cold().recordStated(upstreamProcess(Upstream),
                                  *Response.ColdRemaining);
  if (Response.Leaving && Upstreams.leaving(Upstream)) {
    Pool.closeIdleConnections(Upstream.Address);
    Log.write("upstream_leaving", {{"upstream", Upstream.Id.Value}});
  }
  if (!Response.NotExecuted)
    Upstreams.accepted(Upstream.Id);
  if (Response.Pause) {
    const Milliseconds Pause = pauseFor(*Response.Pause, Random);
    Upstreams.paused(Upstream, Time.now() + Pause);
    Log.write("upstream_paused",
              {{"upstream", Upstream.Id.Value},
               {"asked_ms", std::int64_t(Response.Pause->count())},
               {"pause_ms", std::int64_t(Pause.count())}});
  }
}

TrafficReport Traffic::report() {
  updateQuarantines();
  countSlowCallers();
  std::tie(Counters.UpstreamsLeaving, Counters.UpstreamsPaused) =
      Upstreams.countNoticed();
  Counters.UpstreamsEvacuated = Upstreams.countEvacuated();
  Counters.UpstreamsCold = Upstreams.cold().coldCount();
  Counters.UpstreamsLimited = Upstreams.limits().limitedCount();
  updateSlowUpstreams();
  updatePrefixSharing();
  Counters.SmallServices = Placer.smallServices().status();
  return {Upstreams.ownLoads(),
          Shares.ownUsage(),
          Crashes.report(),
          Upstreams.limits().report(),
          Upstreams.limits().ownDemand(),
          Upstreams.cold().report(),
          Server.busyConnections(),
          Overload.withheldFromCallers(Time.now()),
          Placer.workLimitController().own(),
          Placer.smallServices().ownRates(),
          Placer.prefixHolders().report()};
}

void Traffic::drain() {
  Server.drain();
  Server.closeIdle();
}

void Traffic::endListening() {
  ListeningEnded = true;
  Server.stopListening();
}

void Traffic::closeIdleConnections() { Server.closeIdle(); }

void Traffic::refuseNewRequests() {
  RefusingNewRequests = true;
  Queue.stop();
}

bool Traffic::credentialsFresh() const {
  return Time.now() - View.ProvenAt < Settings.CredentialFreshness;
}

void Traffic::scheduleDispatch() {
  if (DispatchScheduled || Queue.waiting() == 0)
    return;
  DispatchScheduled = true;
  asio::post(Context, [this, Guard = std::weak_ptr(Alive)] {
    if (Guard.expired())
      return;
    DispatchScheduled = false;
    Queue.dispatch();
  });
}

void Traffic::refuseRequest(http1::ServerExchange &Exchange, unsigned Status,
                            std::string_view Reason, const AttemptId &Attempt,
                            const WorkspaceId &Workspace) {
  http1::HeaderList Fields;
  if (Status == 503)
    Fields.add("Retry-After", std::string(RefusalRetryAfterSeconds));
  ++Counters.Refused;
  Log.writeForRequest(
      "request",
      {{"request", Attempt.Value},
       {"target", Exchange.Head.Target},
       {"caller", Exchange.ClientAddress.to_string()},
       {"workspace", Workspace.Value},
       {"share_fill", Workspace.empty() ? 0.0
                                        : Shares.shareFill(WorkspaceKey(
                                              stableHash(Workspace.Value)))},
       {"outcome", Reason},
       {"status", std::int64_t(Status)},
       {"config", View.Config ? std::int64_t(View.Config->Version.Value)
                              : std::int64_t(0)}});
  Exchange.respond(Status, Fields, "");
}

void Traffic::refuseQuarantined(http1::ServerExchange &Exchange,
                                const RequestFeature &Feature,
                                const RequestMetadata &Metadata,
                                const WorkspaceId &Workspace) {
  ++Counters.Refused;
  ++Counters.RefusedForQuarantine;
  Log.writeForRequest("request",
                      {{"request", Metadata.Attempt.Value},
                       {"target", Exchange.Head.Target},
                       {"caller", Exchange.ClientAddress.to_string()},
                       {"workspace", Workspace.Value},
                       {"outcome", "crashes_upstreams"},
                       {"status", std::int64_t(503)},
                       {"feature", toHex(Feature.Hash)},
                       {"kind", toString(Feature.Kind)}});
  http1::HeaderList Fields;
  Fields.add("Retry-After", std::to_string(QuarantineRetryAfter.count()));
  Fields.add("Content-Type", "application/json");
  Exchange.respond(503, Fields,
                   R"({"error_id":"request.quarantined","feature":")" +
                       toHex(Feature.Hash) + R"("})");
}

Traffic::Arrival Traffic::examine(const std::string *Host,
                                  std::string_view Path,
                                  const WorkspaceLookup &FindCaller) {
  Arrival Found;
  const auto Refuse = [&Found](unsigned Status, std::string_view Reason) {
    Found.Status = Status;
    Found.Reason = Reason;
    return Found;
  };
  if (!View.Config)
    return Refuse(503, "no_configuration");
  if (Host == nullptr)
    return Refuse(400, "bad_request");
  Found.MatchedRoute = View.Config->match(*Host, Path);
  if (Found.MatchedRoute == nullptr || Found.MatchedRoute->Services.empty())
    return Refuse(404, "no_route");
  if (!View.Config->Workspaces.empty() && !Found.MatchedRoute->Public) {
    if (!credentialsFresh())
      return Refuse(503, "credentials_not_fresh");
    Found.Caller = FindCaller(*View.Config);
    if (Found.Caller == nullptr)
      return Refuse(401, "unknown_credential");
  }
  const Route &MatchedRoute = *Found.MatchedRoute;
  if (RefusingNewRequests || (RefusingNewStreams && MatchedRoute.Streaming))
    return Refuse(503, "stopping");
  const WorkspaceId Workspace =
      Found.Caller != nullptr ? Found.Caller->Name : WorkspaceId();
  Found.Overloaded =
      MatchedRoute.Streaming &&
      Overload.refusesStream(isLeastServed(MatchedRoute, Workspace));
  return Found.Overloaded ? Refuse(503, "router_overloaded") : Found;
}

void Traffic::onRequest(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  ++Counters.Requests;
  RequestMetadata Metadata = Wire.readRequest(Exchange->Head.Headers);
  const http1::HeaderList &Headers = Exchange->Head.Headers;
  const std::string_view Target = Exchange->Head.Target;
  const bool Readable = Headers.count("host") == 1 && !Metadata.Attempt.empty();
  const Arrival Found =
      examine(Readable ? Headers.find("host") : nullptr,
              Target.substr(0, Target.find('?')),
              [&Headers](const Configuration &Config) {
                return Config.findWorkspaceByKey(bearerToken(Headers));
              });
  const WorkspaceId Workspace =
      Found.Caller != nullptr ? Found.Caller->Name : WorkspaceId();
  if (Found.Overloaded) {
    ++Counters.RefusedForOverload;
    Exchange->closeAfterResponse();
  }
  if (Found.Status != 0) {
    refuseRequest(*Exchange, Found.Status, Found.Reason, Metadata.Attempt,
                  Workspace);
    return;
  }
  RequestFeatures Features =
      requestFeatures(Workspace, Exchange->Head.Method, Exchange->Head.Target,
                      Exchange->Body, Metadata.Parts);
  const auto Blamed = Crashes.refusedFor(Features);
  const bool IsProbe = Blamed && Crashes.takeProbe(Features);
  if (Blamed && !IsProbe) {
    refuseQuarantined(*Exchange, *Blamed, Metadata, Workspace);
    return;
  }
  const auto Run = std::make_shared<RequestRun>(
      *this, Exchange, std::move(Metadata), View.Config, *Found.MatchedRoute,
      Workspace, std::move(Features), IsProbe);
  Run->Query.Allowed = Homes(*Found.MatchedRoute, Found.Caller);
  Run->start();
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/control.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

/// Period of the check whether a read of the store is due.
constexpr Milliseconds StorePollPeriod{200};
/// Period of reads while no configuration has been received.
constexpr Milliseconds InitialReadPeriod{600};
/// Longest time from hearing that the store was restored to reading it; spreads
/// the reads of a fleet.
constexpr Milliseconds MaxRestoredReadDelay{300};
/// Longest time that a starting router waits for a report of another one before
/// it takes a configuration, if none is registered; several report periods.
constexpr Milliseconds MaxPeerWait{500};
/// The same while registered routers were not heard from, at least and as a
/// number of report periods. They may be slow, or gone and registered until
/// their leases end.
constexpr Milliseconds MinRegisteredPeerWait{1'500};
constexpr int RegisteredPeerWaitPeriods = 5;
/// Limits of the control endpoints, whose requests are small.
constexpr http1::ServerLimits ControlLimits{
    8'192, 16'384, Milliseconds(3'000), Milliseconds(15'000), 200,
    150,   262'144};

asio::ip::tcp::endpoint tcpEndpoint(const std::string &Address) {
  const HostPort Parts = splitAddress(Address);
  return {asio::ip::make_address(Parts.Host), Parts.Port};
}

std::uint64_t stateFingerprint(const ControlView &View, StoreEra Era) {
  std::string Text = fmt::format("{};{};", Era.Value,
                                 View.Config ? View.Config->Version.Value : 0);
  for (const UpstreamRecord &Upstream : View.Upstreams)
    fmt::format_to(
        std::back_inserter(Text), "{},{},{}:{},{},{};", Upstream.Id.Value,
        Upstream.Service.Value, Upstream.Address.address().to_string(),
        Upstream.Address.port(), Upstream.Ready ? 1 : 0, Upstream.BornMs);
  for (const ZoneId &Zone : View.EvacuatedZones)
    fmt::format_to(std::back_inserter(Text), "evacuated {};", Zone.Value);
  return stableHash(Text);
}

} // namespace

Control::Control(asio::io_context &Context, const NodeSettings &Settings,
                 const WireProtocol &Wire, FleetStore &Store,
                 TrafficTaskQueue &TrafficTasks, const Clock &Time,
                 RandomSource &Random, EventLog &Log)
    : Context(Context), Settings(Settings), Wire(Wire), Store(Store),
      TrafficTasks(TrafficTasks), Time(Time), Random(Random),
      Log(Log), Self{RouterId(Settings.PeerListen), Settings.Zone,
                     Settings.CallerListen, Settings.PeerListen},
      Peers(Self, Time),
      ReadPolicy(
          std::min(Settings.StateFreshness,
                   Settings.EvacuationTime.value_or(Milliseconds::max()))),
      Restorations(Settings.UpstreamHeartbeat),
      RestoredConfig(Settings.RestoredStoreHold),
      ReadinessServer(Context, tcpEndpoint(Settings.ReadinessListen),
                      ControlLimits,
                      [this](const auto &Exchange) { onReadiness(Exchange); }),
      MetricsServer(Context, tcpEndpoint(Settings.MetricsListen), ControlLimits,
                    [this](const auto &Exchange) { onMetrics(Exchange); }),
      Socket(Context), PollTimer(Context), RegistrationTimer(Context),
      ExchangeTimer(Context), ReadTimer(Context), ReceiveTimer(Context),
      AddressChoice(Random), Lookups(Time), Incarnation(Random.next()) {
  if (!Settings.AddressesListen.empty())
    AddressesServer = std::make_unique<http1::Http1Server>(
        Context, tcpEndpoint(Settings.AddressesListen), ControlLimits,
        [this](const auto &Exchange) { onAddresses(Exchange); });
}

std::error_code Control::start() {
  std::error_code Error = ReadinessServer.listen();
  if (!Error)
    Error = MetricsServer.listen();
  if (!Error && AddressesServer)
    Error = AddressesServer->listen();
  const auto Peer = tcpEndpoint(Settings.PeerListen);
  const asio::ip::udp::endpoint Address(Peer.address(), Peer.port());
  if (!Error)
    Socket.open(Address.protocol(), Error);
  if (!Error)
    Socket.bind(Address, Error);
  if (Error)
    return Error;
  Socket.non_blocking(true, Error);
  StartedAt = Time.now();
  receive();
  pollStore();
  renewRegistration();
  exchangeReports();
  return Error;
}

void Control::scheduleNext(asio::steady_timer &Timer, Milliseconds Period,
                           std::function<void()> Task) {
  // Jitter: fires up to a tenth of the period early, so that routers started
  // together do not stay synchronized.
  constexpr std::int64_t JitterDivisor = 10;
  const auto Jitter = Random.below(
      static_cast<std::uint64_t>(Period.count() / JitterDivisor) + 1);
  Timer.expires_after(Period - Milliseconds(Jitter));
  Timer.async_wait([Callback = std::move(Task)](std::error_code Error) {
    if (!Error)
      Callback();
  });
}

void Control::pollStore() {
  applyFirstRead();
  const TimePoint Now = Time.now();
  const bool ReadDue =
      View.Config
          ? ReadPolicy.shouldRead(Now, Peers.pollingRank(StoreUnavailable))
          : Now - LastReadStart >= InitialReadPeriod;
  if (ReadDue)
    readStore();
  scheduleNext(PollTimer, StorePollPeriod, [this] { pollStore(); });
}

void Control::readStore() {
  if (ReadInProgress)
    return;
  ReadInProgress = true;
  const TimePoint ReadStart = Time.now();
  LastReadStart = ReadStart;
  Store.read([this, ReadStart, KnownConfig = newestKnownConfiguration()](
                 Result<FleetState> State) {
    ReadInProgress = false;
    if (isOk(State) && refutes(valueOf(State), KnownConfig)) {
      RefutedConfig = KnownConfig;
      Log.write("reported_configuration_refuted",
                {{"version", std::int64_t(KnownConfig.Value)}});
      onState(ReadStart, newestKnownConfiguration(), std::move(State));
    } else {
      onState(ReadStart, KnownConfig, std::move(State));
    }
  });
}

void Control::onStoreRestored(StoreEra Next) {
  Log.write("store_restored", {{"era", std::int64_t(Next.Value)},
                               {"previous", std::int64_t(KnownEra.Value)}});
  KnownEra = Next;
  EraReportedAt = Time.now();
  Store.observeEra(Next);
  ReadTimer.expires_after(Milliseconds(
      Random.below(static_cast<std::uint64_t>(MaxRestoredReadDelay.count()))));
  ReadTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      readStore();
  });
}

void Control::applyFirstRead() {
  if (!FirstRead || !heardFleet(Time.now()))
    return;
  auto [ReadStart, State] = std::move(*FirstRead);
  FirstRead.reset();
  onState(ReadStart, newestKnownConfiguration(), std::move(State));
}

bool Control::heardFleet(TimePoint Now) const {
  if (Peers.newestConfiguration({}).Value > 0)
    return true;
  const auto Waited = Now - StartedAt;
  return Peers.anyRegisteredUnheard()
             ? Waited >=
                   std::max(MinRegisteredPeerWait,
                            RegisteredPeerWaitPeriods * Peers.reportPeriod())
             : Peers.liveRouters() > 1 || Waited >= MaxPeerWait;
}

bool Control::refutes(const FleetState &Read,
                      ConfigurationVersion Reported) const {
  const bool IsSettled = Read.Era.Value != 0 && Read.Era == KnownEra &&
                         Read.ConfirmedEra == Read.Era;
  if (!IsSettled || !Read.Config || Read.Config->Version >= Reported)
    return false;
  return !View.Config || View.Config->Version <= Read.Config->Version;
}

ConfigurationVersion Control::newestKnownConfiguration() const {
  const ConfigurationVersion OfPeers = Peers.newestConfiguration(RefutedConfig);
  return View.Config ? std::max(OfPeers, View.Config->Version) : OfPeers;
}

void Control::scheduleRead() {
  const TimePoint Next = LastReadStart + ReadPolicy.minReadInterval();
  const TimePoint Now = Time.now();
  if (Next <= Now) {
    readStore();
    return;
  }
  ReadTimer.expires_after(Next - Now);
  ReadTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      readStore();
  });
}

void Control::onStateProof(const StateProof &Proof, bool ConfirmsOnly) {
  if (Proof.Fingerprint != Fingerprint) {
    if (ReadPolicy.isNewer(Time.now(), Proof.Age))
      scheduleRead();
    return;
  }
  ReadPolicy.recordConfirmation(Time.now(), Proof.Age);
  if (ConfirmsOnly)
    return;
  const auto Acknowledged = Proof.ReceivedSequences.find(Self.Id);
  if (Acknowledged == Proof.ReceivedSequences.end())
    return;
  const auto AcknowledgedReport = SentAt.find(Acknowledged->second);
  if (AcknowledgedReport == SentAt.end())
    return;
  // The peer sent its report after receiving the acknowledged one. Subtracting
  // the age of its read from the send time of that one gives a lower bound for
  // the time of the read on the local clock, however late the datagram arrives.
  const TimePoint ProvenAt = AcknowledgedReport->second - Proof.Age;
  if (ProvenAt <= View.ProvenAt)
    return;
  ReadPolicy.recordProof(ProvenAt);
  View.ProvenAt = ProvenAt;
  TrafficTasks.postToTraffic(
      [ProvenAt](Traffic &Target) { Target.updateProvenAt(ProvenAt); });
}

bool Control::acceptConfiguration(ConfigurationVersion KnownConfig,
                                  std::shared_ptr<const Configuration> Read) {
  const ConfigurationVersion ReadVersion =
      Read ? Read->Version : ConfigurationVersion();
  const bool WasBehind = ConfigBehind;
  ConfigBehind = ReadVersion < KnownConfig;
  if (ConfigBehind != WasBehind)
    Log.write(ConfigBehind ? "store_configuration_behind"
                           : "store_configuration_current",
              {{"store_version", std::int64_t(ReadVersion.Value)},
               {"known_version", std::int64_t(KnownConfig.Value)}});
  // A router without a configuration waits for one that is not older than what
  // the others use: it could accept credentials that were withdrawn.
  const bool Newer = Read && (View.Config ? Read->Version > View.Config->Version
                                          : !ConfigBehind);
  if (Newer) {
    View.Config = std::move(Read);
    if (View.Config->Version >= RefutedConfig)
      RefutedConfig = {};
    Log.write("configuration",
              {{"version", std::int64_t(View.Config->Version.Value)},
               {"routes", std::int64_t(View.Config->Routes.size())},
               {"workspaces", std::int64_t(View.Config->Workspaces.size())}});
  }
  if (View.Config && View.Config->Version < KnownConfig)
    ReadPolicy.withdrawProofs();
  return View.Config && !ConfigBehind;
}

void Control::onState(TimePoint ReadStart, ConfigurationVersion KnownConfig,
                      Result<FleetState> State) {
  if (!isOk(State)) {
    if (StoreReachable)
      Log.write("store_lost", {{"cause", toString(errorOf(State))}});
    StoreReachable = false;
    ReadPolicy.recordFailedRead(Time.now());
    const bool FirstFailure = !StoreUnavailable;
    StoreUnavailable = true;
    // Tells the zone at once, so that another router takes over reading.
    if (FirstFailure)
      sendReport();
    return;
  }
  if (!StoreReachable)
    Log.write(
        "store_reached",
        {{"upstreams", std::int64_t(valueOf(State).Upstreams.size())},
         {"routers", std::int64_t(valueOf(State).Routers.size())},
         {"skipped_entries", std::int64_t(valueOf(State).SkippedEntries)}});
  StoreReachable = true;
  StoreUnavailable = false;
  FleetState &Read = valueOf(State);
  if (ReadStart < ReadPolicy.lastReadAt())
    return;
  if (Read.Era < KnownEra) {
    // Only the store decides which era is in force: it tells an earlier one
    // after a damaged report.
    if (ReadStart <= EraReportedAt || Read.Era < ViewEra)
      return;
    RefutedEra = KnownEra;
    Log.write("reported_era_refuted",
              {{"era", std::int64_t(Read.Era.Value)},
               {"reported", std::int64_t(KnownEra.Value)}});
  }
  if (ViewEra.Value != 0 && Read.Era > KnownEra)
    Log.write("store_restored", {{"era", std::int64_t(Read.Era.Value)},
                                 {"previous", std::int64_t(ViewEra.Value)}});
  if (Read.Era != ViewEra)
    RefutedConfig = {};
  KnownEra = ViewEra = Read.Era;
  Peers.setRegistered(Read.Routers);
  // The others may know that the store lost a newer configuration.
  if (!View.Config && !heardFleet(Time.now())) {
    FirstRead.emplace(ReadStart, std::move(Read));
    return;
  }
  // Others may have been heard since the read was started.
  if (!View.Config)
    KnownConfig = newestKnownConfiguration();
  View.Upstreams = Restorations.apply(Read, ReadStart);
  View.Stored.Quarantines = Read.Quarantines;
  const bool IsCurrent =
      RestoredConfig.record(Read, Peers.eraReports(Read.Era), ReadStart);
  readEvacuations(Read, ReadStart);
  const bool Proves =
      acceptConfiguration(KnownConfig, std::move(Read.Config)) && IsCurrent;
  ReadPolicy.recordRead(ReadStart, Proves);
  if (Proves)
    confirmEra(Read);
  View.ProvenAt = ReadPolicy.provenAt();
  const std::uint64_t PreviousFingerprint = Fingerprint;
  updateFingerprint();
  // The rates of cold upstreams are divided among the registered routers.
  if (Settings.ColdUpstreams)
    publishPeerSums();
  publishState();
  // Tells peers of the change at once instead of with the next report.
  if (Fingerprint != PreviousFingerprint)
    sendReport();
}

void Control::updateFingerprint() {
  Fingerprint = stateFingerprint(View, ViewEra);
}

void Control::publishState() {
  View.Routers = Peers.liveRouters();
  TrafficTasks.postToTraffic(
      [Copy = View](Traffic &Target) { Target.apply(Copy); });
}

RouterLoad Control::ownLoad() {
  return {routerSize(Settings),
          static_cast<std::uint32_t>(OwnReport.BusyConnections),
          Lookups.recent()};
}

bool Control::ready() const { return View.Config && !Draining; }

bool Control::advertised() const { return ready() && !OwnReport.Overloaded; }

bool Control::acceptsCallers() const {
  return advertised() || (ready() && !Peers.othersAcceptCallers());
}

void Control::startDraining() {
  Draining = true;
  Store.deregisterRouter();
  // Tells peers at once instead of with the next report.
  sendReport();
}

} // namespace mallowglade::dataplane

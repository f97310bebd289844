#include <mallowglade/detail/dataplane/control.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

/// Period of the check whether a read of the store is due.
constexpr Milliseconds StorePollPeriod{200};
/// Age up to which this router's own read of the store is reported to peers.
constexpr Milliseconds MaxProofAge{2'000};
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
/// Restorations of the store that a router may have missed.
constexpr std::uint64_t MaxMissedEras = 1'000;
/// Period of the check for received datagrams.
constexpr Milliseconds ReceivePollPeriod{25};
/// Number of sent reports whose send times are kept.
constexpr std::size_t MaxTrackedReports = 64;
/// Limits of the control endpoints, whose requests are small.
constexpr http1::ServerLimits ControlLimits{
    8'192, 16'384, Milliseconds(3'000), Milliseconds(15'000), 200,
    150,   262'144};

asio::ip::tcp::endpoint tcpEndpoint(const std::string &Address) {
  const HostPort Parts = splitAddress(Address);
  return {asio::ip::make_address(Parts.Host), Parts.Port};
}

asio::ip::udp::endpoint udpEndpoint(const std::string &Address) {
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
      Peers(Self, Time), ReadPolicy(Settings.StateFreshness),
      Restorations(Settings.UpstreamHeartbeat),
      RestoredConfig(Settings.RestoredStoreHold),
      ReadinessServer(Context, tcpEndpoint(Settings.ReadinessListen),
                      ControlLimits,
                      [this](const auto &Exchange) { onReadiness(Exchange); }),
      MetricsServer(Context, tcpEndpoint(Settings.MetricsListen), ControlLimits,
                    [this](const auto &Exchange) { onMetrics(Exchange); }),
      Socket(Context), PollTimer(Context), RegistrationTimer(Context),
      ExchangeTimer(Context), ReadTimer(Context), ReceiveTimer(Context),
      Incarnation(Random.next()) {
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
  const auto Address = udpEndpoint(Settings.PeerListen);
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
  const bool Proves =
      acceptConfiguration(KnownConfig, std::move(Read.Config)) && IsCurrent;
  ReadPolicy.recordRead(ReadStart, Proves);
  if (Proves)
    confirmEra(Read);
  View.ProvenAt = ReadPolicy.provenAt();
  const std::uint64_t PreviousFingerprint = Fingerprint;
  Fingerprint = stateFingerprint(View, ViewEra);
  publishState();
  // Tells peers of the change at once instead of with the next report.
  if (Fingerprint != PreviousFingerprint)
    sendReport();
}

void Control::publishState() {
  View.Routers = Peers.liveRouters();
  TrafficTasks.postToTraffic(
      [Copy = View](Traffic &Target) { Target.apply(Copy); });
}

void Control::sendReport() {
  PeerReport Report;
  Report.Sender = Self.Id;
  Report.Incarnation = Incarnation;
  Report.Sequence = ++Sequence;
  Report.Zone = Self.Zone;
  Report.CallerAddress = Self.CallerAddress;
  Report.Ready = advertised();
  Report.StoreUnavailable = StoreUnavailable;
  // The newest known version, not the one in use: what one router has read
  // stays known when that router is gone.
  Report.Config = newestKnownConfiguration();
  Report.Era = ViewEra;
  Report.ProofHeld = RestoredConfig.held();
  Report.WorkLimitFactorSum = OwnReport.WorkLimitFactor;
  Report.Loads = OwnReport.Loads;
  Report.Usage = OwnReport.Usage;
  Report.Crashes = OwnReport.Crashes;
  Report.Limits = OwnReport.Limits;
  Report.Demand = OwnReport.Demand;
  const TimePoint Now = Time.now();
  Report.Departed = Restorations.departed(Now);
  SentAt.emplace(Sequence, Now);
  if (SentAt.size() > MaxTrackedReports)
    SentAt.erase(SentAt.begin());
  // While reads prove nothing, they still confirm the state.
  const TimePoint ReadAt =
      Report.ProofHeld ? ReadPolicy.lastReadAt() : ReadPolicy.ownProofAt();
  if (ReadAt != TimePoint{} && Now - ReadAt < MaxProofAge)
    Report.Proof =
        StateProof{Fingerprint, std::chrono::ceil<Milliseconds>(Now - ReadAt),
                   Peers.receivedSequences()};
  sendDatagrams(Peers.zoneAddresses(), encodeReport(Report));
  if (Peers.shouldSendDigest(Sequence))
    sendDatagrams(Peers.digestAddresses(),
                  encodeReport(Peers.makeDigest(std::move(Report))));
}

void Control::forwardDigest(PeerReport Digest) {
  const bool FromSender =
      Digest.Sender.Value == fmt::format("{}:{}",
                                         DatagramSource.address().to_string(),
                                         DatagramSource.port());
  if (!FromSender || !Peers.shouldForwardDigest(Digest.Sequence))
    return;
  if (Digest.Proof)
    Digest.Proof->Age += ReceivePollPeriod;
  sendDatagrams(Peers.zoneAddresses(), encodeReport(Digest));
}

void Control::sendDatagrams(const std::vector<std::string> &Addresses,
                            const std::string &Bytes) {
  for (const std::string &Address : Addresses) {
    std::error_code Error;
    Socket.send_to(asio::buffer(Bytes), udpEndpoint(Address), 0, Error);
    if (Error && Error != asio::error::would_block)
      MetricValues.count("mallowglade_peer_send_errors_total",
                         {{"error", Error.message()}});
  }
}

void Control::exchangeReports() {
  // If the traffic thread is late, the last report is sent again: peers must
  // not take this router for failed.
  if (ReportOutstanding)
    sendReport();
  ReportOutstanding = true;
  TrafficTasks.postToTraffic([this](Traffic &Source) {
    auto Report = Source.report();
    const auto Counters = Source.counters();
    asio::post(Context, [this, Report = std::move(Report), Counters] {
      onReport(Report, Counters);
    });
  });
  publishPeerSums();
  Log.flush();
  scheduleNext(ExchangeTimer, Peers.reportPeriod(),
               [this] { exchangeReports(); });
}

void Control::onReport(TrafficReport Report, TrafficCounters Counters) {
  OwnReport = std::move(Report);
  OwnCounters = Counters;
  ReportOutstanding = false;
  sendReport();
  storeQuarantines();
}

void Control::publishPeerSums() {
  TrafficTasks.postToTraffic(
      [Sums = Peers.sums()](Traffic &Target) { Target.applyPeerSums(Sums); });
}

void Control::receive() {
  // Datagrams are received in batches: waking up for each of them would cost
  // more than processing it.
  std::error_code Error;
  bool AnyAccepted = false;
  while (true) {
    const std::size_t Size =
        Socket.receive_from(asio::buffer(Datagram), DatagramSource, 0, Error);
    if (Error)
      break;
    AnyAccepted |= onDatagram(Size);
  }
  if (AnyAccepted)
    publishPeerSums();
  if (Error != asio::error::would_block)
    MetricValues.count("mallowglade_peer_receive_errors_total",
                       {{"error", Error.message()}});
  scheduleNext(ReceiveTimer, ReceivePollPeriod, [this] { receive(); });
}

bool Control::isPlausible(StoreEra Reported) const {
  if (KnownEra.Value == 0 || Reported <= KnownEra)
    return true;
  const bool Refuted = RefutedEra.Value != 0 && Reported >= RefutedEra;
  return !Refuted && Reported.Value - KnownEra.Value <= MaxMissedEras;
}

bool Control::onDatagram(std::size_t Size) {
  Result<PeerReport> Decoded = decodeReport({Datagram.data(), Size});
  if (!isOk(Decoded)) {
    Log.write("peer_report_rejected",
              {{"from", DatagramSource.address().to_string()},
               {"cause", toString(errorOf(Decoded))}});
    return false;
  }
  const PeerReport &Report = valueOf(Decoded);
  if (!isPlausible(Report.Era)) {
    Log.write("peer_report_rejected",
              {{"from", DatagramSource.address().to_string()},
               {"cause", "implausible era"}});
    return false;
  }
  const AcceptResult Outcome = Peers.accept(Report);
  if (!Outcome.Accepted)
    return false;
  if (Outcome.Changed)
    Log.write("peer_changed", {{"router", Report.Sender.Value},
                               {"ready", Report.Ready ? "true" : "false"}});
  if (Report.Era > KnownEra && KnownEra.Value != 0)
    onStoreRestored(Report.Era);
  Restorations.addDeparted(Report.Era, Report.Departed, Time.now());
  applyFirstRead();
  // What another router read before the restoration confirms nothing.
  if (Report.Proof && Report.Era == ViewEra)
    onStateProof(*Report.Proof, Report.ProofHeld);
  if (!Report.Members.empty())
    forwardDigest(Report);
  return true;
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

#include <mallowglade/detail/dataplane/control.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

/// Time between the checks whether the store has to be read.
constexpr Milliseconds PollPeriod{200};
/// Oldest own reading that is reported to others.
constexpr Milliseconds ProofLimit{2'000};
/// Time between readings of a router that has no configuration yet.
constexpr Milliseconds FirstReadingPeriod{600};
/// Renewals of a registration; its lease lasts three of them.
constexpr Milliseconds AnnouncePeriod{3'000};
/// Time between looks for reports of other routers.
constexpr Milliseconds ReceivePeriod{25};
/// Sent reports whose time is remembered.
constexpr std::size_t RememberedReports = 64;
/// Time that callers keep an answer with addresses.
constexpr std::chrono::seconds AddressTtl{2};
constexpr std::size_t MaxAddresses = 64;
/// Bounds on calls to the control servers; their callers send small requests.
constexpr http1::ServerLimits ControlLimits{
    8'192, 16'384, Milliseconds(3'000), Milliseconds(15'000), 200, 262'144};

asio::ip::tcp::endpoint tcpEndpoint(const std::string &Address) {
  const HostPort Parts = splitAddress(Address);
  return {asio::ip::make_address(Parts.Host), Parts.Port};
}

asio::ip::udp::endpoint udpEndpoint(const std::string &Address) {
  const HostPort Parts = splitAddress(Address);
  return {asio::ip::make_address(Parts.Host), Parts.Port};
}

std::uint64_t fingerprintOf(const ControlView &View) {
  std::string Text =
      fmt::format("{};", View.Config ? View.Config->Version.Value : 0);
  for (const UpstreamRecord &Each : View.Upstreams)
    fmt::format_to(std::back_inserter(Text), "{},{},{}:{},{};", Each.Id.Value,
                   Each.Service.Value, Each.Address.address().to_string(),
                   Each.Address.port(), Each.Ready ? 1 : 0);
  return stableHash(Text);
}

} // namespace

Control::Control(asio::io_context &Context, const NodeSettings &Settings,
                 const WireProtocol &Wire, FleetStore &Store, TrafficLink &Link,
                 const Clock &Time, RandomSource &Random, EventLog &Log)
    : Context(Context), Settings(Settings), Wire(Wire), Store(Store),
      Link(Link), Time(Time), Random(Random),
      Log(Log), Self{RouterId(Settings.PeerListen), Settings.Zone,
                     Settings.CallerListen, Settings.PeerListen},
      Peers(Self, Time), Readings(Settings.StateFreshness),
      ReadinessServer(Context, tcpEndpoint(Settings.ReadinessListen),
                      ControlLimits,
                      [this](const auto &Exchange) { onReadiness(Exchange); }),
      MetricsServer(Context, tcpEndpoint(Settings.MetricsListen), ControlLimits,
                    [this](const auto &Exchange) { onMetrics(Exchange); }),
      Socket(Context), PollTimer(Context), AnnounceTimer(Context),
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
  receive();
  pollStore();
  announce();
  exchange();
  return Error;
}

void Control::every(asio::steady_timer &Timer, Milliseconds Period,
                    std::function<void()> Task) {
  // Up to a tenth earlier, so that routers started together drift apart.
  constexpr std::int64_t JitterPart = 10;
  const auto Jitter =
      Random.below(static_cast<std::uint64_t>(Period.count() / JitterPart) + 1);
  Timer.expires_after(Period - Milliseconds(Jitter));
  Timer.async_wait([Work = std::move(Task)](std::error_code Error) {
    if (!Error)
      Work();
  });
}

void Control::pollStore() {
  const TimePoint Now = Time.now();
  const bool Due = View.Config
                       ? Readings.shouldRead(Now, Peers.readerRank(StoreLost))
                       : Now - LastRead >= FirstReadingPeriod;
  if (Due)
    readStore();
  every(PollTimer, PollPeriod, [this] { pollStore(); });
}

void Control::readStore() {
  if (Reading)
    return;
  Reading = true;
  const TimePoint Asked = Time.now();
  LastRead = Asked;
  Store.read([this, Asked](Result<FleetState> State) {
    Reading = false;
    onState(Asked, std::move(State));
  });
}

void Control::readSoon() {
  const TimePoint Next = LastRead + Readings.spacing();
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

void Control::onProof(const StateProof &Proof) {
  if (Proof.Fingerprint != Fingerprint) {
    if (Readings.isNewer(Time.now(), Proof.Age))
      readSoon();
    return;
  }
  Readings.confirmed(Time.now(), Proof.Age);
  const auto Echo = Proof.Heard.find(Self.Id);
  if (Echo == Proof.Heard.end())
    return;
  const auto Sent = SentAt.find(Echo->second);
  if (Sent == SentAt.end())
    return;
  // The report was sent after this router's own; datagrams may arrive late.
  const TimePoint ProvenAt = Sent->second - Proof.Age;
  if (ProvenAt <= View.ProvenAt)
    return;
  Readings.proven(ProvenAt);
  View.ProvenAt = ProvenAt;
  Link.onTraffic([ProvenAt](Traffic &Target) { Target.prove(ProvenAt); });
}

void Control::onState(TimePoint Asked, Result<FleetState> State) {
  if (!isOk(State)) {
    if (StoreReachable)
      Log.write("store_lost", {{"cause", toString(errorOf(State))}});
    StoreReachable = false;
    Readings.failedAt(Time.now());
    const bool Noticed = !StoreLost;
    StoreLost = true;
    // Another router of the zone has to take over the readings.
    if (Noticed)
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
  StoreLost = false;
  FleetState &Read = valueOf(State);
  if (Asked < Readings.ownReading())
    return;
  Readings.readAt(Asked);
  Peers.setRegistered(Read.Routers);
  View.ProvenAt = Readings.provenAt();
  View.Upstreams = std::move(Read.Upstreams);
  const bool Newer = Read.Config && (!View.Config || Read.Config->Version >
                                                         View.Config->Version);
  if (Newer) {
    View.Config = std::move(Read.Config);
    Log.write("configuration",
              {{"version", std::int64_t(View.Config->Version.Value)},
               {"routes", std::int64_t(View.Config->Routes.size())},
               {"workspaces", std::int64_t(View.Config->Workspaces.size())}});
  }
  const std::uint64_t Before = Fingerprint;
  Fingerprint = fingerprintOf(View);
  publish();
  // The others learn of a change at once, not with the next report.
  if (Fingerprint != Before)
    sendReport();
}

void Control::publish() {
  View.Routers = Peers.liveRouters();
  Link.onTraffic([Copy = View](Traffic &Target) { Target.apply(Copy); });
}

void Control::announce() {
  if (!Leaving)
    Store.announce(Self, [this](const Result<Success> &Outcome) {
      if (!isOk(Outcome))
        Log.write("announce_failed", {{"cause", toString(errorOf(Outcome))}});
    });
  every(AnnounceTimer, AnnouncePeriod, [this] { announce(); });
}

void Control::sendReport() {
  PeerReport Report;
  Report.Sender = Self.Id;
  Report.Incarnation = Incarnation;
  Report.Sequence = ++Sequence;
  Report.Zone = Self.Zone;
  Report.CallerAddress = Self.CallerAddress;
  Report.Ready = offered();
  Report.StoreLost = StoreLost;
  if (View.Config)
    Report.Config = View.Config->Version;
  Report.PaceSum = OwnReport.Pace;
  Report.Loads = OwnReport.Loads;
  Report.Usage = OwnReport.Usage;
  Report.Crashes = OwnReport.Crashes;
  const TimePoint Now = Time.now();
  SentAt.emplace(Sequence, Now);
  if (SentAt.size() > RememberedReports)
    SentAt.erase(SentAt.begin());
  const TimePoint ReadAt = Readings.ownReading();
  if (ReadAt != TimePoint{} && Now - ReadAt < ProofLimit)
    Report.Proof =
        StateProof{Fingerprint, std::chrono::ceil<Milliseconds>(Now - ReadAt),
                   Peers.heard()};
  sendTo(Peers.zoneAddresses(), encodeReport(Report));
  if (Peers.sendsDigest(Sequence))
    sendTo(Peers.digestAddresses(),
           encodeReport(Peers.digest(std::move(Report))));
}

void Control::handOn(PeerReport Digest) {
  const bool Direct =
      Digest.Sender.Value ==
      fmt::format("{}:{}", Sender.address().to_string(), Sender.port());
  if (!Direct || !Peers.handsOn(Digest.Sequence))
    return;
  if (Digest.Proof)
    Digest.Proof->Age += ReceivePeriod;
  sendTo(Peers.zoneAddresses(), encodeReport(Digest));
}

void Control::sendTo(const std::vector<std::string> &Addresses,
                     const std::string &Bytes) {
  for (const std::string &Address : Addresses) {
    std::error_code Error;
    Socket.send_to(asio::buffer(Bytes), udpEndpoint(Address), 0, Error);
    if (Error && Error != asio::error::would_block)
      Counts.count("mallowglade_peer_send_errors_total",
                   {{"error", Error.message()}});
  }
}

void Control::exchange() {
  // A traffic thread that is late must not look like a router that is gone.
  if (AwaitsReport)
    sendReport();
  AwaitsReport = true;
  Link.onTraffic([this](Traffic &Source) {
    auto Next = Source.report();
    const auto Counters = Source.counters();
    asio::post(Context, [this, Reported = std::move(Next), Counters] {
      onReport(Reported, Counters);
    });
  });
  publishPeers();
  Log.flush();
  every(ExchangeTimer, Peers.reportPeriod(), [this] { exchange(); });
}

void Control::onReport(TrafficReport Report, TrafficCounters Counters) {
  OwnReport = std::move(Report);
  OwnCounters = Counters;
  AwaitsReport = false;
  sendReport();
}

void Control::publishPeers() {
  Link.onTraffic(
      [Sums = Peers.sums()](Traffic &Target) { Target.applyPeers(Sums); });
}

void Control::receive() {
  // Datagrams are taken together: one wake-up for each would cost more than
  // their content.
  std::error_code Error;
  bool Fresh = false;
  while (true) {
    const std::size_t Size =
        Socket.receive_from(asio::buffer(Datagram), Sender, 0, Error);
    if (Error)
      break;
    Fresh |= onDatagram(Size);
  }
  if (Fresh)
    publishPeers();
  if (Error != asio::error::would_block)
    Counts.count("mallowglade_peer_receive_errors_total",
                 {{"error", Error.message()}});
  every(ReceiveTimer, ReceivePeriod, [this] { receive(); });
}

bool Control::onDatagram(std::size_t Size) {
  Result<PeerReport> Read = decodeReport({Datagram.data(), Size});
  if (!isOk(Read)) {
    Log.write("peer_report_rejected", {{"from", Sender.address().to_string()},
                                       {"cause", toString(errorOf(Read))}});
    return false;
  }
  const PeerReport &Report = valueOf(Read);
  const Acceptance Outcome = Peers.accept(Report);
  if (!Outcome.Fresh)
    return false;
  if (Outcome.Changed)
    Log.write("peer_changed", {{"router", Report.Sender.Value},
                               {"ready", Report.Ready ? "true" : "false"}});
  if (Report.Proof)
    onProof(*Report.Proof);
  if (!Report.Members.empty())
    handOn(Report);
  return true;
}

bool Control::ready() const { return View.Config && !Leaving; }

bool Control::offered() const { return ready() && !OwnReport.Overloaded; }

void Control::leave() {
  Leaving = true;
  Store.withdraw();
  // The others learn it at once, not with the next report.
  sendReport();
}

void Control::onReadiness(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  if (!Wire.isReadinessCall(Exchange->Head.Target))
    Exchange->respond(404, {}, "");
  else
    Exchange->respond(ready() ? 200 : 503, {}, "");
}

void Control::onAddresses(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  if (!Wire.isAddressesCall(Exchange->Head.Target)) {
    Exchange->respond(404, {}, "");
    return;
  }
  std::vector<std::string> Addresses = Peers.callerAddresses();
  if (offered() || (ready() && Addresses.empty()))
    Addresses.push_back(Self.CallerAddress);
  if (Addresses.size() > MaxAddresses) {
    for (std::size_t At = 0; At < MaxAddresses; ++At)
      std::swap(Addresses[At],
                Addresses[At + Random.below(Addresses.size() - At)]);
    Addresses.resize(MaxAddresses);
  }
  if (Addresses.empty()) {
    Exchange->respond(503, {}, "");
    return;
  }
  http1::HeaderList Fields;
  Fields.add("Content-Type", "application/json");
  Exchange->respond(
      200, Fields,
      Wire.renderAddresses(Addresses,
                           std::min(AddressTtl, Settings.MaxAddressTtl)));
}

void Control::onMetrics(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  const auto Set = [this](const char *Name, double Value) {
    Counts.set(Name, {}, Value);
  };
  Set("mallowglade_requests", static_cast<double>(OwnCounters.Requests));
  Set("mallowglade_answered", static_cast<double>(OwnCounters.Answered));
  Set("mallowglade_refused", static_cast<double>(OwnCounters.Refused));
  Set("mallowglade_failed", static_cast<double>(OwnCounters.Failed));
  Set("mallowglade_retries", static_cast<double>(OwnCounters.Retries));
  Set("mallowglade_resumed_streams",
      static_cast<double>(OwnCounters.ResumedStreams));
  Set("mallowglade_callers_gone", static_cast<double>(OwnCounters.CallersGone));
  Set("mallowglade_live_routers", static_cast<double>(Peers.liveRouters()));
  Set("mallowglade_configuration_version",
      View.Config ? static_cast<double>(View.Config->Version.Value) : 0);
  Set("mallowglade_store_reading_age_seconds",
      std::chrono::duration<double>(Time.now() - View.ProvenAt).count());
  http1::HeaderList Fields;
  Fields.add("Content-Type", "text/plain; version=0.0.4");
  Exchange->respond(200, Fields, Counts.text());
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/control.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

/// Age up to which this router's own read of the store is reported to peers.
constexpr Milliseconds MaxProofAge{2'000};
/// Number of sent reports whose send times are kept.
constexpr std::size_t MaxTrackedReports = 64;
/// Period of the check for received datagrams.
constexpr Milliseconds ReceivePollPeriod{25};
/// Restorations of the store that a router may have missed.
constexpr std::uint64_t MaxMissedEras = 1'000;

asio::ip::udp::endpoint udpEndpoint(const std::string &Address) {
  const HostPort Parts = splitAddress(Address);
  return {asio::ip::make_address(Parts.Host), Parts.Port};
}

} // namespace

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
  if (Settings.EvacuationTime)
    Report.Evacuated = Evacuations.report();
  Report.Demand = OwnReport.Demand;
  if (Settings.AddressesBySize)
    Report.Load = ownLoad();
  Report.Cold = OwnReport.Cold;
  Report.Offered = OwnReport.Offered;
  Report.Prefixes = OwnReport.Prefixes;
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
  OwnCounters = std::move(Counters);
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
  if (hearEvacuations(Report)) {
    updateFingerprint();
    publishState();
  }
  // What another router read before the restoration confirms nothing.
  if (Report.Proof && Report.Era == ViewEra)
    onStateProof(*Report.Proof, Report.ProofHeld);
  if (!Report.Members.empty())
    forwardDigest(Report);
  return true;
}

} // namespace mallowglade::dataplane

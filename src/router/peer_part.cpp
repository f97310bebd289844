#include <mallowglade/detail/router/peer_part.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds ExportPeriod{1'000};

Http2PeersOptions makeOptions(const RouterContext &Context) {
  Http2PeersOptions Options;
  Options.Listen = Context.Settings.PeerListen;
  Options.Self = RouterId(Context.Settings.PeerAdvertise);
  Options.Start = Context.Start;
  Options.FleetKey = Context.Settings.FleetKey;
  return Options;
}

} // namespace

PeerPart::PeerPart(RouterContext Context)
    : Context(Context),
      Network(std::make_shared<Http2Peers>(
          Context.Control.context(), Context.Time, makeOptions(Context))) {}

Result<Success> PeerPart::listen() { return Network->listen(); }

void PeerPart::start() {
  Context.Control.postEvery(
      ExportPeriod, [Self = shared_from_this()] { Self->exportMetrics(); });
}

void PeerPart::stop() { Network->stop(); }

void PeerPart::raise(const std::string &Name, const MetricLabels &Labels,
                     std::uint64_t Before, std::uint64_t Now) {
  Context.Measures.count(Name, Labels, static_cast<double>(Now - Before));
}

void PeerPart::exportMetrics() {
  const PeerTraffic Now = Network->traffic();
  const MetricLabels Sent{{"direction", "sent"}};
  const MetricLabels Received{{"direction", "received"}};
  const std::string Bytes = "mallowglade_peer_bytes_total";
  const std::string Messages = "mallowglade_peer_messages_total";
  raise(Bytes, Sent, Exported.BytesSent, Now.BytesSent);
  raise(Bytes, Received, Exported.BytesReceived, Now.BytesReceived);
  raise(Messages, Sent, Exported.MessagesSent, Now.MessagesSent);
  raise(Messages, Received, Exported.MessagesReceived, Now.MessagesReceived);
  raise("mallowglade_peer_messages_rejected_total", {},
        Exported.MessagesRejected, Now.MessagesRejected);
  Exported = Now;
  const std::string Links = "mallowglade_peer_links";
  Context.Measures.set(Links, {{"direction", "outgoing"}},
                       static_cast<double>(Network->outgoingCount()));
  Context.Measures.set(Links, {{"direction", "incoming"}},
                       static_cast<double>(Network->incomingCount()));
  const auto Used = Context.Control.cpuTime();
  const std::chrono::duration<double> Seconds = Used - ExportedCpuTime;
  Context.Measures.count("mallowglade_control_thread_processor_seconds_total",
                         {}, Seconds.count());
  ExportedCpuTime = Used;
}

} // namespace mallowglade

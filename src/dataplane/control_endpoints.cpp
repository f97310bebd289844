#include <mallowglade/detail/dataplane/control.hpp>

namespace mallowglade::dataplane {

namespace {

/// Time for which callers may cache a list of addresses.
constexpr std::chrono::seconds AddressTtl{2};
constexpr std::size_t MaxAddresses = 64;

} // namespace

void Control::onReadiness(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  if (!Wire.isReadinessRequest(Exchange->Head.Target))
    Exchange->respond(404, {}, "");
  else
    Exchange->respond(acceptsCallers() ? 200 : 503, {}, "");
}

void Control::onAddresses(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  if (!Wire.isAddressLookup(Exchange->Head.Target)) {
    Exchange->respond(404, {}, "");
    return;
  }
  std::vector<std::string> Addresses = Peers.callerAddresses();
  if (advertised() || (ready() && Addresses.empty()))
    Addresses.push_back(Self.CallerAddress);
  if (Addresses.size() > MaxAddresses) {
    for (std::size_t Index = 0; Index < MaxAddresses; ++Index)
      std::swap(Addresses[Index],
                Addresses[Index + Random.below(Addresses.size() - Index)]);
    Addresses.resize(MaxAddresses);
  }
  Log.write("address_lookup",
            {{"caller", Exchange->ClientAddress.to_string()},
             {"addresses", std::int64_t(Addresses.size())},
             {"live_routers", std::int64_t(Peers.liveRouters())},
             {"advertised", advertised() ? "true" : "false"}});
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
  const auto SetMetric = [this](const char *Name, double Value) {
    MetricValues.set(Name, {}, Value);
  };
  SetMetric("mallowglade_requests", static_cast<double>(OwnCounters.Requests));
  SetMetric("mallowglade_answered", static_cast<double>(OwnCounters.Answered));
  SetMetric("mallowglade_refused", static_cast<double>(OwnCounters.Refused));
  SetMetric("mallowglade_refused_for_overload",
            static_cast<double>(OwnCounters.RefusedForOverload));
  SetMetric("mallowglade_failed", static_cast<double>(OwnCounters.Failed));
  SetMetric("mallowglade_retries", static_cast<double>(OwnCounters.Retries));
  SetMetric("mallowglade_resumed_streams",
            static_cast<double>(OwnCounters.ResumedStreams));
  SetMetric("mallowglade_callers_gone",
            static_cast<double>(OwnCounters.CallersGone));
  SetMetric("mallowglade_upstreams_leaving",
            static_cast<double>(OwnCounters.UpstreamsLeaving));
  SetMetric("mallowglade_upstreams_paused",
            static_cast<double>(OwnCounters.UpstreamsPaused));
  SetMetric("mallowglade_upstreams_limited",
            static_cast<double>(OwnCounters.UpstreamsLimited));
  SetMetric("mallowglade_refused_for_limits",
            static_cast<double>(OwnCounters.RefusedForLimits));
  SetMetric("mallowglade_quarantined_features",
            static_cast<double>(OwnCounters.QuarantinedFeatures));
  SetMetric("mallowglade_refused_for_quarantine",
            static_cast<double>(OwnCounters.RefusedForQuarantine));
  SetMetric("mallowglade_live_routers",
            static_cast<double>(Peers.liveRouters()));
  SetMetric("mallowglade_configuration_version",
            View.Config ? static_cast<double>(View.Config->Version.Value) : 0);
  SetMetric("mallowglade_store_reading_age_seconds",
            std::chrono::duration<double>(Time.now() - View.ProvenAt).count());
  http1::HeaderList Fields;
  Fields.add("Content-Type", "text/plain; version=0.0.4");
  Exchange->respond(200, Fields, MetricValues.text());
}

} // namespace mallowglade::dataplane

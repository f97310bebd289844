#include <mallowglade/detail/dataplane/control.hpp>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace mallowglade::dataplane {

namespace {

/// Time for which callers may cache a list of addresses.
constexpr std::chrono::seconds AddressTtl{2};
constexpr std::size_t MaxAddresses = 64;
/// Explanations a second, and at once: they take time of the traffic thread.
constexpr double ExplanationRate = 3;
constexpr double ExplanationBurst = 5;
/// Limit on the requests that wait for an explanation, if that thread is late.
constexpr std::size_t MaxAwaitingExplanation = 8;

void respondWithJson(http1::ServerExchange &Exchange, unsigned Status,
                     const std::string &Document) {
  http1::HeaderList Fields;
  Fields.add("Content-Type", "application/json");
  if (Status == 503)
    Fields.add("Retry-After", "1");
  Exchange.respond(Status, Fields, Document);
}

void respondWithProblem(http1::ServerExchange &Exchange, unsigned Status,
                        const Error &Problem) {
  respondWithJson(Exchange, Status,
                  nlohmann::json{{"error_id", toString(Problem.Id)},
                                 {"detail", Problem.Detail},
                                 {"instance", Problem.Path}}
                      .dump());
}

} // namespace

std::vector<std::string> Control::addressesFor(const CallerPlace &Place) {
  std::vector<RouterCandidate> Routers = Peers.callerRouters();
  if (advertised() || (ready() && Routers.empty()))
    Routers.push_back({Self.CallerAddress, Self.Zone, ownLoad()});
  if (View.Config)
    Routers =
        routersNearCaller(Routers, Place, Settings.ZoneRegions, *View.Config);
  if (Settings.AddressesBySize && sizesDiffer(Routers))
    return AddressChoice.choose(Routers, Place.Zone);
  std::vector<std::string> Addresses;
  Addresses.reserve(Routers.size());
  for (RouterCandidate &Router : Routers)
    Addresses.push_back(std::move(Router.Address));
  if (Addresses.size() > MaxAddresses) {
    for (std::size_t Index = 0; Index < MaxAddresses; ++Index)
      std::swap(Addresses[Index],
                Addresses[Index + Random.below(Addresses.size() - Index)]);
    Addresses.resize(MaxAddresses);
  }
  return Addresses;
}

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
  const CallerPlace Place = Wire.readCallerPlace(Exchange->Head.Target);
  const std::vector<std::string> Addresses = addressesFor(Place);
  Lookups.record();
  Log.writeForRequest("address_lookup",
                      {{"caller", Exchange->ClientAddress.to_string()},
                       {"zone", Place.Zone.Value},
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

void Control::onExplain(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  const auto Query = parseExplanationQuery(Exchange->Head.Target);
  if (!isOk(Query)) {
    respondWithProblem(*Exchange, 400, errorOf(Query));
    return;
  }
  ExplanationBudget.refill(ExplanationRate, ExplanationBurst, Time.now());
  if (ExplanationBudget.level() < 1 ||
      AwaitingExplanation.size() >= MaxAwaitingExplanation) {
    respondWithProblem(
        *Exchange, 503,
        {ErrorId::RateLimited, "too many explanations were asked for", {}});
    return;
  }
  ExplanationBudget.take(1);
  const std::uint64_t Number = ++Explanations;
  AwaitingExplanation.emplace(Number, Exchange);
  TrafficTasks.postToTraffic(
      [this, Number, Asked = valueOf(Query)](Traffic &Source) {
        asio::post(Context,
                   [this, Number, Document = toJson(Source.explain(Asked))] {
                     const auto Found = AwaitingExplanation.extract(Number);
                     respondWithJson(*Found.mapped(), 200, Document);
                   });
      });
}

void Control::onMetrics(
    const std::shared_ptr<http1::ServerExchange> &Exchange) {
  if (isExplanationTarget(Exchange->Head.Target)) {
    onExplain(Exchange);
    return;
  }
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
  SetMetric("mallowglade_evacuated_zones",
            static_cast<double>(View.EvacuatedZones.size()));
  SetMetric("mallowglade_upstreams_evacuated",
            static_cast<double>(OwnCounters.UpstreamsEvacuated));
  SetMetric("mallowglade_refused_for_evacuation",
            static_cast<double>(OwnCounters.RefusedForEvacuation));
  SetMetric("mallowglade_refused_for_homes",
            static_cast<double>(OwnCounters.RefusedForHomes));
  SetMetric("mallowglade_upstreams_cold",
            static_cast<double>(OwnCounters.UpstreamsCold));
  SetMetric("mallowglade_upstreams_unreachable",
            static_cast<double>(OwnCounters.UpstreamsUnreachable));
  SetMetric("mallowglade_unsent_bytes",
            static_cast<double>(OwnCounters.UnsentBytes));
  SetMetric("mallowglade_slow_callers",
            static_cast<double>(OwnCounters.SlowCallers));
  SetMetric("mallowglade_quarantined_features",
            static_cast<double>(OwnCounters.QuarantinedFeatures));
  SetMetric("mallowglade_refused_for_quarantine",
            static_cast<double>(OwnCounters.RefusedForQuarantine));
  SetMetric("mallowglade_router_size", routerSize(Settings));
  SetMetric("mallowglade_recent_lookups", Lookups.recent());
  SetMetric("mallowglade_upstreams_slow",
            static_cast<double>(OwnCounters.UpstreamsSlow));
  SetMetric("mallowglade_left_zone_for_load",
            static_cast<double>(OwnCounters.LeftZoneForLoad));
  SetMetric("mallowglade_left_zone_for_prefix",
            static_cast<double>(OwnCounters.LeftZoneForPrefix));
  SetMetric("mallowglade_prefixes_fetched",
            static_cast<double>(OwnCounters.PrefixesFetched));
  SetMetric("mallowglade_prefixes_known",
            static_cast<double>(OwnCounters.PrefixesKnown));
  SetMetric("mallowglade_prefixes_reported",
            static_cast<double>(OwnCounters.PrefixesReported));
  SetMetric("mallowglade_leaving_share_ratio", OwnCounters.LeavingShare);
  SetMetric("mallowglade_unreadable_cold_times",
            static_cast<double>(OwnCounters.UnreadableColdTimes));
  SetMetric("mallowglade_unreadable_loads",
            static_cast<double>(OwnCounters.UnreadableLoads));
  SetMetric("mallowglade_unreadable_cold_entries",
            static_cast<double>(OwnCounters.UnreadableColdEntries));
  SetMetric("mallowglade_work_limit_factor", OwnCounters.WorkLimitFactor);
  for (const auto &[Name, Status] : OwnCounters.SmallServices) {
    const MetricLabels Service{{"service", Name}};
    MetricValues.set("mallowglade_small_service_admitted_fraction", Service,
                     Status.AdmittedFraction);
    MetricValues.set("mallowglade_small_service_waiting_per_slot", Service,
                     Status.WaitingPerSlot);
    MetricValues.set("mallowglade_small_service_refused", Service,
                     static_cast<double>(Status.Refused));
    MetricValues.set("mallowglade_small_service_refused_by_upstreams", Service,
                     static_cast<double>(Status.RefusedByUpstreams));
  }
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

#include <mallowglade/detail/dataplane/node_settings.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

constexpr std::int64_t BytesPerMegabyte = 1'000'000;
constexpr std::int64_t MaxMegabytes = 1 << 20;
constexpr std::int64_t MaxDescriptors = 1 << 20;
constexpr std::int64_t MaxMilliseconds = 3'600'000;
constexpr std::int64_t MaxSeconds = 86'400;
constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t MaxCores = 1 << 10;
constexpr double MinProcessorShare = 0.001;
constexpr double MaxRatio = 10;
constexpr double MaxSlack = 1e6;
/// Time for the operator to write again after a restoration of the store, as a
/// multiple of the time after which a withdrawn credential is not accepted.
constexpr int RestoredStoreHoldFactor = 2;

std::string portAddress(JsonReader &Peers, const std::string &Host,
                        std::int64_t Port) {
  if (Port > MaxPort)
    Peers.fail(ErrorId::OutOfRange, "first_port",
               "must leave room for a second port above it");
  return fmt::format("{}:{}", Host, Port);
}

void readListen(JsonReader Listen, NodeSettings &Settings) {
  Settings.CallerListen = Listen.address("callers");
  Settings.ReadinessListen = Listen.address("readiness");
  if (Listen.has("addresses") && !Listen.text("addresses", "").empty())
    Settings.AddressesListen = Listen.address("addresses");
  Listen.finish();
}

void readPeers(JsonReader Peers, NodeSettings &Settings) {
  const std::string Host = Peers.text("ip");
  const std::int64_t Port = Peers.integer("first_port", 1, MaxPort);
  Settings.PeerListen = portAddress(Peers, Host, Port);
  Settings.MetricsListen = portAddress(Peers, Host, Port + 1);
  Peers.finish();
}

void readRetries(JsonReader Retries, NodeSettings &Settings) {
  Settings.Retries.Ratio = Retries.number("ratio", 0, MaxRatio);
  Settings.Retries.Slack = Retries.number("slack", 0, MaxSlack);
  Settings.Retries.Window =
      std::chrono::seconds(Retries.integer("window_s", 1, MaxSeconds));
  Retries.finish();
}

void readPlacement(JsonReader Placement, NodeSettings &Settings) {
  constexpr double MinShare = 0.05;
  constexpr double MaxShare = 5;
  constexpr std::int64_t MaxRanks = 64;
  constexpr double MaxZoneCostMs = 10'000;
  const PlacementSettings Defaults;
  PlacementSettings &PlacementLimits = Settings.PlacementLimits;
  PlacementLimits.WorkShare =
      Placement.number("work_share", MinShare, MaxShare, Defaults.WorkShare);
  PlacementLimits.SpareWork =
      Placement.number("spare_work", MinShare, MaxShare, Defaults.SpareWork);
  PlacementLimits.IdleWork =
      Placement.number("idle_work", 0, MaxShare, Defaults.IdleWork);
  PlacementLimits.SizeWeight =
      Placement.number("size_weight", 0, 1, Defaults.SizeWeight);
  PlacementLimits.PromptWindow = Placement.number(
      "prompt_window", MinShare, MaxShare, Defaults.PromptWindow);
  PlacementLimits.AffinityRanks = static_cast<unsigned>(
      Placement.integer("affinity_ranks", 1, MaxRanks, Defaults.AffinityRanks));
  if (Placement.has("zone_cost_ms"))
    PlacementLimits.ZoneCost =
        PreciseMilliseconds(Placement.number("zone_cost_ms", 0, MaxZoneCostMs));
  PlacementLimits.PrefixReuse = Milliseconds(Placement.integer(
      "prefix_reuse_ms", 1, MaxMilliseconds, Defaults.PrefixReuse.count()));
  Placement.finish();
}

void readLimits(JsonReader Limits, NodeSettings &Settings) {
  Settings.MemoryBytes = static_cast<std::size_t>(
      Limits.integer("memory_mb", 1, MaxMegabytes) * BytesPerMegabyte);
  Settings.Descriptors = static_cast<std::size_t>(
      Limits.integer("descriptors", 1, MaxDescriptors));
  Settings.Processor.Share =
      Limits.number("cpu_share", MinProcessorShare, 1, 1);
  Settings.Processor.Cores =
      static_cast<unsigned>(Limits.integer("cores", 1, MaxCores, 1));
  Limits.finish();
}

/// Reads the availability zones and the region of each.
void readZones(const std::vector<JsonReader> &Zones, NodeSettings &Settings) {
  for (JsonReader Zone : Zones) {
    const ZoneId Name(Zone.text("name"));
    Settings.ZoneRegions.emplace(Name, RegionId(Zone.text("region")));
    Zone.finish();
  }
}

void readColdUpstreams(JsonReader Cold, NodeSettings &Settings) {
  ColdUpstreamLimits Limits;
  Limits.Overage = Cold.number("overage", 0, MaxRatio);
  Limits.Allowance = Cold.number("allowance", 0, MaxSlack);
  Cold.finish();
  Settings.ColdUpstreams = Limits;
}

} // namespace

Result<NodeSettings> parseNodeSettings(const std::string &Text,
                                       const std::string &Patch) {
  Result<nlohmann::json> Document = parseJson(Text);
  if (!isOk(Document))
    return errorOf(Document);
  if (!Patch.empty()) {
    const Result<nlohmann::json> Changes = parseJson(Patch);
    if (!isOk(Changes))
      return errorOf(Changes);
    std::get<nlohmann::json>(Document).merge_patch(valueOf(Changes));
  }
  std::optional<Error> FirstError;
  NodeSettings Settings;
  JsonReader Root(valueOf(Document), "", FirstError);
  Settings.Name = Root.text("name");
  Settings.Zone = ZoneId(Root.text("availability_zone"));
  Settings.StoreAddress = Root.address("store");
  Settings.CredentialFreshness =
      Milliseconds(Root.integer("credential_freshness_ms", 1, MaxMilliseconds));
  Settings.StateFreshness =
      Milliseconds(Root.integer("state_freshness_ms", 1, MaxMilliseconds));
  Settings.StoreHistory = std::chrono::seconds(Root.integer(
      "store_history_s", 1, MaxSeconds, Settings.StoreHistory.count()));
  Settings.RestoredStoreHold = Milliseconds(Root.integer(
      "restored_store_hold_ms", 1, MaxMilliseconds,
      RestoredStoreHoldFactor * Settings.CredentialFreshness.count()));
  Settings.UpstreamHeartbeat =
      Milliseconds(Root.integer("upstream_heartbeat_ms", 1, MaxMilliseconds,
                                Settings.UpstreamHeartbeat.count()));
  Settings.StopGrace =
      std::chrono::seconds(Root.integer("stop_grace_s", 1, MaxSeconds));
  Settings.MaxAddressTtl =
      std::chrono::seconds(Root.integer("max_address_ttl_s", 1, MaxSeconds));
  Settings.AddressesBySize = Root.boolean("addresses_by_size", false);
  readListen(Root.object("listen"), Settings);
  readPeers(Root.object("peers"), Settings);
  readRetries(Root.object("retries"), Settings);
  readPlacement(Root.object("placement"), Settings);
  readLimits(Root.object("limits"), Settings);
  readZones(Root.objectList("zones"), Settings);
  if (Root.has("cold_upstreams"))
    readColdUpstreams(Root.object("cold_upstreams"), Settings);
  if (Root.has("evacuation_ms"))
    Settings.EvacuationTime =
        Milliseconds(Root.integer("evacuation_ms", 1, MaxMilliseconds));
  Root.finish();
  if (FirstError)
    return *FirstError;
  return Settings;
}

} // namespace mallowglade::dataplane

#include <mallowglade/settings.hpp>

namespace mallowglade {

namespace {

constexpr std::int64_t MaxConcurrency = 4'096;
constexpr std::int64_t DefaultMaxConnections = 512;
constexpr std::int64_t DefaultMaxRequests = 512;
constexpr std::int64_t MaxBytes = 1LL << 40;
constexpr std::int64_t DefaultMaxBodyBytes = 16LL << 20;
constexpr std::int64_t DefaultAnswerMemoryBytes = 256LL << 20;
constexpr std::int64_t MaxSeconds = 86'400;
constexpr std::int64_t DefaultHeaderTimeoutMs = 5'000;
constexpr std::int64_t DefaultAnswerRetentionMs = 120'000;
constexpr std::int64_t DefaultAddressTtlSeconds = 30;
constexpr std::int64_t DefaultDrainLimitSeconds = 600;
constexpr std::int64_t MillisPerSecond = 1'000;
constexpr std::size_t MinFleetKeyLength = 16;

void readAddresses(JsonReader &Root, InstanceSettings &Settings) {
  Settings.Listen = Root.address("listen");
  Settings.Advertise = Root.address("advertise", "listen", Settings.Listen);
  Settings.PeerListen = Root.address("peer_listen");
  Settings.PeerAdvertise =
      Root.address("peer_advertise", "peer_listen", Settings.PeerListen);
  Settings.Zone = ZoneId(Root.text("availability_zone"));
  Settings.Region = Root.text("region", "");
  Settings.Seeds = Root.addressList("seeds");
}

void readPlatform(JsonReader Platform, InstanceSettings &Settings) {
  Settings.KeyValueEndpoints = Platform.addressList("key_value");
  if (Settings.KeyValueEndpoints.empty())
    Platform.fail(ErrorId::MissingKey, "key_value",
                  "at least one endpoint is required");
  Settings.InstanceListEndpoint = Platform.address("instance_list");
  Platform.finish();
}

void readSecurity(JsonReader &Root, InstanceSettings &Settings) {
  Settings.FleetKey = Root.text("fleet_key");
  if (Settings.FleetKey.size() < MinFleetKeyLength)
    Root.fail(ErrorId::OutOfRange, "fleet_key",
              "at least 16 characters are required");
  Settings.PlatformKeySha256 = Root.text("platform_key_sha256", "");
  const bool HasKey = !Settings.PlatformKeySha256.empty();
  if (HasKey && !isSha256Hex(Settings.PlatformKeySha256))
    Root.fail(ErrorId::OutOfRange, "platform_key_sha256",
              "expected 64 lower-case hexadecimal digits");
}

void readLimits(JsonReader Limits, InstanceSettings &Settings) {
  Settings.MaxConnections = static_cast<std::uint32_t>(Limits.integer(
      "max_connections", 1, MaxConcurrency, DefaultMaxConnections));
  Settings.MaxRequests = static_cast<std::uint32_t>(
      Limits.integer("max_requests", 1, MaxConcurrency, DefaultMaxRequests));
  Settings.MaxBodyBytes = static_cast<std::uint64_t>(
      Limits.integer("max_body_bytes", 1, MaxBytes, DefaultMaxBodyBytes));
  Settings.HeaderTimeout = Milliseconds(
      Limits.integer("header_timeout_ms", 100, MaxSeconds * MillisPerSecond,
                     DefaultHeaderTimeoutMs));
  Settings.AnswerRetention = Milliseconds(
      Limits.integer("answer_retention_ms", 0, MaxSeconds * MillisPerSecond,
                     DefaultAnswerRetentionMs));
  Settings.AnswerMemoryBytes = static_cast<std::uint64_t>(Limits.integer(
      "answer_memory_bytes", 1, MaxBytes, DefaultAnswerMemoryBytes));
  Settings.AddressTtl = std::chrono::seconds(
      Limits.integer("address_ttl_s", 1, MaxSeconds, DefaultAddressTtlSeconds));
  Settings.DrainLimit = std::chrono::seconds(
      Limits.integer("drain_limit_s", 1, MaxSeconds, DefaultDrainLimitSeconds));
  Limits.finish();
}

void readLog(JsonReader Log, InstanceSettings &Settings) {
  Settings.LogLevel =
      Log.choice("level", {"info", "debug", "warning", "error"});
  Settings.LogFormat = Log.choice("format", {"text", "json"});
  Log.finish();
}

} // namespace

Result<InstanceSettings> parseInstanceSettings(const std::string &Text,
                                               std::vector<SettingsKey> *Keys) {
  Result<nlohmann::json> Document = parseJson(Text);
  if (!isOk(Document))
    return errorOf(Document);
  std::optional<Error> FirstError;
  InstanceSettings Settings;
  JsonReader Root(valueOf(Document), "", FirstError, Keys);
  readAddresses(Root, Settings);
  readPlatform(Root.object("platform"), Settings);
  readSecurity(Root, Settings);
  readLimits(Root.object("limits"), Settings);
  readLog(Root.object("log"), Settings);
  Settings.Policy = Root.choice("policy", {"cell", "split", "random"});
  Root.object("seed_tree");
  Root.finish();
  if (FirstError)
    return *FirstError;
  if (!Root.has("seed_tree"))
    return Settings;
  Result<SettingsTree> Tree =
      parseTree(valueOf(Document)["seed_tree"], "/seed_tree");
  if (!isOk(Tree))
    return errorOf(Tree);
  Settings.SeedTree = valueOf(Tree);
  Settings.SeedTreeText = valueOf(Document)["seed_tree"].dump();
  return Settings;
}

} // namespace mallowglade

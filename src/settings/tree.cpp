#include <mallowglade/settings.hpp>

#include <algorithm>

namespace mallowglade {

bool isSha256Hex(const std::string &Text) {
  constexpr std::size_t Sha256HexLength = 64;
  return Text.size() == Sha256HexLength &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

namespace {

constexpr double MinShare = 1e-3;
constexpr double MaxShare = 1e6;
constexpr double MaxRate = 1e9;
constexpr double MaxWeight = 1e6;
constexpr double DefaultMaxRequestUnits = 200'000;
constexpr std::int64_t MaxQueueLength = 1'000'000;
constexpr std::int64_t MaxQueueTimeMs = 3'600'000;
constexpr std::int64_t DefaultQueueLength = 1'000;
constexpr std::int64_t DefaultQueueTimeMs = 120'000;
constexpr std::int64_t MaxReplicaInFlight = 4'096;
constexpr std::int64_t DefaultInitialInFlight = 4;
constexpr std::int64_t DefaultMaxInFlight = 64;
constexpr std::int64_t MaxTargetMs = 600'000;
constexpr std::int64_t DefaultFirstTokenTargetMs = 630;
constexpr std::int64_t DefaultInterTokenTargetMs = 68;
constexpr std::int64_t DefaultGapLimitMs = 10'000;
constexpr std::int64_t DefaultAnswerLimitMs = 60'000;

PoolSettings parsePool(const std::string &Name, JsonReader &Reader) {
  PoolSettings Pool;
  Pool.Id = PoolId(Name);
  const std::string Kind = Reader.text("kind");
  if (Kind != "model" && Kind != "service")
    Reader.fail(ErrorId::OutOfRange, "kind", "expected 'model' or 'service'");
  Pool.Kind = Kind == "service" ? PoolKind::Service : PoolKind::Model;
  Pool.InputWeight = Reader.number("input_weight", 0, MaxWeight, 1);
  Pool.OutputWeight = Reader.number("output_weight", 0, MaxWeight, 4);
  Pool.MaxRequestUnits =
      Reader.number("max_request_units", 1, MaxRate, DefaultMaxRequestUnits);
  Pool.InitialInFlight = static_cast<std::uint32_t>(Reader.integer(
      "initial_in_flight", 1, MaxReplicaInFlight, DefaultInitialInFlight));
  Pool.MaxInFlight = static_cast<std::uint32_t>(Reader.integer(
      "max_in_flight", 1, MaxReplicaInFlight, DefaultMaxInFlight));
  Pool.FirstTokenTarget = Milliseconds(Reader.integer(
      "first_token_target_ms", 1, MaxTargetMs, DefaultFirstTokenTargetMs));
  Pool.InterTokenTarget = Milliseconds(Reader.integer(
      "inter_token_target_ms", 1, MaxTargetMs, DefaultInterTokenTargetMs));
  Pool.GapLimit = Milliseconds(
      Reader.integer("gap_limit_ms", 10, MaxTargetMs, DefaultGapLimitMs));
  Pool.AnswerLimit = Milliseconds(
      Reader.integer("answer_limit_ms", 10, MaxTargetMs, DefaultAnswerLimitMs));
  if (Pool.InitialInFlight > Pool.MaxInFlight)
    Reader.fail(ErrorId::OutOfRange, "initial_in_flight",
                "the value must not exceed max_in_flight");
  Reader.finish();
  return Pool;
}

RouteSettings parseRoute(JsonReader &Reader, const SettingsTree &Tree) {
  RouteSettings Route;
  Route.Prefix = Reader.text("prefix");
  if (Route.Prefix.empty() || Route.Prefix.front() != '/')
    Reader.fail(ErrorId::OutOfRange, "prefix",
                "the prefix must start with '/'");
  Route.Pool = PoolId(Reader.text("pool"));
  if (findPool(Tree, Route.Pool) == nullptr)
    Reader.fail(ErrorId::InvalidReference, "pool",
                "unknown pool '" + Route.Pool.Value + "'");
  Route.Idempotent = Reader.boolean("idempotent", true);
  Reader.finish();
  return Route;
}

OperatorSettings parseOperator(const std::string &Name, JsonReader &Reader) {
  OperatorSettings Operator;
  Operator.Name = Name;
  Operator.Branch = Reader.text("branch");
  Operator.KeyHash = Reader.text("key_sha256");
  if (!isSha256Hex(Operator.KeyHash))
    Reader.fail(ErrorId::OutOfRange, "key_sha256",
                "expected 64 lower-case hexadecimal digits");
  Reader.finish();
  return Operator;
}

WorkspaceLimits parseLimits(JsonReader Reader) {
  WorkspaceLimits Limits;
  Limits.RequestsPerSecond = Reader.number("requests_per_s", 0, MaxRate, 0);
  Limits.UnitsPerSecond = Reader.number("units_per_s", 0, MaxRate, 0);
  Limits.Concurrency = static_cast<std::uint32_t>(
      Reader.integer("concurrency", 0, MaxQueueLength, 0));
  Limits.QueueLength = static_cast<std::uint32_t>(
      Reader.integer("queue_length", 1, MaxQueueLength, DefaultQueueLength));
  Limits.QueueTime = Milliseconds(
      Reader.integer("queue_time_ms", 1, MaxQueueTimeMs, DefaultQueueTimeMs));
  Reader.finish();
  return Limits;
}

WorkspaceSettings parseWorkspace(const std::string &Name,
                                 const std::string &Team, JsonReader &Reader) {
  WorkspaceSettings Workspace;
  Workspace.Id = WorkspaceId(Name);
  Workspace.Team = Team;
  Workspace.KeyHashes = Reader.textList("key_sha256");
  const bool AllHashes = std::all_of(Workspace.KeyHashes.begin(),
                                     Workspace.KeyHashes.end(), isSha256Hex);
  if (!AllHashes)
    Reader.fail(ErrorId::OutOfRange, "key_sha256",
                "expected 64 lower-case hexadecimal digits");
  Workspace.Limits = parseLimits(Reader.object("limits"));
  Reader.finish();
  return Workspace;
}

void parseTeams(JsonReader &Root, SettingsTree &Tree) {
  for (auto &[Team, Branch] : Root.objectMap("teams")) {
    if (Team == "platform")
      Root.fail(ErrorId::InvalidReference, "teams",
                "'platform' is reserved and cannot be a team name");
    for (auto &[Name, Reader] : Branch.objectMap("workspaces")) {
      WorkspaceSettings Workspace = parseWorkspace(Name, Team, Reader);
      if (!Tree.Workspaces.emplace(Workspace.Id, Workspace).second)
        Branch.fail(ErrorId::InvalidReference, "workspaces",
                    "workspace '" + Name + "' is defined in two branches");
    }
    Branch.finish();
  }
}

/// Every workspace needs a share. A share without a workspace is allowed: the
/// two are in different branches and a change edits one branch, so a new
/// workspace gets its share first.
void applyShares(JsonReader &Platform,
                 const std::vector<std::pair<std::string, double>> &Shares,
                 SettingsTree &Tree) {
  std::size_t Matched = 0;
  for (const auto &[Name, Value] : Shares) {
    const auto Found = Tree.Workspaces.find(WorkspaceId(Name));
    if (Found == Tree.Workspaces.end())
      continue;
    Found->second.Weight = Share(Value);
    ++Matched;
  }
  if (Matched != Tree.Workspaces.size())
    Platform.fail(ErrorId::MissingKey, "shares",
                  "every workspace needs a share greater than zero");
}

void parsePlatform(JsonReader Platform, SettingsTree &Tree) {
  for (auto &[Name, Reader] : Platform.objectMap("pools"))
    Tree.Pools.push_back(parsePool(Name, Reader));
  for (JsonReader &Reader : Platform.objectList("routes"))
    Tree.Routes.push_back(parseRoute(Reader, Tree));
  for (auto &[Name, Reader] : Platform.objectMap("operators"))
    Tree.Operators.push_back(parseOperator(Name, Reader));
  applyShares(Platform, Platform.numberMap("shares", MinShare, MaxShare), Tree);
  Platform.finish();
}

} // namespace

Result<SettingsTree> parseTree(const nlohmann::json &Value,
                               const std::string &Path,
                               std::vector<SettingsKey> *Keys) {
  std::optional<Error> FirstError;
  SettingsTree Tree;
  JsonReader Root(Value, Path, FirstError, Keys);
  parseTeams(Root, Tree);
  parsePlatform(Root.object("platform"), Tree);
  Root.finish();
  if (FirstError)
    return *FirstError;
  return Tree;
}

const WorkspaceSettings *findWorkspaceByKey(const SettingsTree &Tree,
                                            const std::string &Key) {
  const std::string Hash = sha256Hex(Key);
  for (const auto &[Id, Workspace] : Tree.Workspaces)
    for (const std::string &Accepted : Workspace.KeyHashes)
      if (secureEquals(Accepted, Hash))
        return &Workspace;
  return nullptr;
}

const RouteSettings *findRoute(const SettingsTree &Tree,
                               const std::string &Path) {
  const RouteSettings *LongestMatch = nullptr;
  for (const RouteSettings &Route : Tree.Routes) {
    const bool Matches =
        Path.compare(0, Route.Prefix.size(), Route.Prefix) == 0;
    const bool Longer = LongestMatch == nullptr ||
                        Route.Prefix.size() > LongestMatch->Prefix.size();
    if (Matches && Longer)
      LongestMatch = &Route;
  }
  return LongestMatch;
}

const PoolSettings *findPool(const SettingsTree &Tree, const PoolId &Id) {
  for (const PoolSettings &Pool : Tree.Pools)
    if (Pool.Id == Id)
      return &Pool;
  return nullptr;
}

} // namespace mallowglade

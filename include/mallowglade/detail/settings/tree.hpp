#pragma once

#include <mallowglade/core.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mallowglade {

struct SettingsKey;

/// @brief Kind of the upstreams in a pool.
enum class PoolKind { Model, Service };

/// @brief A pool of upstreams that can serve the same requests.
struct PoolSettings {
  PoolId Id;
  PoolKind Kind = PoolKind::Model;
  /// Service units of one input token.
  double InputWeight = 1;
  /// Service units of one output token.
  double OutputWeight = 4;
  /// Largest cost of one request in service units; part of the fairness bound.
  double MaxRequestUnits = 0;
  /// First value of the in-flight limit of a replica.
  std::uint32_t InitialInFlight = 0;
  /// Largest in-flight limit of a replica.
  std::uint32_t MaxInFlight = 0;
  /// Target for the time to the first token.
  Milliseconds FirstTokenTarget{};
  /// Target for the time between tokens.
  Milliseconds InterTokenTarget{};
  /// Longest silence of an upstream connection before it is probed.
  Milliseconds GapLimit{};
  /// Longest wait for an answer that is not streamed.
  Milliseconds AnswerLimit{};
};

/// @brief Sends requests under a path prefix to a pool.
struct RouteSettings {
  std::string Prefix;
  PoolId Pool;
  /// False if requests without an `Idempotency-Key` must not be repeated
  /// either, unless their method is GET or HEAD.
  bool Idempotent = true;
};

/// @brief Fleet-wide limits of a workspace; 0 means no limit.
struct WorkspaceLimits {
  double RequestsPerSecond = 0;
  double UnitsPerSecond = 0;
  std::uint32_t Concurrency = 0;
  std::uint32_t QueueLength = 0;
  Milliseconds QueueTime{};
};

/// @brief A workspace: the unit of fair sharing.
struct WorkspaceSettings {
  WorkspaceId Id;
  /// Team that owns the workspace's branch.
  std::string Team;
  Share Weight{1};
  /// SHA-256 of the accepted bearer keys, hexadecimal.
  std::vector<std::string> KeyHashes;
  WorkspaceLimits Limits;
};

/// @brief A credential that may edit a branch.
struct OperatorSettings {
  std::string Name;
  /// Branch the operator may edit: a team, or `platform`.
  std::string Branch;
  std::string KeyHash;
};

/// @brief The settings in force on a router.
struct SettingsTree {
  SettingsVersion Version;
  std::vector<PoolSettings> Pools;
  std::vector<RouteSettings> Routes;
  std::map<WorkspaceId, WorkspaceSettings> Workspaces;
  std::vector<OperatorSettings> Operators;
};

/// @return true for 64 lower-case hexadecimal digits
bool isSha256Hex(const std::string &Text);

/// @brief Parses and checks a whole tree.
///
/// The object has a `platform` branch (`pools`, `routes`, `shares`,
/// `operators`) and `teams` with one branch each (`workspaces`).
/// @param Value JSON object
/// @param Path JSON pointer of the object
/// @param Keys where the keys that are read are described, or null
/// @return the tree, or the first error with the path of its key
Result<SettingsTree> parseTree(const nlohmann::json &Value,
                               const std::string &Path,
                               std::vector<SettingsKey> *Keys = nullptr);

/// @brief Finds the workspace of a bearer key.
/// @param Tree settings in force
/// @param Key bearer key as sent by the caller
/// @return the workspace, or null
const WorkspaceSettings *findWorkspaceByKey(const SettingsTree &Tree,
                                            const std::string &Key);

/// @brief Finds the route with the longest matching prefix.
/// @return the route, or null
const RouteSettings *findRoute(const SettingsTree &Tree,
                               const std::string &Path);

/// @brief Finds a pool.
/// @return the pool, or null
const PoolSettings *findPool(const SettingsTree &Tree, const PoolId &Id);

} // namespace mallowglade

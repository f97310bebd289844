#pragma once

#include <mallowglade/core.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mallowglade {

struct SettingsKey;

/// @brief Type of the upstreams in a pool.
enum class PoolKind { Model, Service };

/// @brief A pool of upstreams that can serve the same requests.
struct PoolSettings {
  PoolId Id;
  PoolKind Kind = PoolKind::Model;
  /// Service units of one input token.
  double InputWeight = 1;
  /// Service units of one output token.
  double OutputWeight = 4;
  /// Maximum cost of one request in service units; the fairness bound depends
  /// on it.
  double MaxRequestUnits = 0;
  /// Initial in-flight limit of a replica.
  std::uint32_t InitialInFlight = 0;
  /// Maximum in-flight limit of a replica.
  std::uint32_t MaxInFlight = 0;
  /// Target latency of the first token.
  Milliseconds FirstTokenTarget{};
  /// Target latency between tokens.
  Milliseconds InterTokenTarget{};
  /// Maximum time without data on an upstream connection before it is probed.
  Milliseconds GapLimit{};
  /// Maximum wait for a response that is not streamed.
  Milliseconds AnswerLimit{};
};

/// @brief Routes requests with a path prefix to a pool.
struct RouteSettings {
  std::string Prefix;
  PoolId Pool;
  /// If false, requests without an `Idempotency-Key` are not retried once they
  /// may have been executed, unless their method is GET or HEAD.
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

/// @brief Settings tree of one version.
struct SettingsTree {
  SettingsVersion Version;
  std::vector<PoolSettings> Pools;
  std::vector<RouteSettings> Routes;
  std::map<WorkspaceId, WorkspaceSettings> Workspaces;
  std::vector<OperatorSettings> Operators;
};

/// @brief Checks for 64 lower-case hexadecimal digits.
bool isSha256Hex(const std::string &Text);

/// @brief Parses and validates a settings tree.
///
/// The object has a `platform` branch (`pools`, `routes`, `shares`,
/// `operators`) and `teams` with one branch each (`workspaces`).
/// @param Value JSON object
/// @param Path JSON pointer of the object
/// @param Keys receives a description of each key that is read; may be null
/// @return the tree, or the first error with the path of its key
Result<SettingsTree> parseTree(const nlohmann::json &Value,
                               const std::string &Path,
                               std::vector<SettingsKey> *Keys = nullptr);

/// @brief Finds the workspace that a bearer key belongs to.
/// @param Tree active settings
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

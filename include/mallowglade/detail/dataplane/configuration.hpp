#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Identifies a group of interchangeable upstreams.
using ServiceId = StringId<struct ServiceTag>;
/// @brief Version of the operator's configuration; increases monotonically.
using ConfigurationVersion =
    StrongNumber<struct ConfigurationTag, std::uint64_t>;

/// @brief Target service of a route and its relative share of the requests.
struct ServiceWeight {
  ServiceId Service;
  double Weight = 1;
};

/// @brief Routing rule for requests with a path prefix.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// The answer is a stream of events.
  bool Streaming = false;
  /// The request may be executed more than once.
  bool Idempotent = false;
  /// A stream may be resumed at another upstream after its last event.
  bool Resumable = false;
  /// No credential is needed.
  bool Public = false;
  /// Requests declare hashes of their prompt parts, which upstreams cache.
  bool PromptAffinity = false;
  Milliseconds Timeout{};
  /// Objective for the time to the answer, or to the first event of a stream.
  Milliseconds LatencyObjective{};
  /// Objective for the time between events of a stream.
  Milliseconds GapObjective{};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Maximum number of upstreams that one request may be sent to.
  unsigned MaxAttempts = 1;
  std::vector<ServiceWeight> Services;
  /// Regions in which requests may be executed; empty for any.
  std::vector<RegionId> HomeRegions = {};
};

/// @brief Capacity and features of the model engines of a service.
struct EngineProfile {
  /// Maximum number of requests decoded in one batch.
  unsigned Slots = 0;
  /// Size of the KV cache, shared by running requests and cached prompt parts.
  double KvCapacityTokens = 0;
  /// Tokens per stream event.
  double TokensPerEvent = 1;
  /// Upstreams can fetch cached prompt parts from each other.
  bool CanFetchCachedPrefix = false;
};

/// @brief A group of interchangeable upstreams.
struct Service {
  ServiceId Name;
  std::string HealthPath;
  /// Maximum connections of all routers together to one upstream.
  unsigned MaxConnections = 0;
  /// Set if the upstreams are model engines.
  std::optional<EngineProfile> Engine;
  /// Time for which an upstream that has just started is cold.
  Milliseconds ColdTime{};
  /// Requests per second that a cold upstream tolerates from all routers
  /// together; 0 if it does not matter.
  double ColdRequestsPerSecond = 0;
};

/// @brief Limits on callers' requests and the stated capacity of the pool.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  Milliseconds HeaderTimeout{};
  Milliseconds IdleTimeout{};
  /// Capacity of all upstreams together; 0 if not stated.
  double TokensPerSecond = 0;
};

/// @brief A workspace and its credentials.
struct Workspace {
  WorkspaceId Name;
  std::vector<std::string> Keys;
  std::optional<unsigned> Priority;
  /// Regions in which its requests may be executed; empty for any.
  std::vector<RegionId> HomeRegions = {};
};

/// @brief The operator's configuration; immutable after `index`.
struct Configuration {
  ConfigurationVersion Version;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
  CallerLimits Limits;

  /// @brief Builds the look-up tables; call once after the lists are filled.
  void index();
  /// @brief Finds the route with the longest matching path prefix.
  /// @param Host host with or without port; compared case-insensitively
  /// @param Path path without query
  /// @return the route, or null if none matches
  const Route *match(std::string_view Host, std::string_view Path) const;
  /// @return the workspace with this API key, or null
  const Workspace *findWorkspaceByKey(std::string_view Key) const;
  /// @return the service with this name, or null
  const Service *findService(const ServiceId &Name) const;

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::unordered_map<std::string, std::size_t> WorkspaceByKey;
  std::unordered_map<ServiceId, std::size_t> ServiceByName;
};

} // namespace mallowglade::dataplane

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
/// @brief Version of the operator's configuration; only rises.
using ConfigurationVersion =
    StrongNumber<struct ConfigurationTag, std::uint64_t>;

/// @brief Part of a route's requests that goes to one service.
struct ServiceWeight {
  ServiceId Service;
  double Weight = 1;
};

/// @brief How the requests of one path prefix are handled.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// The answer is a stream of events.
  bool Streaming = false;
  /// The request may run more than once.
  bool Idempotent = false;
  /// A stream may go on at another upstream after its last event.
  bool Resumable = false;
  /// No credential is needed.
  bool Public = false;
  /// Requests name the parts of their prompt, which upstreams cache.
  bool PromptAffinity = false;
  Milliseconds Timeout{};
  /// Time to the answer, or to the first event, that callers expect.
  Milliseconds LatencyObjective{};
  /// Longest pause between events that callers expect.
  Milliseconds GapObjective{};
  /// 0 is the most urgent.
  unsigned Priority = 0;
  /// Most upstreams that one request may be sent to.
  unsigned MaxAttempts = 1;
  std::vector<ServiceWeight> Services;
};

/// @brief What is known about the model engines of a service.
struct EngineProfile {
  /// Requests decoded in one batch.
  unsigned Slots = 0;
  /// Tokens that running requests and cached parts may occupy together.
  double KvCapacityTokens = 0;
  /// Tokens in one stream event.
  double TokensPerEvent = 1;
  /// Upstreams can fetch cached prompt parts from each other.
  bool FetchesParts = false;
};

/// @brief A group of interchangeable upstreams.
struct Service {
  ServiceId Name;
  std::string HealthPath;
  /// Connections that one upstream accepts from all routers together.
  unsigned MaxConnections = 0;
  /// Set if the upstreams are model engines.
  std::optional<EngineProfile> Engine;
};

/// @brief Bounds on what callers send.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  Milliseconds HeaderTimeout{};
  Milliseconds IdleTimeout{};
  /// Tokens a second that all upstreams produce together; 0 if not stated.
  double TokensPerSecond = 0;
};

/// @brief A workspace and its credentials.
struct Workspace {
  WorkspaceId Name;
  std::vector<std::string> Keys;
  std::optional<unsigned> Priority;
};

/// @brief The operator's configuration; immutable once indexed.
struct Configuration {
  ConfigurationVersion Version;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
  CallerLimits Limits;

  /// @brief Builds the look-up tables; call once after filling the lists.
  void index();
  /// @brief Finds the route with the longest prefix of a path.
  /// @param Host host without port, any case
  /// @param Path path without query
  /// @return the route, or null
  const Route *match(std::string_view Host, std::string_view Path) const;
  /// @return the workspace that holds a key, or null
  const Workspace *workspaceOf(std::string_view Key) const;
  /// @return the service with a name, or null
  const Service *serviceOf(const ServiceId &Name) const;

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  std::unordered_map<std::string, std::size_t> WorkspaceByKey;
  std::unordered_map<ServiceId, std::size_t> ServiceByName;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/cold_upstreams.hpp>
#include <mallowglade/detail/dataplane/placement.hpp>
#include <mallowglade/detail/dataplane/router_retry_budget.hpp>

#include <map>
#include <optional>
#include <string>

namespace mallowglade::dataplane {

/// @brief Processor time that a router may use.
struct ProcessorLimits {
  /// Part of each core.
  double Share = 1;
  unsigned Cores = 1;
};

/// @brief Start-up settings of a data-plane router.
struct NodeSettings {
  std::string Name;
  ZoneId Zone;
  /// Region of each availability zone; empty if there is only one.
  std::map<ZoneId, RegionId> ZoneRegions;
  /// Listen address for callers' requests, `ip:port`.
  std::string CallerListen;
  /// Listen address for readiness probes, `ip:port`.
  std::string ReadinessListen;
  /// Listen address for look-ups of router addresses; empty if not served.
  std::string AddressesListen;
  /// Listen address for messages between routers, `ip:port`.
  std::string PeerListen;
  /// Listen address for metrics, `ip:port`.
  std::string MetricsListen;
  /// Address of the metadata store, `ip:port`.
  std::string StoreAddress;
  /// Maximum age of the state from the metadata store at which credentials are
  /// accepted.
  Milliseconds CredentialFreshness{};
  /// Time within which a change in the metadata store has to take effect.
  Milliseconds StateFreshness{};
  /// Time for which the metadata store usually keeps changes.
  std::chrono::seconds StoreHistory{20};
  /// Time after a restoration of the metadata store within which the operator
  /// writes again what was lost. Until then, or until a configuration is
  /// written, credentials are accepted for `CredentialFreshness` only.
  Milliseconds RestoredStoreHold{};
  /// Time between renewals of an upstream's registration.
  Milliseconds UpstreamHeartbeat{1'200};
  /// Time from the start of a graceful shutdown to the end of the process.
  std::chrono::seconds StopGrace{};
  /// True if answers to lookups name few routers, chosen by size, load and
  /// zone, instead of all.
  bool AddressesBySize = false;
  /// Maximum time for which callers may cache router addresses.
  std::chrono::seconds MaxAddressTtl{};
  RetryLimits Retries;
  PlacementSettings PlacementLimits;
  /// Set if upstreams may be cold.
  std::optional<ColdUpstreamLimits> ColdUpstreams;
  /// Time within which an evacuation of a zone has to take effect; set if zones
  /// may be evacuated.
  std::optional<Milliseconds> EvacuationTime;
  ProcessorLimits Processor;
  std::size_t MemoryBytes = 0;
  std::size_t Descriptors = 0;
};

/// @brief Parses and validates the settings.
/// @param Text JSON text
/// @param Patch JSON merge patch of the settings; may be empty
/// @return the settings, or the first error with the path of its key
/// @sa RFC 7396
Result<NodeSettings> parseNodeSettings(const std::string &Text,
                                       const std::string &Patch = {});

} // namespace mallowglade::dataplane

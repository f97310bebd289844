#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/placement.hpp>
#include <mallowglade/detail/dataplane/router_retry_budget.hpp>

#include <string>

namespace mallowglade::dataplane {

/// @brief Start-up settings of a data-plane router.
struct NodeSettings {
  std::string Name;
  ZoneId Zone;
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
  /// Maximum time for which callers may cache router addresses.
  std::chrono::seconds MaxAddressTtl{};
  RetryLimits Retries;
  PlacementSettings PlacementLimits;
  std::size_t MemoryBytes = 0;
  std::size_t Descriptors = 0;
};

/// @brief Parses and validates the settings.
/// @param Text JSON text
/// @return the settings, or the first error with the path of its key
Result<NodeSettings> parseNodeSettings(const std::string &Text);

} // namespace mallowglade::dataplane

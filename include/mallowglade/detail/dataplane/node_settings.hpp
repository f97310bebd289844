#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/placement.hpp>
#include <mallowglade/detail/dataplane/retry_allowance.hpp>

#include <string>

namespace mallowglade::dataplane {

/// @brief What a router of the data plane has to know when it starts.
struct NodeSettings {
  std::string Name;
  ZoneId Zone;
  /// Address for callers' requests, `ip:port`.
  std::string CallerListen;
  /// Address for questions about readiness, `ip:port`.
  std::string ReadinessListen;
  /// Address for questions about router addresses; empty if not served.
  std::string AddressesListen;
  /// Address for messages between routers, `ip:port`.
  std::string PeerListen;
  /// Address that serves the metrics, `ip:port`.
  std::string MetricsListen;
  /// Address of the metadata store, `ip:port`.
  std::string StoreAddress;
  /// Largest age of a reading of the store at which credentials are accepted.
  Milliseconds CredentialFreshness{};
  /// Time within which a change in the store has to take effect.
  Milliseconds StateFreshness{};
  /// Time from a planned stop to the end of the process.
  std::chrono::seconds StopGrace{};
  /// Longest time that callers keep an answer with addresses.
  std::chrono::seconds MaxAddressTtl{};
  RetryBounds Retries;
  PlacementSettings Placing;
  std::size_t MemoryBytes = 0;
  std::size_t Descriptors = 0;
};

/// @brief Parses and checks the settings.
/// @param Text JSON text
/// @return the settings, or the first error with the path of its key
Result<NodeSettings> parseNodeSettings(const std::string &Text);

} // namespace mallowglade::dataplane

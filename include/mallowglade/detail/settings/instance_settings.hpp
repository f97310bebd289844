#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/settings/json_reader.hpp>
#include <mallowglade/detail/settings/tree.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief Start-up configuration of a router, read from one JSON file.
struct InstanceSettings {
  /// Listen address for callers and operators, `ip:port`.
  std::string Listen;
  /// Address advertised to callers; defaults to `Listen`.
  std::string Advertise;
  /// Listen address for other routers, `ip:port`.
  std::string PeerListen;
  /// Address advertised to other routers; identifies this router.
  std::string PeerAdvertise;
  ZoneId Zone;
  std::string Region;
  /// Endpoints of the key-value service.
  std::vector<std::string> KeyValueEndpoints;
  /// Endpoint of the instance list.
  std::string InstanceListEndpoint;
  /// Peer addresses to contact when the platform services are down.
  std::vector<std::string> Seeds;
  /// Secret shared by all routers.
  std::string FleetKey;
  /// SHA-256 of the credential that may edit the platform branch, hexadecimal.
  std::string PlatformKeySha256;
  /// Maximum number of concurrent connections.
  std::uint32_t MaxConnections = 0;
  /// Maximum number of requests that are queued or running.
  std::uint32_t MaxRequests = 0;
  /// Maximum size of a request body in bytes.
  std::uint64_t MaxBodyBytes = 0;
  /// Timeout for reading the headers of a request.
  Milliseconds HeaderTimeout{};
  /// Retention time of completed responses.
  Milliseconds AnswerRetention{};
  /// Maximum memory for retained responses in bytes.
  std::uint64_t AnswerMemoryBytes = 0;
  /// Time for which callers may cache a list of addresses.
  std::chrono::seconds AddressTtl{};
  /// Maximum time that a planned stop waits for running requests.
  std::chrono::seconds DrainLimit{};
  /// Log level: debug, info, warning or error.
  std::string LogLevel;
  /// Log format: text or json.
  std::string LogFormat;
  /// Scheduling policy: `cell`, or the baselines `split` and `random`.
  std::string Policy;
  /// Tree used as version 0 until the key-value service holds one.
  SettingsTree SeedTree;
  /// The seed tree as JSON text; empty if none is given.
  std::string SeedTreeText;
};

/// @brief Parses and validates the instance settings.
/// @param Text JSON text
/// @param Keys receives a description of each key that is read, except for the
///   keys of the seed tree; may be null
/// @return the settings, or the first error with the path of its key
Result<InstanceSettings>
parseInstanceSettings(const std::string &Text,
                      std::vector<SettingsKey> *Keys = nullptr);

} // namespace mallowglade

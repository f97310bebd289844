#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/settings/json_reader.hpp>
#include <mallowglade/detail/settings/tree.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief What a router has to know when it starts; one JSON file.
struct InstanceSettings {
  /// Address for callers and operators, `ip:port`.
  std::string Listen;
  /// Address that callers are told; equals `Listen` unless set.
  std::string Advertise;
  /// Address for other routers, `ip:port`.
  std::string PeerListen;
  /// Address that other routers are told; identifies this router.
  std::string PeerAdvertise;
  ZoneId Zone;
  std::string Region;
  /// Endpoints of the key-value service.
  std::vector<std::string> KeyValueEndpoints;
  /// Endpoint of the instance list.
  std::string InstanceListEndpoint;
  /// Peer addresses to ask when the platform is down.
  std::vector<std::string> Seeds;
  /// Shared secret of the routers.
  std::string FleetKey;
  /// SHA-256 of the credential that may edit the platform branch, hexadecimal.
  std::string PlatformKeySha256;
  /// Most connections served at once.
  std::uint32_t MaxConnections = 0;
  /// Most requests queued or running at once.
  std::uint32_t MaxRequests = 0;
  /// Largest request body in bytes.
  std::uint64_t MaxBodyBytes = 0;
  /// Limit for reading a request's headers.
  Milliseconds HeaderTimeout{};
  /// How long answers are kept after they end.
  Milliseconds AnswerRetention{};
  /// Most memory for answers in bytes.
  std::uint64_t AnswerMemoryBytes = 0;
  /// Time callers may keep an address answer.
  std::chrono::seconds AddressTtl{};
  /// Longest time a planned stop waits for requests.
  std::chrono::seconds DrainLimit{};
  /// Log level: debug, info, warning or error.
  std::string LogLevel;
  /// Log format: text or json.
  std::string LogFormat;
  /// Scheduling policy: `cell`, or the baselines `split` and `random`.
  std::string Policy;
  /// Tree used until the key-value service holds one (version 0).
  SettingsTree SeedTree;
  /// The same tree as JSON text; empty if none is given.
  std::string SeedTreeText;
};

/// @brief Parses and checks the instance settings.
/// @param Text JSON text
/// @param Keys where the keys that are read are described, or null; those of
///   the seed tree are left out
/// @return the settings, or the first error with the path of its key
Result<InstanceSettings>
parseInstanceSettings(const std::string &Text,
                      std::vector<SettingsKey> *Keys = nullptr);

} // namespace mallowglade

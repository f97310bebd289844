#pragma once

#include <mallowglade/detail/dataplane/crash_history.hpp>
#include <mallowglade/detail/dataplane/fair_share.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief A reading of the store that other routers may rely on.
struct StateProof {
  /// Hash over configuration version and upstreams; equal for equal states.
  std::uint64_t Fingerprint = 0;
  /// Time from the start of the reading to the sending of the report.
  Milliseconds Age{};
  /// Newest sequence number received from each router before the sending; it
  /// lets the receiver date the proof on its own clock.
  std::map<RouterId, std::uint64_t> Heard;
};

/// @brief A router of the sender's zone, in a digest.
struct ZoneMember {
  RouterId Id;
  std::string CallerAddress;
  bool Ready = false;
};

/// @brief What a router tells the others several times a second.
struct PeerReport {
  RouterId Sender;
  /// Changes at each start of the process.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  /// Address that callers connect to.
  std::string CallerAddress;
  /// The routers of the zone if this is a digest: loads and usage are then
  /// the sums over them. Empty in a router's own report.
  std::vector<ZoneMember> Members;
  /// True while the router may be offered to callers.
  bool Ready = false;
  /// True while the router cannot read the metadata store.
  bool StoreLost = false;
  ConfigurationVersion Config;
  /// Sum of the routers' pace factors: one of the sender, or those of a zone.
  double PaceSum = 0;
  /// Set if the sender reads the store itself.
  std::optional<StateProof> Proof;
  LoadTable Loads;
  UsageTable Usage;
  CrashTable Crashes;
};

/// @brief Encodes a report as MessagePack.
std::string encodeReport(const PeerReport &Report);

/// @brief Decodes a report.
/// @param Datagram bytes as received
/// @return the report, or `invalid_message`
Result<PeerReport> decodeReport(std::string_view Datagram);

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/fair_share.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <string>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief What a router tells the others several times a second.
struct PeerReport {
  RouterId Sender;
  /// Changes at each start of the process.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Address that callers connect to.
  std::string CallerAddress;
  /// True while the router may be offered to callers.
  bool Ready = false;
  ConfigurationVersion Config;
  LoadTable Loads;
  UsageTable Usage;
};

/// @brief Encodes a report as MessagePack.
std::string encodeReport(const PeerReport &Report);

/// @brief Decodes a report.
/// @param Datagram bytes as received
/// @return the report, or `invalid_message`
Result<PeerReport> decodeReport(std::string_view Datagram);

} // namespace mallowglade::dataplane

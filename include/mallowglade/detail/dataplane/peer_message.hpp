#pragma once

#include <mallowglade/detail/dataplane/cold_upstreams.hpp>
#include <mallowglade/detail/dataplane/fair_share.hpp>
#include <mallowglade/detail/dataplane/prefix_holders.hpp>
#include <mallowglade/detail/dataplane/router_load.hpp>
#include <mallowglade/detail/dataplane/small_service_placement.hpp>
#include <mallowglade/detail/dataplane/upstream_limits.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>
#include <mallowglade/detail/dataplane/zone_evacuations.hpp>
#include <mallowglade/outcomes.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief Evidence that a state of the store was current at a given time; lets
///   routers that hold the same state skip reading the store.
struct StateProof {
  /// Hash over configuration version and upstreams; equal for equal states.
  std::uint64_t Fingerprint = 0;
  /// Time from the start of the read to sending the report.
  Milliseconds Age{};
  /// Latest sequence number received from each router before sending the
  /// report. The receiver looks up when it sent its own report of that number
  /// and so dates the proof on its own clock.
  std::map<RouterId, std::uint64_t> ReceivedSequences;
};

/// @brief Entry of a digest: a router of the sender's zone.
struct ZoneMember {
  RouterId Id;
  std::string CallerAddress;
  bool Ready = false;
  DemandTable Demand = {};
  RouterLoad Load = {};
};

/// @brief Periodic report of a router, or digest of a zone.
struct PeerReport {
  RouterId Sender;
  /// Random number drawn at each start of the process; tells a restart from an
  /// old sequence number.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  /// Address that callers connect to.
  std::string CallerAddress;
  /// In a digest, the routers of the zone; `WorkLimitFactorSum`, `Loads`,
  /// `Usage` and `Crashes` are then sums over them. Empty in the report of a
  /// single router.
  std::vector<ZoneMember> Members;
  /// True while the router may be advertised to callers.
  bool Ready = false;
  /// True while the router cannot read the metadata store.
  bool StoreUnavailable = false;
  ConfigurationVersion Config;
  /// Era of the store in which the sender's state was read.
  StoreEra Era;
  /// True if the sender's reads of this era do not prove that credentials are
  /// current; `Proof` then only confirms the state.
  bool ProofHeld = false;
  /// Upstreams that the sender holds back since the store was restored.
  std::set<UpstreamKey> Departed;
  /// Work limit factor of the sender, or in a digest the sum over the zone.
  double WorkLimitFactorSum = 0;
  /// Set if the sender itself has read the store recently.
  std::optional<StateProof> Proof;
  LoadTable Loads;
  UsageTable Usage;
  CrashReport Crashes;
  /// Limits that upstreams named; in a digest, the latest statements to routers
  /// of the zone.
  LimitTable Limits;
  /// Set by routers of a deployment whose zones may be evacuated.
  std::optional<EvacuationReport> Evacuated;
  /// What the sender has learned of cold upstreams; in a digest, the latest
  /// that routers of the zone have learned.
  ColdTable Cold;
  /// Demand of the sender; empty while no upstream names a limit.
  DemandTable Demand;
  /// Size and load of the sender. Unknown if the size is 0.
  RouterLoad Load;
  /// True if a digest carries the loads of its members; they change slowly, and
  /// traffic between zones is expensive.
  bool WithMemberLoads = false;
  /// Requests a second for services with fewer slots than there are routers; in
  /// a digest, sums over the zone.
  OfferedRates Offered;
  /// Where the sender, or in a digest the routers of its zone, have sent
  /// prefixes lately.
  std::vector<PrefixPlacement> Prefixes;
};

/// @brief Encodes a report as MessagePack: an array of fixed layout and, if any
///   is there, a map of named parts, which routers that do not know them skip.
std::string encodeReport(const PeerReport &Report);

/// @brief Decodes a report.
/// @return the report, or `invalid_message`
Result<PeerReport> decodeReport(std::string_view Datagram);

} // namespace mallowglade::dataplane

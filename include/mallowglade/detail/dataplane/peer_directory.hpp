#pragma once

#include <mallowglade/detail/dataplane/caller_addresses.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/peer_message.hpp>
#include <mallowglade/detail/dataplane/restoration_proof.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>

#include <map>
#include <string>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Outcome of processing a received report.
struct AcceptResult {
  /// False if the report was ignored, for example as a duplicate or because it
  /// is older than one accepted before.
  bool Accepted = false;
  /// True if a router became live or its readiness changed.
  bool Changed = false;
};

/// @brief Tracks the other routers by their registrations in the store and
///   their reports.
///
/// The routers of a zone send reports to each other. They are ranked by a hash
/// of their ids, so that all of them compute the same order. The first sends a
/// digest of the zone to the first two routers of each other zone, which
/// forward it within their zone; this limits traffic between zones. The second
/// router of a zone does the same as the first at a lower rate, as a backup in
/// case the first is disconnected.
class PeerDirectory {
public:
  /// @param Self this router
  PeerDirectory(RouterRecord Self, const Clock &Time)
      : Self(std::move(Self)), Time(Time) {}

  /// @brief Replaces the set of registered routers.
  /// @param Registrations routers registered in the store
  void setRegistered(const std::vector<RouterRecord> &Registrations);
  /// @brief Processes the report of a single router or the digest of a zone.
  AcceptResult accept(PeerReport Report);
  /// @return peer addresses of the other routers in this zone
  std::vector<std::string> zoneAddresses() const;
  /// @return peer addresses to send a digest to: the first two live and ready
  ///   routers of each other zone, or all routers of a zone that has none
  std::vector<std::string> digestAddresses() const;
  /// @return true if this router sends a digest along with a report
  /// @param Sequence sequence number of the report
  bool shouldSendDigest(std::uint64_t Sequence) const;
  /// @brief Tells whether to forward a digest received directly from its sender
  ///   to the other routers of this zone.
  ///
  /// A router that is not among the first two of its zone forwards it as well:
  /// it receives a digest only if the sender does not know the first two yet,
  /// and the zones would otherwise stay unknown to each other.
  /// @param Sequence sequence number of the digest
  bool shouldForwardDigest(std::uint64_t Sequence) const;
  /// @brief Merges this router's report and those of the live routers of its
  ///   zone into a digest.
  /// @param Own report of this router
  PeerReport makeDigest(PeerReport Own) const;
  /// @return addresses, for callers, of the other routers to advertise
  std::vector<std::string> callerAddresses() const;
  /// @return the other routers to advertise
  std::vector<RouterCandidate> callerRouters() const;
  /// @return sums over the reports of the live routers and the current digests
  PeerSums sums() const;
  /// @return latest sequence number received from each live router of the zone
  std::map<RouterId, std::uint64_t> receivedSequences() const;
  /// @return zero-based rank of this router among the live and ready routers of
  ///   its zone
  std::size_t zoneRank() const;
  /// @return zero-based rank of this router for reading the store among the
  ///   live and ready routers of its zone; routers that cannot read the store
  ///   rank last
  /// @param StoreUnavailable true if this router cannot read the store
  std::size_t pollingRank(bool StoreUnavailable) const;
  /// @return time between reports; it grows with the number of routers in the
  ///   zone, which bounds the number of reports that each of them receives
  Milliseconds reportPeriod() const;
  /// @return true if at least half of the other live routers accept callers, so
  ///   that they can take over those of this one
  bool othersAcceptCallers() const;
  /// @param Below only versions below this one count; 0: all count
  /// @return newest configuration version that a live router reports; 0 if none
  ConfigurationVersion newestConfiguration(ConfigurationVersion Below) const;
  /// @return what live routers report about an era of the metadata store
  PeerEraReports eraReports(StoreEra Era) const;
  /// @return true if a registered router was not heard from
  bool anyRegisteredUnheard() const;
  /// @return number of live routers, including this one
  std::size_t liveRouters() const;

private:
  /// Age at which the digest of a zone expires. The second router of a zone
  /// sends a digest about once a second, so this covers two of them.
  static constexpr Milliseconds DigestLifetime{2'500};

  struct Peer {
    RouterRecord Record;
    RouterKey Key{};
    PeerReport LastReport;
    TimePoint ReceivedAt{};
    /// Readiness according to the latest digest of its zone, if it is in
    /// another one.
    bool ReadyInDigest = false;
    DemandTable Demand;
    RouterLoad Load;
    bool Registered = false;
    /// When the registration was first read; unset while there is none.
    TimePoint RegisteredAt{};
  };
  struct Digest {
    PeerReport LastReport;
    TimePoint ReceivedAt{};
  };
  void countZonePeers();
  Milliseconds sinceReceived(TimePoint ReceivedAt) const;
  /// @return true if no live router of the fleet has a lower id
  bool isFirstOfFleet() const;
  bool inSameZone(const Peer &Router) const {
    return Router.Record.Zone == Self.Zone;
  }
  bool isLive(const Peer &Router) const;
  static RouterCandidate candidate(const Peer &Router) {
    return {Router.Record.CallerAddress, Router.Record.Zone, Router.Load};
  }
  bool isReady(const Peer &Router) const;
  /// @return true if the router has been silent for so long, while others were
  ///   heard, that callers must not be sent to it
  bool isSilent(const Peer &Router) const;
  /// @return number of live and ready routers of this zone whose last report
  ///   satisfies a predicate
  template <class Predicate>
  std::size_t countReadyZonePeers(Predicate Matches) const;
  /// @return the other routers among which limits of upstreams are divided
  std::vector<FleetMember> limitMembers() const;
  AcceptResult acceptRouterReport(PeerReport Report);
  AcceptResult acceptDigest(PeerReport Report);

  RouterRecord Self;
  const Clock &Time;
  std::map<RouterId, Peer> Peers;
  std::map<ZoneId, Digest> Digests;
  /// When the latest report came, and since when there was no gap between
  /// reports in which this router may have been stopped or cut off.
  TimePoint HeardAt{};
  TimePoint HearingSince{};
  /// Number of other routers of this zone; kept because `isLive` needs it.
  std::size_t ZonePeers = 0;
};

} // namespace mallowglade::dataplane

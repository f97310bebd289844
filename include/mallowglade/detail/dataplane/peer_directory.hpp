#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/peer_message.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>

#include <map>
#include <string>
#include <vector>

namespace mallowglade::dataplane {

/// @brief What a report told that was not known before.
struct Acceptance {
  /// False for a report that is older than one taken before.
  bool Fresh = false;
  /// True if a router appeared or its readiness changed.
  bool Changed = false;
};

/// @brief Knows the other routers from the store and from their reports.
///
/// The routers of a zone report to each other. The first of them, in an order
/// that all agree on, sends a digest of the zone to the first two routers of
/// each other zone, which hand it on within their zone, so that few bytes cross
/// zones. The second router of a zone does what the first does less often, in
/// case the first is cut off.
class PeerDirectory {
public:
  /// @param Self this router
  PeerDirectory(RouterRecord Self, const Clock &Time)
      : Self(std::move(Self)), Time(Time) {}

  /// @brief Takes the registrations of the store.
  void setRegistered(const std::vector<RouterRecord> &List);
  /// @brief Takes a router's own report or a digest.
  /// @return what it told
  Acceptance accept(PeerReport Report);
  /// @return addresses of the routers in this zone
  std::vector<std::string> zoneAddresses() const;
  /// @return addresses that a digest goes to: the first two routers of each
  ///   other zone, or all of a zone that has not been heard
  std::vector<std::string> digestAddresses() const;
  /// @return true if this router sends a digest with a report
  /// @param Sequence number of the report
  bool sendsDigest(std::uint64_t Sequence) const;
  /// @brief Tells whether a digest that came from its sender is handed on.
  ///
  /// A router that should not have got it hands it on as well: the sender does
  /// not know the first routers of this zone yet, and would not learn them.
  /// @param Sequence number of the digest
  bool handsOn(std::uint64_t Sequence) const;
  /// @brief Turns a router's own report into a digest of its zone.
  PeerReport digest(PeerReport Own) const;
  /// @return addresses of the routers that callers may be offered
  std::vector<std::string> callerAddresses() const;
  /// @return loads and usage of the routers heard lately, added up
  PeerSums sums() const;
  /// @return newest sequence number of each router of the zone
  std::map<RouterId, std::uint64_t> heard() const;
  /// @return rank of this router among the live ones of its zone; 0 is the
  ///   first
  std::size_t zoneRank() const;
  /// @return rank of this router among the live ones of its zone for reading
  ///   the store; those that have lost it come last
  /// @param StoreLost true if this router has lost it
  std::size_t readerRank(bool StoreLost) const;
  /// @return time between reports: it grows with the number of receivers, so
  ///   that the number of messages that a router handles does not
  Milliseconds reportPeriod() const;
  /// @return number of live routers, this one included
  std::size_t liveRouters() const;

private:
  struct Peer {
    RouterRecord Record;
    PeerReport Last;
    TimePoint HeardAt{};
    /// Readiness as the newest digest of another zone told it.
    bool ReadyByDigest = false;
    bool Registered = false;
  };
  struct Digest {
    PeerReport Last;
    TimePoint HeardAt{};
  };
  bool sameZone(const Peer &Of) const { return Of.Record.Zone == Self.Zone; }
  bool live(const Peer &Of) const;
  bool ready(const Peer &Of) const;
  template <class Precedes> std::size_t rankBy(Precedes Before) const;
  Acceptance acceptOwn(PeerReport Report);
  Acceptance acceptDigest(PeerReport Report);

  RouterRecord Self;
  const Clock &Time;
  std::map<RouterId, Peer> Peers;
  std::map<ZoneId, Digest> Digests;
};

} // namespace mallowglade::dataplane

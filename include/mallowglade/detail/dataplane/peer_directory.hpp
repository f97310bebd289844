#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/peer_message.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>

#include <map>
#include <string>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Knows the other routers from the store and from their reports.
class PeerDirectory {
public:
  /// @param Self id of this router
  PeerDirectory(RouterId Self, const Clock &Time)
      : Self(std::move(Self)), Time(Time) {}

  /// @brief Takes the registrations of the store.
  void setRegistered(const std::vector<RouterRecord> &List);
  /// @brief Takes a report.
  /// @return true if the sender's readiness changed
  bool accept(PeerReport Report);
  /// @return addresses that reports are sent to
  std::vector<std::string> peerAddresses() const;
  /// @return addresses of the routers that callers may be offered
  std::vector<std::string> callerAddresses() const;
  /// @return loads and usage of the routers heard lately, added up
  PeerSums sums() const;
  /// @return newest sequence number of each router heard lately
  std::map<RouterId, std::uint64_t> heard() const;
  /// @return rank of this router among the live ones in an order that all
  ///   routers agree on; 0 is the first
  std::size_t rank() const;
  /// @return time between reports: it grows with the fleet, so that the
  ///   number of messages that a router handles does not
  Milliseconds reportPeriod() const;
  /// @return number of live routers, this one included
  std::size_t liveRouters() const;

private:
  struct Peer {
    RouterRecord Record;
    PeerReport Last;
    TimePoint HeardAt{};
    bool Registered = false;
  };
  bool live(const Peer &Of) const;

  RouterId Self;
  const Clock &Time;
  std::map<RouterId, Peer> Peers;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>

#include <set>
#include <vector>

namespace mallowglade {

/// @brief Counts the routers of the fleet, whether reachable or not.
///
/// The count limits how much each side of a partition may use: a cell that
/// reaches k of n routers uses k/n of each replica. A router counts while it is
/// reachable, registered in the key-value service, or on the instance list. A
/// registration no longer counts after the router was removed from the instance
/// list, or after it announced leaving and then stopped responding. An expired
/// registration alone does not exclude a router on the instance list: the
/// router may be cut off from the key-value service and still serve requests,
/// and counting it keeps the sum of both sides within the limits of the
/// replicas.
class RegisteredRouters {
public:
  /// @brief Replaces the registrations; not to be called while the key-value
  ///   service is unavailable, so that the last known ones remain.
  void setRegistrations(std::set<RouterId> Routers);
  /// @brief Counts reachable members as registered until the registrations are
  ///   read again, because they may have joined while the key-value service was
  ///   unavailable.
  void addReachable(const std::vector<RouterId> &Routers);
  /// @brief Replaces the routers on the instance list that are not leaving.
  void setListed(std::set<RouterId> Routers);
  /// @param Reachable members that are not dead, including this router
  /// @param Departed dead members that had announced leaving
  /// @return number of routers that count
  std::size_t count(const std::vector<RouterId> &Reachable,
                    const std::set<RouterId> &Departed) const;
  /// @return registered and listed routers, as seeds of the failure detector
  std::set<RouterId> seeds() const;

private:
  bool isCounted(const RouterId &Id) const;

  std::set<RouterId> Registered;
  std::set<RouterId> Listed;
  /// Registered routers that have been removed from the instance list.
  std::set<RouterId> Delisted;
};

} // namespace mallowglade

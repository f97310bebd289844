#pragma once

#include <mallowglade/core.hpp>

#include <set>
#include <vector>

namespace mallowglade {

/// @brief Counts the routers that belong to the fleet, heard or not.
///
/// The count is the n of the partition rule: a cell that hears k of n routers
/// uses k/n of each replica. A router counts while it is heard, registered in
/// the key-value service, or listed as a live instance. A registration does
/// not count once the instance list has dropped the router, or once the
/// router has announced that it is leaving and then gone silent. A lapsed
/// registration alone does not remove a listed router: it may be cut off from
/// the key-value service and still serve, and counting it keeps both sides
/// together within the replicas' limits.
class RegisteredRouters {
public:
  /// @brief Replaces the registrations; an outage keeps the last known ones.
  void setRegistrations(std::set<RouterId> Routers);
  /// @brief Takes members that answer as registered until the registrations
  ///   are read again: they may have joined while those could not be read.
  void noteHeard(const std::vector<RouterId> &Routers);
  /// @brief Replaces the routers of the instance list that are not leaving.
  void setListed(std::set<RouterId> Routers);
  /// @brief Counts the routers.
  /// @param Heard members that answer, this router included
  /// @param Left members that announced leaving and went silent
  std::size_t count(const std::vector<RouterId> &Heard,
                    const std::set<RouterId> &Left) const;
  /// @return registered and listed routers, to be probed
  std::set<RouterId> seeds() const;

private:
  bool counts(const RouterId &Id) const;

  std::set<RouterId> Registered;
  std::set<RouterId> Listed;
  /// Routers that were listed earlier and are not any more.
  std::set<RouterId> Dropped;
};

} // namespace mallowglade

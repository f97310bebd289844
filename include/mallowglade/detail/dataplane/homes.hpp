#pragma once

#include <mallowglade/detail/dataplane/configuration.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Regions in which a request may be executed.
///
/// Handles data that may not leave its regions: placement keeps to them however
/// busy their upstreams are.
class Homes {
public:
  /// @brief Any region.
  Homes() = default;
  /// @brief The regions that the route and the workspace both allow.
  /// @param Caller null for a request without a workspace
  Homes(const Route &Matched, const Workspace *Caller);

  /// @brief Keeps the regions that a list names; an empty list names all.
  void restrictTo(const std::vector<RegionId> &Named);
  /// @return true if some regions are excluded
  bool restricts() const { return Allowed.has_value(); }
  /// @param ZoneRegions a zone that is not in it is in no region
  bool allow(const ZoneId &Zone,
             const std::map<ZoneId, RegionId> &ZoneRegions) const;

private:
  std::optional<std::set<RegionId>> Allowed;
};

} // namespace mallowglade::dataplane

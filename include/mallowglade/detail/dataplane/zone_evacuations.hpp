#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>

#include <map>
#include <set>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Evacuated zones as one router knows them.
struct EvacuationReport {
  /// Position of the store that `Zones` reflects; revision 0 if none is known.
  StorePosition ReadAt;
  /// Zones that the store lists as evacuated.
  std::set<ZoneId> Zones;
  /// Zones that were evacuated before the store came back from a copy, which
  /// does not list them.
  std::set<ZoneId> Held;

  /// Bounds on what a report may name.
  static constexpr std::size_t MaxZones = 64;
  static constexpr std::size_t MaxZoneBytes = 256;
};

/// @brief What a read or a report has changed.
struct EvacuationChange {
  std::set<ZoneId> Evacuated;
  std::set<ZoneId> TakenBack;

  bool any() const { return !Evacuated.empty() || !TakenBack.empty(); }
};

/// @brief Decides which zones are evacuated, from reads of the metadata store
///   and reports of other routers.
///
/// Handles an operator who empties a zone while its callers stay, also where a
/// router reaches the store only through others, or where the store is down or
/// has lost the evacuation. The newest position of the store wins. Reads are
/// linearizable: one that was started after a report arrived and reflects an
/// earlier position shows that the report was wrong.
class ZoneEvacuations {
public:
  /// @brief Records a read of the store.
  /// @param Read `Held` is ignored
  /// @param Start when the read was started
  /// @param MayLackWrites true while the store may have lost what the operator
  ///   wrote before it came back from a copy
  EvacuationChange recordRead(const EvacuationReport &Read, TimePoint Start,
                              bool MayLackWrites);
  /// @brief Records what another router reports.
  /// @param MayLackWrites the same, according to that router
  EvacuationChange recordReport(const EvacuationReport &Reported,
                                bool MayLackWrites, TimePoint Now);
  /// @return zones whose upstreams get no new requests
  const std::set<ZoneId> &inForce() const { return InForce; }
  /// @return what this router reports to others
  const EvacuationReport &report() const { return Known; }

private:
  /// @brief Replaces the zones that the store lists.
  void replace(const EvacuationReport &Next);
  EvacuationChange updateInForce();

  EvacuationReport Known;
  std::set<ZoneId> InForce;
  /// When a report last replaced what was read.
  TimePoint AdoptedAt{};
  /// Reported position that a read refuted; such a position, and later ones,
  /// count only once they are read. Revision 0 if there is none.
  StorePosition Refuted;
  /// True once the store is known to lack nothing in the era of `Known`.
  bool Complete = false;
};

/// @brief Removes zones that the deployment does not have.
/// @param Regions region of each zone; if empty, the zones are those of the
///   upstreams
/// @return number of zones removed
std::size_t removeUnknownZones(std::set<ZoneId> &Zones,
                               const std::map<ZoneId, RegionId> &Regions,
                               const std::vector<UpstreamRecord> &Upstreams);

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade {

/// @brief What the fairness bound depends on, for all workspaces.
struct BoundTerms {
  /// Cost of the largest request in service units.
  double LargestRequest = 0;
  /// Service units per second of one slot.
  double SlotRate = 0;
  /// Age of the service counters at the cell.
  Milliseconds Staleness{};
};

/// @brief One workspace's part of the fairness bound.
/// @param Terms values for all workspaces
/// @param Slots most slots the workspace may hold at once
/// @param Weight its share
/// @return service units per share
double boundPart(const BoundTerms &Terms, double Slots, Share Weight);

} // namespace mallowglade

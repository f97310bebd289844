#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade {

/// @brief Inputs of the fairness bound that are common to all workspaces.
struct BoundInputs {
  /// Cost of the largest request in service units.
  double LargestRequest = 0;
  /// Service units per second that one slot delivers.
  double SlotRate = 0;
  /// Maximum age of the service counters at the cell.
  Milliseconds Staleness{};
};

/// @brief Contribution of one workspace to the fairness bound.
///
/// The bound for a pair of workspaces is the sum of their contributions.
/// @param Inputs values for all workspaces
/// @param Slots maximum number of slots that the workspace may use
/// @param Weight share of the workspace
/// @return service units divided by the share
double workspaceBound(const BoundInputs &Inputs, double Slots, Share Weight);

} // namespace mallowglade

#include <mallowglade/detail/scheduling/fairness_bound.hpp>

namespace mallowglade {

double workspaceBound(const BoundInputs &Inputs, double Slots, Share Weight) {
  const std::chrono::duration<double> Staleness = Inputs.Staleness;
  const double Estimated = (Slots + 1) * Inputs.LargestRequest;
  const double Unreported = Staleness.count() * Inputs.SlotRate * Slots;
  return (Estimated + Unreported) / Weight.Value;
}

} // namespace mallowglade

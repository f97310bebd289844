#include <mallowglade/detail/scheduling/fairness_bound.hpp>

namespace mallowglade {

double boundPart(const BoundTerms &Terms, double Slots, Share Weight) {
  const std::chrono::duration<double> Staleness = Terms.Staleness;
  const double Estimated = (Slots + 1) * Terms.LargestRequest;
  const double Unreported = Staleness.count() * Terms.SlotRate * Slots;
  return (Estimated + Unreported) / Weight.Value;
}

} // namespace mallowglade

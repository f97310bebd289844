#pragma once

#include <algorithm>
#include <cstdint>

namespace mallowglade {

/// @brief Virtual time of one workspace: service divided by its share, lifted
/// whenever the workspace becomes backlogged.
///
/// A correction to a grant made before the latest lift has only the effect
/// that it would have had if the final cost had been known at the lift. A late
/// refund thus gives no credit for idling, and late cost no penalty for having
/// used idle capacity.
class VirtualTime {
public:
  /// @return virtual time in service units per share
  double value() const { return std::max(BeforeLift, LiftLevel) + SinceLift; }
  /// @return number of lifts; stored with a grant for later corrections
  std::uint32_t lifts() const { return Lifts; }
  /// @brief Raises the virtual time to at least a level; called when the
  /// workspace becomes backlogged.
  void lift(double NewLevel) {
    BeforeLift = value();
    LiftLevel = NewLevel;
    SinceLift = 0;
    ++Lifts;
  }
  /// @brief Adds cost, or removes it if negative.
  /// @param Amount cost in service units per share
  /// @param LiftsAtGrant value of lifts() when the grant was made
  void charge(double Amount, std::uint32_t LiftsAtGrant) {
    (LiftsAtGrant == Lifts ? SinceLift : BeforeLift) += Amount;
  }

private:
  double BeforeLift = 0;
  double LiftLevel = 0;
  double SinceLift = 0;
  std::uint32_t Lifts = 0;
};

} // namespace mallowglade

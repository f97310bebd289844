#pragma once

#include <algorithm>
#include <cstdint>

namespace mallowglade {

/// @brief Virtual time of one workspace: weighted service with lifts.
///
/// Grants made before the latest lift change the time only as far as they
/// would have if their final cost had been known at the lift. So neither a
/// late refund turns into credit for idling, nor late cost into a penalty for
/// having used idle capacity.
class VirtualTime {
public:
  /// @return virtual time in service units per share
  double value() const { return std::max(Base, Level) + Since; }
  /// @return number of lifts; a grant remembers it for later corrections
  std::uint32_t lifts() const { return Lifts; }
  /// @brief Lifts to a level when the workspace becomes backlogged.
  void lift(double To) {
    Base = value();
    Level = To;
    Since = 0;
    ++Lifts;
  }
  /// @brief Adds cost, or removes it if negative.
  /// @param Amount cost in service units per share
  /// @param LiftsAtGrant value of lifts() when the grant was made
  void charge(double Amount, std::uint32_t LiftsAtGrant) {
    (LiftsAtGrant == Lifts ? Since : Base) += Amount;
  }

private:
  double Base = 0;
  double Level = 0;
  double Since = 0;
  std::uint32_t Lifts = 0;
};

} // namespace mallowglade

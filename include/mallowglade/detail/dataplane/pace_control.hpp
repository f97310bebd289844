#pragma once

#include <algorithm>

namespace mallowglade::dataplane {

/// @brief Adapts the work given to engines to the pace that callers see.
///
/// Load it answers: engines that are slower than their stated capacity, or
/// requests that take more of them than estimated. Additive increase and
/// multiplicative decrease on whether first events were on time; it settles
/// where about one in eight is late. All routers use the mean of their
/// factors, so that no workspace depends on the router that it uses.
class PaceControl {
public:
  /// @brief Takes the outcome of one request.
  /// @param OnTime true if its first event met the latency objective
  void sample(bool OnTime) {
    if (OnTime)
      Own = std::min(Most, Own + Increase);
    else
      Own = std::max(Least, Own * Decrease);
  }
  /// @brief Takes the factors of the other routers.
  /// @param Sum sum of their own factors
  /// @param Count number of these routers
  void setPeers(double Sum, double Count) {
    Fleet = (Sum + Own) / (Count + 1);
    // A router that sees few requests follows the others.
    Own += (Fleet - Own) * Pull;
  }
  /// @return factor that this router's own requests suggest
  double own() const { return Own; }
  /// @return part of the work limit to use
  double factor() const { return Fleet; }

private:
  static constexpr double Most = 1;
  /// Keeps enough work flowing to measure the pace.
  static constexpr double Least = 0.35;
  static constexpr double Increase = 0.003;
  static constexpr double Decrease = 0.975;
  /// Part of the difference to the mean that is made up with each report.
  static constexpr double Pull = 0.2;

  double Own = Most;
  double Fleet = Most;
};

} // namespace mallowglade::dataplane

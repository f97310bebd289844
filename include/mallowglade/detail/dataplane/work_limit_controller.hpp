#pragma once

#include <algorithm>

namespace mallowglade::dataplane {

/// @brief AIMD controller that scales the work limit of engines by the
///   latency that callers see.
///
/// Handles engines that are slower than their stated capacity and requests
/// that need more work than estimated. The factor increases additively with
/// each first event that meets its latency objective and decreases
/// multiplicatively with each late one; it settles where about one in eight is
/// late. All routers apply the mean of their factors, so that the service of a
/// workspace does not depend on the router that it uses.
class WorkLimitController {
public:
  /// @brief Records the outcome of one request.
  /// @param OnTime true if its first event met the latency objective
  void sample(bool OnTime) {
    if (OnTime)
      OwnFactor = std::min(MaxFactor, OwnFactor + AdditiveIncrease);
    else
      OwnFactor = std::max(MinFactor, OwnFactor * MultiplicativeDecrease);
  }
  /// @brief Updates the mean from the factors of the other routers.
  /// @param Sum sum of their factors
  /// @param Count number of other routers
  void setPeers(double Sum, double Count) {
    MeanFactor = (Sum + OwnFactor) / (Count + 1);
    // Converges to the mean, also if this router sees few requests itself.
    OwnFactor += (MeanFactor - OwnFactor) * ConvergenceRate;
  }
  /// @return factor derived from the requests of this router
  double own() const { return OwnFactor; }
  /// @return factor to apply to the work limit
  double factor() const { return MeanFactor; }

private:
  static constexpr double MaxFactor = 1;
  /// Keeps enough requests flowing to measure latencies.
  static constexpr double MinFactor = 0.35;
  static constexpr double AdditiveIncrease = 0.003;
  static constexpr double MultiplicativeDecrease = 0.975;
  /// Fraction of the difference to the mean that is removed with each report.
  static constexpr double ConvergenceRate = 0.2;

  double OwnFactor = MaxFactor;
  double MeanFactor = MaxFactor;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>

#include <unordered_map>

namespace mallowglade::dataplane {

/// @brief Limits on retries, summed over all routers.
struct RetryLimits {
  /// Retries allowed per request.
  double Ratio = 0;
  /// Retries allowed in each window in addition to the ratio, by all routers
  /// together.
  double Slack = 0;
  std::chrono::seconds Window{1};
};

/// @brief This router's part of the fleet-wide retry budget of each service.
///
/// The budget of a router grows with the requests that it received itself, so
/// that all routers together stay within the limits without coordination.
class RouterRetryBudget {
public:
  RouterRetryBudget(RetryLimits Limits, const Clock &Time)
      : Limits(Limits), Time(Time) {}

  /// @brief Sets the number of routers that share the slack.
  void setRouters(std::size_t Count);
  /// @brief Counts a request of a caller for a service.
  void recordRequest(const ServiceId &Name);
  /// @brief Takes one retry from the budget.
  /// @return false if the budget is used up
  bool tryTake(const ServiceId &Name);

private:
  /// Token bucket of one service.
  struct Bucket {
    double Tokens = 0;
    TimePoint RefilledAt{};
  };
  Bucket &refill(const ServiceId &Name);
  double routerSlack() const;

  RetryLimits Limits;
  const Clock &Time;
  std::size_t RouterCount = 1;
  std::unordered_map<ServiceId, Bucket> Buckets;
};

} // namespace mallowglade::dataplane

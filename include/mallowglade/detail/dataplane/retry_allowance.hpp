#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>

#include <unordered_map>

namespace mallowglade::dataplane {

/// @brief Bounds on repeated sends over the whole fleet.
struct RetryBounds {
  /// Repeats allowed for each request.
  double Ratio = 0;
  /// Repeats allowed beyond the ratio in each window, by all routers.
  double Slack = 0;
  std::chrono::seconds Window{1};
};

/// @brief This router's part of the fleet's retry budget, by service.
///
/// Each router spends in proportion to the requests that it received itself,
/// so that the sum over all routers stays within the bounds without messages.
class RetryAllowance {
public:
  RetryAllowance(RetryBounds Bounds, const Clock &Time)
      : Bounds(Bounds), Time(Time) {}

  /// @brief Sets the number of routers that share the slack.
  void setRouters(std::size_t Count);
  /// @brief Counts a request of a caller for a service.
  void request(const ServiceId &For);
  /// @brief Takes one repeat.
  /// @return false if the budget is used up
  bool take(const ServiceId &For);

private:
  struct Account {
    double Tokens = 0;
    TimePoint Refilled{};
  };
  Account &refilled(const ServiceId &For);
  double slackShare() const;

  RetryBounds Bounds;
  const Clock &Time;
  std::size_t Routers = 1;
  std::unordered_map<ServiceId, Account> Accounts;
};

} // namespace mallowglade::dataplane

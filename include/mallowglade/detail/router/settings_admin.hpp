#pragma once

#include <mallowglade/detail/router/tree_settings.hpp>
#include <mallowglade/outcomes.hpp>

#include <mutex>

namespace mallowglade {

/// @brief Limits how often something happens: a token bucket.
class CallBudget {
public:
  /// @param Burst most calls at once
  /// @param Refill time in which one call is added
  CallBudget(double Burst, Milliseconds Refill);
  /// @brief Takes one call if the budget has one left.
  bool take(TimePoint Now);

private:
  double Burst;
  Milliseconds Refill;
  double Left;
  TimePoint Last;
};

/// @brief Operators' calls on the settings tree and its audit trail.
class SettingsAdmin final : public std::enable_shared_from_this<SettingsAdmin> {
public:
  /// @param Context what the router's services share
  /// @param Settings settings service
  SettingsAdmin(RouterContext Context,
                std::shared_ptr<TreeSettingsService> Settings);
  /// @brief Adds the calls under `/admin/settings`.
  void addRoutes(AdminRoutes &Routes);

private:
  AdminReply show(const AdminRequest &Request);
  AdminReply change(const AdminRequest &Request);
  AdminReply showLog(const AdminRequest &Request);
  AdminReply listBranches(const OperatorIdentity &Operator);
  Result<std::vector<KeyValue>> readSegments(std::uint64_t Next);
  std::string newId();

  RouterContext Context;
  std::shared_ptr<TreeSettingsService> Settings;
  std::mutex Mutex;
  SeededRandom Random;
  /// Audit writes for unknown credentials; a flood of them must not use up
  /// the key-value service.
  CallBudget UnknownCredentials;
};

/// @brief Checks an operator's credential.
/// @return the operator, or `request.unauthenticated`
Result<OperatorIdentity> authenticate(const RouterContext &Context,
                                      const AdminRequest &Request);
/// @brief Forms the reply to a failed call.
AdminReply problemReply(const Error &Reason, Verdict Outcome = Verdict::NotRun);

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/router/context.hpp>

#include <functional>
#include <memory>
#include <set>

namespace mallowglade {

/// @brief Keeps this router registered and reads who else is, from the
///   key-value service and the instance list.
///
/// Both are called on the blocking pool, one call of each kind at a time, and
/// may be down for long: the last known answers stay in force.
class RouterRegistration
    : public std::enable_shared_from_this<RouterRegistration> {
public:
  /// @brief Receives the ids of routers, on the control thread.
  using Listener = std::function<void(std::set<RouterId>)>;

  /// @param Context what the router's services share
  /// @param Random source of jitter; used on the control thread only
  RouterRegistration(RouterContext Context, RandomSource &Random);

  /// @brief Starts to register and to read.
  /// @param Registered receives the routers with a registration
  /// @param Listed receives the live routers of the instance list
  void start(Listener Registered, Listener Listed);
  /// @brief Sets the size of the fleet, which spaces the reads.
  void setFleetSize(std::size_t Routers) { FleetSize = Routers; }
  /// @brief Reads the registrations once those of lost routers have lapsed.
  void readAfterLoss();
  /// @return true while the last renewal of the registration succeeded
  bool registered() const { return Registered; }

private:
  struct Renewal {
    LeaseId Lease;
    bool Succeeded = false;
  };

  void renew();
  void onRenewed(const Renewal &Outcome);
  Renewal renewBlocking(LeaseId Lease);
  void readRegistrations(bool Again);
  void scheduleRead();
  void readInstances();
  Milliseconds jittered(Milliseconds Span);
  std::string registrationValue() const;

  RouterContext Context;
  RandomSource &Random;
  Listener OnRegistered;
  Listener OnListed;
  LeaseId Held;
  std::size_t FleetSize = 1;
  bool Registered = false;
  bool EverRegistered = false;
  bool LossReadPlanned = false;
};

} // namespace mallowglade

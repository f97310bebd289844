#pragma once

#include <mallowglade/kernel.hpp>
#include <mallowglade/platform.hpp>
#include <mallowglade/settings.hpp>
#include <mallowglade/telemetry.hpp>
#include <mallowglade/transport.hpp>

#include <memory>
#include <string>

namespace mallowglade {

/// @brief Names under which the services of a router are registered.
namespace service_name {
inline constexpr const char *Dispatcher = "dispatcher";
inline constexpr const char *Claims = "claims";
inline constexpr const char *Upstreams = "upstreams";
inline constexpr const char *Settings = "settings";
inline constexpr const char *Members = "members";
inline constexpr const char *Peers = "peers";
inline constexpr const char *Admin = "admin";
inline constexpr const char *Quarantine = "quarantine";
inline constexpr const char *SettingsVersions = "settings_versions";
} // namespace service_name

/// @brief What every service of a router may use.
struct RouterContext {
  const InstanceSettings &Settings;
  const Clock &Time;
  Logger &Log;
  Metrics &Measures;
  ControlThread &Control;
  BlockingPool &Blocking;
  KeyValueStore &Store;
  InstanceList &Instances;
  ServiceRegistry &Services;
  /// Start time of this process.
  Incarnation Start;
};

/// @brief A part of the router with a life cycle.
class RouterPart {
public:
  virtual ~RouterPart() = default;
  /// @brief Starts work; all services are registered by then.
  virtual void start() = 0;
  /// @brief Begins a planned stop; called on the control thread.
  virtual void drain() {}
  /// @brief Stops; no callbacks run afterwards.
  virtual void stop() {}
};

} // namespace mallowglade

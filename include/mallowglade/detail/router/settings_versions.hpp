#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade {

/// @brief Versions of the settings, carried along by membership messages.
class SettingsVersions {
public:
  virtual ~SettingsVersions() = default;
  /// @return version in force; 0 before any is known; safe from any thread
  virtual SettingsVersion version() const = 0;
  /// @brief Learns that a router has a version in force; control thread only.
  /// @param Version version in force at the other router
  /// @param Peer the other router
  virtual void noticeVersion(SettingsVersion Version, const RouterId &Peer) = 0;
};

} // namespace mallowglade

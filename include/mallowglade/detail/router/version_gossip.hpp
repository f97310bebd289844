#pragma once

#include <mallowglade/core.hpp>

#include <functional>

namespace mallowglade {

/// @brief Carries the settings version on membership messages; control thread
///   only.
class VersionGossip {
public:
  /// @brief Receives the version of a peer, once per membership message.
  using Listener = std::function<void(const RouterId &, SettingsVersion)>;

  virtual ~VersionGossip() = default;
  /// @brief Sets where the version in force on this router is read from.
  /// @param Provider returns the version; called before each message
  virtual void provideVersion(std::function<SettingsVersion()> Provider) = 0;
  /// @brief Registers a listener for the versions of peers.
  virtual void onPeerVersion(Listener Received) = 0;
};

} // namespace mallowglade

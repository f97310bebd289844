#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/settings.hpp>

#include <memory>

namespace mallowglade {

/// @brief A router process: builds the services and runs them.
class RouterApp {
public:
  /// @param Settings instance settings
  explicit RouterApp(InstanceSettings Settings);
  ~RouterApp();
  RouterApp(const RouterApp &) = delete;
  RouterApp &operator=(const RouterApp &) = delete;

  /// @brief Starts all services.
  /// @return nothing, or the reason why the router cannot start
  Result<Success> start();
  /// @brief Begins a planned stop; a second call ends it at once.
  void requestStop();
  /// @brief Waits until the planned stop has ended.
  void waitUntilStopped();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mallowglade

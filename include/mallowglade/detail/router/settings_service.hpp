#pragma once

#include <mallowglade/settings.hpp>

#include <functional>
#include <memory>

namespace mallowglade {

/// @brief The settings in force on this router.
class SettingsService {
public:
  virtual ~SettingsService() = default;
  /// @return the tree in force; safe to call from any thread
  virtual std::shared_ptr<const SettingsTree> current() const = 0;
  /// @return true once the router knows settings it may serve with
  virtual bool ready() const = 0;
  /// @brief Registers a callback for a new tree, called on the control thread.
  virtual void onChange(std::function<void()> Changed) = 0;
};

} // namespace mallowglade

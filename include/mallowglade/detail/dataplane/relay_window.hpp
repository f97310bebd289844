#pragma once

#include <mallowglade/core.hpp>

#include <cstddef>

namespace mallowglade::dataplane {

/// @brief Decides how far a response is read ahead of its caller.
///
/// Handles callers that read slowly, or stop and read on after some seconds. A
/// response that is not read from its upstream for some seconds is cut off
/// there, which would end a sound stream and look like a crash. So the upstream
/// waits for `MaxPause` at most; then the window opens by one step more. What
/// is held for all callers together is bounded elsewhere (`UnsentBudget`).
class RelayWindow {
public:
  /// @return true if the upstream should not be read for now
  /// @param Unsent bytes that the caller has not taken
  bool isFull(std::size_t Unsent) const { return Unsent > Limit; }
  /// @brief Records that the upstream has waited for `MaxPause`.
  void widen() { Limit += Step; }
  /// @brief Records that the caller has caught up.
  void reset() { Limit = Step; }

  static constexpr std::size_t Step = 131'072;
  static constexpr Milliseconds MaxPause{1'000};

private:
  std::size_t Limit = Step;
};

} // namespace mallowglade::dataplane

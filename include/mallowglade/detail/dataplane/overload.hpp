#pragma once

#include <mallowglade/core.hpp>

namespace mallowglade::dataplane {

/// @brief Decides what a router that lacks processor time still takes on.
///
/// Handles a workspace whose callers all use one router. The scheduling delay
/// of a periodic task shows how late the event loop is. Reading and refusing
/// requests takes processor time, too, so an overloaded router does not read
/// most of them: it pauses accepting connections and is not advertised
/// to callers. Of the streams that arrive on open connections it serves those
/// of the least served workspaces, so that what it can do goes where the fleet
/// has done least.
class OverloadDetector {
public:
  /// @brief Records one measurement.
  /// @param Delay time from when the task was due to when it ran
  void sample(Milliseconds Delay, TimePoint Now);
  /// @return true while the event loop is late
  bool overloaded() const { return Overloaded; }
  /// @param LeastServed true if no backlogged workspace is served clearly less
  ///   than that of the stream
  /// @return true if a new stream should be refused
  bool refusesStream(bool LeastServed) const;
  /// @return true if new connections should be accepted; also true now and then
  ///   during an overload, so that the router stays reachable
  bool acceptsConnections() const { return AcceptsConnections; }
  /// @return true while the router should not be advertised; outlasts
  ///   `overloaded`, so that callers do not all return at once
  bool withheldFromCallers(TimePoint Now) const {
    return Now < NotAdvertisedUntil;
  }

private:
  double SmoothedDelayMs = 0;
  TimePoint NotAdvertisedUntil{};
  TimePoint AcceptPauseBegan{};
  bool Overloaded = false;
  bool AcceptsConnections = true;
};

} // namespace mallowglade::dataplane

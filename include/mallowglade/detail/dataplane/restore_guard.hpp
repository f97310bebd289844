#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <map>
#include <set>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Decides which upstreams may be used after the metadata store came
///   back from a copy of itself.
///
/// The copy lists upstreams that have left since it was made, and lacks those
/// that registered since. An upstream that was leaving or gone before the
/// restoration gets no requests until its registration was written again, or
/// has outlived the time after which the store removes registrations that are
/// not renewed. An upstream that was in use and is missing stays in use for the
/// time that live upstreams take to register again.
class RestoreGuard {
public:
  /// @param Heartbeat time between renewals of an upstream's registration
  explicit RestoreGuard(Milliseconds Heartbeat)
      : HoldTime(HeartbeatsToExpire * Heartbeat + ExpiryMargin) {}

  /// @brief Corrects the upstreams of a read.
  /// @param Read state as the store holds it
  /// @param Now start of the read
  /// @return the upstreams to use
  std::vector<UpstreamRecord> apply(const FleetState &Read, TimePoint Now);
  /// @brief Takes over which upstreams another router holds back, for a router
  ///   that has started since they left.
  /// @param Reported era in which that router holds them back
  void addDeparted(StoreEra Reported, const std::set<UpstreamKey> &Departed,
                   TimePoint Now);
  /// @return upstreams held back since the restoration, for other routers;
  ///   empty once the time to hold them back has passed
  std::set<UpstreamKey> departed(TimePoint Now) const;

  /// Missed heartbeats after which the store removes a registration.
  static constexpr int HeartbeatsToExpire = 3;
  /// Time until the removal of an expired registration is read.
  static constexpr Milliseconds ExpiryMargin{1'500};
  /// Time for upstreams to register again after a restoration.
  static constexpr Milliseconds ReturnTime{2'500};

private:
  /// What was last known of an upstream that may return.
  struct Known {
    UpstreamRecord Record;
    /// True if it was leaving or gone.
    bool Departed = false;
    TimePoint DepartedAt{};
  };
  void beginEra(StoreEra Era, TimePoint Now);
  bool heldBack(const UpstreamRecord &Record, TimePoint Now) const;
  void remember(const std::vector<UpstreamRecord> &Current, TimePoint Now);

  /// Time after a restoration during which an upstream that had left is not
  /// used.
  Milliseconds HoldTime;
  StoreEra Era;
  /// First read of the current era, if the era before is known.
  TimePoint RestoredAt{};
  std::map<UpstreamId, Known> Upstreams;
  /// First position in the current era at which an upstream was seen.
  std::map<UpstreamId, StorePosition> FirstSeen;
  /// When another router last told that it holds an upstream back.
  std::map<UpstreamKey, TimePoint> HeldBackElsewhere;
};

} // namespace mallowglade::dataplane

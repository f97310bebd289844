#pragma once

#include <mallowglade/detail/scheduling/adaptive_limit.hpp>
#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/placement_guard.hpp>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace mallowglade {

/// @brief A replica known to the owner of a cell.
struct ReplicaInfo {
  UpstreamId Id;
  std::string Address;
  ZoneId Zone;
  /// Maximum number of concurrent requests; 0 if not configured.
  std::uint32_t MaxInFlight = 0;
  /// Running requests as last reported by the replica; out of date by up to
  /// two seconds.
  std::optional<std::uint32_t> Reported;
  /// Requests per second that it takes from all routers together, if it named
  /// a limit.
  std::optional<RequestRate> Rate{};
};

/// @brief Part of the fleet that reports to a cell: k of n routers.
struct FleetCoverage {
  std::size_t Heard = 1;
  std::size_t Registered = 1;

  /// @brief Scales a limit, so that the sides of a partition together do not
  /// exceed it.
  /// @return k/n of the limit; rounded up with a majority, otherwise down
  std::uint32_t scaled(std::uint32_t Limit) const;
  /// @return true if all registered routers report
  bool complete() const { return Heard >= Registered; }
  /// @return true if more than half of the registered routers report
  bool majority() const { return 2 * Heard > Registered; }
};

/// @brief A replica and its slots in use.
struct Replica {
  explicit Replica(const LimitSettings &Settings) : Limit(Settings) {}

  ReplicaInfo Info;
  AdaptiveLimit Limit;
  /// Slots granted by this cell and not yet released.
  std::uint32_t InFlight = 0;
  /// Range of `InFlight` in this and the previous period. A load report
  /// lags, so it may refer to any value in between.
  std::uint32_t RecentMaxInFlight = 0;
  std::uint32_t PreviousMaxInFlight = 0;
  std::uint32_t RecentMinInFlight = 0;
  std::uint32_t PreviousMinInFlight = 0;
  /// Largest load reports of the two periods. A single report may be too low,
  /// because it can coincide with a slot passing to the next request.
  std::uint32_t RecentMaxReported = 0;
  std::uint32_t PreviousMaxReported = 0;
  /// Slots that routers outside the coverage may still use. Only falls until
  /// the coverage changes: the other side of a partition grants no more than
  /// its portion, so a slot that was freed there stays free.
  std::uint32_t LostSlots = 0;
  /// `LostSlots` is to be set from the first load report.
  bool LostSlotsPending = false;
  /// Periods since the replica was first listed.
  std::uint32_t Periods = 0;
  bool Delisted = false;
  /// Set while the replica names a limit.
  std::optional<RateAllowance> Allowance;
  /// False while the allowance holds less than a request.
  bool MayStart = true;
  /// Time of the last placement of each prefix.
  std::unordered_map<std::uint64_t, TimePoint> Prefixes;

  /// @brief Estimates how many requests that this cell did not grant run on the
  /// replica.
  /// @param Coverage part of the fleet that reports to the cell
  std::uint32_t foreign(const FleetCoverage &Coverage) const;
  /// @brief Lowers `LostSlots` as far as the load reports allow.
  void updateLostSlots();
  /// @return maximum number of requests that this cell may run on the replica
  std::uint32_t usable(const FleetCoverage &Coverage) const;
  /// @return true if a request may be granted now
  bool isFree(const FleetCoverage &Coverage) const {
    return MayStart && InFlight < usable(Coverage);
  }
  /// @brief Fills the allowance up to now, or ends it with the limit.
  void refill(const FleetCoverage &Coverage, TimePoint Now);
};

/// @brief Replicas of a cell: limits, load and placement.
class ReplicaTable {
public:
  /// @param Settings bounds and targets of the in-flight limits
  explicit ReplicaTable(const LimitSettings &Settings);
  /// @brief Applies changed bounds and targets.
  void configure(const LimitSettings &Updated);
  /// @brief Sets the current replicas. A replica that is missing from the list
  /// gets no new requests.
  void update(const std::vector<ReplicaInfo> &List);
  /// @brief Sets the part of the fleet that reports, and with it the portion of
  /// each limit that this cell may use.
  void setCoverage(const FleetCoverage &Updated);
  /// @return part of the fleet that reports to this cell
  const FleetCoverage &coverage() const { return Coverage; }
  /// @brief Fills the allowances of replicas that name a limit; must be called
  /// before each round of grants.
  void refill(TimePoint Now);
  /// @brief Chooses a replica by prefix affinity, then load, then zone.
  /// @param Item the request
  /// @param RouterZone zone of the router that holds the request
  /// @param Guard can veto replicas; may be null
  /// @return a replica with a free slot, or null
  Replica *choose(const QueuedItem &Item, const ZoneId &RouterZone,
                  const PlacementGuard *Guard);
  /// @brief Takes a slot.
  void acquire(Replica &Target, std::uint64_t PrefixHash, TimePoint Now);
  /// @brief Takes a slot for a request that is already running.
  void adopt(const UpstreamId &Upstream);
  /// @brief Frees a slot.
  void release(const UpstreamId &Upstream);
  /// @brief Returns a request to the allowance of a replica that did not get
  /// it.
  void giveBack(const UpstreamId &Upstream, TimePoint Now);
  /// @brief Counts a released slot of an unreachable router as possibly in use:
  /// behind a partition the router is alive and its request still runs.
  void markSlotLost(const UpstreamId &Upstream);
  /// @brief Estimates `LostSlots` for a new owner to which only a part of the
  /// fleet reports.
  void estimateLostSlots();
  /// @brief Records latency samples.
  void sample(const UpstreamId &Upstream,
              std::optional<Milliseconds> FirstToken,
              std::optional<Milliseconds> InterToken);
  /// @brief Adjusts the limits; must be called after each round of grants.
  void adjust(TimePoint Now);
  /// @brief Marks full replicas as saturated; called while requests wait.
  void markSaturated();
  /// @return number of slots that this cell may use
  std::uint32_t capacity() const;
  /// @return number of slots that this cell uses
  std::uint32_t inFlight() const;
  /// @return true if a replica has a free slot
  bool hasFreeSlot() const;
  /// @return all replicas by id
  const std::map<UpstreamId, Replica> &all() const { return Replicas; }

private:
  bool isBetterTarget(const Replica &Left, const Replica &Right,
                      const QueuedItem &Item, const ZoneId &RouterZone) const;
  void estimateLostSlots(Replica &Entry) const;
  LimitSettings effectiveLimits(const ReplicaInfo &Info) const;

  LimitSettings Settings;
  FleetCoverage Coverage;
  /// Routers outside the coverage may use replicas that are listed later.
  bool EstimateForNewReplicas = false;
  std::map<UpstreamId, Replica> Replicas;
  std::optional<TimePoint> LastPeriodStart;
};

} // namespace mallowglade

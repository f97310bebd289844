#pragma once

#include <mallowglade/detail/scheduling/adaptive_limit.hpp>
#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/placement_guard.hpp>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace mallowglade {

/// @brief A replica as the cell's owner sees it.
struct ReplicaInfo {
  UpstreamId Id;
  std::string Address;
  ZoneId Zone;
  /// Most requests it accepts at once; 0 if not stated.
  std::uint32_t MaxInFlight = 0;
  /// Requests it reported as running; lags.
  std::optional<std::uint32_t> Reported;
};

/// @brief Part of the fleet that a cell hears: k of n routers.
struct FleetPart {
  std::size_t Heard = 1;
  std::size_t Registered = 1;

  /// @brief Applies the partition rule to a limit.
  /// @return k/n of the limit; rounded up with a majority, else down
  std::uint32_t of(std::uint32_t Limit) const;
  /// @return true if all registered routers are heard
  bool whole() const { return Heard >= Registered; }
  /// @return true if more than half of the routers are heard
  bool majority() const { return 2 * Heard > Registered; }
};

/// @brief A replica and the slots of it that are in use.
struct Replica {
  explicit Replica(const LimitSettings &Settings) : Limit(Settings) {}

  ReplicaInfo Info;
  AdaptiveLimit Limit;
  /// Slots granted by this cell and not yet free.
  std::uint32_t Own = 0;
  /// Range of `Own` in this and in the previous adjustment period; a lagging
  /// report was made somewhere in between.
  std::uint32_t RecentMost = 0;
  std::uint32_t PreviousMost = 0;
  std::uint32_t RecentLeast = 0;
  std::uint32_t PreviousLeast = 0;
  /// Largest reports of the two periods; a single one may fall into a moment
  /// in which a slot changes hands.
  std::uint32_t RecentReport = 0;
  std::uint32_t PreviousReport = 0;
  /// Slots that routers outside the heard part may still hold. Only falls
  /// until the next change of the part: the other side grants no more than
  /// its part, so requests that ended leave room for good.
  std::uint32_t Lost = 0;
  /// `Lost` follows from the first load report.
  bool LostUnknown = false;
  /// Adjustment periods since the replica was first listed.
  std::uint32_t Periods = 0;
  bool Gone = false;
  /// Time of the last placement of each prefix.
  std::unordered_map<std::uint64_t, TimePoint> Prefixes;

  /// @brief Estimates how many requests of others run on the replica.
  /// @param Part part of the fleet that the cell hears
  std::uint32_t foreign(const FleetPart &Part) const;
  /// @brief Lowers `Lost` as far as the load reports show.
  void settleLost();
  /// @return most requests that this cell may have on the replica now
  std::uint32_t usable(const FleetPart &Part) const;
};

/// @brief The replicas of a cell: limits, load and placement.
class ReplicaTable {
public:
  /// @param Settings bounds and targets of the in-flight limits
  explicit ReplicaTable(const LimitSettings &Settings);
  /// @brief Takes new bounds and targets.
  void configure(const LimitSettings &Updated);
  /// @brief Takes the current list; a missing replica gets no new work.
  void update(const std::vector<ReplicaInfo> &List);
  /// @brief Sets the part of each limit that this cell may use.
  void setPart(const FleetPart &Updated);
  /// @return part of each limit that this cell may use
  const FleetPart &part() const { return Part; }
  /// @brief Chooses a replica: prefix affinity, then load, then zone.
  /// @param Item the request
  /// @param Near zone of the router that has it
  /// @param Guard may veto; may be null
  /// @return a replica with a free slot, or null
  Replica *choose(const QueuedItem &Item, const ZoneId &Near,
                  const PlacementGuard *Guard);
  /// @brief Takes a slot.
  void acquire(Replica &Where, std::uint64_t PrefixHash, TimePoint Now);
  /// @brief Takes a slot for a request that already runs.
  void adopt(const UpstreamId &Where);
  /// @brief Frees a slot.
  void release(const UpstreamId &Where);
  /// @brief Counts a freed slot of a dead router as possibly in use: the
  /// router may live behind a partition, and then its request still runs.
  void markLost(const UpstreamId &Where);
  /// @brief Estimates `Lost` for a new owner that hears a part of the fleet.
  void assumeLost();
  /// @brief Takes token times.
  void sample(const UpstreamId &Where, std::optional<Milliseconds> FirstToken,
              std::optional<Milliseconds> InterToken);
  /// @brief Adjusts the limits; to be called after each round of grants.
  void adjust(TimePoint Now);
  /// @brief Notes that work waits: full replicas count as saturated.
  void markSaturated();
  /// @return slots this cell may use
  std::uint32_t capacity() const;
  /// @return slots of this cell in use
  std::uint32_t inFlight() const;
  /// @return true if a replica has a free slot
  bool anyFree() const;
  /// @return all replicas by id
  const std::map<UpstreamId, Replica> &all() const { return Replicas; }

private:
  bool better(const Replica &Left, const Replica &Right, const QueuedItem &Item,
              const ZoneId &Near) const;
  void assumeLost(Replica &Known) const;
  LimitSettings limitsOf(const ReplicaInfo &Info) const;

  LimitSettings Settings;
  FleetPart Part;
  /// Replicas listed from now on may be in use by routers that are not heard.
  bool AssumeLost = false;
  std::map<UpstreamId, Replica> Replicas;
  std::optional<TimePoint> LastWindow;
};

} // namespace mallowglade

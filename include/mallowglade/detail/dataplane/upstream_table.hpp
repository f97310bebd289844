#pragma once

#include <mallowglade/detail/dataplane/cold_upstreams.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/request_features.hpp>
#include <mallowglade/detail/dataplane/stated_loads.hpp>
#include <mallowglade/detail/dataplane/upstream_limits.hpp>
#include <mallowglade/detail/dataplane/upstream_notices.hpp>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Identifies an upstream in messages between routers.
using UpstreamKey = StrongNumber<struct UpstreamKeyTag, std::uint64_t>;

/// @brief Outstanding work at one upstream.
struct UpstreamLoad {
  /// Requests sent and not yet completed.
  double Running = 0;
  /// Prompt tokens of requests that have not produced a first event.
  double UnreadPrompt = 0;
  /// KV-cache memory that the requests will need, in tokens.
  double KvTokens = 0;
  /// Exponentially decaying sum of the work sent, in prompt tokens; the time
  /// constant is `RecentWorkDecayTime`.
  double RecentWork = 0;

  UpstreamLoad &operator+=(const UpstreamLoad &Other);
  UpstreamLoad &operator-=(const UpstreamLoad &Other);
};

/// @brief Time constant of the exponential decay of `RecentWork`.
inline constexpr Milliseconds RecentWorkDecayTime{1'500};

/// @brief Loads by upstream.
using LoadTable = std::unordered_map<UpstreamKey, UpstreamLoad>;

/// @brief An upstream and its load.
struct UpstreamState {
  UpstreamRecord Record;
  UpstreamKey Key;
  UpstreamProcess Process;
  /// Load from requests of this router.
  UpstreamLoad Own;
  /// Load from requests of the other routers, as of their last reports.
  UpstreamLoad Peers;
  /// Back-off after failures: gets no new requests before this time.
  TimePoint BackoffUntil{};
  /// Failures since the last answer.
  unsigned ConsecutiveFailures = 0;
  /// The upstream has said that it is leaving.
  bool Leaving = false;
  /// The operator empties the zone of the upstream.
  bool Evacuated = false;
  /// End of the pause that the upstream asked for.
  TimePoint PausedUntil{};
  /// True from a pause until the upstream accepts a request: one request tries
  /// it before others follow.
  bool Recovering = false;
  /// The upstream has sent refusals that do not name the attempt. On a
  /// connection that was used before, they prove nothing about a request.
  bool RefusesUnidentified = false;

  /// @return true if the upstream is neither leaving nor evacuated: it gets
  ///   requests now or after a pause
  bool staysInUse() const { return Record.Ready && !Leaving && !Evacuated; }

  /// @return load from requests of all routers
  UpstreamLoad total() const;
};

/// @brief The upstreams and their loads; used by the traffic thread only.
class UpstreamTable {
public:
  /// @param Self this router, for the division of limits
  /// @param Seed differs between routers and starts of a router
  explicit UpstreamTable(const Clock &Time, RouterKey Self = RouterKey(),
                         std::uint64_t Seed = 0)
      : Time(Time), Notices(Time), Limits(Time, Self, Seed), Stated(Time),
        Cold(Time) {}

  /// @brief Replaces the list of upstreams; the load of those that stay at the
  ///   same address and have not restarted is kept.
  /// @return upstreams that were removed, moved, restarted or are not ready
  std::vector<UpstreamRecord> update(const std::vector<UpstreamRecord> &List);
  /// @brief Sets the zones that are evacuated; call again after `update`.
  /// @return upstreams that are evacuated now and were not before
  std::vector<UpstreamRecord> setEvacuated(const std::set<ZoneId> &Zones);
  /// @return number of listed upstreams that are evacuated
  std::size_t countEvacuated() const;
  /// @return true if the upstream is listed and evacuated
  bool isEvacuated(const UpstreamId &Id) const;
  /// @brief Replaces the summed loads that the other routers reported.
  void setPeers(const LoadTable &Sum);
  /// @return the upstream, or null if it is not in the list
  UpstreamState *find(const UpstreamId &Id);
  /// @return upstreams of a service, ordered by id
  const std::vector<UpstreamState *> &upstreamsOf(const ServiceId &Name) const;
  /// @brief Adds the load of a request that was sent.
  void add(const UpstreamId &Id, const UpstreamLoad &Load);
  /// @brief Removes the load of a request that ended; its `RecentWork` stays
  ///   and decays.
  void remove(const UpstreamId &Id, const UpstreamLoad &Load);
  /// @brief Decays `RecentWork` up to now; cheap if called often.
  void decay(TimePoint Now);
  /// @brief Records a refusal that does not name the attempt.
  void refusedUnidentified(const UpstreamId &Id);
  /// @brief Records a failure that the upstream may have caused; starts a
  ///   back-off.
  void failed(const UpstreamId &Id);
  /// @brief Records that an upstream has begun to respond to a request that it
  ///   executes.
  void accepted(const UpstreamId &Id);
  /// @brief Records an answer; ends the back-off.
  void answered(const UpstreamId &Id);
  /// @brief Records that an upstream has said that it is leaving.
  /// @return true if that was not known
  bool leaving(const UpstreamRecord &Upstream);
  /// @brief Records that an upstream wants no requests before a time.
  void paused(const UpstreamRecord &Upstream, TimePoint Until);
  /// @return true if the upstream has said that it is leaving
  bool isLeaving(const UpstreamRecord &Upstream) const {
    return Notices.isLeaving(Upstream);
  }
  /// @return true if the process is listed as ready and has neither said that
  ///   it is leaving nor asked for a pause that has not ended
  bool takesRequests(const UpstreamRecord &Upstream) const;
  /// @return numbers of listed upstreams that are leaving and that are paused
  std::pair<std::size_t, std::size_t> countNoticed() const;
  /// @return number of listed upstreams that state that work takes clearly
  ///   longer than usual
  std::size_t countSlow() const;
  /// @return limits that upstreams named for all routers together
  UpstreamLimits &limits() { return Limits; }
  const UpstreamLimits &limits() const { return Limits; }
  /// @return processes that are cold; `applyCold` has to follow a change
  ColdUpstreams &cold() { return Cold; }
  const ColdUpstreams &cold() const { return Cold; }
  /// @brief Puts the rates of cold processes into force.
  void applyCold() { Limits.setCaps(Cold.rates()); }
  /// @return loads that upstreams stated in responses to this router
  StatedLoads &statedLoads() { return Stated; }
  const StatedLoads &statedLoads() const { return Stated; }
  /// @return loads from requests of this router, to report to the others
  LoadTable ownLoads();

private:
  void applyNotices(UpstreamState &State) const;

  const Clock &Time;
  UpstreamNotices Notices;
  UpstreamLimits Limits;
  StatedLoads Stated;
  ColdUpstreams Cold;
  std::map<UpstreamId, UpstreamState> Upstreams;
  std::unordered_map<ServiceId, std::vector<UpstreamState *>> ByService;
  LoadTable PeerLoads;
  TimePoint DecayedAt{};
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Key of an upstream in messages between routers.
using UpstreamKey = StrongNumber<struct UpstreamKeyTag, std::uint64_t>;

/// @brief Work that is at one upstream.
struct UpstreamLoad {
  /// Requests sent and not yet answered.
  double Running = 0;
  /// Prompt tokens of requests without a first event yet.
  double UnreadPrompt = 0;
  /// Memory in tokens that the requests will need.
  double KvTokens = 0;
  /// Work sent lately in prompt tokens; decays with `RecentSpan`.
  double RecentWork = 0;

  UpstreamLoad &operator+=(const UpstreamLoad &Other);
  UpstreamLoad &operator-=(const UpstreamLoad &Other);
};

/// @brief Time in which recent work decays to a third.
inline constexpr Milliseconds RecentSpan{1'500};

/// @brief Loads by upstream as one router sees them.
using LoadTable = std::unordered_map<UpstreamKey, UpstreamLoad>;

/// @brief One upstream with what is known of its load.
struct UpstreamState {
  UpstreamRecord Record;
  UpstreamKey Key;
  /// Work that this router sent.
  UpstreamLoad Own;
  /// Work that the other routers sent, as of their last messages.
  UpstreamLoad Peers;
  /// No new work before this time, after failures.
  TimePoint AvoidUntil{};
  /// Failures since the last answer.
  unsigned FailuresInARow = 0;

  /// @return work of all routers
  UpstreamLoad total() const;
};

/// @brief The upstreams and the work at them; owned by the traffic thread.
class UpstreamTable {
public:
  explicit UpstreamTable(const Clock &Time) : Time(Time) {}

  /// @brief Takes a new list; work at upstreams that stay is kept.
  /// @return upstreams that are gone or no longer ready
  std::vector<UpstreamRecord> update(const std::vector<UpstreamRecord> &List);
  /// @brief Takes the sum of the other routers' loads.
  void setPeers(const LoadTable &Sum);
  /// @return the upstream, or null if it is not in the list
  UpstreamState *find(const UpstreamId &Id);
  /// @return upstreams of a service, in order of their ids
  const std::vector<UpstreamState *> &ofService(const ServiceId &Name) const;
  /// @brief Counts work that was sent.
  void add(const UpstreamId &Id, const UpstreamLoad &Work);
  /// @brief Counts work that has ended.
  void remove(const UpstreamId &Id, const UpstreamLoad &Work);
  /// @brief Lets recent work decay up to now; cheap if called often.
  void decay(TimePoint Now);
  /// @brief Notes a failure that the upstream itself may have caused.
  void failed(const UpstreamId &Id);
  /// @brief Notes an answer.
  void answered(const UpstreamId &Id);
  /// @return loads of this router, for the other routers
  LoadTable ownLoads();

private:
  const Clock &Time;
  std::map<UpstreamId, UpstreamState> All;
  std::unordered_map<ServiceId, std::vector<UpstreamState *>> ByService;
  LoadTable PeerSum;
  TimePoint DecayedAt{};
};

} // namespace mallowglade::dataplane

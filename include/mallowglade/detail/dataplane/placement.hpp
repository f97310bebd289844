#pragma once

#include <mallowglade/detail/dataplane/pace_control.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>

#include <optional>
#include <set>

namespace mallowglade::dataplane {

/// @brief What a request needs of an upstream.
struct WorkEstimate {
  /// Prompt tokens that an upstream has to read if it keeps the shared parts.
  double UncachedPrompt = 0;
  /// Tokens of the parts that it may keep from earlier requests.
  double SharedPrompt = 0;
  double OutputTokens = 0;

  /// @return work to count at an upstream
  /// @param PartsKept true if the upstream is expected to keep the parts
  UpstreamLoad load(bool PartsKept) const;
};

/// @brief A question for an upstream.
struct PlacementQuery {
  ServiceId Service;
  /// Equal for requests that share the longest part of their prompt.
  std::optional<std::uint64_t> Affinity;
  WorkEstimate Work;
  /// Time to the first event that the caller expects.
  Milliseconds LatencyObjective{};
  /// Upstreams that have failed this request.
  std::set<UpstreamId> Excluded;
};

/// @brief An upstream that can take a request now.
struct PlacementChoice {
  UpstreamState *Upstream = nullptr;
  /// True if the upstream is expected to keep the shared parts.
  bool PartsKept = false;
  /// Upstream that it should fetch the shared parts from; null for none.
  const UpstreamState *FetchFrom = nullptr;
};

/// @brief How far engines are filled.
struct PlacementSettings {
  /// Part of an engine's reading rate that requests may claim over
  /// `RecentSpan`; the rest keeps the pace of running streams.
  double WorkShare = 0.9;
  /// Part of the work limit below which capacity counts as spare.
  double SpareWork = 0.75;
  /// Part of the work limit below which no share is asked for.
  double IdleWork = 0.5;
  /// Part of a request's own size that counts against the bounds: with 1, long
  /// prompts starve behind short ones; with 0, they crowd those out.
  double SizeWeight = 0.3;
  /// Part of the shortest latency objective that unread prompts may take.
  double PromptWindow = 0.35;
  /// Upstreams of an affinity key that are tried before the least loaded one.
  unsigned AffinityRanks = 2;
};

/// @brief Chooses upstreams so that prompt parts are read once and no upstream
///   has more unread prompt than callers can wait for.
///
/// Load it answers: engines without priorities admit in order of arrival, so
/// a prompt that is sent too early delays the first tokens of all that follow.
/// All routers rank the upstreams of one affinity key alike, without asking.
class Placement {
public:
  /// @param Zone availability zone of this router
  Placement(UpstreamTable &Table, const Clock &Time, RandomSource &Random,
            ZoneId Zone, const PlacementSettings &Settings)
      : Table(Table), Time(Time), Random(Random), Zone(std::move(Zone)),
        Settings(Settings) {}

  /// @brief Takes the profile that the rates are worked out from.
  void configure(const Configuration &Config);
  /// @brief Finds an upstream that can take a request now.
  /// @return the choice; `Upstream` is null if all are full
  PlacementChoice choose(const PlacementQuery &Query) const;
  /// @brief Tells whether an upstream has capacity to spare.
  bool hasSpare(const UpstreamState &Upstream) const;
  /// @brief Tells whether an upstream is so idle that shares do not matter.
  bool isIdle(const UpstreamState &Upstream) const;
  /// @brief Notes whether a first event was on time.
  void firstEvent(bool OnTime) { Pace.sample(OnTime); }
  /// @return the pace of this router and, through it, of the fleet
  PaceControl &pace() { return Pace; }
  /// @return largest work that an engine should be given in `RecentSpan`
  double workLimit() const { return WorkLimit * Pace.factor(); }
  /// @return true if the service has an upstream that may take work at all
  bool anyUsable(const ServiceId &Name) const;

private:
  bool usable(const UpstreamState &Upstream, const PlacementQuery &Query,
              TimePoint Now) const;
  bool fits(const UpstreamState &Upstream, const PlacementQuery &Query,
            bool PartsKept) const;
  PlacementChoice lessLoaded(const PlacementQuery &Query, TimePoint Now) const;
  double score(const UpstreamState &Upstream) const;
  bool canFetch(const ServiceId &Name) const;

  UpstreamTable &Table;
  const Clock &Time;
  RandomSource &Random;
  ZoneId Zone;
  PlacementSettings Settings;
  /// Shortest latency objective of the routes to each service.
  std::unordered_map<ServiceId, Milliseconds> ShortestObjective;
  const Configuration *Config = nullptr;
  /// Prompt tokens that an engine reads in a millisecond.
  double PromptTokensPerMs = 0;
  double WorkLimit = 0;
  PaceControl Pace;
};

} // namespace mallowglade::dataplane

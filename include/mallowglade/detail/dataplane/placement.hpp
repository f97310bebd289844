#pragma once

#include <mallowglade/detail/dataplane/upstream_table.hpp>
#include <mallowglade/detail/dataplane/work_limit_controller.hpp>

#include <optional>
#include <set>

namespace mallowglade::dataplane {

/// @brief Estimated work of a request.
struct WorkEstimate {
  /// Prompt tokens to prefill if the shared prefix is cached.
  double UncachedPrompt = 0;
  /// Tokens of the prefix that may be cached from earlier requests.
  double SharedPrompt = 0;
  double OutputTokens = 0;

  /// @return load that the request adds to an upstream
  /// @param PrefixCached true if the upstream is expected to have the shared
  ///   prefix cached
  UpstreamLoad load(bool PrefixCached) const;
};

/// @brief Requirements for the upstream of one request.
struct PlacementQuery {
  ServiceId Service;
  /// Hash of the shared prompt prefix; equal for requests with the same one.
  std::optional<std::uint64_t> Affinity;
  WorkEstimate Work;
  /// Objective for the time to the first event.
  Milliseconds LatencyObjective{};
  /// Upstreams on which this request has failed.
  std::set<UpstreamId> Excluded;
};

/// @brief Result of selecting an upstream.
struct PlacementChoice {
  /// Selected upstream; null if none has capacity.
  UpstreamState *Upstream = nullptr;
  /// True if the upstream is expected to have the shared prefix cached.
  bool PrefixCached = false;
  /// Upstream to fetch the cached prefix from; null for none.
  const UpstreamState *FetchFrom = nullptr;
};

/// @brief Load limits for engines.
struct PlacementSettings {
  /// Fraction of an engine's prefill rate that requests may use over
  /// `RecentWorkDecayTime`; the rest is left for decoding running streams.
  double WorkShare = 0.9;
  /// Fraction of the work limit below which an engine has spare capacity.
  double SpareWork = 0.75;
  /// Fraction of the work limit below which shares are not enforced.
  double IdleWork = 0.5;
  /// Fraction of a request's own size that counts against the limits: 1 starves
  /// long prompts, 0 lets them crowd out short ones.
  double SizeWeight = 0.3;
  /// Fraction of the shortest latency objective that the prefill of unread
  /// prompts may take.
  double PromptWindow = 0.35;
  /// Number of upstreams tried in the order of their rank for an affinity key
  /// before a less loaded one is selected.
  unsigned AffinityRanks = 2;
};

/// @brief Selects upstreams so that shared prompt prefixes are prefilled once
///   and prefill queues stay within the latency objectives.
///
/// Engines have no priorities and process requests in order of arrival, so a
/// prompt that is sent too early delays the first tokens of all later ones.
/// Upstreams are ranked per affinity key by rendezvous hashing: all routers get
/// the same order without communicating.
class Placement {
public:
  /// @param Zone availability zone of this router
  Placement(UpstreamTable &Table, const Clock &Time, RandomSource &Random,
            ZoneId Zone, const PlacementSettings &Settings)
      : Table(Table), Time(Time), Random(Random), Zone(std::move(Zone)),
        Settings(Settings) {}

  /// @brief Sets the configuration from which rates and limits are derived.
  /// @param Config kept by pointer; has to stay valid until the next call
  void configure(const Configuration &Config);
  /// @brief Selects an upstream that has capacity for a request.
  /// @return the choice; `Upstream` is null if none has capacity
  PlacementChoice choose(const PlacementQuery &Query) const;
  /// @return true if requests above their workspace's share may use the
  ///   upstream
  bool hasSpareCapacity(const UpstreamState &Upstream) const;
  /// @return true if the load is so low that shares are not enforced
  bool isIdle(const UpstreamState &Upstream) const;
  /// @brief Records whether a first event met its latency objective.
  void recordFirstEvent(bool OnTime) { WorkLimits.sample(OnTime); }
  /// @return controller that scales the work limit
  WorkLimitController &workLimitController() { return WorkLimits; }
  /// @return limit for the `RecentWork` of one engine, in prompt tokens
  double workLimit() const { return BaseWorkLimit * WorkLimits.factor(); }
  /// @brief When upstreams of a service take a request at all, whatever their
  ///   load.
  struct Availability {
    /// Time from which one takes a request; nothing if none stays in use.
    std::optional<TimePoint> From;
    /// Requests per second that this router may start once they are available;
    /// nothing if one takes any number.
    std::optional<RequestRate> Rate;
  };
  Availability availability(const ServiceId &Name) const;
  /// @brief Counts a request for a service that may be sent; limits of
  /// upstreams
  ///   are divided among the routers by it.
  void recordDemand(const ServiceId &Name) {
    Table.limits().recordDemand(serviceKey(Name));
  }
  /// @brief Records the tokens of a request that is sent.
  void recordSize(double Tokens);
  /// @return fraction of the stated capacity of all engines that their limits
  ///   leave
  double capacityFraction() const;

private:
  bool isEligible(const UpstreamState &Upstream, const PlacementQuery &Query,
                  TimePoint Now) const;
  bool hasCapacity(const UpstreamState &Upstream, const PlacementQuery &Query,
                   bool PrefixCached) const;
  PlacementChoice chooseLessLoaded(const PlacementQuery &Query,
                                   TimePoint Now) const;
  double score(const UpstreamState &Upstream) const;
  bool canFetchPrefix(const ServiceId &Name) const;

  UpstreamTable &Table;
  const Clock &Time;
  RandomSource &Random;
  ZoneId Zone;
  PlacementSettings Settings;
  /// Shortest latency objective of all routes to each service.
  std::unordered_map<ServiceId, Milliseconds> ShortestObjective;
  const Configuration *Config = nullptr;
  /// Prefill rate of one engine.
  double PromptTokensPerMs = 0;
  /// Share of one engine in the stated capacity; 0 if none is stated.
  double EngineTokensPerSecond = 0;
  /// Limit before scaling by `WorkLimits`, in prompt tokens.
  double BaseWorkLimit = 0;
  WorkLimitController WorkLimits;
  /// Mean tokens of a request, 0 before the first one.
  double MeanTokens = 0;
};

} // namespace mallowglade::dataplane

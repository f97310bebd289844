#pragma once

#include <mallowglade/detail/dataplane/homes.hpp>
#include <mallowglade/detail/dataplane/prefix_holders.hpp>
#include <mallowglade/detail/dataplane/small_service_placement.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>
#include <mallowglade/detail/dataplane/work_limit_controller.hpp>
#include <mallowglade/detail/dataplane/zone_choice.hpp>

#include <optional>
#include <set>
#include <string_view>

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
  /// Regions in which the request may be executed.
  Homes Allowed;
  /// Recent uses of the shared prefix that this router has seen.
  double PrefixUses = 1;
};

/// @brief Why a request is sent to another availability zone.
enum class LeavesZone {
  /// It stays, or zones are not distinguished.
  No,
  /// Its prefix has its only home there.
  ForPrefix,
  /// This zone is busier than the other one by more than leaving costs, or has
  /// no upstream that may take the request.
  ForLoad,
};

/// @brief Rule by which an upstream is selected.
enum class ChoiceRule {
  /// It is the home of the request's prefix.
  PrefixHome,
  /// The upstreams that rank higher for the prefix have no capacity.
  PrefixRank,
  /// It is the least loaded one with capacity.
  LeastLoaded,
  /// It is drawn at random, as for all requests of a small service.
  SmallService,
};

/// @return name of the rule in explanations
std::string_view toString(ChoiceRule Rule);

/// @brief Result of selecting an upstream.
struct PlacementChoice {
  /// Selected upstream; null if none has capacity.
  UpstreamState *Upstream = nullptr;
  /// True if the upstream is expected to have the shared prefix cached.
  bool PrefixCached = false;
  /// Upstream to fetch the cached prefix from; null for none.
  const UpstreamState *FetchFrom = nullptr;
  LeavesZone Leaves = LeavesZone::No;
  ChoiceRule Rule = ChoiceRule::PrefixHome;
};

/// @brief Whether an upstream may get a request, whatever its load.
enum class Eligibility {
  Eligible,
  /// One request tries it after a pause before others follow.
  Recovering,
  NotReady,
  Leaving,
  Evacuated,
  OutsideHomes,
  BackingOff,
  Paused,
  LimitUsedUp,
  /// The request has failed there.
  Excluded,
};

/// @return name of the state in explanations
std::string_view toString(Eligibility State);

/// @brief Whether the load of an upstream leaves capacity for a request.
enum class Capacity {
  Free,
  SlotsTaken,
  KvCacheFull,
  WorkLimitReached,
  UnreadLimitReached,
};

/// @return name of the state in explanations
std::string_view toString(Capacity State);

/// @brief What the rules of placement find about one upstream.
struct PlacementCandidate {
  const UpstreamState *Upstream = nullptr;
  Eligibility State = Eligibility::Eligible;
  Capacity Room = Capacity::Free;
  /// Rank for the request's prefix, 1 for its home; 0 if it has none.
  std::size_t Rank = 0;
  /// Lower is less loaded.
  double Score = 0;
  double Speed = 1;
  /// Limits in prompt tokens; 0 for plain services.
  double WorkLimit = 0;
  double UnreadLimit = 0;
  bool Cold = false;
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
  /// Cost of a request to another availability zone, as delay of a caller. Set
  /// if requests to engines stay in their zone unless leaving it pays.
  std::optional<PreciseMilliseconds> ZoneCost;
  /// Time for which an engine is expected to keep an unused prefix.
  Milliseconds PrefixReuse{10'000};
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
            ZoneId Zone, const PlacementSettings &Settings);

  /// @return a copy that draws from another source: choices of the copy change
  ///   neither this object nor what it draws
  /// @param Source has to outlive the copy
  Placement copyWith(RandomSource &Source) const;

  /// @brief Sets the configuration from which rates and limits are derived.
  /// @param Config kept by pointer; has to stay valid until the next call
  void configure(const Configuration &Config);
  /// @brief Sets the region of each availability zone.
  void setZoneRegions(std::map<ZoneId, RegionId> Regions) {
    ZoneRegions = std::move(Regions);
  }
  /// @brief Selects an upstream that has capacity for a request.
  /// @return the choice; `Upstream` is null if none has capacity
  PlacementChoice choose(const PlacementQuery &Query);
  /// @return what the rules that `choose` follows find about each upstream of
  ///   the service, in no order
  std::vector<PlacementCandidate> candidates(const PlacementQuery &Query) const;
  /// @brief Counts a use of the shared prefix of a request.
  void recordPrefixUse(PlacementQuery &Query);
  /// @brief Records that an engine has begun to answer a request, and so has
  ///   read its prefix.
  void recordPrefixRead(const PlacementQuery &Query, UpstreamProcess Engine);
  /// @return engines that have read prefixes lately, of services for which
  ///   routers share this
  PrefixHolders &prefixHolders() { return Holders; }
  /// @return true if routers tell each other which engines of a service have
  ///   read a prefix: these can fetch it, and leaving the zone costs something
  ///   or the engines state how long work takes on their machines
  bool sharesHolders(const ServiceId &Name) const;
  /// @brief Sets the zones whose routers are not heard from; no prefixes are
  ///   fetched from these.
  void setSilentZones(std::set<ZoneId> Silent);
  /// @return which requests leave the zone; null if zones are not distinguished
  ZoneChoice *zoneChoice() { return Zones ? &*Zones : nullptr; }
  /// @brief Decides whether a request that was not sent before may be sent at
  ///   all, or has to be refused because the slots of its service are taken.
  bool admits(const PlacementQuery &Query);
  /// @return placement for services with fewer slots than there are routers
  SmallServicePlacement &smallServices() { return Small; }
  const SmallServicePlacement &smallServices() const { return Small; }
  /// @return true if requests above their workspace's share may use the
  ///   upstream
  bool hasSpareCapacity(const UpstreamState &Upstream) const;
  /// @return true if the load is so low that shares are not enforced
  bool isIdle(const UpstreamState &Upstream) const;
  /// @brief Records whether a first event met its latency objective.
  void recordFirstEvent(bool OnTime) { WorkLimits.sample(OnTime); }
  /// @return controller that scales the work limit
  WorkLimitController &workLimitController() { return WorkLimits; }
  /// @return limit for the `RecentWork` of an engine of usual speed, in prompt
  ///   tokens
  double workLimit() const { return BaseWorkLimit * WorkLimits.factor(); }
  /// @return speed of an upstream now relative to its usual one, from what it
  ///   states of its machine; bounded, and 1 if nothing is known
  double speedOf(const UpstreamState &Upstream) const;
  /// @return limit for the `RecentWork` of this engine, in prompt tokens
  double workLimitOf(const UpstreamState &Upstream) const {
    return workLimit() * speedOf(Upstream);
  }
  /// @brief Why no upstream of a service stays in use for a request. Of several
  ///   causes, the last one holds.
  enum class Unavailable { NoneReady, OutsideHomes, Evacuated };
  /// @brief When upstreams of a service take a request at all, whatever their
  ///   load.
  struct Availability {
    /// Time from which one takes a request; nothing if none stays in use.
    std::optional<TimePoint> From;
    /// Requests per second that this router may start once they are available;
    /// nothing if one takes any number.
    std::optional<RequestRate> Rate;
    /// Counts if there is no `From`.
    Unavailable Missing = Unavailable::NoneReady;
  };
  Availability availability(const PlacementQuery &Query) const;
  /// @brief Counts a request for a service that may be sent; limits of
  /// upstreams
  ///   are divided among the routers by it.
  void recordDemand(const ServiceId &Name) {
    Table.limits().recordDemand(serviceKey(Name));
  }
  /// @brief Records the tokens of a request that is sent.
  void recordSize(double Tokens);
  /// @return fraction of the stated capacity of all engines that their limits
  ///   and evacuated zones leave
  double capacityFraction() const;

private:
  /// @return true if the request may be executed in the upstream's region
  bool isAllowed(const UpstreamState &Upstream,
                 const PlacementQuery &Query) const {
    return Query.Allowed.allow(Upstream.Record.Zone, ZoneRegions);
  }
  Eligibility eligibility(const UpstreamState &Upstream,
                          const PlacementQuery &Query, TimePoint Now) const;
  bool isEligible(const UpstreamState &Upstream, const PlacementQuery &Query,
                  TimePoint Now) const {
    return eligibility(Upstream, Query, Now) == Eligibility::Eligible;
  }
  Capacity capacity(const UpstreamState &Upstream, const PlacementQuery &Query,
                    bool PrefixCached) const;
  bool hasCapacity(const UpstreamState &Upstream, const PlacementQuery &Query,
                   bool PrefixCached) const {
    return capacity(Upstream, Query, PrefixCached) == Capacity::Free;
  }
  using Candidates = std::vector<UpstreamState *>;
  /// @return true if requests for the service stay in the zone unless leaving
  ///   it pays
  bool choosesZoneFirst(const ServiceId &Name) const;
  /// @return upstreams in the order of their rank for a prefix, without those
  ///   that are cold
  /// @param Count number of upstreams to order; the others are left out
  Candidates rankForPrefix(std::uint64_t Affinity, const Candidates &Eligible,
                           std::size_t Count) const;
  /// @return upstreams that take the request if they have capacity
  /// @param Only zone of the upstreams; null for any
  Candidates eligible(const PlacementQuery &Query, TimePoint Now,
                      const ZoneId *Only) const;
  /// @brief Selects the home of the request's prefix or a less loaded upstream.
  PlacementChoice chooseAmong(const PlacementQuery &Query,
                              const Candidates &Eligible) const;
  PlacementChoice chooseLessLoaded(const PlacementQuery &Query,
                                   const Candidates &Eligible) const;
  PlacementChoice chooseZone(const PlacementQuery &Query, TimePoint Now);
  /// @return true if routers tell each other which engines of a service have
  ///   read a prefix, as the request's prefix takes long to read
  bool sharesHolders(const PlacementQuery &Query) const;
  /// @return true if engines here may fetch prefixes from those of a zone
  bool mayFetchFrom(const ServiceId &Name, const ZoneId &From) const;
  /// @return true if upstreams of a service state how long work takes on their
  ///   machines now
  bool statesWorkTime(const ServiceId &Name) const;
  /// @brief Names the engine to fetch the prefix from, unless the selected one
  ///   has read it lately.
  PlacementChoice withHolder(const PlacementQuery &Query,
                             PlacementChoice Choice, TimePoint Now) const;
  /// @return an engine that has read the request's prefix lately, in the zone
  ///   of the selected one if possible; null if none is known
  const UpstreamState *holderFor(const PlacementQuery &Query,
                                 const UpstreamState &Target,
                                 TimePoint Now) const;
  const UpstreamState *findProcess(const ServiceId &Name,
                                   UpstreamProcess Process) const;
  /// @brief Selects an upstream of this zone; the prefix is fetched from
  /// another
  ///   zone if this router has not seen it lately.
  PlacementChoice chooseHere(const PlacementQuery &Query,
                             const Candidates &Near, TimePoint Now) const;
  /// @return home of the request's prefix over all zones; null if no upstream
  ///   takes the request
  UpstreamState *fleetHome(const PlacementQuery &Query, TimePoint Now) const;
  /// @return true if the prefix pays for a home in this zone
  bool deservesOwnHome(const PlacementQuery &Query) const;
  /// @return rank of an upstream for a prefix; the highest one is its home
  static std::uint64_t affinityRank(const UpstreamState &Upstream,
                                    std::uint64_t Affinity);
  void updateZoneLoads(const ServiceId &Name, TimePoint Now);
  /// @return fraction of the tightest limit that is in use
  double utilization(const UpstreamState &Upstream) const;
  /// @return limit for the prompt tokens without a first event at one engine
  double unreadLimit(Milliseconds Objective) const;
  /// @return the same for one engine at its speed
  double unreadLimitOf(const UpstreamState &Upstream,
                       const PlacementQuery &Query) const;
  Milliseconds shortestObjective(const ServiceId &Name,
                                 Milliseconds Default) const;
  double score(const UpstreamState &Upstream) const;
  bool canFetchPrefix(const ServiceId &Name) const;

  UpstreamTable &Table;
  const Clock &Time;
  RandomSource *Random;
  ZoneId Zone;
  PlacementSettings Settings;
  std::map<ZoneId, RegionId> ZoneRegions;
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
  /// Set if requests to engines stay in their zone unless leaving it pays.
  std::optional<ZoneChoice> Zones;
  PrefixUses Prefixes;
  PrefixHolders Holders;
  std::set<ZoneId> SilentZones;
  SmallServicePlacement Small;
};

} // namespace mallowglade::dataplane

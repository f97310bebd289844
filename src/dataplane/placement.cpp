#include <mallowglade/detail/dataplane/placement.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Ratio of an engine's prefill rate to its share of the stated capacity, which
/// also covers decoding.
constexpr double PrefillToCapacityRatio = 2.0;
/// Prefill rate assumed if no capacity is stated.
constexpr double DefaultPromptTokensPerMs = 40;
/// Prompt tokens that take an engine as long as one output token.
constexpr double PromptTokensPerOutputToken = 10;
/// Fraction of an engine's KV cache that requests may occupy.
constexpr double MaxKvUtilization = 0.9;
/// Upstreams sampled at random, of which the least loaded one is selected.
constexpr unsigned SampleSize = 3;
/// Penalty for an upstream in another zone, as a number of running requests.
constexpr double CrossZonePenaltySlots = 0.5;
/// Penalty for a cold upstream, in the units of `score`: one that is warm and
/// half full is as good.
constexpr double ColdPenalty = 0.5;
/// Fraction of the slots in use below which an upstream has spare capacity.
constexpr double SpareSlotFraction = 0.6;

} // namespace

UpstreamLoad WorkEstimate::load(bool PrefixCached) const {
  UpstreamLoad Load;
  Load.Running = 1;
  Load.UnreadPrompt = UncachedPrompt + (PrefixCached ? 0 : SharedPrompt);
  Load.KvTokens = UncachedPrompt + SharedPrompt + OutputTokens;
  Load.RecentWork =
      Load.UnreadPrompt + PromptTokensPerOutputToken * OutputTokens;
  return Load;
}

Placement::Placement(UpstreamTable &Table, const Clock &Time,
                     RandomSource &Random, ZoneId Zone,
                     const PlacementSettings &Settings)
    : Table(Table), Time(Time), Random(&Random), Zone(std::move(Zone)),
      Settings(Settings), Prefixes(Time, Settings.PrefixReuse),
      Holders(Time, Settings.PrefixReuse),
      Small(Table, Time, Random, this->Zone) {
  if (Settings.ZoneCost)
    Zones.emplace(Time, this->Zone, *Settings.ZoneCost);
}

Placement Placement::copyWith(RandomSource &Source) const {
  Placement Copy(*this);
  Copy.Random = &Source;
  Copy.Small.setRandom(Source);
  return Copy;
}

std::uint64_t Placement::affinityRank(const UpstreamState &Upstream,
                                      std::uint64_t Affinity) {
  return stableHash({reinterpret_cast<const char *>(&Upstream.Key.Value),
                     sizeof(Upstream.Key.Value)},
                    Affinity);
}

void Placement::configure(const Configuration &NewConfig) {
  Config = &NewConfig;
  Small.configure(NewConfig);
  // A long prompt delays the first tokens of all other requests at the engine,
  // so the shortest objective limits the prefill queue for all routes.
  ShortestObjective.clear();
  for (const Route &Rule : NewConfig.Routes)
    for (const ServiceWeight &Target : Rule.Services) {
      const auto [It, New] =
          ShortestObjective.try_emplace(Target.Service, Rule.LatencyObjective);
      if (!New)
        It->second = std::min(It->second, Rule.LatencyObjective);
    }
  EngineTokensPerSecond = 0;
  std::size_t EngineCount = 0;
  for (const Service &Pool : NewConfig.Services)
    if (Pool.Engine)
      EngineCount += Table.upstreamsOf(Pool.Name).size();
  if (NewConfig.Limits.TokensPerSecond <= 0 || EngineCount == 0) {
    PromptTokensPerMs = DefaultPromptTokensPerMs;
  } else {
    constexpr double MillisecondsPerSecond = 1'000;
    EngineTokensPerSecond =
        NewConfig.Limits.TokensPerSecond / static_cast<double>(EngineCount);
    PromptTokensPerMs =
        PrefillToCapacityRatio * EngineTokensPerSecond / MillisecondsPerSecond;
  }
  BaseWorkLimit = Settings.WorkShare * PromptTokensPerMs *
                  static_cast<double>(RecentWorkDecayTime.count());
}

Eligibility Placement::eligibility(const UpstreamState &Upstream,
                                   const PlacementQuery &Query,
                                   TimePoint Now) const {
  if (Upstream.Recovering && Upstream.Own.Running >= 1)
    return Eligibility::Recovering;
  if (!Upstream.staysInUse()) {
    if (!Upstream.Record.Ready)
      return Eligibility::NotReady;
    return Upstream.Leaving ? Eligibility::Leaving : Eligibility::Evacuated;
  }
  if (!isAllowed(Upstream, Query))
    return Eligibility::OutsideHomes;
  if (Upstream.BackoffUntil > Now)
    return Eligibility::BackingOff;
  if (Upstream.PausedUntil > Now)
    return Eligibility::Paused;
  if (!Table.limits().mayStart(Upstream.Process))
    return Eligibility::LimitUsedUp;
  return Query.Excluded.contains(Upstream.Record.Id) ? Eligibility::Excluded
                                                     : Eligibility::Eligible;
}

Placement::Availability
Placement::availability(const PlacementQuery &Query) const {
  const TimePoint Now = Time.now();
  Availability Found;
  Found.Rate = RequestRate();
  for (const UpstreamState *State : Table.upstreamsOf(Query.Service)) {
    if (!State->staysInUse() || !isAllowed(*State, Query)) {
      if (State->Record.Ready && !State->Leaving)
        Found.Missing =
            std::max(Found.Missing, isAllowed(*State, Query)
                                        ? Unavailable::Evacuated
                                        : Unavailable::OutsideHomes);
      continue;
    }
    const auto Share = Table.limits().shareOf(State->Process);
    if (!Share && State->PausedUntil <= Now)
      return {Now, std::nullopt};
    if (Share)
      *Found.Rate += *Share;
    const TimePoint From = std::max(
        State->PausedUntil, Table.limits().startableFrom(State->Process));
    Found.From = std::min(Found.From.value_or(TimePoint::max()), From);
  }
  return Found;
}

void Placement::recordSize(double Tokens) {
  constexpr double Smoothing = 0.05;
  MeanTokens =
      MeanTokens > 0 ? MeanTokens + Smoothing * (Tokens - MeanTokens) : Tokens;
}

double Placement::capacityFraction() const {
  const bool AnyLimit = MeanTokens > 0 && Table.limits().any();
  if (Config == nullptr || (!AnyLimit && Table.countEvacuated() == 0))
    return 1;
  double Engines = 0;
  double Usable = 0;
  for (const Service &Pool : Config->Services) {
    if (!Pool.Engine)
      continue;
    const auto &Members = Table.upstreamsOf(Pool.Name);
    Engines += static_cast<double>(Members.size());
    for (const UpstreamState *State : Members) {
      if (State->Evacuated)
        continue;
      const auto Limit = Table.limits().limitOf(State->Process);
      if (!Limit || !AnyLimit || EngineTokensPerSecond <= 0)
        Usable += 1;
      else
        Usable +=
            std::min(1.0, Limit->Value * MeanTokens / EngineTokensPerSecond);
    }
  }
  return Engines > 0 ? Usable / Engines : 1;
}

Capacity Placement::capacity(const UpstreamState &Upstream,
                             const PlacementQuery &Query,
                             bool PrefixCached) const {
  const UpstreamLoad Current = Upstream.total();
  const double Slots = std::max(1U, Upstream.Record.Slots);
  if (Current.Running + 1 > Slots)
    return Capacity::SlotsTaken;
  const Service *Pool = Config->findService(Query.Service);
  if (Pool == nullptr || !Pool->Engine)
    return Capacity::Free;
  const UpstreamLoad Added = Query.Work.load(PrefixCached);
  if (Current.Running > 0 &&
      Current.KvTokens + Added.KvTokens >
          MaxKvUtilization * Pool->Engine->KvCapacityTokens)
    return Capacity::KvCacheFull;
  const double WorkLimit = workLimitOf(Upstream);
  if (Current.RecentWork + Settings.SizeWeight * Added.RecentWork > WorkLimit &&
      Current.RecentWork > Settings.IdleWork * WorkLimit)
    return Capacity::WorkLimitReached;
  const double MaxUnreadPrompt = unreadLimitOf(Upstream, Query);
  const bool HasRoom =
      Current.UnreadPrompt + Settings.SizeWeight * Added.UnreadPrompt <=
          MaxUnreadPrompt ||
      Current.UnreadPrompt <= Settings.IdleWork * MaxUnreadPrompt;
  return HasRoom ? Capacity::Free : Capacity::UnreadLimitReached;
}

double Placement::unreadLimitOf(const UpstreamState &Upstream,
                                const PlacementQuery &Query) const {
  return speedOf(Upstream) *
         unreadLimit(shortestObjective(Query.Service, Query.LatencyObjective));
}

double Placement::speedOf(const UpstreamState &Upstream) const {
  return 1 / Table.statedLoads().workTimeFactor(Upstream.Process);
}

Milliseconds Placement::shortestObjective(const ServiceId &Name,
                                          Milliseconds Default) const {
  const auto Shortest = ShortestObjective.find(Name);
  return Shortest == ShortestObjective.end()
             ? Default
             : std::min(Default, Shortest->second);
}

double Placement::unreadLimit(Milliseconds Objective) const {
  return PromptTokensPerMs * Settings.PromptWindow *
         static_cast<double>(Objective.count());
}

Placement::Candidates Placement::eligible(const PlacementQuery &Query,
                                          TimePoint Now,
                                          const ZoneId *Only) const {
  Candidates Eligible;
  for (UpstreamState *State : Table.upstreamsOf(Query.Service))
    if ((Only == nullptr || State->Record.Zone == *Only) &&
        isEligible(*State, Query, Now))
      Eligible.push_back(State);
  return Eligible;
}

bool Placement::choosesZoneFirst(const ServiceId &Name) const {
  const Service *Pool = Config->findService(Name);
  return Zones && Pool != nullptr && Pool->Engine;
}

PlacementChoice Placement::choose(const PlacementQuery &Query) {
  if (Config == nullptr)
    return {};
  const TimePoint Now = Time.now();
  Table.decay(Now);
  return withHolder(Query,
                    choosesZoneFirst(Query.Service)
                        ? chooseZone(Query, Now)
                        : chooseAmong(Query, eligible(Query, Now, nullptr)),
                    Now);
}

Placement::Candidates Placement::rankForPrefix(std::uint64_t Affinity,
                                               const Candidates &Eligible,
                                               std::size_t Count) const {
  std::vector<std::pair<std::uint64_t, UpstreamState *>> Ranked;
  Ranked.reserve(Eligible.size());
  for (UpstreamState *State : Eligible)
    if (!Table.cold().isCold(State->Process))
      Ranked.emplace_back(affinityRank(*State, Affinity), State);
  Count = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return Left.first > Right.first;
                    });
  Candidates Ordered;
  Ordered.reserve(Count);
  for (std::size_t Rank = 0; Rank < Count; ++Rank)
    Ordered.push_back(Ranked[Rank].second);
  return Ordered;
}

PlacementChoice Placement::chooseAmong(const PlacementQuery &Query,
                                       const Candidates &Eligible) const {
  if (!Query.Affinity)
    return chooseLessLoaded(Query, Eligible);
  const Candidates Ranked =
      rankForPrefix(*Query.Affinity, Eligible, Settings.AffinityRanks);
  const UpstreamState *FetchFrom =
      !Ranked.empty() && canFetchPrefix(Query.Service) ? Ranked.front()
                                                       : nullptr;
  for (std::size_t Rank = 0; Rank < Ranked.size(); ++Rank) {
    const bool IsHome = Rank == 0;
    if (hasCapacity(*Ranked[Rank], Query, IsHome))
      return {Ranked[Rank], IsHome, IsHome ? nullptr : FetchFrom,
              LeavesZone::No,
              IsHome ? ChoiceRule::PrefixHome : ChoiceRule::PrefixRank};
  }
  PlacementChoice Choice = chooseLessLoaded(Query, Eligible);
  Choice.FetchFrom = FetchFrom;
  return Choice;
}

bool Placement::canFetchPrefix(const ServiceId &Name) const {
  const Service *Pool = Config->findService(Name);
  return Pool != nullptr && Pool->Engine && Pool->Engine->CanFetchCachedPrefix;
}

double Placement::score(const UpstreamState &Upstream) const {
  const UpstreamLoad Load = Upstream.total();
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const double Work =
      workLimit() > 0 ? Load.RecentWork / workLimitOf(Upstream) : 0;
  // Prefers this router's zone between upstreams of equal load.
  return Load.Running / Slots + Work +
         (Upstream.Record.Zone == Zone ? 0 : CrossZonePenaltySlots / Slots) +
         (Table.cold().isCold(Upstream.Process) ? ColdPenalty : 0);
}

bool Placement::admits(const PlacementQuery &Query) {
  if (!Small.applies(Query.Service))
    return true;
  const Candidates Eligible = eligible(Query, Time.now(), nullptr);
  return Eligible.empty() ||
         Small.admits(Query.Service, Query.LatencyObjective, Eligible);
}

PlacementChoice Placement::chooseLessLoaded(const PlacementQuery &Query,
                                            const Candidates &Eligible) const {
  PlacementChoice Best;
  if (Small.applies(Query.Service)) {
    Best.Rule = ChoiceRule::SmallService;
    if (!Eligible.empty())
      Best.Upstream = Small.choose(Query.Service, Eligible);
    return Best;
  }
  // All routers act on the same reports. Sampling before comparing loads limits
  // the requests that one upstream gets until the next report, also if it is
  // the only one that appears to have capacity.
  const Service *Pool = Config->findService(Query.Service);
  const bool Sample = Pool != nullptr && Pool->Engine.has_value();
  const std::size_t Comparisons =
      Sample && !Eligible.empty() ? std::size_t(SampleSize) : Eligible.size();
  Best.Rule = ChoiceRule::LeastLoaded;
  for (std::size_t Index = 0; Index < Comparisons; ++Index) {
    UpstreamState *State =
        Sample ? Eligible[Random->below(Eligible.size())] : Eligible[Index];
    if (hasCapacity(*State, Query, false) &&
        (Best.Upstream == nullptr || score(*State) < score(*Best.Upstream)))
      Best.Upstream = State;
  }
  return Best;
}

bool Placement::hasSpareCapacity(const UpstreamState &Upstream) const {
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const UpstreamLoad Current = Upstream.total();
  return Current.Running < SpareSlotFraction * Slots &&
         Current.RecentWork < Settings.SpareWork * workLimitOf(Upstream);
}

bool Placement::isIdle(const UpstreamState &Upstream) const {
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const UpstreamLoad Current = Upstream.total();
  // What a limit leaves is scarce, however few requests run.
  return !Table.limits().limitOf(Upstream.Process) &&
         Current.Running < Settings.IdleWork * Slots &&
         Current.RecentWork < Settings.IdleWork * workLimitOf(Upstream);
}

} // namespace mallowglade::dataplane

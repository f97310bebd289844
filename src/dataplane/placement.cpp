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

void Placement::configure(const Configuration &NewConfig) {
  Config = &NewConfig;
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

bool Placement::isEligible(const UpstreamState &Upstream,
                           const PlacementQuery &Query, TimePoint Now) const {
  if (Upstream.Recovering && Upstream.Own.Running >= 1)
    return false;
  return Upstream.staysInUse() && Upstream.BackoffUntil <= Now &&
         Upstream.PausedUntil <= Now &&
         Table.limits().mayStart(Upstream.Process) &&
         !Query.Excluded.contains(Upstream.Record.Id);
}

Placement::Availability Placement::availability(const ServiceId &Name) const {
  const TimePoint Now = Time.now();
  Availability Found;
  Found.Rate = RequestRate();
  for (const UpstreamState *State : Table.upstreamsOf(Name)) {
    if (!State->staysInUse())
      continue;
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
  if (Config == nullptr || MeanTokens <= 0 || !Table.limits().any())
    return 1;
  double Engines = 0;
  double Usable = 0;
  for (const Service &Pool : Config->Services) {
    if (!Pool.Engine)
      continue;
    const auto &Members = Table.upstreamsOf(Pool.Name);
    Engines += static_cast<double>(Members.size());
    for (const UpstreamState *State : Members) {
      const auto Limit = Table.limits().limitOf(State->Process);
      if (!Limit || EngineTokensPerSecond <= 0)
        Usable += 1;
      else
        Usable +=
            std::min(1.0, Limit->Value * MeanTokens / EngineTokensPerSecond);
    }
  }
  return Engines > 0 ? Usable / Engines : 1;
}

bool Placement::hasCapacity(const UpstreamState &Upstream,
                            const PlacementQuery &Query,
                            bool PrefixCached) const {
  const UpstreamLoad Current = Upstream.total();
  const double Slots = std::max(1U, Upstream.Record.Slots);
  if (Current.Running + 1 > Slots)
    return false;
  const Service *Pool = Config->findService(Query.Service);
  if (Pool == nullptr || !Pool->Engine)
    return true;
  const UpstreamLoad Added = Query.Work.load(PrefixCached);
  if (Current.Running > 0 &&
      Current.KvTokens + Added.KvTokens >
          MaxKvUtilization * Pool->Engine->KvCapacityTokens)
    return false;
  if (Current.RecentWork + Settings.SizeWeight * Added.RecentWork >
          workLimit() &&
      Current.RecentWork > Settings.IdleWork * workLimit())
    return false;
  const auto Shortest = ShortestObjective.find(Query.Service);
  const Milliseconds Objective =
      Shortest == ShortestObjective.end()
          ? Query.LatencyObjective
          : std::min(Query.LatencyObjective, Shortest->second);
  const double MaxUnreadPrompt = PromptTokensPerMs * Settings.PromptWindow *
                                 static_cast<double>(Objective.count());
  return Current.UnreadPrompt + Settings.SizeWeight * Added.UnreadPrompt <=
             MaxUnreadPrompt ||
         Current.UnreadPrompt <= Settings.IdleWork * MaxUnreadPrompt;
}

PlacementChoice Placement::choose(const PlacementQuery &Query) const {
  if (Config == nullptr)
    return {};
  const TimePoint Now = Time.now();
  Table.decay(Now);
  if (!Query.Affinity)
    return chooseLessLoaded(Query, Now);
  const auto &Candidates = Table.upstreamsOf(Query.Service);
  std::vector<std::pair<std::uint64_t, UpstreamState *>> Ranked;
  Ranked.reserve(Candidates.size());
  for (UpstreamState *State : Candidates)
    if (isEligible(*State, Query, Now))
      Ranked.emplace_back(
          stableHash({reinterpret_cast<const char *>(&State->Key.Value),
                      sizeof(State->Key.Value)},
                     *Query.Affinity),
          State);
  const std::size_t RanksToTry =
      std::min<std::size_t>(Settings.AffinityRanks, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(RanksToTry),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return Left.first > Right.first;
                    });
  const UpstreamState *FetchFrom =
      RanksToTry > 0 && canFetchPrefix(Query.Service) ? Ranked.front().second
                                                      : nullptr;
  for (std::size_t Rank = 0; Rank < RanksToTry; ++Rank)
    if (hasCapacity(*Ranked[Rank].second, Query, Rank == 0))
      return {Ranked[Rank].second, Rank == 0, Rank == 0 ? nullptr : FetchFrom};
  PlacementChoice Choice = chooseLessLoaded(Query, Now);
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
  const double Work = workLimit() > 0 ? Load.RecentWork / workLimit() : 0;
  // Prefers this router's zone between upstreams of equal load.
  return Load.Running / Slots + Work +
         (Upstream.Record.Zone == Zone ? 0 : CrossZonePenaltySlots / Slots);
}

PlacementChoice Placement::chooseLessLoaded(const PlacementQuery &Query,
                                            TimePoint Now) const {
  std::vector<UpstreamState *> Eligible;
  for (UpstreamState *State : Table.upstreamsOf(Query.Service))
    if (isEligible(*State, Query, Now))
      Eligible.push_back(State);
  // All routers act on the same reports. Sampling before comparing loads limits
  // the requests that one upstream gets until the next report, also if it is
  // the only one that appears to have capacity.
  const Service *Pool = Config->findService(Query.Service);
  const bool Sample = Pool != nullptr && Pool->Engine.has_value();
  const std::size_t Comparisons =
      Sample && !Eligible.empty() ? std::size_t(SampleSize) : Eligible.size();
  PlacementChoice Best;
  for (std::size_t Index = 0; Index < Comparisons; ++Index) {
    UpstreamState *State =
        Sample ? Eligible[Random.below(Eligible.size())] : Eligible[Index];
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
         Current.RecentWork < Settings.SpareWork * workLimit();
}

bool Placement::isIdle(const UpstreamState &Upstream) const {
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const UpstreamLoad Current = Upstream.total();
  // What a limit leaves is scarce, however few requests run.
  return !Table.limits().limitOf(Upstream.Process) &&
         Current.Running < Settings.IdleWork * Slots &&
         Current.RecentWork < Settings.IdleWork * workLimit();
}

} // namespace mallowglade::dataplane

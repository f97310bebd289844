#include <mallowglade/detail/dataplane/placement.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// An engine reads a prompt about this many times faster than its share of the
/// stated capacity, which also covers generation.
constexpr double ReadingOverCapacity = 2.0;
/// Reading rate assumed when no capacity is stated.
constexpr double DefaultPromptTokensPerMs = 40;
/// Prompt tokens that take an engine as long as one output token.
constexpr double PromptTokensPerOutputToken = 10;
/// Part of an engine's memory that requests may claim.
constexpr double KvFill = 0.9;
/// Upstreams drawn at random of which the less loaded one is taken.
constexpr unsigned Draws = 3;
/// Requests that an upstream of another zone has to be ahead by.
constexpr double ForeignZoneSlots = 0.5;
/// Load below which capacity counts as spare.
constexpr double SpareSlots = 0.6;

} // namespace

UpstreamLoad WorkEstimate::load(bool PartsKept) const {
  UpstreamLoad Load;
  Load.Running = 1;
  Load.UnreadPrompt = UncachedPrompt + (PartsKept ? 0 : SharedPrompt);
  Load.KvTokens = UncachedPrompt + SharedPrompt + OutputTokens;
  Load.RecentWork =
      Load.UnreadPrompt + PromptTokensPerOutputToken * OutputTokens;
  return Load;
}

void Placement::configure(const Configuration &Current) {
  Config = &Current;
  // A long prompt delays the first tokens of all requests beside it, so the
  // most urgent route sets the bound for all.
  ShortestObjective.clear();
  for (const Route &Each : Current.Routes)
    for (const ServiceWeight &Target : Each.Services) {
      const auto [At, New] =
          ShortestObjective.try_emplace(Target.Service, Each.LatencyObjective);
      if (!New)
        At->second = std::min(At->second, Each.LatencyObjective);
    }
  std::size_t Engines = 0;
  for (const Service &Each : Current.Services)
    if (Each.Engine)
      Engines += Table.ofService(Each.Name).size();
  if (Current.Limits.TokensPerSecond <= 0 || Engines == 0) {
    PromptTokensPerMs = DefaultPromptTokensPerMs;
  } else {
    constexpr double MillisecondsPerSecond = 1'000;
    PromptTokensPerMs = ReadingOverCapacity * Current.Limits.TokensPerSecond /
                        static_cast<double>(Engines) / MillisecondsPerSecond;
  }
  WorkLimit = Settings.WorkShare * PromptTokensPerMs *
              static_cast<double>(RecentSpan.count());
}

bool Placement::usable(const UpstreamState &Upstream,
                       const PlacementQuery &Query, TimePoint Now) const {
  return Upstream.Record.Ready && Upstream.AvoidUntil <= Now &&
         !Query.Excluded.contains(Upstream.Record.Id);
}

bool Placement::anyUsable(const ServiceId &Name) const {
  const auto &All = Table.ofService(Name);
  return std::any_of(All.begin(), All.end(), [](const UpstreamState *State) {
    return State->Record.Ready;
  });
}

bool Placement::fits(const UpstreamState &Upstream, const PlacementQuery &Query,
                     bool PartsKept) const {
  const UpstreamLoad Now = Upstream.total();
  const double Slots = std::max(1U, Upstream.Record.Slots);
  if (Now.Running + 1 > Slots)
    return false;
  const Service *Kind = Config->serviceOf(Query.Service);
  if (Kind == nullptr || !Kind->Engine)
    return true;
  const UpstreamLoad More = Query.Work.load(PartsKept);
  if (Now.Running > 0 &&
      Now.KvTokens + More.KvTokens > KvFill * Kind->Engine->KvCapacityTokens)
    return false;
  if (Now.RecentWork + Settings.SizeWeight * More.RecentWork > workLimit() &&
      Now.RecentWork > Settings.IdleWork * workLimit())
    return false;
  const auto Shortest = ShortestObjective.find(Query.Service);
  const Milliseconds Objective =
      Shortest == ShortestObjective.end()
          ? Query.LatencyObjective
          : std::min(Query.LatencyObjective, Shortest->second);
  const double Window = PromptTokensPerMs * Settings.PromptWindow *
                        static_cast<double>(Objective.count());
  return Now.UnreadPrompt + Settings.SizeWeight * More.UnreadPrompt <= Window ||
         Now.UnreadPrompt <= Settings.IdleWork * Window;
}

PlacementChoice Placement::choose(const PlacementQuery &Query) const {
  if (Config == nullptr)
    return {};
  const TimePoint Now = Time.now();
  Table.decay(Now);
  if (!Query.Affinity)
    return lessLoaded(Query, Now);
  const auto &All = Table.ofService(Query.Service);
  std::vector<std::pair<std::uint64_t, UpstreamState *>> Ranked;
  Ranked.reserve(All.size());
  for (UpstreamState *State : All)
    if (usable(*State, Query, Now))
      Ranked.emplace_back(
          stableHash({reinterpret_cast<const char *>(&State->Key.Value),
                      sizeof(State->Key.Value)},
                     *Query.Affinity),
          State);
  const std::size_t Tried =
      std::min<std::size_t>(Settings.AffinityRanks, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Tried),
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      return Left.first > Right.first;
                    });
  const UpstreamState *FetchFrom =
      Tried > 0 && canFetch(Query.Service) ? Ranked.front().second : nullptr;
  for (std::size_t Rank = 0; Rank < Tried; ++Rank)
    if (fits(*Ranked[Rank].second, Query, Rank == 0))
      return {Ranked[Rank].second, Rank == 0, Rank == 0 ? nullptr : FetchFrom};
  PlacementChoice Choice = lessLoaded(Query, Now);
  Choice.FetchFrom = FetchFrom;
  return Choice;
}

bool Placement::canFetch(const ServiceId &Name) const {
  const Service *Kind = Config->serviceOf(Name);
  return Kind != nullptr && Kind->Engine && Kind->Engine->FetchesParts;
}

double Placement::score(const UpstreamState &Upstream) const {
  const UpstreamLoad Load = Upstream.total();
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const double Work = workLimit() > 0 ? Load.RecentWork / workLimit() : 0;
  // The own zone wins between upstreams of equal load.
  return Load.Running / Slots + Work +
         (Upstream.Record.Zone == Zone ? 0 : ForeignZoneSlots / Slots);
}

PlacementChoice Placement::lessLoaded(const PlacementQuery &Query,
                                      TimePoint Now) const {
  std::vector<UpstreamState *> Usable;
  for (UpstreamState *State : Table.ofService(Query.Service))
    if (usable(*State, Query, Now))
      Usable.push_back(State);
  // All routers read the same reports. Drawing before looking at the loads
  // bounds what one upstream gets until the next report, also where it is the
  // only one that seems to have room.
  const Service *Kind = Config->serviceOf(Query.Service);
  const bool Draw = Kind != nullptr && Kind->Engine.has_value();
  const std::size_t Looks =
      Draw && !Usable.empty() ? std::size_t(Draws) : Usable.size();
  PlacementChoice Best;
  for (std::size_t Look = 0; Look < Looks; ++Look) {
    UpstreamState *State =
        Draw ? Usable[Random.below(Usable.size())] : Usable[Look];
    if (fits(*State, Query, false) &&
        (Best.Upstream == nullptr || score(*State) < score(*Best.Upstream)))
      Best.Upstream = State;
  }
  return Best;
}

bool Placement::hasSpare(const UpstreamState &Upstream) const {
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const UpstreamLoad Now = Upstream.total();
  return Now.Running < SpareSlots * Slots &&
         Now.RecentWork < Settings.SpareWork * workLimit();
}

bool Placement::isIdle(const UpstreamState &Upstream) const {
  const double Slots = std::max(1U, Upstream.Record.Slots);
  const UpstreamLoad Now = Upstream.total();
  return Now.Running < Settings.IdleWork * Slots &&
         Now.RecentWork < Settings.IdleWork * workLimit();
}

} // namespace mallowglade::dataplane

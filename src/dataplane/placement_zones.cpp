#include <mallowglade/detail/dataplane/placement.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Recent uses of a prefix below which this router has not seen it before.
constexpr double FirstUse = 1.2;
/// Time to prefill a prefix from which on fetching it is clearly faster.
constexpr PreciseMilliseconds MinFetchedPrefill{20};

} // namespace

double Placement::utilization(const UpstreamState &Upstream) const {
  const UpstreamLoad Load = Upstream.total();
  const double Slots = std::max(1U, Upstream.Record.Slots);
  double InUse = Load.Running / Slots;
  if (workLimit() > 0)
    InUse = std::max(InUse, Load.RecentWork / workLimitOf(Upstream));
  return std::min(1.0, InUse);
}

void Placement::updateZoneLoads(const ServiceId &Name, TimePoint Now) {
  if (!Zones->isDue(Name))
    return;
  PlacementQuery Any;
  Any.Service = Name;
  ZoneLoads Loads;
  for (const UpstreamState *State : Table.upstreamsOf(Name)) {
    const Eligibility Found = eligibility(*State, Any, Now);
    // What may start no request now has no room, however few run.
    const bool IsUsedUp = Found == Eligibility::LimitUsedUp;
    if (Found != Eligibility::Eligible && !IsUsedUp)
      continue;
    ZoneLoad &Load = Loads[State->Record.Zone];
    Load.Upstreams += 1;
    Load.Utilization += IsUsedUp ? 1 : utilization(*State);
  }
  for (auto &[ZoneName, Load] : Loads)
    Load.Utilization /= Load.Upstreams;
  Zones->setLoads(Name, Loads, shortestObjective(Name, Milliseconds::max()));
}

void Placement::recordPrefixUse(PlacementQuery &Query) {
  if (Zones && Query.Affinity)
    Query.PrefixUses = Prefixes.record(*Query.Affinity);
}

bool Placement::statesWorkTime(const ServiceId &Name) const {
  if (!Table.statedLoads().anyWorkTime())
    return false;
  const auto &Members = Table.upstreamsOf(Name);
  return std::any_of(
      Members.begin(), Members.end(), [this](const UpstreamState *State) {
        return Table.statedLoads().statesWorkTime(State->Process);
      });
}

bool Placement::sharesHolders(const ServiceId &Name) const {
  return canFetchPrefix(Name) && (Zones || statesWorkTime(Name));
}

bool Placement::sharesHolders(const PlacementQuery &Query) const {
  return Query.Affinity &&
         PreciseMilliseconds(Query.Work.SharedPrompt / PromptTokensPerMs) >=
             MinFetchedPrefill &&
         sharesHolders(Query.Service);
}

bool Placement::mayFetchFrom(const ServiceId &Name, const ZoneId &From) const {
  return From == Zone || (Zones ? Zones->mayFetchFrom(Name, From)
                                : !SilentZones.contains(From));
}

void Placement::recordPrefixRead(const PlacementQuery &Query,
                                 UpstreamProcess Engine) {
  if (sharesHolders(Query))
    Holders.recordRead(*Query.Affinity, Engine);
}

const UpstreamState *Placement::findProcess(const ServiceId &Name,
                                            UpstreamProcess Process) const {
  const auto &Members = Table.upstreamsOf(Name);
  const auto Found = std::find_if(Members.begin(), Members.end(),
                                  [Process](const UpstreamState *State) {
                                    return State->Process == Process;
                                  });
  return Found == Members.end() ? nullptr : *Found;
}

const UpstreamState *Placement::holderFor(const PlacementQuery &Query,
                                          const UpstreamState &Target,
                                          TimePoint Now) const {
  const UpstreamState *Elsewhere = nullptr;
  for (const UpstreamProcess Engine : Holders.holdersOf(*Query.Affinity)) {
    const UpstreamState *State = findProcess(Query.Service, Engine);
    if (State == nullptr || !State->staysInUse() || !isAllowed(*State, Query) ||
        State->BackoffUntil > Now ||
        Query.Excluded.contains(State->Record.Id) ||
        Table.cold().isCold(State->Process))
      continue;
    if (State->Record.Zone == Target.Record.Zone)
      return State;
    if (Elsewhere == nullptr && mayFetchFrom(Query.Service, State->Record.Zone))
      Elsewhere = State;
  }
  return Elsewhere;
}

void Placement::setSilentZones(std::set<ZoneId> Silent) {
  if (Zones)
    Zones->setSilentZones(Silent);
  SilentZones = std::move(Silent);
}

PlacementChoice Placement::withHolder(const PlacementQuery &Query,
                                      PlacementChoice Choice,
                                      TimePoint Now) const {
  if (Choice.Upstream == nullptr || !sharesHolders(Query))
    return Choice;
  const UpstreamState &Target = *Choice.Upstream;
  if (Holders.holds(*Query.Affinity, Target.Process) &&
      !Table.cold().isCold(Target.Process)) {
    Choice.PrefixCached = true;
    Choice.FetchFrom = nullptr;
  } else if (const UpstreamState *Holder = holderFor(Query, Target, Now)) {
    Choice.FetchFrom = Holder;
  } else if (Choice.FetchFrom != nullptr &&
             Choice.FetchFrom->Record.Zone != Target.Record.Zone &&
             !mayFetchFrom(Query.Service, Choice.FetchFrom->Record.Zone)) {
    Choice.FetchFrom = nullptr;
  }
  return Choice;
}

UpstreamState *Placement::fleetHome(const PlacementQuery &Query,
                                    TimePoint Now) const {
  UpstreamState *Home = nullptr;
  std::uint64_t Highest = 0;
  for (UpstreamState *State : eligible(Query, Now, nullptr)) {
    const std::uint64_t Rank = affinityRank(*State, *Query.Affinity);
    if (Home == nullptr || Rank > Highest) {
      Home = State;
      Highest = Rank;
    }
  }
  return Home;
}

bool Placement::deservesOwnHome(const PlacementQuery &Query) const {
  if (!Query.Affinity || canFetchPrefix(Query.Service))
    return true;
  const PreciseMilliseconds Prefill(Query.Work.SharedPrompt /
                                    PromptTokensPerMs);
  return Zones->deservesOwnHome(Prefill, Query.PrefixUses);
}

PlacementChoice Placement::chooseHere(const PlacementQuery &Query,
                                      const Candidates &Near,
                                      TimePoint Now) const {
  PlacementChoice Choice = chooseAmong(Query, Near);
  // The first use of a prefix here: another zone may have it.
  if (Choice.Upstream != nullptr && Query.Affinity &&
      canFetchPrefix(Query.Service) && Query.PrefixUses < FirstUse) {
    const UpstreamState *Home = fleetHome(Query, Now);
    if (Home != Choice.Upstream &&
        Zones->mayFetchFrom(Query.Service, Home->Record.Zone))
      Choice.FetchFrom = Home;
  }
  return Choice;
}

PlacementChoice Placement::chooseZone(const PlacementQuery &Query,
                                      TimePoint Now) {
  updateZoneLoads(Query.Service, Now);
  const std::uint64_t Point =
      Query.Affinity ? stableHash("zone", *Query.Affinity) : Random->next();
  const ZoneId Preferred = Zones->zoneOf(Query.Service, Point);
  if (Preferred == Zone) {
    UpstreamState *Home =
        deservesOwnHome(Query) ? nullptr : fleetHome(Query, Now);
    if (Home != nullptr && Home->Record.Zone != Zone &&
        Zones->mayFollowPrefix(Query.Service, Home->Record.Zone) &&
        hasCapacity(*Home, Query, true))
      return {Home, true, nullptr, LeavesZone::ForPrefix};
  } else {
    PlacementChoice Choice =
        chooseAmong(Query, eligible(Query, Now, &Preferred));
    Choice.Leaves = LeavesZone::ForLoad;
    if (Choice.Upstream != nullptr)
      return Choice;
  }
  const Candidates Near = eligible(Query, Now, &Zone);
  // The request's homes or its failed attempts may exclude the whole zone.
  if (Near.empty()) {
    PlacementChoice Choice = chooseAmong(Query, eligible(Query, Now, nullptr));
    Choice.Leaves = LeavesZone::ForLoad;
    return Choice;
  }
  const PlacementChoice Here = chooseHere(Query, Near, Now);
  if (Here.Upstream != nullptr && hasSpareCapacity(*Here.Upstream))
    return Here;
  for (const ZoneId &Other : Zones->overflowZones(Query.Service)) {
    PlacementChoice Choice = chooseAmong(Query, eligible(Query, Now, &Other));
    Choice.Leaves = LeavesZone::ForLoad;
    if (Choice.Upstream != nullptr &&
        (Here.Upstream == nullptr || hasSpareCapacity(*Choice.Upstream)))
      return Choice;
  }
  return Here;
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/placement.hpp>

#include <limits>

namespace mallowglade::dataplane {

std::string_view toString(ChoiceRule Rule) {
  switch (Rule) {
  case ChoiceRule::PrefixHome:
    return "prefix_home";
  case ChoiceRule::PrefixRank:
    return "prefix_rank";
  case ChoiceRule::LeastLoaded:
    return "least_loaded";
  case ChoiceRule::SmallService:
    return "small_service";
  }
  return "least_loaded";
}

std::string_view toString(Eligibility State) {
  switch (State) {
  case Eligibility::Eligible:
    return "eligible";
  case Eligibility::Recovering:
    return "recovering";
  case Eligibility::NotReady:
    return "not_ready";
  case Eligibility::Leaving:
    return "leaving";
  case Eligibility::Evacuated:
    return "evacuated";
  case Eligibility::OutsideHomes:
    return "outside_homes";
  case Eligibility::BackingOff:
    return "backing_off";
  case Eligibility::Paused:
    return "paused";
  case Eligibility::LimitUsedUp:
    return "limit_used_up";
  case Eligibility::Excluded:
    return "excluded";
  }
  return "not_ready";
}

std::string_view toString(Capacity State) {
  switch (State) {
  case Capacity::Free:
    return "free";
  case Capacity::SlotsTaken:
    return "slots_taken";
  case Capacity::KvCacheFull:
    return "kv_cache_full";
  case Capacity::WorkLimitReached:
    return "work_limit_reached";
  case Capacity::UnreadLimitReached:
    return "unread_limit_reached";
  }
  return "slots_taken";
}

std::vector<PlacementCandidate>
Placement::candidates(const PlacementQuery &Query) const {
  if (Config == nullptr)
    return {};
  const TimePoint Now = Time.now();
  Table.decay(Now);
  std::unordered_map<const UpstreamState *, std::size_t> Ranks;
  const auto AddRanks = [&](const ZoneId *Only) {
    std::size_t Rank = 0;
    for (const UpstreamState *State :
         rankForPrefix(*Query.Affinity, eligible(Query, Now, Only),
                       std::numeric_limits<std::size_t>::max()))
      Ranks[State] = ++Rank;
  };
  const auto &Members = Table.upstreamsOf(Query.Service);
  if (Query.Affinity && choosesZoneFirst(Query.Service)) {
    // Each zone may have a home of its own.
    std::set<ZoneId> Names;
    for (const UpstreamState *State : Members)
      Names.insert(State->Record.Zone);
    for (const ZoneId &Name : Names)
      AddRanks(&Name);
  } else if (Query.Affinity) {
    AddRanks(nullptr);
  }
  const Service *Pool = Config->findService(Query.Service);
  const bool IsEngine = Pool != nullptr && Pool->Engine;
  std::vector<PlacementCandidate> Found;
  Found.reserve(Members.size());
  for (const UpstreamState *State : Members) {
    PlacementCandidate Candidate;
    Candidate.Upstream = State;
    Candidate.State = eligibility(*State, Query, Now);
    if (const auto Ranked = Ranks.find(State); Ranked != Ranks.end())
      Candidate.Rank = Ranked->second;
    Candidate.Room = capacity(*State, Query, Candidate.Rank == 1);
    Candidate.Score = score(*State);
    Candidate.Speed = speedOf(*State);
    Candidate.Cold = Table.cold().isCold(State->Process);
    if (IsEngine) {
      Candidate.WorkLimit = workLimitOf(*State);
      Candidate.UnreadLimit = unreadLimitOf(*State, Query);
    }
    Found.push_back(Candidate);
  }
  return Found;
}

} // namespace mallowglade::dataplane

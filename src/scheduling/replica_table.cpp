#include <mallowglade/detail/scheduling/replica_table.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

// Load is polled each second and may be a second old when it arrives.
constexpr Milliseconds ReportLag{2'000};
constexpr std::uint32_t PeriodsUntilKnown = 1;
// A prefix cache is small; older placements have most likely been evicted.
constexpr std::size_t MaxPrefixes = 256;

} // namespace

std::uint32_t FleetPart::of(std::uint32_t Limit) const {
  if (whole())
    return Limit;
  const std::uint64_t Product = static_cast<std::uint64_t>(Limit) * Heard;
  const std::uint64_t Rounding = majority() ? Registered - 1 : 0;
  return static_cast<std::uint32_t>((Product + Rounding) / Registered);
}

std::uint32_t Replica::foreign(const FleetPart &Part) const {
  // A report lags, so it may still count any recent number of own requests.
  // The estimate is low: a late report must not leave a slot idle.
  const std::uint32_t Known = std::max({Own, RecentMost, PreviousMost});
  const std::uint32_t Reported = Info.Reported.value_or(0);
  const std::uint32_t Low = Reported > Known ? Reported - Known : 0;
  return Part.whole() ? Low : std::max(Low, Lost);
}

void Replica::settleLost() {
  if (!Info.Reported) {
    // Without load reports there is nothing to wait for.
    Lost = Periods > PeriodsUntilKnown ? 0 : Lost;
    return;
  }
  if (LostUnknown) {
    LostUnknown = false;
    Lost = *Info.Reported > Own ? *Info.Reported - Own : 0;
  }
  if (Periods <= PeriodsUntilKnown)
    return;
  const std::uint32_t Most =
      std::max({*Info.Reported, RecentReport, PreviousReport});
  const std::uint32_t Least = std::min({Own, RecentLeast, PreviousLeast});
  Lost = std::min(Lost, Most > Least ? Most - Least : 0);
}

std::uint32_t Replica::usable(const FleetPart &Part) const {
  if (Gone)
    return 0;
  const std::uint32_t Whole = Limit.value();
  const std::uint32_t Others = std::min(Whole, foreign(Part));
  return std::min(Part.of(Whole), Whole - Others);
}

ReplicaTable::ReplicaTable(const LimitSettings &Settings)
    : Settings(Settings) {}

LimitSettings ReplicaTable::limitsOf(const ReplicaInfo &Info) const {
  LimitSettings Limits = Settings;
  if (Info.MaxInFlight > 0)
    Limits.Max = std::min(Limits.Max, Info.MaxInFlight);
  return Limits;
}

void ReplicaTable::configure(const LimitSettings &Updated) {
  Settings = Updated;
  for (auto &[Id, Known] : Replicas)
    Known.Limit.configure(limitsOf(Known.Info));
}

void ReplicaTable::update(const std::vector<ReplicaInfo> &List) {
  for (auto &[Id, Known] : Replicas)
    Known.Gone = true;
  for (const ReplicaInfo &Listed : List) {
    const auto [Found, Added] =
        Replicas.try_emplace(Listed.Id, limitsOf(Listed));
    Replica &Known = Found->second;
    if (Added && AssumeLost)
      assumeLost(Known);
    if (Known.Info.MaxInFlight != Listed.MaxInFlight)
      Known.Limit.configure(limitsOf(Listed));
    Known.Info = Listed;
    Known.Gone = false;
    Known.RecentReport =
        std::max(Known.RecentReport, Listed.Reported.value_or(0));
    Known.settleLost();
  }
  std::erase_if(Replicas, [](const auto &Entry) {
    return Entry.second.Gone && Entry.second.Own == 0;
  });
}

bool ReplicaTable::better(const Replica &Left, const Replica &Right,
                          const QueuedItem &Item, const ZoneId &Near) const {
  const bool LeftCached = Left.Prefixes.contains(Item.PrefixHash);
  const bool RightCached = Right.Prefixes.contains(Item.PrefixHash);
  if (LeftCached != RightCached)
    return LeftCached;
  const double LeftLoad = Left.Own / static_cast<double>(Left.Limit.value());
  const double RightLoad = Right.Own / static_cast<double>(Right.Limit.value());
  if (LeftLoad != RightLoad)
    return LeftLoad < RightLoad;
  const bool LeftNear = Left.Info.Zone == Near;
  const bool RightNear = Right.Info.Zone == Near;
  return LeftNear && !RightNear;
}

Replica *ReplicaTable::choose(const QueuedItem &Item, const ZoneId &Near,
                              const PlacementGuard *Guard) {
  Replica *Best = nullptr;
  Replica *BestAvoided = nullptr;
  for (auto &[Id, Candidate] : Replicas) {
    if (Candidate.Own >= Candidate.usable(Part))
      continue;
    if (Guard != nullptr && !Guard->mayPlace(Item.Print, Id))
      continue;
    const bool Avoided =
        std::find(Item.Avoid.begin(), Item.Avoid.end(), Id) != Item.Avoid.end();
    Replica *&Target = Avoided ? BestAvoided : Best;
    if (Target == nullptr || better(Candidate, *Target, Item, Near))
      Target = &Candidate;
  }
  return Best != nullptr ? Best : BestAvoided;
}

void ReplicaTable::acquire(Replica &Where, std::uint64_t PrefixHash,
                           TimePoint Now) {
  ++Where.Own;
  Where.RecentMost = std::max(Where.RecentMost, Where.Own);
  if (PrefixHash == 0)
    return;
  Where.Prefixes[PrefixHash] = Now;
  if (Where.Prefixes.size() <= MaxPrefixes)
    return;
  const auto Oldest =
      std::min_element(Where.Prefixes.begin(), Where.Prefixes.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second < Right.second;
                       });
  Where.Prefixes.erase(Oldest);
}

void ReplicaTable::adopt(const UpstreamId &Where) {
  const auto [Found, Added] = Replicas.try_emplace(Where, Settings);
  Replica &Known = Found->second;
  if (Added) {
    Known.Info.Id = Where;
    Known.Gone = true;
  }
  ++Known.Own;
  Known.RecentMost = std::max(Known.RecentMost, Known.Own);
}

void ReplicaTable::release(const UpstreamId &Where) {
  const auto Found = Replicas.find(Where);
  if (Found == Replicas.end() || Found->second.Own == 0)
    return;
  Replica &Known = Found->second;
  --Known.Own;
}

void ReplicaTable::setPart(const FleetPart &Updated) {
  Part = Updated;
  if (!Part.whole())
    return;
  AssumeLost = false;
  for (auto &[Id, Known] : Replicas) {
    Known.Lost = 0;
    Known.LostUnknown = false;
  }
}

void ReplicaTable::markLost(const UpstreamId &Where) {
  const auto Found = Replicas.find(Where);
  if (Found != Replicas.end())
    ++Found->second.Lost;
}

void ReplicaTable::assumeLost() {
  AssumeLost = !Part.whole();
  if (AssumeLost)
    for (auto &[Id, Known] : Replicas)
      assumeLost(Known);
}

void ReplicaTable::assumeLost(Replica &Known) const {
  // A minority waits for several reports. A majority, mostly after the death
  // of one owner, must not: it trusts the first one.
  const std::uint32_t Limit = Known.Limit.value();
  Known.LostUnknown = Part.majority();
  Known.Lost = Part.majority() ? 0 : Limit - std::min(Limit, Known.Own);
}

void ReplicaTable::sample(const UpstreamId &Where,
                          std::optional<Milliseconds> FirstToken,
                          std::optional<Milliseconds> InterToken) {
  const auto Found = Replicas.find(Where);
  if (Found != Replicas.end())
    Found->second.Limit.sample(FirstToken, InterToken);
}

void ReplicaTable::adjust(TimePoint Now) {
  for (auto &[Id, Known] : Replicas) {
    Known.Limit.adjust(Now);
    // Sampled after the grants, so that a slot that changes hands counts.
    Known.RecentLeast = std::min(Known.RecentLeast, Known.Own);
    Known.settleLost();
  }
  if (LastWindow && Now - *LastWindow < ReportLag)
    return;
  LastWindow = Now;
  for (auto &[Id, Known] : Replicas) {
    ++Known.Periods;
    Known.PreviousMost = Known.RecentMost;
    Known.RecentMost = Known.Own;
    Known.PreviousLeast = Known.RecentLeast;
    Known.RecentLeast = Known.Own;
    Known.PreviousReport = Known.RecentReport;
    Known.RecentReport = Known.Info.Reported.value_or(0);
  }
}

void ReplicaTable::markSaturated() {
  for (auto &[Id, Known] : Replicas)
    if (Known.Own >= Known.usable(Part))
      Known.Limit.markSaturated();
}

std::uint32_t ReplicaTable::capacity() const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Known] : Replicas)
    Sum += Known.usable(Part);
  return Sum;
}

std::uint32_t ReplicaTable::inFlight() const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Known] : Replicas)
    Sum += Known.Own;
  return Sum;
}

bool ReplicaTable::anyFree() const {
  return std::any_of(Replicas.begin(), Replicas.end(),
                     [this](const auto &Entry) {
                       return Entry.second.Own < Entry.second.usable(Part);
                     });
}

} // namespace mallowglade

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
  if (Heard >= Registered)
    return Limit;
  const std::uint64_t Product = static_cast<std::uint64_t>(Limit) * Heard;
  const std::uint64_t Rounding = majority() ? Registered - 1 : 0;
  return static_cast<std::uint32_t>((Product + Rounding) / Registered);
}

std::uint32_t Replica::foreign(const FleetPart &Part) const {
  const bool Whole = Part.Heard >= Part.Registered;
  const std::uint32_t Known = Whole
                                  ? std::max({Own, RecentMost, PreviousMost})
                                  : std::min({Own, RecentLeast, PreviousLeast});
  const std::uint32_t Latest = Info.Reported.value_or(0);
  const std::uint32_t Reported =
      Whole ? Latest : std::max({Latest, RecentReport, PreviousReport});
  return Reported > Known ? Reported - Known : 0;
}

std::uint32_t Replica::usable(const FleetPart &Part) const {
  if (Gone)
    return 0;
  // A minority that has just chosen a new owner does not trust a single load
  // report: the other side may use all slots, and some change hands just then.
  const bool Known = Periods > PeriodsUntilKnown || !Info.Reported;
  if (!Part.majority() && !Known)
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
    const auto Found = Replicas.try_emplace(Listed.Id, limitsOf(Listed)).first;
    Replica &Known = Found->second;
    if (Known.Info.MaxInFlight != Listed.MaxInFlight)
      Known.Limit.configure(limitsOf(Listed));
    Known.Info = Listed;
    Known.Gone = false;
    Known.RecentReport =
        std::max(Known.RecentReport, Listed.Reported.value_or(0));
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
  Known.RecentLeast = std::min(Known.RecentLeast, Known.Own);
}

void ReplicaTable::trustReport(const UpstreamId &Where) {
  const auto Found = Replicas.find(Where);
  if (Found == Replicas.end())
    return;
  Found->second.RecentMost = Found->second.Own;
  Found->second.PreviousMost = Found->second.Own;
}

void ReplicaTable::sample(const UpstreamId &Where,
                          std::optional<Milliseconds> FirstToken,
                          std::optional<Milliseconds> InterToken) {
  const auto Found = Replicas.find(Where);
  if (Found != Replicas.end())
    Found->second.Limit.sample(FirstToken, InterToken);
}

void ReplicaTable::adjust(TimePoint Now) {
  for (auto &[Id, Known] : Replicas)
    Known.Limit.adjust(Now);
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

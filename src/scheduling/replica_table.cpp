#include <mallowglade/detail/scheduling/replica_table.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

// Load is polled every second and may be one second old when it arrives.
constexpr Milliseconds ReportLag{2'000};
// Reports of these first periods are not used to lower the lost slots.
constexpr std::uint32_t SettlingPeriods = 1;
// Prefix caches are small: older prefixes have most likely been evicted.
constexpr std::size_t MaxPrefixes = 256;

} // namespace

std::uint32_t FleetCoverage::scaled(std::uint32_t Limit) const {
  if (complete())
    return Limit;
  const std::uint64_t Product = static_cast<std::uint64_t>(Limit) * Heard;
  const std::uint64_t Rounding = majority() ? Registered - 1 : 0;
  return static_cast<std::uint32_t>((Product + Rounding) / Registered);
}

std::uint32_t Replica::foreign(const FleetCoverage &Coverage) const {
  // A report lags, so it may include any recent number of this cell's requests.
  // Subtracting the maximum gives a low estimate, so that an outdated report
  // does not leave a slot idle.
  const std::uint32_t MaxInFlight =
      std::max({InFlight, RecentMaxInFlight, PreviousMaxInFlight});
  const std::uint32_t Reported = Info.Reported.value_or(0);
  const std::uint32_t Low = Reported > MaxInFlight ? Reported - MaxInFlight : 0;
  return Coverage.complete() ? Low : std::max(Low, LostSlots);
}

void Replica::updateLostSlots() {
  if (!Info.Reported) {
    // Without load reports the slots are considered free after a fixed time.
    LostSlots = Periods > SettlingPeriods ? 0 : LostSlots;
    return;
  }
  if (LostSlotsPending) {
    LostSlotsPending = false;
    LostSlots = *Info.Reported > InFlight ? *Info.Reported - InFlight : 0;
  }
  if (Periods <= SettlingPeriods)
    return;
  const std::uint32_t MaxReported =
      std::max({*Info.Reported, RecentMaxReported, PreviousMaxReported});
  const std::uint32_t MinInFlight =
      std::min({InFlight, RecentMinInFlight, PreviousMinInFlight});
  LostSlots = std::min(
      LostSlots, MaxReported > MinInFlight ? MaxReported - MinInFlight : 0);
}

std::uint32_t Replica::usable(const FleetCoverage &Coverage) const {
  if (Delisted)
    return 0;
  const std::uint32_t FullLimit = Limit.value();
  const std::uint32_t Others = std::min(FullLimit, foreign(Coverage));
  return std::min(Coverage.scaled(FullLimit), FullLimit - Others);
}

void Replica::refill(const FleetCoverage &Coverage, TimePoint Now) {
  MayStart = true;
  if (!Info.Rate) {
    Allowance.reset();
    return;
  }
  // Empty at first: the routers, or a former owner of the cell, may just have
  // used what they had.
  if (!Allowance)
    Allowance.emplace(0.0, Now);
  const double Covered =
      std::min(1.0, static_cast<double>(Coverage.Heard) /
                        static_cast<double>(Coverage.Registered));
  Allowance->setShare(
      RequestRate(std::max(MinRequestRate.Value, Info.Rate->Value) * Covered),
      Now);
  MayStart = Allowance->startableFrom(Now) <= Now;
}

ReplicaTable::ReplicaTable(const LimitSettings &Settings)
    : Settings(Settings) {}

LimitSettings ReplicaTable::effectiveLimits(const ReplicaInfo &Info) const {
  LimitSettings Limits = Settings;
  if (Info.MaxInFlight > 0)
    Limits.Max = std::min(Limits.Max, Info.MaxInFlight);
  return Limits;
}

void ReplicaTable::configure(const LimitSettings &Updated) {
  Settings = Updated;
  for (auto &[Id, Entry] : Replicas)
    Entry.Limit.configure(effectiveLimits(Entry.Info));
}

void ReplicaTable::update(const std::vector<ReplicaInfo> &List) {
  for (auto &[Id, Entry] : Replicas)
    Entry.Delisted = true;
  for (const ReplicaInfo &Listed : List) {
    const auto [Found, Added] =
        Replicas.try_emplace(Listed.Id, effectiveLimits(Listed));
    Replica &Entry = Found->second;
    if (Added && EstimateForNewReplicas)
      estimateLostSlots(Entry);
    if (Entry.Info.MaxInFlight != Listed.MaxInFlight)
      Entry.Limit.configure(effectiveLimits(Listed));
    Entry.Info = Listed;
    Entry.Delisted = false;
    Entry.RecentMaxReported =
        std::max(Entry.RecentMaxReported, Listed.Reported.value_or(0));
    Entry.updateLostSlots();
  }
  std::erase_if(Replicas, [](const auto &Entry) {
    return Entry.second.Delisted && Entry.second.InFlight == 0;
  });
}

bool ReplicaTable::isBetterTarget(const Replica &Left, const Replica &Right,
                                  const QueuedItem &Item,
                                  const ZoneId &RouterZone) const {
  const bool LeftCached = Left.Prefixes.contains(Item.PrefixHash);
  const bool RightCached = Right.Prefixes.contains(Item.PrefixHash);
  if (LeftCached != RightCached)
    return LeftCached;
  const double LeftLoad =
      Left.InFlight / static_cast<double>(Left.Limit.value());
  const double RightLoad =
      Right.InFlight / static_cast<double>(Right.Limit.value());
  if (LeftLoad != RightLoad)
    return LeftLoad < RightLoad;
  const bool LeftNear = Left.Info.Zone == RouterZone;
  const bool RightNear = Right.Info.Zone == RouterZone;
  return LeftNear && !RightNear;
}

Replica *ReplicaTable::choose(const QueuedItem &Item, const ZoneId &RouterZone,
                              const PlacementGuard *Guard) {
  Replica *Best = nullptr;
  Replica *BestAvoided = nullptr;
  for (auto &[Id, Candidate] : Replicas) {
    if (!Candidate.isFree(Coverage))
      continue;
    if (Guard != nullptr && !Guard->mayPlace(Item.RequestFingerprint, Id))
      continue;
    const bool Avoided =
        std::find(Item.Avoid.begin(), Item.Avoid.end(), Id) != Item.Avoid.end();
    Replica *&Target = Avoided ? BestAvoided : Best;
    if (Target == nullptr ||
        isBetterTarget(Candidate, *Target, Item, RouterZone))
      Target = &Candidate;
  }
  return Best != nullptr ? Best : BestAvoided;
}

void ReplicaTable::acquire(Replica &Target, std::uint64_t PrefixHash,
                           TimePoint Now) {
  ++Target.InFlight;
  if (Target.Allowance) {
    Target.Allowance->take(Now);
    Target.MayStart = Target.Allowance->startableFrom(Now) <= Now;
  }
  Target.RecentMaxInFlight =
      std::max(Target.RecentMaxInFlight, Target.InFlight);
  if (PrefixHash == 0)
    return;
  Target.Prefixes[PrefixHash] = Now;
  if (Target.Prefixes.size() <= MaxPrefixes)
    return;
  const auto Oldest =
      std::min_element(Target.Prefixes.begin(), Target.Prefixes.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second < Right.second;
                       });
  Target.Prefixes.erase(Oldest);
}

void ReplicaTable::adopt(const UpstreamId &Upstream) {
  const auto [Found, Added] = Replicas.try_emplace(Upstream, Settings);
  Replica &Entry = Found->second;
  if (Added) {
    Entry.Info.Id = Upstream;
    Entry.Delisted = true;
  }
  ++Entry.InFlight;
  Entry.RecentMaxInFlight = std::max(Entry.RecentMaxInFlight, Entry.InFlight);
}

void ReplicaTable::release(const UpstreamId &Upstream) {
  const auto Found = Replicas.find(Upstream);
  if (Found == Replicas.end() || Found->second.InFlight == 0)
    return;
  Replica &Entry = Found->second;
  --Entry.InFlight;
}

void ReplicaTable::refill(TimePoint Now) {
  for (auto &[Id, Entry] : Replicas)
    Entry.refill(Coverage, Now);
}

void ReplicaTable::giveBack(const UpstreamId &Upstream, TimePoint Now) {
  const auto Found = Replicas.find(Upstream);
  if (Found != Replicas.end() && Found->second.Allowance)
    Found->second.Allowance->giveBack(Now);
}

void ReplicaTable::setCoverage(const FleetCoverage &Updated) {
  Coverage = Updated;
  if (!Coverage.complete())
    return;
  EstimateForNewReplicas = false;
  for (auto &[Id, Entry] : Replicas) {
    Entry.LostSlots = 0;
    Entry.LostSlotsPending = false;
  }
}

void ReplicaTable::markSlotLost(const UpstreamId &Upstream) {
  const auto Found = Replicas.find(Upstream);
  if (Found != Replicas.end())
    ++Found->second.LostSlots;
}

void ReplicaTable::estimateLostSlots() {
  EstimateForNewReplicas = !Coverage.complete();
  if (EstimateForNewReplicas)
    for (auto &[Id, Entry] : Replicas)
      estimateLostSlots(Entry);
}

void ReplicaTable::estimateLostSlots(Replica &Entry) const {
  // A minority assumes that all other slots are in use until several reports
  // show otherwise. A majority, usually after the failure of a single owner,
  // must not stall, so it relies on the first report.
  const std::uint32_t Limit = Entry.Limit.value();
  Entry.LostSlotsPending = Coverage.majority();
  Entry.LostSlots =
      Coverage.majority() ? 0 : Limit - std::min(Limit, Entry.InFlight);
}

void ReplicaTable::sample(const UpstreamId &Upstream,
                          std::optional<Milliseconds> FirstToken,
                          std::optional<Milliseconds> InterToken) {
  const auto Found = Replicas.find(Upstream);
  if (Found != Replicas.end())
    Found->second.Limit.sample(FirstToken, InterToken);
}

void ReplicaTable::adjust(TimePoint Now) {
  for (auto &[Id, Entry] : Replicas) {
    Entry.Limit.adjust(Now);
    // Sampled after the grants, so that a slot that was released and granted
    // again in the same round counts as in use.
    Entry.RecentMinInFlight = std::min(Entry.RecentMinInFlight, Entry.InFlight);
    Entry.updateLostSlots();
  }
  if (LastPeriodStart && Now - *LastPeriodStart < ReportLag)
    return;
  LastPeriodStart = Now;
  for (auto &[Id, Entry] : Replicas) {
    ++Entry.Periods;
    Entry.PreviousMaxInFlight = Entry.RecentMaxInFlight;
    Entry.RecentMaxInFlight = Entry.InFlight;
    Entry.PreviousMinInFlight = Entry.RecentMinInFlight;
    Entry.RecentMinInFlight = Entry.InFlight;
    Entry.PreviousMaxReported = Entry.RecentMaxReported;
    Entry.RecentMaxReported = Entry.Info.Reported.value_or(0);
  }
}

void ReplicaTable::markSaturated() {
  for (auto &[Id, Entry] : Replicas)
    if (Entry.InFlight >= Entry.usable(Coverage))
      Entry.Limit.markSaturated();
}

std::uint32_t ReplicaTable::capacity() const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Entry] : Replicas)
    Sum += Entry.usable(Coverage);
  return Sum;
}

std::uint32_t ReplicaTable::inFlight() const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Entry] : Replicas)
    Sum += Entry.InFlight;
  return Sum;
}

bool ReplicaTable::hasFreeSlot() const {
  return std::any_of(
      Replicas.begin(), Replicas.end(),
      [this](const auto &Entry) { return Entry.second.isFree(Coverage); });
}

} // namespace mallowglade

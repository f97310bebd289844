#include <mallowglade/detail/dataplane/fair_share.hpp>

#include <algorithm>
#include <limits>

namespace mallowglade::dataplane {

namespace {

/// Fraction of its admitted tokens that the unmet ones of a workspace exceed if
/// it counts as backlogged; also those of all workspaces together.
constexpr double UnmetFraction = 0.1;
/// Fraction of a fair share that a workspace has to demand to count as
/// backlogged; a single request in flight is no backlog.
constexpr double BacklogFraction = 0.25;
/// Factor by which the usage of a workspace may exceed that of the least served
/// one; allows for the delay of the peers' reports.
constexpr double ExcessFactor = 1.15;
/// Fraction of its stated capacity below which a pool that leaves requests
/// unmet counts as exhausted.
constexpr double ExhaustedFraction = 0.5;
/// Factor by which the stated capacity rises if it counts as another one, for
/// example at the end of an evacuation.
constexpr double ClearRise = 1.1;

bool leavesUnmet(const WorkspaceUsage &Usage) {
  return Usage.Unmet * (FairShare::Window / FairShare::BacklogWindow) >
         UnmetFraction * Usage.Admitted;
}

} // namespace

double maxMinLevel(std::vector<double> Demands, double Capacity) {
  std::sort(Demands.begin(), Demands.end());
  double Remaining = Capacity;
  std::size_t Count = Demands.size();
  for (const double Demand : Demands) {
    const double EqualShare = Remaining / static_cast<double>(Count);
    if (Demand >= EqualShare)
      return EqualShare;
    Remaining -= Demand;
    --Count;
  }
  return Demands.empty() ? Capacity : Demands.back() + Remaining;
}

std::int64_t FairShare::currentTick() const {
  return Time.now().time_since_epoch() / (Window / BucketCount);
}

WorkspaceUsage &FairShare::currentBucket(WorkspaceKey Key) {
  History &Usage = OwnHistory[Key];
  const std::int64_t Now = currentTick();
  const std::size_t Index = static_cast<std::size_t>(Now) % BucketCount;
  if (Usage.Ticks[Index] != Now) {
    Usage.Ticks[Index] = Now;
    Usage.Buckets[Index] = WorkspaceUsage();
  }
  return Usage.Buckets[Index];
}

WorkspaceUsage FairShare::windowTotal(const History &Usage) const {
  const std::int64_t Now = currentTick();
  WorkspaceUsage Sum;
  for (std::size_t Index = 0; Index < BucketCount; ++Index) {
    if (Usage.Ticks[Index] + static_cast<std::int64_t>(BucketCount) <= Now)
      continue;
    Sum.Demand += Usage.Buckets[Index].Demand;
    Sum.Admitted += Usage.Buckets[Index].Admitted;
    if (Usage.Ticks[Index] + BacklogBuckets > Now)
      Sum.Unmet += Usage.Buckets[Index].Unmet;
  }
  // What waited in a bucket that has left the window may be taken back in one
  // that has not.
  Sum.Unmet = std::max(0.0, Sum.Unmet);
  return Sum;
}

void FairShare::recordDemand(WorkspaceKey Key, double Tokens) {
  currentBucket(Key).Demand += Tokens;
}

void FairShare::recordAdmitted(WorkspaceKey Key, double Tokens) {
  currentBucket(Key).Admitted += Tokens;
}

void FairShare::recordUnmet(WorkspaceKey Key, double Tokens) {
  currentBucket(Key).Unmet += Tokens;
}

UsageTable FairShare::ownUsage() {
  UsageTable Table;
  for (auto It = OwnHistory.begin(); It != OwnHistory.end();) {
    const WorkspaceUsage Sum = windowTotal(It->second);
    if (Sum.Demand == 0 && Sum.Admitted == 0) {
      It = OwnHistory.erase(It);
      continue;
    }
    Table.emplace(It->first, Sum);
    ++It;
  }
  return Table;
}

void FairShare::update(double TokensPerSecond) {
  if (TokensPerSecond <= 0) {
    Level = 0;
    Exhausted = false;
    return;
  }
  UsageTable FleetUsage = ownUsage();
  for (const auto &[Key, Usage] : PeerUsage) {
    FleetUsage[Key].Demand += Usage.Demand;
    FleetUsage[Key].Admitted += Usage.Admitted;
    FleetUsage[Key].Unmet += Usage.Unmet;
  }
  std::vector<double> Demands;
  Demands.reserve(FleetUsage.size());
  WorkspaceUsage Total;
  for (const auto &[Key, Usage] : FleetUsage) {
    Demands.push_back(Usage.Demand);
    Total.Admitted += Usage.Admitted;
    Total.Unmet += Usage.Unmet;
  }
  // With cached prompts the pool can exceed its stated capacity.
  const double Stated =
      TokensPerSecond * std::chrono::duration<double>(Window).count();
  Level = maxMinLevel(Demands, std::max(Total.Admitted, Stated));
  const TimePoint Now = Time.now();
  if (LastStated > 0 && Stated > ClearRise * LastStated)
    SettledAt = Now + Window;
  LastStated = Stated;
  Exhausted = Now >= SettledAt && leavesUnmet(Total) &&
              Total.Admitted < ExhaustedFraction * Stated;
  // Shares of a stated capacity that the pool does not have are larger than any
  // demand.
  const double BacklogLevel =
      Exhausted ? maxMinLevel(std::move(Demands), Total.Admitted) : Level;
  LeastFill = std::numeric_limits<double>::infinity();
  for (const auto &[Key, Usage] : FleetUsage)
    if (leavesUnmet(Usage) && Usage.Demand > BacklogFraction * BacklogLevel)
      LeastFill = std::min(LeastFill, Usage.Admitted / Level);
}

bool FairShare::mayExceedShare(WorkspaceKey Key) {
  return Level <= 0 || shareFill(Key) <= LeastFill * ExcessFactor;
}

WorkspaceUsage FairShare::fleetUsage(WorkspaceKey Key) const {
  WorkspaceUsage Sum;
  if (const auto Own = OwnHistory.find(Key); Own != OwnHistory.end())
    Sum = windowTotal(Own->second);
  if (const auto Peers = PeerUsage.find(Key); Peers != PeerUsage.end()) {
    Sum.Demand += Peers->second.Demand;
    Sum.Admitted += Peers->second.Admitted;
    Sum.Unmet += Peers->second.Unmet;
  }
  return Sum;
}

double FairShare::shareFill(WorkspaceKey Key) {
  return Level <= 0 ? 0 : fleetUsage(Key).Admitted / Level;
}

bool FairShare::withinShare(WorkspaceKey Key) { return shareFill(Key) < 1; }

bool FairShare::admitsFromShare(WorkspaceKey Key, RandomSource &Random) {
  if (!withinShare(Key))
    return false;
  if (!CapacityReduced || Level <= 0)
    return true;
  const WorkspaceUsage Usage = fleetUsage(Key);
  // It asks for no more than its share.
  if (Usage.Demand <= Level)
    return true;
  const double Rest = Level - Usage.Admitted;
  const double Expected =
      Usage.Demand * (std::chrono::duration<double>(ReportDelay) /
                      std::chrono::duration<double>(Window));
  constexpr std::uint64_t Resolution = 1'000;
  return Expected <= Rest ||
         static_cast<double>(Random.below(Resolution)) * Expected <
             Rest * static_cast<double>(Resolution);
}

} // namespace mallowglade::dataplane

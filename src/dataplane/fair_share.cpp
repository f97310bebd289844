#include <mallowglade/detail/dataplane/fair_share.hpp>

#include <algorithm>
#include <limits>

namespace mallowglade::dataplane {

namespace {

/// A workspace that asked for this many times what it got was refused work.
constexpr double RefusedWorkFactor = 1.1;
/// Part of a share that a workspace has to ask for to count as backlogged; one
/// request in flight is no backlog.
constexpr double BackloggedPart = 0.25;
/// How far a workspace may be ahead of the least served one; covers the lag
/// of the peers' tables.
constexpr double ExcessFactor = 1.15;

} // namespace

double maxMinLevel(std::vector<double> Asked, double Capacity) {
  std::sort(Asked.begin(), Asked.end());
  double Left = Capacity;
  std::size_t Count = Asked.size();
  for (const double Demand : Asked) {
    const double Even = Left / static_cast<double>(Count);
    if (Demand >= Even)
      return Even;
    Left -= Demand;
    --Count;
  }
  return Asked.empty() ? Capacity : Asked.back() + Left;
}

std::int64_t FairShare::tick() const {
  return Time.now().time_since_epoch() / (Window / Buckets);
}

WorkspaceUsage &FairShare::slotOf(WorkspaceKey Who) {
  History &Of = Own[Who];
  const std::int64_t Now = tick();
  const std::size_t At = static_cast<std::size_t>(Now) % Buckets;
  if (Of.Ticks[At] != Now) {
    Of.Ticks[At] = Now;
    Of.Slots[At] = WorkspaceUsage();
  }
  return Of.Slots[At];
}

WorkspaceUsage FairShare::sumOf(const History &Of) const {
  const std::int64_t Now = tick();
  WorkspaceUsage Sum;
  for (std::size_t At = 0; At < Buckets; ++At) {
    if (Of.Ticks[At] + static_cast<std::int64_t>(Buckets) <= Now)
      continue;
    Sum.Asked += Of.Slots[At].Asked;
    Sum.Admitted += Of.Slots[At].Admitted;
  }
  return Sum;
}

void FairShare::asked(WorkspaceKey Who, double Tokens) {
  slotOf(Who).Asked += Tokens;
}

void FairShare::admitted(WorkspaceKey Who, double Tokens) {
  slotOf(Who).Admitted += Tokens;
}

UsageTable FairShare::ownUsage() {
  UsageTable Table;
  for (auto At = Own.begin(); At != Own.end();) {
    const WorkspaceUsage Sum = sumOf(At->second);
    if (Sum.Asked == 0 && Sum.Admitted == 0) {
      At = Own.erase(At);
      continue;
    }
    Table.emplace(At->first, Sum);
    ++At;
  }
  return Table;
}

void FairShare::update(double TokensPerSecond) {
  if (TokensPerSecond <= 0) {
    Level = 0;
    return;
  }
  UsageTable Fleet = ownUsage();
  for (const auto &[Who, Usage] : Peers) {
    Fleet[Who].Asked += Usage.Asked;
    Fleet[Who].Admitted += Usage.Admitted;
  }
  std::vector<double> Asked;
  Asked.reserve(Fleet.size());
  double Admitted = 0;
  for (const auto &[Who, Usage] : Fleet) {
    Asked.push_back(Usage.Asked);
    Admitted += Usage.Admitted;
  }
  // Cached prompts let the pool do more than is stated.
  const double Capacity =
      std::max(Admitted,
               TokensPerSecond * std::chrono::duration<double>(Window).count());
  Level = maxMinLevel(std::move(Asked), Capacity);
  LeastServed = std::numeric_limits<double>::infinity();
  for (const auto &[Who, Usage] : Fleet)
    if (Usage.Asked > RefusedWorkFactor * Usage.Admitted &&
        Usage.Asked > BackloggedPart * Level)
      LeastServed = std::min(LeastServed, Usage.Admitted / Level);
}

bool FairShare::mayExceed(WorkspaceKey Who) {
  return Level <= 0 || fillOf(Who) <= LeastServed * ExcessFactor;
}

double FairShare::fillOf(WorkspaceKey Who) {
  if (Level <= 0)
    return 0;
  const auto Mine = Own.find(Who);
  double Admitted = Mine == Own.end() ? 0 : sumOf(Mine->second).Admitted;
  const auto Theirs = Peers.find(Who);
  if (Theirs != Peers.end())
    Admitted += Theirs->second.Admitted;
  return Admitted / Level;
}

bool FairShare::withinShare(WorkspaceKey Who) { return fillOf(Who) < 1; }

} // namespace mallowglade::dataplane

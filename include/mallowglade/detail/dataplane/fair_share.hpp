#pragma once

#include <mallowglade/core.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Identifies a workspace in messages between routers.
using WorkspaceKey = StrongNumber<struct WorkspaceKeyTag, std::uint64_t>;

/// @brief Tokens requested and admitted in the last window.
struct WorkspaceUsage {
  double Demand = 0;
  double Admitted = 0;
  /// Tokens that had to wait or were refused for want of room or share within
  /// `FairShare::BacklogWindow`.
  double Unmet = 0;
};

/// @brief Usage by workspace.
using UsageTable = std::unordered_map<WorkspaceKey, WorkspaceUsage>;

/// @brief Computes a max-min fair allocation.
/// @param Demands demand of each workspace, not negative
/// @param Capacity capacity to divide
/// @return the fair level: the allocation of each workspace is the smaller of
///   its demand and this level
double maxMinLevel(std::vector<double> Demands, double Capacity);

/// @brief Tracks which workspaces have used up their max-min fair share of the
///   pool.
///
/// Handles a full pool of which a few workspaces demand several times their
/// share. Usage is counted over all routers in a sliding window; the usage of
/// this router counts at once, that of its peers with the delay of their
/// reports.
class FairShare {
public:
  /// @brief Length of the sliding window.
  static constexpr Milliseconds Window{4'000};

  /// @brief Time for which a workspace that was not served counts as
  ///   backlogged. What it asked for earlier it may no longer want.
  static constexpr Milliseconds BacklogWindow{1'000};

  explicit FairShare(const Clock &Time) : Time(Time) {}

  /// @brief Counts the tokens of a request that arrived.
  void recordDemand(WorkspaceKey Key, double Tokens);
  /// @brief Counts the tokens of a request that is sent to an upstream.
  void recordAdmitted(WorkspaceKey Key, double Tokens);
  /// @brief Counts the tokens of a request that has to wait, or is refused for
  ///   want of room or share.
  void recordUnmet(WorkspaceKey Key, double Tokens);
  /// @brief Replaces the summed usage that the other routers reported.
  void setPeers(UsageTable Sum) { PeerUsage = std::move(Sum); }
  /// @brief Recomputes the shares.
  /// @param TokensPerSecond capacity of the pool; 0 disables shares
  void update(double TokensPerSecond);
  /// @return true if the workspace is below its share
  bool withinShare(WorkspaceKey Key);
  /// @brief Decides whether a request of a workspace may use its share.
  ///
  /// While capacity is reduced, little of a share is left at a time, and all
  /// routers would admit into the same rest before they hear of each other. So
  /// each of them admits the fraction of the requests that the rest is enough
  /// for.
  bool admitsFromShare(WorkspaceKey Key, RandomSource &Random);
  /// @brief Tells whether part of the stated capacity is not in use.
  void setCapacityReduced(bool Reduced) { CapacityReduced = Reduced; }
  /// @brief Checks whether a workspace above its share may use spare capacity.
  /// @return false while a backlogged workspace is served clearly less
  bool mayExceedShare(WorkspaceKey Key);
  /// @brief Tells whether the pool leaves requests unmet though it does far
  ///   less than stated. Limits of engines that follow from
  ///   the stated capacity do not show then what an engine can spare.
  bool poolExhausted() const { return Exhausted; }
  /// @return tokens admitted in the window divided by the share; 0 if shares
  ///   are disabled
  double shareFill(WorkspaceKey Key);
  /// @return usage that this router counted in the window
  UsageTable ownUsage();
  /// @return share of a workspace with unlimited demand, in tokens per window
  double level() const { return Level; }

private:
  static constexpr std::size_t BucketCount = 16;
  /// Buckets within `BacklogWindow`.
  static constexpr std::int64_t BacklogBuckets =
      BacklogWindow / (Window / BucketCount);
  struct History {
    std::array<WorkspaceUsage, BucketCount> Buckets{};
    /// Tick in which each bucket was last reset.
    std::array<std::int64_t, BucketCount> Ticks{};
  };
  /// Time within which the routers hear of what the others have admitted.
  static constexpr Milliseconds ReportDelay{300};
  std::int64_t currentTick() const;
  WorkspaceUsage &currentBucket(WorkspaceKey Key);
  WorkspaceUsage windowTotal(const History &Usage) const;
  /// @return usage of a workspace that all routers counted in the window
  WorkspaceUsage fleetUsage(WorkspaceKey Key) const;

  const Clock &Time;
  std::unordered_map<WorkspaceKey, History> OwnHistory;
  UsageTable PeerUsage;
  double Level = 0;
  bool CapacityReduced = false;
  bool Exhausted = false;
  double LastStated = 0;
  /// Time from which the window shows what the pool does: the stated capacity
  /// has risen less than the window before.
  TimePoint SettledAt{};
  /// Smallest fraction of the share admitted for any backlogged workspace.
  double LeastFill = 0;
};

} // namespace mallowglade::dataplane

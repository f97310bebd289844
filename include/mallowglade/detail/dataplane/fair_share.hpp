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

  explicit FairShare(const Clock &Time) : Time(Time) {}

  /// @brief Counts the tokens of a request that arrived.
  void recordDemand(WorkspaceKey Key, double Tokens);
  /// @brief Counts the tokens of a request that is sent to an upstream.
  void recordAdmitted(WorkspaceKey Key, double Tokens);
  /// @brief Replaces the summed usage that the other routers reported.
  void setPeers(UsageTable Sum) { PeerUsage = std::move(Sum); }
  /// @brief Recomputes the shares.
  /// @param TokensPerSecond capacity of the pool; 0 disables shares
  void update(double TokensPerSecond);
  /// @return true if the workspace is below its share
  bool withinShare(WorkspaceKey Key);
  /// @brief Checks whether a workspace above its share may use spare capacity.
  /// @return false while a backlogged workspace is served clearly less
  bool mayExceedShare(WorkspaceKey Key);
  /// @return tokens admitted in the window divided by the share; 0 if shares
  ///   are disabled
  double shareFill(WorkspaceKey Key);
  /// @return usage that this router counted in the window
  UsageTable ownUsage();
  /// @return share of a workspace with unlimited demand, in tokens per window
  double level() const { return Level; }

private:
  static constexpr std::size_t BucketCount = 16;
  struct History {
    std::array<WorkspaceUsage, BucketCount> Buckets{};
    /// Tick in which each bucket was last reset.
    std::array<std::int64_t, BucketCount> Ticks{};
  };
  std::int64_t currentTick() const;
  WorkspaceUsage &currentBucket(WorkspaceKey Key);
  WorkspaceUsage windowTotal(const History &Usage) const;

  const Clock &Time;
  std::unordered_map<WorkspaceKey, History> OwnHistory;
  UsageTable PeerUsage;
  double Level = 0;
  /// Smallest fraction of the share admitted for any backlogged workspace.
  double LeastFill = 0;
};

} // namespace mallowglade::dataplane

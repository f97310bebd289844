#pragma once

#include <mallowglade/core.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Key of a workspace in messages between routers.
using WorkspaceKey = StrongNumber<struct WorkspaceKeyTag, std::uint64_t>;

/// @brief Tokens asked for and admitted in the last window.
struct WorkspaceUsage {
  double Asked = 0;
  double Admitted = 0;
};

/// @brief Usage of all workspaces as one router saw it.
using UsageTable = std::unordered_map<WorkspaceKey, WorkspaceUsage>;

/// @brief Divides a capacity by max-min fairness.
/// @param Asked what each party asks for, not negative
/// @param Capacity what there is to divide
/// @return the level: each party is owed the smaller of its demand and this
double maxMinLevel(std::vector<double> Asked, double Capacity);

/// @brief Tells which workspaces have had their max-min share of the pool.
///
/// Load it answers: a few workspaces ask for several times their share while
/// the pool is full. Usage is counted in a sliding window over the whole
/// fleet; peers' tables arrive with a lag, own usage counts at once.
class FairShare {
public:
  /// @brief Length of the window over which shares are held.
  static constexpr Milliseconds Window{4'000};

  explicit FairShare(const Clock &Time) : Time(Time) {}

  /// @brief Counts a request that arrived.
  void asked(WorkspaceKey Who, double Tokens);
  /// @brief Counts a request that is sent to an upstream.
  void admitted(WorkspaceKey Who, double Tokens);
  /// @brief Takes the sum of the other routers' tables.
  void setPeers(UsageTable Sum) { Peers = std::move(Sum); }
  /// @brief Computes the shares anew.
  /// @param TokensPerSecond capacity of the pool; 0 turns shares off
  void update(double TokensPerSecond);
  /// @return true if the workspace has had less than its share
  bool withinShare(WorkspaceKey Who);
  /// @brief Tells whether a workspace beyond its share may use spare capacity.
  /// @return false while another one that was refused work has had less
  bool mayExceed(WorkspaceKey Who);
  /// @return admitted tokens of the window over the share; 0 without a share
  double fillOf(WorkspaceKey Who);
  /// @return what this router saw in the window
  UsageTable ownUsage();
  /// @return share of a workspace with unlimited demand, tokens a window
  double level() const { return Level; }

private:
  static constexpr std::size_t Buckets = 16;
  struct History {
    std::array<WorkspaceUsage, Buckets> Slots{};
    std::array<std::int64_t, Buckets> Ticks{};
  };
  std::int64_t tick() const;
  WorkspaceUsage &slotOf(WorkspaceKey Who);
  WorkspaceUsage sumOf(const History &Of) const;

  const Clock &Time;
  std::unordered_map<WorkspaceKey, History> Own;
  UsageTable Peers;
  double Level = 0;
  /// Smallest fill among workspaces that were refused work.
  double LeastServed = 0;
};

} // namespace mallowglade::dataplane

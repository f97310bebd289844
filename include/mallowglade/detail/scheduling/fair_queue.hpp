#pragma once

#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/virtual_time.hpp>

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace mallowglade {

/// @brief Share and limit of a workspace, from the settings.
struct WorkspaceShare {
  WorkspaceId Id;
  Share Weight{1};
  /// Maximum number of slots in use; 0 means no limit.
  std::uint32_t Concurrency = 0;
};

/// @brief Orders waiting requests of a workspace by age.
struct WaitingKey {
  TimePoint Since;
  std::size_t Router = 0;
  Ticket Request;

  // clang-tidy 14 reports names and literals in code the compiler generates.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const WaitingKey &) const = default;
};

/// @brief A workspace in a cell.
struct WorkspaceEntry {
  WorkspaceId Id;
  std::size_t Index = 0;
  Share Weight{1};
  /// Maximum number of slots in use; 0 means no limit.
  std::uint32_t Concurrency = 0;
  VirtualTime Time;
  /// Units charged but not yet served, divided by the share.
  double Unserved = 0;
  /// Units served in this cell.
  double Served = 0;
  /// Actual cost divided by hint, weighted over recent requests.
  double Correction = 1;
  /// Lag reported by routers after a change of the cell's owner.
  double ReportedLag = 0;
  std::uint32_t InFlight = 0;
  /// Requests queued on all routers, announced or not.
  std::uint64_t QueuedCount = 0;
  /// Announced requests, oldest first.
  std::map<WaitingKey, QueuedItem> Waiting;
  bool Backlogged = false;
  double OrderKey = 0;

  /// @return true if the workspace may use another slot
  bool belowLimit() const { return Concurrency == 0 || InFlight < Concurrency; }
  /// @return virtual time that counts only delivered service
  double deliveredTime() const { return Time.value() - Unserved; }
};

/// @brief Orders workspaces by virtual time, then by index.
struct VirtualTimeLess {
  bool operator()(const std::pair<double, WorkspaceEntry *> &Left,
                  const std::pair<double, WorkspaceEntry *> &Right) const {
    if (Left.first != Right.first)
      return Left.first < Right.first;
    return Left.second->Index < Right.second->Index;
  }
};

/// @brief Backlogged workspaces, smallest virtual time first.
using BacklogOrder =
    std::set<std::pair<double, WorkspaceEntry *>, VirtualTimeLess>;

/// @brief Orders the backlogged workspaces by virtual time.
class FairQueue {
public:
  /// @brief Returns a workspace; adds it with a share of 1 if it is new.
  WorkspaceEntry &entry(const WorkspaceId &Id);
  /// @brief Sets shares and limits.
  /// @param Shares shares and limits of the workspaces to update
  void configure(const std::vector<WorkspaceShare> &Shares);
  /// @brief Updates the position of a workspace after a change.
  ///
  /// A workspace is backlogged while it has queued requests and is below its
  /// concurrency limit. Its virtual time is lifted when it becomes backlogged.
  void refresh(WorkspaceEntry &Entry);
  /// @brief Charges a workspace.
  /// @param Amount units, negative for a refund
  /// @param Weight share at the time of the grant
  /// @param Lifts number of lifts of the workspace at the time of the grant
  void charge(WorkspaceEntry &Entry, double Amount, Share Weight,
              std::uint32_t Lifts);
  /// @return backlogged workspaces, smallest virtual time first
  const BacklogOrder &order() const { return Order; }
  /// @return all workspaces by id
  std::map<WorkspaceId, WorkspaceEntry> &all() { return Entries; }
  /// @return all workspaces by id
  const std::map<WorkspaceId, WorkspaceEntry> &all() const { return Entries; }
  /// @return virtual time to which a workspace that becomes backlogged is
  /// lifted
  double liftLevel() const;
  /// @return largest difference in delivered virtual time between backlogged
  /// workspaces
  double gap() const;

private:
  std::map<WorkspaceId, WorkspaceEntry> Entries;
  BacklogOrder Order;
  /// Largest virtual time reached; the lift level while nothing is backlogged.
  double HighestTime = 0;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/virtual_time.hpp>

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace mallowglade {

/// @brief What the settings say about a workspace.
struct WorkspaceTerms {
  WorkspaceId Id;
  Share Weight{1};
  /// Most slots at once; 0 means no limit.
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
  /// Slots it may hold at once; 0 means no limit.
  std::uint32_t Concurrency = 0;
  VirtualTime Time;
  /// Units charged but not yet served, per share.
  double Unserved = 0;
  /// Units served in this cell.
  double Served = 0;
  /// Actual cost divided by hint, weighted over recent requests.
  double Correction = 1;
  /// Lag reported by routers after a change of the cell's owner.
  double ReportedLag = 0;
  std::uint32_t InFlight = 0;
  /// Requests that wait anywhere, announced or not.
  std::uint64_t Remaining = 0;
  /// Announced requests, oldest first.
  std::map<WaitingKey, QueuedItem> Waiting;
  bool Backlogged = false;
  double OrderKey = 0;

  /// @return true if another slot may be used
  bool belowLimit() const { return Concurrency == 0 || InFlight < Concurrency; }
  /// @return virtual time counting only the service that was delivered
  double deliveredTime() const { return Time.value() - Unserved; }
};

/// @brief Orders workspaces by virtual time, equal ones by their index.
struct OrderLess {
  bool operator()(const std::pair<double, WorkspaceEntry *> &Left,
                  const std::pair<double, WorkspaceEntry *> &Right) const {
    if (Left.first != Right.first)
      return Left.first < Right.first;
    return Left.second->Index < Right.second->Index;
  }
};

/// @brief Backlogged workspaces, smallest virtual time first.
using BacklogOrder = std::set<std::pair<double, WorkspaceEntry *>, OrderLess>;

/// @brief Keeps the workspaces in the order of their virtual times.
class FairQueue {
public:
  /// @brief Finds a workspace, or adds it with a share of 1.
  WorkspaceEntry &entry(const WorkspaceId &Id);
  /// @brief Takes shares and limits from the settings.
  /// @param Terms all workspaces
  void configure(const std::vector<WorkspaceTerms> &Terms);
  /// @brief Re-evaluates a workspace after any change.
  ///
  /// A workspace is backlogged while requests wait and its own limit does not
  /// hold them back. When it becomes backlogged it is lifted.
  void refresh(WorkspaceEntry &Entry);
  /// @brief Charges a workspace.
  /// @param Amount units, negative for a refund
  /// @param Weight share at the time of the grant
  /// @param Lifts lifts of the workspace at the time of the grant
  void charge(WorkspaceEntry &Entry, double Amount, Share Weight,
              std::uint32_t Lifts);
  /// @return backlogged workspaces, smallest virtual time first
  const BacklogOrder &order() const { return Order; }
  /// @return all workspaces by id
  std::map<WorkspaceId, WorkspaceEntry> &all() { return Entries; }
  /// @return all workspaces by id
  const std::map<WorkspaceId, WorkspaceEntry> &all() const { return Entries; }
  /// @return virtual time to which a workspace is lifted now
  double level() const;
  /// @return difference of delivered virtual times over backlogged workspaces
  double gap() const;

private:
  std::map<WorkspaceId, WorkspaceEntry> Entries;
  BacklogOrder Order;
  /// Largest virtual time ever charged; the level while nothing is backlogged.
  double Highest = 0;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <vector>

namespace mallowglade {

/// @brief State of a workspace in a cell.
struct WorkspaceStatus {
  WorkspaceId Id;
  Share Weight{1};
  std::uint64_t Waiting = 0;
  std::uint32_t InFlight = 0;
  bool Backlogged = false;
  double VirtualTime = 0;
  double Served = 0;
  double Correction = 1;
};

/// @brief State of a replica in a cell.
struct ReplicaStatus {
  UpstreamId Id;
  std::uint32_t Limit = 0;
  std::uint32_t Usable = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Foreign = 0;
};

/// @brief Counters of a cell since its current owner took over.
struct CellCounters {
  std::uint64_t Grants = 0;
  std::uint64_t Returned = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Adopted = 0;
  std::uint64_t Reports = 0;
};

/// @brief State of a cell for operators and metrics.
struct CellStatus {
  bool Ready = false;
  std::size_t RoutersHeard = 0;
  std::size_t RoutersRegistered = 0;
  std::uint32_t Capacity = 0;
  std::uint32_t InFlight = 0;
  std::uint64_t Waiting = 0;
  /// Largest difference in delivered service per share between two
  /// backlogged workspaces.
  double ServiceGap = 0;
  /// Upper bound for `ServiceGap` under the current limits, backlogged
  /// workspaces and largest request.
  double FairnessBound = 0;
  CellCounters Counters;
  std::vector<WorkspaceStatus> Workspaces;
  std::vector<ReplicaStatus> Replicas;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <vector>

namespace mallowglade {

/// @brief A workspace in a cell's status.
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

/// @brief A replica in a cell's status.
struct ReplicaStatus {
  UpstreamId Id;
  std::uint32_t Limit = 0;
  std::uint32_t Usable = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Foreign = 0;
};

/// @brief Counters of a cell since its owner took it over.
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
  /// Largest difference of delivered service per share, backlogged pairs.
  double Gap = 0;
  /// Fairness bound for the requests and workspaces seen so far.
  double Bound = 0;
  CellCounters Counters;
  std::vector<WorkspaceStatus> Workspaces;
  std::vector<ReplicaStatus> Replicas;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief Number of a queued request in its router's book; only rises.
using Ticket = StrongNumber<struct TicketTag, std::uint64_t>;

/// @brief One of the oldest requests that wait on a router.
struct QueuedItem {
  Ticket Id;
  Milliseconds Waited{};
  ServiceUnits Hint;
  Fingerprint Print;
  std::uint64_t PrefixHash = 0;
  /// Upstreams that failed the request.
  std::vector<UpstreamId> Avoid;
};

/// @brief What one workspace wants on one router; absolute values.
struct WorkspaceDemand {
  WorkspaceId Workspace;
  std::uint32_t Queued = 0;
  /// Requests accepted or refused since the router started.
  std::uint64_t Arrivals = 0;
  /// Service received through this router since it started.
  ServiceUnits Served;
  /// Virtual time above the least one, as a cell last told it.
  double Lag = 0;
  /// The oldest requests, oldest first.
  std::vector<QueuedItem> Next;
};

/// @brief A grant whose request runs.
struct HeldGrant {
  GrantId Grant;
  WorkspaceId Workspace;
  UpstreamId Upstream;
  ServiceUnits Served;
  Fingerprint Print;
};

/// @brief How the run of a grant ended.
enum class GrantEnd : std::uint8_t { Answered, NotRun, Cancelled, Crashed };

/// @brief What the end of a run shows about its upstream.
enum class UpstreamSign : std::uint8_t { None, Leaving, Down, Busy };

/// @brief Final account of a grant.
struct Completion {
  CellId Cell;
  GrantId Grant;
  ServiceUnits Served;
  GrantEnd End = GrantEnd::Answered;
  UpstreamId Upstream;
  UpstreamSign Sign = UpstreamSign::None;
  std::optional<Milliseconds> FirstToken;
  std::optional<Milliseconds> InterToken;
};

/// @brief A router's demand, full or only what changed.
struct DemandReport {
  CellId Cell;
  Epoch Session;
  std::uint64_t Sequence = 0;
  bool Full = false;
  std::vector<WorkspaceDemand> Workspaces;
  /// Grants accepted since the report before this one.
  std::vector<GrantId> Accepted;
  /// All grants that run; in full reports only.
  std::vector<HeldGrant> Held;
  /// Grants that ended lately; in full reports only, so that a lost
  /// completion is repeated.
  std::vector<Completion> Ended;
};

/// @brief Permission to dispatch one request to one replica.
struct Grant {
  CellId Cell;
  GrantId Id;
  Epoch Session;
  /// Sequence of the report that asked for it. The router counts the life of
  /// the grant from that report, so that clocks need not agree.
  std::uint64_t Basis = 0;
  Ticket Request;
  WorkspaceId Workspace;
  UpstreamId Upstream;
  /// Address of the upstream, `ip:port`.
  std::string Address;
};

/// @brief Why a router gives a grant back.
enum class ReturnReason : std::uint8_t { WrongEpoch, Expired, NoRequest };

/// @brief A grant that is not used.
struct GrantReturn {
  CellId Cell;
  GrantId Grant;
  ReturnReason Reason = ReturnReason::NoRequest;
};

/// @brief State of one running grant.
struct GrantProgress {
  GrantId Grant;
  ServiceUnits Served;
  std::optional<Milliseconds> FirstToken;
  std::optional<Milliseconds> InterToken;
};

/// @brief State of all running grants of a router.
struct Progress {
  CellId Cell;
  Epoch Session;
  /// Sequence of the latest report sent before.
  std::uint64_t Sequence = 0;
  std::vector<GrantProgress> Grants;
  /// Grants that ended just before, in case their completion was lost.
  std::vector<Completion> Ended;
};

/// @brief One workspace's part on one router.
struct WorkspaceAllotment {
  WorkspaceId Workspace;
  /// Part of each fleet-wide rate and queue limit, from 0 to 1.
  double Fraction = 0;
  /// Virtual time above the least one; returned in full reports.
  double Lag = 0;
};

/// @brief Rates of a router; renewed each second.
struct Allotment {
  CellId Cell;
  /// Session that the rates are for; 0 asks for a full report, because the
  /// owner does not know the session of a delta.
  Epoch Session;
  std::vector<WorkspaceAllotment> Workspaces;
};

/// @brief Service of one workspace that another cell gave.
struct ServiceDelta {
  WorkspaceId Workspace;
  ServiceUnits Served;
};

/// @brief Service given by one cell since it started, changes only.
struct ServiceUpdate {
  CellId From;
  /// Tells runs of the sending cell apart.
  std::uint32_t OwnerTag = 0;
  /// Cumulative values of the workspaces that changed.
  std::vector<ServiceDelta> Workspaces;
};

/// @brief Slots of a cell without demand, for another one.
struct SlotLoan {
  CellId From;
  CellId To;
  std::uint64_t Sequence = 0;
  UpstreamId Upstream;
  std::string Address;
  std::uint32_t Slots = 0;
  Milliseconds Life{};
};

} // namespace mallowglade

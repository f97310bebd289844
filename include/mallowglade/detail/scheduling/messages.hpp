#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/scheduling/rate_share.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief Number of a queued request on its router; strictly increasing.
using Ticket = StrongNumber<struct TicketTag, std::uint64_t>;

/// @brief One of the oldest queued requests of a router.
struct QueuedItem {
  Ticket Id;
  Milliseconds Waited{};
  ServiceUnits Hint;
  Fingerprint RequestFingerprint;
  std::uint64_t PrefixHash = 0;
  /// Upstreams on which the request failed; used only if no other is free.
  std::vector<UpstreamId> Avoid;
};

/// @brief Demand of one workspace on one router, in absolute values.
struct WorkspaceDemand {
  WorkspaceId Workspace;
  std::uint32_t Queued = 0;
  /// Requests accepted or refused since the router started.
  std::uint64_t Arrivals = 0;
  /// Service received through this router since it started.
  ServiceUnits Served;
  /// Virtual time above the smallest one, as last received from the cell.
  double Lag = 0;
  /// The oldest requests, oldest first.
  std::vector<QueuedItem> OldestRequests;
};

/// @brief A grant whose request is running.
struct HeldGrant {
  GrantId Grant;
  WorkspaceId Workspace;
  UpstreamId Upstream;
  ServiceUnits Served;
  Fingerprint RequestFingerprint;
};

/// @brief How a granted request ended.
enum class GrantEnd : std::uint8_t { Answered, NotRun, Cancelled, Crashed };

/// @brief State of an upstream as inferred from the end of a request.
enum class UpstreamSignal : std::uint8_t { None, Leaving, Down, Busy };

/// @brief Final state of a grant.
struct Completion {
  CellId Cell;
  GrantId Grant;
  ServiceUnits Served;
  GrantEnd End = GrantEnd::Answered;
  UpstreamId Upstream;
  UpstreamSignal Signal = UpstreamSignal::None;
  std::optional<Milliseconds> FirstToken;
  std::optional<Milliseconds> InterToken;
};

/// @brief Demand of a router: a full report or a delta.
struct DemandReport {
  CellId Cell;
  Epoch Session;
  std::uint64_t Sequence = 0;
  bool Full = false;
  std::vector<WorkspaceDemand> Workspaces;
  /// Grants accepted since the previous report.
  std::vector<GrantId> Accepted;
  /// All running grants; in full reports only.
  std::vector<HeldGrant> Held;
  /// Grants that ended recently, in case their completion was lost; in full
  /// reports only.
  std::vector<Completion> Ended;
};

/// @brief Permission to dispatch one request to one replica.
struct Grant {
  CellId Cell;
  GrantId Id;
  Epoch Session;
  /// Sequence of the latest report before the grant. The router measures the
  /// grant lifetime from that report, so that clocks need not be synchronised.
  std::uint64_t ReportSequence = 0;
  Ticket Request;
  WorkspaceId Workspace;
  UpstreamId Upstream;
  /// Address of the upstream, `ip:port`.
  std::string Address;
  /// Service charged in advance; progress below it need not be reported.
  ServiceUnits Charge;
};

/// @brief Computes a new charge for a running grant whose service exceeds the
/// previous charge.
///
/// Charging 25 % ahead lets the router report progress a few times per request
/// instead of every 250 ms.
/// @param Served service so far
/// @return the new charge
inline ServiceUnits chargeAhead(ServiceUnits Served) {
  constexpr double AheadFactor = 1.25;
  return ServiceUnits(Served.Value * AheadFactor);
}

/// @brief Why a router returns a grant.
enum class ReturnReason : std::uint8_t {
  SessionMismatch,
  Expired,
  RequestNotQueued
};

/// @brief Return of an unused grant.
struct GrantReturn {
  CellId Cell;
  GrantId Grant;
  ReturnReason Reason = ReturnReason::RequestNotQueued;
};

/// @brief Progress of one running grant.
struct GrantProgress {
  GrantId Grant;
  ServiceUnits Served;
  std::optional<Milliseconds> FirstToken;
  std::optional<Milliseconds> InterToken;
};

/// @brief Progress of the running grants of a router, as far as it is due.
struct Progress {
  CellId Cell;
  Epoch Session;
  /// Sequence of the latest report sent before this message.
  std::uint64_t Sequence = 0;
  std::vector<GrantProgress> Grants;
  /// Grants that ended recently, in case their completion was lost.
  std::vector<Completion> Ended;
};

/// @brief What an upstream last said of the requests that it takes.
struct LimitStatement {
  UpstreamId Upstream;
  /// Requests per second from all routers together; nothing if it no longer
  /// names a limit.
  std::optional<RequestRate> Rate;
  Milliseconds Age{};
};

/// @brief Limits that upstreams of a cell named to a router, for the owner.
struct LimitNotice {
  CellId Cell;
  std::vector<LimitStatement> Limits;
};

/// @brief Allotment of one workspace on one router.
struct WorkspaceAllotment {
  WorkspaceId Workspace;
  /// Fraction of each fleet-wide rate and queue limit, from 0 to 1.
  double Fraction = 0;
  /// Virtual time above the smallest one; sent back in full reports.
  double Lag = 0;
};

/// @brief Fractions of the fleet-wide limits for a router; sent every second.
struct Allotment {
  CellId Cell;
  /// Session to which the message applies; 0 requests a full report, because
  /// the owner does not know the session of a delta.
  Epoch Session;
  std::vector<WorkspaceAllotment> Workspaces;
};

} // namespace mallowglade

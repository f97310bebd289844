#pragma once

#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/token_bucket.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief Fleet-wide limits of a workspace; 0 means no limit.
struct QueueLimits {
  WorkspaceId Id;
  double RequestsPerSecond = 0;
  double UnitsPerSecond = 0;
  std::uint32_t QueueLength = 0;
  Milliseconds QueueTime{};
};

/// @brief A request to be queued.
struct QueueRequest {
  RequestId Id;
  WorkspaceId Workspace;
  ServiceUnits Hint;
  Fingerprint RequestFingerprint;
  std::uint64_t PrefixHash = 0;
  std::vector<UpstreamId> Avoid;
  /// The limits were already checked for the first attempt.
  bool Retry = false;
};

/// @brief A request that is refused without having been dispatched.
struct RefusedRequest {
  RequestId Request;
  Error Reason;
  Milliseconds RetryAfter{};
};

/// @brief A request whose grant was accepted; to be dispatched now.
struct DispatchedRequest {
  RequestId Request;
  GrantId Grant;
  UpstreamId Upstream;
  std::string Address;
};

/// @brief Result of a grant; empty for a duplicate grant.
using GrantOutcome =
    std::variant<std::monostate, DispatchedRequest, GrantReturn>;

/// @brief Requests of one router for one cell, and the reports on them.
class DemandQueue {
public:
  /// @param Cell id of the cell
  /// @param First first session number; greater than any that an earlier
  ///   process of this router used
  DemandQueue(CellId Cell, Epoch First);
  /// @brief Sets the limits of all workspaces.
  /// @param Limits limits per workspace
  /// @param RegisteredRouters number of routers that share the limits
  void configure(const std::vector<QueueLimits> &Limits,
                 std::size_t RegisteredRouters);
  /// @brief Starts a new session; called when the cell's owner changes.
  void beginSession();
  /// @brief Queues a request.
  /// @return the refusal if a limit is exceeded
  std::optional<RefusedRequest> enqueue(QueueRequest Request, TimePoint Now);
  /// @brief Removes a queued request.
  /// @return true if it was queued
  bool cancel(const RequestId &Request);
  /// @brief Accepts a grant or returns it.
  GrantOutcome receive(const Grant &Offer, TimePoint Now);
  /// @brief Applies the fractions of an allotment.
  void receive(const Allotment &Update, TimePoint Now);
  /// @brief Records the service that a running request has received.
  void progress(const GrantProgress &State);
  /// @brief Records the end of a running request.
  /// @return the message to send, or nothing for an unknown grant
  std::optional<Completion> finish(Completion Done, TimePoint Now);
  /// @brief Refuses requests whose queue time limit has passed.
  std::vector<RefusedRequest> expire(TimePoint Now);
  /// @return the report to send now, if one is due
  std::optional<DemandReport> report(TimePoint Now);
  /// @return progress of the running grants that have to be reported, if due
  std::optional<Progress> progressReport(TimePoint Now);
  /// @return number of queued requests
  std::size_t queued() const { return QueuePositions.size(); }
  /// @return number of running requests
  std::size_t runningCount() const { return RunningGrants.size(); }
  /// @return current session number
  Epoch session() const { return Session; }

private:
  struct QueuedRequest {
    QueueRequest Request;
    TimePoint QueuedAt;
  };
  struct WorkspaceQueue {
    std::map<Ticket, QueuedRequest> Queue;
    std::uint64_t Arrivals = 0;
    double Served = 0;
    double Lag = 0;
    double Fraction = 0;
    std::optional<TimePoint> FractionUpdated;
    TokenBucket RequestBucket;
    TokenBucket UnitBucket;
  };
  struct RunningGrant {
    WorkspaceId Workspace;
    UpstreamId Upstream;
    Fingerprint RequestFingerprint;
    double Hint = 0;
    /// Last charge of the cell that this router knows of.
    ServiceUnits Charge;
    TimePoint StartedAt;
    std::optional<TimePoint> ReportedAt;
    GrantProgress State;
  };
  struct EndedGrant {
    TimePoint EndedAt;
    Completion Done;
  };

  double allottedFraction(const WorkspaceQueue &Workspace, TimePoint Now) const;
  std::optional<RefusedRequest> checkLimits(WorkspaceQueue &Workspace,
                                            const QueueRequest &Request,
                                            TimePoint Now);
  GrantOutcome accept(const Grant &Offer, WorkspaceQueue &Workspace,
                      TimePoint Now);
  static bool progressDue(const RunningGrant &Entry, TimePoint Now);
  bool isFresh(std::uint64_t ReportSequence, TimePoint Now) const;
  bool fullReportDue(TimePoint Now) const;
  bool deltaReportDue(TimePoint Now) const;
  WorkspaceDemand workspaceDemand(const WorkspaceId &Id,
                                  const WorkspaceQueue &Workspace,
                                  TimePoint Now, bool Full) const;
  void addFullState(DemandReport &Report, TimePoint Now);
  void pruneHistory(TimePoint Now);
  void addService(RunningGrant &Entry, double Served);

  CellId Cell;
  Epoch Session;
  std::map<WorkspaceId, QueueLimits> LimitsById;
  std::size_t RegisteredCount = 1;
  std::map<WorkspaceId, WorkspaceQueue> Workspaces;
  std::unordered_map<RequestId, std::pair<WorkspaceId, Ticket>> QueuePositions;
  std::unordered_map<GrantId, RunningGrant> RunningGrants;
  std::deque<EndedGrant> EndedGrants;
  std::set<GrantId> EndedIds;
  std::set<WorkspaceId> ChangedWorkspaces;
  std::vector<GrantId> AcceptedGrants;
  std::deque<std::pair<std::uint64_t, TimePoint>> SentReports;
  Ticket NextTicket{1};
  std::uint64_t Sequence = 0;
  bool OwnerResponded = false;
  std::optional<TimePoint> LastFull;
  std::optional<TimePoint> LastReport;
  std::optional<TimePoint> LastProgress;
};

} // namespace mallowglade

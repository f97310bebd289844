#pragma once

#include <mallowglade/detail/scheduling/cell_status.hpp>
#include <mallowglade/detail/scheduling/fair_queue.hpp>
#include <mallowglade/detail/scheduling/fairness_bound.hpp>
#include <mallowglade/detail/scheduling/messages.hpp>
#include <mallowglade/detail/scheduling/placement_guard.hpp>
#include <mallowglade/detail/scheduling/replica_table.hpp>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief Settings of a cell.
struct CellSettings {
  CellId Id;
  LimitSettings Replica;
  /// Largest estimate of one request in service units.
  double MaxRequestUnits = 1;
  /// Service units of one output token.
  double OutputWeight = 1;
  /// A router must dispatch a granted request within this time after it sent
  /// the report on which the grant is based.
  Milliseconds GrantLifetime{2'000};
  /// Further time for the confirmation of a dispatch to arrive.
  Milliseconds AckMargin{1'000};
  /// Maximum wait for reports after the owner changes or a router joins.
  Milliseconds RebuildTimeout{500};
  /// The demand of a router that sends nothing for this time is dropped.
  Milliseconds SilenceTimeout{3'000};
};

/// @brief A live router known to the owner of a cell.
struct CellMember {
  RouterId Id;
  ZoneId Zone;
};

/// @brief A message addressed to one router.
template <class Message> struct Outgoing {
  RouterId Recipient;
  Message Body;
};

/// @brief A message that the owner of a cell has to send.
using CellAction = std::variant<Outgoing<Grant>, Outgoing<Allotment>>;

/// @brief Schedules the slots of a group of replicas among workspaces.
///
/// Runs on the router that owns the cell. Grants each free slot to the
/// backlogged workspace with the smallest virtual time, and within it to the
/// router with the oldest request. The caller passes in the current time and
/// sends the messages that decide() returns.
class Cell {
public:
  /// @param Settings settings of the cell
  /// @param OwnerTag upper half of the grant ids, which makes them distinct
  ///   from those of other owners
  /// @param Now time at which the owner took the cell over
  /// @param Guard can veto placements; may be null; must outlive the cell
  Cell(CellSettings Settings, std::uint32_t OwnerTag, TimePoint Now,
       PlacementGuard *Guard = nullptr);
  /// @brief Applies changed settings.
  void configure(CellSettings Updated);
  /// @brief Sets the shares and limits of all workspaces.
  void setWorkspaces(const std::vector<WorkspaceShare> &Shares);
  /// @brief Sets the live routers. Grants of all other routers are released at
  /// once.
  /// @param LiveRouters live routers
  /// @param RegisteredRouters number of registered routers, live or not
  /// @param Now current time
  void setMembers(const std::vector<CellMember> &LiveRouters,
                  std::size_t RegisteredRouters, TimePoint Now);
  /// @brief Sets the replicas and their reported load.
  void setReplicas(const std::vector<ReplicaInfo> &List);
  /// @brief Processes a demand report of a router.
  void receive(const RouterId &SenderId, const DemandReport &Report,
               TimePoint Now);
  /// @brief Charges service that running requests have received.
  void receive(const RouterId &SenderId, const Progress &Update, TimePoint Now);
  /// @brief Frees the slot of an ended request and settles its cost.
  void receive(const RouterId &SenderId, const Completion &Done, TimePoint Now);
  /// @brief Frees the slot of a grant that was not used.
  void receive(const RouterId &SenderId, const GrantReturn &Returned,
               TimePoint Now);
  /// @brief Expires old grants, issues new ones and sends allotments.
  /// @return messages to send
  std::vector<CellAction> decide(TimePoint Now);
  /// @return true once the cell may issue grants
  bool ready(TimePoint Now) const;
  /// @return state for operators and metrics
  CellStatus status(TimePoint Now) const;

private:
  struct IssuedGrant {
    RouterId Router;
    Epoch Session;
    std::uint64_t ReportSequence = 0;
    Ticket Request;
    WorkspaceEntry *Workspace = nullptr;
    UpstreamId Upstream;
    Fingerprint RequestFingerprint;
    Share Weight{1};
    std::uint32_t Lifts = 0;
    double Hint = 0;
    double Charged = 0;
    double Served = 0;
    TimePoint IssuedAt;
    bool Acknowledged = false;
    /// Sequence of the message with which the router confirmed the grant.
    std::uint64_t ConfirmedSequence = 0;
  };
  struct DemandState {
    std::uint64_t Sequence = 0;
    std::uint64_t QueuedCount = 0;
    std::vector<WaitingKey> Keys;
    std::uint64_t Arrivals = 0;
    std::uint64_t ArrivalsBefore = 0;
    /// Arrivals per allotment period, smoothed.
    double Rate = 0;
  };
  struct RateSum {
    double Rate = 0;
    std::size_t Routers = 0;
  };
  struct RouterEntry {
    std::size_t Index = 0;
    RouterId Id;
    ZoneId Zone;
    bool Alive = false;
    Epoch Session;
    std::uint64_t LatestSequence = 0;
    std::uint64_t FullSequence = 0;
    bool Reported = false;
    /// Alive and reported when the coverage was last extended.
    bool Counted = false;
    bool AllotmentDue = false;
    /// A delta arrived that cannot be applied without a full report.
    bool FullReportNeeded = false;
    /// Nothing was received for `SilenceTimeout`, or ever.
    bool Silent = true;
    TimePoint LastHeard;
    std::map<WorkspaceId, DemandState> Demands;
    std::set<Ticket> GrantedTickets;
    std::set<GrantId> Grants;
  };

  // Reports (cell_reports.cpp).
  RouterEntry &router(const RouterId &Id);
  bool acceptSession(RouterEntry &Router, const DemandReport &Report);
  void applyDemand(RouterEntry &Router, const WorkspaceDemand &Demand,
                   const DemandReport &Report, TimePoint Now);
  void dropDemand(RouterEntry &Router, const WorkspaceId &Id);
  void dropAllDemand(RouterEntry &Router);
  void applyFull(RouterEntry &Router, const DemandReport &Report,
                 TimePoint Now);
  void adopt(RouterEntry &Router, const HeldGrant &Held,
             const DemandReport &Report, TimePoint Now);
  void removeRouter(RouterEntry &Router);
  void updateCoverage();
  void applyPendingCoverage(TimePoint Now);

  // Grant accounting (cell_accounts.cpp).
  void acknowledge(RouterEntry &Router, GrantId Id, std::uint64_t Sequence);
  void setCharge(IssuedGrant &Granted, double Charged, double Served);
  void settleGrant(GrantId Id, double Served, GrantEnd End, TimePoint Now);
  void reclaim(GrantId Id);
  void reclaimAsLost(GrantId Id);
  void removeGrant(GrantId Id);
  void updateHintCorrection(const IssuedGrant &Granted, double Served);
  void recordClosed(GrantId Id, TimePoint Now);
  void expireGrants(TimePoint Now);
  void repeatGrants(TimePoint Now, std::vector<CellAction> &Actions);
  void dropSilentRouters(TimePoint Now);

  // Scheduling (cell.cpp).
  bool grantNext(TimePoint Now, std::vector<CellAction> &Actions);
  bool grantToWorkspace(WorkspaceEntry &Entry, TimePoint Now,
                        std::vector<CellAction> &Actions);
  void issue(WorkspaceEntry &Entry, RouterEntry &Router, const QueuedItem &Item,
             Replica &Target, TimePoint Now, std::vector<CellAction> &Actions);
  Grant grantMessage(GrantId Id, const IssuedGrant &Granted) const;
  double estimateCost(const WorkspaceEntry &Entry, double Hint) const;
  bool allReported(TimePoint Now) const;
  void finishRebuild();
  void requestFullReports(std::vector<CellAction> &Actions);
  void sendAllotments(TimePoint Now, std::vector<CellAction> &Actions);
  void updateRates();
  Allotment allotmentFor(const RouterEntry &Router,
                         const std::map<WorkspaceId, RateSum> &Sums) const;
  std::map<WorkspaceId, RateSum> sumRates() const;
  double fairnessBound() const;

  CellSettings Settings;
  std::uint32_t OwnerTag;
  PlacementGuard *Guard;
  FairQueue Queue;
  ReplicaTable Replicas;
  std::map<RouterId, RouterEntry> Routers;
  std::vector<RouterEntry *> RouterByIndex;
  std::unordered_map<GrantId, IssuedGrant> Grants;
  /// Grants in the order of issue, to expire those that are not confirmed.
  std::deque<std::pair<TimePoint, GrantId>> Unconfirmed;
  /// Recently ended grants, so that a late message does not revive one.
  std::unordered_set<GrantId> Closed;
  std::deque<std::pair<TimePoint, GrantId>> ClosedOrder;
  std::uint32_t NextGrant = 1;
  std::size_t Registered = 1;
  /// Time at which a router last joined; initially the time of the takeover.
  TimePoint LastMemberJoined;
  /// Routers changed or reported for the first time: the coverage has to be
  /// computed again.
  bool CoveragePending = false;
  /// Workspaces with a concurrency limit.
  std::vector<WorkspaceShare> LimitedWorkspaces;
  bool Rebuilt = false;
  TimePoint LastRepeat;
  TimePoint LastAllotment;
  double LargestRequest = 1;
  Milliseconds FastestToken{};
  CellCounters Counters;
};

} // namespace mallowglade

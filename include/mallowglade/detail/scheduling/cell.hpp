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
  /// A router must dispatch within this time after the report that asked.
  Milliseconds GrantLife{2'000};
  /// Time for the news of a dispatch to arrive after that.
  Milliseconds AckMargin{1'000};
  /// Longest wait for reports after a change of owner or of the routers.
  Milliseconds RebuildWait{500};
  /// Demand of a router that sent nothing for this time is dropped.
  Milliseconds Silence{3'000};
};

/// @brief A live router as the cell's owner sees it.
struct CellMember {
  RouterId Id;
  ZoneId Zone;
};

/// @brief A message to one router.
template <class Message> struct Outgoing {
  RouterId To;
  Message Body;
};

/// @brief What the owner of a cell has to send.
using CellAction = std::variant<Outgoing<Grant>, Outgoing<Allotment>>;

/// @brief Shares the slots of some replicas among workspaces.
///
/// Run by the cell's owner. Grants each free slot to the backlogged workspace
/// with the smallest virtual time, and there to the router with the oldest
/// request. All calls take the current time; decide() returns the messages.
class Cell {
public:
  /// @param Settings settings of the cell
  /// @param OwnerTag number that tells this owner's grants from those of
  ///   other owners
  /// @param Now time at which the owner took the cell over
  /// @param Guard may veto placements; may be null; outlives the cell
  Cell(CellSettings Settings, std::uint32_t OwnerTag, TimePoint Now,
       PlacementGuard *Guard = nullptr);
  /// @brief Takes changed settings.
  void configure(CellSettings Updated);
  /// @brief Takes shares and limits of all workspaces.
  void setWorkspaces(const std::vector<WorkspaceTerms> &Terms);
  /// @brief Takes the live routers; slots of the others are free at once.
  /// @param Heard live routers
  /// @param Registered number of registered routers, heard or not
  /// @param Now current time
  void setMembers(const std::vector<CellMember> &Heard, std::size_t Registered,
                  TimePoint Now);
  /// @brief Takes the replicas and their reported load.
  void setReplicas(const std::vector<ReplicaInfo> &List);
  /// @brief Takes a router's demand.
  void receive(const RouterId &From, const DemandReport &Report, TimePoint Now);
  /// @brief Charges service that running requests have received.
  void receive(const RouterId &From, const Progress &Update, TimePoint Now);
  /// @brief Frees the slot of an ended request and settles its cost.
  void receive(const RouterId &From, const Completion &Done, TimePoint Now);
  /// @brief Frees the slot of a grant that was not used.
  void receive(const RouterId &From, const GrantReturn &Back, TimePoint Now);
  /// @brief Expires, grants and allots whatever is due.
  /// @return messages to send
  std::vector<CellAction> decide(TimePoint Now);
  /// @return true once the cell may grant
  bool ready(TimePoint Now) const;
  /// @return state for operators and metrics
  CellStatus status(TimePoint Now) const;

private:
  struct Issued {
    RouterId Router;
    Epoch Session;
    std::uint64_t Basis = 0;
    Ticket Request;
    WorkspaceEntry *Workspace = nullptr;
    UpstreamId Upstream;
    Fingerprint Print;
    Share Weight{1};
    std::uint32_t Lifts = 0;
    double Hint = 0;
    double Charged = 0;
    double Served = 0;
    TimePoint At;
    bool Acknowledged = false;
    /// Sequence that the router had reached when it confirmed the grant.
    std::uint64_t ConfirmedAt = 0;
  };
  struct Demand {
    std::uint64_t Sequence = 0;
    std::uint64_t Remaining = 0;
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
    /// Its part of the replicas' limits is in use.
    bool Counted = false;
    bool AllotmentDue = false;
    /// Sent a delta that cannot be used.
    bool FullWanted = false;
    /// Sent nothing for so long that its demand was dropped.
    bool Silent = true;
    TimePoint LastHeard;
    std::map<WorkspaceId, Demand> Wanted;
    std::set<Ticket> Granted;
    std::set<GrantId> Grants;
  };

  // Reports (cell_reports.cpp).
  RouterEntry &router(const RouterId &Id);
  bool acceptSession(RouterEntry &From, const DemandReport &Report);
  void applyDemand(RouterEntry &From, const WorkspaceDemand &Wanted,
                   const DemandReport &Report, TimePoint Now);
  void dropDemand(RouterEntry &From, const WorkspaceId &Id);
  void dropAllDemand(RouterEntry &From);
  void applyFull(RouterEntry &From, const DemandReport &Report, TimePoint Now);
  void adopt(RouterEntry &From, const HeldGrant &Held,
             const DemandReport &Report, TimePoint Now);
  void removeRouter(RouterEntry &From);
  void updatePart();
  void addPart(TimePoint Now);

  // Accounts of grants (cell_accounts.cpp).
  void acknowledge(const RouterEntry &From, GrantId Id, std::uint64_t Sequence);
  void setCharge(Issued &Granted, double Charged, double Served);
  void finish(GrantId Id, double Served, GrantEnd End, TimePoint Now);
  void forget(GrantId Id);
  void forgetLost(GrantId Id);
  void detach(GrantId Id);
  void correctHint(const Issued &Granted, double Served);
  void close(GrantId Id, TimePoint Now);
  void expireGrants(TimePoint Now);
  void repeatGrants(TimePoint Now, std::vector<CellAction> &Actions);
  void dropSilent(TimePoint Now);

  // Decisions (cell.cpp).
  bool grantOne(TimePoint Now, std::vector<CellAction> &Actions);
  bool grantTo(WorkspaceEntry &Entry, TimePoint Now,
               std::vector<CellAction> &Actions);
  void issue(WorkspaceEntry &Entry, RouterEntry &To, const QueuedItem &Item,
             Replica &Where, TimePoint Now, std::vector<CellAction> &Actions);
  Grant messageOf(GrantId Id, const Issued &Granted) const;
  double estimate(const WorkspaceEntry &Entry, double Hint) const;
  bool allReported(TimePoint Now) const;
  void finishRebuild();
  void askForReports(std::vector<CellAction> &Actions);
  void allot(TimePoint Now, std::vector<CellAction> &Actions);
  void updateRates();
  Allotment allotmentFor(const RouterEntry &To,
                         const std::map<WorkspaceId, RateSum> &Sums) const;
  std::map<WorkspaceId, RateSum> sumRates() const;
  double bound() const;

  CellSettings Settings;
  std::uint32_t OwnerTag;
  PlacementGuard *Guard;
  FairQueue Queue;
  ReplicaTable Replicas;
  std::map<RouterId, RouterEntry> Routers;
  std::vector<RouterEntry *> RouterByIndex;
  std::unordered_map<GrantId, Issued> Grants;
  /// Unconfirmed grants in the order of issue.
  std::deque<std::pair<TimePoint, GrantId>> Unconfirmed;
  /// Ended grants, so that a late message does not bring one back.
  std::unordered_set<GrantId> Closed;
  std::deque<std::pair<TimePoint, GrantId>> ClosedOrder;
  std::uint32_t NextGrant = 1;
  std::size_t Registered = 1;
  /// Time of the latest change of the live routers.
  TimePoint MembersChanged;
  /// Routers reported for the first time; the part may have to grow.
  bool PartDue = false;
  /// Workspaces with a concurrency limit.
  std::vector<WorkspaceTerms> Limited;
  bool Rebuilt = false;
  TimePoint LastRepeat;
  TimePoint LastAllotment;
  double LargestRequest = 1;
  Milliseconds FastestToken{};
  CellCounters Counters;
};

} // namespace mallowglade

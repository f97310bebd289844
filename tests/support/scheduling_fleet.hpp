#pragma once

#include <mallowglade/scheduling.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace mallowglade::test {

/// How the cost hints of requests relate to the actual cost.
enum class HintMode { Exact, Tenfold, Zero, Largest };

/// Fleet and network of a simulation.
struct FleetConfig {
  std::size_t Routers = 3;
  std::size_t Replicas = 2;
  std::uint32_t Slots = 3;
  /// One share per workspace.
  std::vector<double> Weights{1, 1, 2};
  /// Concurrency limit per workspace; 0 or missing means none.
  std::vector<std::uint32_t> Concurrency;
  /// Number of requests kept queued, per workspace and router.
  std::vector<std::vector<std::size_t>> Backlog;
  HintMode Hints = HintMode::Exact;
  double LossPercent = 0;
  double DuplicatePercent = 0;
  Milliseconds MaxDelay{10};
  /// Time until membership reflects a partition or its end.
  Milliseconds DetectionTime{1'500};
  std::uint64_t Seed = 1;
};

using FleetMessage = std::variant<DemandReport, Progress, Completion,
                                  GrantReturn, Grant, Allotment>;

/// Routers, cells and replicas in one process with a faulty network.
///
/// Accounts for delivered service independently of the code under test and
/// updates the measured extremes after each step.
class SimulatedFleet {
public:
  explicit SimulatedFleet(FleetConfig Config);

  /// Runs the fleet in steps of 10 ms.
  void run(Milliseconds Span);
  /// Cuts the links between routers of different groups.
  void partition(std::vector<int> Groups);
  /// Ends the partition.
  void heal();
  /// Restarts a router without its state.
  void restart(std::size_t Router);
  void changeWeight(std::size_t Workspace, double Weight);
  /// Stops or starts the supply of new requests of a workspace.
  void setSupply(std::size_t Workspace, bool Supplied);
  /// Suspends the checks of idle slots and service gaps, because a fault may
  /// exceed their limits.
  void expectFaults(bool Expected) { FaultsExpected = Expected; }

  /// Largest difference in service per share over any interval in which both
  /// workspaces of a pair were continuously backlogged.
  double largestGap() const { return LargestGap; }
  /// Upper bound that the design states for largestGap().
  double fairnessBound() const;
  /// Longest time that a slot was free while requests were queued.
  Milliseconds longestIdle() const { return LongestIdle; }
  /// Maximum number of concurrent requests on a replica.
  std::uint32_t peakOnReplica() const { return PeakOnReplica; }
  /// Maximum number of concurrent requests of a workspace.
  std::uint32_t peakInFlight(std::size_t Workspace) const {
    return PeakInFlight[Workspace];
  }
  /// Longest time that a backlogged workspace received no service.
  Milliseconds longestStarvation() const { return LongestStarvation; }
  double served(std::size_t Workspace) const { return Served[Workspace]; }
  /// Fraction of the slot time that was used.
  double utilisation() const;
  std::uint64_t completed() const { return Completed; }
  /// Cell owned by a router; null if it owns none.
  const Cell *cellOf(std::size_t Router) const { return Cells[Router].get(); }
  TimePoint now() const { return Now; }

  static constexpr double SlotRate = 100;
  static constexpr double LargestCost = 200;

private:
  struct RunningRequest {
    std::size_t Router = 0;
    std::size_t Workspace = 0;
    std::size_t Replica = 0;
    GrantId Grant;
    double Cost = 0;
    double Served = 0;
  };
  struct PendingMessage {
    TimePoint Due;
    std::size_t From = 0;
    std::size_t To = 0;
    FleetMessage Body;
  };

  void step();
  void deliverDue();
  void deliver(const PendingMessage &Item);
  void handleGrant(const PendingMessage &Item, const Grant &Offer);
  void send(std::size_t From, std::size_t To, const FleetMessage &Body);
  void serve(double Seconds);
  void supply();
  void reportDemand();
  void runCells();
  void updateViews();
  void updateOwner(std::size_t Router);
  void configureCell(std::size_t Router);
  void reportLoads();
  void check();
  void checkIdle(bool Waiting);
  void checkGaps();
  bool backlogged(std::size_t Workspace) const;
  std::uint32_t runningOn(std::size_t Replica) const;
  double costHint(double Cost) const;
  RouterId routerId(std::size_t Router) const;
  UpstreamId replicaId(std::size_t Replica) const;
  WorkspaceId workspaceId(std::size_t Workspace) const;

  FleetConfig Config;
  SeededRandom Random;
  TimePoint Start{std::chrono::hours(1)};
  TimePoint Now = Start;
  std::vector<DemandQueue> Queues;
  std::vector<std::unique_ptr<Cell>> Cells;
  std::vector<std::size_t> Owner;
  std::vector<int> Groups;
  std::vector<int> VisibleGroups;
  std::optional<TimePoint> NextViewUpdate;
  std::vector<PendingMessage> Network;
  std::vector<RunningRequest> Running;
  std::map<std::pair<std::size_t, RequestId>, std::pair<std::size_t, double>>
      Costs;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> Queued;
  std::vector<bool> Supplied;
  std::vector<double> MinWeight;
  std::uint64_t NextRequest = 1;
  std::uint32_t NextTag = 1;
  std::uint64_t Restarts = 0;
  TimePoint NextLoadReport = Start;
  std::vector<std::uint32_t> LaggingLoad;

  bool FaultsExpected = false;
  std::vector<double> Served;
  /// Service divided by the share in force when it was delivered.
  std::vector<double> ServicePerShare;
  struct PairState {
    bool Active = false;
    double MinDifference = 0;
    double MaxDifference = 0;
  };
  std::map<std::pair<std::size_t, std::size_t>, PairState> PairStates;
  std::vector<TimePoint> LastService;
  /// Times since which the free slots of each replica are free.
  std::vector<std::deque<TimePoint>> IdleSlots;
  double LargestGap = 0;
  Milliseconds LongestIdle{};
  Milliseconds LongestStarvation{};
  std::uint32_t PeakOnReplica = 0;
  std::vector<std::uint32_t> PeakInFlight;
  double SlotSeconds = 0;
  double UsedSeconds = 0;
  std::uint64_t Completed = 0;
};

} // namespace mallowglade::test

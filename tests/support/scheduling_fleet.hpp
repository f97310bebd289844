#pragma once

#include <mallowglade/scheduling.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace mallowglade::test {

/// What requests say about their cost.
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
  /// Requests kept waiting, per workspace and router.
  std::vector<std::vector<std::size_t>> Backlog;
  HintMode Hints = HintMode::Exact;
  double LossPercent = 0;
  double DuplicatePercent = 0;
  Milliseconds MaxDelay{10};
  /// Time until membership shows a change.
  Milliseconds Detection{1'500};
  std::uint64_t Seed = 1;
};

using FleetMessage = std::variant<DemandReport, Progress, Completion,
                                  GrantReturn, Grant, Allotment>;

/// Routers, cells and replicas in one process with a faulty network.
///
/// Keeps its own account of delivered service and checks the stated
/// properties after each step.
class SimulatedFleet {
public:
  explicit SimulatedFleet(FleetConfig Config);

  /// Runs the fleet in steps of 10 ms.
  void run(Milliseconds Span);
  /// Cuts the links between routers of different groups.
  void partition(std::vector<int> Groups);
  /// Joins all routers again.
  void heal();
  /// Replaces a router by one without state.
  void restart(std::size_t Router);
  void changeWeight(std::size_t Workspace, double Weight);
  /// Stops or starts the supply of new requests of a workspace.
  void setSupply(std::size_t Workspace, bool Supplied);
  /// Slots become unchecked while a fault may exceed the stated times.
  void expectFaults(bool Expected) { FaultsExpected = Expected; }

  /// Largest difference of service per share over any interval in which a
  /// pair of workspaces was backlogged throughout.
  double largestGap() const { return LargestGap; }
  /// The design's bound for this fleet.
  double bound() const;
  /// Longest time that a slot was free while work waited.
  Milliseconds longestIdle() const { return LongestIdle; }
  /// Most requests on a replica at once.
  std::uint32_t mostOnReplica() const { return MostOnReplica; }
  /// Most requests of a workspace in flight at once.
  std::uint32_t mostInFlight(std::size_t Workspace) const {
    return MostInFlight[Workspace];
  }
  /// Longest time a waiting workspace went without any service.
  Milliseconds longestStarvation() const { return LongestStarvation; }
  double served(std::size_t Workspace) const { return Served[Workspace]; }
  /// Part of the slot time that was used.
  double utilisation() const;
  std::uint64_t completed() const { return Completed; }
  /// Cell owned by a router, or null.
  const Cell *cellOf(std::size_t Router) const { return Cells[Router].get(); }
  TimePoint now() const { return Now; }

  static constexpr double SlotRate = 100;
  static constexpr double LargestCost = 200;

private:
  struct Run {
    std::size_t Router = 0;
    std::size_t Workspace = 0;
    std::size_t Replica = 0;
    GrantId Grant;
    double Cost = 0;
    double Served = 0;
  };
  struct Parcel {
    TimePoint Due;
    std::size_t From = 0;
    std::size_t To = 0;
    FleetMessage Body;
  };

  void step();
  void deliverDue();
  void deliver(const Parcel &Item);
  void takeGrant(const Parcel &Item, const Grant &Offer);
  void send(std::size_t From, std::size_t To, const FleetMessage &Body);
  void serve(double Seconds);
  void supply();
  void runBooks();
  void runCells();
  void updateViews();
  void setOwner(std::size_t Router);
  void configureCell(std::size_t Router);
  void reportLoads();
  void check();
  void checkIdle(bool Waiting);
  void checkGaps();
  bool backlogged(std::size_t Workspace) const;
  std::uint32_t runningOn(std::size_t Replica) const;
  double hintFor(double Cost) const;
  RouterId idOf(std::size_t Router) const;
  UpstreamId replicaId(std::size_t Replica) const;
  WorkspaceId workspaceId(std::size_t Workspace) const;

  FleetConfig Config;
  SeededRandom Random;
  TimePoint Start{std::chrono::hours(1)};
  TimePoint Now = Start;
  std::vector<DemandBook> Books;
  std::vector<std::unique_ptr<Cell>> Cells;
  std::vector<std::size_t> Owner;
  std::vector<int> Groups;
  std::vector<int> SeenGroups;
  std::optional<TimePoint> ViewDue;
  std::vector<Parcel> Network;
  std::vector<Run> Running;
  std::map<std::pair<std::size_t, RequestId>, std::pair<std::size_t, double>>
      Costs;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> Queued;
  std::vector<bool> Supplied;
  std::vector<double> LeastWeight;
  std::uint64_t NextRequest = 1;
  std::uint32_t NextTag = 1;
  std::uint64_t Restarts = 0;
  TimePoint NextLoadReport = Start;
  std::vector<std::uint32_t> LaggingLoad;

  bool FaultsExpected = false;
  std::vector<double> Served;
  /// Service per share, added up with the share of the time.
  std::vector<double> Normalised;
  struct PairState {
    bool Active = false;
    double Least = 0;
    double Most = 0;
  };
  std::map<std::pair<std::size_t, std::size_t>, PairState> Pairs;
  std::vector<TimePoint> LastService;
  /// Since when each free slot was free, per replica.
  std::vector<std::deque<TimePoint>> IdleSlots;
  double LargestGap = 0;
  Milliseconds LongestIdle{};
  Milliseconds LongestStarvation{};
  std::uint32_t MostOnReplica = 0;
  std::vector<std::uint32_t> MostInFlight;
  double SlotSeconds = 0;
  double UsedSeconds = 0;
  std::uint64_t Completed = 0;
};

} // namespace mallowglade::test

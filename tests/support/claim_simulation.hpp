#pragma once

#include <mallowglade/outcomes.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mallowglade::test {

/// Failure mode of the simulated key-value service.
enum class StoreMode { Up, Down, LoseReplies, LateWrites, ReadsOnly };

/// A fleet that shares one claim partition, with a simulated network and
/// key-value service. It counts executions per key and compares each verdict
/// with them.
class ClaimSimulation {
public:
  static constexpr std::size_t RouterCount = 3;
  static constexpr std::size_t KeyCount = 3;

  explicit ClaimSimulation(std::uint64_t Seed);
  /// Applies one random event of a history.
  void apply(std::uint32_t Event);
  void advance(Milliseconds Duration);
  /// Ends all faults and checks that each key gets a final answer.
  void repairAndCheck();
  void restart(std::size_t Router);
  void setMode(StoreMode NewMode) { Mode = NewMode; }

  /// The first violation found; empty if all verdicts were correct.
  std::string FirstFailure;
  std::map<std::size_t, int> Executions;
  std::map<std::string, int> Verdicts;

private:
  struct SimulatedRequest {
    std::size_t Key = 0;
    std::uint32_t Plan = 0;
    RequestId Id;
    int ExecutionsBefore = 0;
    /// Empty until decided.
    std::string Verdict;
    std::vector<std::function<void(const std::string &)>> VerdictListeners;
  };
  struct Router {
    Incarnation Start{1};
    std::unique_ptr<ClaimPartition> Partition;
    std::unique_ptr<ClaimRequester> Requester;
    std::map<ClaimToken, std::shared_ptr<SimulatedRequest>> Requests;
    TimePoint PausedUntil{};
    TimePoint DisconnectedUntil{};
    std::size_t OwnerView = 0;
  };
  struct Stored {
    std::string Value;
    std::int64_t Modified = 0;
  };
  using Task = std::function<void()>;

  /// Sends a request; the plan selects what happens once its claim is granted.
  std::shared_ptr<SimulatedRequest> send(std::size_t Router, std::size_t Key,
                                         std::uint32_t Plan);

  static RouterId routerId(std::size_t Router);
  void recordFailure(const std::string &Text);
  void schedule(Milliseconds Delay, Task Body);
  void scheduleOnRouter(std::size_t Router, Milliseconds Delay, Task Body);
  void deliver(std::size_t From, const RouterId &To,
               const std::function<void(Router &)> &Receive);
  void perform(std::size_t Index, const ClaimActions &Actions);
  void perform(std::size_t Index, const ClaimRequesterActions &Actions);
  template <class Outcome>
  void callStore(std::size_t Index, bool Write,
                 std::function<Outcome()> Effect);
  TransactionReply commit(const Transaction &Change);
  void handleDecision(std::size_t Index, const ClaimAnswer &Message);
  void attachToHolder(std::size_t Index,
                      const std::shared_ptr<SimulatedRequest> &Waiter,
                      const ClaimAnswer &Message);
  void execute(std::size_t Index, ClaimToken Token);
  void conclude(const std::shared_ptr<SimulatedRequest> &Request,
                const std::string &Verdict, bool IsHolder);
  void updateOwnerViews(std::uint32_t Choice);

  SeededRandom Random;
  TimePoint Now{std::chrono::hours(1)};
  std::multimap<TimePoint, Task> Events;
  std::vector<Router> Routers;
  std::map<std::string, Stored> Store;
  std::int64_t CurrentRevision = 1;
  StoreMode Mode = StoreMode::Up;
  std::uint64_t LossPercent = 0;
};

} // namespace mallowglade::test

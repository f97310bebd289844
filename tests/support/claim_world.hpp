#pragma once

#include <mallowglade/outcomes.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mallowglade::test {

/// How the simulated key-value service treats calls.
enum class StoreMode { Up, Down, LoseReplies, LateWrites, ReadsOnly };

/// A fleet that shares one claim partition, with a simulated network and
/// key-value service. It counts executions per key and compares each verdict
/// with them.
class ClaimWorld {
public:
  static constexpr std::size_t RouterCount = 3;
  static constexpr std::size_t KeyCount = 3;

  explicit ClaimWorld(std::uint64_t Seed);
  /// Applies one random event of a history.
  void apply(std::uint32_t Event);
  void advance(Milliseconds Span);
  /// Repairs everything and checks that each key gets a final answer.
  void healAndCheck();
  void restart(std::size_t Router);
  void setMode(StoreMode NewMode) { Mode = NewMode; }

  /// Faults found so far; empty if all verdicts were true.
  std::string Faults;
  std::map<std::size_t, int> Executions;
  std::map<std::string, int> Verdicts;

private:
  struct Run {
    std::size_t Key = 0;
    std::uint32_t Plan = 0;
    RequestId Id;
    int ExecutionsBefore = 0;
    /// Empty until decided.
    std::string Verdict;
    std::vector<std::function<void(const std::string &)>> Attached;
  };
  struct Router {
    Incarnation Start{1};
    std::unique_ptr<ClaimPartition> Partition;
    std::unique_ptr<ClaimRequester> Requester;
    std::map<ClaimToken, std::shared_ptr<Run>> Runs;
    TimePoint PausedUntil{};
    TimePoint CutUntil{};
    std::size_t OwnerView = 0;
  };
  struct Stored {
    std::string Value;
    std::int64_t Modified = 0;
  };
  using Work = std::function<void()>;

  /// Sends a request; the plan says what happens once it may run.
  std::shared_ptr<Run> send(std::size_t Router, std::size_t Key,
                            std::uint32_t Plan);

  static RouterId idOf(std::size_t Router);
  void fault(const std::string &Text);
  void at(Milliseconds Delay, Work Do);
  void onRouter(std::size_t Router, Milliseconds Delay, Work Do);
  void deliver(std::size_t From, const RouterId &To,
               const std::function<void(Router &)> &Receive);
  void run(std::size_t Index, const ClaimActions &Actions);
  void run(std::size_t Index, const ClaimRequesterActions &Actions);
  template <class Outcome>
  void callStore(std::size_t Index, bool Write,
                 std::function<Outcome()> Effect);
  TransactionReply commit(const Transaction &Change);
  void decided(std::size_t Index, const ClaimAnswer &Message);
  void attach(std::size_t Index, const std::shared_ptr<Run> &Mine,
              const ClaimAnswer &Message);
  void execute(std::size_t Index, ClaimToken Token);
  void conclude(const std::shared_ptr<Run> &Which, const std::string &Verdict,
                bool Strict);
  void updateViews(std::uint32_t Choice);

  SeededRandom Random;
  TimePoint Now{std::chrono::hours(1)};
  std::multimap<TimePoint, Work> Events;
  std::vector<Router> Routers;
  std::map<std::string, Stored> Store;
  std::int64_t CurrentRevision = 1;
  StoreMode Mode = StoreMode::Up;
  std::uint64_t LossPercent = 0;
};

} // namespace mallowglade::test

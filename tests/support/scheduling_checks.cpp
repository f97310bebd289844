#include "scheduling_fleet.hpp"

#include <algorithm>

namespace mallowglade::test {

namespace {

constexpr Milliseconds Staleness{250};
constexpr double StepSeconds = 0.01;

Milliseconds toMillis(std::chrono::nanoseconds Span) {
  return std::chrono::duration_cast<Milliseconds>(Span);
}

} // namespace

double SimulatedFleet::fairnessBound() const {
  BoundInputs Inputs;
  Inputs.LargestRequest = LargestCost;
  Inputs.SlotRate = SlotRate;
  Inputs.Staleness = Staleness + Config.MaxDelay;
  double Largest = 0;
  double SecondLargest = 0;
  for (std::size_t W = 0; W < Config.Weights.size(); ++W) {
    const double Bound = workspaceBound(Inputs, Config.Replicas * Config.Slots,
                                        Share(MinWeight[W]));
    SecondLargest = std::max(SecondLargest, std::min(Largest, Bound));
    Largest = std::max(Largest, Bound);
  }
  return Largest + SecondLargest;
}

double SimulatedFleet::utilisation() const {
  return SlotSeconds == 0 ? 0 : UsedSeconds / SlotSeconds;
}

std::uint32_t SimulatedFleet::runningOn(std::size_t Replica) const {
  return static_cast<std::uint32_t>(std::count_if(
      Running.begin(), Running.end(), [Replica](const RunningRequest &Request) {
        return Request.Replica == Replica;
      }));
}

bool SimulatedFleet::backlogged(std::size_t Workspace) const {
  for (const auto &[Key, Count] : Queued)
    if (Key.first == Workspace && Count > 0)
      return true;
  return false;
}

void SimulatedFleet::check() {
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica)
    PeakOnReplica = std::max(PeakOnReplica, runningOn(Replica));
  std::vector<std::uint32_t> InFlight(Config.Weights.size());
  for (const RunningRequest &Request : Running)
    ++InFlight[Request.Workspace];
  bool Waiting = false;
  for (std::size_t W = 0; W < InFlight.size(); ++W) {
    PeakInFlight[W] = std::max(PeakInFlight[W], InFlight[W]);
    const std::uint32_t Limit = Config.Concurrency[W];
    const bool AtLimit = Limit > 0 && InFlight[W] >= Limit;
    Waiting |= backlogged(W) && !AtLimit;
    if (!backlogged(W))
      LastService[W] = Now;
    LongestStarvation =
        std::max(LongestStarvation, toMillis(Now - LastService[W]));
  }
  checkIdle(Waiting);
  checkGaps();
}

void SimulatedFleet::checkIdle(bool Waiting) {
  const double TotalSlots = Config.Replicas * Config.Slots;
  SlotSeconds += TotalSlots * StepSeconds;
  UsedSeconds += static_cast<double>(Running.size()) * StepSeconds;
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica) {
    std::deque<TimePoint> &FreeSince = IdleSlots[Replica];
    const std::uint32_t UsedSlots = std::min(Config.Slots, runningOn(Replica));
    if (!Waiting || FaultsExpected)
      FreeSince.clear();
    while (FreeSince.size() > Config.Slots - UsedSlots)
      FreeSince.pop_front();
    while (FreeSince.size() < Config.Slots - UsedSlots)
      FreeSince.push_back(Now);
    if (!FreeSince.empty())
      LongestIdle = std::max(LongestIdle, toMillis(Now - FreeSince.front()));
  }
}

void SimulatedFleet::checkGaps() {
  for (std::size_t I = 0; I < ServicePerShare.size(); ++I)
    for (std::size_t J = I + 1; J < ServicePerShare.size(); ++J) {
      PairState &State = PairStates[{I, J}];
      const double Difference = ServicePerShare[I] - ServicePerShare[J];
      const bool BothBacklogged =
          backlogged(I) && backlogged(J) && !FaultsExpected;
      if (BothBacklogged && !State.Active)
        State = {true, Difference, Difference};
      State.Active = BothBacklogged;
      if (!BothBacklogged)
        continue;
      State.MinDifference = std::min(State.MinDifference, Difference);
      State.MaxDifference = std::max(State.MaxDifference, Difference);
      LargestGap =
          std::max(LargestGap, State.MaxDifference - State.MinDifference);
    }
}

} // namespace mallowglade::test

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

double SimulatedFleet::bound() const {
  BoundTerms Terms;
  Terms.LargestRequest = LargestCost;
  Terms.SlotRate = SlotRate;
  Terms.Staleness = Staleness + Config.MaxDelay;
  double First = 0;
  double Second = 0;
  for (std::size_t W = 0; W < Config.Weights.size(); ++W) {
    const double Part =
        boundPart(Terms, Config.Replicas * Config.Slots, Share(LeastWeight[W]));
    Second = std::max(Second, std::min(First, Part));
    First = std::max(First, Part);
  }
  return First + Second;
}

double SimulatedFleet::utilisation() const {
  return SlotSeconds == 0 ? 0 : UsedSeconds / SlotSeconds;
}

std::uint32_t SimulatedFleet::runningOn(std::size_t Replica) const {
  return static_cast<std::uint32_t>(
      std::count_if(Running.begin(), Running.end(), [Replica](const Run &Each) {
        return Each.Replica == Replica;
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
    MostOnReplica = std::max(MostOnReplica, runningOn(Replica));
  std::vector<std::uint32_t> InFlight(Config.Weights.size());
  for (const Run &Each : Running)
    ++InFlight[Each.Workspace];
  bool Waiting = false;
  for (std::size_t W = 0; W < InFlight.size(); ++W) {
    MostInFlight[W] = std::max(MostInFlight[W], InFlight[W]);
    const std::uint32_t Limit = Config.Concurrency[W];
    const bool Held = Limit > 0 && InFlight[W] >= Limit;
    Waiting |= backlogged(W) && !Held;
    if (!backlogged(W))
      LastService[W] = Now;
    LongestStarvation =
        std::max(LongestStarvation, toMillis(Now - LastService[W]));
  }
  checkIdle(Waiting);
  checkGaps();
}

void SimulatedFleet::checkIdle(bool Waiting) {
  const double All = Config.Replicas * Config.Slots;
  SlotSeconds += All * StepSeconds;
  UsedSeconds += static_cast<double>(Running.size()) * StepSeconds;
  for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica) {
    std::deque<TimePoint> &Free = IdleSlots[Replica];
    const std::uint32_t Used = std::min(Config.Slots, runningOn(Replica));
    if (!Waiting || FaultsExpected)
      Free.clear();
    while (Free.size() > Config.Slots - Used)
      Free.pop_front();
    while (Free.size() < Config.Slots - Used)
      Free.push_back(Now);
    if (!Free.empty())
      LongestIdle = std::max(LongestIdle, toMillis(Now - Free.front()));
  }
}

void SimulatedFleet::checkGaps() {
  for (std::size_t I = 0; I < Normalised.size(); ++I)
    for (std::size_t J = I + 1; J < Normalised.size(); ++J) {
      PairState &State = Pairs[{I, J}];
      const double Difference = Normalised[I] - Normalised[J];
      const bool Both = backlogged(I) && backlogged(J) && !FaultsExpected;
      if (Both && !State.Active)
        State = {true, Difference, Difference};
      State.Active = Both;
      if (!Both)
        continue;
      State.Least = std::min(State.Least, Difference);
      State.Most = std::max(State.Most, Difference);
      LargestGap = std::max(LargestGap, State.Most - State.Least);
    }
}

} // namespace mallowglade::test

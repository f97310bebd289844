#include "support/scheduling_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <iostream>

using namespace mallowglade;
using namespace mallowglade::test;

namespace {

constexpr Milliseconds Span{60'000};
constexpr double StepSeconds = 0.01;
constexpr std::uint64_t Seed = 7;

struct Outcome {
  double Gap = 0;
  double Utilisation = 0;
  /// Maximum number of requests on a replica divided by its slots.
  double Overload = 0;
};

/// Simulates the policies `split` and `random`, under which each router
/// decides without coordination.
class LocalFleet {
public:
  LocalFleet(const FleetConfig &Config, bool Split)
      : Config(Config), Split(Split), Random(Seed), Running(Config.Replicas),
        Served(Config.Weights.size(), 0) {
    const std::vector<double> NoService(Config.Weights.size(), 0);
    VirtualTimes.assign(Config.Routers, NoService);
    ActiveCount.assign(Config.Routers,
                       std::vector<std::size_t>(Config.Replicas, 0));
  }

  Outcome run() {
    Outcome Result;
    double Used = 0;
    const auto Steps = static_cast<int>(Span.count() / 10);
    for (int Step = 0; Step < Steps; ++Step) {
      for (std::size_t Router = 0; Router < Config.Routers; ++Router)
        dispatch(Router);
      for (std::size_t Replica = 0; Replica < Config.Replicas; ++Replica) {
        const double Load =
            static_cast<double>(Running[Replica].size()) / Config.Slots;
        Used += std::min(1.0, Load) / Config.Replicas;
        Result.Overload = std::max(Result.Overload, Load);
        serve(Replica);
      }
      Result.Gap = std::max(Result.Gap, gap());
    }
    Result.Utilisation = Used / Steps;
    return Result;
  }

private:
  struct Job {
    std::size_t Router;
    std::size_t Workspace;
    double RemainingCost;
  };

  double gap() const {
    double MinService = Served[0] / Config.Weights[0];
    double MaxService = MinService;
    for (std::size_t W = 1; W < Served.size(); ++W) {
      MinService = std::min(MinService, Served[W] / Config.Weights[W]);
      MaxService = std::max(MaxService, Served[W] / Config.Weights[W]);
    }
    return MaxService - MinService;
  }

  void dispatch(std::size_t Router) {
    if (Split)
      while (dispatchSplit(Router)) {
      }
    else
      dispatchRandom(Router);
  }

  /// Starts every queued request immediately on a random replica.
  void dispatchRandom(std::size_t Router) {
    for (std::size_t W = 0; W < Served.size(); ++W) {
      std::size_t Active = 0;
      for (const auto &Jobs : Running)
        Active += static_cast<std::size_t>(
            std::count_if(Jobs.begin(), Jobs.end(), [&](const Job &Entry) {
              return Entry.Router == Router && Entry.Workspace == W;
            }));
      for (; Active < Config.Backlog[W][Router]; ++Active)
        startJob(Router, W, Random.below(Config.Replicas));
    }
  }

  /// Uses an equal portion of each replica and picks the workspace with the
  /// smallest virtual time on this router.
  bool dispatchSplit(std::size_t Router) {
    const std::size_t SlotsPerRouter =
        std::max<std::size_t>(1, Config.Slots / Config.Routers);
    const auto LeastUsed = std::min_element(ActiveCount[Router].begin(),
                                            ActiveCount[Router].end());
    if (*LeastUsed >= SlotsPerRouter)
      return false;
    std::size_t Best = Served.size();
    for (std::size_t W = 0; W < Served.size(); ++W) {
      const bool IsEarlier =
          Best == Served.size() ||
          VirtualTimes[Router][W] < VirtualTimes[Router][Best];
      if (Config.Backlog[W][Router] > 0 && IsEarlier)
        Best = W;
    }
    if (Best == Served.size())
      return false;
    startJob(Router, Best,
             static_cast<std::size_t>(LeastUsed - ActiveCount[Router].begin()));
    return true;
  }

  void startJob(std::size_t Router, std::size_t Workspace,
                std::size_t Replica) {
    const double Cost = 10.0 + Random.below(SimulatedFleet::LargestCost - 10);
    Running[Replica].push_back({Router, Workspace, Cost});
    VirtualTimes[Router][Workspace] += Cost / Config.Weights[Workspace];
    ++ActiveCount[Router][Replica];
  }

  void serve(std::size_t Replica) {
    std::vector<Job> &Jobs = Running[Replica];
    const double Slowdown =
        std::max(1.0, static_cast<double>(Jobs.size()) / Config.Slots);
    const double Amount = SimulatedFleet::SlotRate * StepSeconds / Slowdown;
    for (Job &Entry : Jobs) {
      const double Added = std::min(Amount, Entry.RemainingCost);
      Entry.RemainingCost -= Added;
      Served[Entry.Workspace] += Added;
      if (Entry.RemainingCost <= 0)
        --ActiveCount[Entry.Router][Replica];
    }
    std::erase_if(Jobs,
                  [](const Job &Entry) { return Entry.RemainingCost <= 0; });
  }

  FleetConfig Config;
  bool Split;
  SeededRandom Random;
  std::vector<std::vector<Job>> Running;
  std::vector<std::vector<std::size_t>> ActiveCount;
  std::vector<std::vector<double>> VirtualTimes;
  std::vector<double> Served;
};

Outcome runCell(const FleetConfig &Config) {
  SimulatedFleet Fleet(Config);
  Fleet.run(Span);
  return {Fleet.largestGap(), Fleet.utilisation(),
          Fleet.peakOnReplica() / static_cast<double>(Config.Slots)};
}

/// Workspaces send through different routers, and one has a large backlog.
FleetConfig unevenFleet() {
  FleetConfig Config;
  Config.Routers = 8;
  Config.Replicas = 3;
  Config.Slots = 8;
  Config.Seed = Seed;
  Config.MaxDelay = Milliseconds(2);
  Config.Weights = {1, 1, 2, 4};
  Config.Backlog = {{200, 200, 0, 0, 0, 0, 0, 0},
                    {10, 0, 0, 0, 0, 0, 0, 0},
                    {0, 0, 30, 0, 0, 0, 0, 0},
                    {5, 5, 5, 5, 0, 0, 0, 0}};
  return Config;
}

void print(const char *Policy, const Outcome &Result) {
  std::cout << "{\"policy\":\"" << Policy << "\",\"gap\":" << Result.Gap
            << ",\"utilisation\":" << Result.Utilisation
            << ",\"overload\":" << Result.Overload << "}\n";
}

} // namespace

class SchedulingBaselinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulingBaselinesTest);
  CPPUNIT_TEST(cellOutperformsBaselines);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a scheduler that needs control traffic but is no better than
  // routers that decide without coordination.
  void cellOutperformsBaselines() {
    const FleetConfig Config = unevenFleet();
    const Outcome Cells = runCell(Config);
    const Outcome Split = LocalFleet(Config, true).run();
    const Outcome Random = LocalFleet(Config, false).run();
    print("cell", Cells);
    print("split", Split);
    print("random", Random);
    CPPUNIT_ASSERT(Cells.Gap < Split.Gap);
    CPPUNIT_ASSERT(Cells.Gap < Random.Gap);
    CPPUNIT_ASSERT(Cells.Utilisation > Split.Utilisation);
    CPPUNIT_ASSERT(Cells.Overload <= 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingBaselinesTest);

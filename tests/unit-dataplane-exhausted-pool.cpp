#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <vector>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr std::size_t Routers = 18;
constexpr double StatedTokensPerSecond = 3'600'000;
/// What the pool does: a seventh of what is stated.
constexpr double TokensPerSecond = 500'000;
constexpr Milliseconds Step{10};
constexpr Milliseconds ReportPeriod{300};
constexpr Milliseconds QueueTime{360};
/// Tokens of the requests that the engines take on at a time.
constexpr double MaxRunningTokens = 250'000;
/// A workspace may get half of what another one gets, not less.
constexpr double MaxRatio = 2;

struct Demand {
  double TokensPerSecond;
  double RequestTokens;
  /// Its callers all use the first router; else any.
  bool AtOneRouter;
};

struct Waiting {
  std::size_t Workspace;
  TimePoint Expires;
};

/// Routers with queues in front of one pool without spare capacity.
class ExhaustedPool {
public:
  explicit ExhaustedPool(std::vector<Demand> Demands)
      : Demands(std::move(Demands)), Queues(Routers), Order(Routers) {
    for (std::size_t Index = 0; Index < Routers; ++Index)
      Shares.push_back(std::make_unique<FairShare>(Time));
    std::iota(Order.begin(), Order.end(), std::size_t(0));
  }

  /// @return tokens admitted by workspace
  std::vector<double> run(Milliseconds Duration) {
    Admitted.assign(Demands.size(), 0);
    for (Milliseconds Elapsed{0}; Elapsed < Duration; Elapsed += Step) {
      if (Elapsed.count() % ReportPeriod.count() == 0)
        exchangeReports();
      for (std::size_t Index = 0; Index < Demands.size(); ++Index)
        submit(Index);
      Running = std::max(0.0, Running - TokensPerSecond * seconds(Step));
      for (std::size_t Last = Routers; Last > 1; --Last)
        std::swap(Order[Last - 1], Order[Random.below(Last)]);
      for (const std::size_t Router : Order)
        dispatch(Router);
      Time.advance(Step);
    }
    return Admitted;
  }

private:
  static double seconds(Milliseconds Duration) {
    return std::chrono::duration<double>(Duration).count();
  }

  void submit(std::size_t Workspace) {
    const Demand &Asked = Demands[Workspace];
    double &Owed = Arriving[Workspace];
    Owed += Asked.TokensPerSecond * seconds(Step);
    while (Owed >= Asked.RequestTokens) {
      Owed -= Asked.RequestTokens;
      const std::size_t Router = Asked.AtOneRouter ? 0 : Random.below(Routers);
      Shares[Router]->recordDemand(WorkspaceKey(Workspace),
                                   Asked.RequestTokens);
      Shares[Router]->recordUnmet(WorkspaceKey(Workspace), Asked.RequestTokens);
      Queues[Router].push_back({Workspace, Time.now() + QueueTime});
    }
  }

  void dispatch(std::size_t Router) {
    auto &Queue = Queues[Router];
    FairShare &Own = *Shares[Router];
    std::erase_if(Queue, [this](const Waiting &Request) {
      return Request.Expires <= Time.now();
    });
    std::stable_sort(Queue.begin(), Queue.end(),
                     [&Own](const Waiting &Left, const Waiting &Right) {
                       return Own.shareFill(WorkspaceKey(Left.Workspace)) <
                              Own.shareFill(WorkspaceKey(Right.Workspace));
                     });
    std::erase_if(Queue, [&](const Waiting &Request) {
      const WorkspaceKey Key(Request.Workspace);
      if (Running >= MaxRunningTokens || !Own.mayExceedShare(Key))
        return false;
      const double Tokens = Demands[Request.Workspace].RequestTokens;
      Running += Tokens;
      Own.recordUnmet(Key, -Tokens);
      Own.recordAdmitted(Key, Tokens);
      Admitted[Request.Workspace] += Tokens;
      return true;
    });
  }

  void exchangeReports() {
    for (const auto &Receiver : Shares) {
      UsageTable Others;
      for (const auto &Sender : Shares) {
        if (Sender == Receiver)
          continue;
        for (const auto &[Key, Usage] : Sender->ownUsage()) {
          Others[Key].Demand += Usage.Demand;
          Others[Key].Admitted += Usage.Admitted;
          Others[Key].Unmet += Usage.Unmet;
        }
      }
      Receiver->setPeers(std::move(Others));
    }
    for (const auto &Router : Shares)
      Router->update(StatedTokensPerSecond);
  }

  ManualClock Time;
  SeededRandom Random{18};
  std::vector<Demand> Demands;
  std::vector<std::unique_ptr<FairShare>> Shares;
  std::vector<std::vector<Waiting>> Queues;
  std::vector<std::size_t> Order;
  std::map<std::size_t, double> Arriving;
  std::vector<double> Admitted;
  double Running = 0;
};

} // namespace

class ExhaustedPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExhaustedPoolTest);
  CPPUNIT_TEST(workspaceAtOneRouterIsNotCrowdedOut);
  CPPUNIT_TEST(modestBacklogHoldsBackOthersOfAnExhaustedPool);
  CPPUNIT_TEST(modestBacklogHoldsBackNobodyElsewhere);
  CPPUNIT_TEST(poolIsNotExhaustedWhenItsCapacityRises);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a workspace whose callers all use one router and get less
  // than half of what one gets that asks all routers, while the pool does a
  // fraction of what is stated: no demand is large beside such a share.
  void workspaceAtOneRouterIsNotCrowdedOut() {
    constexpr std::size_t Tied = 2;
    ExhaustedPool Pool({{800'000, 5'000, false},
                        {400'000, 5'000, false},
                        {280'000, 6'000, true}});
    Pool.run(std::chrono::seconds(4));
    const auto Admitted = Pool.run(std::chrono::seconds(6));
    CPPUNIT_ASSERT(MaxRatio * Admitted[Tied] >=
                   *std::max_element(Admitted.begin(), Admitted.end()));
    // What is reserved for the least served is used.
    const double Sum = std::accumulate(Admitted.begin(), Admitted.end(), 0.0);
    CPPUNIT_ASSERT(Sum >= 0.9 * 6 * TokensPerSecond);
  }

  void modestBacklogHoldsBackOthersOfAnExhaustedPool() {
    CPPUNIT_ASSERT(!floodMayExceed(4 * TokensPerSecond));
  }

  // Guards against reserving capacity for a moment's wait of a workspace that
  // asks for little beside the shares, while the others are served.
  void modestBacklogHoldsBackNobodyElsewhere() {
    CPPUNIT_ASSERT(floodMayExceed(0));
  }

  // Guards against a pool that seems exhausted since its capacity has come back
  // a moment ago, for example at the end of an evacuation.
  void poolIsNotExhaustedWhenItsCapacityRises() {
    CPPUNIT_ASSERT(
        floodMayExceed(4 * TokensPerSecond, StatedTokensPerSecond / 2));
  }

private:
  /// @param FloodUnmet tokens refused to the workspace that asks for most
  /// @param StatedBefore capacity that was stated a moment before
  static bool floodMayExceed(double FloodUnmet,
                             double StatedBefore = StatedTokensPerSecond) {
    const WorkspaceKey Flood(1);
    const WorkspaceKey Modest(2);
    ManualClock Time;
    FairShare Shares(Time);
    constexpr double WindowTokens = 4 * TokensPerSecond;
    Shares.update(StatedBefore);
    Shares.recordDemand(Flood, WindowTokens + FloodUnmet);
    Shares.recordAdmitted(Flood, WindowTokens);
    Shares.recordUnmet(Flood, FloodUnmet);
    Shares.recordDemand(Modest, 0.6 * WindowTokens);
    Shares.recordAdmitted(Modest, 0.2 * WindowTokens);
    Shares.recordUnmet(Modest, 0.025 * WindowTokens);
    Shares.update(StatedTokensPerSecond);
    return Shares.mayExceedShare(Flood);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExhaustedPoolTest);

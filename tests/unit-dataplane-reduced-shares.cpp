#include <mallowglade/dataplane.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr std::size_t Routers = 72;
constexpr double StatedTokensPerSecond = 900'000;
constexpr Milliseconds Step{10};
constexpr Milliseconds ReportPeriod{300};

struct Demand {
  double TokensPerSecond;
  double RequestTokens;
};

/// Routers that hear of each other's admissions with the delay of reports, and
/// workspaces whose requests come to any of them.
class ReportingFleet {
public:
  ReportingFleet() {
    for (std::size_t Index = 0; Index < Routers; ++Index)
      Fleet.push_back(std::make_unique<FairShare>(Time));
  }

  /// @return tokens admitted by workspace
  std::vector<double> run(const std::vector<Demand> &Workspaces,
                          double Fraction, Milliseconds Duration) {
    std::vector<double> Admitted(Workspaces.size());
    for (Milliseconds Elapsed{0}; Elapsed < Duration; Elapsed += Step) {
      if (Elapsed.count() % ReportPeriod.count() == 0)
        exchangeReports(Fraction);
      for (std::size_t Index = 0; Index < Workspaces.size(); ++Index)
        Admitted[Index] += submit(Workspaces[Index], WorkspaceKey(Index));
      Time.advance(Step);
    }
    return Admitted;
  }

private:
  double submit(const Demand &Asked, WorkspaceKey Key) {
    double &Owed = Arriving[Key];
    Owed += Asked.TokensPerSecond * std::chrono::duration<double>(Step).count();
    double Admitted = 0;
    const auto Count = static_cast<unsigned>(Owed / Asked.RequestTokens);
    Owed -= Count * Asked.RequestTokens;
    for (unsigned Request = 0; Request < Count; ++Request) {
      FairShare &Router = *Fleet[Random.below(Routers)];
      Router.recordDemand(Key, Asked.RequestTokens);
      if (!Router.admitsFromShare(Key, Random))
        continue;
      Router.recordAdmitted(Key, Asked.RequestTokens);
      Admitted += Asked.RequestTokens;
    }
    return Admitted;
  }

  void exchangeReports(double Fraction) {
    std::vector<UsageTable> Own;
    UsageTable Sum;
    for (const auto &Router : Fleet) {
      Own.push_back(Router->ownUsage());
      for (const auto &[Key, Usage] : Own.back()) {
        Sum[Key].Demand += Usage.Demand;
        Sum[Key].Admitted += Usage.Admitted;
      }
    }
    for (std::size_t Index = 0; Index < Routers; ++Index) {
      UsageTable Others = Sum;
      for (const auto &[Key, Usage] : Own[Index]) {
        Others[Key].Demand -= Usage.Demand;
        Others[Key].Admitted -= Usage.Admitted;
      }
      Fleet[Index]->setPeers(std::move(Others));
      Fleet[Index]->setCapacityReduced(Fraction < 1);
      Fleet[Index]->update(StatedTokensPerSecond * Fraction);
    }
  }

  ManualClock Time;
  SeededRandom Random{72};
  std::vector<std::unique_ptr<FairShare>> Fleet;
  std::map<WorkspaceKey, double> Arriving;
};

} // namespace

class ReducedSharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReducedSharesTest);
  CPPUNIT_TEST(floodGetsNoMoreThanItsShare);
  CPPUNIT_TEST(demandBelowTheShareIsAdmitted);
  CPPUNIT_TEST(nothingChangesAtFullCapacity);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a workspace that floods all routers and is admitted by each
  // of them whenever its use falls below its share, while two of three zones
  // are evacuated.
  void floodGetsNoMoreThanItsShare() {
    ReportingFleet Fleet;
    const std::vector<Demand> Workspaces{{1'950'000, 2'500}, {190'000, 2'500},
                                         {110'000, 12'500},  {110'000, 2'500},
                                         {60'000, 900},      {60'000, 2'500}};
    Fleet.run(Workspaces, 1, std::chrono::seconds(6));
    Fleet.run(Workspaces, 1.0 / 3, std::chrono::seconds(6));
    const auto Admitted =
        Fleet.run(Workspaces, 1.0 / 3, std::chrono::seconds(6));
    // All of them ask for more than an even share.
    constexpr double MaxRatio = 2;
    const double EvenShare =
        6 * StatedTokensPerSecond / 3 / static_cast<double>(Admitted.size());
    for (const double Each : Admitted) {
      CPPUNIT_ASSERT(Admitted[0] <= MaxRatio * Each);
      CPPUNIT_ASSERT(MaxRatio * Each >= EvenShare);
    }
  }

  // Guards against refusing a workspace that asks for almost its share, and got
  // all of it so far.
  void demandBelowTheShareIsAdmitted() {
    ManualClock Time;
    SeededRandom Random(1);
    FairShare Shares(Time);
    const WorkspaceKey Modest(1);
    const WorkspaceKey Flood(2);
    Shares.setCapacityReduced(true);
    Shares.recordDemand(Flood, 100 * StatedTokensPerSecond);
    Shares.recordDemand(Modest, 1.94 * StatedTokensPerSecond);
    Shares.recordAdmitted(Modest, 1.94 * StatedTokensPerSecond);
    Shares.update(StatedTokensPerSecond);
    for (int Request = 0; Request < 100; ++Request)
      CPPUNIT_ASSERT(Shares.admitsFromShare(Modest, Random));
  }

  // Guards against requests of a workspace below its share that are refused
  // while all capacity is in use.
  void nothingChangesAtFullCapacity() {
    ManualClock Time;
    SeededRandom Random(1);
    FairShare Shares(Time);
    const WorkspaceKey Flood(1);
    Shares.recordDemand(Flood, 100 * StatedTokensPerSecond);
    Shares.recordAdmitted(Flood, 3.99 * StatedTokensPerSecond);
    Shares.update(StatedTokensPerSecond);
    for (int Request = 0; Request < 100; ++Request)
      CPPUNIT_ASSERT(Shares.admitsFromShare(Flood, Random));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReducedSharesTest);

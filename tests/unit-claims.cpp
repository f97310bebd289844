#include "support/claim_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <iostream>

using namespace mallowglade;
using namespace mallowglade::test;

class ClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimsTest);
  CPPUNIT_TEST(randomHistoriesExecuteEachKeyAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second execution of a key and a false verdict under
  // duplicated messages, restarts, pauses, network partitions, lost replies,
  // delayed writes and outages. CMake sets the number of histories.
  void randomHistoriesExecuteEachKeyAtMostOnce() {
    std::map<std::string, long> Totals;
    const bool Passed = rc::check([&Totals] {
      const auto Event = rc::gen::resize(
          rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 30));
      const auto History =
          *rc::gen::container<std::vector<std::uint32_t>>(Event);
      const auto Seed = *rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      ClaimSimulation Simulation(Seed);
      for (const std::uint32_t Item : History)
        Simulation.apply(Item);
      Simulation.repairAndCheck();
      for (const auto &[Verdict, Count] : Simulation.Verdicts)
        Totals[Verdict] += Count;
      ++Totals["histories"];
      if (!Simulation.FirstFailure.empty())
        RC_FAIL(Simulation.FirstFailure);
    });
    for (const auto &[Name, Count] : Totals)
      std::cout << Name << ": " << Count << "\n";
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsTest);

#include "support/claim_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <iostream>

using namespace mallowglade;
using namespace mallowglade::test;

class ClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimsTest);
  CPPUNIT_TEST(randomHistoriesKeepAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second run of a key and a false verdict under repeats,
  // restarts, pauses, partitions, lost replies, late writes and outages.
  // CMake sets the number of histories.
  void randomHistoriesKeepAtMostOnce() {
    std::map<std::string, long> Totals;
    const bool Holds = rc::check([&Totals] {
      const auto Event = rc::gen::resize(
          rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 30));
      const auto History =
          *rc::gen::container<std::vector<std::uint32_t>>(Event);
      const auto Seed = *rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      ClaimWorld World(Seed);
      for (const std::uint32_t Item : History)
        World.apply(Item);
      World.healAndCheck();
      for (const auto &[Verdict, Count] : World.Verdicts)
        Totals[Verdict] += Count;
      ++Totals["histories"];
      if (!World.Faults.empty())
        RC_FAIL(World.Faults);
    });
    for (const auto &[Name, Count] : Totals)
      std::cout << Name << ": " << Count << "\n";
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsTest);

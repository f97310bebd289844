#include <mallowglade/outcomes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;

namespace {

constexpr std::uint32_t MaxAttempts = 4;

AttemptHistory historyOf(bool Idempotent) {
  AttemptHistory History;
  History.Idempotent = Idempotent;
  History.Attempts = 1;
  History.MaxAttempts = MaxAttempts;
  History.BudgetLeft = true;
  return History;
}

} // namespace

class AttemptPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptPolicyTest);
  CPPUNIT_TEST(interruptedNonIdempotentRequestIsUnknown);
  CPPUNIT_TEST(requestThatNeverReachedAnUpstreamIsRepeated);
  CPPUNIT_TEST(verdictsHoldForAllHistories);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second run of a booking whose connection was cut.
  void interruptedNonIdempotentRequestIsUnknown() {
    AttemptHistory History = historyOf(false);
    CPPUNIT_ASSERT(decideNextStep(History, AttemptFailure::Interrupted) ==
                   NextStep::FailUnknown);
  }

  // Guards against giving up a booking that no upstream has seen.
  void requestThatNeverReachedAnUpstreamIsRepeated() {
    AttemptHistory History = historyOf(false);
    CPPUNIT_ASSERT(decideNextStep(History, AttemptFailure::NotHandedOver) ==
                   NextStep::Retry);
  }

  // Guards against a false "not run" and a second hand-over, in any order of
  // failures.
  void verdictsHoldForAllHistories() {
    const bool Holds =
        rc::check([](bool Idempotent, const std::vector<std::uint8_t> &Kinds) {
          AttemptHistory History = historyOf(Idempotent);
          bool Reached = false;
          for (const std::uint8_t Kind : Kinds) {
            const auto Failure = static_cast<AttemptFailure>(Kind % 4);
            const bool WasReached = Reached;
            Reached |= Failure == AttemptFailure::Interrupted ||
                       Failure == AttemptFailure::Silent;
            const NextStep Next = decideNextStep(History, Failure);
            RC_ASSERT(!(Next == NextStep::FailNotRun && Reached));
            RC_ASSERT(!(Next == NextStep::Retry && Reached && !Idempotent));
            RC_ASSERT(!WasReached || History.MayHaveRun);
            if (Next != NextStep::Retry)
              return;
            ++History.Attempts;
          }
        });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptPolicyTest);

#include <mallowglade/outcomes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;

namespace {

constexpr std::uint32_t MaxAttempts = 4;

AttemptHistory makeHistory(bool Idempotent) {
  AttemptHistory History;
  History.Idempotent = Idempotent;
  History.Attempts = 1;
  History.MaxAttempts = MaxAttempts;
  History.RetryAllowed = true;
  return History;
}

} // namespace

class AttemptPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptPolicyTest);
  CPPUNIT_TEST(interruptedNonIdempotentRequestFailsAsUnknown);
  CPPUNIT_TEST(requestThatNeverReachedAnUpstreamIsRetried);
  CPPUNIT_TEST(verdictsAreCorrectForAllHistories);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second execution of a non-idempotent request whose
  // connection was lost.
  void interruptedNonIdempotentRequestFailsAsUnknown() {
    AttemptHistory History = makeHistory(false);
    CPPUNIT_ASSERT(decideNextStep(History, AttemptFailure::Interrupted) ==
                   NextStep::FailUnknown);
  }

  // Guards against failing a non-idempotent request that no upstream received.
  void requestThatNeverReachedAnUpstreamIsRetried() {
    AttemptHistory History = makeHistory(false);
    CPPUNIT_ASSERT(decideNextStep(History, AttemptFailure::NotSent) ==
                   NextStep::Retry);
  }

  // Guards against a false "not run" and, for requests that are not idempotent,
  // a retry after a possible execution, in any order of failures.
  void verdictsAreCorrectForAllHistories() {
    const bool Passed = rc::check([](bool Idempotent,
                                     const std::vector<std::uint8_t> &Kinds) {
      AttemptHistory History = makeHistory(Idempotent);
      bool MayHaveReached = false;
      for (const std::uint8_t Kind : Kinds) {
        const auto Failure = static_cast<AttemptFailure>(Kind % 4);
        const bool MayHaveReachedBefore = MayHaveReached;
        MayHaveReached |= Failure == AttemptFailure::Interrupted ||
                          Failure == AttemptFailure::Stalled;
        const NextStep Next = decideNextStep(History, Failure);
        RC_ASSERT(!(Next == NextStep::FailNotRun && MayHaveReached));
        RC_ASSERT(!(Next == NextStep::Retry && MayHaveReached && !Idempotent));
        RC_ASSERT(!MayHaveReachedBefore || History.MayHaveRun);
        if (Next != NextStep::Retry)
          return;
        ++History.Attempts;
      }
    });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptPolicyTest);

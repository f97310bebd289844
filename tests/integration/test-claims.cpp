#include <bookings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <csignal>

using namespace fleet;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr int SlowServiceMs = 400;

} // namespace

class ClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimsTest);
  CPPUNIT_TEST(sameKeyThroughAllRoutersRunsOnce);
  CPPUNIT_TEST(killedRouterLeavesNoSecondRun);
  CPPUNIT_TEST(pausedRouterRunsNothingTwice);
  CPPUNIT_TEST(lostReplyOfTheStoreRunsNothingTwice);
  CPPUNIT_TEST(unavailableStoreRunsNothingTwice);
  CPPUNIT_TEST(lostReplyOfTheServiceRunsNothingTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Run = std::make_unique<Fleet>();
    for (int I = 1; I <= 2; ++I)
      Services.push_back(&Run->addService(fmt::format("desk-{}", I)));
    std::vector<std::string> Addresses;
    for (std::size_t I = 0; I < RouterCount; ++I)
      Run->startRouter({{"seed_tree", makeTree({{"booking", 1}})}});
    for (const Node *Router : Run->routers()) {
      Run->waitReady(*Router);
      Addresses.push_back(Router->Address);
    }
    CPPUNIT_ASSERT(Run->waitForMembers(RouterCount));
    Orders = std::make_unique<Bookings>(Addresses, "booking");
    CPPUNIT_ASSERT(
        waitUntil([this] { return Orders->book("ready", 0) == "answered"; }));
  }
  void tearDown() override {
    Orders.reset();
    Services.clear();
    Run.reset();
  }

  // Guards against two routers that run the same key at the same moment
  // (invariant I5).
  void sameKeyThroughAllRoutersRunsOnce() {
    constexpr int Keys = 60;
    for (int I = 0; I < Keys; ++I)
      Orders->bookEverywhere(fmt::format("same-{}", I));
    assertNoFault();
    CPPUNIT_ASSERT(Orders->report(Services).Answered >= Keys);
  }

  // Guards against a repeat that runs again because the router that ran the
  // key, and perhaps owned its partition, was killed.
  void killedRouterLeavesNoSecondRun() {
    setServices({{"delay_ms", SlowServiceMs}});
    constexpr int Keys = 12;
    std::vector<std::jthread> Callers;
    Callers.reserve(Keys);
    for (int I = 0; I < Keys; ++I)
      Callers.emplace_back([this, I] { Orders->book(name("killed", I), 0); });
    CPPUNIT_ASSERT(waitUntil([this] { return executions() > 1; }));
    Run->routers()[0]->Runs->kill();
    Callers.clear();
    repeatUntilServed("killed", Keys, {1, 2});
    assertNoFault();
  }

  // Guards against a paused owner that still believes in its lease.
  void pausedRouterRunsNothingTwice() {
    Orders->start(4, Milliseconds(20));
    Run->routers()[1]->Runs->signal(SIGSTOP);
    // Past the failure detection and the lease of its registration.
    CPPUNIT_ASSERT(waitUntil([this] {
      return membersSeenBy(0) == RouterCount - 1 && registrations() < 3;
    }));
    constexpr int Keys = 12;
    for (int I = 0; I < Keys; ++I)
      Orders->book(name("paused", I), 0);
    Run->routers()[1]->Runs->signal(SIGCONT);
    for (int I = 0; I < Keys; ++I)
      Orders->bookEverywhere(name("paused", I));
    CPPUNIT_ASSERT(Run->waitForMembers(RouterCount));
    Orders->stop();
    repeatUntilServed("resumed", Keys, {0, 1, 2});
    assertNoFault();
  }

  // Guards against a claim that took effect although its reply was lost.
  void lostReplyOfTheStoreRunsNothingTwice() {
    setStore("lose_replies");
    constexpr int Keys = 12;
    for (int I = 0; I < Keys; ++I)
      Orders->bookEverywhere(name("lost", I));
    setStore("up");
    repeatUntilServed("after", Keys, {0, 1, 2});
    for (int I = 0; I < Keys; ++I)
      Orders->bookEverywhere(name("lost", I));
    assertNoFault();
  }

  // Guards against running unclaimed keys, and against a false "not run",
  // while the key-value service is down.
  void unavailableStoreRunsNothingTwice() {
    constexpr int Keys = 8;
    for (int I = 0; I < Keys; ++I)
      Orders->book(name("before", I), 0);
    setStore("down");
    for (int I = 0; I < Keys; ++I) {
      Orders->bookEverywhere(name("before", I));
      CPPUNIT_ASSERT(Orders->book(name("during", I), 1) != "answered");
    }
    setStore("up");
    repeatUntilServed("during", Keys, {0, 1, 2});
    assertNoFault();
  }

  // Guards against a repeat after the service ran the request and its reply
  // was lost.
  void lostReplyOfTheServiceRunsNothingTwice() {
    setServices({{"mode", "lose_reply"}});
    constexpr int Keys = 8;
    for (int I = 0; I < Keys; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                           Orders->book(name("cut", I), 0));
    setServices({{"mode", "up"}});
    for (int I = 0; I < Keys; ++I)
      Orders->bookEverywhere(name("cut", I));
    assertNoFault();
  }

private:
  static std::string name(const std::string &Prefix, int Number) {
    return fmt::format("{}-{}", Prefix, Number);
  }

  void setServices(const json &Change) {
    for (const Node *Service : Services)
      post(Service->Address, "/control", Change);
  }
  void setStore(const std::string &Mode) {
    post(Run->platform().Address, "/control", {{"mode", Mode}});
  }

  /// Claims are possible again once a key of each number was decided.
  void repeatUntilServed(const std::string &Prefix, int Keys,
                         const std::vector<std::size_t> &Routers) {
    for (int I = 0; I < Keys; ++I)
      CPPUNIT_ASSERT(waitUntil([&] {
        const std::size_t Router =
            Routers[static_cast<std::size_t>(I) % Routers.size()];
        const std::string Fresh = fmt::format("{}-fresh-{}", Prefix, I);
        Orders->book(name(Prefix, I), Router);
        return Orders->book(Fresh, Router) == "answered";
      }));
  }

  void assertNoFault() {
    const BookingReport Report = Orders->report(Services);
    const std::string Faults = Orders->faults(Services);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Faults, 0L, Report.DoubleRuns);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Faults, 0L, Report.Wrong);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Faults, 0L, Report.FalseNotRun);
  }

  int executions() {
    int Sum = 0;
    for (const Node *Service : Services) {
      const json Seen = get(Service->Address, "/executions").document();
      Sum += static_cast<int>(Seen["keys"].size());
    }
    return Sum;
  }

  std::size_t membersSeenBy(std::size_t Router) {
    const std::string Address = Run->routers()[Router]->Address;
    return get(Address, "/v1/addresses").document()["addresses"].size();
  }

  /// Registrations with a live lease in the key-value service.
  std::size_t registrations() {
    // Base64 of "routers/" and of the first key after that prefix.
    const json Found =
        post(Run->platform().Address, "/v3/kv/range",
             {{"key", "cm91dGVycy8="}, {"range_end", "cm91dGVyczA="}})
            .document();
    return Found.contains("kvs") ? Found["kvs"].size() : 0;
  }

  std::unique_ptr<Fleet> Run;
  std::vector<Node *> Services;
  std::unique_ptr<Bookings> Orders;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsTest);

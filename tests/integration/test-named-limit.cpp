#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace fleet;

namespace {

constexpr double LimitPerSecond = 2;
/// From the platform's rules: what an upstream may get in four seconds from
/// routers that it has told of its limit.
constexpr std::size_t MostInFourSeconds = 17;
constexpr std::size_t Requests = 60;
constexpr Milliseconds Pause{50};

} // namespace

class NamedLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NamedLimitTest);
  CPPUNIT_TEST(limitHoldsForAllRoutersOfACell);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Run = std::make_unique<Fleet>();
    Service = &Run->addService("desk-1");
    const json Settings{
        {"seed_tree", makeTree({{"line-plan", 2}, {"quote", 1}})}};
    Routers = {&Run->addRouter(Settings), &Run->addRouter(Settings)};
    CPPUNIT_ASSERT(Run->waitForMembers(Routers.size()));
  }
  void tearDown() override { Run.reset(); }

  // Guards against a limit that an upstream names to routers with policy `cell`
  // in vain.
  void limitHoldsForAllRoutersOfACell() {
    post(Service->Address, "/control", {{"limit", LimitPerSecond}});
    for (Node *Router : Routers)
      CPPUNIT_ASSERT_EQUAL(200, ask(*Router));
    std::this_thread::sleep_for(Milliseconds(1'000));
    const std::size_t Before = executions();
    std::vector<std::thread> Callers;
    for (std::size_t Number = 0; Number < Requests; ++Number) {
      Callers.emplace_back(
          [this, Number] { ask(*Routers[Number % Routers.size()]); });
      std::this_thread::sleep_for(Pause);
    }
    const std::size_t Count = executions() - Before;
    for (std::thread &Caller : Callers)
      Caller.join();
    CPPUNIT_ASSERT_LESSEQUAL(MostInFourSeconds, Count);
  }

private:
  static int ask(const Node &Router) {
    constexpr Milliseconds Patience{4'000};
    Call Wanted = chatCall(Router.Address, "quote", {{"tank", 4}});
    Wanted.Path = "/desk/bookings";
    Wanted.Timeout = Patience;
    return send(Wanted).Status;
  }

  std::size_t executions() const {
    return get(Service->Address, "/executions").document()["requests"].size();
  }

  std::unique_ptr<Fleet> Run;
  Node *Service = nullptr;
  std::vector<Node *> Routers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamedLimitTest);

#include <load.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <csignal>

using namespace fleet;

namespace {

constexpr std::size_t RouterCount = 4;
constexpr int EngineCount = 6;
constexpr int SlotsPerEngine = 100;
constexpr std::size_t StreamCount = 520;
/// Long enough to outlast the time to live of the addresses.
constexpr int StreamTokens = 240;
constexpr int MillisPerToken = 50;
constexpr int AddressTtlSeconds = 3;
constexpr int RedirectStatus = 307;

json routerSettings() {
  json Tree = makeTree({{"line-plan", 2}, {"quote", 1}});
  json &Pool = Tree["platform"]["pools"]["models"];
  Pool["initial_in_flight"] = SlotsPerEngine;
  Pool["max_in_flight"] = SlotsPerEngine;
  return {{"seed_tree", Tree},
          {"limits", {{"address_ttl_s", AddressTtlSeconds}}}};
}

} // namespace

class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(plannedStopInterruptsNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a planned stop that interrupts a request in progress or
  // turns callers away without a new address (invariant I7).
  void plannedStopInterruptsNothing() {
    startFleet();
    startStreams();
    const bool AllRun = waitUntil([this] { return InFlight == StreamCount; });
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} streams run, {} ended early",
                                       InFlight.load(), Ended.load()),
                           AllRun);
    Node &Stopped = *Run.routers().front();
    Stopped.Runs->signal(SIGTERM);
    CPPUNIT_ASSERT(waitUntil([&] { return !isListed(Stopped); }));
    CPPUNIT_ASSERT_EQUAL(0L, Ended.load());
    const Reply Redirected = callUntilRedirected(Stopped);
    assertFreshAddress(Redirected, Stopped);
    CPPUNIT_ASSERT(!Stopped.Runs->ended());
    Streams.clear();
    CPPUNIT_ASSERT_EQUAL(static_cast<long>(StreamCount), Complete.load());
    CPPUNIT_ASSERT_EQUAL(0, Stopped.Runs->wait());
  }

private:
  void startFleet() {
    for (int I = 1; I <= EngineCount; ++I)
      Run.addEngine(fmt::format("engine-{}", I),
                    {{"ms_per_token", MillisPerToken},
                     {"batch", SlotsPerEngine},
                     {"slots", SlotsPerEngine}});
    for (std::size_t I = 0; I < RouterCount; ++I)
      Run.startRouter(routerSettings());
    for (const Node *Router : Run.routers())
      Run.waitReady(*Router);
    CPPUNIT_ASSERT(Run.waitForMembers(RouterCount));
  }

  void startStreams() {
    Streams.reserve(StreamCount);
    for (std::size_t I = 0; I < StreamCount; ++I)
      Streams.emplace_back([this, I] { runStream(I); });
  }

  void runStream(std::size_t Number) {
    const std::string Prompt = fmt::format("line plan {}", Number);
    const Node &Router = *Run.routers()[Number % RouterCount];
    Call Wanted = chatCall(Router.Address, "line-plan",
                           chatBody(Prompt, StreamTokens, true));
    bool First = true;
    Wanted.OnBytes = [&](std::string_view) {
      InFlight += First ? 1 : 0;
      First = false;
      return true;
    };
    const Reply Received = send(Wanted);
    ++Ended;
    if (Received.Status == 200 &&
        Received.Body == expectedStream(Prompt, StreamTokens))
      ++Complete;
  }

  bool isListed(const Node &Router) {
    for (const Node *Other : Run.routers()) {
      const json Listed = get(Other->Address, "/v1/addresses").document();
      for (const json &Address : Listed["addresses"])
        if (Address == Router.Address)
          return true;
    }
    return false;
  }

  /// Callers that cached the address are served or redirected, never refused.
  static Reply callUntilRedirected(const Node &Router) {
    Reply Received;
    const bool Redirected = waitUntil([&] {
      Received = send(
          chatCall(Router.Address, "quote", chatBody("quote check", 2, false)));
      CPPUNIT_ASSERT_MESSAGE(Received.Body,
                             Received.Status == 200 ||
                                 Received.Status == RedirectStatus);
      return Received.Status == RedirectStatus;
    });
    CPPUNIT_ASSERT(Redirected);
    return Received;
  }

  void assertFreshAddress(const Reply &Redirected, const Node &Stopped) {
    const std::string Location = Redirected.header("Location");
    bool Known = false;
    for (const Node *Other : Run.routers())
      Known |= Other != &Stopped &&
               Location == "http://" + Other->Address + "/v1/chat/completions";
    CPPUNIT_ASSERT_MESSAGE(Location, Known);
  }

  Fleet Run;
  std::atomic<std::size_t> InFlight{0};
  std::atomic<long> Ended{0};
  std::atomic<long> Complete{0};
  std::vector<std::jthread> Streams;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

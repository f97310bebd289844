#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <thread>

using namespace fleet;

namespace {

constexpr int EngineCount = 14;
/// From the platform's rules: crashes after which a prompt part must be
/// recognised, the time for that, and requests that may still reach upstreams.
constexpr int CrashesToRecognise = 5;
constexpr Milliseconds StableWindow{3'000};
constexpr int RequestsAfterwards = 3;
/// Longer than what the router takes for the shared start of a body.
constexpr std::size_t SharedBytes = 2'000;

} // namespace

class CrashingPrefixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPrefixTest);
  CPPUNIT_TEST(prefixThatCrashesUpstreamsStopsReachingThem);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Run = std::make_unique<Fleet>();
    const json Options{{"ms_per_token", 5}, {"slots", 32}};
    for (int Number = 0; Number < EngineCount; ++Number)
      Engines.push_back(
          &Run->addEngine("engine-" + std::to_string(Number), Options));
    const json Settings{
        {"seed_tree", makeTree({{"line-plan", 2}, {"quote", 1}})}};
    Routers = {&Run->addRouter(Settings), &Run->addRouter(Settings)};
    CPPUNIT_ASSERT(Run->waitForMembers(Routers.size()));
  }
  void tearDown() override {
    Engines.clear();
    Run.reset();
  }

  // Guards against recognising harm by the exact request only.
  void prefixThatCrashesUpstreamsStopsReachingThem() {
    CPPUNIT_ASSERT_EQUAL(200, ask("spec", 0).Status);
    int Number = 0;
    // Some of them are refused once the prefix is suspected.
    CPPUNIT_ASSERT(waitUntil([&] {
      ask("CRASH", ++Number);
      return ended() >= CrashesToRecognise;
    }));
    std::this_thread::sleep_for(StableWindow);
    const int Before = ended();
    int Status = 0;
    for (int Count = 0; Count < 4; ++Count)
      Status = ask("CRASH", ++Number).Status;
    CPPUNIT_ASSERT(ended() - Before <= RequestsAfterwards);
    CPPUNIT_ASSERT_EQUAL(403, Status);
    // Other requests of the workspace go on.
    CPPUNIT_ASSERT_EQUAL(200, ask("spec", ++Number).Status);
  }

private:
  /// Asks a router, in turn; no two prompts are alike.
  Reply ask(const std::string &Start, int Number) {
    const std::string Prompt = Start + std::string(SharedBytes, '.') +
                               " request " + std::to_string(Number);
    return send(chatCall(Routers[Number % Routers.size()]->Address, "quote",
                         chatBody(Prompt, 3, false)));
  }

  int ended() {
    return static_cast<int>(
        std::count_if(Engines.begin(), Engines.end(),
                      [](Node *Engine) { return Engine->Runs->ended(); }));
  }

  std::unique_ptr<Fleet> Run;
  std::vector<Node *> Engines;
  std::vector<Node *> Routers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPrefixTest);

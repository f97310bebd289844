#include <fleet.hpp>
#include <scripted_server.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <fstream>
#include <thread>

using namespace fleet;

namespace {

constexpr int UpstreamPort = 18'000;
/// More than all bounds of one response together.
constexpr std::size_t SentBytes = std::size_t(256) << 20U;
constexpr std::size_t MaxGrowthKb = 131'072;

/// Resident memory of a process in kB.
std::size_t residentKb(pid_t Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Word; Status >> Word;)
    if (Word == "VmRSS:") {
      std::size_t Kb = 0;
      Status >> Kb;
      return Kb;
    }
  return 0;
}

} // namespace

/// Responses without end to `mallowglade router`.
class EndlessHeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessHeadTest);
  CPPUNIT_TEST(headWithoutEndDoesNotFillTheMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an engine whose head never ends and that takes the memory of
  // the router.
  void headWithoutEndDoesNotFillTheMemory() {
    Fleet Run;
    std::atomic<std::size_t> Sent{0};
    ScriptedServer Engine(
        Run.newHost(), UpstreamPort,
        [&Sent](ScriptedConnection &Connection, const std::string &) {
          std::string Fields;
          while (Fields.size() < 65'536)
            Fields += "X-Field: " + std::string(1'000, 'x') + "\r\n";
          Connection.send("HTTP/1.1 200 OK\r\n");
          while (Sent < SentBytes && Connection.send(Fields))
            Sent += Fields.size();
          Connection.close();
        });
    Run.list("engine-1", {{"name", "engine-1"},
                          {"pool", "models"},
                          {"address", Engine.address()},
                          {"availability_zone", "zone-a"},
                          {"max_in_flight", 8}});
    Node &Router = Run.addRouter(
        {{"seed_tree", makeTree({{"line-plan", 2}, {"quote", 1}})}});
    const std::size_t Before = residentKb(Router.Runs->id());
    CPPUNIT_ASSERT(Before > 0);
    std::thread Caller([&Router] {
      Call Wanted = chatCall(Router.Address, "quote", chatBody("x", 3, true));
      Wanted.Timeout = Milliseconds(10'000);
      send(Wanted);
    });
    std::size_t Most = 0;
    waitUntil(
        [&] {
          Most = std::max(Most, residentKb(Router.Runs->id()));
          return Sent >= SentBytes || Most > Before + MaxGrowthKb;
        },
        Milliseconds(8'000));
    Caller.join();
    CPPUNIT_ASSERT(!Router.Runs->ended());
    CPPUNIT_ASSERT_LESSEQUAL(Before + MaxGrowthKb, Most);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessHeadTest);

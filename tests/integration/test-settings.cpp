#include <settings-client.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <cstdlib>
#include <thread>

using namespace fleet;

namespace {

constexpr std::size_t RouterCount = 16;
constexpr Milliseconds InForceLimit{5'000};

std::string variable(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? std::string() : Value;
}

json seedTree() { return makeTree({{"line-plan", 2}, {"quote", 1}}); }

} // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(examplesAreValid);
  CPPUNIT_TEST(racingOperatorsLoseNoChange);
  CPPUNIT_TEST(changeIsInForceEverywhere);
  CPPUNIT_TEST(restartWhileServiceIsDownKeepsTheVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shipped examples that the router rejects.
  void examplesAreValid() {
    Fleet Run;
    const std::string Root = variable("MALLOWGLADE_SOURCE_DIR");
    const std::string Program =
        variable("MALLOWGLADE_BIN_DIR") + "/mallowglade";
    for (const std::string Name : {"galwanika", "psalter"}) {
      std::string File = Root + "/examples/";
      File.append(Name).append(".json");
      Process Check({Program, "config", "check", File},
                    Run.directory() + "/check.log");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, 0, Check.wait());
    }
  }

  // Guards against a lost update: of two operators who start from the same
  // version, one gets a conflict that names the current version.
  void racingOperatorsLoseNoChange() {
    Fleet Run;
    startRouters(Run, 2);
    const std::vector<Node *> Routers = Run.routers();
    constexpr int Rounds = 10;
    for (int Round = 1; Round <= Rounds; ++Round) {
      const long Base = settingsVersion(Routers[0]->Address);
      waitForVersion(Run, Base);
      Reply Replies[2];
      {
        std::vector<std::jthread> Operators;
        for (std::size_t I = 0; I < 2; ++I)
          Operators.emplace_back([&, I] {
            Replies[I] =
                setMember(Routers[I]->Address,
                          fmt::format("race-{}-{}", Round, I), "platform", Base,
                          "/shares/quote", 10 * Round + static_cast<int>(I));
          });
      }
      checkRace(Routers, Replies, Round);
    }
  }

  // Guards against a change that reaches some routers late (invariant I8).
  void changeIsInForceEverywhere() {
    Fleet Run;
    startRouters(Run, RouterCount);
    const Node &Asked = *Run.routers()[3];
    const Reply Done =
        setMember(Asked.Address, "shares-change-1", "platform",
                  settingsVersion(Asked.Address), "/shares/quote", 7);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Done.Body, 200, Done.Status);
    const long Version = Done.document()["version"];
    const bool InForce =
        waitUntil([&] { return lowestVersion(Run) >= Version; }, InForceLimit);
    CPPUNIT_ASSERT_MESSAGE("not in force on all routers after 5 s", InForce);
  }

  // Guards against routers that return to older settings when they restart
  // while the key-value service is down.
  void restartWhileServiceIsDownKeepsTheVersion() {
    Fleet Run;
    startRouters(Run, 4);
    const std::vector<Node *> Routers = Run.routers();
    const Reply Done =
        setMember(Routers[0]->Address, "before-outage-1", "platform",
                  settingsVersion(Routers[0]->Address), "/shares/quote", 5);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Done.Body, 200, Done.Status);
    const long Version = Done.document()["version"];
    waitForVersion(Run, Version);
    post(Run.platform().Address, "/control", {{"mode", "down"}});
    Routers[1]->Runs->kill();
    Run.restart(*Routers[1]);
    Run.waitReady(*Routers[1]);
    CPPUNIT_ASSERT(settingsVersion(Routers[1]->Address) >= Version);
    post(Run.platform().Address, "/control", {{"mode", "up"}});
  }

private:
  static void startRouters(Fleet &Run, std::size_t Count) {
    json Seeds = json::array();
    for (std::size_t I = 0; I < Count; ++I) {
      const Node &Router =
          Run.startRouter({{"seed_tree", seedTree()}, {"seeds", Seeds}});
      Seeds.push_back(Router.Host + ":8081");
    }
    for (const Node *Router : Run.routers())
      Run.waitReady(*Router);
    CPPUNIT_ASSERT(Run.waitForMembers(Count));
  }

  static long lowestVersion(const Fleet &Run) {
    long Lowest = std::numeric_limits<long>::max();
    for (const Node *Router : Run.routers())
      Lowest = std::min(Lowest, settingsVersion(Router->Address));
    return Lowest;
  }

  static void waitForVersion(const Fleet &Run, long Version) {
    CPPUNIT_ASSERT(waitUntil([&] { return lowestVersion(Run) >= Version; }));
  }

  static void checkRace(const std::vector<Node *> &Routers,
                        const Reply (&Replies)[2], int Round) {
    const std::size_t Winner = Replies[0].Status == 200 ? 0 : 1;
    const Reply &Lost = Replies[1 - Winner];
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Replies[Winner].Body, 200,
                                 Replies[Winner].Status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Lost.Body, 409, Lost.Status);
    const long Version = Replies[Winner].document()["version"];
    CPPUNIT_ASSERT(Lost.document()["current_version"] == Version);
    CPPUNIT_ASSERT(waitUntil(
        [&] { return settingsVersion(Routers[0]->Address) >= Version; }));
    const json Value = branchValue(Routers[0]->Address, "platform");
    CPPUNIT_ASSERT(Value["shares"]["quote"] ==
                   10 * Round + static_cast<int>(Winner));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

using fleet::json;
using std::chrono::milliseconds;

namespace {

constexpr int StorePort = 23'100;
constexpr int FirstReplicaPort = 23'110;
constexpr int Replicas = 3;
constexpr int FirstNodePort = 23'200;
constexpr int PortsPerNode = 10;
constexpr auto WaitLimit = std::chrono::seconds(10);

std::string binary(const std::string &Name) {
  const char *Directory = std::getenv("MALLOWGLADE_BIN_DIR");
  return std::string(Directory != nullptr ? Directory : "build/release") + "/" +
         Name;
}

template <class Condition> bool until(Condition Holds) {
  const auto End = std::chrono::steady_clock::now() + WaitLimit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

/// Two routers of the data plane, a store and three replicas.
class Deployment {
public:
  Deployment() {
    Directory = std::filesystem::temp_directory_path() /
                ("mallowglade-node-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Directory);
    Platform = std::make_unique<fleet::Process>(
        std::vector<std::string>{
            binary("tests/standin-model-fleet"), std::to_string(StorePort),
            std::to_string(FirstReplicaPort), std::to_string(Replicas)},
        (Directory / "platform.log").string());
    CPPUNIT_ASSERT(until([] {
      return bool(httplib::Client("127.0.0.1", StorePort).Get("/runs"));
    }));
    for (int Node = 0; Node < 2; ++Node)
      start(Node);
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT(until([this, Node] { return addresses(Node) == 2; }));
  }

  ~Deployment() {
    Nodes.clear();
    Platform.reset();
    std::error_code Ignored;
    std::filesystem::remove_all(Directory, Ignored);
  }

  void start(int Node) {
    const int Port = FirstNodePort + Node * PortsPerNode;
    const auto Address = [](int Number) {
      return "127.0.0.1:" + std::to_string(Number);
    };
    const json Settings{
        {"name", "node-" + std::to_string(Node)},
        {"availability_zone", "zone-a"},
        {"store", Address(StorePort)},
        {"credential_freshness_ms", 5000},
        {"state_freshness_ms", 2000},
        {"stop_grace_s", 8},
        {"max_address_ttl_s", 5},
        {"listen",
         {{"callers", Address(Port)},
          {"readiness", Address(Port + 1)},
          {"addresses", Address(Port + 2)}}},
        {"peers", {{"ip", "127.0.0.1"}, {"first_port", Port + 3}}},
        {"retries", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
        {"limits", {{"memory_mb", 110}, {"descriptors", 4100}}}};
    const std::string File =
        (Directory / ("node-" + std::to_string(Node) + ".json")).string();
    std::ofstream(File) << Settings.dump();
    Nodes[Node] = std::make_unique<fleet::Process>(
        std::vector<std::string>{binary("mallowglade"), "node", "--settings",
                                 File},
        log(Node));
  }

  std::string log(int Node) const {
    return (Directory / ("node-" + std::to_string(Node) + ".log")).string();
  }

  /// Number of addresses that a node names; 0 if it does not answer.
  static std::size_t addresses(int Node) {
    httplib::Client Client("127.0.0.1",
                           FirstNodePort + Node * PortsPerNode + 2);
    const auto Answer = Client.Get("/mallowglade/resolve?name=api.example");
    if (!Answer || Answer->status != 200)
      return 0;
    return json::parse(Answer->body).at("addresses").size();
  }

  static int readiness(int Node) {
    httplib::Client Client("127.0.0.1",
                           FirstNodePort + Node * PortsPerNode + 1);
    const auto Answer = Client.Get("/mallowglade/readyz");
    return Answer ? Answer->status : 0;
  }

  static httplib::Headers headers(const std::string &Id,
                                  const std::string &Key = "key") {
    return {{"Host", "api.example"},
            {"Mallowglade-Attempt-Id", Id},
            {"Mallowglade-Deadline-Ms", "4000"},
            {"Authorization", "Bearer " + Key}};
  }

  static httplib::Client caller(int Node) {
    return httplib::Client("127.0.0.1", FirstNodePort + Node * PortsPerNode);
  }

  static void control(const json &Order) {
    httplib::Client Client("127.0.0.1", StorePort);
    CPPUNIT_ASSERT(Client.Post("/control", Order.dump(), "application/json"));
  }

  static json runs() {
    httplib::Client Client("127.0.0.1", StorePort);
    return json::parse(Client.Get("/runs")->body);
  }

  std::map<int, std::unique_ptr<fleet::Process>> Nodes;

private:
  std::filesystem::path Directory;
  std::unique_ptr<fleet::Process> Platform;
};

} // namespace

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(requestsOfAllKindsAreServed);
  CPPUNIT_TEST(plannedStopInterruptsNothing);
  CPPUNIT_TEST(killedNodeIsNoLongerOffered);
  CPPUNIT_TEST(withdrawnKeyStopsWorking);
  CPPUNIT_TEST(leavingReplicaGetsNoNewWork);
  CPPUNIT_TEST(keysAreNotAcceptedWithoutTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a path that works only in parts.
  void requestsOfAllKindsAreServed() {
    Deployment D;
    auto Caller = Deployment::caller(0);
    const auto Safe = Caller.Get("/safe/x", Deployment::headers("r1"));
    CPPUNIT_ASSERT(Safe && Safe->body == "answer-r1");
    const auto Unsafe =
        Caller.Post("/unsafe/x", Deployment::headers("r2"), "b", "text/plain");
    CPPUNIT_ASSERT(Unsafe && Unsafe->status == 200);
    const auto Stream =
        Caller.Post("/stream/x", Deployment::headers("r3"), "b", "text/plain");
    CPPUNIT_ASSERT(Stream && Stream->body.ends_with("id: 10\ndata: e10\n\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("signed-r3"),
        Stream->get_header_value("Mallowglade-Replica-Signature"));
    const auto Other =
        Caller.Get("/safe/x", Deployment::headers("r4", "other"));
    CPPUNIT_ASSERT(Other && Other->status == 401);
    const json Runs = Deployment::runs();
    for (const auto &Run : Runs.items())
      CPPUNIT_ASSERT_EQUAL(1, Run.value().get<int>());
  }

  // Guards against requests that are cut by SIGTERM.
  void plannedStopInterruptsNothing() {
    Deployment D;
    std::string Body;
    std::thread Reader([&Body] {
      auto Caller = Deployment::caller(0);
      const auto Stream = Caller.Post("/stream/x", Deployment::headers("r1"),
                                      "b", "text/plain");
      if (Stream)
        Body = Stream->body;
    });
    std::this_thread::sleep_for(milliseconds(100));
    D.Nodes[0]->signal(SIGTERM);
    CPPUNIT_ASSERT(until([] { return Deployment::readiness(0) == 503; }));
    CPPUNIT_ASSERT(until([] { return Deployment::addresses(1) == 1; }));
    Reader.join();
    CPPUNIT_ASSERT(Body.ends_with("id: 10\ndata: e10\n\n"));
    CPPUNIT_ASSERT_EQUAL(0, D.Nodes[0]->wait());
  }

  // Guards against callers sent to a router that is gone.
  void killedNodeIsNoLongerOffered() {
    Deployment D;
    D.Nodes[0]->kill();
    CPPUNIT_ASSERT(until([] { return Deployment::addresses(1) == 1; }));
    D.start(0);
    CPPUNIT_ASSERT(until([] { return Deployment::addresses(1) == 2; }));
    auto Caller = Deployment::caller(0);
    const auto Safe = Caller.Get("/safe/x", Deployment::headers("r1"));
    CPPUNIT_ASSERT(Safe && Safe->status == 200);
  }

  // Guards against a key that goes on working after it was withdrawn.
  void withdrawnKeyStopsWorking() {
    Deployment D;
    Deployment::control({{"keys", {"new"}}});
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT(until([Node] {
        auto Caller = Deployment::caller(Node);
        const auto Old = Caller.Get("/safe/x", Deployment::headers("r1"));
        return Old && Old->status == 401;
      }));
    auto Caller = Deployment::caller(0);
    const auto New = Caller.Get("/safe/x", Deployment::headers("r2", "new"));
    CPPUNIT_ASSERT(New && New->status == 200);
  }

  // Guards against work for a replica that is about to exit.
  void leavingReplicaGetsNoNewWork() {
    Deployment D;
    for (int Number = 1; Number < Replicas; ++Number)
      Deployment::control({{"leaving", Number}});
    std::this_thread::sleep_for(milliseconds(2'000));
    std::set<std::string> Seen;
    for (int Round = 0; Round < 20; ++Round) {
      auto Caller = Deployment::caller(Round % 2);
      const std::string Id = "r" + std::to_string(Round);
      const auto Answer = Caller.Get("/safe/x", Deployment::headers(Id));
      CPPUNIT_ASSERT(Answer && Answer->status == 200);
    }
    std::ifstream Log(D.log(0));
    CPPUNIT_ASSERT(Log.good());
    D.Nodes[0]->signal(SIGTERM);
    D.Nodes[0]->wait();
    const std::string Text((std::istreambuf_iterator<char>(Log)), {});
    CPPUNIT_ASSERT(Text.find("\"upstream\":\"i-0\"") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("\"upstream\":\"i-1\"") == std::string::npos);
    CPPUNIT_ASSERT(Text.find("\"upstream\":\"i-2\"") == std::string::npos);
  }

  // Guards against withdrawn keys accepted while the store cannot be read.
  void keysAreNotAcceptedWithoutTheStore() {
    Deployment D;
    Deployment::control({{"down", true}});
    CPPUNIT_ASSERT(until([] {
      auto Caller = Deployment::caller(0);
      const auto Answer = Caller.Get("/safe/x", Deployment::headers("r1"));
      return Answer && Answer->status == 503 &&
             Answer->has_header("Retry-After");
    }));
    Deployment::control({{"down", false}});
    CPPUNIT_ASSERT(until([] {
      auto Caller = Deployment::caller(0);
      const auto Answer = Caller.Get("/safe/x", Deployment::headers("r2"));
      return Answer && Answer->status == 200;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

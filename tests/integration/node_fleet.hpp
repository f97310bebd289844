#pragma once

#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

/// Routers of the data plane with a store and upstreams as real processes.
namespace node_fleet {

using fleet::json;
using std::chrono::milliseconds;

inline constexpr int StorePort = 23'100;
inline constexpr int FirstUpstreamPort = 23'110;
inline constexpr int UpstreamCount = 3;
inline constexpr int FirstNodePort = 23'200;
inline constexpr int PortsPerNode = 10;
/// First port of the traffic between routers.
inline constexpr int PeerPortOffset = 3;
inline constexpr auto WaitTimeout = std::chrono::seconds(10);

inline std::string binary(const std::string &Name) {
  const char *Directory = std::getenv("MALLOWGLADE_BIN_DIR");
  return std::string(Directory != nullptr ? Directory : "build/release") + "/" +
         Name;
}

template <class Predicate> bool waitUntil(Predicate Condition) {
  const auto TimeLimit = std::chrono::steady_clock::now() + WaitTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > TimeLimit)
      return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

/// Two routers of the data plane, a store and three upstreams.
class Deployment {
public:
  Deployment() {
    Directory = std::filesystem::temp_directory_path() /
                ("mallowglade-node-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Directory);
    Platform = std::make_unique<fleet::Process>(
        std::vector<std::string>{
            binary("tests/standin-model-fleet"), std::to_string(StorePort),
            std::to_string(FirstUpstreamPort), std::to_string(UpstreamCount)},
        (Directory / "platform.log").string());
    CPPUNIT_ASSERT(waitUntil([] {
      return bool(httplib::Client("127.0.0.1", StorePort).Get("/runs"));
    }));
    for (int Node = 0; Node < 2; ++Node)
      startNode(Node);
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT(
          waitUntil([this, Node] { return resolvedAddressCount(Node) == 2; }));
  }

  ~Deployment() {
    // A process that is killed has not written its last lines yet.
    if (std::getenv("MALLOWGLADE_KEEP_LOGS") != nullptr)
      std::this_thread::sleep_for(milliseconds(300));
    Nodes.clear();
    Platform.reset();
    if (std::getenv("MALLOWGLADE_KEEP_LOGS") != nullptr)
      return;
    std::error_code Ignored;
    std::filesystem::remove_all(Directory, Ignored);
  }

  void startNode(int Node) {
    const int Port = FirstNodePort + Node * PortsPerNode;
    const auto Address = [](int AddressPort) {
      return "127.0.0.1:" + std::to_string(AddressPort);
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
        {"peers", {{"ip", "127.0.0.1"}, {"first_port", Port + PeerPortOffset}}},
        {"retries", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
        {"limits", {{"memory_mb", 110}, {"descriptors", 4100}}}};
    const std::string File =
        (Directory / ("node-" + std::to_string(Node) + ".json")).string();
    std::ofstream(File) << Settings.dump();
    Nodes[Node] = std::make_unique<fleet::Process>(
        std::vector<std::string>{binary("mallowglade"), "node", "--settings",
                                 File},
        logPath(Node));
  }

  std::string logPath(int Node) const {
    return (Directory / ("node-" + std::to_string(Node) + ".log")).string();
  }

  /// Number of router addresses that a node returns; 0 if it does not respond.
  static std::size_t resolvedAddressCount(int Node) {
    httplib::Client Client("127.0.0.1",
                           FirstNodePort + Node * PortsPerNode + 2);
    const auto Answer = Client.Get("/mallowglade/resolve?name=api.example");
    if (!Answer || Answer->status != 200)
      return 0;
    return json::parse(Answer->body).at("addresses").size();
  }

  static int readinessStatus(int Node) {
    httplib::Client Client("127.0.0.1",
                           FirstNodePort + Node * PortsPerNode + 1);
    const auto Answer = Client.Get("/mallowglade/readyz");
    return Answer ? Answer->status : 0;
  }

  static httplib::Headers requestHeaders(const std::string &Id,
                                         const std::string &Key = "key") {
    return {{"Host", "api.example"},
            {"Mallowglade-Attempt-Id", Id},
            {"Mallowglade-Deadline-Ms", "4000"},
            {"Authorization", "Bearer " + Key}};
  }

  static httplib::Client clientOf(int Node) {
    return httplib::Client("127.0.0.1", FirstNodePort + Node * PortsPerNode);
  }

  static void sendControl(const json &Command) {
    httplib::Client Client("127.0.0.1", StorePort);
    CPPUNIT_ASSERT(Client.Post("/control", Command.dump(), "application/json"));
  }

  static json runCounts() {
    httplib::Client Client("127.0.0.1", StorePort);
    return json::parse(Client.Get("/runs")->body);
  }

  std::map<int, std::unique_ptr<fleet::Process>> Nodes;

private:
  std::filesystem::path Directory;
  std::unique_ptr<fleet::Process> Platform;
};

} // namespace node_fleet

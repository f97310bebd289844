#pragma once

#include <fleet.hpp>
#include <soak_state.hpp>

#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

/// The processes of a run of the soak, and how they are steered.
namespace soak {

using fleet::json;
using std::chrono::milliseconds;

/// Number of processes and callers of a run.
struct Sizes {
  int Routers = 3;
  int Replicas = 6;
  int Callers = 12;
  /// Faults injected at the same time, at different routers.
  int Injectors = 1;
};

inline constexpr int MaxRouters = 200;
/// Replicas and their proxied ports share the first ports of a run.
inline constexpr int MaxReplicas = 40;
/// Routers for each injector of a run with sizes given.
inline constexpr int RoutersPerInjector = 8;
inline constexpr int StreamEvents = 10;
inline constexpr milliseconds CallerDeadline{4'000};
inline constexpr milliseconds LongestPause{1'500};
/// Answers come by the deadline; pauses of a process and the proxy's delays,
/// twice for a repeat, are added.
inline constexpr milliseconds AnswerBound = CallerDeadline + 2 * LongestPause;
/// Time after the last fault within which every router serves again:
/// `recovery_s` of the platform's smaller deployments.
inline constexpr milliseconds RecoveryBound{12'000};
/// A prompt part that crashes replicas, and how often requests with it come.
/// After the crashes and the time that the platform names, so many may still
/// reach replicas.
inline constexpr const char *CrashingPart = "bad0";
inline constexpr milliseconds CrashingPeriod{250};
inline constexpr unsigned CrashesToRecognise = 5;
inline constexpr milliseconds StableWindow{3'000};
inline constexpr unsigned CrashesAfterwards = 3;
/// Routers and stand-ins use ports of different ranges: a closed connection of
/// a stand-in keeps routers from listening on its port for a minute.
inline constexpr PortRange StandInPorts{24'000, 26'000};
inline constexpr PortRange RouterPorts{26'000, 32'000};
inline constexpr int PortsPerRouter = 10;
/// Ports that replicas register are those of the proxy.
inline constexpr int ProxyOffset = MaxReplicas + 2;

inline std::string binary(const std::string &Name) {
  const char *Directory = std::getenv("MALLOWGLADE_BIN_DIR");
  return std::string(Directory != nullptr ? Directory : "build/release") + "/" +
         Name;
}

inline std::string local(int Port) { return fmt::format("127.0.0.1:{}", Port); }

/// The processes of a run.
class Deployment {
public:
  Deployment(const std::filesystem::path &Directory, int Base,
             int FirstRouterPort, const Sizes &Size)
      : Size(Size), Nodes(static_cast<std::size_t>(Size.Routers)),
        Directory(Directory), Base(Base), FirstRouterPort(FirstRouterPort) {
    std::filesystem::create_directories(Directory);
    json Routes{{"store", route(storePort())}};
    for (int At = 0; At < Size.Replicas; ++At)
      Routes[replicaName(At)] = route(replicaPort(At));
    const std::string File = (Directory / "proxy.json").string();
    std::ofstream(File) << json{
        {"control", local(proxyPort())},
        {"routes", Routes}}.dump();
    Platform =
        start("platform",
              {binary("tests/standin-model-fleet"), std::to_string(storePort()),
               std::to_string(replicaPort(0)), std::to_string(Size.Replicas),
               std::to_string(ProxyOffset)});
    Proxy = start("proxy", {binary("tests/fault-proxy"), File});
    for (int Router = 0; Router < Size.Routers; ++Router)
      startRouter(Router);
  }

  void startRouter(int Router) {
    const int Port = routerPort(Router);
    const json Settings{
        {"name", fmt::format("router-{}", Router)},
        {"availability_zone", Router % 3 == 0 ? "zone-a" : "zone-b"},
        {"store", local(storePort() + ProxyOffset)},
        {"credential_freshness_ms", CredentialFreshness.count()},
        {"state_freshness_ms", 2000},
        {"stop_grace_s", 8},
        {"max_address_ttl_s", 5},
        {"listen",
         {{"callers", local(Port)},
          {"readiness", local(Port + 1)},
          {"addresses", local(Port + 2)}}},
        {"peers", {{"ip", "127.0.0.1"}, {"first_port", Port + 3}}},
        {"retries", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
        {"evacuation_ms", 5'000},
        {"cold_upstreams", {{"overage", 1.5}, {"allowance", 5}}},
        {"limits", {{"memory_mb", 110}, {"descriptors", 4100}}}};
    const std::string File =
        (Directory / fmt::format("router-{}.json", Router)).string();
    std::ofstream(File) << Settings.dump();
    Nodes[Router] = start(fmt::format("router-{}-{}", Router, ++Starts),
                          {binary("mallowglade"), "node", "--settings", File});
  }

  void control(const json &Order) const {
    httplib::Client("127.0.0.1", storePort())
        .Post("/control", Order.dump(), "application/json");
  }
  void fault(const std::string &Route, const json &Change) const {
    httplib::Client("127.0.0.1", proxyPort())
        .Post("/routes/" + Route, Change.dump(), "application/json");
  }
  unsigned crashes() const {
    const auto Answer =
        httplib::Client("127.0.0.1", storePort()).Get("/crashes");
    return Answer ? static_cast<unsigned>(std::stoul(Answer->body)) : 0;
  }
  /// @return numbers of requests that reached a zone after its evacuation, and
  ///   cold replicas beyond their rate
  json late() const {
    const auto Answer = httplib::Client("127.0.0.1", storePort()).Get("/late");
    return Answer ? json::parse(Answer->body) : json();
  }
  json runs() const {
    const auto Answer = httplib::Client("127.0.0.1", storePort()).Get("/runs");
    return Answer ? json::parse(Answer->body) : json();
  }
  int routerPort(int Router) const {
    return FirstRouterPort + PortsPerRouter * Router;
  }
  int metricsPort(int Router) const { return routerPort(Router) + 4; }
  static std::string replicaName(int At) {
    return fmt::format("replica-{}", At);
  }

  const Sizes Size;
  std::vector<std::unique_ptr<fleet::Process>> Nodes;
  WithdrawnKeys Withdrawn;

private:
  int storePort() const { return Base; }
  int replicaPort(int At) const { return Base + 1 + At; }
  int proxyPort() const { return Base + 2 * ProxyOffset; }
  static json route(int Port) {
    return {{"listen", local(Port + ProxyOffset)}, {"target", local(Port)}};
  }
  std::unique_ptr<fleet::Process>
  start(const std::string &Name, const std::vector<std::string> &Command) {
    return std::make_unique<fleet::Process>(
        Command, (Directory / (Name + ".log")).string());
  }

  std::filesystem::path Directory;
  int Base;
  int FirstRouterPort;
  std::atomic<int> Starts = 0;
  std::unique_ptr<fleet::Process> Platform;
  std::unique_ptr<fleet::Process> Proxy;
};

} // namespace soak

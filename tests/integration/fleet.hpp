#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

/// Harness of the integration tests: real processes on loopback addresses.
namespace fleet {

using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

/// Upper limit of every wait; only a failed test reaches it.
constexpr Milliseconds WaitLimit{60'000};

/// Credential of the platform operator on every router.
constexpr const char *OperatorKey = "operator-key";

/// Polls until a condition holds.
/// @return false if it did not hold within the limit
bool waitUntil(const std::function<bool()> &Condition,
               Milliseconds Limit = WaitLimit);

/// A child process that is started and ended by its id.
class Process {
public:
  /// @param Command program and arguments
  /// @param LogFile receives standard output and standard error
  Process(const std::vector<std::string> &Command, const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// @return true if the process has ended
  bool ended();
  /// Waits for the end.
  /// @return exit status, 128 + signal, or -1 if the process still runs
  int wait(Milliseconds Limit = WaitLimit);
  /// @return id of the process
  pid_t id() const { return Pid; }
  /// @return user and system time used so far
  Milliseconds cpuTime() const;

private:
  pid_t Pid = -1;
  int Status = -1;
};

/// Reply to an HTTP call; `Status` is 0 if there was no complete reply.
struct Reply {
  int Status = 0;
  /// True if no connection could be made.
  bool NotSent = false;
  std::string Body;
  httplib::Headers Headers;

  json document() const { return json::parse(Body, nullptr, false); }
  std::string header(const std::string &Name) const;
};

/// An HTTP call.
struct Call {
  std::string Address;
  std::string Method = "GET";
  std::string Path = "/";
  std::string Body;
  httplib::Headers Headers;
  Milliseconds Timeout = WaitLimit;
  /// Address that the connection comes from; empty for any.
  std::string From;
  /// Receives the body's parts as they arrive; false ends the call.
  std::function<bool(std::string_view)> OnBytes;
};

Reply send(const Call &Wanted);
Reply get(const std::string &Address, const std::string &Path);
Reply post(const std::string &Address, const std::string &Path,
           const json &Body);
/// Calls under `/admin/` with the platform operator's credential.
Reply fetchAsOperator(const std::string &Router, const std::string &Path);
Reply postAsOperator(const std::string &Router, const std::string &Path,
                     const json &Body);

/// Sends raw bytes and returns everything until the peer closes.
std::string exchangeRaw(const std::string &Address, const std::string &Bytes);

/// A call of a model with a workspace's key, which is `key-<workspace>`.
Call chatCall(const std::string &Router, const std::string &Workspace,
              const json &Body);
/// Body of a chat request.
json chatBody(const std::string &Prompt, int Tokens, bool Stream);

/// Settings tree with one model pool `models` and one service pool `desk`.
/// @param Shares workspace names and their shares
json makeTree(const std::map<std::string, double> &Shares);

/// An upstream, router or other program with its address.
struct Node {
  std::string Name;
  std::string Host;
  std::string Address;
  /// Address of a stand-in's control calls.
  std::string Control;
  std::unique_ptr<Process> Runs;
};

/// A fleet with its stand-ins; everything ends with the object.
class Fleet {
public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Platform stand-in: key-value service and instance list.
  Node &platform() { return *Platform; }
  /// Starts a model engine and lists it in pool `models`.
  Node &addEngine(const std::string &Name, const json &Options,
                  const std::string &ListedAddress = "");
  /// Starts a plain service and lists it in pool `desk`.
  Node &addService(const std::string &Name,
                   const std::string &ListedAddress = "");
  /// Starts a fault proxy.
  /// @param Routes names and target addresses
  Node &addProxy(const std::map<std::string, std::string> &Routes);
  /// Starts a router without waiting for it.
  /// @param Overrides merged into the instance settings
  /// @param Host address to use; empty for a new one
  Node &startRouter(const json &Overrides, const std::string &Host = "");
  /// Starts a router and waits until it is ready.
  Node &addRouter(const json &Overrides);
  /// Starts an ended router again with the same settings.
  void restart(Node &Router);
  void waitReady(const Node &Router);
  /// Waits until each router tells callers the given number of addresses.
  bool waitForMembers(std::size_t Count);

  /// Replaces an instance's entry; an empty object removes it.
  void list(const std::string &Name, const json &Entry);
  /// Names addresses that no other process uses.
  std::string newHost();
  std::vector<Node *> routers() const;
  const std::string &directory() const { return Directory; }

private:
  Node &start(const std::string &Name, const std::string &Host,
              const std::vector<std::string> &Command);
  Node &addUpstream(const std::string &Name, const std::string &Pool,
                    const std::vector<std::string> &Command,
                    const std::string &Host, const std::string &Listed,
                    int Slots);
  std::string writeFile(const std::string &Name, const json &Document);

  std::string Directory;
  int Starts = 0;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<Node *> Routers;
  Node *Platform = nullptr;
  std::map<std::string, json> Listed;
};

/// Address of a route of a proxy.
std::string proxyAddress(const Node &Proxy, const std::string &Route);
/// Changes the faults of a route; see fault-proxy for the keys.
void setFault(const Node &Proxy, const std::string &Route, const json &Fault);

} // namespace fleet

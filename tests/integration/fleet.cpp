#include <fleet.hpp>

#include <mallowglade/core.hpp>

#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fleet {

namespace {

constexpr Milliseconds PollPeriod{20};
constexpr int UpstreamPort = 9000;
constexpr int RouterPort = 8080;
constexpr int PeerPort = 8081;
constexpr int ControlPort = 7000;
constexpr int FirstRoutePort = 7001;
constexpr int OctetRange = 254;

std::string binary(const std::string &Name) {
  const char *Directory = std::getenv("MALLOWGLADE_BIN_DIR");
  const std::string Root = Directory == nullptr ? "build/release" : Directory;
  return Name == "mallowglade" ? Root + "/" + Name : Root + "/tests/" + Name;
}

std::pair<std::string, int> split(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  return {Address.substr(0, Colon), std::atoi(Address.c_str() + Colon + 1)};
}

void waitForPort(const Node &Started, const std::string &Address) {
  const auto Accepts = [&Started, &Address] {
    if (Started.Runs->ended())
      throw std::runtime_error(Started.Name + " ended at its start");
    const auto [Host, Port] = split(Address);
    httplib::Client Client(Host, Port);
    return static_cast<bool>(Client.Get("/"));
  };
  if (!waitUntil(Accepts))
    throw std::runtime_error(Started.Name + " does not accept connections");
}

} // namespace

bool waitUntil(const std::function<bool()> &Condition, Milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

std::string Reply::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

Reply send(const Call &Wanted) {
  const auto [Host, Port] = split(Wanted.Address);
  httplib::Client Client(Host, Port);
  Client.set_connection_timeout(Wanted.Timeout);
  Client.set_read_timeout(Wanted.Timeout);
  Client.set_write_timeout(Wanted.Timeout);
  Client.set_tcp_nodelay(true);
  if (!Wanted.From.empty())
    Client.set_interface(Wanted.From);
  httplib::Request Message;
  Message.method = Wanted.Method;
  Message.path = Wanted.Path;
  Message.body = Wanted.Body;
  Message.headers = Wanted.Headers;
  Reply Received;
  Message.content_receiver = [&](const char *Data, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    Received.Body.append(Data, Size);
    return !Wanted.OnBytes || Wanted.OnBytes({Data, Size});
  };
  const httplib::Result Outcome = Client.send(Message);
  Received.NotSent = Outcome.error() == httplib::Error::Connection ||
                     Outcome.error() == httplib::Error::ConnectionTimeout;
  if (!Outcome)
    return Received;
  Received.Status = Outcome->status;
  Received.Headers = Outcome->headers;
  return Received;
}

Reply get(const std::string &Address, const std::string &Path) {
  Call Wanted;
  Wanted.Address = Address;
  Wanted.Path = Path;
  return send(Wanted);
}

Reply post(const std::string &Address, const std::string &Path,
           const json &Body) {
  Call Wanted;
  Wanted.Address = Address;
  Wanted.Method = "POST";
  Wanted.Path = Path;
  Wanted.Body = Body.dump();
  Wanted.Headers.emplace("Content-Type", "application/json");
  return send(Wanted);
}

Reply fetchAsOperator(const std::string &Router, const std::string &Path) {
  Call Wanted;
  Wanted.Address = Router;
  Wanted.Path = Path;
  Wanted.Headers = {{"Authorization", std::string("Bearer ") + OperatorKey}};
  return send(Wanted);
}

Reply postAsOperator(const std::string &Router, const std::string &Path,
                     const json &Body) {
  Call Wanted;
  Wanted.Address = Router;
  Wanted.Method = "POST";
  Wanted.Path = Path;
  Wanted.Body = Body.dump();
  Wanted.Headers = {{"Authorization", std::string("Bearer ") + OperatorKey},
                    {"Content-Type", "application/json"}};
  return send(Wanted);
}

Call chatCall(const std::string &Router, const std::string &Workspace,
              const json &Body) {
  Call Wanted;
  Wanted.Address = Router;
  Wanted.Method = "POST";
  Wanted.Path = "/v1/chat/completions";
  Wanted.Body = Body.dump();
  Wanted.Headers = {{"Authorization", "Bearer key-" + Workspace},
                    {"Content-Type", "application/json"}};
  return Wanted;
}

json chatBody(const std::string &Prompt, int Tokens, bool Stream) {
  return {{"model", "plan"},
          {"messages", {{{"role", "user"}, {"content", Prompt}}}},
          {"max_tokens", Tokens},
          {"stream", Stream}};
}

json makeTree(const std::map<std::string, double> &Shares) {
  json Workspaces = json::object();
  for (const auto &[Name, Share] : Shares)
    Workspaces[Name] = {
        {"key_sha256", {mallowglade::sha256Hex("key-" + Name)}}};
  return {
      {"platform",
       {{"pools",
         {{"models", {{"kind", "model"}}}, {"desk", {{"kind", "service"}}}}},
        {"routes",
         {{{"prefix", "/v1/chat"}, {"pool", "models"}},
          {{"prefix", "/desk"}, {"pool", "desk"}, {"idempotent", false}}}},
        {"shares", Shares}}},
      {"teams", {{"all", {{"workspaces", Workspaces}}}}}};
}

Fleet::Fleet() {
  std::string Template =
      std::filesystem::temp_directory_path() / "mallowglade-test-XXXXXX";
  if (mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("no temporary directory");
  Directory = Template;
  const std::string Host = newHost();
  const std::string Port = std::to_string(UpstreamPort);
  Platform = &start("platform", Host, {binary("standin-platform"), Host, Port});
  Platform->Address = Host + ":" + Port;
  waitForPort(*Platform, Platform->Address);
}

Fleet::~Fleet() {
  for (const auto &Entry : Nodes)
    Entry->Runs->signal(SIGKILL);
  Nodes.clear();
  if (std::getenv("MALLOWGLADE_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Directory);
}

std::string Fleet::newHost() {
  // The process id keeps tests apart that run at the same time, the counter
  // fleets of one process.
  static std::atomic<unsigned> Hosts{0};
  const int Pid = getpid();
  return fmt::format("127.{}.{}.{}", 1 + Pid / OctetRange % OctetRange,
                     1 + Pid % OctetRange, 1 + Hosts++ % OctetRange);
}

std::string Fleet::writeFile(const std::string &Name, const json &Document) {
  std::string Path = Directory + "/" + Name;
  std::ofstream(Path) << Document.dump(1);
  return Path;
}

Node &Fleet::start(const std::string &Name, const std::string &Host,
                   const std::vector<std::string> &Command) {
  const std::string Log =
      fmt::format("{}/{:03}-{}.log", Directory, ++Starts, Name);
  auto Started = std::make_unique<Node>();
  Started->Name = Name;
  Started->Host = Host;
  Started->Runs = std::make_unique<Process>(Command, Log);
  Nodes.push_back(std::move(Started));
  return *Nodes.back();
}

Node &Fleet::addUpstream(const std::string &Name, const std::string &Pool,
                         const std::vector<std::string> &Command,
                         const std::string &Host,
                         const std::string &ListedAddress, int Slots) {
  Node &Started = start(Name, Host, Command);
  Started.Address = Host + ":" + std::to_string(UpstreamPort);
  Started.Control = Host + ":" + std::to_string(UpstreamPort + 1);
  waitForPort(Started, Started.Address);
  json Entry{
      {"name", Name},
      {"pool", Pool},
      {"address", ListedAddress.empty() ? Started.Address : ListedAddress},
      {"availability_zone", "zone-a"}};
  if (Slots > 0)
    Entry["max_in_flight"] = Slots;
  list(Name, Entry);
  return Started;
}

Node &Fleet::addEngine(const std::string &Name, const json &Options,
                       const std::string &ListedAddress) {
  const std::string Host = newHost();
  Node &Started = addUpstream(Name, "models",
                              {binary("standin-engine"), Host,
                               std::to_string(UpstreamPort), Options.dump()},
                              Host, ListedAddress, Options.value("slots", 0));
  waitForPort(Started, Started.Control);
  return Started;
}

Node &Fleet::addService(const std::string &Name,
                        const std::string &ListedAddress) {
  const std::string Host = newHost();
  return addUpstream(
      Name, "desk",
      {binary("standin-service"), Host, std::to_string(UpstreamPort)}, Host,
      ListedAddress, 0);
}

Node &Fleet::addProxy(const std::map<std::string, std::string> &Routes) {
  const std::string Host = newHost();
  json Settings{{"control", fmt::format("{}:{}", Host, ControlPort)}};
  int Port = FirstRoutePort;
  for (const auto &[Name, Target] : Routes)
    Settings["routes"][Name] = {{"listen", fmt::format("{}:{}", Host, Port++)},
                                {"target", Target}};
  const std::string File =
      writeFile(fmt::format("proxy-{}.json", ++Starts), Settings);
  Node &Started = start("proxy", Host, {binary("fault-proxy"), File});
  Started.Address = fmt::format("{}:{}", Host, ControlPort);
  waitForPort(Started, Started.Address);
  return Started;
}

Node &Fleet::startRouter(const json &Overrides, const std::string &Wanted) {
  const std::string Host = Wanted.empty() ? newHost() : Wanted;
  const std::string Name = fmt::format("router-{}", Routers.size());
  json Settings{{"listen", fmt::format("{}:{}", Host, RouterPort)},
                {"peer_listen", fmt::format("{}:{}", Host, PeerPort)},
                {"availability_zone", "zone-a"},
                {"platform",
                 {{"key_value", {Platform->Address}},
                  {"instance_list", Platform->Address}}},
                {"fleet_key", "integration-test-key"},
                {"platform_key_sha256", mallowglade::sha256Hex(OperatorKey)},
                {"log", {{"level", "info"}}}};
  Settings.merge_patch(Overrides);
  const std::string File = writeFile(Name + ".json", Settings);
  Node &Started =
      start(Name, Host, {binary("mallowglade"), "router", "--settings", File});
  Started.Address = Settings["listen"];
  Routers.push_back(&Started);
  return Started;
}

Node &Fleet::addRouter(const json &Overrides) {
  Node &Started = startRouter(Overrides);
  waitReady(Started);
  return Started;
}

void Fleet::restart(Node &Router) {
  const std::string Log =
      fmt::format("{}/{:03}-{}.log", Directory, ++Starts, Router.Name);
  const std::string File = Directory + "/" + Router.Name + ".json";
  Router.Runs = std::make_unique<Process>(
      std::vector<std::string>{binary("mallowglade"), "router", "--settings",
                               File},
      Log);
}

void Fleet::waitReady(const Node &Router) {
  const auto Ready = [&Router] {
    if (Router.Runs->ended())
      throw std::runtime_error(Router.Name + " ended at its start");
    return get(Router.Address, "/readyz").Status == 200;
  };
  if (!waitUntil(Ready))
    throw std::runtime_error(Router.Name + " is not ready");
}

bool Fleet::waitForMembers(std::size_t Count) {
  return waitUntil([this, Count] {
    for (const Node *Router : Routers) {
      if (Router->Runs->ended())
        continue;
      const json Document = get(Router->Address, "/v1/addresses").document();
      if (!Document.is_object() || Document["addresses"].size() != Count)
        return false;
    }
    return true;
  });
}

void Fleet::list(const std::string &Name, const json &Entry) {
  Listed[Name] = Entry;
  if (Entry.empty())
    Listed.erase(Name);
  json Instances = json::array();
  for (const auto &[Key, Value] : Listed)
    Instances.push_back(Value);
  post(Platform->Address, "/v1/instances", {{"instances", Instances}});
}

std::vector<Node *> Fleet::routers() const { return Routers; }

std::string proxyAddress(const Node &Proxy, const std::string &Route) {
  return get(Proxy.Address, "/routes").document()[Route]["listen"];
}

void setFault(const Node &Proxy, const std::string &Route, const json &Fault) {
  const Reply Done = post(Proxy.Address, "/routes/" + Route, Fault);
  if (Done.Status != 200)
    throw std::runtime_error("the proxy rejects the fault: " + Done.Body);
}

} // namespace fleet

#include "support/control_fleet.hpp"

#include <nlohmann/json.hpp>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr unsigned TestRouterNumber = 90;

/// A public route, and one that needs a workspace.
std::shared_ptr<const Configuration> routedConfiguration() {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(4);
  Route Chat;
  Chat.Name = "chat";
  Chat.Host = "api.example";
  Chat.PathPrefix = "/chat/";
  Chat.PromptAffinity = true;
  Chat.LatencyObjective = Milliseconds(600);
  Chat.Services = {{mallowglade::testing::control::Pool, 1}};
  Config->Routes.push_back(Chat);
  Chat.Name = "open";
  Chat.PathPrefix = "/open/";
  Chat.Public = true;
  Config->Routes.push_back(Chat);
  Config->Services.push_back(
      {mallowglade::testing::control::Pool, "", 100, {}});
  Config->Workspaces.push_back({WorkspaceId("desk"), {"key-a"}, {}});
  Config->index();
  return Config;
}

ExplanationQuery queryOf(const std::string &Path,
                         const std::string &Workspace) {
  ExplanationQuery Query;
  Query.Host = "api.example";
  Query.Path = Path;
  Query.Workspace = WorkspaceId(Workspace);
  Query.Request.PromptTokens = 500;
  Query.Request.Parts = {{7, 100}, {8, 200}, {9, 200}};
  return Query;
}

} // namespace

class ExplainEndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainEndpointTest);
  CPPUNIT_TEST(queriesAreParsed);
  CPPUNIT_TEST(unreadableQueriesAreRejected);
  CPPUNIT_TEST(routesAndWorkspacesAreFound);
  CPPUNIT_TEST(routerAnswersOverHttp);
  CPPUNIT_TEST_SUITE_END();

public:
  void queriesAreParsed() {
    CPPUNIT_ASSERT(isExplanationTarget("/explain"));
    CPPUNIT_ASSERT(isExplanationTarget("/explain?host=x"));
    CPPUNIT_ASSERT(!isExplanationTarget("/explained"));
    CPPUNIT_ASSERT(!isExplanationTarget("/metrics?x=/explain"));
    const auto Read = parseExplanationQuery(
        "/explain?host=api.example%3A80&path=%2Fchat%2Fx%3Fy&workspace=desk&"
        "prompt=4200&output=100&parts=8f%3A4000,1A2b:200");
    CPPUNIT_ASSERT(isOk(Read));
    const ExplanationQuery &Query = valueOf(Read);
    CPPUNIT_ASSERT_EQUAL(std::string("api.example:80"), Query.Host);
    CPPUNIT_ASSERT_EQUAL(std::string("/chat/x"), Query.Path);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), Query.Workspace.Value);
    CPPUNIT_ASSERT_EQUAL(4'200.0, Query.Request.PromptTokens);
    CPPUNIT_ASSERT_EQUAL(100.0, Query.Request.ExpectedOutputTokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Query.Request.Parts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0x8f), Query.Request.Parts[0].Hash);
    CPPUNIT_ASSERT_EQUAL(200.0, Query.Request.Parts[1].Tokens);
  }

  void unreadableQueriesAreRejected() {
    const std::string Valid = "/explain?host=h&path=/p";
    CPPUNIT_ASSERT(isOk(parseExplanationQuery(Valid)));
    for (const std::string &Bad :
         {std::string("/explain"),
          std::string("/explain?host=h"),
          std::string("/explain?path=/p"),
          std::string("/explain?host=&path=/p"),
          std::string("/explain?host=h&path=p"),
          Valid + "&host=h",
          Valid + "&zone=a",
          Valid + "&prompt=",
          Valid + "&prompt=-1",
          Valid + "&prompt=1e3",
          Valid + "&output=99999999999",
          Valid + "&workspace=",
          Valid + "&parts=8f",
          Valid + "&parts=8f:",
          Valid + "&parts=xy:1",
          Valid + "&parts=11112222333344445:1",
          Valid + "&workspace=%0",
          Valid + "&workspace=%zz",
          Valid + "&workspace=%00",
          Valid + "&workspace=%ff",
          Valid + "&workspace=" + std::string(3'000, 'a')})
      CPPUNIT_ASSERT_MESSAGE(Bad, !isOk(parseExplanationQuery(Bad)));
    std::string Parts = Valid + "&parts=1:1";
    for (unsigned Index = 0; Index < 256; ++Index)
      Parts += ",1:1";
    CPPUNIT_ASSERT(!isOk(parseExplanationQuery(Parts)));
  }

  // Guards against other routes and workspaces than those of real requests.
  void routesAndWorkspacesAreFound() {
    asio::io_context Context;
    FleetState State;
    mallowglade::testing::control::TestRouter Router(Context, "a", State,
                                                     TestRouterNumber);
    Traffic &Proxy = Router.Proxy;
    const auto RuleOf = [&](const std::string &Path,
                            const std::string &Workspace) {
      return std::string(decidingRule(Proxy.explain(queryOf(Path, Workspace))));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("no_configuration"),
                         RuleOf("/chat/x", "desk"));
    ControlView View;
    View.Config = routedConfiguration();
    View.Upstreams = {
        mallowglade::testing::control::makeUpstream("one", 9'001)};
    Proxy.apply(View);
    CPPUNIT_ASSERT_EQUAL(std::string("credentials_not_fresh"),
                         RuleOf("/chat/x", "desk"));
    Proxy.updateProvenAt(Router.Time.now());
    CPPUNIT_ASSERT_EQUAL(std::string("no_route"), RuleOf("/other", "desk"));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_workspace"),
                         RuleOf("/chat/x", "shop"));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_workspace"),
                         RuleOf("/chat/x", ""));
    const Explanation Sent = Proxy.explain(queryOf("/chat/x", "desk"));
    CPPUNIT_ASSERT_EQUAL(std::string("prefix_home"),
                         std::string(decidingRule(Sent)));
    CPPUNIT_ASSERT_EQUAL(std::string("one"),
                         Sent.Decision.Choice.Upstream->Record.Id.Value);
    CPPUNIT_ASSERT_EQUAL(std::string("chat"), Sent.Route);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), Sent.Workspace.Value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), Sent.Affinity.value_or(0));
    CPPUNIT_ASSERT(Sent.ShareFill.has_value());
    // A public route has no workspace, whatever is asked for.
    const Explanation Open = Proxy.explain(queryOf("/open/x", "desk"));
    CPPUNIT_ASSERT_EQUAL(std::string("open"), Open.Route);
    CPPUNIT_ASSERT(Open.Workspace.empty());
    CPPUNIT_ASSERT(!Open.ShareFill.has_value());
    Proxy.refuseNewRequests();
    CPPUNIT_ASSERT_EQUAL(std::string("stopping"), RuleOf("/chat/x", "desk"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Proxy.counters().Requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Proxy.counters().Refused);
  }

  // The metrics stay as they are; the rate of explanations is limited.
  void routerAnswersOverHttp() {
    mallowglade::testing::control::Fleet Fleet;
    const auto &Router = *Fleet.Routers.front();
    const std::string &Endpoint = Router.Settings.MetricsListen;
    const std::string Unconfigured =
        Fleet.get(Endpoint, "/explain?host=h&path=/p");
    CPPUNIT_ASSERT(Unconfigured.starts_with("HTTP/1.1 200"));
    Fleet.Context.run_for(Milliseconds(1'500));
    const std::string Unknown = Fleet.get(Endpoint, "/explain?host=h&path=/p");
    CPPUNIT_ASSERT(Unknown.starts_with("HTTP/1.1 200"));
    const auto Document =
        nlohmann::json::parse(Unknown.substr(Unknown.find("\r\n\r\n") + 4));
    CPPUNIT_ASSERT_EQUAL(std::string("refuse"),
                         Document["decision"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("no_route"),
                         Document["rule"].get<std::string>());
    const std::string Unreadable = Fleet.get(Endpoint, "/explain?host=h");
    CPPUNIT_ASSERT(Unreadable.starts_with("HTTP/1.1 400"));
    CPPUNIT_ASSERT(Unreadable.find("request.invalid") != std::string::npos);
    CPPUNIT_ASSERT(Fleet.configurationVersion(Router) > 0);
    // Without a traffic thread that answers, the limit is not waited for.
    Fleet.Routers.front()->TrafficStalled = true;
    const HostPort Address = splitAddress(Endpoint);
    std::vector<asio::ip::tcp::socket> Callers;
    std::string Request = "GET /explain?host=h&path=/p HTTP/1.1\r\n"
                          "Host: x\r\n\r\n";
    constexpr unsigned Count = 12;
    for (unsigned Number = 0; Number < Count; ++Number) {
      Callers.emplace_back(Fleet.Context);
      Callers.back().connect(
          {asio::ip::make_address(Address.Host), Address.Port});
      asio::write(Callers.back(), asio::buffer(Request));
    }
    Fleet.Context.run_for(Milliseconds(300));
    unsigned Refused = 0;
    for (auto &Caller : Callers) {
      Caller.non_blocking(true);
      std::array<char, 512> Bytes{};
      std::error_code Error;
      const std::size_t Size = Caller.read_some(asio::buffer(Bytes), Error);
      if (!Error &&
          std::string_view(Bytes.data(), Size).starts_with("HTTP/1.1 503"))
        ++Refused;
    }
    CPPUNIT_ASSERT(Refused >= Count - 8);
    CPPUNIT_ASSERT(Refused < Count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainEndpointTest);

#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using Harness = ProxyHarness;
using mallowglade::stableHash;
using mallowglade::dataplane::Configuration;
using mallowglade::dataplane::PeerSums;
using mallowglade::dataplane::WorkspaceKey;
using std::chrono::milliseconds;

namespace {

/// Stall that overloads a router but does not saturate it.
constexpr milliseconds Stall{200};
constexpr double TokensPerSecond = 1'000;

std::string modelRequest(const std::string &Id, const std::string &Key) {
  std::string Request =
      Harness::callerRequest("POST", "/model/x", Id,
                             "Mallowglade-Token-Usage: 40,10\r\n"
                             "Mallowglade-Prefix-Hash: a:30,b:10\r\n");
  const std::string DeskKey = "Bearer key";
  Request.replace(Request.find(DeskKey), DeskKey.size(), "Bearer " + Key);
  return Request;
}

std::string streamResponse(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: " + Id +
         "\r\nMallowglade-Replica-Signature: s1\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"
         "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n";
}

/// Lets the rest of the fleet report two backlogged workspaces: "desk" is
/// above its share and "shop" has hardly been served.
void reportUnevenService(Harness &H) {
  auto Config = std::make_shared<Configuration>(*H.View.Config);
  Config->Limits.TokensPerSecond = TokensPerSecond;
  H.View.Config = Config;
  H.apply();
  PeerSums Sums;
  Sums.Usage[WorkspaceKey(stableHash("desk"))] = {8'000, 3'000, 1'000};
  Sums.Usage[WorkspaceKey(stableHash("shop"))] = {4'000, 100, 1'000};
  H.Router->applyPeerSums(Sums);
}

} // namespace

class DataplaneOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneOverloadTest);
  CPPUNIT_TEST(overloadedRouterServesTheLeastServedWorkspace);
  CPPUNIT_TEST(overloadedRouterSpendsNoTimeOnNewConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against starving a workspace whose callers all use a router that is
  // overloaded, while other workspaces are served elsewhere.
  void overloadedRouterServesTheLeastServedWorkspace() {
    Harness H(1);
    reportUnevenService(H);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(streamResponse("r2"));
    };
    const auto Desk = H.connect();
    const auto Shop = H.connect();
    H.runFor(milliseconds(20));
    H.stall(Stall);
    H.sendAsCaller(Desk, modelRequest("r1", "key"));
    H.sendAsCaller(Shop, modelRequest("r2", "shop-key"));
    CPPUNIT_ASSERT(H.runUntil([&] {
      return !H.received(Desk).empty() && !H.received(Shop).empty();
    }));
    CPPUNIT_ASSERT(H.received(Desk).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(H.received(Shop).starts_with("HTTP/1.1 200"));
  }

  // Guards against a flood of new connections that takes the processor time
  // needed for the requests that the router has accepted.
  void overloadedRouterSpendsNoTimeOnNewConnections() {
    Harness H(1);
    CPPUNIT_ASSERT(H.acceptsConnections());
    H.stall(Stall);
    CPPUNIT_ASSERT(!H.acceptsConnections());
    CPPUNIT_ASSERT(H.runUntil([&] { return H.acceptsConnections(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneOverloadTest);

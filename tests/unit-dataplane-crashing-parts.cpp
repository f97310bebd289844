#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using Harness = ProxyHarness;

namespace {

/// Crashes after which a part must be recognised, and requests with it that may
/// still reach upstreams later; both from the platform's rules.
constexpr std::size_t CrashesToRecognise = 5;
constexpr std::size_t RequestsAfterwards = 3;

const std::string CrashingPart = "bad0:50";
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Replica-Signature: s1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

std::string attemptOf(const std::string &Request) {
  const std::string Name = "Mallowglade-Attempt-Id: ";
  const std::size_t Begin = Request.find(Name) + Name.size();
  return Request.substr(Begin, Request.find("\r\n", Begin) - Begin);
}

/// Upstreams that end when they begin to answer a request with the crashing
/// part, and callers that never send the same request twice.
class CrashingUpstreams {
public:
  explicit CrashingUpstreams(unsigned Upstreams) : H(Upstreams) {
    H.OnRequest = [this](UpstreamSession &Session, const std::string &Request) {
      const std::string Attempt = attemptOf(Request);
      if (contains(Request, CrashingPart)) {
        ++Reached;
        Session.send(StreamHead + "Mallowglade-Attempt-Id: " + Attempt +
                     "\r\n\r\n");
        H.crash(Session.Upstream);
        ++Crashed;
        return;
      }
      Session.send(StreamHead + "Mallowglade-Attempt-Id: " + Attempt +
                   "\r\n\r\n10\r\nid: 1\ndata: ok\n\n\r\n0\r\n\r\n");
    };
  }

  /// Sends a request and returns what its caller received.
  std::string send(const std::string &SharedParts) {
    const std::string Number = std::to_string(++Sent);
    const std::size_t Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest(
                               "POST", "/model/x" + Number, "r" + Number,
                               "Mallowglade-Token-Usage: 100,10\r\n"
                               "Mallowglade-Prefix-Hash: " +
                                   SharedParts + "," + Number + ":10\r\n",
                               "body " + Number));
    H.runUntil([&] {
      return H.closedByRouter(Caller) ||
             contains(H.received(Caller), "Content-Length: 0") ||
             contains(H.received(Caller), "\r\n0\r\n\r\n");
    });
    std::string Received = H.received(Caller);
    H.closeCaller(Caller);
    return Received;
  }
  std::string sendCrashing() { return send("a1:100," + CrashingPart); }
  /// Sends a request with the same key and the same other parts.
  std::string sendSound() { return send("a1:100,c3:50"); }

  Harness H;
  std::size_t Reached = 0;
  std::size_t Crashed = 0;

private:
  std::size_t Sent = 0;
};

/// Time for connections to show that the upstream is gone.
constexpr std::chrono::milliseconds SettleTime{1'000};

} // namespace

class CrashingPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPartsTest);
  CPPUNIT_TEST(promptPartThatCrashesUpstreamsStopsReachingThem);
  CPPUNIT_TEST(soundRequestsWithTheOtherPartsGoOn);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against recognising harm by the exact request only.
  void promptPartThatCrashesUpstreamsStopsReachingThem() {
    CrashingUpstreams Fleet(16);
    Fleet.sendSound();
    while (Fleet.Crashed < CrashesToRecognise)
      Fleet.sendCrashing();
    Fleet.H.runFor(SettleTime);
    const std::size_t Before = Fleet.Reached;
    std::string Last;
    for (int Count = 0; Count < 8; ++Count)
      Last = Fleet.sendCrashing();
    CPPUNIT_ASSERT(Fleet.Reached - Before <= RequestsAfterwards);
    CPPUNIT_ASSERT(Last.starts_with("HTTP/1.1 503"));
  }

  // Guards against refusing requests for what they share with harmful ones.
  void soundRequestsWithTheOtherPartsGoOn() {
    CrashingUpstreams Fleet(16);
    Fleet.sendSound();
    while (Fleet.Crashed < CrashesToRecognise) {
      Fleet.sendCrashing();
      Fleet.sendSound();
    }
    Fleet.H.runFor(SettleTime);
    for (int Count = 0; Count < 8; ++Count) {
      Fleet.sendCrashing();
      CPPUNIT_ASSERT(Fleet.sendSound().starts_with("HTTP/1.1 200"));
    }
    CPPUNIT_ASSERT(Fleet.Reached <= CrashesToRecognise + RequestsAfterwards);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartsTest);

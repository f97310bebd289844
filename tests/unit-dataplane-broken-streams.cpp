#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using Harness = ProxyHarness;

namespace {

/// Head of a stream that ends with its connection.
const std::string CloseDelimitedHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
    "Mallowglade-Replica-Signature: s1\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
const std::string LastChunk = "0\r\n\r\n";

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

} // namespace

class BrokenStreamsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenStreamsTest);
  CPPUNIT_TEST(streamEndingInsideAnEventIsNotCompleted);
  CPPUNIT_TEST(streamEndedByItsConnectionIsCompleted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against completing a stream whose upstream closed the connection,
  // without a reset, in the middle of an event.
  void streamEndingInsideAnEventIsNotCompleted() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(CloseDelimitedHead + "id: 1\ndata: a\n\nid: 2\nda");
      Session.close();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil([&] {
      return H.closedByRouter(Caller) ||
             contains(H.received(Caller), LastChunk);
    }));
    CPPUNIT_ASSERT(contains(H.received(Caller), "data: a"));
    CPPUNIT_ASSERT(!contains(H.received(Caller), LastChunk));
    CPPUNIT_ASSERT(H.closedByRouter(Caller));
  }

  // Guards against taking every stream that ends with its connection for
  // broken.
  void streamEndedByItsConnectionIsCompleted() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(CloseDelimitedHead + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      Session.close();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil([&] {
      return H.closedByRouter(Caller) ||
             contains(H.received(Caller), LastChunk);
    }));
    CPPUNIT_ASSERT(contains(H.received(Caller), "id: 2\ndata: b\n\n"));
    CPPUNIT_ASSERT(contains(H.received(Caller), LastChunk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamsTest);

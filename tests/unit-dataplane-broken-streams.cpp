#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using Harness = ProxyHarness;

namespace {

/// Head of a stream that ends with its connection.
const std::string CloseDelimitedHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
    "Mallowglade-Replica-Signature: s1\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
    "Mallowglade-Replica-Signature: s1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string LastChunk = "0\r\n\r\n";

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

/// Waits for the end of a response: a last chunk, or a closed connection.
bool ends(Harness &H, std::size_t Caller) {
  return H.runUntil([&] {
    return H.closedByRouter(Caller) || contains(H.received(Caller), LastChunk);
  });
}

} // namespace

class BrokenStreamsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenStreamsTest);
  CPPUNIT_TEST(streamEndingInsideAnEventIsNotCompleted);
  CPPUNIT_TEST(streamEndedByItsConnectionIsCompleted);
  CPPUNIT_TEST(chunkedStreamEndingInsideAnEventIsNotCompleted);
  CPPUNIT_TEST(closedStreamWithoutEventsIsNotCompleted);
  CPPUNIT_TEST(streamBrokenOffWithoutResetIsResumed);
  CPPUNIT_TEST(errorToAResumedStreamAbortsTheResponse);
  CPPUNIT_TEST(unsignedStreamIsNotRelayed);
  CPPUNIT_TEST(repeatedStreamHasTheHeadOfItsUpstream);
  CPPUNIT_TEST(eventsWithCarriageReturnsAreRelayed);
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
    CPPUNIT_ASSERT(ends(H, Caller));
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
    CPPUNIT_ASSERT(ends(H, Caller));
    CPPUNIT_ASSERT(contains(H.received(Caller), "id: 2\ndata: b\n\n"));
    CPPUNIT_ASSERT(contains(H.received(Caller), LastChunk));
  }

  // Guards against completing a stream whose upstream ends the framing in the
  // middle of an event.
  void chunkedStreamEndingInsideAnEventIsNotCompleted() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(ChunkedHead + "14\r\nid: 1\ndata: a\n\nid: 2\r\n" +
                   LastChunk);
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(ends(H, Caller));
    CPPUNIT_ASSERT(contains(H.received(Caller), "data: a"));
    CPPUNIT_ASSERT(!contains(H.received(Caller), LastChunk));
  }

  // Guards against an empty success for a stream whose upstream crashes before
  // the first event and closes the connection without a reset.
  void closedStreamWithoutEventsIsNotCompleted() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(CloseDelimitedHead);
      Session.close();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 502"); }));
  }

  // Guards against giving up a stream that could be resumed elsewhere.
  void streamBrokenOffWithoutResetIsResumed() {
    Harness H(2);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &Request) {
      if (H.requestCount() == 1) {
        Session.send(CloseDelimitedHead + "id: 1\ndata: a\n\nid: 2\nda");
      } else {
        CPPUNIT_ASSERT(contains(Request, "Last-Event-Id: 1\r\n"));
        Session.send(CloseDelimitedHead + "id: 2\ndata: b\n\n");
      }
      Session.close();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller,
                   Harness::callerRequest("POST", "/resumable/x", "r1"));
    CPPUNIT_ASSERT(ends(H, Caller));
    CPPUNIT_ASSERT(contains(H.received(Caller), "id: 2\ndata: b\n\n"));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "id: 2\nda\r\n"));
    CPPUNIT_ASSERT(contains(H.received(Caller), LastChunk));
  }

  // Guards against a caller that waits without end: the response to the rest of
  // its stream is no stream and cannot be passed on.
  void errorToAResumedStreamAbortsTheResponse() {
    Harness H(2);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      if (H.requestCount() > 1) {
        Session.send(
            Harness::signedResponse("r1", "oops", "500 Internal Server Error"));
        return;
      }
      Session.send(ChunkedHead + "f\r\nid: 1\ndata: a\n\n\r\n");
      Session.reset();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller,
                   Harness::callerRequest("POST", "/resumable/x", "r1"));
    CPPUNIT_ASSERT(ends(H, Caller));
    CPPUNIT_ASSERT(H.closedByRouter(Caller));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "oops"));
    CPPUNIT_ASSERT(!contains(H.received(Caller), LastChunk));
  }

  // Guards against passing on events that no upstream has signed.
  void unsignedStreamIsNotRelayed() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send("HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n"
                   "f\r\nid: 1\ndata: a\n\n\r\n");
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 502"); }));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "data: a"));
  }

  // Guards against the signature of one upstream on the stream of another one.
  void repeatedStreamHasTheHeadOfItsUpstream() {
    Harness H(2);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      if (H.requestCount() == 1) {
        Session.send(ChunkedHead);
        Session.reset();
        return;
      }
      std::string Head = CloseDelimitedHead;
      Head.replace(Head.find("Signature: s1"), 13, "Signature: s2");
      Session.send(Head + "id: 1\ndata: a\n\n");
      Session.close();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller,
                   Harness::callerRequest("POST", "/resumable/x", "r1"));
    CPPUNIT_ASSERT(ends(H, Caller));
    CPPUNIT_ASSERT(contains(H.received(Caller), "Signature: s2"));
    CPPUNIT_ASSERT(contains(H.received(Caller), LastChunk));
  }

  // Guards against holding back a stream whose lines end with CRLF.
  void eventsWithCarriageReturnsAreRelayed() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(CloseDelimitedHead + "id: 1\r\ndata: a\r\n\r\n");
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil([&] {
      return contains(H.received(Caller), "id: 1\r\ndata: a\r\n\r\n");
    }));
    H.Sessions[0]->close();
    CPPUNIT_ASSERT(ends(H, Caller));
    CPPUNIT_ASSERT(contains(H.received(Caller), LastChunk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamsTest);

#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using Harness = ProxyHarness;

namespace {

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
    "Mallowglade-Replica-Signature: s1\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
    "Mallowglade-Replica-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Bytes after which a router must have closed the connection; the largest
/// bound on bytes that are not passed on, and what the sockets hold.
constexpr std::size_t MostSent = std::size_t(16) << 20U;

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

/// Sends the bytes again and again until the router closes the connection.
/// @return bytes sent until then
std::size_t flood(Harness &H, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (!H.Sessions[0]->ClosedByRouter && Sent < MostSent) {
    Sent += H.Sessions[0]->trySend(Bytes.substr(Sent % Bytes.size()));
    H.runFor(std::chrono::milliseconds(1));
  }
  return Sent;
}

/// What a request to an idempotent route gets if the first upstream's response
/// begins with `First` and goes on with `Repeated` without end.
struct Outcome {
  std::size_t Sent = 0;
  std::string Received;
};
Outcome run(const std::string &First, const std::string &Repeated,
            const std::string &Path = "/safe/x") {
  Harness H(2);
  H.OnRequest = [&](UpstreamSession &Session, const std::string &) {
    Session.send(
        H.requestCount() == 1 ? First : Harness::signedResponse("r1", "whole"));
  };
  const auto Caller = H.connect();
  H.sendAsCaller(Caller, Harness::callerRequest("GET", Path, "r1"));
  CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
  Outcome Result;
  Result.Sent = flood(H, Repeated);
  H.runUntil([&] {
    return contains(H.received(Caller), "whole") || H.closedByRouter(Caller);
  });
  Result.Received = H.received(Caller);
  return Result;
}

std::string repeat(const std::string &Text, std::size_t Times) {
  std::string Result;
  for (std::size_t Count = 0; Count < Times; ++Count)
    Result += Text;
  return Result;
}

constexpr std::size_t Times = 1'000;
/// Large enough that the bound on bytes is reached long before the deadline.
constexpr std::size_t BlockBytes = 65'536;

} // namespace

class EndlessResponsesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessResponsesTest);
  CPPUNIT_TEST(endlessHeadIsCut);
  CPPUNIT_TEST(endlessInformationalResponsesAreCut);
  CPPUNIT_TEST(endlessResponsesToEarlierRequestsAreCut);
  CPPUNIT_TEST(endlessChunkExtensionsAreCut);
  CPPUNIT_TEST(endlessTrailersAreCut);
  CPPUNIT_TEST(endlessBodyOfARefusalIsCut);
  CPPUNIT_TEST(endlessEventIsCut);
  CPPUNIT_TEST(bytesAfterAResponseCloseTheConnection);
  CPPUNIT_TEST(stalledStreamEndsAtTheDeadline);
  CPPUNIT_TEST(slowStreamIsNotCut);
  CPPUNIT_TEST_SUITE_END();

public:
  // Each guards against a router that is kept busy, or that fills its memory,
  // by bytes of an upstream that are no response and do not end.
  void endlessHeadIsCut() {
    for (const char *First : {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: "}) {
      const Outcome Result = run(First, std::string(Times, 'x'));
      CPPUNIT_ASSERT(Result.Sent < MostSent);
      CPPUNIT_ASSERT(contains(Result.Received, "whole"));
    }
  }

  void endlessInformationalResponsesAreCut() {
    const Outcome Result =
        run("", repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", Times));
    CPPUNIT_ASSERT(Result.Sent < MostSent);
    CPPUNIT_ASSERT(contains(Result.Received, "whole"));
  }

  void endlessResponsesToEarlierRequestsAreCut() {
    const Outcome Result =
        run("", repeat(Harness::signedResponse("r0", "earlier"), Times));
    CPPUNIT_ASSERT(Result.Sent < MostSent);
    CPPUNIT_ASSERT(contains(Result.Received, "whole"));
    CPPUNIT_ASSERT(!contains(Result.Received, "earlier"));
  }

  void endlessChunkExtensionsAreCut() {
    for (const std::string &Repeated :
         {std::string(Times, 'x'),
          repeat("1;" + std::string(60'000, 'x') + "\r\na\r\n", 1)}) {
      const Outcome Result = run(ChunkedHead + "1;x", Repeated);
      CPPUNIT_ASSERT(Result.Sent < MostSent);
      CPPUNIT_ASSERT(contains(Result.Received, "whole"));
    }
  }

  void endlessTrailersAreCut() {
    const Outcome Result =
        run(ChunkedHead + "1\r\na\r\n0\r\n", repeat("A: b\r\n", Times));
    CPPUNIT_ASSERT(Result.Sent < MostSent);
    CPPUNIT_ASSERT(contains(Result.Received, "whole"));
  }

  void endlessBodyOfARefusalIsCut() {
    const Outcome Result = run("HTTP/1.1 503 Service Unavailable\r\n"
                               "Mallowglade-Not-Executed: 1\r\n\r\n",
                               std::string(Times, 'x'));
    CPPUNIT_ASSERT(Result.Sent < MostSent);
    CPPUNIT_ASSERT(contains(Result.Received, "whole"));
  }

  void endlessEventIsCut() {
    for (const char *First : {"data: ", ": "}) {
      Harness H(1);
      H.OnRequest = [First](UpstreamSession &Session, const std::string &) {
        Session.send(StreamHead + First);
      };
      const auto Caller = H.connect();
      H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
      CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
      CPPUNIT_ASSERT(flood(H, std::string(BlockBytes, 'x')) < MostSent);
      CPPUNIT_ASSERT(H.runUntil(
          [&] { return H.received(Caller).starts_with("HTTP/1.1 502"); }));
    }
  }

  void bytesAfterAResponseCloseTheConnection() {
    const Outcome Result =
        run(Harness::signedResponse("r1", "whole"), std::string(Times, 'x'));
    CPPUNIT_ASSERT(Result.Sent < MostSent);
    CPPUNIT_ASSERT(contains(Result.Received, "whole"));
  }

  // Guards against a stream that stalls but sends a byte now and then, and so
  // never ends.
  void stalledStreamEndsAtTheDeadline() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(StreamHead + "id: 1\ndata: a\n\nid: 2\n");
    };
    const auto Caller = H.connect();
    std::string Request = Harness::callerRequest("POST", "/stream/x", "r1");
    Request.replace(Request.find("Deadline-Ms: 1500"), 17, "Deadline-Ms: 600");
    H.sendAsCaller(Caller, Request);
    CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
    for (int Count = 0; Count < 40 && !H.closedByRouter(Caller); ++Count) {
      H.Sessions[0]->trySend(":");
      H.runFor(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT(H.closedByRouter(Caller));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "0\r\n\r\n"));
    CPPUNIT_ASSERT(H.Sessions[0]->ClosedByRouter);
  }

  // Guards against cutting a sound stream because its events are far apart.
  void slowStreamIsNotCut() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(StreamHead + "id: 1\ndata: a\n\n");
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    H.runFor(std::chrono::milliseconds(1'200));
    CPPUNIT_ASSERT(!H.closedByRouter(Caller));
    H.Sessions[0]->send("id: 2\ndata: b\n\n");
    H.Sessions[0]->close();
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "0\r\n\r\n"); }));
    CPPUNIT_ASSERT(contains(H.received(Caller), "id: 2\ndata: b\n\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponsesTest);

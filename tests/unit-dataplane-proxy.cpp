#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using Harness = ProxyHarness;

namespace {

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
    "Mallowglade-Replica-Signature: s1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &Data) {
  constexpr int HexDigits = 16;
  char Size[HexDigits];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Data.size());
  return Size + Data + "\r\n";
}

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

std::size_t countOf(const std::string &Text, const std::string &Substring) {
  std::size_t Count = 0;
  for (auto Position = Text.find(Substring); Position != std::string::npos;
       Position = Text.find(Substring, Position + 1))
    ++Count;
  return Count;
}

} // namespace

class DataplaneProxyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneProxyTest);
  CPPUNIT_TEST(responseIsRelayedUnchanged);
  CPPUNIT_TEST(routerFieldsOfCallersAreReplaced);
  CPPUNIT_TEST(unknownRouteAndKeyAreRejected);
  CPPUNIT_TEST(refusedRequestIsRetriedAtAnotherUpstream);
  CPPUNIT_TEST(interruptedNonIdempotentRequestIsNotRetried);
  CPPUNIT_TEST(requestThatCrashesUpstreamsIsRefused);
  CPPUNIT_TEST(truncatedResponseIsRetriedIfIdempotent);
  CPPUNIT_TEST(unsignedSuccessIsNotRelayed);
  CPPUNIT_TEST(responseToAnEarlierRequestIsDiscarded);
  CPPUNIT_TEST(bytesAfterAResponseCloseTheConnection);
  CPPUNIT_TEST(brokenStreamResumesAfterTheLastCompleteEvent);
  CPPUNIT_TEST(brokenStreamThatCannotResumeIsAborted);
  CPPUNIT_TEST(callerDisconnectCancelsTheUpstreamRequest);
  CPPUNIT_TEST(deadlineIsAnsweredWithGatewayTimeout);
  CPPUNIT_TEST(staleCredentialsAreNotAccepted);
  CPPUNIT_TEST(stoppingRouterRefusesNewRequests);
  CPPUNIT_TEST(connectionsToUpstreamsAreReused);
  CPPUNIT_TEST(requestsInFlightEndWithTheRouter);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a relayed response with a changed status, body or signature.
  void responseIsRelayedUnchanged() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(Harness::signedResponse("r1", "hello"));
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x?q=1", "r1"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "hello"); }));
    CPPUNIT_ASSERT(H.received(Caller).starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(
        contains(H.received(Caller), "Mallowglade-Replica-Signature: s1"));
    CPPUNIT_ASSERT(
        H.Sessions[0]->Requests[0].starts_with("GET /safe/x?q=1 HTTP/1.1"));
  }

  // Guards against callers that set their workspace in a router-only field, and
  // against API keys forwarded to upstreams.
  void routerFieldsOfCallersAreReplaced() {
    Harness H(1);
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest(
                               "POST", "/unsafe/x", "r1",
                               "Mallowglade-Tenant: other\r\n"
                               "Mallowglade-Pin-Ms: 4000\r\nX-Own: 1\r\n",
                               "body"));
    CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
    const std::string &Forwarded = H.Sessions[0]->Requests[0];
    CPPUNIT_ASSERT(contains(Forwarded, "Mallowglade-Tenant: desk\r\n"));
    CPPUNIT_ASSERT(!contains(Forwarded, "other"));
    CPPUNIT_ASSERT(!contains(Forwarded, "Pin-Ms"));
    CPPUNIT_ASSERT(!contains(Forwarded, "Bearer"));
    CPPUNIT_ASSERT(contains(Forwarded, "X-Own: 1\r\n"));
    CPPUNIT_ASSERT(
        contains(Forwarded, "Mallowglade-Expected-Replica: upstream-0\r\n"));
    CPPUNIT_ASSERT(Forwarded.ends_with("\r\n\r\nbody"));
  }

  // Guards against requests with an unknown route or key that reach an
  // upstream.
  void unknownRouteAndKeyAreRejected() {
    Harness H(1);
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/none/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 404"); }));
    const auto Other = H.connect();
    std::string Request = Harness::callerRequest("GET", "/safe/x", "r2");
    Request.replace(Request.find("Bearer key"), 10, "Bearer old");
    H.sendAsCaller(Other, Request);
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Other).starts_with("HTTP/1.1 401"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), H.requestCount());
  }

  // Guards against responding with 503 while another upstream has capacity.
  void refusedRequestIsRetriedAtAnotherUpstream() {
    Harness H(2);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      if (H.requestCount() == 1)
        Session.send("HTTP/1.1 503 Service Unavailable\r\n"
                     "Mallowglade-Attempt-Id: r1\r\n"
                     "Mallowglade-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
      else
        Session.send(Harness::signedResponse("r1", "done"));
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "done"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), H.requestCount());
  }

  // Guards against a non-idempotent request, such as a booking, that is
  // executed twice, or that is reported as not executed although it may have
  // been.
  void interruptedNonIdempotentRequestIsNotRetried() {
    Harness H(2);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.reset();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 502"); }));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "Retry-After"));
    H.runFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.requestCount());
  }

  // Guards against a request that crashes one upstream after another. Once it
  // is refused with 503, it must not have been executed.
  void requestThatCrashesUpstreamsIsRefused() {
    constexpr std::size_t Crashes = mallowglade::CrashAttribution::MinCrashes;
    Harness H(2 * Crashes);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &Request) {
      if (contains(Request, "harmless"))
        Session.send(Harness::signedResponse("other", "fine"));
      else
        Session.reset();
    };
    for (std::size_t Attempt = 1; Attempt <= Crashes + 1; ++Attempt) {
      const auto Caller = H.connect();
      H.sendAsCaller(Caller, Harness::callerRequest(
                                 "POST", "/unsafe/x",
                                 "r" + std::to_string(Attempt), "", "body"));
      const std::string Status = Attempt <= Crashes ? "502" : "503";
      CPPUNIT_ASSERT(H.runUntil([&] {
        return H.received(Caller).starts_with("HTTP/1.1 " + Status);
      }));
    }
    CPPUNIT_ASSERT_EQUAL(Crashes, H.requestCount());
    const auto Other = H.connect();
    H.sendAsCaller(Other, Harness::callerRequest("POST", "/unsafe/x", "other",
                                                 "", "harmless"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Other), "fine"); }));
  }

  // Guards against a truncated body that is relayed as complete.
  void truncatedResponseIsRetriedIfIdempotent() {
    Harness H(2);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      if (H.requestCount() > 1) {
        Session.send(Harness::signedResponse("r1", "complete"));
        return;
      }
      const std::string Response = Harness::signedResponse("r1", "complete");
      Session.send(Response.substr(0, Response.size() - 3));
      Session.close();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "complete"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         countOf(H.received(Caller), "HTTP/1.1"));
  }

  // Guards against relaying a success without the upstream's signature.
  void unsignedSuccessIsNotRelayed() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send("HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
                   "Content-Length: 4\r\n\r\nfake");
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 502"); }));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "fake"));
  }

  // Guards against relaying a response to the wrong request: the upstream sends
  // a second response to the first request before that to the second.
  void responseToAnEarlierRequestIsDiscarded() {
    Harness H(1);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      if (H.requestCount() == 1) {
        Session.send(Harness::signedResponse("r1", "first"));
        return;
      }
      Session.send(Harness::signedResponse("r1", "again"));
      Session.send(Harness::signedResponse("r2", "second"));
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "first"); }));
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "r2"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "second"); }));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "again"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.Sessions.size());
  }

  // Guards against stray bytes after a response that are parsed as the next
  // one.
  void bytesAfterAResponseCloseTheConnection() {
    Harness H(1);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      const std::string Id = "r" + std::to_string(H.requestCount());
      Session.send(Harness::signedResponse(Id, "body-" + Id) + "stray bytes");
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "body-r1"); }));
    H.runFor(std::chrono::milliseconds(20));
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "r2"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "body-r2"); }));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "stray"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), H.Sessions.size());
  }

  // Guards against events that are lost or duplicated when an upstream fails
  // in the middle of a stream.
  void brokenStreamResumesAfterTheLastCompleteEvent() {
    Harness H(2);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &Request) {
      Session.send(StreamHead);
      if (H.requestCount() == 1) {
        Session.send(chunk("id: 1\ndata: a\n\n") +
                     chunk("id: 2\ndata: b\n\nid: 3\nda"));
        Session.reset();
        return;
      }
      CPPUNIT_ASSERT(contains(Request, "Last-Event-Id: 2\r\n"));
      Session.send(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller,
                   Harness::callerRequest("POST", "/resumable/x", "r1"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Caller), "0\r\n\r\n"); }));
    for (const char *Event : {"data: a", "data: b", "data: c", "id: 3"})
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(H.received(Caller), Event));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         countOf(H.received(Caller), "HTTP/1.1"));
  }

  // Guards against a truncated stream that looks complete to the caller.
  void brokenStreamThatCannotResumeIsAborted() {
    Harness H(2);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(StreamHead + chunk("id: 1\ndata: a\n\n"));
      Session.reset();
    };
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil([&] { return H.closedByRouter(Caller); }));
    CPPUNIT_ASSERT(!contains(H.received(Caller), "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.requestCount());
  }

  // Guards against upstreams that keep working for disconnected callers.
  void callerDisconnectCancelsTheUpstreamRequest() {
    Harness H(1);
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
    H.closeCaller(Caller);
    CPPUNIT_ASSERT(H.runUntil([&] { return H.Sessions[0]->ClosedByRouter; }));
  }

  // Guards against a caller that gets no response by its deadline.
  void deadlineIsAnsweredWithGatewayTimeout() {
    Harness H(1);
    const auto Caller = H.connect();
    std::string Request = Harness::callerRequest("GET", "/safe/x", "r1");
    Request.replace(Request.find("Deadline-Ms: 1500"), 17, "Deadline-Ms: 200");
    H.sendAsCaller(Caller, Request);
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 504"); }));
    CPPUNIT_ASSERT(H.runUntil([&] { return H.Sessions[0]->ClosedByRouter; }));
  }

  // Guards against accepting a revoked key in a router whose state has not been
  // proven current for longer than the credential freshness limit.
  void staleCredentialsAreNotAccepted() {
    Harness H(1);
    H.View.ProvenAt -= std::chrono::seconds(6);
    H.apply();
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 503"); }));
    CPPUNIT_ASSERT(contains(H.received(Caller), "Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), H.requestCount());
  }

  // Guards against requests lost in a shutdown: one at an upstream has to
  // complete, and a new one must be refused without being executed.
  void stoppingRouterRefusesNewRequests() {
    Harness H(1);
    const auto Busy = H.connect();
    H.sendAsCaller(Busy, Harness::callerRequest("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
    H.Router->drain();
    H.Router->refuseNewRequests();
    const auto Late = H.connect();
    H.sendAsCaller(Late, Harness::callerRequest("POST", "/unsafe/x", "r2"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Late).starts_with("HTTP/1.1 503"); }));
    H.Sessions[0]->send(Harness::signedResponse("r1", "finished"));
    CPPUNIT_ASSERT(
        H.runUntil([&] { return contains(H.received(Busy), "finished"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.requestCount());
  }

  // Guards against opening an upstream connection for each request.
  void connectionsToUpstreamsAreReused() {
    Harness H(1);
    H.OnRequest = [&H](UpstreamSession &Session, const std::string &) {
      Session.send(Harness::signedResponse(
          "r" + std::to_string(H.requestCount()), "ok"));
    };
    const auto Caller = H.connect();
    for (std::size_t Round = 1; Round <= 5; ++Round) {
      H.sendAsCaller(Caller,
                     Harness::callerRequest("GET", "/safe/x",
                                            "r" + std::to_string(Round)));
      CPPUNIT_ASSERT(H.runUntil(
          [&] { return countOf(H.received(Caller), "\r\n\r\nok") == Round; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.Sessions.size());
  }

  // Guards against requests that use parts of a router which are gone already,
  // when the process ends before their responses.
  void requestsInFlightEndWithTheRouter() {
    Harness H(1);
    for (const char *Id : {"r1", "r2", "r3", "r4", "r5", "r6"})
      H.sendAsCaller(H.connect(), Harness::callerRequest("GET", "/safe/x", Id));
    CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 4; }));
    H.Router.reset();
    CPPUNIT_ASSERT(H.runUntil([&] {
      return H.closedByRouter(0) && H.closedByRouter(5) &&
             H.Sessions[0]->ClosedByRouter;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneProxyTest);

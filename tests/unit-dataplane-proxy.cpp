#include "support/proxy_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

using World = ProxyWorld;

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

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (auto At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

class DataplaneProxyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneProxyTest);
  CPPUNIT_TEST(answerIsPassedOnWhole);
  CPPUNIT_TEST(routerFieldsOfCallersAreReplaced);
  CPPUNIT_TEST(unknownRouteAndKeyAreRejected);
  CPPUNIT_TEST(refusedRequestGoesToAnotherUpstream);
  CPPUNIT_TEST(interruptedNonIdempotentRequestIsNotRepeated);
  CPPUNIT_TEST(requestThatCrashesUpstreamsIsRefused);
  CPPUNIT_TEST(truncatedAnswerIsRepeatedIfIdempotent);
  CPPUNIT_TEST(unsignedSuccessIsNotPassedOn);
  CPPUNIT_TEST(lateSecondAnswerBelongsToNobody);
  CPPUNIT_TEST(bytesAfterAnAnswerEndTheConnection);
  CPPUNIT_TEST(brokenStreamGoesOnAfterTheLastWholeEvent);
  CPPUNIT_TEST(brokenStreamThatCannotResumeEndsVisibly);
  CPPUNIT_TEST(leavingCallerEndsTheWork);
  CPPUNIT_TEST(deadlineIsAnswered);
  CPPUNIT_TEST(staleCredentialsAreNotAccepted);
  CPPUNIT_TEST(stoppingRouterRefusesWithoutRunning);
  CPPUNIT_TEST(connectionsToUpstreamsAreReused);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a changed status, body or signature.
  void answerIsPassedOnWhole() {
    World W(1);
    W.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(World::answer("r1", "hello"));
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("GET", "/safe/x?q=1", "r1"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "hello"); }));
    CPPUNIT_ASSERT(W.received(Caller).starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(
        contains(W.received(Caller), "Mallowglade-Replica-Signature: s1"));
    CPPUNIT_ASSERT(
        W.Sessions[0]->Requests[0].starts_with("GET /safe/x?q=1 HTTP/1.1"));
  }

  // Guards against callers that choose their workspace, or keys that leak.
  void routerFieldsOfCallersAreReplaced() {
    World W(1);
    const auto Caller = W.connect();
    W.sendFrom(Caller,
               World::request("POST", "/unsafe/x", "r1",
                              "Mallowglade-Tenant: other\r\n"
                              "Mallowglade-Pin-Ms: 4000\r\nX-Own: 1\r\n",
                              "body"));
    CPPUNIT_ASSERT(W.until([&] { return W.arrivals() == 1; }));
    const std::string &Seen = W.Sessions[0]->Requests[0];
    CPPUNIT_ASSERT(contains(Seen, "Mallowglade-Tenant: desk\r\n"));
    CPPUNIT_ASSERT(!contains(Seen, "other"));
    CPPUNIT_ASSERT(!contains(Seen, "Pin-Ms"));
    CPPUNIT_ASSERT(!contains(Seen, "Bearer"));
    CPPUNIT_ASSERT(contains(Seen, "X-Own: 1\r\n"));
    CPPUNIT_ASSERT(
        contains(Seen, "Mallowglade-Expected-Replica: upstream-0\r\n"));
    CPPUNIT_ASSERT(Seen.ends_with("\r\n\r\nbody"));
  }

  // Guards against work for callers that have no right to it.
  void unknownRouteAndKeyAreRejected() {
    World W(1);
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("GET", "/none/x", "r1"));
    CPPUNIT_ASSERT(W.until(
        [&] { return W.received(Caller).starts_with("HTTP/1.1 404"); }));
    const auto Other = W.connect();
    std::string Request = World::request("GET", "/safe/x", "r2");
    Request.replace(Request.find("Bearer key"), 10, "Bearer old");
    W.sendFrom(Other, Request);
    CPPUNIT_ASSERT(
        W.until([&] { return W.received(Other).starts_with("HTTP/1.1 401"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), W.arrivals());
  }

  // Guards against an answer of 503 while another upstream has room.
  void refusedRequestGoesToAnotherUpstream() {
    World W(2);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &) {
      if (W.arrivals() == 1)
        Session.send("HTTP/1.1 503 Service Unavailable\r\n"
                     "Mallowglade-Attempt-Id: r1\r\n"
                     "Mallowglade-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
      else
        Session.send(World::answer("r1", "done"));
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "done"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), W.arrivals());
  }

  // Guards against a booking that runs twice, or is said not to have run.
  void interruptedNonIdempotentRequestIsNotRepeated() {
    World W(2);
    W.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.reset();
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(W.until(
        [&] { return W.received(Caller).starts_with("HTTP/1.1 502"); }));
    CPPUNIT_ASSERT(!contains(W.received(Caller), "Retry-After"));
    W.runFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), W.arrivals());
  }

  // Guards against a request that is sent to one upstream after the other and
  // takes all of them away; a refusal has to mean that it has not run.
  void requestThatCrashesUpstreamsIsRefused() {
    constexpr std::size_t Crashes =
        mallowglade::dataplane::CrashHistory::MostCrashes;
    World W(2 * Crashes);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &Request) {
      if (contains(Request, "harmless"))
        Session.send(World::answer("other", "fine"));
      else
        Session.reset();
    };
    for (std::size_t At = 1; At <= Crashes + 1; ++At) {
      const auto Caller = W.connect();
      W.sendFrom(Caller, World::request("POST", "/unsafe/x",
                                        "r" + std::to_string(At), "", "body"));
      const std::string Status = At <= Crashes ? "502" : "503";
      CPPUNIT_ASSERT(W.until([&] {
        return W.received(Caller).starts_with("HTTP/1.1 " + Status);
      }));
    }
    CPPUNIT_ASSERT_EQUAL(Crashes, W.arrivals());
    const auto Other = W.connect();
    W.sendFrom(Other,
               World::request("POST", "/unsafe/x", "other", "", "harmless"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Other), "fine"); }));
  }

  // Guards against a truncated body that is passed on as complete.
  void truncatedAnswerIsRepeatedIfIdempotent() {
    World W(2);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &) {
      if (W.arrivals() > 1) {
        Session.send(World::answer("r1", "complete"));
        return;
      }
      const std::string Whole = World::answer("r1", "complete");
      Session.send(Whole.substr(0, Whole.size() - 3));
      Session.close();
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "complete"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         countOf(W.received(Caller), "HTTP/1.1"));
  }

  // Guards against a success that no upstream vouches for.
  void unsignedSuccessIsNotPassedOn() {
    World W(1);
    W.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send("HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
                   "Content-Length: 4\r\n\r\nfake");
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(W.until(
        [&] { return W.received(Caller).starts_with("HTTP/1.1 502"); }));
    CPPUNIT_ASSERT(!contains(W.received(Caller), "fake"));
  }

  // Guards against an answer handed to the caller of the next request.
  void lateSecondAnswerBelongsToNobody() {
    World W(1);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &) {
      if (W.arrivals() == 1) {
        Session.send(World::answer("r1", "first"));
        return;
      }
      Session.send(World::answer("r1", "again"));
      Session.send(World::answer("r2", "second"));
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "first"); }));
    W.sendFrom(Caller, World::request("GET", "/safe/x", "r2"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "second"); }));
    CPPUNIT_ASSERT(!contains(W.received(Caller), "again"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), W.Sessions.size());
  }

  // Guards against stray bytes read as the next answer.
  void bytesAfterAnAnswerEndTheConnection() {
    World W(1);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &) {
      const std::string Id = "r" + std::to_string(W.arrivals());
      Session.send(World::answer(Id, "body-" + Id) + "stray bytes");
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "body-r1"); }));
    W.runFor(std::chrono::milliseconds(20));
    W.sendFrom(Caller, World::request("GET", "/safe/x", "r2"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "body-r2"); }));
    CPPUNIT_ASSERT(!contains(W.received(Caller), "stray"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), W.Sessions.size());
  }

  // Guards against events that are lost or doubled when an upstream fails.
  void brokenStreamGoesOnAfterTheLastWholeEvent() {
    World W(2);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &Request) {
      Session.send(StreamHead);
      if (W.arrivals() == 1) {
        Session.send(chunk("id: 1\ndata: a\n\n") +
                     chunk("id: 2\ndata: b\n\nid: 3\nda"));
        Session.reset();
        return;
      }
      CPPUNIT_ASSERT(contains(Request, "Last-Event-Id: 2\r\n"));
      Session.send(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("POST", "/resumable/x", "r1"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Caller), "0\r\n\r\n"); }));
    for (const char *Event : {"data: a", "data: b", "data: c", "id: 3"})
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(W.received(Caller), Event));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         countOf(W.received(Caller), "HTTP/1.1"));
  }

  // Guards against a stream that ends early but looks complete.
  void brokenStreamThatCannotResumeEndsVisibly() {
    World W(2);
    W.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(StreamHead + chunk("id: 1\ndata: a\n\n"));
      Session.reset();
    };
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("POST", "/stream/x", "r1"));
    CPPUNIT_ASSERT(W.until([&] { return W.closedByRouter(Caller); }));
    CPPUNIT_ASSERT(!contains(W.received(Caller), "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), W.arrivals());
  }

  // Guards against upstreams that work for callers who have left.
  void leavingCallerEndsTheWork() {
    World W(1);
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(W.until([&] { return W.arrivals() == 1; }));
    W.closeCaller(Caller);
    CPPUNIT_ASSERT(W.until([&] { return W.Sessions[0]->Ended; }));
  }

  // Guards against a caller kept waiting beyond its route's limit.
  void deadlineIsAnswered() {
    World W(1);
    const auto Caller = W.connect();
    std::string Request = World::request("GET", "/safe/x", "r1");
    Request.replace(Request.find("Deadline-Ms: 1500"), 17, "Deadline-Ms: 200");
    W.sendFrom(Caller, Request);
    CPPUNIT_ASSERT(W.until(
        [&] { return W.received(Caller).starts_with("HTTP/1.1 504"); }));
    CPPUNIT_ASSERT(W.until([&] { return W.Sessions[0]->Ended; }));
  }

  // Guards against a withdrawn key that a router without news still accepts.
  void staleCredentialsAreNotAccepted() {
    World W(1);
    W.View.ProvenAt -= std::chrono::seconds(6);
    W.apply();
    const auto Caller = W.connect();
    W.sendFrom(Caller, World::request("POST", "/unsafe/x", "r1"));
    CPPUNIT_ASSERT(W.until(
        [&] { return W.received(Caller).starts_with("HTTP/1.1 503"); }));
    CPPUNIT_ASSERT(contains(W.received(Caller), "Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), W.arrivals());
  }

  // Guards against work lost at a planned stop.
  void stoppingRouterRefusesWithoutRunning() {
    World W(1);
    const auto Busy = W.connect();
    W.sendFrom(Busy, World::request("GET", "/safe/x", "r1"));
    CPPUNIT_ASSERT(W.until([&] { return W.arrivals() == 1; }));
    W.Router->drain();
    W.Router->refuseNew();
    const auto Late = W.connect();
    W.sendFrom(Late, World::request("POST", "/unsafe/x", "r2"));
    CPPUNIT_ASSERT(
        W.until([&] { return W.received(Late).starts_with("HTTP/1.1 503"); }));
    W.Sessions[0]->send(World::answer("r1", "finished"));
    CPPUNIT_ASSERT(
        W.until([&] { return contains(W.received(Busy), "finished"); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), W.arrivals());
  }

  // Guards against a new connection for each request.
  void connectionsToUpstreamsAreReused() {
    World W(1);
    W.OnRequest = [&W](UpstreamSession &Session, const std::string &) {
      Session.send(World::answer("r" + std::to_string(W.arrivals()), "ok"));
    };
    const auto Caller = W.connect();
    for (std::size_t Round = 1; Round <= 5; ++Round) {
      W.sendFrom(Caller,
                 World::request("GET", "/safe/x", "r" + std::to_string(Round)));
      CPPUNIT_ASSERT(W.until(
          [&] { return countOf(W.received(Caller), "\r\n\r\nok") == Round; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), W.Sessions.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneProxyTest);

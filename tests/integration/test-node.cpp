#include <node_fleet.hpp>

using namespace node_fleet;

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(requestsOfAllKindsAreServed);
  CPPUNIT_TEST(streamsThatBreakOffAreResumed);
  CPPUNIT_TEST(shutdownInterruptsNoRequest);
  CPPUNIT_TEST(repeatedSignalInterruptsNoRequest);
  CPPUNIT_TEST(killedNodeIsNotResolved);
  CPPUNIT_TEST(revokedKeyIsRejected);
  CPPUNIT_TEST(drainingUpstreamGetsNoNewRequests);
  CPPUNIT_TEST(keysAreNotAcceptedWithoutTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against request paths that fail in the assembled binary: idempotent,
  // non-idempotent and streamed requests, and a request with an unknown key.
  void requestsOfAllKindsAreServed() {
    Deployment Fleet;
    auto Caller = Deployment::clientOf(0);
    const auto Safe = Caller.Get("/safe/x", Deployment::requestHeaders("r1"));
    CPPUNIT_ASSERT(Safe && Safe->body == "answer-r1");
    const auto Unsafe = Caller.Post(
        "/unsafe/x", Deployment::requestHeaders("r2"), "b", "text/plain");
    CPPUNIT_ASSERT(Unsafe && Unsafe->status == 200);
    const auto Stream = Caller.Post(
        "/stream/x", Deployment::requestHeaders("r3"), "b", "text/plain");
    CPPUNIT_ASSERT(Stream && Stream->body.ends_with("id: 10\ndata: e10\n\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("signed-r3"),
        Stream->get_header_value("Mallowglade-Replica-Signature"));
    const auto Other =
        Caller.Get("/safe/x", Deployment::requestHeaders("r4", "other"));
    CPPUNIT_ASSERT(Other && Other->status == 401);
    const json Runs = Deployment::runCounts();
    for (const auto &Run : Runs.items())
      CPPUNIT_ASSERT_EQUAL(1, Run.value().get<int>());
  }

  // Guards against streams that break off, with or without a frame, and reach
  // the caller as complete.
  void streamsThatBreakOffAreResumed() {
    Deployment Fleet;
    Deployment::sendControl({{"unframed", 2}, {"break_off", 3}});
    std::string Whole;
    for (int Event = 1; Event <= 10; ++Event)
      Whole += "id: " + std::to_string(Event) + "\ndata: e" +
               std::to_string(Event) + "\n\n";
    constexpr int Streams = 18;
    for (int Number = 0; Number < Streams; ++Number) {
      auto Caller = Deployment::clientOf(Number % 2);
      const auto Stream = Caller.Post(
          "/stream/x", Deployment::requestHeaders("s" + std::to_string(Number)),
          "b", "text/plain");
      // Of any two attempts in a row at most one breaks off.
      CPPUNIT_ASSERT(Stream);
      CPPUNIT_ASSERT_EQUAL(Whole, Stream->body);
    }
  }

  // Guards against requests that SIGTERM interrupts: a stream that is running
  // has to complete while the node is no longer ready or resolved.
  void shutdownInterruptsNoRequest() {
    Deployment Fleet;
    std::string Body;
    std::string Seen;
    std::thread Reader([&Body, &Seen] {
      auto Caller = Deployment::clientOf(0);
      const auto Stream = Caller.Post(
          "/stream/x", Deployment::requestHeaders("r1"), "b", "text/plain");
      if (Stream)
        Body = Stream->body;
      Seen = Stream ? std::to_string(Stream->status) + ' ' + Body
                    : httplib::to_string(Stream.error());
    });
    std::this_thread::sleep_for(milliseconds(100));
    Fleet.Nodes[0]->signal(SIGTERM);
    CPPUNIT_ASSERT(
        waitUntil([] { return Deployment::readinessStatus(0) == 503; }));
    CPPUNIT_ASSERT(
        waitUntil([] { return Deployment::resolvedAddressCount(1) == 1; }));
    Reader.join();
    CPPUNIT_ASSERT_MESSAGE(Seen, Body.ends_with("id: 10\ndata: e10\n\n"));
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Nodes[0]->wait());
  }

  // Guards against a platform that signals again before the grace period is
  // over: the requests that are being answered still have their time.
  void repeatedSignalInterruptsNoRequest() {
    Deployment Fleet;
    std::string Body;
    std::thread Reader([&Body] {
      auto Caller = Deployment::clientOf(0);
      const auto Stream = Caller.Post(
          "/stream/x", Deployment::requestHeaders("r1"), "b", "text/plain");
      if (Stream)
        Body = Stream->body;
    });
    std::this_thread::sleep_for(milliseconds(100));
    for (int Signal = 0; Signal < 3; ++Signal) {
      Fleet.Nodes[0]->signal(SIGTERM);
      std::this_thread::sleep_for(milliseconds(30));
    }
    Reader.join();
    CPPUNIT_ASSERT(Body.ends_with("id: 10\ndata: e10\n\n"));
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Nodes[0]->wait());
  }

  // Guards against callers that are directed to a router that was killed.
  void killedNodeIsNotResolved() {
    Deployment Fleet;
    Fleet.Nodes[0]->kill();
    CPPUNIT_ASSERT(
        waitUntil([] { return Deployment::resolvedAddressCount(1) == 1; }));
    Fleet.startNode(0);
    CPPUNIT_ASSERT(
        waitUntil([] { return Deployment::resolvedAddressCount(1) == 2; }));
    auto Caller = Deployment::clientOf(0);
    const auto Safe = Caller.Get("/safe/x", Deployment::requestHeaders("r1"));
    CPPUNIT_ASSERT(Safe && Safe->status == 200);
  }

  // Guards against a key that is still accepted after it was revoked.
  void revokedKeyIsRejected() {
    Deployment Fleet;
    Deployment::sendControl({{"keys", {"new"}}});
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT(waitUntil([Node] {
        auto Caller = Deployment::clientOf(Node);
        const auto Old =
            Caller.Get("/safe/x", Deployment::requestHeaders("r1"));
        return Old && Old->status == 401;
      }));
    auto Caller = Deployment::clientOf(0);
    const auto New =
        Caller.Get("/safe/x", Deployment::requestHeaders("r2", "new"));
    CPPUNIT_ASSERT(New && New->status == 200);
  }

  // Guards against requests sent to an upstream that is about to exit.
  void drainingUpstreamGetsNoNewRequests() {
    Deployment Fleet;
    for (int Index = 1; Index < UpstreamCount; ++Index)
      Deployment::sendControl({{"leaving", Index}});
    std::this_thread::sleep_for(milliseconds(2'000));
    std::set<std::string> Seen;
    for (int Round = 0; Round < 20; ++Round) {
      auto Caller = Deployment::clientOf(Round % 2);
      const std::string Id = "r" + std::to_string(Round);
      const auto Answer = Caller.Get("/safe/x", Deployment::requestHeaders(Id));
      CPPUNIT_ASSERT(Answer && Answer->status == 200);
    }
    std::ifstream Log(Fleet.logPath(0));
    CPPUNIT_ASSERT(Log.good());
    Fleet.Nodes[0]->signal(SIGTERM);
    Fleet.Nodes[0]->wait();
    const std::string Text((std::istreambuf_iterator<char>(Log)), {});
    CPPUNIT_ASSERT(Text.find("\"upstream\":\"i-0\"") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("\"upstream\":\"i-1\"") == std::string::npos);
    CPPUNIT_ASSERT(Text.find("\"upstream\":\"i-2\"") == std::string::npos);
  }

  // Guards against accepting revoked keys while the store cannot be read.
  void keysAreNotAcceptedWithoutTheStore() {
    Deployment Fleet;
    Deployment::sendControl({{"down", true}});
    CPPUNIT_ASSERT(waitUntil([] {
      auto Caller = Deployment::clientOf(0);
      const auto Answer =
          Caller.Get("/safe/x", Deployment::requestHeaders("r1"));
      return Answer && Answer->status == 503 &&
             Answer->has_header("Retry-After");
    }));
    Deployment::sendControl({{"down", false}});
    CPPUNIT_ASSERT(waitUntil([] {
      auto Caller = Deployment::clientOf(0);
      const auto Answer =
          Caller.Get("/safe/x", Deployment::requestHeaders("r2"));
      return Answer && Answer->status == 200;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

class RestoredStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStoreTest);
  CPPUNIT_TEST(restoredStoreDoesNotBringKeysBack);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a key that was revoked and is accepted again when the store
  // comes back from an older copy, by a router that kept running or by one that
  // was started meanwhile.
  void restoredStoreDoesNotBringKeysBack() {
    Deployment Fleet;
    const auto StatusOf = [](int Node, const std::string &Id,
                             const std::string &Key) {
      auto Caller = Deployment::clientOf(Node);
      const auto Answer =
          Caller.Get("/safe/x", Deployment::requestHeaders(Id, Key));
      return Answer ? Answer->status : 0;
    };
    Deployment::sendControl({{"copy", true}});
    Deployment::sendControl({{"keys", {"new"}}});
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT(
          waitUntil([&] { return StatusOf(Node, "r1", "key") == 401; }));
    Deployment::sendControl({{"down", true}});
    std::this_thread::sleep_for(milliseconds(300));
    constexpr int RewriteAfterMs = 3'000;
    Deployment::sendControl({{"restore", RewriteAfterMs}});
    Deployment::sendControl({{"down", false}});
    Fleet.Nodes[0]->kill();
    Fleet.startNode(0);
    const auto End = std::chrono::steady_clock::now() + milliseconds(6'000);
    for (int Request = 0; std::chrono::steady_clock::now() < End; ++Request) {
      const int Status =
          StatusOf(Request % 2, "o" + std::to_string(Request), "key");
      CPPUNIT_ASSERT_MESSAGE("request o" + std::to_string(Request),
                             Status != 200);
    }
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT_EQUAL(200,
                           StatusOf(Node, "n" + std::to_string(Node), "new"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

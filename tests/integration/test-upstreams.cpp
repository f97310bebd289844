#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

using namespace fleet;

namespace {

constexpr int GapLimitMs = 700;
constexpr int AnswerLimitMs = 30'000;
constexpr Milliseconds LeavingLimit{5'000};
constexpr int StreamTokens = 120;

json routerSettings() {
  json Tree = makeTree({{"line-plan", 2}, {"quote", 1}});
  Tree["platform"]["pools"]["models"]["gap_limit_ms"] = GapLimitMs;
  Tree["platform"]["pools"]["models"]["answer_limit_ms"] = AnswerLimitMs;
  return {{"seed_tree", Tree}};
}

} // namespace

class UpstreamsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamsTest);
  CPPUNIT_TEST(crashInMidStreamIsResumed);
  CPPUNIT_TEST(cutConnectionIsResumed);
  CPPUNIT_TEST(silentConnectionIsResumed);
  CPPUNIT_TEST(cutWholeAnswerIsRepeated);
  CPPUNIT_TEST(slowWholeAnswerIsWaitedFor);
  CPPUNIT_TEST(listedAsLeavingGetsNoNewWork);
  CPPUNIT_TEST(refusingAsLeavingGetsNoNewWork);
  CPPUNIT_TEST(lostReplyIsUnknownAndRunsOnce);
  CPPUNIT_TEST(refusalIsNotRun);
  CPPUNIT_TEST(clientThatLeavesKeepsItsAnswer);
  CPPUNIT_TEST(brokenStreamIsNotFramedAsComplete);
  CPPUNIT_TEST(streamToAnOldCallerHasALength);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Run = std::make_unique<Fleet>();
    const json Options{{"ms_per_token", 10}, {"batch", 16}, {"slots", 32}};
    for (const std::string Name : {"engine-1", "engine-2"})
      Engines.push_back(&Run->addEngine(Name, Options));
    Proxy = &Run->addProxy(
        {{"engine-1", Engines[0]->Address}, {"engine-2", Engines[1]->Address}});
    for (const Node *Engine : Engines)
      Run->list(Engine->Name, entryOf(*Engine, "live"));
    Service = &Run->addService("desk-1");
    Router = &Run->addRouter(routerSettings());
  }
  void tearDown() override {
    Engines.clear();
    Run.reset();
  }

  // Guards against a stream that ends, repeats or skips events when its
  // engine is killed.
  void crashInMidStreamIsResumed() {
    std::atomic<bool> Killed{false};
    const Reply Whole = streamWithFault([this, &Killed] {
      for (Node *Engine : Engines)
        if (!Killed && running(*Engine) > 0) {
          Engine->Runs->kill();
          Killed = true;
        }
    });
    CPPUNIT_ASSERT(Killed);
    assertComplete(Whole);
  }

  // Guards against a connection that ends inside an event.
  void cutConnectionIsResumed() {
    for (const Node *Engine : Engines)
      setFault(*Proxy, Engine->Name, {{"cut_after", 4'321}});
    const Reply Whole = streamWithFault([] {});
    const json Routes = get(Proxy->Address, "/routes").document();
    CPPUNIT_ASSERT(Routes["engine-1"]["cut_pending"] == false ||
                   Routes["engine-2"]["cut_pending"] == false);
    assertComplete(Whole);
  }

  // Guards against waiting for ever on an open connection that passes
  // nothing any more while new ones work.
  void silentConnectionIsResumed() {
    const Reply Whole = streamWithFault([this] {
      for (const Node *Engine : Engines)
        setFault(*Proxy, Engine->Name, {{"silence", true}});
    });
    assertComplete(Whole);
    CPPUNIT_ASSERT(started(*Engines[0]) + started(*Engines[1]) >= 2);
  }

  // Guards against giving up an upstream that works on a whole answer for
  // longer than a stream may be silent.
  void slowWholeAnswerIsWaitedFor() {
    constexpr int SlowTokens = 2 * GapLimitMs / 10;
    const json Body = chatBody("spec lookup", SlowTokens, false);
    const Reply Routed = send(chatCall(Router->Address, "quote", Body));
    CPPUNIT_ASSERT_EQUAL(200, Routed.Status);
  }

  // Guards against passing on the first part of an answer as the whole.
  void cutWholeAnswerIsRepeated() {
    for (const Node *Engine : Engines)
      setFault(*Proxy, Engine->Name, {{"cut_after", 600}});
    const json Body = chatBody("spec lookup", 40, false);
    const Reply Routed = send(chatCall(Router->Address, "quote", Body));
    CPPUNIT_ASSERT_EQUAL(200, Routed.Status);
    const Reply Direct = send(chatCall(Engines[0]->Address, "quote", Body));
    CPPUNIT_ASSERT(Direct.Body == Routed.Body);
  }

  // Guards against new work for an upstream that the instance list calls
  // leaving (invariant I6); requests in progress there must end normally.
  void listedAsLeavingGetsNoNewWork() {
    checkLeaving(
        [this] { Run->list("engine-1", entryOf(*Engines[0], "leaving")); });
  }

  // Guards against relying on the instance list, which lags.
  void refusingAsLeavingGetsNoNewWork() {
    checkLeaving([this] { post(Engines[0]->Control, "/control/leave", {}); });
  }

  // Guards against a second execution, or the verdict "not run", after a
  // request was handed over and its reply was lost (invariants I4 and I5).
  void lostReplyIsUnknownAndRunsOnce() {
    post(Service->Address, "/control", {{"mode", "lose_reply"}});
    const Reply Booking = book("booking-1");
    CPPUNIT_ASSERT(Booking.Status >= 500);
    CPPUNIT_ASSERT(Booking.document()["outcome"] == "unknown");
    CPPUNIT_ASSERT_EQUAL(1, executions("booking-1"));
  }

  // Guards against an unknown verdict where the upstream says that it did
  // not run the request.
  void refusalIsNotRun() {
    post(Service->Address, "/control", {{"mode", "refuse"}});
    const Reply Booking = book("booking-2");
    CPPUNIT_ASSERT(Booking.document()["outcome"] == "not_run");
    CPPUNIT_ASSERT(!Booking.header("Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(0, executions("booking-2"));
  }

  // Guards against answers that are lost with their caller's connection.
  void clientThatLeavesKeepsItsAnswer() {
    Call Wanted = streamCall();
    Wanted.Headers.emplace("X-Request-Id", "left-early");
    Wanted.OnBytes = [](std::string_view) { return false; };
    send(Wanted);
    Call Again = chatCall(Router->Address, "line-plan", json::object());
    Again.Method = "GET";
    Again.Body.clear();
    Again.Path = "/v1/requests/left-early/answer";
    assertComplete(send(Again));
  }

  // Guards against a stream that broke off and whose framing says that it is
  // complete.
  void brokenStreamIsNotFramedAsComplete() {
    std::string Raw;
    {
      const std::jthread Caller(
          [this, &Raw] { Raw = exchangeRaw(Router->Address, rawStream(1)); });
      CPPUNIT_ASSERT(waitUntil(
          [this] { return running(*Engines[0]) + running(*Engines[1]) > 0; }));
      std::this_thread::sleep_for(Milliseconds(200));
      for (Node *Engine : Engines)
        Engine->Runs->kill();
    }
    CPPUNIT_ASSERT(Raw.find("\r\nTransfer-Encoding: chunked\r\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Raw.find("event: error") != std::string::npos);
    CPPUNIT_ASSERT(!Raw.ends_with("0\r\n\r\n"));
  }

  // Guards against chunks for a caller that does not understand them, to whom
  // the end of the connection would be the end of the stream.
  void streamToAnOldCallerHasALength() {
    const std::string Raw = exchangeRaw(Router->Address, rawStream(0));
    CPPUNIT_ASSERT(Raw.find("Transfer-Encoding") == std::string::npos);
    CPPUNIT_ASSERT(Raw.find("\r\nContent-Length: ") != std::string::npos);
    CPPUNIT_ASSERT(Raw.ends_with("data: [DONE]\n\n"));
  }

private:
  /// A request for a stream, as a caller of HTTP/1.`Minor` sends it.
  static std::string rawStream(int Minor) {
    const std::string Body =
        chatBody("line plan review", StreamTokens, true).dump();
    return "POST /v1/chat/completions HTTP/1." + std::to_string(Minor) +
           "\r\nHost: a\r\nAuthorization: Bearer key-line-plan\r\n"
           "Connection: close\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  json entryOf(const Node &Engine, const std::string &State) const {
    return {{"name", Engine.Name},
            {"pool", "models"},
            {"address", proxyAddress(*Proxy, Engine.Name)},
            {"state", State}};
  }

  Call streamCall() const {
    return chatCall(Router->Address, "line-plan",
                    chatBody("line plan review", StreamTokens, true));
  }

  /// Streams an answer and causes a fault when its first bytes have arrived.
  Reply streamWithFault(const std::function<void()> &Fault) const {
    Call Wanted = streamCall();
    bool First = true;
    Wanted.OnBytes = [&](std::string_view) {
      if (First)
        Fault();
      First = false;
      return true;
    };
    return send(Wanted);
  }

  void assertComplete(const Reply &Whole) {
    CPPUNIT_ASSERT_EQUAL(200, Whole.Status);
    Node &Reference = Run->addEngine("reference", {{"ms_per_token", 0}});
    Call Direct = streamCall();
    Direct.Address = Reference.Address;
    CPPUNIT_ASSERT(send(Direct).Body == Whole.Body);
  }

  void checkLeaving(const std::function<void()> &Leave) {
    const json Body = chatBody("quote check", 5, false);
    std::jthread InProgress([this] {
      const Reply Long = send(chatCall(Router->Address, "line-plan",
                                       chatBody("long review", 400, true)));
      InProgressOk = Long.Body.ends_with("data: [DONE]\n\n");
    });
    CPPUNIT_ASSERT(waitUntil(
        [this] { return running(*Engines[0]) + running(*Engines[1]) > 0; }));
    Leave();
    const auto End = std::chrono::steady_clock::now() + LeavingLimit;
    while (std::chrono::steady_clock::now() < End)
      CPPUNIT_ASSERT_EQUAL(
          200, send(chatCall(Router->Address, "quote", Body)).Status);
    const int Before = started(*Engines[0]);
    for (int I = 0; I < 30; ++I)
      CPPUNIT_ASSERT_EQUAL(
          200, send(chatCall(Router->Address, "quote", Body)).Status);
    CPPUNIT_ASSERT_EQUAL(Before, started(*Engines[0]));
    InProgress.join();
    CPPUNIT_ASSERT(InProgressOk);
  }

  Reply book(const std::string &Id) const {
    Call Wanted = chatCall(Router->Address, "quote", {{"tank", 4}});
    Wanted.Path = "/desk/bookings";
    Wanted.Headers.emplace("X-Request-Id", Id);
    return send(Wanted);
  }

  int executions(const std::string &Key) const {
    const json Seen = get(Service->Address, "/executions").document();
    return Seen["keys"].value(Key, 0);
  }
  static int running(Node &Engine) { return load(Engine).value("running", 0); }
  static int started(Node &Engine) { return load(Engine).value("started", 0); }
  static json load(Node &Engine) {
    if (Engine.Runs->ended())
      return json::object();
    return get(Engine.Control, "/control/load").document();
  }

  std::unique_ptr<Fleet> Run;
  std::vector<Node *> Engines;
  Node *Proxy = nullptr;
  Node *Service = nullptr;
  Node *Router = nullptr;
  std::atomic<bool> InProgressOk{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);

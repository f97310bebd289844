#include <fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <thread>

using namespace fleet;

namespace {

constexpr int MaxConnections = 16;
constexpr std::size_t MaxBodyBytes = 1 << 20;

json routerSettings() {
  return {{"seed_tree", makeTree({{"line-plan", 2}, {"quote", 1}})},
          {"limits",
           {{"max_connections", MaxConnections},
            {"max_body_bytes", MaxBodyBytes},
            {"header_timeout_ms", 700}}}};
}

int statusIn(const std::string &Raw) {
  constexpr std::size_t StatusAt = 9;
  return Raw.size() < StatusAt ? 0 : std::atoi(Raw.c_str() + StatusAt);
}

std::size_t repliesIn(const std::string &Raw) {
  std::size_t Count = 0;
  for (auto At = Raw.find("HTTP/1.1 "); At != std::string::npos;
       At = Raw.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

} // namespace

class FrontEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrontEndTest);
  CPPUNIT_TEST(largeAnswerIsByteIdentical);
  CPPUNIT_TEST(longStreamIsByteIdentical);
  CPPUNIT_TEST(bodiesReachTheUpstreamUnchanged);
  CPPUNIT_TEST(rangeDoesNotCutTheAnswer);
  CPPUNIT_TEST(malformedRequestsGetAnError);
  CPPUNIT_TEST(oversizedRequestsGetOneError);
  CPPUNIT_TEST(badJsonIsNotDispatched);
  CPPUNIT_TEST(unknownKeyAndPathGetAProblem);
  CPPUNIT_TEST(slowClientsAreCutOff);
  CPPUNIT_TEST(droppedClientsLeaveRoom);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Run = std::make_unique<Fleet>();
    Engine = &Run->addEngine("engine-1", {{"ms_per_token", 0}, {"batch", 64}});
    Proxy = &Run->addProxy({{"engine", Engine->Address}});
    json Entry{{"name", "engine-1"},
               {"pool", "models"},
               {"address", proxyAddress(*Proxy, "engine")}};
    Run->list("engine-1", Entry);
    Service = &Run->addService("desk-1");
    Router = &Run->addRouter(routerSettings());
  }
  void tearDown() override { Run.reset(); }

  // Guards against answers that are cut or mixed up when they come in many
  // parts.
  void largeAnswerIsByteIdentical() {
    json Body = chatBody("line plan, 10 MB", 2'560, false);
    Body["token_bytes"] = 4'096;
    const Reply Direct = send(chatCall(Engine->Address, "line-plan", Body));
    CPPUNIT_ASSERT(Direct.Body.size() > 10'000'000);
    const Reply Routed = send(chatCall(Router->Address, "line-plan", Body));
    CPPUNIT_ASSERT_EQUAL(200, Routed.Status);
    CPPUNIT_ASSERT(Direct.Body == Routed.Body);
  }

  // Guards against lost, repeated or reordered events.
  void longStreamIsByteIdentical() {
    const json Body = chatBody("line plan, streamed", 2'000, true);
    const Reply Direct = send(chatCall(Engine->Address, "line-plan", Body));
    const Reply Routed = send(chatCall(Router->Address, "line-plan", Body));
    CPPUNIT_ASSERT_EQUAL(200, Routed.Status);
    CPPUNIT_ASSERT(Routed.Body.ends_with("data: [DONE]\n\n"));
    CPPUNIT_ASSERT(Direct.Body == Routed.Body);
  }

  // Guards against the HTTP library parsing forms or unpacking bodies that
  // belong to the upstream.
  void bodiesReachTheUpstreamUnchanged() {
    const std::string Form = "--b\r\nContent-Disposition: form-data; "
                             "name=\"tank\"\r\n\r\n7\r\n--b--\r\n";
    checkEcho("multipart/form-data; boundary=b", Form, "7");
    const std::string Fields = "board=" + std::string(20'000, 'x');
    checkEcho("application/x-www-form-urlencoded", Fields, Fields);
    checkEcho("text/plain", "psalm 121", "psalm 121");
    checkEcho("text/plain", "", "");
  }

  // Guards against a caller's Range header cutting a complete answer.
  void rangeDoesNotCutTheAnswer() {
    Call Wanted =
        chatCall(Router->Address, "quote", chatBody("quote check", 20, false));
    const Reply Whole = send(Wanted);
    Wanted.Headers.emplace("Range", "bytes=0-9");
    const Reply Ranged = send(Wanted);
    CPPUNIT_ASSERT_EQUAL(200, Ranged.Status);
    CPPUNIT_ASSERT(Whole.Body == Ranged.Body);
  }

  // Guards against malformed HTTP that stops the router or hangs the client.
  void malformedRequestsGetAnError() {
    const char *Malformed[] = {
        "NONSENSE\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "\x16\x03\x01\x02\x01\x01\xfc\r\n\r\n",
        "BREW /pot HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"};
    for (const char *Bytes : Malformed) {
      const std::string Raw = exchangeRaw(Router->Address, Bytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, 400, statusIn(Raw));
      CPPUNIT_ASSERT_MESSAGE(Raw, Raw.find("error_id") != std::string::npos);
    }
    // A POST without a length has no body; a line without a colon is no header.
    const std::string NoLength = exchangeRaw(
        Router->Address, "POST /v1/chat/completions HTTP/1.1\r\nno colon here"
                         "\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(401, statusIn(NoLength));
    assertServing();
  }

  // Guards against unbounded memory for headers and bodies, and against
  // replies that follow each other on one request.
  void oversizedRequestsGetOneError() {
    const std::string Line = "POST /v1/chat/completions HTTP/1.1\r\n";
    const std::string Key = "Authorization: Bearer key-quote\r\n";
    std::string ManyHeaders = Line;
    for (int I = 0; I < 5'000; ++I)
      ManyHeaders +=
          fmt::format("X-Filler-{}: {}\r\n", I, std::string(80, 'f'));
    expectOneReply(431, ManyHeaders + "\r\n");
    expectOneReply(400,
                   Line + "X-Long: " + std::string(20'000, 'l') + "\r\n\r\n");
    expectOneReply(414, "GET /" + std::string(20'000, 'u') +
                            " HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string Body(3 * MaxBodyBytes, 'b');
    expectOneReply(
        413, Line + Key +
                 fmt::format("Content-Length: {}\r\n\r\n", Body.size()) + Body);
    expectOneReply(413, Line + Key + "Transfer-Encoding: chunked\r\n\r\n" +
                            fmt::format("{:x}\r\n", Body.size()) + Body);
    assertServing();
  }

  // Guards against a body that no engine can read taking a slot.
  void badJsonIsNotDispatched() {
    const auto Started = [this] {
      return get(Engine->Control, "/control/load").document()["started"];
    };
    const json Before = Started();
    for (const char *Text : {"", "{", "{\"messages\":[}", "nul"}) {
      Call Wanted = chatCall(Router->Address, "quote", json::object());
      Wanted.Body = Text;
      const Reply Rejected = send(Wanted);
      CPPUNIT_ASSERT_EQUAL(400, Rejected.Status);
      CPPUNIT_ASSERT(Rejected.document()["outcome"] == "not_run");
    }
    CPPUNIT_ASSERT(Before == Started());
    assertServing();
  }

  // Guards against requests that run for nobody or nowhere.
  void unknownKeyAndPathGetAProblem() {
    const json Body = chatBody("quote check", 2, false);
    const Reply Stranger = send(chatCall(Router->Address, "stranger", Body));
    CPPUNIT_ASSERT_EQUAL(401, Stranger.Status);
    CPPUNIT_ASSERT(Stranger.document()["error_id"] ==
                   "request.unauthenticated");
    Call Lost = chatCall(Router->Address, "quote", Body);
    Lost.Path = "/nowhere";
    const Reply NoRoute = send(Lost);
    CPPUNIT_ASSERT_EQUAL(404, NoRoute.Status);
    CPPUNIT_ASSERT(NoRoute.document()["outcome"] == "not_run");
  }

  // Guards against slow clients that hold every connection (slow loris).
  void slowClientsAreCutOff() {
    std::vector<std::string> Replies(MaxConnections);
    {
      std::vector<std::jthread> Clients;
      Clients.reserve(Replies.size());
      for (std::string &Raw : Replies)
        Clients.emplace_back([this, &Raw] {
          Raw = exchangeRaw(Router->Address,
                            "POST /v1/chat/completions HTTP/1.1\r\nX-A: ");
        });
    }
    for (const std::string &Raw : Replies) {
      CPPUNIT_ASSERT_EQUAL(408, statusIn(Raw));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repliesIn(Raw));
    }
    assertServing();
  }

  // Guards against connections that are counted after their client has left.
  void droppedClientsLeaveRoom() {
    for (int I = 0; I < 3 * MaxConnections; ++I) {
      Call Wanted = chatCall(Router->Address, "quote",
                             chatBody("quote check", 400, true));
      Wanted.OnBytes = [](std::string_view) { return false; };
      send(Wanted);
    }
    assertServing();
  }

private:
  /// The router may still be busy with ending earlier connections.
  void assertServing() {
    const bool Serves = waitUntil([this] {
      return send(chatCall(Router->Address, "quote",
                           chatBody("quote check", 3, false)))
                 .Status == 200;
    });
    CPPUNIT_ASSERT_MESSAGE("the router serves no more", Serves);
    CPPUNIT_ASSERT(!Router->Runs->ended());
  }

  void expectOneReply(int Status, const std::string &Bytes) {
    const std::string Raw = exchangeRaw(Router->Address, Bytes);
    CPPUNIT_ASSERT_EQUAL(Status, statusIn(Raw));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repliesIn(Raw));
  }

  void checkEcho(const std::string &Type, const std::string &Body,
                 const std::string &Expected) {
    Call Wanted = chatCall(Router->Address, "quote", json::object());
    Wanted.Path = "/desk/echo";
    Wanted.Body = Body;
    Wanted.Headers.erase("Content-Type");
    Wanted.Headers.emplace("Content-Type", Type);
    Wanted.Headers.emplace("X-Request-Id", "echo-" + Type.substr(0, 6));
    const Reply Echoed = send(Wanted);
    CPPUNIT_ASSERT_EQUAL(200, Echoed.Status);
    const json Seen = Echoed.document();
    CPPUNIT_ASSERT_EQUAL(Type, Seen["content_type"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(Expected, Seen["echo"].get<std::string>());
  }

  std::unique_ptr<Fleet> Run;
  Node *Engine = nullptr;
  Node *Proxy = nullptr;
  Node *Service = nullptr;
  Node *Router = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrontEndTest);

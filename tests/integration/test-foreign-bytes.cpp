#include <fleet.hpp>
#include <scripted_server.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

using namespace fleet;

namespace {

constexpr int UpstreamPort = 18'000;
const std::string EventsHead = "HTTP/1.1 200 OK\r\n"
                               "Content-Type: text/event-stream\r\n";
const std::string LastChunk = "\r\n0\r\n\r\n";
const std::string ErrorText = "the engine has failed";

std::string eventOf(int Number, bool WithId) {
  return (WithId ? "id: " + std::to_string(Number) + "\n" : std::string()) +
         "data: {\"n\":" + std::to_string(Number) + "}\n\n";
}

/// Error response in one of the framings that HTTP knows.
std::string errorWith(const std::string &Framing) {
  const std::string Head = "HTTP/1.1 500 Internal Server Error\r\n"
                           "Content-Type: text/plain\r\n";
  if (Framing == "length")
    return Head + "Content-Length: " + std::to_string(ErrorText.size()) +
           "\r\n\r\n" + ErrorText;
  if (Framing == "chunks")
    return Head + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(ErrorText) +
           "0\r\n\r\n";
  return Head + "Connection: close\r\n\r\n" + ErrorText;
}

} // namespace

/// What upstreams, the instance list and callers send to `mallowglade router`.
class ForeignBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignBytesTest);
  CPPUNIT_TEST(nestedEventIsPassedOnAndEndsNoRouter);
  CPPUNIT_TEST(errorInMidStreamReachesNoCaller);
  CPPUNIT_TEST(streamWithoutIdsIsNotBegunAgain);
  CPPUNIT_TEST(oddInstancesLeaveTheOthersInUse);
  CPPUNIT_TEST(responseToHeadHasNoBody);
  CPPUNIT_TEST(longAndNestedRequestsEndNoRouter);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Run = std::make_unique<Fleet>();
    Requests = 0;
  }
  void tearDown() override {
    Run.reset();
    Upstreams.clear();
  }

  // Guards against a router that an event with nested data ends.
  void nestedEventIsPassedOnAndEndsNoRouter() {
    constexpr std::size_t Nesting = 200'000;
    const std::string Event =
        "data: {\"usage\":{\"x\":" + std::string(Nesting, '[') +
        std::string(Nesting, ']') + "}}\n\n";
    addUpstream("engine-1",
                [Event](ScriptedConnection &Connection, const auto &) {
                  Connection.send(EventsHead + "Connection: close\r\n\r\n" +
                                  Event + "data: [DONE]\n\n");
                  Connection.close();
                });
    startRouter();
    const Reply Answer = ask();
    CPPUNIT_ASSERT_EQUAL(200, Answer.Status);
    CPPUNIT_ASSERT(Answer.Body == Event + "data: [DONE]\n\n");
    CPPUNIT_ASSERT(!Router->Runs->ended());
  }

  // Guards against an error of the next upstream that callers find in the
  // middle of their stream, which then ends as if it were complete.
  void errorInMidStreamReachesNoCaller() {
    const auto Script = [this](ScriptedConnection &Connection,
                               const std::string &Request) {
      if (answerLoadPoll(Connection, Request))
        return;
      if (Requests++ == 0) {
        Connection.send(EventsHead + "Transfer-Encoding: chunked\r\n\r\n" +
                        chunkOf(eventOf(1, true)));
        Connection.close();
        return;
      }
      Connection.send(errorWith(Framing));
      Connection.close();
    };
    addUpstream("engine-1", Script);
    addUpstream("engine-2", Script);
    startRouter();
    for (const char *Each : {"length", "chunks", "close"}) {
      Framing = Each;
      Requests = 0;
      const std::string Raw = askRaw(Framing);
      CPPUNIT_ASSERT_GREATER(1U, Requests.load());
      CPPUNIT_ASSERT_MESSAGE(Each,
                             Raw.find(eventOf(1, true)) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(Each, Raw.find(ErrorText) == std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(Raw, Raw.find(LastChunk) == std::string::npos);
    }
  }

  // Guards against a stream that cannot be resumed and whose events come twice.
  void streamWithoutIdsIsNotBegunAgain() {
    const auto Script = [this](ScriptedConnection &Connection,
                               const std::string &Request) {
      if (answerLoadPoll(Connection, Request))
        return;
      const bool First = Requests++ == 0;
      Connection.send(EventsHead + "Transfer-Encoding: chunked\r\n\r\n" +
                      chunkOf(eventOf(1, false)));
      if (!First)
        Connection.send(chunkOf(eventOf(2, false) + "data: [DONE]\n\n") +
                        "0\r\n\r\n");
      Connection.close();
    };
    addUpstream("engine-1", Script);
    addUpstream("engine-2", Script);
    startRouter();
    const std::string Raw = askRaw("x");
    CPPUNIT_ASSERT_EQUAL(1U, Requests.load());
    const std::size_t FirstEvent = Raw.find(eventOf(1, false));
    CPPUNIT_ASSERT(FirstEvent != std::string::npos);
    CPPUNIT_ASSERT(Raw.find(eventOf(1, false), FirstEvent + 1) ==
                   std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(Raw, Raw.find(LastChunk) == std::string::npos);
  }

  // Guards against one odd entry that stops a router from following the list.
  void oddInstancesLeaveTheOthersInUse() {
    const auto Script = [](ScriptedConnection &Connection, const auto &) {
      Connection.send(EventsHead + "Connection: close\r\n\r\n" +
                      "data: [DONE]\n\n");
      Connection.close();
    };
    addUpstream("engine-1", Script);
    startRouter();
    CPPUNIT_ASSERT_EQUAL(200, ask().Status);
    const std::string Nested =
        std::string(100'000, '[') + std::string(100'000, ']');
    const std::string Begin =
        R"({"name":"odd","pool":"models","address":"127.0.0.1:1",)";
    const std::vector<std::string> Odd{
        R"({"name":"odd","pool":"models","address":"127.0.0.1:70000"})",
        Begin + R"("max_in_flight":99999999999999999999})",
        Begin + R"("max_in_flight":1e400})",
        R"({"name":"odd","pool":"models","address":7})",
        Begin + R"("x":)" + Nested + "}",
        "7",
        Begin + R"("max_in_flight":-1})"};
    for (const std::string &Each : Odd) {
      // The engine that is in use moves to another address with each round.
      Upstreams.clear();
      const std::string Host = Run->newHost();
      Upstreams.push_back(
          std::make_unique<ScriptedServer>(Host, UpstreamPort, Script));
      const json Valid{{"name", "engine-1"},
                       {"pool", "models"},
                       {"address", Upstreams.back()->address()},
                       {"availability_zone", "zone-a"},
                       {"max_in_flight", 8}};
      const std::string Document =
          "{\"instances\":[" + Each + "," + Valid.dump() + "]}";
      Call Replace;
      Replace.Address = Run->platform().Address;
      Replace.Method = "POST";
      Replace.Path = "/v1/instances";
      Replace.Body = Document;
      CPPUNIT_ASSERT_EQUAL(200, send(Replace).Status);
      CPPUNIT_ASSERT_MESSAGE(Each.substr(0, 100),
                             waitUntil([this] { return ask().Status == 200; },
                                       Milliseconds(10'000)));
      CPPUNIT_ASSERT(!Router->Runs->ended());
    }
  }

  // Guards against waiting for the body that a response to HEAD announces and
  // does not have.
  void responseToHeadHasNoBody() {
    addUpstream("engine-1", [](ScriptedConnection &Connection, const auto &) {
      Connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                      "Content-Length: 50\r\n\r\n");
    });
    startRouter();
    Call Wanted = chatCall(Router->Address, "quote", chatBody("x", 3, false));
    Wanted.Method = "HEAD";
    Wanted.Body.clear();
    Wanted.Timeout = Milliseconds(5'000);
    CPPUNIT_ASSERT_EQUAL(200, send(Wanted).Status);
  }

  // Guards against requests whose length or nesting ends a router.
  void longAndNestedRequestsEndNoRouter() {
    addUpstream("engine-1", [](ScriptedConnection &Connection, const auto &) {
      Connection.send(EventsHead + "Connection: close\r\n\r\n" +
                      "data: [DONE]\n\n");
      Connection.close();
    });
    startRouter();
    constexpr std::size_t Nesting = 500'000;
    const std::string Nested =
        "{\"x\":" + std::string(Nesting, '[') + std::string(Nesting, ']') + "}";
    const std::string Long(8'000, 'a');
    std::string Ranges = "bytes=0-1";
    while (Ranges.size() < Long.size())
      Ranges += ",0-1";
    const std::string Key = "Authorization: Bearer key-quote\r\n";
    const std::vector<std::string> Messages{
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + Key +
            "Connection: close\r\nContent-Length: " +
            std::to_string(Nested.size()) + "\r\n\r\n" + Nested,
        "GET /" + Long + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /v1/requests/" + Long +
            "/answer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\nRange: " +
            Ranges + "\r\n\r\n",
        "POST /admin/settings/change HTTP/1.1\r\nHost: a\r\nAuthorization: "
        "Bearer operator-key\r\nConnection: close\r\nContent-Length: " +
            std::to_string(Nested.size()) + "\r\n\r\n" + Nested};
    for (const std::string &Message : Messages) {
      exchangeRaw(Router->Address, Message);
      CPPUNIT_ASSERT_MESSAGE(Message.substr(0, 60), !Router->Runs->ended());
    }
    CPPUNIT_ASSERT_EQUAL(200, ask().Status);
  }

private:
  /// Routers poll their upstreams from a second after their start on, before or
  /// after the caller's request; a poll is none of its attempts.
  /// @return false for a request of a caller
  static bool answerLoadPoll(ScriptedConnection &Connection,
                             const std::string &Request) {
    if (!Request.starts_with("GET /v1/load "))
      return false;
    Connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n"
                    "Connection: close\r\n\r\n");
    Connection.close();
    return true;
  }
  void addUpstream(const std::string &Name, ScriptedServer::Script OnRequest) {
    Upstreams.push_back(std::make_unique<ScriptedServer>(
        Run->newHost(), UpstreamPort, std::move(OnRequest)));
    Run->list(Name, {{"name", Name},
                     {"pool", "models"},
                     {"address", Upstreams.back()->address()},
                     {"availability_zone", "zone-a"},
                     {"max_in_flight", 8}});
  }
  void startRouter() {
    Router = &Run->addRouter(
        {{"seed_tree", makeTree({{"line-plan", 2}, {"quote", 1}})}});
  }
  Reply ask() const {
    Call Wanted = chatCall(Router->Address, "quote", chatBody("x", 3, true));
    Wanted.Timeout = Milliseconds(8'000);
    return send(Wanted);
  }
  /// Everything that the router sends until it closes.
  std::string askRaw(const std::string &Prompt) const {
    const std::string Body = chatBody(Prompt, 3, true).dump();
    return exchangeRaw(
        Router->Address,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        "Authorization: Bearer key-quote\r\nConnection: close\r\n"
        "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  // Scripts use these until their servers have ended.
  /// Requests of callers that reached upstreams.
  std::atomic<unsigned> Requests{0};
  std::string Framing;
  std::unique_ptr<Fleet> Run;
  std::vector<std::unique_ptr<ScriptedServer>> Upstreams;
  Node *Router = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignBytesTest);

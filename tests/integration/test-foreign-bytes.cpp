#include <fleet.hpp>
#include <scripted_server.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace fleet;

namespace {

constexpr int UpstreamPort = 18'000;
const std::string EventsHead = "HTTP/1.1 200 OK\r\n"
                               "Content-Type: text/event-stream\r\n";

} // namespace

/// What upstreams, the instance list and callers send to `mallowglade router`.
class ForeignBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignBytesTest);
  CPPUNIT_TEST(nestedEventIsPassedOnAndEndsNoRouter);
  CPPUNIT_TEST(longAndNestedRequestsEndNoRouter);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Run = std::make_unique<Fleet>(); }
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
    addUpstream("engine-1", [&](ScriptedConnection &Connection, const auto &) {
      Connection.send(EventsHead + "Connection: close\r\n\r\n" + Event +
                      "data: [DONE]\n\n");
      Connection.close();
    });
    startRouter();
    const Reply Answer = ask();
    CPPUNIT_ASSERT_EQUAL(200, Answer.Status);
    CPPUNIT_ASSERT(Answer.Body == Event + "data: [DONE]\n\n");
    CPPUNIT_ASSERT(!Router->Runs->ended());
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
  std::unique_ptr<Fleet> Run;
  std::vector<std::unique_ptr<ScriptedServer>> Upstreams;
  Node *Router = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignBytesTest);

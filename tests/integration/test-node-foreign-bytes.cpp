#include <node_fleet.hpp>
#include <scripted_server.hpp>

#include <mallowglade/dataplane.hpp>

#include <asio.hpp>
#include <fmt/format.h>

#include <atomic>
#include <mutex>

using namespace node_fleet;
using fleet::chunkOf;
using fleet::fieldOf;
using fleet::ScriptedConnection;
using fleet::ScriptedServer;

namespace {

std::string entryOf(const std::string &Address, const std::string &State,
                    const std::string &Extra = "") {
  return R"({"service":"pool","address":")" + Address +
         R"(","zone":"zone-a","slots":8,"state":")" + State + "\"" + Extra +
         "}";
}

void putEntry(const std::string &Key, const std::string &Value) {
  Deployment::sendControl({{"entry", {Key, Value}}});
}

/// Takes the stand-in's upstreams out of use, so that all requests reach the
/// scripted ones.
void useOnly(const std::vector<std::unique_ptr<ScriptedServer>> &Servers) {
  for (std::size_t Number = 0; Number < Servers.size(); ++Number)
    putEntry("servers/scripted-" + std::to_string(Number),
             entryOf(Servers[Number]->address(), "ready"));
  for (int Index = 0; Index < UpstreamCount; ++Index)
    Deployment::sendControl({{"leaving", Index}});
  std::this_thread::sleep_for(milliseconds(2'000));
}

std::string responseTo(const std::string &Request, const std::string &Status,
                       const std::string &Extra = "",
                       const std::string &Body = "") {
  return "HTTP/1.1 " + Status + "\r\nMallowglade-Attempt-Id: " +
         fieldOf(Request, "Mallowglade-Attempt-Id") + "\r\n" + Extra +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

const std::string Signature = "Mallowglade-Replica-Signature: s\r\n";
/// A refusal as the platform's examples show it: it names no attempt.
const std::string UnnamedRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nMallowglade-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

} // namespace

/// What upstreams and other writers of the store send to `mallowglade node`.
class NodeForeignBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeForeignBytesTest);
  CPPUNIT_TEST(oddEntriesLeaveTheOthersInUse);
  CPPUNIT_TEST(repeatedRefusalIsNotTheAnswer);
  CPPUNIT_TEST(strayResponseIsNotTheAnswer);
  CPPUNIT_TEST(refusalOnANewConnectionIsPassedOn);
  CPPUNIT_TEST(errorInMidStreamReachesNoCaller);
  CPPUNIT_TEST(damagedReportsEndNoRouter);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a router that an odd entry of another writer ends, or keeps
  // from following the list.
  void oddEntriesLeaveTheOthersInUse() {
    constexpr std::size_t Depth = 300'000;
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    const std::string Address = "127.0.0.1:" + std::to_string(1);
    Deployment Fleet;
    putEntry("servers/odd-1", Nested);
    putEntry("servers/odd-2", entryOf(Address, "ready", ",\"x\":" + Nested));
    putEntry("servers/odd-3", entryOf("127.0.0.1:70000", "ready"));
    putEntry("servers/odd-4", entryOf(Address, "ready", ",\"slots\":1e400"));
    putEntry("servers/odd-5", entryOf(Address, "ready", ",\"slots\":1e300"));
    for (const char *Key :
         {"servers/odd a&after=z#%", "servers/odd\r\nX-Field: y",
          "servers/i-0 b", "servers/i-1 b", "servers/i-2 b"})
      putEntry(Key, entryOf("127.0.0.1:70000", "ready"));
    for (const char *Text : {"====", "AA==========", "%%%%"})
      Deployment::sendControl({{"encoded_entry", {"servers/odd-6", Text}}});
    putEntry("routers/odd", Nested);
    putEntry("quarantine/odd", Nested);
    putEntry("op/odd", Nested);
    for (int Node = 0; Node < 2; ++Node) {
      CPPUNIT_ASSERT_EQUAL(200, statusOf(Node, "/safe/x", "a"));
      CPPUNIT_ASSERT(!Fleet.Nodes[Node]->ended());
    }
    // A sound entry beside them changes: the others serve, and then it does.
    for (int Index = 1; Index < UpstreamCount; ++Index)
      Deployment::sendControl({{"leaving", Index}});
    std::this_thread::sleep_for(milliseconds(2'000));
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT_EQUAL(200, statusOf(Node, "/safe/x", "d"));
    Deployment::sendControl({{"leaving", 0}});
    Deployment::sendControl({{"back", 1}});
    std::this_thread::sleep_for(milliseconds(2'000));
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT_EQUAL(200, statusOf(Node, "/safe/x", "e"));
    // Later changes are followed, by routers that run and by one that starts.
    Fleet.Nodes[1]->kill();
    Fleet.startNode(1);
    Deployment::sendControl({{"keys", {"new"}}});
    for (int Node = 0; Node < 2; ++Node) {
      CPPUNIT_ASSERT(waitUntil(
          [&] { return statusOf(Node, "/safe/x", "b", "key") == 401; }));
      CPPUNIT_ASSERT_EQUAL(200, statusOf(Node, "/safe/x", "c", "new"));
      CPPUNIT_ASSERT(!Fleet.Nodes[Node]->ended());
    }
  }

  // Guards against a refusal of an earlier request that an upstream sends once
  // more: the caller of the next one is told that its request has not run, or
  // it runs at a second upstream. The copy comes before the next request is
  // sent, or when it has arrived.
  void repeatedRefusalIsNotTheAnswer() {
    for (const bool BeforeTheNext : {false, true})
      for (const std::string Path : {"/unsafe/x", "/once/x", "/stream/x"})
        repeatRefusals(Path, BeforeTheNext);
  }

  // Guards against bytes after a complete answer that look like a refusal, or
  // like an error page: the request runs, and its caller gets its answer.
  void strayResponseIsNotTheAnswer() {
    const std::string ErrorPage =
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for (const std::string &Stray : {UnnamedRefusal, ErrorPage}) {
      std::atomic<int> Runs{0};
      std::atomic<int> Strays{0};
      std::vector<std::unique_ptr<ScriptedServer>> Servers;
      Servers.push_back(std::make_unique<ScriptedServer>(
          "127.0.0.1", 0,
          [&](ScriptedConnection &Connection, const std::string &Request) {
            ++Runs;
            if (Connection.requestCount() > 1) {
              ++Strays;
              Connection.send(Stray);
              std::this_thread::sleep_for(milliseconds(150));
            }
            Connection.send(responseTo(Request, "200 OK", Signature, "ran"));
          }));
      Deployment Fleet;
      useOnly(Servers);
      constexpr int Rounds = 3;
      for (int Round = 0; Round < Rounds; ++Round)
        CPPUNIT_ASSERT_EQUAL(
            200, statusOf(0, "/unsafe/x", "r" + std::to_string(Round)));
      CPPUNIT_ASSERT_EQUAL(Rounds, Runs.load());
      CPPUNIT_ASSERT(Strays > 0);
    }
  }

  // Guards against distrust of true refusals: one that arrives on a new
  // connection can belong to no other request.
  void refusalOnANewConnectionIsPassedOn() {
    std::atomic<int> Requests{0};
    std::vector<std::unique_ptr<ScriptedServer>> Servers;
    Servers.push_back(std::make_unique<ScriptedServer>(
        "127.0.0.1", 0, [&](ScriptedConnection &Connection, const auto &) {
          ++Requests;
          Connection.send(UnnamedRefusal);
        }));
    Deployment Fleet;
    useOnly(Servers);
    for (int Round = 0; Round < 4; ++Round)
      CPPUNIT_ASSERT_EQUAL(
          503, statusOf(0, "/unsafe/x", "r" + std::to_string(Round)));
    CPPUNIT_ASSERT(Requests >= 4);
  }

  // Guards against an error of the next upstream in the middle of a stream,
  // and against a stream that ends as if it were complete.
  void errorInMidStreamReachesNoCaller() {
    const std::string Text = "the engine has failed";
    std::string BegunFraming;
    std::string ErrorFraming;
    std::string ErrorHead;
    std::atomic<int> Requests{0};
    const auto Script = [&](ScriptedConnection &Connection,
                            const std::string &Request) {
      const std::string Id = "Mallowglade-Attempt-Id: " +
                             fieldOf(Request, "Mallowglade-Attempt-Id") +
                             "\r\n";
      if (Requests++ == 0) {
        sendBeginOfStream(Connection, Id, BegunFraming);
        return;
      }
      const std::string Head = ErrorHead + Id + Signature;
      if (ErrorFraming == "length")
        Connection.send(Head + "Content-Length: " +
                        std::to_string(Text.size()) + "\r\n\r\n" + Text);
      else if (ErrorFraming == "chunks")
        Connection.send(Head + "Transfer-Encoding: chunked\r\n\r\n" +
                        chunkOf(Text) + "0\r\n\r\n");
      else
        Connection.send(Head + "\r\n" + Text);
      Connection.close();
    };
    std::vector<std::unique_ptr<ScriptedServer>> Servers;
    // An upstream that broke off a stream gets nothing for a moment.
    constexpr int ServerCount = 16;
    Servers.reserve(ServerCount);
    for (int Number = 0; Number < ServerCount; ++Number)
      Servers.push_back(
          std::make_unique<ScriptedServer>("127.0.0.1", 0, Script));
    Deployment Fleet;
    useOnly(Servers);
    const std::string PlainError = "HTTP/1.1 500 Failed\r\n";
    const std::string StreamError =
        PlainError + "Content-Type: text/event-stream\r\n";
    const std::string Refusal =
        "HTTP/1.1 503 Full\r\nMallowglade-Not-Executed: 1\r\n";
    const std::string PlainSuccess = "HTTP/1.1 200 OK\r\n";
    int Round = 0;
    for (const std::string Route : {"/stream/", "/once/"})
      for (const std::string Begun : {"chunks", "length", "close"})
        for (const std::string Error : {"length", "chunks", "close"})
          for (const std::string &Head :
               {PlainError, StreamError, Refusal, PlainSuccess}) {
            BegunFraming = Begun;
            ErrorFraming = Error;
            ErrorHead = Head;
            const std::string Case =
                fmt::format("{} {} {} {}: ", Route, Begun, Error, Head);
            std::string Raw;
            CPPUNIT_ASSERT(waitUntil([&] {
              Requests = 0;
              Raw = requestStream(Route, "s" + std::to_string(++Round));
              return !Raw.starts_with("HTTP/1.1 503");
            }));
            CPPUNIT_ASSERT_MESSAGE(Case + Raw,
                                   Raw.find("data: e1") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(Case + Raw,
                                   Raw.find(Text) == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(Case + Raw, Raw.find("HTTP/1.1", 1) ==
                                                   std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(Case + Raw, Raw.find("\r\n0\r\n\r\n") ==
                                                   std::string::npos);
          }
  }

  // Guards against a damaged report between routers that ends its receivers,
  // or after which they accept no credential, or nothing that the store sends.
  void damagedReportsEndNoRouter() {
    using namespace mallowglade;
    Deployment Fleet;
    dataplane::PeerReport Sound;
    Sound.Sender = RouterId("127.0.0.1:23399");
    Sound.CallerAddress = "127.0.0.1:23398";
    Sound.Incarnation = Sound.Sequence = 1;
    Sound.Zone = ZoneId("zone-a");
    std::vector<dataplane::PeerReport> Reports(5, Sound);
    Reports[0].Sender = RouterId("127.0.0.\xff:1");
    Reports[1].CallerAddress = "\xff";
    Reports[1].Ready = true;
    Reports[2].Zone = ZoneId("zone-b");
    Reports[2].Members.push_back({RouterId("x"), "\xff", true});
    Reports[3].Config =
        dataplane::ConfigurationVersion(std::uint64_t(1) << 40U);
    Reports[4].Sequence = 2;
    Reports[4].Era = dataplane::StoreEra(7);
    asio::io_context Context;
    asio::ip::udp::socket Socket(Context, asio::ip::udp::v4());
    for (const auto &Report : Reports)
      for (int Node = 0; Node < 2; ++Node)
        Socket.send_to(
            asio::buffer(dataplane::encodeReport(Report)),
            {asio::ip::make_address("127.0.0.1"),
             static_cast<std::uint16_t>(FirstNodePort + Node * PortsPerNode +
                                        PeerPortOffset)});
    std::this_thread::sleep_for(milliseconds(1'000));
    for (int Node = 0; Node < 2; ++Node)
      CPPUNIT_ASSERT(!Fleet.Nodes[Node]->ended());
    // Later changes are followed, also by a router that starts.
    Fleet.Nodes[1]->kill();
    Fleet.startNode(1);
    Deployment::sendControl({{"keys", {"new"}}});
    for (int Node = 0; Node < 2; ++Node) {
      CPPUNIT_ASSERT(waitUntil(
          [&] { return statusOf(Node, "/safe/x", "b", "key") == 401; }));
      CPPUNIT_ASSERT_EQUAL(200, statusOf(Node, "/safe/x", "c", "new"));
      CPPUNIT_ASSERT(waitUntil(
          [&] { return Deployment::resolvedAddressCount(Node) == 2; }));
    }
  }

private:
  /// Sends the first event of a stream and breaks off.
  static void sendBeginOfStream(ScriptedConnection &Connection,
                                const std::string &Id,
                                const std::string &Framing) {
    const std::string Event = "id: 1\ndata: e1\n\n";
    const std::string Head = "HTTP/1.1 200 OK\r\n" + Id + Signature +
                             "Content-Type: text/event-stream\r\n";
    if (Framing == "chunks")
      Connection.send(Head + "Transfer-Encoding: chunked\r\n\r\n" +
                      chunkOf(Event));
    else if (Framing == "length")
      Connection.send(Head + "Content-Length: 4000\r\n\r\n" + Event);
    else
      // Only the begun event tells that this stream has not ended.
      Connection.send(Head + "\r\n" + Event + "id: 2\nda");
    Connection.close();
  }

  /// @return all bytes of the response
  static std::string requestStream(const std::string &Route,
                                   const std::string &Id) {
    return fleet::exchangeRaw(
        fmt::format("127.0.0.1:{}", FirstNodePort),
        fmt::format("POST {}{} HTTP/1.1\r\nHost: api.example\r\n"
                    "Mallowglade-Attempt-Id: {}\r\n"
                    "Mallowglade-Deadline-Ms: 3000\r\n"
                    "Authorization: Bearer key\r\n"
                    "Connection: close\r\nContent-Length: 0\r\n\r\n",
                    Route, Id, Id));
  }

  /// Lets upstreams refuse requests and send the refusals once more.
  static void repeatRefusals(const std::string &Path, bool BeforeTheNext) {
    std::mutex Mutex;
    std::map<std::string, int> Runs;
    const bool Streams = Path != "/unsafe/x";
    const auto Script = [&](ScriptedConnection &Connection,
                            const std::string &Request) {
      const std::string Id = fieldOf(Request, "Mallowglade-Attempt-Id");
      if (Id.starts_with("full")) {
        Connection.send(UnnamedRefusal);
        if (BeforeTheNext) {
          std::this_thread::sleep_for(milliseconds(20));
          Connection.send(UnnamedRefusal);
        }
        return;
      }
      if (!BeforeTheNext && Connection.requestCount() > 1)
        Connection.send(UnnamedRefusal);
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        ++Runs[Id];
      }
      std::this_thread::sleep_for(milliseconds(150));
      const std::string Type =
          Streams ? "Content-Type: text/event-stream\r\n" : "";
      Connection.send(responseTo(Request, "200 OK", Signature + Type,
                                 "id: 1\ndata: ran " + Id + "\n\n"));
    };
    std::vector<std::unique_ptr<ScriptedServer>> Servers;
    Servers.reserve(2);
    for (int Number = 0; Number < 2; ++Number)
      Servers.push_back(
          std::make_unique<ScriptedServer>("127.0.0.1", 0, Script));
    Deployment Fleet;
    useOnly(Servers);
    // Resumable streams may run again.
    const int MostRuns = Path == "/stream/x" ? 2 : 1;
    for (int Round = 0; Round < 8; ++Round) {
      const std::string Suffix = std::to_string(Round);
      statusOf(0, "/safe/x", "full-" + Suffix);
      auto Caller = Deployment::clientOf(0);
      const std::string Id = "run-" + Suffix;
      const auto Answer =
          Caller.Post(Path, Deployment::requestHeaders(Id), "b", "text/plain");
      CPPUNIT_ASSERT(Answer);
      const std::lock_guard<std::mutex> Lock(Mutex);
      const std::string Seen = fmt::format("{} {}: {}, ran {} times", Path, Id,
                                           Answer->status, Runs[Id]);
      CPPUNIT_ASSERT_MESSAGE(Seen, Runs[Id] <= MostRuns);
      CPPUNIT_ASSERT_MESSAGE(
          Seen, Runs[Id] == 0 || MostRuns > 1 ||
                    (Answer->status != 503 && Answer->status != 429));
      CPPUNIT_ASSERT_MESSAGE(Seen, Answer->status != 200 ||
                                       Answer->body ==
                                           "id: 1\ndata: ran " + Id + "\n\n");
    }
  }

  static int statusOf(int Node, const std::string &Path, const std::string &Id,
                      const std::string &Key = "key") {
    auto Caller = Deployment::clientOf(Node);
    const auto Answer =
        Path.starts_with("/safe")
            ? Caller.Get(Path, Deployment::requestHeaders(Id, Key))
            : Caller.Post(Path, Deployment::requestHeaders(Id, Key), "b",
                          "text/plain");
    return Answer ? Answer->status : 0;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeForeignBytesTest);

#include <mallowglade/http1.hpp>

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace mallowglade::http1;

namespace {

constexpr std::chrono::milliseconds LongTime{5'000};
constexpr ServerLimits Limits{8'192, 8'192, LongTime, LongTime,
                              100,   50,    1'048'576};
constexpr const char *Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// Server that answers each request with a body of a given size.
struct ServerFixture {
  asio::io_context Context;
  std::string Payload = "done";
  asio::ip::tcp::endpoint Address{asio::ip::make_address("127.0.0.1"),
                                  freePort()};
  Http1Server Server{Context, Address, Limits,
                     [this](const std::shared_ptr<ServerExchange> &Exchange) {
                       Exchange->respond(200, {}, Payload);
                     }};

  ServerFixture() { CPPUNIT_ASSERT(!Server.listen()); }

  static std::uint16_t freePort() {
    asio::io_context Probe;
    return asio::ip::tcp::acceptor(Probe,
                                   {asio::ip::make_address("127.0.0.1"), 0})
        .local_endpoint()
        .port();
  }

  /// Connects and sends a request; the server does not run meanwhile.
  asio::ip::tcp::socket sendRequest(asio::io_context &Client,
                                    std::string_view Bytes = Request) const {
    asio::ip::tcp::socket Socket(Client);
    Socket.connect(Address);
    asio::write(Socket, asio::buffer(Bytes));
    return Socket;
  }
};

/// Server that begins a response without a length and leaves it open.
struct StreamFixture {
  asio::io_context Context;
  asio::ip::tcp::endpoint Address{asio::ip::make_address("127.0.0.1"),
                                  ServerFixture::freePort()};
  std::shared_ptr<ServerExchange> Exchange;
  std::unique_ptr<Http1Server> Server = std::make_unique<Http1Server>(
      Context, Address, Limits,
      [this](const std::shared_ptr<ServerExchange> &Received) {
        Exchange = Received;
        Exchange->startBody(200, {});
        Exchange->send("part");
      });
  asio::io_context Client;
  asio::ip::tcp::socket Socket{Client};

  explicit StreamFixture(std::string_view Request) {
    CPPUNIT_ASSERT(!Server->listen());
    Socket.connect(Address);
    asio::write(Socket, asio::buffer(Request));
    Context.run_for(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(Exchange);
  }
  void run() {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(50));
  }
  /// Reads until the connection ends.
  std::string readAll(std::error_code &End) {
    std::string Bytes;
    asio::read(Socket, asio::dynamic_buffer(Bytes), End);
    return Bytes;
  }
};

constexpr std::string_view OldRequest = "GET /x HTTP/1.0\r\nHost: a\r\n\r\n";

} // namespace

class Http1ServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http1ServerTest);
  CPPUNIT_TEST(requestsSentBeforeListeningEndsAreAnswered);
  CPPUNIT_TEST(connectionIsBusyUntilItsResponseIsSent);
  CPPUNIT_TEST(brokenOffResponseWithoutFramingEndsWithAReset);
  CPPUNIT_TEST(completeResponseWithoutFramingEndsWithoutAReset);
  CPPUNIT_TEST(responseToHeadHasNoBody);
  CPPUNIT_TEST(pipelinedBytesDoNotEndTheConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against resetting requests that were sent on connections not yet
  // accepted when the server stops or pauses listening.
  void requestsSentBeforeListeningEndsAreAnswered() {
    ServerFixture Fixture;
    asio::io_context Client;
    // More than the server accepts at a time, and more than it keeps idle.
    constexpr std::size_t Callers = 70;
    std::vector<asio::ip::tcp::socket> Sockets;
    for (std::size_t Caller = 0; Caller < Callers; ++Caller)
      Sockets.push_back(Fixture.sendRequest(Client));
    Fixture.Server.stopListening();
    Fixture.Context.run_for(std::chrono::milliseconds(200));
    for (asio::ip::tcp::socket &Socket : Sockets) {
      std::array<char, 512> Bytes{};
      std::error_code Error;
      const std::size_t Size = Socket.read_some(asio::buffer(Bytes), Error);
      CPPUNIT_ASSERT(!Error);
      CPPUNIT_ASSERT(
          std::string_view(Bytes.data(), Size).starts_with("HTTP/1.1 200"));
    }
    asio::ip::tcp::socket Refused(Client);
    std::error_code Error;
    Refused.connect(Fixture.Address, Error);
    CPPUNIT_ASSERT(Error == asio::error::connection_refused);
  }

  // Guards against a process that ends while a caller still receives a large
  // answer: the answer would break off.
  void connectionIsBusyUntilItsResponseIsSent() {
    ServerFixture Fixture;
    // More than the socket buffers of both ends hold.
    Fixture.Payload.assign(std::size_t(16) << 20U, 'x');
    asio::io_context Client;
    asio::ip::tcp::socket Socket = Fixture.sendRequest(Client);
    Fixture.Context.run_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture.Server.busyConnections());
    Fixture.Server.closeIdle();
    std::size_t Received = 0;
    std::vector<char> Bytes(std::size_t(1) << 20U);
    while (Received < Fixture.Payload.size()) {
      Fixture.Context.run_for(std::chrono::milliseconds(10));
      std::error_code Error;
      Received += Socket.read_some(asio::buffer(Bytes), Error);
      CPPUNIT_ASSERT(!Error);
    }
    Fixture.Context.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Server.busyConnections());
  }

  // Guards against a response to an HTTP/1.0 client that breaks off, or whose
  // server ends, and looks complete: the end of the connection ends its body.
  void brokenOffResponseWithoutFramingEndsWithAReset() {
    for (const bool ServerEnds : {false, true}) {
      StreamFixture Fixture(OldRequest);
      if (ServerEnds)
        Fixture.Server.reset();
      else
        Fixture.Exchange->abort();
      std::error_code End;
      const std::string Bytes = Fixture.readAll(End);
      CPPUNIT_ASSERT(Bytes.find("Transfer-Encoding") == std::string::npos);
      CPPUNIT_ASSERT(End == asio::error::connection_reset);
    }
  }

  // Guards against a reset that makes a complete response look broken off.
  void completeResponseWithoutFramingEndsWithoutAReset() {
    StreamFixture Fixture(OldRequest);
    // More than the socket buffers of both ends hold.
    const std::string Rest(std::size_t(16) << 20U, 'x');
    Fixture.Exchange->send(Rest);
    Fixture.Exchange->finish();
    std::string Received;
    std::vector<char> Bytes(std::size_t(1) << 20U);
    std::error_code End;
    while (!End) {
      Fixture.run();
      const std::size_t Size =
          Fixture.Socket.read_some(asio::buffer(Bytes), End);
      Received.append(Bytes.data(), Size);
    }
    CPPUNIT_ASSERT(End == asio::error::eof);
    CPPUNIT_ASSERT(Received.ends_with("part" + Rest));
  }

  // Guards against the end of a chunked body after the head of a response to
  // HEAD: a client takes it for the next response.
  void responseToHeadHasNoBody() {
    StreamFixture Fixture("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
    Fixture.Exchange->finish();
    Fixture.Exchange.reset();
    Fixture.run();
    Fixture.Server.reset();
    std::error_code End;
    CPPUNIT_ASSERT(Fixture.readAll(End).ends_with("OK\r\n\r\n"));
  }

  // Guards against a connection that is reset, and with it the answer that is
  // being made, when more bytes are pipelined behind a request than the server
  // reads ahead.
  void pipelinedBytesDoNotEndTheConnection() {
    StreamFixture Fixture(Request);
    asio::ip::tcp::socket &Socket = Fixture.Socket;
    std::string Pipelined;
    while (Pipelined.size() < std::size_t(1) << 18U)
      Pipelined += Request;
    Socket.non_blocking(true);
    std::size_t Sent = 0;
    const auto SendSome = [&] {
      std::error_code Error;
      Sent += Socket.write_some(
          asio::buffer(Pipelined.data() + Sent, Pipelined.size() - Sent),
          Error);
      Fixture.Context.restart();
      Fixture.Context.run_for(std::chrono::milliseconds(10));
      return !Error || Error == asio::error::would_block;
    };
    for (int Round = 0; Round < 20; ++Round)
      CPPUNIT_ASSERT(SendSome());
    CPPUNIT_ASSERT(!Fixture.Exchange->clientDisconnected());
    // The requests behind it are read once it is answered.
    const auto First = Fixture.Exchange;
    Fixture.Exchange->send("rest");
    Fixture.Exchange->finish();
    for (int Round = 0; Round < 20 && Fixture.Exchange == First; ++Round)
      CPPUNIT_ASSERT(SendSome());
    CPPUNIT_ASSERT(Fixture.Exchange != First);
    CPPUNIT_ASSERT(!Fixture.Exchange->clientDisconnected());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ServerTest);

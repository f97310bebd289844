#include <mallowglade/http1.hpp>

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade::http1;

namespace {

constexpr UpstreamTimeouts Timeouts{std::chrono::milliseconds(500),
                                    std::chrono::milliseconds(500)};

class Observer final : public ExchangeObserver {
public:
  explicit Observer(bool Sends) : Sends(Sends) {}
  bool maySend() override { return Sends; }
  void onResponseHead(ResponseHead &) override {}
  void onResponseBody(std::string_view) override {}
  void onResponseEnd() override {}
  void onExchangeFailed(ExchangeFailure Reason) override { Failure = Reason; }

  bool Sends = true;
  std::optional<ExchangeFailure> Failure;
};

} // namespace

class Http1UpstreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http1UpstreamTest);
  CPPUNIT_TEST(withdrawnRequestIsNotSent);
  CPPUNIT_TEST(silentUpstreamHasNotClosedItsConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that reaches an upstream although it has asked for
  // a pause, or has said that it is leaving, while the connection was made.
  void withdrawnRequestIsNotSent() {
    for (const bool Sends : {false, true}) {
      asio::io_context Context;
      asio::ip::tcp::acceptor Acceptor(
          Context,
          asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      const auto Target = std::make_shared<Observer>(Sends);
      const auto Connection = std::make_shared<UpstreamConnection>(
          Context, Acceptor.local_endpoint(), "X-Id", Timeouts);
      Connection->send("GET / HTTP/1.1\r\n\r\n", "r1", false, Target);
      Context.run_for(std::chrono::milliseconds(50));
      asio::ip::tcp::socket Accepted = Acceptor.accept();
      Accepted.non_blocking(true);
      std::array<char, 64> Bytes{};
      std::error_code Error;
      const std::size_t Received =
          Accepted.read_some(asio::buffer(Bytes), Error);
      CPPUNIT_ASSERT_EQUAL(Sends, Received > 0);
      CPPUNIT_ASSERT_EQUAL(!Sends,
                           Target->Failure == ExchangeFailure::Withdrawn);
      Connection->cancel();
    }
  }

  // Guards against taking an upstream that went silent, as when its rack goes
  // dark, for one that crashed.
  void silentUpstreamHasNotClosedItsConnection() {
    for (const bool Closes : {false, true}) {
      asio::io_context Context;
      asio::ip::tcp::acceptor Acceptor(
          Context,
          asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      const auto Target = std::make_shared<Observer>(true);
      const auto Connection = std::make_shared<UpstreamConnection>(
          Context, Acceptor.local_endpoint(), "X-Id", Timeouts);
      // More than the buffers of both sides hold: the rest is not acknowledged.
      constexpr std::size_t RequestBytes = std::size_t(64) << 20U;
      Connection->send("POST / HTTP/1.1\r\nContent-Length: 67108864\r\n\r\n" +
                           std::string(RequestBytes, 'x'),
                       "r1", false, Target);
      Context.run_for(std::chrono::milliseconds(50));
      asio::ip::tcp::socket Accepted = Acceptor.accept();
      if (Closes)
        Accepted.close();
      Context.restart();
      Context.run_for(std::chrono::seconds(5));
      CPPUNIT_ASSERT(Target->Failure.has_value());
      CPPUNIT_ASSERT(*Target->Failure == (Closes
                                              ? ExchangeFailure::Interrupted
                                              : ExchangeFailure::Unresponsive));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1UpstreamTest);

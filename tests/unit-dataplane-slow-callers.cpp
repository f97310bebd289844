#include "support/proxy_harness.hpp"

#include <mallowglade/detail/http1/unsent_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <array>
#include <numeric>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using Harness = ProxyHarness;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{50};

/// A stream of events that is longer than what the sockets hold.
struct LongStream {
  Harness H{1};
  std::size_t Caller = 0;
  /// Part of the stream that is sent again and again, and its end.
  std::string Event = "id: 1\ndata: " + std::string(16'000, 'x') + "\n\n";
  std::size_t Sent = 0;

  LongStream() {
    auto Config = std::make_shared<Configuration>(*H.View.Config);
    for (Route &Each : Config->Routes)
      Each.Timeout = milliseconds(10'000);
    Config->Version = ConfigurationVersion(2);
    Config->index();
    H.View.Config = Config;
    H.apply();
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send("HTTP/1.1 200 OK\r\nMallowglade-Attempt-Id: r1\r\n"
                   "Mallowglade-Replica-Signature: s1\r\n"
                   "Content-Type: text/event-stream\r\n\r\n");
    };
    Caller = H.connect();
    std::string Request = Harness::callerRequest("POST", "/stream/x", "r1");
    Request.replace(Request.find("Deadline-Ms: 1500"), 17, "Deadline-Ms: 9000");
    H.sendAsCaller(Caller, Request);
    CPPUNIT_ASSERT(H.runUntil([&] { return H.requestCount() == 1; }));
  }
  /// Sends what the upstream's socket takes.
  /// @return false if it takes nothing
  bool feed() {
    const std::size_t Size =
        H.Sessions[0]->trySend(Event.substr(Sent % Event.size()));
    Sent += Size;
    return Size > 0;
  }
};

} // namespace

class SlowCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowCallersTest);
  CPPUNIT_TEST(largestHoldersAreEndedFirst);
  CPPUNIT_TEST(upstreamIsReadWhileCallerStops);
  CPPUNIT_TEST(memoryIsBoundedWhileCallersStop);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against memory that fills up, and against ending callers that are
  // held little for.
  void largestHoldersAreEndedFirst() {
    const bool Holds = rc::check(
        [](const std::vector<std::uint16_t> &Sizes, std::uint32_t Limit) {
          http1::UnsentBudget<const std::uint16_t> Budget;
          for (const std::uint16_t &Size : Sizes) {
            Budget.record(&Size, 1);
            Budget.record(&Size, Size);
          }
          std::size_t Total =
              std::accumulate(Sizes.begin(), Sizes.end(), std::size_t(0));
          RC_ASSERT(Budget.total() == Total);
          std::size_t Smallest = Total;
          while (const std::uint16_t *Ended = Budget.takeExcess(Limit)) {
            RC_ASSERT(Total > Limit);
            RC_ASSERT(*Ended <= Smallest);
            Smallest = *Ended;
            Total -= *Ended;
          }
          RC_ASSERT(Budget.total() == Total && Total <= Limit);
        });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against an upstream that cuts a sound stream because it was not read
  // for some seconds, while the caller reads at 1 kB a second, stops, and reads
  // on after 3 s.
  void upstreamIsReadWhileCallerStops() {
    LongStream Stream;
    Harness &H = Stream.H;
    H.stopReading(Stream.Caller);
    milliseconds Unread{0};
    milliseconds LongestUnread{0};
    for (milliseconds At{0}; At < milliseconds(4'000); At += Step) {
      bool Taken = false;
      while (Stream.feed())
        Taken = true;
      Unread = Taken ? milliseconds(0) : Unread + Step;
      LongestUnread = std::max(LongestUnread, Unread);
      if (At < milliseconds(1'000))
        H.readSome(Stream.Caller, 50);
      H.runFor(Step);
    }
    CPPUNIT_ASSERT(LongestUnread <= 2 * RelayWindow::MaxPause);
    CPPUNIT_ASSERT(!H.closedByRouter(Stream.Caller));
    H.readOn(Stream.Caller);
    // The rest of the event that the upstream's socket took in part.
    while (Stream.Sent % Stream.Event.size() != 0) {
      Stream.feed();
      H.runFor(milliseconds(1));
    }
    H.Sessions[0]->close();
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Stream.Caller).ends_with("\r\n0\r\n\r\n"); }));
    CPPUNIT_ASSERT(H.received(Stream.Caller).size() > Stream.Sent);
  }

  // Guards against memory that callers who do not read fill together.
  void memoryIsBoundedWhileCallersStop() {
    constexpr std::size_t Unit = std::size_t(10) << 20U;
    asio::io_context Context;
    http1::ServerLimits Limits;
    Limits.MaxHeadBytes = Limits.MaxBodyBytes = 1'000;
    Limits.ReadTimeout = Limits.IdleTimeout = milliseconds(10'000);
    Limits.MaxConnections = 10;
    Limits.SoftMaxConnections = 10;
    Limits.MaxUnsentBytes = 3 * Unit;
    std::array<std::shared_ptr<http1::ServerExchange>, 2> Exchanges;
    const asio::ip::tcp::endpoint Local(asio::ip::make_address("127.0.0.1"), 0);
    asio::ip::tcp::acceptor Probe(Context, Local);
    const auto Address = Probe.local_endpoint();
    Probe.close();
    http1::Http1Server Server(
        Context, Address, Limits, [&](const auto &Exchange) {
          (Exchanges[0] ? Exchanges[1] : Exchanges[0]) = Exchange;
        });
    CPPUNIT_ASSERT(!Server.listen());
    std::vector<asio::ip::tcp::socket> Clients;
    for (int Index = 0; Index < 2; ++Index) {
      Clients.emplace_back(Context);
      Clients.back().connect(Address);
      asio::write(Clients.back(), asio::buffer(std::string(
                                      "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
      Context.run_for(milliseconds(100));
    }
    CPPUNIT_ASSERT(Exchanges[1]);
    std::array<bool, 2> Ended{};
    for (std::size_t Index = 0; Index < 2; ++Index) {
      Exchanges.at(Index)->OnDisconnected = [&Ended, Index] {
        Ended.at(Index) = true;
      };
      Exchanges.at(Index)->startBody(200, {});
    }
    Exchanges[0]->send(std::string(2 * Unit, 'x'));
    Exchanges[1]->send(std::string(4 * Unit, 'x'));
    Context.run_for(milliseconds(100));
    CPPUNIT_ASSERT(!Ended[0]);
    CPPUNIT_ASSERT(Ended[1]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Server.counters().SlowClients);
    CPPUNIT_ASSERT(Server.unsentBytes() <= Limits.MaxUnsentBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallersTest);

#include <mallowglade/detail/transport/message_seal.hpp>
#include <mallowglade/kernel.hpp>
#include <mallowglade/transport.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>

using namespace mallowglade;

namespace {

constexpr const char *FleetKey = "unit-test-fleet-key";

/// Takes a free port of the loopback interface.
std::string freeAddress() {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

Http2PeersOptions optionsOf(const std::string &Address) {
  Http2PeersOptions Options;
  Options.Listen = Address;
  Options.Self = RouterId(Address);
  Options.Start = Incarnation(7);
  Options.FleetKey = FleetKey;
  Options.PingPeriod = Milliseconds(100);
  Options.PingTimeout = Milliseconds(300);
  return Options;
}

} // namespace

class PeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(codeCoversTheWholeMessage);
  CPPUNIT_TEST(messagesArriveBothWays);
  CPPUNIT_TEST(ownMessageArrivesAfterTheCall);
  CPPUNIT_TEST(forgedMessageIsRejected);
  CPPUNIT_TEST(unknownTypeIsRejected);
  CPPUNIT_TEST(largeMessageArrivesWhole);
  CPPUNIT_TEST(tooLargeMessageIsNotSent);
  CPPUNIT_TEST(peerThatStartsLateIsReached);
  CPPUNIT_TEST(restartedPeerIsReached);
  CPPUNIT_TEST(silentPeerIsDisconnected);
  CPPUNIT_TEST(leastRecentlyUsedLinkIsClosed);
  CPPUNIT_TEST(queueOfDeadPeerIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Left.emplace(Context, Time, optionsOf(freeAddress()));
    Right.emplace(Context, Time, optionsOf(freeAddress()));
  }

  // Guards against a code that leaves a part of the message open to change,
  // and against state that one message leaves behind for the next.
  void codeCoversTheWholeMessage() {
    detail::MessageSeal Seal(FleetKey);
    const detail::MessageEnvelope Sent{
        RouterId("a"), "grant", {RouterId("b"), Incarnation(1)}};
    const std::string Sealed = Seal.seal(Sent, "body");
    const std::string Covered("a\0grant\0b\0001\0body", 16);
    CPPUNIT_ASSERT(Sealed == hmacSha256(FleetKey, Covered) + "body");
    CPPUNIT_ASSERT(Sealed == Seal.seal(Sent, "body"));
    CPPUNIT_ASSERT(Seal.open(Sent, Sealed) == std::string_view("body"));
    std::vector<detail::MessageEnvelope> Altered(4, Sent);
    Altered[0].To = RouterId("c");
    Altered[1].Type = "claim";
    Altered[2].From.Router = RouterId("c");
    Altered[3].From.Start = Incarnation(2);
    for (const auto &Envelope : Altered)
      CPPUNIT_ASSERT(!Seal.open(Envelope, Sealed));
    std::string Changed = Sealed;
    Changed.back() ^= 1;
    CPPUNIT_ASSERT(!Seal.open(Sent, Changed));
    CPPUNIT_ASSERT(!Seal.open(Sent, Sealed.substr(0, 31)));
  }

  // Guards against lost, altered or wrongly attributed messages.
  void messagesArriveBothWays() {
    start(*Left);
    start(*Right);
    CPPUNIT_ASSERT(sendAndWait(Left, Right, "hello"));
    CPPUNIT_ASSERT_EQUAL(Left->Id.Value, Right->From.Router.Value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Right->From.Start.Value);
    CPPUNIT_ASSERT(sendAndWait(Right, Left, std::string("\0\xff", 2)));
    CPPUNIT_ASSERT(Left->Peers.traffic().BytesSent > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Right->Peers.traffic().MessagesReceived);
  }

  // Guards against handlers that run inside the sender's call.
  void ownMessageArrivesAfterTheCall() {
    start(*Left);
    Left->Peers.send(Left->Id, "text", "self");
    CPPUNIT_ASSERT(Left->Received.empty());
    CPPUNIT_ASSERT(runUntil([this] { return !Left->Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(Left->Id.Value, Left->From.Router.Value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Left->Peers.traffic().MessagesSent);
  }

  // Guards against messages of a sender that does not have the fleet key.
  void forgedMessageIsRejected() {
    auto Options = optionsOf(freeAddress());
    Options.FleetKey = "another-fleet-key";
    Node Forger(Context, Time, Options);
    start(Forger);
    start(*Right);
    Forger.Peers.send(Right->Id, "text", "forged");
    CPPUNIT_ASSERT(runUntil(
        [this] { return Right->Peers.traffic().MessagesRejected == 1; }));
    CPPUNIT_ASSERT(Right->Received.empty());
  }

  // Guards against a crash on a message type that only newer routers know.
  void unknownTypeIsRejected() {
    start(*Left);
    start(*Right);
    Left->Peers.send(Right->Id, "unknown", "x");
    CPPUNIT_ASSERT(runUntil(
        [this] { return Right->Peers.traffic().MessagesRejected == 1; }));
    CPPUNIT_ASSERT(sendAndWait(Left, Right, "known"));
  }

  // Guards against flow-control stalls and truncation across many frames.
  void largeMessageArrivesWhole() {
    start(*Left);
    start(*Right);
    std::string Large(3'000'000, 'x');
    Large.back() = 'y';
    CPPUNIT_ASSERT(sendAndWait(Left, Right, Large));
  }

  // Guards against a message that the receiver would have to refuse.
  void tooLargeMessageIsNotSent() {
    start(*Left);
    start(*Right);
    Left->Peers.send(Right->Id, "text", std::string(5U << 20U, 'x'));
    CPPUNIT_ASSERT(sendAndWait(Left, Right, "small"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Right->Received.size());
  }

  // Guards against messages that are dropped while a peer is about to listen.
  void peerThatStartsLateIsReached() {
    start(*Left);
    Left->Peers.send(Right->Id, "text", "early");
    runFor(Milliseconds(300));
    start(*Right);
    CPPUNIT_ASSERT(runUntil([this] { return !Right->Received.empty(); }));
  }

  // Guards against a link that stays on the connection of an ended process.
  void restartedPeerIsReached() {
    start(*Left);
    start(*Right);
    CPPUNIT_ASSERT(sendAndWait(Left, Right, "first"));
    const auto Options = optionsOf(Right->Id.Value);
    Right.reset();
    Right.emplace(Context, Time, Options);
    start(*Right);
    runFor(Milliseconds(200));
    CPPUNIT_ASSERT(sendAndWait(Left, Right, "second"));
  }

  // Guards against a link that waits forever on a connection gone silent.
  void silentPeerIsDisconnected() {
    asio::ip::tcp::acceptor Silent(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    const RouterId To("127.0.0.1:" +
                      std::to_string(Silent.local_endpoint().port()));
    start(*Left);
    Left->Peers.send(To, "text", "unheard");
    CPPUNIT_ASSERT(
        runUntil([this] { return Left->Peers.outgoingCount() == 1; }));
    const TimePoint Opened = Time.now();
    CPPUNIT_ASSERT(
        runUntil([this] { return Left->Peers.outgoingCount() == 0; }));
    CPPUNIT_ASSERT(Time.now() - Opened < Milliseconds(1'000));
  }

  // Guards against one connection per member of a large fleet.
  void leastRecentlyUsedLinkIsClosed() {
    auto Options = optionsOf(freeAddress());
    Options.MaxOutgoing = 1;
    Node Sender(Context, Time, Options);
    start(Sender);
    start(*Left);
    start(*Right);
    Sender.Peers.send(Left->Id, "text", "one");
    CPPUNIT_ASSERT(runUntil([this] { return !Left->Received.empty(); }));
    Sender.Peers.send(Right->Id, "text", "two");
    CPPUNIT_ASSERT(runUntil([this] { return !Right->Received.empty(); }));
    CPPUNIT_ASSERT(
        runUntil([this] { return Left->Peers.incomingCount() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sender.Peers.outgoingCount());
  }

  // Guards against unbounded memory for a peer that cannot be reached, and
  // against dropping the newest message instead of the oldest.
  void queueOfDeadPeerIsBounded() {
    auto Options = optionsOf(freeAddress());
    Options.MaxQueuedBytes = 10'000;
    Node Sender(Context, Time, Options);
    start(Sender);
    for (int I = 0; I < 100; ++I)
      Sender.Peers.send(Right->Id, "text",
                        std::to_string(I) + std::string(1'000, ' '));
    start(*Right);
    CPPUNIT_ASSERT(runUntil([this] {
      return !Right->Received.empty() &&
             Right->Received.back().starts_with("99 ");
    }));
    CPPUNIT_ASSERT(Right->Received.size() <= 10);
  }

private:
  struct Node {
    Node(asio::io_context &Context, const Clock &Time,
         const Http2PeersOptions &Options)
        : Id(Options.Self), Peers(Context, Time, Options) {
      Peers.onMessage("text",
                      [this](const PeerSender &Sender, std::string_view Body) {
                        From = Sender;
                        Received.emplace_back(Body);
                      });
    }
    RouterId Id;
    Http2Peers Peers;
    PeerSender From;
    std::vector<std::string> Received;
  };

  static void start(Node &Target) {
    CPPUNIT_ASSERT(isOk(Target.Peers.listen()));
  }

  bool sendAndWait(std::optional<Node> &From, std::optional<Node> &To,
                   const std::string &Body) {
    From->Peers.send(To->Id, "text", Body);
    return runUntil([&To, &Body] {
      return !To->Received.empty() && To->Received.back() == Body;
    });
  }

  void runFor(Milliseconds Span) {
    Context.restart();
    Context.run_for(Span);
  }

  bool runUntil(const std::function<bool()> &Holds) {
    constexpr int MaxSteps = 500;
    for (int Step = 0; Step < MaxSteps && !Holds(); ++Step)
      runFor(Milliseconds(10));
    return Holds();
  }

  asio::io_context Context;
  SystemClock Time;
  std::optional<Node> Left;
  std::optional<Node> Right;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

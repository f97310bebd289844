#include "support/proxy_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace mallowglade;
using namespace mallowglade::dataplane;
using Harness = ProxyHarness;

namespace {

UpstreamRecord makeUpstream(const std::string &Name, std::uint16_t Port,
                            std::uint64_t BornMs = 1) {
  UpstreamRecord Record;
  Record.Id = UpstreamId(Name);
  Record.Service = ServiceId("pool");
  Record.Address = {asio::ip::make_address("127.0.0.1"), Port};
  Record.Slots = 4;
  Record.Ready = true;
  Record.BornMs = BornMs;
  return Record;
}

std::optional<Milliseconds> parsePause(const std::vector<std::string> &Values,
                                       unsigned Status = 503) {
  http1::ResponseHead Head;
  Head.Status = Status;
  for (const std::string &Value : Values)
    Head.Headers.add("Retry-After", Value);
  return platform::PlatformWire().readResponse(Head).Pause;
}

const std::string RefusalHead = "HTTP/1.1 503 Service Unavailable\r\n"
                                "Mallowglade-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n";

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

/// @return index of the upstream that a forwarded request names
std::size_t targetOf(const std::string &Request) {
  return contains(Request, "Expected-Replica: upstream-0\r\n") ? 0 : 1;
}

/// Sends requests one after the other.
/// @return number of them that each of two upstreams received
std::array<std::size_t, 2> sendRequests(Harness &H, const std::string &Prefix,
                                        std::size_t Count) {
  std::array<std::size_t, 2> Received{};
  const auto Answer = std::move(H.OnRequest);
  H.OnRequest = [&](UpstreamSession &Session, const std::string &Request) {
    ++Received.at(targetOf(Request));
    Answer(Session, Request);
  };
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const auto Caller = H.connect();
    H.sendAsCaller(Caller,
                   Harness::callerRequest("GET", "/safe/x",
                                          Prefix + std::to_string(Number)));
    CPPUNIT_ASSERT(H.runUntil([&] { return !H.received(Caller).empty(); }));
  }
  H.OnRequest = Answer;
  return Received;
}

std::string idOf(const std::string &Request) {
  const std::string Field = "Mallowglade-Attempt-Id: ";
  const auto Begin = Request.find(Field) + Field.size();
  return Request.substr(Begin, Request.find("\r\n", Begin) - Begin);
}

constexpr std::size_t ManyRequests = 12;

} // namespace

class UpstreamNoticesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamNoticesTest);
  CPPUNIT_TEST(pauseIsParsed);
  CPPUNIT_TEST(pauseIsSpreadAndBounded);
  CPPUNIT_TEST(noticeBelongsToTheProcess);
  CPPUNIT_TEST(registrationDoesNotEndANotice);
  CPPUNIT_TEST(oneRequestTriesAfterAPause);
  CPPUNIT_TEST(leavingUpstreamGetsNoRequests);
  CPPUNIT_TEST(pausedUpstreamGetsNoRequests);
  CPPUNIT_TEST(requestsAreRefusedAtOnceWhileAllPause);
  CPPUNIT_TEST(requestsAreRefusedAtOnceWhenAllLeave);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against pauses without end, and against values that are no time.
  void pauseIsParsed() {
    CPPUNIT_ASSERT(parsePause({"2"}) == Milliseconds(2'000));
    CPPUNIT_ASSERT(parsePause({"0.25"}) == Milliseconds(250));
    CPPUNIT_ASSERT(parsePause({"0"}) == Milliseconds(0));
    CPPUNIT_ASSERT(parsePause({"99999999999999999999"}).has_value());
    for (const char *Value : {"", "-1", "soon", "1s", "nan", "inf",
                              "Fri, 04 Dec 2026 10:00:00 GMT"})
      CPPUNIT_ASSERT_MESSAGE(Value, !parsePause({Value}).has_value());
    CPPUNIT_ASSERT(!parsePause({}).has_value());
    CPPUNIT_ASSERT(!parsePause({"1", "2"}).has_value());
    CPPUNIT_ASSERT(!parsePause({"1"}, 500).has_value());
  }

  // Guards against routers that all return in one moment.
  void pauseIsSpreadAndBounded() {
    SeededRandom Random(7);
    std::set<std::int64_t> Pauses;
    for (int Router = 0; Router < 100; ++Router) {
      const Milliseconds Pause = pauseFor(Milliseconds(2'000), Random);
      CPPUNIT_ASSERT(Pause >= Milliseconds(2'000));
      CPPUNIT_ASSERT(Pause <= Milliseconds(2'400));
      Pauses.insert(Pause.count());
      CPPUNIT_ASSERT(pauseFor(std::chrono::hours(1'000), Random) <=
                     std::chrono::minutes(6));
    }
    CPPUNIT_ASSERT(Pauses.size() > 50);
  }

  // Guards against holding back another upstream at the same address, or the
  // same one after a restart.
  void noticeBelongsToTheProcess() {
    ManualClock Time;
    UpstreamNotices Notices(Time);
    CPPUNIT_ASSERT(Notices.recordLeaving(makeUpstream("one", 9'001)));
    CPPUNIT_ASSERT(!Notices.recordLeaving(makeUpstream("one", 9'001)));
    CPPUNIT_ASSERT(Notices.isLeaving(makeUpstream("one", 9'001)));
    CPPUNIT_ASSERT(!Notices.isLeaving(makeUpstream("two", 9'001)));
    CPPUNIT_ASSERT(!Notices.isLeaving(makeUpstream("one", 9'001, 2)));
    for (std::size_t Number = 0; Number < 2 * UpstreamNotices::MaxNotices;
         ++Number) {
      Time.advance(Milliseconds(1));
      Notices.recordLeaving(makeUpstream(std::to_string(Number), 9'002));
    }
    CPPUNIT_ASSERT(!Notices.isLeaving(makeUpstream("one", 9'001)));
    CPPUNIT_ASSERT(Notices.isLeaving(makeUpstream(
        std::to_string(2 * UpstreamNotices::MaxNotices - 1), 9'002)));
  }

  // Guards against using an upstream again because a registration calls it
  // ready, or because it was missing for a while.
  void registrationDoesNotEndANotice() {
    ManualClock Time;
    UpstreamTable Table(Time);
    const UpstreamRecord One = makeUpstream("one", 9'001);
    Table.update({One});
    Table.leaving(One);
    CPPUNIT_ASSERT(!Table.find(One.Id)->staysInUse());
    Table.update({One});
    CPPUNIT_ASSERT(!Table.find(One.Id)->staysInUse());
    Table.update({});
    Table.update({One});
    CPPUNIT_ASSERT(!Table.find(One.Id)->staysInUse());
    Table.update({makeUpstream("one", 9'001, 2)});
    CPPUNIT_ASSERT(Table.find(One.Id)->staysInUse());
  }

  // Guards against a whole queue that is sent to an upstream as soon as the
  // pause which it asked for ends.
  void oneRequestTriesAfterAPause() {
    ManualClock Time;
    SeededRandom Random(7);
    UpstreamTable Table(Time);
    Placement Placer(Table, Time, Random, ZoneId("a"), {});
    Configuration Config;
    Config.Services.push_back({ServiceId("pool"), "/healthz", 100, {}});
    Config.index();
    const UpstreamRecord One = makeUpstream("one", 9'001);
    Table.update({One});
    Placer.configure(Config);
    PlacementQuery Query;
    Query.Service = ServiceId("pool");
    const UpstreamLoad Load{1, 0, 0, 0};
    const auto IsPlaced = [&] {
      return Placer.choose(Query).Upstream != nullptr;
    };
    CPPUNIT_ASSERT(IsPlaced());
    Table.paused(One, Time.now() + Milliseconds(500));
    CPPUNIT_ASSERT(!IsPlaced());
    Time.advance(Milliseconds(501));
    CPPUNIT_ASSERT(IsPlaced());
    Table.add(One.Id, Load);
    CPPUNIT_ASSERT(!IsPlaced());
    Table.accepted(One.Id);
    CPPUNIT_ASSERT(IsPlaced());
  }

  // Guards against requests for an upstream that has said that it is leaving,
  // in whichever response, before the instance list says so.
  void leavingUpstreamGetsNoRequests() {
    const std::string Leaving = "Server-Leaving: 1\r\n";
    for (const std::string &Response :
         {"HTTP/1.1 200 OK\r\nMallowglade-Replica-Signature: s1\r\n"
          "Content-Length: 2\r\n" +
              Leaving + "\r\nok",
          "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n" +
              Leaving + "\r\n",
          RefusalHead + Leaving + "\r\n"}) {
      Harness H(2);
      H.OnRequest = [&](UpstreamSession &Session, const std::string &Request) {
        Session.send(targetOf(Request) == 0
                         ? Response
                         : Harness::signedResponse(idOf(Request), "ok"));
      };
      const auto First = sendRequests(H, "a", ManyRequests);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), First[0]);
      H.apply();
      const auto Later = sendRequests(H, "b", ManyRequests);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Later[0]);
      CPPUNIT_ASSERT_EQUAL(ManyRequests, Later[1]);
    }
  }

  // Guards against requests for an upstream that has asked for a pause, and
  // against a pause that does not end.
  void pausedUpstreamGetsNoRequests() {
    Harness H(2);
    bool Pauses = true;
    H.OnRequest = [&](UpstreamSession &Session, const std::string &Request) {
      if (Pauses && targetOf(Request) == 0)
        Session.send(RefusalHead + "Retry-After: 0.4\r\n\r\n");
      else
        Session.send(Harness::signedResponse(idOf(Request), "ok"));
    };
    const auto During = sendRequests(H, "a", ManyRequests);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), During[0]);
    CPPUNIT_ASSERT_EQUAL(ManyRequests, During[1]);
    Pauses = false;
    H.runFor(std::chrono::milliseconds(600));
    CPPUNIT_ASSERT(sendRequests(H, "b", ManyRequests)[0] > 0);
  }

  // Guards against requests that wait until their deadline for upstreams that
  // have asked for a longer pause.
  void requestsAreRefusedAtOnceWhileAllPause() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &) {
      Session.send(RefusalHead + "Retry-After: 3\r\n\r\n");
    };
    sendRequests(H, "a", 1);
    const auto Before = std::chrono::steady_clock::now();
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "b"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 503"); }));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Before <
                   Milliseconds(200));
    const auto Field = H.received(Caller).find("Retry-After: ");
    CPPUNIT_ASSERT(Field != std::string::npos);
    CPPUNIT_ASSERT(std::stod(H.received(Caller).substr(Field + 13)) > 2.5);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.requestCount());
  }

  // Guards against the same when the last upstream of a service is leaving.
  void requestsAreRefusedAtOnceWhenAllLeave() {
    Harness H(1);
    H.OnRequest = [](UpstreamSession &Session, const std::string &Request) {
      Session.send(Harness::signedResponse(idOf(Request), "ok", "200 OK",
                                           "Server-Leaving: 1\r\n"));
    };
    sendRequests(H, "a", 1);
    const auto Before = std::chrono::steady_clock::now();
    const auto Caller = H.connect();
    H.sendAsCaller(Caller, Harness::callerRequest("GET", "/safe/x", "b"));
    CPPUNIT_ASSERT(H.runUntil(
        [&] { return H.received(Caller).starts_with("HTTP/1.1 503"); }));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Before <
                   Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), H.requestCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamNoticesTest);

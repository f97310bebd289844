#include <mallowglade/detail/router/answer_fetch.hpp>

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <httplib.h>

#include <thread>

using namespace mallowglade;

namespace {

/// A router that holds one answer.
class HolderServer {
public:
  explicit HolderServer(httplib::Server::Handler Serve) {
    Server.Get("/v1/requests/r1/answer", std::move(Serve));
    Port = Server.bind_to_any_port("127.0.0.1");
    Listener = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::sleep_for(Milliseconds(1));
  }
  ~HolderServer() { stop(); }
  HolderServer(const HolderServer &) = delete;
  HolderServer &operator=(const HolderServer &) = delete;

  void stop() {
    Server.stop();
    if (Listener.joinable())
      Listener.join();
  }
  AnswerFetch wanted() const {
    AnswerFetch Wanted;
    Wanted.Address = "127.0.0.1:" + std::to_string(Port);
    Wanted.Request = RequestId("r1");
    Wanted.Claim = ClaimToken(255);
    Wanted.BearerKey = "key";
    return Wanted;
  }

private:
  httplib::Server Server;
  int Port = 0;
  std::thread Listener;
};

} // namespace

class AnswerFetchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerFetchTest);
  CPPUNIT_TEST(streamGoesOnWhereAnEarlierFetchEnded);
  CPPUNIT_TEST(failureOfTheHolderIsPassedOn);
  CPPUNIT_TEST(missingAnswerIsGone);
  CPPUNIT_TEST(cutAnswerIsNotComplete);
  CPPUNIT_TEST(failureAfterTheHeadOfAStreamIsPassedOn);
  CPPUNIT_TEST(stoppedHolderIsUnreachable);
  CPPUNIT_TEST(endedAnswerTakesNoMoreBytes);
  CPPUNIT_TEST(headWithoutEndIsNotRead);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against events that a caller gets twice, and against a fetch without
  // the caller's key or the claim.
  void streamGoesOnWhereAnEarlierFetchEnded() {
    std::string Key;
    std::string Claim;
    HolderServer Holder(
        [&](const httplib::Request &Request, httplib::Response &Response) {
          Key = Request.get_header_value("Authorization");
          Claim = Request.get_header_value(ClaimHeader);
          Response.set_content("data: 1\n\ndata: 2\n\n", "text/event-stream");
        });
    Answer Target;
    Target.begin({200, "text/event-stream"});
    Target.append("data: 1\n\n");
    AnswerFetch Wanted = Holder.wanted();
    Wanted.Skip = Target.size();
    CallCancellation Cancellation;
    const FetchResult Result = fetchAnswer(Wanted, Target, Cancellation);
    Target.complete();
    CPPUNIT_ASSERT(Result.End == FetchEnd::Ended);
    CPPUNIT_ASSERT_EQUAL(std::string("data: 1\n\ndata: 2\n\n"),
                         Target.waitForBody());
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer key"), Key);
    CPPUNIT_ASSERT_EQUAL(std::string("00000000000000ff"), Claim);
  }

  // Guards against a holder's failure that is taken for an answer.
  void failureOfTheHolderIsPassedOn() {
    Problem Original;
    Original.Reason = {ErrorId::QueueTimeout, "no upstream was free", ""};
    Original.Outcome = Verdict::NotRun;
    Original.RetryAfter = Milliseconds(3'000);
    const FetchResult Result = fetch(503, toJson(Original), ProblemType);
    CPPUNIT_ASSERT(Result.End == FetchEnd::Ended);
    CPPUNIT_ASSERT(Result.Failure.has_value());
    CPPUNIT_ASSERT(Result.Failure->Reason.Id == ErrorId::QueueTimeout);
    CPPUNIT_ASSERT(Result.Failure->Outcome == Verdict::NotRun);
    CPPUNIT_ASSERT(Result.Failure->RetryAfter == Milliseconds(3'000));
  }

  // Guards against an endless fetch of an answer that is gone.
  void missingAnswerIsGone() {
    Problem Gone;
    Gone.Reason = {ErrorId::AnswerGone, "", ""};
    CPPUNIT_ASSERT(fetch(410, toJson(Gone), ProblemType).End == FetchEnd::Gone);
  }

  // Guards against a part of an answer that is delivered as the whole.
  void cutAnswerIsNotComplete() {
    HolderServer Holder(
        [](const httplib::Request &, httplib::Response &Response) {
          Response.set_content_provider(
              100, "application/json",
              [](std::size_t, std::size_t, httplib::DataSink &Sink) {
                Sink.write("{", 1);
                return false;
              });
        });
    Answer Target;
    CallCancellation Cancellation;
    const FetchResult Result =
        fetchAnswer(Holder.wanted(), Target, Cancellation);
    CPPUNIT_ASSERT(Result.End == FetchEnd::Interrupted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Target.size());
  }

  // Guards against a stream that broke off and that the caller of a second
  // request with the same key gets as complete.
  void failureAfterTheHeadOfAStreamIsPassedOn() {
    Problem Original;
    Original.Reason = {ErrorId::ConnectionLost, "the upstream is gone", ""};
    HolderServer Holder([&](const httplib::Request &,
                            httplib::Response &Response) {
      Response.set_chunked_content_provider(
          "text/event-stream", [&](std::size_t, httplib::DataSink &Sink) {
            const std::string Text =
                "data: 1\n\nevent: error\ndata: " + toJson(Original) + "\n\n";
            Sink.write(Text.data(), Text.size());
            return false;
          });
    });
    Answer Target;
    CallCancellation Cancellation;
    const FetchResult Result =
        fetchAnswer(Holder.wanted(), Target, Cancellation);
    CPPUNIT_ASSERT(Result.End == FetchEnd::Ended);
    CPPUNIT_ASSERT(Result.Failure.has_value());
    CPPUNIT_ASSERT(Result.Failure->Reason.Id == ErrorId::ConnectionLost);
    CPPUNIT_ASSERT_EQUAL(std::string("data: 1\n\n").size(), Target.size());
  }

  // Guards against a caller that waits for a router that has ended.
  void stoppedHolderIsUnreachable() {
    HolderServer Holder([](const httplib::Request &, httplib::Response &) {});
    Holder.stop();
    Answer Target;
    CallCancellation Cancellation;
    CPPUNIT_ASSERT(fetchAnswer(Holder.wanted(), Target, Cancellation).End ==
                   FetchEnd::Unreachable);
  }

  // Guards against a late result of an abandoned attempt that reaches a caller.
  void endedAnswerTakesNoMoreBytes() {
    Answer Target;
    Target.fail(Problem{});
    Target.begin({200, "text/plain"});
    Target.append("late");
    Target.complete();
    CPPUNIT_ASSERT(Target.failure().has_value());
    CPPUNIT_ASSERT(!Target.waitForHead().has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Target.size());
  }

private:
  static constexpr const char *ProblemType = "application/problem+json";

  static FetchResult fetch(int Status, const std::string &Body,
                           const std::string &Type) {
    HolderServer Holder(
        [&](const httplib::Request &, httplib::Response &Response) {
          Response.status = Status;
          Response.set_content(Body, Type);
        });
    Answer Target;
    CallCancellation Cancellation;
    return fetchAnswer(Holder.wanted(), Target, Cancellation);
  }

  // Guards against a router whose head never ends and that takes the memory of
  // the one that fetches an answer from it.
  void headWithoutEndIsNotRead() {
    asio::io_context Context;
    asio::ip::tcp::acceptor Acceptor(Context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    std::size_t Sent = 0;
    std::thread Holder([&] {
      asio::ip::tcp::socket Socket = Acceptor.accept();
      std::error_code Error;
      asio::write(Socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n")),
                  Error);
      const std::string Field = "X-Field: " + std::string(4'000, 'x') + "\r\n";
      constexpr std::size_t MostBytes = std::size_t(64) << 20U;
      while (!Error && Sent < MostBytes)
        Sent += asio::write(Socket, asio::buffer(Field), Error);
    });
    AnswerFetch Wanted;
    Wanted.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Wanted.Request = RequestId("r1");
    Answer Target;
    CallCancellation Cancellation;
    const FetchResult Result = fetchAnswer(Wanted, Target, Cancellation);
    Holder.join();
    CPPUNIT_ASSERT(Result.End != FetchEnd::Ended);
    // More than the buffers of both sockets hold.
    constexpr std::size_t MaxBytes = std::size_t(32) << 20U;
    CPPUNIT_ASSERT(Sent < MaxBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerFetchTest);

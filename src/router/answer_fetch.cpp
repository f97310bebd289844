#include <mallowglade/detail/router/answer_fetch.hpp>

#include <mallowglade/detail/router/problem.hpp>
#include <mallowglade/http1.hpp>
#include <mallowglade/settings.hpp>

#include <httplib.h>

namespace mallowglade {

namespace {

constexpr Milliseconds FetchConnectTimeout{1'000};
/// After this silence the caller checks whether the holder still lives.
constexpr Milliseconds SilenceLimit{10'000};
constexpr int NotFound = 404;
constexpr int AnswerGoneStatus = 410;

/// Passes a stream on at once and other answers when they are complete.
class FetchSink final : public http1::BlockingReceiver {
public:
  FetchSink(Answer &Target, std::size_t Skip) : Target(Target), Skip(Skip) {}

  void onHead(const http1::ResponseHead &Response) override {
    const std::string *Type = Response.Headers.find("Content-Type");
    Head = {static_cast<int>(Response.Status),
            Type == nullptr ? std::string() : *Type};
    IsProblem = Head.ContentType.starts_with("application/problem+json");
    Streaming = Head.ContentType.starts_with("text/event-stream");
    if (Streaming)
      Target.begin(Head);
  }

  bool onBody(std::string_view Bytes) override {
    if (!Streaming) {
      Whole.append(Bytes);
      return Whole.size() <= Answer::MaxBytes;
    }
    passOn(Events.feed(Bytes));
    return !Events.eventTooLarge();
  }

  FetchResult end(bool Complete) {
    FetchResult Result;
    Result.Relayed = std::max(Seen, Skip);
    if (StreamFailure) {
      Result.Failure = StreamFailure;
      Result.End = FetchEnd::Ended;
      return Result;
    }
    const bool Missing = Head.Status == UnauthorizedStatus ||
                         Head.Status == NotFound ||
                         Head.Status == AnswerGoneStatus;
    if (!Complete || Events.insideEvent())
      return Result;
    if (IsProblem)
      Result.Failure = parseProblem(Whole);
    const bool NoAnswer = Missing && IsProblem;
    Result.End = NoAnswer ? FetchEnd::Gone : FetchEnd::Ended;
    if (!IsProblem && !Streaming) {
      Target.begin(Head);
      Target.append(Whole);
    }
    return Result;
  }

private:
  /// Passes complete events on, but not the last one of a stream that failed.
  void passOn(std::string_view Complete) {
    constexpr std::string_view ErrorEvent = "event: error\ndata: ";
    const auto Found = Complete.find(ErrorEvent);
    const bool Begins = Found == 0 || (Found != std::string_view::npos &&
                                       Complete[Found - 1] == '\n');
    if (Begins) {
      std::string_view Data = Complete.substr(Found + ErrorEvent.size());
      StreamFailure =
          parseProblem(std::string(Data.substr(0, Data.find('\n'))));
      if (StreamFailure)
        Complete = Complete.substr(0, Found);
    }
    Seen += Complete.size();
    if (Seen > Skip)
      Target.append(Complete.substr(Complete.size() -
                                    std::min(Complete.size(), Seen - Skip)));
  }

  Answer &Target;
  std::size_t Skip;
  std::size_t Seen = 0;
  EventStream Events;
  /// Failure that the last event of a stream tells.
  std::optional<Problem> StreamFailure;
  AnswerHead Head;
  bool IsProblem = false;
  bool Streaming = false;
  std::string Whole;
};

} // namespace

FetchResult fetchAnswer(const AnswerFetch &Wanted, Answer &Target,
                        CallCancellation &Cancellation) {
  const HostPort Address = splitAddress(Wanted.Address);
  std::string Message =
      "GET /v1/requests/" +
      httplib::detail::encode_query_param(Wanted.Request.Value) +
      "/answer HTTP/1.1\r\n";
  http1::appendField(Message, "Host", Wanted.Address);
  http1::appendField(Message, "Authorization", "Bearer " + Wanted.BearerKey);
  http1::appendField(Message, ClaimHeader, toHex(Wanted.Claim.Value));
  http1::appendField(Message, "Connection", "close");
  Message += "\r\n";
  FetchSink Sink(Target, Wanted.Skip);
  http1::BlockingExchange Exchange;
  Cancellation.setAction([&Exchange] { Exchange.interrupt(); });
  const http1::BlockingEnd End =
      Cancellation.cancelled()
          ? http1::BlockingEnd::Broken
          : Exchange.run({Address.Host, Address.Port, std::move(Message),
                          FetchConnectTimeout, SilenceLimit, false},
                         Sink);
  Cancellation.setAction(nullptr);
  FetchResult Result = Sink.end(End == http1::BlockingEnd::Complete);
  if (End == http1::BlockingEnd::NotConnected)
    Result.End = FetchEnd::Unreachable;
  return Result;
}

} // namespace mallowglade

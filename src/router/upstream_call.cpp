#include <mallowglade/detail/router/upstream_call.hpp>

#include <mallowglade/http1.hpp>
#include <mallowglade/settings.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace mallowglade {

namespace {

constexpr unsigned ServiceUnavailable = 503;
constexpr const char *LimitHeader = "Server-Limit";

/// Reads the limit of a response. A field that is no decimal number, or fields
/// that disagree, say nothing.
void parseLimit(const http1::HeaderList &Fields, UpstreamHead &Head) {
  for (const http1::HeaderField &Field : Fields.fields()) {
    if (!http1::equalsIgnoreCase(Field.Name, LimitHeader))
      continue;
    double Value = 0;
    const char *const End = Field.Value.data() + Field.Value.size();
    const auto [Rest, Failure] = std::from_chars(Field.Value.data(), End, Value,
                                                 std::chars_format::fixed);
    const bool Readable = Failure == std::errc() && Rest == End &&
                          std::isfinite(Value) && Value >= 0;
    if (!Readable || (Head.Rate && Head.Rate->Value != Value))
      Head.RateUnreadable = true;
    else
      Head.Rate = RequestRate(Value);
  }
  if (Head.RateUnreadable)
    Head.Rate.reset();
}

UpstreamHead parseHead(const http1::ResponseHead &Response) {
  constexpr long long MaxRetryAfterSeconds = 3'600;
  const auto ValueOf = [&Response](std::string_view Name) {
    const std::string *Value = Response.Headers.find(Name);
    return Value == nullptr ? std::string() : *Value;
  };
  UpstreamHead Head;
  Head.Status = static_cast<int>(Response.Status);
  Head.ContentType = ValueOf("Content-Type");
  Head.Leaving = ValueOf("X-Leaving") == "true";
  Head.RetryAfterSeconds =
      std::clamp(std::strtoll(ValueOf("Retry-After").c_str(), nullptr, 10), 0LL,
                 MaxRetryAfterSeconds);
  parseLimit(Response.Headers, Head);
  return Head;
}

std::string serialize(const std::string &Host, const UpstreamRequest &Request) {
  std::string Message = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  http1::appendField(Message, "Host", Host);
  for (const auto &[Name, Value] : Request.Headers)
    if (!http1::equalsIgnoreCase(Name, "host") &&
        !http1::equalsIgnoreCase(Name, "content-length"))
      http1::appendField(Message, Name, Value);
  if (!Request.Body.empty() ||
      (Request.Method != "GET" && Request.Method != "HEAD"))
    http1::appendField(Message, "Content-Length",
                       std::to_string(Request.Body.size()));
  http1::appendField(Message, "Connection", "close");
  return Message + "\r\n" + Request.Body;
}

/// Passes a response on, but not the body of a refusal.
class Relay final : public http1::BlockingReceiver {
public:
  explicit Relay(const UpstreamReceiver &Receiver) : Receiver(Receiver) {}

  void onHead(const http1::ResponseHead &Head) override {
    Refused = Head.Status == ServiceUnavailable;
    Receiver.OnHead(parseHead(Head));
  }
  bool onBody(std::string_view Data) override {
    return Refused || Receiver.OnBytes(Data);
  }
  bool refused() const { return Refused; }

private:
  const UpstreamReceiver &Receiver;
  bool Refused = false;
};

} // namespace

void CallCancellation::cancel() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Cancelled = true;
  if (Action)
    Action();
}

bool CallCancellation::cancelled() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Cancelled;
}

void CallCancellation::setAction(std::function<void()> End) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Action = std::move(End);
}

AttemptEnd callUpstream(const std::string &Address,
                        const UpstreamRequest &Request,
                        const UpstreamLimits &Limits,
                        const UpstreamReceiver &Receiver,
                        CallCancellation *Cancellation) {
  const HostPort Target = splitAddress(Address);
  const auto Cancelled = [Cancellation] {
    return Cancellation != nullptr && Cancellation->cancelled();
  };
  http1::BlockingExchange Exchange;
  if (Cancellation != nullptr)
    Cancellation->setAction([&Exchange] { Exchange.interrupt(); });
  Relay Receiving(Receiver);
  const http1::BlockingEnd End =
      Cancelled()
          ? http1::BlockingEnd::Broken
          : Exchange.run({Target.Host, Target.Port, serialize(Address, Request),
                          Limits.ConnectTimeout, Limits.GapLimit,
                          Request.Method == "HEAD"},
                         Receiving);
  if (Cancellation != nullptr)
    Cancellation->setAction(nullptr);
  if (Receiving.refused())
    return AttemptEnd::Refused;
  if (End == http1::BlockingEnd::Complete)
    return AttemptEnd::Answered;
  if (Cancelled())
    return AttemptEnd::Cancelled;
  if (End == http1::BlockingEnd::NotConnected)
    return AttemptEnd::ConnectFailed;
  return End == http1::BlockingEnd::Silent ? AttemptEnd::Silent
                                           : AttemptEnd::ConnectionLost;
}

} // namespace mallowglade

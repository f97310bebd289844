#include <mallowglade/detail/router/upstream_call.hpp>

#include <mallowglade/settings.hpp>

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace mallowglade {

namespace {

constexpr int ServiceUnavailable = 503;

constexpr const char *LimitHeader = "Server-Limit";

/// Reads the limit of a response. A field that is no decimal number, or fields
/// that disagree, say nothing.
void parseLimit(const httplib::Response &Response, UpstreamHead &Head) {
  for (std::size_t Index = 0;
       Index < Response.get_header_value_count(LimitHeader); ++Index) {
    const std::string Text = Response.get_header_value(LimitHeader, Index);
    double Value = 0;
    const char *const End = Text.data() + Text.size();
    const auto [Rest, Failure] =
        std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
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

UpstreamHead parseHead(const httplib::Response &Response) {
  UpstreamHead Head;
  Head.Status = Response.status;
  Head.ContentType = Response.get_header_value("Content-Type");
  Head.Leaving = Response.get_header_value("X-Leaving") == "true";
  constexpr long long MaxRetryAfterSeconds = 3'600;
  Head.RetryAfterSeconds =
      std::clamp(std::strtoll(Response.get_header_value("Retry-After").c_str(),
                              nullptr, 10),
                 0LL, MaxRetryAfterSeconds);
  parseLimit(Response, Head);
  return Head;
}

httplib::Request makeRequest(const UpstreamRequest &Request) {
  httplib::Request Message;
  Message.method = Request.Method;
  Message.path = Request.Target;
  Message.body = Request.Body;
  for (const auto &[Name, Value] : Request.Headers)
    Message.set_header(Name, Value);
  return Message;
}

AttemptEnd classify(httplib::Error Failure, std::chrono::nanoseconds SinceByte,
                    Milliseconds GapLimit) {
  if (Failure == httplib::Error::Connection ||
      Failure == httplib::Error::ConnectionTimeout)
    return AttemptEnd::ConnectFailed;
  return SinceByte >= GapLimit ? AttemptEnd::Silent
                               : AttemptEnd::ConnectionLost;
}

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
  httplib::Client Client(Target.Host, Target.Port);
  Client.set_connection_timeout(Limits.ConnectTimeout);
  Client.set_read_timeout(Limits.GapLimit);
  Client.set_write_timeout(Limits.GapLimit);
  Client.set_tcp_nodelay(true);
  Client.set_decompress(false);
  auto LastByte = std::chrono::steady_clock::now();
  bool Refused = false;
  httplib::Request Message = makeRequest(Request);
  Message.response_handler = [&](const httplib::Response &Response) {
    LastByte = std::chrono::steady_clock::now();
    Refused = Response.status == ServiceUnavailable;
    Receiver.OnHead(parseHead(Response));
    return true;
  };
  Message.content_receiver = [&](const char *Data, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    LastByte = std::chrono::steady_clock::now();
    const bool Wanted = Refused || Receiver.OnBytes({Data, Size});
    return Wanted && (Cancellation == nullptr || !Cancellation->cancelled());
  };
  if (Cancellation != nullptr) {
    Cancellation->setAction([&Client] { Client.stop(); });
    if (Cancellation->cancelled()) {
      Cancellation->setAction(nullptr);
      return AttemptEnd::Cancelled;
    }
  }
  const httplib::Result Reply = Client.send(Message);
  if (Cancellation != nullptr)
    Cancellation->setAction(nullptr);
  if (Refused)
    return AttemptEnd::Refused;
  if (Reply)
    return AttemptEnd::Answered;
  if (Cancellation != nullptr && Cancellation->cancelled())
    return AttemptEnd::Cancelled;
  return classify(Reply.error(), std::chrono::steady_clock::now() - LastByte,
                  Limits.GapLimit);
}

} // namespace mallowglade

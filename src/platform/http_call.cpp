#include <mallowglade/detail/platform/http_call.hpp>

#include <mallowglade/http1.hpp>
#include <mallowglade/settings.hpp>

namespace mallowglade::detail {

namespace {

/// Collects a reply up to its maximum size.
class ReplyCollector final : public http1::BlockingReceiver {
public:
  void onHead(const http1::ResponseHead &Head) override {
    Status = Head.Status;
  }
  bool onBody(std::string_view Data) override {
    Body.append(Data);
    return Body.size() <= MaxHttpResponseBytes;
  }

  unsigned Status = 0;
  std::string Body;
};

std::string serialize(const HttpCall &Call) {
  std::string Message = Call.Method + " " + Call.Path + " HTTP/1.1\r\n";
  http1::appendField(Message, "Host", Call.Endpoint);
  http1::appendField(Message, "Content-Type", "application/json");
  http1::appendField(Message, "Content-Length",
                     std::to_string(Call.Body.size()));
  http1::appendField(Message, "Connection", "close");
  return Message + "\r\n" + Call.Body;
}

} // namespace

Result<std::string> callHttp(const HttpCall &Call) {
  const HostPort Address = splitAddress(Call.Endpoint);
  ReplyCollector Reply;
  http1::BlockingExchange Exchange;
  const http1::BlockingEnd End =
      Exchange.run({Address.Host, Address.Port, serialize(Call), Call.Timeout,
                    Call.Timeout, false},
                   Reply);
  if (End == http1::BlockingEnd::NotConnected)
    return Error{ErrorId::Unavailable, "no connection", Call.Endpoint};
  if (End != http1::BlockingEnd::Complete)
    return Error{ErrorId::Timeout,
                 End == http1::BlockingEnd::Silent ? "no reply"
                                                   : "broken reply",
                 Call.Endpoint};
  constexpr unsigned StatusOk = 200;
  if (Reply.Status != StatusOk)
    return Error{ErrorId::Unavailable, "status " + std::to_string(Reply.Status),
                 Call.Endpoint};
  return std::move(Reply.Body);
}

} // namespace mallowglade::detail

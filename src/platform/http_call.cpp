#include <mallowglade/detail/platform/http_call.hpp>

#include <mallowglade/settings.hpp>

#include <httplib.h>

namespace mallowglade::detail {

Result<std::string> callHttp(const HttpCall &Call) {
  const HostPort Address = splitAddress(Call.Endpoint);
  httplib::Client Client(Address.Host, Address.Port);
  Client.set_connection_timeout(Call.Timeout);
  Client.set_read_timeout(Call.Timeout);
  Client.set_write_timeout(Call.Timeout);
  Client.set_tcp_nodelay(true);
  httplib::Request Request;
  Request.method = Call.Method;
  Request.path = Call.Path;
  Request.body = Call.Body;
  Request.set_header("Content-Type", "application/json");
  std::string Body;
  Request.content_receiver = [&Body](const char *Data, std::size_t Size,
                                     std::uint64_t, std::uint64_t) {
    Body.append(Data, Size);
    return Body.size() <= MaxHttpResponseBytes;
  };
  const httplib::Result Reply = Client.send(Request);
  if (!Reply) {
    const bool NotSent = Reply.error() == httplib::Error::Connection ||
                         Reply.error() == httplib::Error::ConnectionTimeout;
    return Error{NotSent ? ErrorId::Unavailable : ErrorId::Timeout,
                 httplib::to_string(Reply.error()), Call.Endpoint};
  }
  if (Reply->status != 200)
    return Error{ErrorId::Unavailable,
                 "status " + std::to_string(Reply->status), Call.Endpoint};
  return Body;
}

} // namespace mallowglade::detail

#include <mallowglade/detail/platform/tcp_probe.hpp>

#include <mallowglade/settings.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace mallowglade::detail {

bool acceptsTcp(const std::string &Address, Milliseconds Limit) {
  const HostPort Target = splitAddress(Address);
  asio::error_code Failure;
  const auto Host = asio::ip::make_address(Target.Host, Failure);
  if (Failure)
    return false;
  asio::io_context Context(1);
  asio::ip::tcp::socket Socket(Context);
  bool Connected = false;
  Socket.async_connect(
      asio::ip::tcp::endpoint(Host, Target.Port),
      [&Connected](const asio::error_code &Outcome) { Connected = !Outcome; });
  Context.run_for(Limit);
  return Connected;
}

} // namespace mallowglade::detail

#include <mallowglade/detail/platform/tcp_probe.hpp>

#include <mallowglade/settings.hpp>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace mallowglade::detail {

namespace {

/// A connection that is closed with the object.
class Probe {
public:
  /// @return true if the connection was made within the limit
  bool connect(const std::string &Address, Milliseconds Limit) {
    const HostPort Target = splitAddress(Address);
    asio::error_code Failure;
    const auto Host = asio::ip::make_address(Target.Host, Failure);
    if (Failure)
      return false;
    bool Connected = false;
    Socket.async_connect(asio::ip::tcp::endpoint(Host, Target.Port),
                         [&Connected](const asio::error_code &Outcome) {
                           Connected = !Outcome;
                         });
    Context.run_for(Limit);
    return Connected;
  }

  /// @return true if the other end closes the connection within the time
  bool closesWithin(Milliseconds Hold) {
    bool Closed = false;
    char Byte = 0;
    Socket.async_read_some(
        asio::buffer(&Byte, 1),
        [&Closed](const asio::error_code &, std::size_t) { Closed = true; });
    Context.restart();
    Context.run_for(Hold);
    return Closed;
  }

private:
  asio::io_context Context{1};
  asio::ip::tcp::socket Socket{Context};
};

} // namespace

bool acceptsTcp(const std::string &Address, Milliseconds Limit) {
  return Probe().connect(Address, Limit);
}

bool keepsTcpOpen(const std::string &Address, Milliseconds Limit,
                  Milliseconds Hold) {
  Probe Connection;
  return Connection.connect(Address, Limit) && !Connection.closesWithin(Hold);
}

} // namespace mallowglade::detail

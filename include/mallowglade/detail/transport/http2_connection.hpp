#pragma once

#include <mallowglade/detail/transport/http2_peers.hpp>
#include <mallowglade/detail/transport/message_seal.hpp>

#include <asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mallowglade::detail {

/// @brief What all connections of one router share.
struct PeerShared {
  PeerShared(asio::io_context &Context, const Clock &Time,
             Http2PeersOptions Options)
      : Context(Context), Time(Time), Options(std::move(Options)),
        Seal(this->Options.FleetKey) {}

  asio::io_context &Context;
  const Clock &Time;
  Http2PeersOptions Options;
  MessageSeal Seal;
  PeerTraffic Traffic;
  std::map<std::string, PeerNetwork::Handler, std::less<>> Handlers;
  /// One buffer for all connections, since only one is read at a time.
  std::array<std::uint8_t, 16'384> ReadBuffer{};
};

/// @brief Parses a numeric address.
/// @param Address `ip:port` or `[ip]:port`
/// @return the endpoint, or `settings.invalid_address`
Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Address);

/// @brief A socket that carries one HTTP/2 session.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
  virtual ~Http2Connection();
  Http2Connection(const Http2Connection &) = delete;
  Http2Connection &operator=(const Http2Connection &) = delete;

  /// @brief Closes the socket and tells the derived class once.
  void close();
  bool closed() const { return Closed; }
  /// @return time of the last received byte, or of the connection's start
  TimePoint lastReceived() const { return LastReceived; }

protected:
  Http2Connection(std::shared_ptr<PeerShared> Shared,
                  asio::ip::tcp::socket Socket);

  /// @brief Creates the session once the socket is connected.
  void open(bool IsClient);
  /// @brief Writes what the session has to send, after the current task.
  void flushSoon();
  /// @return true if what the session has to send may wait
  virtual bool maySendLater() const { return false; }
  /// @brief Called once when the connection ends.
  virtual void onClosed() = 0;
  virtual void onHeader(std::int32_t Stream, std::string_view Name,
                        std::string_view Value) = 0;
  virtual void onData(std::int32_t Stream, std::string_view Bytes) = 0;
  virtual void onFrame(const nghttp2_frame &Frame) = 0;
  virtual void onStreamClosed(std::int32_t Stream) = 0;

  std::shared_ptr<PeerShared> Shared;
  asio::ip::tcp::socket Socket;
  nghttp2_session *Session = nullptr;

private:
  friend struct SessionCallbacks;
  void submitSettings();
  void waitForBytes();
  void readBytes();
  void write();

  std::string Outgoing;
  TimePoint LastReceived;
  bool FlushPosted = false;
  bool Writing = false;
  bool Closed = false;
};

} // namespace mallowglade::detail

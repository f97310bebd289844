#pragma once

#include <mallowglade/detail/transport/http2_connection.hpp>

namespace mallowglade::detail {

/// @brief The server side of a connection: receives messages.
class IncomingConnection final : public Http2Connection {
public:
  IncomingConnection(std::shared_ptr<PeerShared> Shared,
                     asio::ip::tcp::socket Socket);
  /// @brief Starts the session.
  /// @param OnEnded called once when the connection has ended
  void start(std::function<void()> OnEnded);
  /// @brief Sends replies that have waited long enough.
  void sendDueReplies(TimePoint Now);

private:
  struct Request {
    std::string Path;
    std::string Sender;
    std::string Start;
    std::string Sealed;
    bool TooLarge = false;
    bool Answered = false;
  };

  bool maySendLater() const override { return true; }
  void sendNow();
  void onClosed() override;
  void onHeader(std::int32_t Stream, std::string_view Name,
                std::string_view Value) override;
  void onData(std::int32_t Stream, std::string_view Bytes) override;
  void onFrame(const nghttp2_frame &Frame) override;
  void onStreamClosed(std::int32_t Stream) override;
  void complete(std::int32_t Stream, Request &Received);
  /// Checks and delivers a message; returns the status of the reply.
  std::string_view deliver(const Request &Received);
  void reply(std::int32_t Stream, std::string_view Status);

  std::function<void()> Ended;
  std::map<std::int32_t, Request> Requests;
  std::size_t BufferedBytes = 0;
  /// Replies submitted since the last flush, and when the first one was.
  std::size_t WaitingReplies = 0;
  TimePoint FirstReply;
  std::size_t BytesSinceFlush = 0;
};

} // namespace mallowglade::detail

#pragma once

#include <mallowglade/detail/transport/http2_connection.hpp>

#include <deque>
#include <optional>

namespace mallowglade::detail {

/// @brief A message on its way to a peer.
struct OutgoingMessage {
  std::string Type;
  /// Authentication code and body.
  std::string Sealed;
  TimePoint Queued;
};

/// @brief The client side of a connection to one peer.
class ClientConnection final : public Http2Connection {
public:
  ClientConnection(const std::shared_ptr<PeerShared> &Shared, RouterId To);

  /// @brief Connects; calls back once connected or closed.
  /// @param Opened called when messages can be submitted
  /// @param Ended called once when the connection has ended
  void connect(std::function<void()> Opened, std::function<void()> Ended);
  /// @brief Sends one message.
  void submit(OutgoingMessage Message);
  /// @brief Called when a message was answered or lost.
  std::function<void()> Answered;
  /// @brief Sends a PING if one is due; closes if the last got no answer.
  /// @param InUse true if the connection was used lately
  void checkAlive(TimePoint Now, bool InUse);
  bool opened() const { return Session != nullptr && !closed(); }
  std::size_t unansweredCount() const { return Unanswered.size(); }
  std::size_t unansweredBytes() const { return UnansweredBytes; }

private:
  struct Body {
    std::string Bytes;
    std::size_t Sent = 0;
  };

  bool bindSource();
  void onClosed() override;
  void onHeader(std::int32_t Stream, std::string_view Name,
                std::string_view Value) override;
  void onData(std::int32_t Stream, std::string_view Bytes) override;
  void onFrame(const nghttp2_frame &Frame) override;
  void onStreamClosed(std::int32_t Stream) override;
  static ssize_t readBody(nghttp2_session *Session, std::int32_t Stream,
                          std::uint8_t *Target, std::size_t Size,
                          std::uint32_t *Flags, nghttp2_data_source *Source,
                          void *User);

  RouterId To;
  TimePoint Started;
  std::string StartText;
  std::function<void()> Opened;
  std::function<void()> Ended;
  std::map<std::int32_t, Body> Unanswered;
  std::size_t UnansweredBytes = 0;
  std::optional<TimePoint> PingSent;
  TimePoint LastPing;
};

/// @brief Messages to one peer: a queue and at most one connection.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink> {
public:
  OutgoingLink(std::shared_ptr<PeerShared> Shared, RouterId To);

  /// @brief Queues a message and connects if necessary.
  /// @param Sealed message with its authentication code
  void send(std::string_view Type, std::string Sealed);
  /// @brief Drops outdated messages, checks the connection, reconnects.
  void tick(TimePoint Now);
  /// @brief Closes the connection and drops all messages.
  void close();
  /// @return true if the link has neither messages nor a recent use
  bool disposable(TimePoint Now) const;
  /// @return true if messages wait or are unanswered
  bool busy() const;
  bool connected() const;
  /// @return true if a connection is open or being opened
  bool hasConnection() const { return Connection != nullptr; }
  TimePoint lastUsed() const { return LastUsed; }

private:
  void connect();
  void onEnded(bool WasOpened);
  void submitQueued();
  void trimQueue();

  std::shared_ptr<PeerShared> Shared;
  RouterId To;
  std::shared_ptr<ClientConnection> Connection;
  std::deque<OutgoingMessage> Queue;
  std::size_t QueuedBytes = 0;
  TimePoint LastUsed;
  TimePoint NextConnect;
  Milliseconds Backoff{};
};

} // namespace mallowglade::detail

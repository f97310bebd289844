#pragma once

#include <mallowglade/detail/http1/message_parser.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

/// @brief How an exchange with an upstream ended early.
enum class ExchangeFailure {
  /// No connection could be made; nothing was sent.
  NotConnected,
  /// A kept connection had been closed before the first byte was sent.
  ClosedBeforeUse,
  /// The connection ended after bytes were sent.
  Interrupted,
  /// The bytes received are no valid answer.
  Malformed,
};

/// @brief Receives the answer to one request; all calls on one executor.
class ExchangeObserver {
public:
  virtual ~ExchangeObserver() = default;
  /// @brief The head of the answer arrived.
  virtual void onResponseHead(ResponseHead &Head) = 0;
  /// @brief Bytes of the body arrived.
  virtual void onResponseBody(std::string_view Data) = 0;
  /// @brief The answer is complete.
  virtual void onResponseEnd() = 0;
  /// @brief No complete answer will come.
  virtual void onExchangeFailed(ExchangeFailure Failure) = 0;
};

/// @brief Timeouts of an upstream connection.
struct UpstreamTimeouts {
  std::chrono::milliseconds Connect{};
  /// How long sent bytes may stay unacknowledged.
  std::chrono::milliseconds Unacknowledged{};
};

/// @brief A keep-alive connection to an upstream; one request at a time.
class UpstreamConnection final
    : public std::enable_shared_from_this<UpstreamConnection>,
      private MessageSink {
public:
  /// @param AttemptHeader name of the header that identifies a request; an
  ///   answer that carries another value belongs to an earlier request
  UpstreamConnection(asio::io_context &Context,
                     const asio::ip::tcp::endpoint &Address,
                     std::string AttemptHeader, UpstreamTimeouts Timeouts);

  /// @brief Sends a request; the connection is made first if necessary.
  /// @param Message head and body as they go on the wire
  /// @param AttemptId value that the answer has to carry
  /// @param NoBody true if the answer to this method has no body
  /// @param Observer receives the answer; kept until the exchange ends
  void send(std::string Message, std::string AttemptId, bool NoBody,
            std::shared_ptr<ExchangeObserver> Observer);
  /// @brief Ends the exchange and closes the connection.
  void cancel();
  /// @brief Stops reading, for back-pressure.
  void pause();
  /// @brief Goes on reading.
  void resume();
  /// @brief Calls back once if an idle connection closes.
  void watchIdle(std::function<void()> OnClosed);

  /// @return true if another request may be sent now
  bool reusable() const;
  /// @return time since the last answer ended
  std::chrono::steady_clock::time_point idleSince() const { return IdleSince; }
  /// @return idle limit that the upstream announced, or zero
  std::chrono::seconds idleLimit() const { return IdleLimit; }
  bool used() const { return Requests > 0; }

private:
  void onHead() override;
  void onBody(std::string_view Data) override;
  void connect();
  void onConnected(std::error_code Error);
  void writeRequest();
  void read();
  void onReadable(std::error_code Error);
  void consume(std::string_view Data);
  void onEnd(std::error_code Error);
  void messageComplete();
  void fail(ExchangeFailure Failure);
  void closeSocket();

  asio::ip::tcp::endpoint Address;
  std::string AttemptHeader;
  UpstreamTimeouts Timeouts;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  MessageParser Parser;
  std::shared_ptr<ExchangeObserver> Observer;
  std::function<void()> OnClosed;
  std::string Message;
  std::string AttemptId;
  std::string Held;
  std::chrono::steady_clock::time_point IdleSince{};
  std::chrono::seconds IdleLimit{0};
  unsigned Requests = 0;
  bool Connected = false;
  bool Closed = false;
  bool Reading = false;
  bool Paused = false;
  bool Written = false;
  bool AnyByteSent = false;
  /// The answer being read belongs to an earlier request.
  bool Foreign = false;
  bool KeepAlive = true;
  bool NoBody = false;
};

} // namespace mallowglade::http1

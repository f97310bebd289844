#pragma once

#include <mallowglade/detail/http1/message_parser.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

/// @brief Reason why an exchange with an upstream failed.
enum class ExchangeFailure {
  /// The connection could not be established; nothing was sent.
  NotConnected,
  /// The observer did not want the request to be sent any more; nothing was
  /// sent.
  Withdrawn,
  /// A reused connection was closed, or had bytes that belong to no request,
  /// before the first byte was sent.
  ClosedBeforeUse,
  /// The connection was closed after the request may have been sent.
  Interrupted,
  /// The same, but because the peer or the network did not respond.
  Unresponsive,
  /// The bytes received are not a valid response, or too few of them belong to
  /// its body.
  Malformed,
};

/// @brief Receives the response to a request; all calls on one executor.
class ExchangeObserver {
public:
  virtual ~ExchangeObserver() = default;
  /// @brief Called when a new connection was established, before the request is
  ///   sent on it.
  /// @return false to withdraw the request
  virtual bool maySend() { return true; }
  /// @brief Called for the head of a response that does not name its request,
  /// on
  ///   a connection that has carried earlier requests.
  /// @return false if the response may belong to another request; it is
  ///   skipped, and the one after it may be the response
  virtual bool acceptsUnidentified(const ResponseHead &) { return true; }
  /// @brief Called when the head of the response was received.
  virtual void onResponseHead(ResponseHead &Head) = 0;
  /// @brief Called when bytes of the body were received.
  virtual void onResponseBody(std::string_view Data) = 0;
  /// @brief Called when the response is complete.
  virtual void onResponseEnd() = 0;
  /// @brief Called when the exchange failed without a complete response.
  virtual void onExchangeFailed(ExchangeFailure Failure) = 0;
};

/// @brief Timeouts of an upstream connection.
struct UpstreamTimeouts {
  std::chrono::milliseconds Connect{};
  /// Maximum time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
  std::chrono::milliseconds Unacknowledged{};
};

/// @brief Keep-alive connection to an upstream; one request at a time.
class UpstreamConnection final
    : public std::enable_shared_from_this<UpstreamConnection>,
      private MessageSink {
public:
  /// @param AttemptHeader name of the header that identifies a request; a
  ///   response with another value belongs to an earlier request
  UpstreamConnection(asio::io_context &Context,
                     const asio::ip::tcp::endpoint &Address,
                     std::string AttemptHeader, UpstreamTimeouts Timeouts);

  /// @brief Sends a request; connects first if necessary.
  /// @param Message serialized head and body
  /// @param AttemptId expected value of the attempt header in the response
  /// @param NoBody true if the response to this method has no body
  /// @param Observer receives the response; held until the exchange ends
  void send(std::string Message, std::string AttemptId, bool NoBody,
            std::shared_ptr<ExchangeObserver> Observer);
  /// @brief Closes the connection without notifying the observer.
  void cancel();
  /// @brief Stops reading to apply back-pressure.
  void pause();
  /// @brief Resumes reading.
  void resume();
  /// @brief Registers a callback for when the idle connection closes; called at
  ///   most once and dropped by `send`.
  void notifyOnIdleClose(std::function<void()> OnClosed);

  /// @return true if another request can be sent now
  bool reusable() const;
  /// @return time at which the last response ended
  std::chrono::steady_clock::time_point idleSince() const { return IdleSince; }
  /// @return idle timeout announced by the upstream, or zero
  std::chrono::seconds idleLimit() const { return IdleLimit; }
  bool used() const { return RequestCount > 0; }

private:
  void onHead() override;
  void onBody(std::string_view Data) override;
  void connect();
  void onConnected(std::error_code Error);
  /// @return true if the connection was closed or has bytes to read
  bool hasUnreadInput();
  void writeRequest();
  void read();
  void onReadable(std::error_code Error);
  void consume(std::string_view Data);
  void onEnd(std::error_code Error);
  /// @return true if more was received than heads, framing and responses to
  ///   earlier requests may take
  bool tooMuchOverhead() const;
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
  /// Bytes received since the request was sent, and those of them that belong
  /// to the body of its response.
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t BodyBytes = 0;
  unsigned RequestCount = 0;
  bool Connected = false;
  bool Closed = false;
  bool ReadPending = false;
  bool Paused = false;
  bool RequestWritten = false;
  bool AnyByteSent = false;
  /// The response being read belongs to an earlier request, or to none.
  bool StaleResponse = false;
  bool KeepAlive = true;
  bool NoBody = false;
};

} // namespace mallowglade::http1

#pragma once

#include <mallowglade/detail/http1/message.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade::http1 {

/// @brief A request and the limits of its exchange.
struct BlockingCall {
  /// Numeric address.
  std::string Host;
  std::uint16_t Port = 0;
  /// Serialized head and body.
  std::string Message;
  std::chrono::milliseconds ConnectTimeout{};
  /// Longest silence of the connection.
  std::chrono::milliseconds SilenceLimit{};
  /// True if the response to this method has no body.
  bool WithoutBody = false;
};

/// @brief Receives a response, on the calling thread.
class BlockingReceiver {
public:
  virtual ~BlockingReceiver() = default;
  /// @brief Called when the head of the response is complete.
  virtual void onHead(const ResponseHead &Head) = 0;
  /// @brief Called when bytes of the body were received.
  /// @return false if no more bytes are wanted
  virtual bool onBody(std::string_view Data) = 0;
};

/// @brief How an exchange ended.
enum class BlockingEnd {
  /// The response is complete.
  Complete,
  /// No connection was made; nothing was sent.
  NotConnected,
  /// The connection ended, the bytes are no response or too many of them belong
  /// to no body, or the receiver wanted no more.
  Broken,
  /// Nothing was received within the silence limit.
  Silent,
};

/// @brief One HTTP exchange on a connection of its own, on the calling thread.
///
/// The head of the response and all that is no part of its body are bounded,
/// which the clients of HTTP libraries leave to their users.
class BlockingExchange {
public:
  BlockingExchange() = default;
  ~BlockingExchange();
  BlockingExchange(const BlockingExchange &) = delete;
  BlockingExchange &operator=(const BlockingExchange &) = delete;

  /// @brief Sends the request and waits for the end of the response.
  BlockingEnd run(const BlockingCall &Call, BlockingReceiver &Receiver);
  /// @brief Ends a running exchange from another thread, and a later one.
  void interrupt();

private:
  bool connect(const BlockingCall &Call);
  bool send(std::string_view Bytes, std::chrono::milliseconds Limit) const;
  /// @return number of bytes, 0 at an orderly end, or -1 after a failure or if
  ///   nothing arrived in time
  std::int64_t receive(char *Bytes, std::size_t Size,
                       std::chrono::milliseconds Limit) const;
  bool waitFor(short Events, std::chrono::milliseconds Limit) const;

  std::atomic<int> Socket{-1};
  std::atomic<bool> Interrupted{false};
};

} // namespace mallowglade::http1

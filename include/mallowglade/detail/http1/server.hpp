#pragma once

#include <mallowglade/detail/http1/message_parser.hpp>
#include <mallowglade/detail/http1/server_exchange.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_set>

namespace mallowglade::http1 {

/// @brief Bounds on callers' connections; may change while the server runs.
struct ServerLimits {
  std::size_t MaxHeadBytes = 0;
  std::size_t MaxBodyBytes = 0;
  /// Longest time from the first byte of a request to its last.
  std::chrono::milliseconds ReadTimeout{};
  /// Longest time without a request on an open connection.
  std::chrono::milliseconds IdleTimeout{};
  std::size_t MaxConnections = 0;
  /// Connections above which idle ones are closed, oldest first, and answers
  /// end their connection.
  std::size_t CrowdedConnections = 0;
  /// Most bytes of request bodies held by all connections.
  std::size_t MaxBufferedBytes = 0;
};

/// @brief Counts kept by a server.
struct ServerCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t RefusedConnections = 0;
  std::uint64_t MalformedRequests = 0;
  std::uint64_t CallersGone = 0;
};

/// @brief Receives the requests of a server.
using RequestHandler = std::function<void(std::shared_ptr<ServerExchange>)>;

class Http1Server;

/// @brief One connection of a caller; serves one request at a time.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection>,
      private MessageSink {
public:
  ServerConnection(asio::ip::tcp::socket Socket, Http1Server &Server);
  ~ServerConnection() override;

  void start();
  /// @brief Closes an idle connection now and a busy one after its answer.
  void drain();
  /// @brief Closes the connection at once.
  void close();
  bool idle() const { return !Current && !Parser.started(); }

private:
  friend class ServerExchange;

  void onHead() override;
  void onBody(std::string_view Data) override;
  void read();
  void consume();
  void dispatch();
  void reject(unsigned Status);
  void onEndOfInput();
  void closeAfterReading();
  void answerDone();
  void write(std::string_view Data);
  void flush();
  void onWritten(std::error_code Error, std::size_t Size);
  void armTimer(std::chrono::milliseconds Delay);
  void onTimer();
  void releaseBody();
  void markIdle();
  void markBusy();
  std::string headOf(unsigned Status, const HeaderList &Fields) const;

  asio::ip::tcp::socket Socket;
  Http1Server &Server;
  MessageParser Parser;
  asio::steady_timer Timer;
  std::shared_ptr<ServerExchange> Current;
  std::shared_ptr<ServerExchange> Incoming;
  std::string Input;
  std::string Output;
  std::string Sending;
  std::size_t BufferedBody = 0;
  std::optional<std::list<ServerConnection *>::iterator> IdlePlace;
  bool Reading = false;
  bool Closed = false;
  bool CloseAfter = false;
  bool InputEnded = false;
  bool Discarding = false;
};

/// @brief Accepts callers and hands their requests to a handler.
///
/// Runs on one executor; no member may be called from another thread.
class Http1Server {
public:
  /// @param Address where to listen
  /// @param Limits bounds; `setLimits` replaces them
  /// @param Handler receives each complete request
  Http1Server(asio::io_context &Context, const asio::ip::tcp::endpoint &Address,
              ServerLimits Limits, RequestHandler Handler);
  ~Http1Server();

  /// @brief Starts to listen.
  /// @return the error of the operating system, if any
  std::error_code listen();
  void setLimits(const ServerLimits &Next) { Limits = Next; }
  /// @brief Tells every caller to leave once its answer is complete.
  void drain();
  /// @brief Closes connections without a request.
  void closeIdle();
  /// @brief Closes the listening socket.
  void stopListening();
  std::size_t connections() const { return Open.size(); }
  /// @return number of requests being read or answered
  std::size_t busyConnections() const;
  const ServerCounters &counters() const { return Counters; }

private:
  friend class ServerConnection;
  void accept();
  std::error_code acceptWaiting();
  bool crowded() const { return Open.size() > Limits.CrowdedConnections; }
  void closeOldestIdle();

  asio::io_context &Context;
  asio::ip::tcp::endpoint Address;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  ServerLimits Limits;
  RequestHandler Handler;
  ServerCounters Counters;
  std::unordered_set<ServerConnection *> Open;
  /// Connections without a request, the longest idle first.
  std::list<ServerConnection *> Idle;
  std::size_t BufferedBytes = 0;
  bool Draining = false;
};

} // namespace mallowglade::http1

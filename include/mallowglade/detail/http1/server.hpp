#pragma once

#include <mallowglade/detail/http1/message_parser.hpp>
#include <mallowglade/detail/http1/server_exchange.hpp>
#include <mallowglade/detail/http1/unsent_budget.hpp>

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

/// @brief Limits on client connections; may change while the server runs.
struct ServerLimits {
  std::size_t MaxHeadBytes = 0;
  std::size_t MaxBodyBytes = 0;
  /// Maximum time from the first to the last byte of a request.
  std::chrono::milliseconds ReadTimeout{};
  /// Maximum time without a request on an open connection.
  std::chrono::milliseconds IdleTimeout{};
  std::size_t MaxConnections = 0;
  /// Soft limit. Above it, each accepted connection closes the one that has
  /// been idle longest, and responses close their connection.
  std::size_t SoftMaxConnections = 0;
  /// Maximum total size of the request bodies buffered by all connections.
  std::size_t MaxBufferedBytes = 0;
  /// Maximum total size of the output that clients have not taken; above it,
  /// those with the most are disconnected. 0: no bound.
  std::size_t MaxUnsentBytes = 0;
};

/// @brief Event counters of a server.
struct ServerCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t RefusedConnections = 0;
  std::uint64_t MalformedRequests = 0;
  std::uint64_t ClientDisconnects = 0;
  /// Clients disconnected because of `MaxUnsentBytes`.
  std::uint64_t SlowClients = 0;
};

/// @brief Called with each complete request.
using RequestHandler = std::function<void(std::shared_ptr<ServerExchange>)>;

class Http1Server;

/// @brief Client connection that serves one request at a time.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection>,
      private MessageSink {
public:
  /// @param ClientAddress address that the client connected from
  ServerConnection(asio::ip::tcp::socket Socket,
                   asio::ip::address ClientAddress, Http1Server &Server);
  ~ServerConnection() override;

  void start();
  /// @brief Closes the connection now if it is idle, otherwise after the
  ///   current response. A request that has arrived and was not read yet is
  ///   answered first.
  void drain();
  /// @brief Closes the connection immediately.
  void close();
  /// @return true if no request is received or processed and all output was
  ///   passed to the operating system
  bool idle() const {
    return !ActiveExchange && !Parser.started() && QueuedOutput.empty() &&
           WriteBuffer.empty();
  }

private:
  friend class ServerExchange;

  void onHead() override;
  void onBody(std::string_view Data) override;
  void read();
  /// @brief Holds the connection while nothing is read from it, and closes it
  ///   if the peer resets it.
  void waitForError();
  void consume();
  void dispatch();
  void reject(unsigned Status);
  void onEndOfInput();
  void startLingeringClose();
  void onResponseComplete();
  void write(std::string_view Data);
  void flush();
  void onWritten(std::error_code Error, std::size_t Size);
  /// @brief Tells the server how much output the client has not taken.
  void recordUnsent();
  void startTimer(std::chrono::milliseconds Delay);
  void onTimer();
  void releaseBody();
  /// @brief Decides whether closing the connection now resets it.
  void setResetOnClose(bool Reset);
  /// @brief Closes the connection after a complete response.
  void closeCompleted();
  /// @return true if bytes have arrived that were not read
  bool hasUnreadInput();
  void markIdle();
  void markBusy();
  std::string formatHead(unsigned Status, const HeaderList &Fields) const;

  asio::ip::tcp::socket Socket;
  asio::ip::address ClientAddress;
  Http1Server &Server;
  MessageParser Parser;
  asio::steady_timer Timer;
  std::shared_ptr<ServerExchange> ActiveExchange;
  std::shared_ptr<ServerExchange> PendingExchange;
  std::string InputBuffer;
  std::string QueuedOutput;
  std::string WriteBuffer;
  std::size_t BufferedBodyBytes = 0;
  std::optional<std::list<ServerConnection *>::iterator> IdlePosition;
  bool ReadPending = false;
  bool ErrorWaitPending = false;
  bool Closed = false;
  bool CloseAfterResponse = false;
  bool InputEnded = false;
  bool DiscardingInput = false;
  bool ResetsOnClose = false;
  /// True while the server counts output of this connection.
  bool CountedUnsent = false;
};

/// @brief HTTP/1 server that passes each complete request to a handler.
///
/// Not thread-safe: all members must be called on the thread of the context.
class Http1Server {
public:
  /// @param Address address to listen on
  /// @param Limits initial limits; `setLimits` replaces them
  /// @param Handler receives each complete request
  Http1Server(asio::io_context &Context, const asio::ip::tcp::endpoint &Address,
              ServerLimits Limits, RequestHandler Handler);
  ~Http1Server();

  /// @brief Starts listening.
  /// @return the system error, if any
  std::error_code listen();
  void setLimits(const ServerLimits &Next) { Limits = Next; }
  /// @brief Closes each connection after the response to its next request.
  void drain();
  /// @brief Closes all idle connections.
  void closeIdle();
  /// @brief Closes the listening socket and all connections at once.
  void closeAll();
  /// @brief Accepts the connections that wait, as their requests may have been
  ///   sent already, and closes the listening socket. Until `listen` is called
  ///   again, the operating system refuses new connections.
  void stopListening();
  /// @brief Closes the listening socket at once. The operating system resets
  ///   the connections that wait; no byte of them was read, so that their
  ///   clients may repeat any request elsewhere without delay.
  void pauseListening();
  /// @return true while the listening socket is open
  bool listening() const { return Acceptor.is_open(); }
  std::size_t connections() const { return OpenConnections.size(); }
  /// @return number of connections on which a request is received or processed
  ///   or a response is not yet sent in full
  std::size_t busyConnections() const;
  const ServerCounters &counters() const { return Counters; }
  /// @return bytes of output that clients have not taken
  std::size_t unsentBytes() const { return Unsent.total(); }

private:
  friend class ServerConnection;
  void accept();
  std::error_code acceptPending();
  bool aboveSoftLimit() const {
    return OpenConnections.size() > Limits.SoftMaxConnections;
  }
  void closeOldestIdle();
  /// @brief Disconnects clients until the rest is within `MaxUnsentBytes`.
  void endSlowClients();

  asio::io_context &Context;
  asio::ip::tcp::endpoint Address;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  ServerLimits Limits;
  RequestHandler Handler;
  ServerCounters Counters;
  std::unordered_set<ServerConnection *> OpenConnections;
  /// Connections without a request, ordered by the start of their idle time.
  std::list<ServerConnection *> IdleConnections;
  std::size_t BufferedBytes = 0;
  UnsentBudget<ServerConnection> Unsent;
  /// True while a wait for connections is outstanding.
  bool AcceptPending = false;
  bool Draining = false;
};

} // namespace mallowglade::http1

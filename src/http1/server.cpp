#include <mallowglade/detail/http1/server.hpp>

#include <asio/io_context.hpp>

#include <vector>

namespace mallowglade::http1 {

namespace {

constexpr int ListenBacklog = 1'024;
constexpr int MaxAcceptsPerWakeup = 64;
/// Delay before the next `accept` after one failed, for example for lack of
/// file descriptors or memory.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

Http1Server::Http1Server(asio::io_context &Context,
                         const asio::ip::tcp::endpoint &Address,
                         ServerLimits Limits, RequestHandler Handler)
    : Context(Context), Address(Address), Acceptor(Context),
      RetryTimer(Context), Limits(Limits), Handler(std::move(Handler)) {}

Http1Server::~Http1Server() { closeAll(); }

void Http1Server::endSlowClients() {
  while (Limits.MaxUnsentBytes > 0) {
    ServerConnection *Slow = Unsent.takeExcess(Limits.MaxUnsentBytes);
    if (Slow == nullptr)
      return;
    ++Counters.SlowClients;
    // The caller of this function may be in the middle of a response.
    asio::post(Context, [Weak = Slow->weak_from_this()] {
      if (const auto Connection = Weak.lock())
        Connection->close();
    });
  }
}

void Http1Server::closeAll() {
  pauseListening();
  const std::vector<ServerConnection *> Connections(OpenConnections.begin(),
                                                    OpenConnections.end());
  for (ServerConnection *Connection : Connections)
    Connection->close();
}

std::error_code Http1Server::listen() {
  std::error_code Error;
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.non_blocking(true, Error);
  if (!Error)
    Acceptor.listen(ListenBacklog, Error);
  if (Error)
    pauseListening();
  else
    accept();
  return Error;
}

void Http1Server::accept() {
  if (AcceptPending)
    return;
  AcceptPending = true;
  Acceptor.async_wait(
      asio::ip::tcp::acceptor::wait_read, [this](std::error_code Error) {
        // The server may have been destroyed.
        if (Error == asio::error::operation_aborted)
          return;
        AcceptPending = false;
        if (!Acceptor.is_open())
          return;
        const std::error_code AcceptError = acceptPending();
        if (!AcceptError || AcceptError == asio::error::would_block) {
          accept();
          return;
        }
        RetryTimer.expires_after(AcceptRetryDelay);
        RetryTimer.async_wait([this](std::error_code TimerError) {
          if (!TimerError && Acceptor.is_open())
            accept();
        });
      });
}

std::error_code Http1Server::acceptPending() {
  // Accepting a single connection per iteration of a busy event loop would
  // overflow the listen backlog.
  for (int Count = 0; Count < MaxAcceptsPerWakeup; ++Count) {
    std::error_code Error;
    asio::ip::tcp::socket Socket(Context);
    asio::ip::tcp::endpoint Client;
    Acceptor.accept(Socket, Client, Error);
    if (Error == asio::error::connection_aborted)
      continue;
    if (Error)
      return Error;
    if (OpenConnections.size() >= Limits.MaxConnections) {
      ++Counters.RefusedConnections;
      continue;
    }
    ++Counters.Accepted;
    if (aboveSoftLimit())
      closeOldestIdle();
    std::make_shared<ServerConnection>(std::move(Socket), Client.address(),
                                       *this)
        ->start();
  }
  return {};
}

void Http1Server::closeOldestIdle() {
  if (IdleConnections.empty())
    return;
  ServerConnection *Oldest = IdleConnections.front();
  Oldest->drain();
}

void Http1Server::drain() { Draining = true; }

void Http1Server::closeIdle() {
  const std::vector<ServerConnection *> Connections(OpenConnections.begin(),
                                                    OpenConnections.end());
  for (ServerConnection *Connection : Connections)
    if (Connection->idle())
      Connection->drain();
}

void Http1Server::stopListening() {
  // Closing the socket resets connections that were not accepted.
  constexpr int MaxBatches = ListenBacklog / MaxAcceptsPerWakeup;
  for (int Batch = 0; Batch < MaxBatches && Acceptor.is_open(); ++Batch)
    if (acceptPending())
      break;
  pauseListening();
}

void Http1Server::pauseListening() {
  std::error_code Ignored;
  Acceptor.close(Ignored);
  RetryTimer.cancel();
  AcceptPending = false;
}

std::size_t Http1Server::busyConnections() const {
  std::size_t Busy = 0;
  for (const ServerConnection *Connection : OpenConnections)
    if (!Connection->idle())
      ++Busy;
  return Busy;
}

} // namespace mallowglade::http1

#include <mallowglade/detail/http1/server.hpp>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <sys/socket.h>

#include <array>

namespace mallowglade::http1 {

namespace {

constexpr std::size_t RequestReadBytes = 16'384;
/// Number of unsent bytes at or below which a paused producer is resumed.
constexpr std::size_t LowWaterBytes = 16'384;
/// Maximum number of pipelined bytes read while a request is being processed.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// Maximum time to discard input after an error response, before the
/// connection is closed.
constexpr std::chrono::milliseconds LingerTimeout{1'000};

bool hasNoBody(std::string_view Method, unsigned Status) {
  return Method == "HEAD" || Status == 204 || Status == 304;
}

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket ClientSocket,
                                   asio::ip::address ClientAddress,
                                   Http1Server &Server)
    : Socket(std::move(ClientSocket)), ClientAddress(std::move(ClientAddress)),
      Server(Server), Parser(HTTP_REQUEST, Server.Limits.MaxHeadBytes, *this),
      Timer(Socket.get_executor()) {
  Server.OpenConnections.insert(this);
}

ServerConnection::~ServerConnection() {
  if (Closed)
    return;
  releaseBody();
  markBusy();
  Server.Unsent.record(this, 0);
  Server.OpenConnections.erase(this);
}

void ServerConnection::markIdle() {
  if (!IdlePosition && !Closed)
    IdlePosition =
        Server.IdleConnections.insert(Server.IdleConnections.end(), this);
}

void ServerConnection::markBusy() {
  if (!IdlePosition)
    return;
  Server.IdleConnections.erase(*IdlePosition);
  IdlePosition.reset();
}

void ServerConnection::start() {
  std::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  startTimer(Server.Limits.IdleTimeout);
  markIdle();
  read();
}

void ServerConnection::close() {
  if (Closed)
    return;
  Closed = true;
  // Pending operations may hold a closed connection for longer than the server
  // exists.
  releaseBody();
  markBusy();
  Server.Unsent.record(this, 0);
  Server.OpenConnections.erase(this);
  Timer.cancel();
  std::error_code Ignored;
  Socket.close(Ignored);
  if (ActiveExchange) {
    const auto Exchange = std::move(ActiveExchange);
    const auto Notify = std::move(Exchange->OnDisconnected);
    Exchange->OnDrained = nullptr;
    Exchange->OnDisconnected = nullptr;
    if (Notify)
      Notify();
  }
}

void ServerConnection::setResetOnClose(bool Reset) {
  if (ResetsOnClose == Reset)
    return;
  ResetsOnClose = Reset;
  // With a linger time of zero, the operating system resets the connection when
  // the socket is closed, also when it closes those of a process that ended.
  const linger Option{Reset ? 1 : 0, 0};
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_LINGER, &Option,
               sizeof(Option));
}

void ServerConnection::closeCompleted() {
  if (!Closed)
    setResetOnClose(false);
  close();
}

void ServerConnection::drain() {
  CloseAfterResponse = true;
  if (!idle())
    return;
  if (!hasUnreadInput()) {
    close();
    return;
  }
  // The others are asked to close before this one is asked again.
  markBusy();
  markIdle();
}

bool ServerConnection::hasUnreadInput() {
  char Byte = 0;
  return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ServerConnection::read() {
  if (ReadPending || Closed || InputEnded)
    return;
  if (InputBuffer.size() >= MaxReadAheadBytes) {
    waitForError();
    return;
  }
  ReadPending = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](std::error_code Error) {
                      Self->ReadPending = false;
                      if (Self->Closed)
                        return;
                      if (Error) {
                        Self->close();
                        return;
                      }
                      std::array<char, RequestReadBytes> Bytes;
                      std::error_code ReadError;
                      const std::size_t Size = Self->Socket.read_some(
                          asio::buffer(Bytes), ReadError);
                      if (ReadError == asio::error::would_block) {
                        Self->read();
                        return;
                      }
                      if (ReadError) {
                        Self->onEndOfInput();
                        return;
                      }
                      if (!Self->DiscardingInput)
                        Self->InputBuffer.append(Bytes.data(), Size);
                      Self->consume();
                      Self->read();
                    });
}

void ServerConnection::waitForError() {
  if (ErrorWaitPending)
    return;
  ErrorWaitPending = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_error,
                    [Self = shared_from_this()](std::error_code) {
                      Self->ErrorWaitPending = false;
                      Self->close();
                    });
}

void ServerConnection::onEndOfInput() {
  InputEnded = true;
  if (ActiveExchange)
    ++Server.Counters.ClientDisconnects;
  close();
}

void ServerConnection::consume() {
  while (!Closed && !DiscardingInput && !ActiveExchange &&
         !InputBuffer.empty()) {
    const bool WasStarted = Parser.started();
    const std::size_t Consumed = Parser.feed(InputBuffer);
    InputBuffer.erase(0, Consumed);
    if (!WasStarted && Parser.started()) {
      markBusy();
      startTimer(Server.Limits.ReadTimeout);
    }
    if (Parser.error() != ParseError::None) {
      ++Server.Counters.MalformedRequests;
      switch (Parser.error()) {
      case ParseError::HeaderTooLarge:
        reject(431);
        return;
      case ParseError::BodyTooLarge:
        reject(413);
        return;
      default:
        reject(400);
        return;
      }
    }
    if (Parser.complete())
      dispatch();
    else if (Consumed == 0)
      return;
  }
}

void ServerConnection::onHead() {
  PendingExchange =
      std::make_shared<ServerExchange>(weak_from_this(), ClientAddress);
  PendingExchange->Head = std::move(Parser.request());
  if (PendingExchange->Head.ExpectsContinue)
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::onBody(std::string_view Data) {
  if (!PendingExchange)
    return;
  const bool TooLarge =
      PendingExchange->Body.size() + Data.size() > Server.Limits.MaxBodyBytes;
  const bool ServerBufferFull =
      Server.BufferedBytes + Data.size() > Server.Limits.MaxBufferedBytes;
  if (TooLarge || ServerBufferFull) {
    PendingExchange.reset();
    reject(TooLarge ? 413 : 503);
    return;
  }
  PendingExchange->Body.append(Data);
  BufferedBodyBytes += Data.size();
  Server.BufferedBytes += Data.size();
}

void ServerConnection::releaseBody() {
  if (BufferedBodyBytes == 0)
    return;
  Server.BufferedBytes -= BufferedBodyBytes;
  BufferedBodyBytes = 0;
}

void ServerConnection::dispatch() {
  if (!PendingExchange)
    return;
  Timer.cancel();
  ActiveExchange = std::move(PendingExchange);
  if (!ActiveExchange->Head.KeepAlive || Server.Draining ||
      Server.aboveSoftLimit())
    CloseAfterResponse = true;
  Parser.reset();
  Server.Handler(ActiveExchange);
}

void ServerConnection::reject(unsigned Status) {
  CloseAfterResponse = true;
  HeaderList Fields;
  if (Status == 503)
    Fields.add("Retry-After", "1");
  // Closing a socket with unread input resets the connection, and the client
  // may lose the response.
  DiscardingInput = true;
  InputBuffer.clear();
  write(formatHead(Status, Fields) + "Content-Length: 0\r\n\r\n");
  if (QueuedOutput.empty() && WriteBuffer.empty())
    startLingeringClose();
}

void ServerConnection::startLingeringClose() {
  std::error_code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  startTimer(LingerTimeout);
}

std::string ServerConnection::formatHead(unsigned Status,
                                         const HeaderList &Fields) const {
  std::string Head =
      fmt::format("HTTP/1.1 {} {}\r\n", Status, reasonPhrase(Status));
  for (const HeaderField &Field : Fields.fields())
    appendField(Head, Field.Name, Field.Value);
  if (CloseAfterResponse)
    appendField(Head, "Connection", "close");
  return Head;
}

void ServerConnection::write(std::string_view Data) {
  if (Closed)
    return;
  QueuedOutput.append(Data);
  if (WriteBuffer.empty())
    flush();
  recordUnsent();
}

void ServerConnection::recordUnsent() {
  const std::size_t Bytes = QueuedOutput.size() + WriteBuffer.size();
  if (Closed || (Bytes == 0 && !CountedUnsent))
    return;
  CountedUnsent = Bytes > 0;
  Server.Unsent.record(this, Bytes);
  Server.endSlowClients();
}

void ServerConnection::flush() {
  WriteBuffer.swap(QueuedOutput);
  std::error_code Error;
  // Most writes fit into the socket buffer and complete without waiting.
  const std::size_t Written =
      Socket.write_some(asio::buffer(WriteBuffer), Error);
  if (!Error && Written == WriteBuffer.size()) {
    WriteBuffer.clear();
    return;
  }
  if (Error && Error != asio::error::would_block) {
    asio::post(Socket.get_executor(),
               [Self = shared_from_this()] { Self->close(); });
    return;
  }
  WriteBuffer.erase(0, Written);
  asio::async_write(Socket, asio::buffer(WriteBuffer),
                    [Self = shared_from_this()](std::error_code WriteError,
                                                std::size_t Size) {
                      Self->onWritten(WriteError, Size);
                    });
}

void ServerConnection::onWritten(std::error_code Error, std::size_t) {
  WriteBuffer.clear();
  if (Closed)
    return;
  if (Error) {
    close();
    return;
  }
  if (!QueuedOutput.empty())
    flush();
  recordUnsent();
  if (Closed)
    return;
  if (ActiveExchange &&
      QueuedOutput.size() + WriteBuffer.size() <= LowWaterBytes &&
      ActiveExchange->OnDrained)
    ActiveExchange->OnDrained();
  if (ActiveExchange || !CloseAfterResponse || !QueuedOutput.empty() ||
      !WriteBuffer.empty())
    return;
  if (DiscardingInput)
    startLingeringClose();
  else
    closeCompleted();
}

void ServerConnection::onResponseComplete() {
  ActiveExchange.reset();
  releaseBody();
  if (Closed)
    return;
  if (CloseAfterResponse) {
    if (QueuedOutput.empty() && WriteBuffer.empty())
      closeCompleted();
    return;
  }
  startTimer(Server.Limits.IdleTimeout);
  markIdle();
  if (!InputBuffer.empty())
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      Self->consume();
      Self->read();
    });
  else
    read();
}

void ServerConnection::startTimer(std::chrono::milliseconds Delay) {
  Timer.expires_after(Delay);
  Timer.async_wait([Weak = weak_from_this()](std::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && !Self->Closed)
      Self->onTimer();
  });
}

void ServerConnection::onTimer() {
  if (ActiveExchange || Timer.expiry() > std::chrono::steady_clock::now())
    return;
  if (Parser.started() && !DiscardingInput)
    reject(408);
  else
    close();
}

void ServerExchange::respond(unsigned Status, const HeaderList &Fields,
                             std::string_view Payload) {
  const auto LockedConnection = Connection.lock();
  if (!LockedConnection || LockedConnection->ActiveExchange.get() != this ||
      Started)
    return;
  Started = true;
  std::string Message = LockedConnection->formatHead(Status, Fields);
  Bodyless = hasNoBody(Head.Method, Status);
  if (!Bodyless)
    appendField(Message, "Content-Length", std::to_string(Payload.size()));
  Message.append("\r\n");
  if (!Bodyless)
    Message.append(Payload);
  LockedConnection->write(Message);
  LockedConnection->onResponseComplete();
}

void ServerExchange::startBody(unsigned Status, const HeaderList &Fields) {
  const auto LockedConnection = Connection.lock();
  if (!LockedConnection || LockedConnection->ActiveExchange.get() != this ||
      Started)
    return;
  Started = true;
  Bodyless = hasNoBody(Head.Method, Status);
  Chunked = Head.MinorVersion >= 1 && !Bodyless;
  if (!Chunked && !Bodyless) {
    LockedConnection->CloseAfterResponse = true;
    LockedConnection->setResetOnClose(true);
  }
  std::string Message = LockedConnection->formatHead(Status, Fields);
  if (Chunked)
    appendField(Message, "Transfer-Encoding", "chunked");
  Message.append("\r\n");
  LockedConnection->write(Message);
}

void ServerExchange::send(std::string_view Data) {
  const auto LockedConnection = Connection.lock();
  if (!LockedConnection || LockedConnection->ActiveExchange.get() != this ||
      Data.empty() || Bodyless)
    return;
  if (!Chunked) {
    LockedConnection->write(Data);
    return;
  }
  std::string Chunk = fmt::format("{:x}\r\n", Data.size());
  Chunk.append(Data).append("\r\n");
  LockedConnection->write(Chunk);
}

void ServerExchange::finish() {
  const auto LockedConnection = Connection.lock();
  if (!LockedConnection || LockedConnection->ActiveExchange.get() != this)
    return;
  if (Chunked)
    LockedConnection->write("0\r\n\r\n");
  LockedConnection->onResponseComplete();
}

void ServerExchange::abort() {
  const auto LockedConnection = Connection.lock();
  if (!LockedConnection || LockedConnection->ActiveExchange.get() != this)
    return;
  OnDisconnected = nullptr;
  OnDrained = nullptr;
  LockedConnection->ActiveExchange.reset();
  LockedConnection->close();
}

std::size_t ServerExchange::unsentBytes() const {
  const auto LockedConnection = Connection.lock();
  return LockedConnection ? LockedConnection->QueuedOutput.size() +
                                LockedConnection->WriteBuffer.size()
                          : 0;
}

bool ServerExchange::clientDisconnected() const {
  const auto LockedConnection = Connection.lock();
  if (!LockedConnection || LockedConnection->Closed)
    return true;
  char Byte = 0;
  return ::recv(LockedConnection->Socket.native_handle(), &Byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

void ServerExchange::closeAfterResponse() {
  if (const auto LockedConnection = Connection.lock())
    LockedConnection->CloseAfterResponse = true;
}

} // namespace mallowglade::http1

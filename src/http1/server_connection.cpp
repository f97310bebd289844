#include <mallowglade/detail/http1/server.hpp>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <sys/socket.h>

#include <array>

namespace mallowglade::http1 {

namespace {

constexpr std::size_t ReadBytes = 16'384;
/// Unsent bytes below which a paused producer may go on.
constexpr std::size_t LowWaterBytes = 16'384;
/// Bytes of a next request that are read while one is being answered.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// How long a rejected caller may go on sending before the connection closes.
constexpr std::chrono::milliseconds DiscardLimit{1'000};

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket Connected,
                                   Http1Server &Server)
    : Socket(std::move(Connected)), Server(Server),
      Parser(HTTP_REQUEST, Server.Limits.MaxHeadBytes, *this),
      Timer(Socket.get_executor()) {
  Server.Open.insert(this);
}

ServerConnection::~ServerConnection() {
  releaseBody();
  markBusy();
  Server.Open.erase(this);
}

void ServerConnection::markIdle() {
  if (!IdlePlace && !Closed)
    IdlePlace = Server.Idle.insert(Server.Idle.end(), this);
}

void ServerConnection::markBusy() {
  if (!IdlePlace)
    return;
  Server.Idle.erase(*IdlePlace);
  IdlePlace.reset();
}

void ServerConnection::start() {
  std::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  armTimer(Server.Limits.IdleTimeout);
  markIdle();
  read();
}

void ServerConnection::close() {
  if (Closed)
    return;
  Closed = true;
  markBusy();
  Timer.cancel();
  std::error_code Ignored;
  Socket.close(Ignored);
  releaseBody();
  if (Current) {
    const auto Gone = std::move(Current);
    const auto Notify = std::move(Gone->OnGone);
    Gone->OnDrained = nullptr;
    Gone->OnGone = nullptr;
    if (Notify)
      Notify();
  }
}

void ServerConnection::drain() {
  CloseAfter = true;
  if (idle() && Output.empty() && Sending.empty())
    close();
}

void ServerConnection::read() {
  if (Reading || Closed || InputEnded || Input.size() >= MaxReadAheadBytes)
    return;
  Reading = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](std::error_code Error) {
                      Self->Reading = false;
                      if (Self->Closed)
                        return;
                      if (Error) {
                        Self->close();
                        return;
                      }
                      std::array<char, ReadBytes> Bytes;
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
                      if (!Self->Discarding)
                        Self->Input.append(Bytes.data(), Size);
                      Self->consume();
                      Self->read();
                    });
}

void ServerConnection::onEndOfInput() {
  InputEnded = true;
  if (Current)
    ++Server.Counters.CallersGone;
  close();
}

void ServerConnection::consume() {
  while (!Closed && !Discarding && !Current && !Input.empty()) {
    const bool WasStarted = Parser.started();
    const std::size_t Taken = Parser.feed(Input);
    Input.erase(0, Taken);
    if (!WasStarted && Parser.started()) {
      markBusy();
      armTimer(Server.Limits.ReadTimeout);
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
    else if (Taken == 0)
      return;
  }
}

void ServerConnection::onHead() {
  Incoming = std::make_shared<ServerExchange>(weak_from_this());
  Incoming->Head = std::move(Parser.request());
  if (Incoming->Head.ExpectsContinue)
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::onBody(std::string_view Data) {
  if (!Incoming)
    return;
  const bool TooLarge =
      Incoming->Body.size() + Data.size() > Server.Limits.MaxBodyBytes;
  const bool NoRoom =
      Server.BufferedBytes + Data.size() > Server.Limits.MaxBufferedBytes;
  if (TooLarge || NoRoom) {
    Incoming.reset();
    reject(TooLarge ? 413 : 503);
    return;
  }
  Incoming->Body.append(Data);
  BufferedBody += Data.size();
  Server.BufferedBytes += Data.size();
}

void ServerConnection::releaseBody() {
  Server.BufferedBytes -= BufferedBody;
  BufferedBody = 0;
}

void ServerConnection::dispatch() {
  if (!Incoming)
    return;
  Timer.cancel();
  Current = std::move(Incoming);
  if (!Current->Head.KeepAlive || Server.Draining || Server.crowded())
    CloseAfter = true;
  Parser.reset();
  Server.Handler(Current);
}

void ServerConnection::reject(unsigned Status) {
  CloseAfter = true;
  HeaderList Fields;
  if (Status == 503)
    Fields.add("Retry-After", "1");
  // Closing with unread bytes would reset the connection and lose the answer.
  Discarding = true;
  Input.clear();
  write(headOf(Status, Fields) + "Content-Length: 0\r\n\r\n");
  if (Output.empty() && Sending.empty())
    closeAfterReading();
}

void ServerConnection::closeAfterReading() {
  std::error_code Ignored;
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  armTimer(DiscardLimit);
}

std::string ServerConnection::headOf(unsigned Status,
                                     const HeaderList &Fields) const {
  std::string Head =
      fmt::format("HTTP/1.1 {} {}\r\n", Status, reasonOf(Status));
  for (const HeaderField &Field : Fields.fields())
    appendField(Head, Field.Name, Field.Value);
  if (CloseAfter)
    appendField(Head, "Connection", "close");
  return Head;
}

void ServerConnection::write(std::string_view Data) {
  if (Closed)
    return;
  Output.append(Data);
  if (Sending.empty())
    flush();
}

void ServerConnection::flush() {
  Sending.swap(Output);
  std::error_code Error;
  // Most writes fit into the socket buffer and need no wait.
  const std::size_t Written = Socket.write_some(asio::buffer(Sending), Error);
  if (!Error && Written == Sending.size()) {
    Sending.clear();
    return;
  }
  if (Error && Error != asio::error::would_block) {
    asio::post(Socket.get_executor(),
               [Self = shared_from_this()] { Self->close(); });
    return;
  }
  Sending.erase(0, Written);
  asio::async_write(
      Socket, asio::buffer(Sending),
      [Self = shared_from_this()](std::error_code Failed, std::size_t Size) {
        Self->onWritten(Failed, Size);
      });
}

void ServerConnection::onWritten(std::error_code Error, std::size_t) {
  Sending.clear();
  if (Closed)
    return;
  if (Error) {
    close();
    return;
  }
  if (!Output.empty())
    flush();
  if (Closed)
    return;
  if (Current && Output.size() + Sending.size() <= LowWaterBytes &&
      Current->OnDrained)
    Current->OnDrained();
  if (Current || !CloseAfter || !Output.empty() || !Sending.empty())
    return;
  if (Discarding)
    closeAfterReading();
  else
    close();
}

void ServerConnection::answerDone() {
  Current.reset();
  releaseBody();
  if (Closed)
    return;
  if (CloseAfter) {
    if (Output.empty() && Sending.empty())
      close();
    return;
  }
  armTimer(Server.Limits.IdleTimeout);
  markIdle();
  if (!Input.empty())
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      Self->consume();
      Self->read();
    });
  else
    read();
}

void ServerConnection::armTimer(std::chrono::milliseconds Delay) {
  Timer.expires_after(Delay);
  Timer.async_wait([Weak = weak_from_this()](std::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && !Self->Closed)
      Self->onTimer();
  });
}

void ServerConnection::onTimer() {
  if (Current || Timer.expiry() > std::chrono::steady_clock::now())
    return;
  if (Parser.started() && !Discarding)
    reject(408);
  else
    close();
}

void ServerExchange::respond(unsigned Status, const HeaderList &Fields,
                             std::string_view Payload) {
  const auto Target = Connection.lock();
  if (!Target || Target->Current.get() != this || Started)
    return;
  Started = true;
  std::string Message = Target->headOf(Status, Fields);
  const bool NoBody = Status == 204 || Status == 304;
  if (!NoBody)
    appendField(Message, "Content-Length", std::to_string(Payload.size()));
  Message.append("\r\n");
  if (Head.Method != "HEAD" && !NoBody)
    Message.append(Payload);
  Target->write(Message);
  Target->answerDone();
}

void ServerExchange::startBody(unsigned Status, const HeaderList &Fields) {
  const auto Target = Connection.lock();
  if (!Target || Target->Current.get() != this || Started)
    return;
  Started = true;
  Chunked = Head.MinorVersion >= 1;
  if (!Chunked)
    Target->CloseAfter = true;
  std::string Message = Target->headOf(Status, Fields);
  if (Chunked)
    appendField(Message, "Transfer-Encoding", "chunked");
  Message.append("\r\n");
  Target->write(Message);
}

void ServerExchange::send(std::string_view Data) {
  const auto Target = Connection.lock();
  if (!Target || Target->Current.get() != this || Data.empty())
    return;
  if (!Chunked) {
    Target->write(Data);
    return;
  }
  std::string Chunk = fmt::format("{:x}\r\n", Data.size());
  Chunk.append(Data).append("\r\n");
  Target->write(Chunk);
}

void ServerExchange::finish() {
  const auto Target = Connection.lock();
  if (!Target || Target->Current.get() != this)
    return;
  if (Chunked)
    Target->write("0\r\n\r\n");
  Target->answerDone();
}

void ServerExchange::abort() {
  const auto Target = Connection.lock();
  if (!Target || Target->Current.get() != this)
    return;
  OnGone = nullptr;
  OnDrained = nullptr;
  Target->Current.reset();
  Target->close();
}

std::size_t ServerExchange::unsentBytes() const {
  const auto Target = Connection.lock();
  return Target ? Target->Output.size() + Target->Sending.size() : 0;
}

bool ServerExchange::callerLeft() const {
  const auto Target = Connection.lock();
  if (!Target || Target->Closed)
    return true;
  char Byte = 0;
  return ::recv(Target->Socket.native_handle(), &Byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

void ServerExchange::closeAfterwards() {
  if (const auto Target = Connection.lock())
    Target->CloseAfter = true;
}

} // namespace mallowglade::http1

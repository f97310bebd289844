#include <mallowglade/detail/http1/upstream_connection.hpp>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

#include <array>

namespace mallowglade::http1 {

namespace {

constexpr std::size_t ResponseReadBytes = 16'384;
constexpr std::size_t MaxHeadBytes = 16'384;
constexpr unsigned FirstFinalStatus = 200;
/// Bytes of a response that may be no part of its body: heads, responses to
/// earlier requests, and for each byte of the body the framing of a chunk.
constexpr std::uint64_t MaxOverheadBytes = 262'144;
constexpr std::uint64_t MaxChunkOverheadBytes = 8;
/// TCP keep-alive probes on a connection without traffic.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(asio::ip::tcp::socket &Socket, int Name, int Value) {
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Name, &Value,
               sizeof(Value));
}

void configure(asio::ip::tcp::socket &Socket,
               const UpstreamTimeouts &Timeouts) {
  std::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  setOption(Socket, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Socket, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Socket, TCP_USER_TIMEOUT,
            static_cast<int>(Timeouts.Unacknowledged.count()));
  Socket.non_blocking(true, Ignored);
}

ExchangeFailure interruptionBy(std::error_code Error) {
  const bool ByPeer = Error == asio::error::eof ||
                      Error == asio::error::connection_reset ||
                      Error == asio::error::broken_pipe ||
                      Error == asio::error::connection_aborted;
  return ByPeer ? ExchangeFailure::Interrupted : ExchangeFailure::Unresponsive;
}

} // namespace

UpstreamConnection::UpstreamConnection(asio::io_context &Context,
                                       const asio::ip::tcp::endpoint &Address,
                                       std::string AttemptHeader,
                                       UpstreamTimeouts Timeouts)
    : Address(Address), AttemptHeader(std::move(AttemptHeader)),
      Timeouts(Timeouts), Socket(Context), Timer(Context),
      Parser(HTTP_RESPONSE, MaxHeadBytes, *this) {}

bool UpstreamConnection::reusable() const {
  return Connected && !Closed && KeepAlive && !Observer && RequestWritten;
}

void UpstreamConnection::send(std::string Request, std::string Id,
                              bool WithoutBody,
                              std::shared_ptr<ExchangeObserver> Receiver) {
  Message = std::move(Request);
  AttemptId = std::move(Id);
  NoBody = WithoutBody;
  Observer = std::move(Receiver);
  OnClosed = nullptr;
  RequestWritten = AnyByteSent = StaleResponse = Paused = false;
  ReceivedBytes = BodyBytes = 0;
  ++RequestCount;
  Parser.reset(NoBody);
  if (!Connected)
    connect();
  else if (hasUnreadInput())
    fail(ExchangeFailure::ClosedBeforeUse);
  else
    writeRequest();
}

bool UpstreamConnection::hasUnreadInput() {
  char Byte = 0;
  return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

void UpstreamConnection::connect() {
  Timer.expires_after(Timeouts.Connect);
  Timer.async_wait([Weak = weak_from_this()](std::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && !Self->Connected)
      Self->fail(ExchangeFailure::NotConnected);
  });
  Socket.async_connect(Address,
                       [Self = shared_from_this()](std::error_code Error) {
                         Self->onConnected(Error);
                       });
}

void UpstreamConnection::onConnected(std::error_code Error) {
  if (Closed)
    return;
  if (Error) {
    fail(ExchangeFailure::NotConnected);
    return;
  }
  Connected = true;
  Timer.cancel();
  configure(Socket, Timeouts);
  if (Observer && !Observer->maySend()) {
    fail(ExchangeFailure::Withdrawn);
    return;
  }
  writeRequest();
}

void UpstreamConnection::writeRequest() {
  std::error_code Error;
  const std::size_t Size = Socket.write_some(asio::buffer(Message), Error);
  if (Error && Error != asio::error::would_block) {
    fail(RequestCount > 1 ? ExchangeFailure::ClosedBeforeUse
                          : interruptionBy(Error));
    return;
  }
  AnyByteSent = true;
  read();
  if (!Error && Size == Message.size()) {
    Message.clear();
    RequestWritten = true;
    return;
  }
  Message.erase(0, Error ? 0 : Size);
  asio::async_write(
      Socket, asio::buffer(Message),
      [Self = shared_from_this()](std::error_code WriteError, std::size_t) {
        if (Self->Closed)
          return;
        Self->Message.clear();
        if (WriteError)
          Self->fail(interruptionBy(WriteError));
        else
          Self->RequestWritten = true;
      });
}

void UpstreamConnection::read() {
  if (ReadPending || Closed || Paused)
    return;
  ReadPending = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](std::error_code Error) {
                      Self->ReadPending = false;
                      if (!Self->Closed)
                        Self->onReadable(Error);
                    });
}

void UpstreamConnection::onReadable(std::error_code Error) {
  std::array<char, ResponseReadBytes> Bytes;
  std::size_t Size = 0;
  if (!Error)
    Size = Socket.read_some(asio::buffer(Bytes), Error);
  if (Error == asio::error::would_block) {
    read();
    return;
  }
  if (Error) {
    onEnd(Error);
    return;
  }
  const auto Self = shared_from_this();
  consume({Bytes.data(), Size});
  if (!Closed)
    read();
}

bool UpstreamConnection::tooMuchOverhead() const {
  return ReceivedBytes - BodyBytes >
         MaxOverheadBytes + MaxChunkOverheadBytes * BodyBytes;
}

void UpstreamConnection::consume(std::string_view Data) {
  ReceivedBytes += Data.size();
  while (!Data.empty() && !Closed) {
    if (!Observer) {
      // Bytes after a complete response do not belong to any request.
      closeSocket();
      return;
    }
    const std::size_t Consumed = Parser.feed(Data);
    if (Closed)
      return;
    Data.remove_prefix(Consumed);
    if (Parser.error() != ParseError::None || tooMuchOverhead()) {
      fail(ExchangeFailure::Malformed);
      return;
    }
    if (Parser.complete()) {
      if (!Data.empty())
        KeepAlive = false;
      messageComplete();
    } else if (Consumed == 0) {
      fail(ExchangeFailure::Malformed);
    }
  }
}

void UpstreamConnection::onHead() {
  ResponseHead &Head = Parser.response();
  if (Head.Status < FirstFinalStatus)
    return;
  const std::string *Id = Head.Headers.find(AttemptHeader);
  const auto Receiver = Observer;
  // What arrives first on a connection can belong to no other request.
  const bool Unidentified =
      Id == nullptr && !AttemptHeader.empty() && RequestCount > 1;
  StaleResponse = Unidentified
                      ? Receiver && !Receiver->acceptsUnidentified(Head)
                      : Id != nullptr && *Id != AttemptId;
  if (StaleResponse)
    return;
  KeepAlive = Head.KeepAlive && !Unidentified;
  if (const auto Seconds = keepAliveSeconds(Head.Headers))
    IdleLimit = std::chrono::seconds(*Seconds);
  if (Receiver)
    Receiver->onResponseHead(Head);
}

void UpstreamConnection::onBody(std::string_view Data) {
  if (StaleResponse)
    return;
  BodyBytes += Data.size();
  const auto Receiver = Observer;
  if (Receiver)
    Receiver->onResponseBody(Data);
}

void UpstreamConnection::messageComplete() {
  const bool Informational = Parser.response().Status < FirstFinalStatus;
  if (Informational || StaleResponse) {
    StaleResponse = false;
    KeepAlive = true;
    Parser.reset(NoBody);
    return;
  }
  IdleSince = std::chrono::steady_clock::now();
  Parser.reset();
  const auto Receiver = std::move(Observer);
  Observer = nullptr;
  if (!KeepAlive || !RequestWritten)
    closeSocket();
  if (Receiver)
    Receiver->onResponseEnd();
}

void UpstreamConnection::onEnd(std::error_code Error) {
  if (!Observer) {
    closeSocket();
    return;
  }
  const bool CleanClose = Error == asio::error::eof;
  const bool EndsAtClose = Parser.headComplete() && !StaleResponse &&
                           Parser.response().Framing == BodyFraming::UntilClose;
  if (CleanClose && EndsAtClose && Parser.feedEof()) {
    KeepAlive = false;
    messageComplete();
    return;
  }
  fail(interruptionBy(Error));
}

void UpstreamConnection::fail(ExchangeFailure Failure) {
  const auto Receiver = std::move(Observer);
  Observer = nullptr;
  closeSocket();
  if (Receiver)
    Receiver->onExchangeFailed(Failure);
}

void UpstreamConnection::cancel() {
  Observer = nullptr;
  closeSocket();
}

void UpstreamConnection::closeSocket() {
  if (Closed)
    return;
  Closed = true;
  Timer.cancel();
  std::error_code Ignored;
  Socket.close(Ignored);
  if (OnClosed) {
    const auto Notify = std::move(OnClosed);
    OnClosed = nullptr;
    Notify();
  }
}

void UpstreamConnection::pause() { Paused = true; }

void UpstreamConnection::resume() {
  if (!Paused)
    return;
  Paused = false;
  read();
}

void UpstreamConnection::notifyOnIdleClose(std::function<void()> Notify) {
  OnClosed = std::move(Notify);
  read();
}

} // namespace mallowglade::http1

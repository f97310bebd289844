#include <mallowglade/detail/transport/outgoing_link.hpp>

#include <netinet/in.h>

namespace mallowglade::detail {

namespace {

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both; the pointers are not const for historical reasons.
  auto *NameBytes =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data()));
  auto *ValueBytes =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data()));
  return {NameBytes, ValueBytes, Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

} // namespace

ClientConnection::ClientConnection(const std::shared_ptr<PeerShared> &Shared,
                                   RouterId To)
    : Http2Connection(Shared, asio::ip::tcp::socket(Shared->Context)),
      To(std::move(To)), Started(Shared->Time.now()),
      StartText(std::to_string(Shared->Options.Start.Value)),
      LastPing(Started) {}

bool ClientConnection::bindSource() {
  const auto Source = parseEndpoint(Shared->Options.Listen);
  if (!isOk(Source))
    return false;
  asio::error_code Failure;
  Socket.open(valueOf(Source).protocol(), Failure);
  // Lets the kernel choose the port at connect time, so that the number of
  // ephemeral ports limits connections per destination only.
  using NoPort =
      asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
  asio::error_code Ignored;
  Socket.set_option(NoPort(true), Ignored);
  Socket.bind({valueOf(Source).address(), 0}, Failure);
  return !Failure;
}

void ClientConnection::connect(std::function<void()> OnOpened,
                               std::function<void()> OnEnded) {
  Opened = std::move(OnOpened);
  Ended = std::move(OnEnded);
  const auto Target = parseEndpoint(To.Value);
  if (!isOk(Target) || !bindSource()) {
    close();
    return;
  }
  auto Self = std::static_pointer_cast<ClientConnection>(shared_from_this());
  Socket.async_connect(valueOf(Target), [Self](const asio::error_code &Failed) {
    if (Self->closed())
      return;
    if (Failed) {
      Self->close();
      return;
    }
    Self->open(true);
    Self->Opened();
  });
}

void ClientConnection::submit(OutgoingMessage Message) {
  const std::string Path = "/peer/" + Message.Type;
  const std::array<nghttp2_nv, 6> Headers{
      makeHeader(":method", "POST"),
      makeHeader(":scheme", "http"),
      makeHeader(":authority", To.Value),
      makeHeader(":path", Path),
      makeHeader("x-sender", Shared->Options.Self.Value),
      makeHeader("x-incarnation", StartText)};
  nghttp2_data_provider Provider{};
  Provider.read_callback = readBody;
  const std::int32_t Stream = nghttp2_submit_request(
      Session, nullptr, Headers.data(), Headers.size(), &Provider, nullptr);
  if (Stream < 0) {
    close();
    return;
  }
  UnansweredBytes += Message.Sealed.size();
  Unanswered[Stream].Bytes = std::move(Message.Sealed);
  ++Shared->Traffic.MessagesSent;
  flushSoon();
}

ssize_t ClientConnection::readBody(nghttp2_session * /*Session*/,
                                   std::int32_t Stream, std::uint8_t *Target,
                                   std::size_t Size, std::uint32_t *Flags,
                                   nghttp2_data_source * /*Source*/,
                                   void *User) {
  auto &Connection =
      static_cast<ClientConnection &>(*static_cast<Http2Connection *>(User));
  const auto Found = Connection.Unanswered.find(Stream);
  if (Found == Connection.Unanswered.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Body &Message = Found->second;
  const std::size_t Count = std::min(Size, Message.Bytes.size() - Message.Sent);
  std::copy_n(Message.Bytes.data() + Message.Sent, Count,
              reinterpret_cast<char *>(Target));
  Message.Sent += Count;
  if (Message.Sent == Message.Bytes.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

void ClientConnection::checkAlive(TimePoint Now, bool InUse) {
  const auto &Options = Shared->Options;
  if (Session == nullptr) {
    if (Now - Started >= Options.PingTimeout)
      close();
    return;
  }
  if (PingSent) {
    const TimePoint Since = std::max(*PingSent, lastReceived());
    if (Now - Since >= Options.PingTimeout)
      close();
    return;
  }
  if (!InUse || Now - LastPing < Options.PingPeriod)
    return;
  nghttp2_submit_ping(Session, NGHTTP2_FLAG_NONE, nullptr);
  PingSent = Now;
  LastPing = Now;
  flushSoon();
}

void ClientConnection::onClosed() {
  Unanswered.clear();
  UnansweredBytes = 0;
  Answered = nullptr;
  Opened = nullptr;
  // The owner may drop this connection in the callback.
  const auto Self = shared_from_this();
  if (const auto Callback = std::exchange(Ended, nullptr))
    Callback();
}

void ClientConnection::onHeader(std::int32_t /*Stream*/,
                                std::string_view /*Name*/,
                                std::string_view /*Value*/) {}

void ClientConnection::onData(std::int32_t /*Stream*/,
                              std::string_view /*Bytes*/) {}

void ClientConnection::onFrame(const nghttp2_frame &Frame) {
  const bool Ack = (Frame.hd.flags & NGHTTP2_FLAG_ACK) != 0;
  if (Frame.hd.type == NGHTTP2_PING && Ack)
    PingSent.reset();
}

void ClientConnection::onStreamClosed(std::int32_t Stream) {
  const auto Found = Unanswered.find(Stream);
  if (Found == Unanswered.end())
    return;
  UnansweredBytes -= Found->second.Bytes.size();
  Unanswered.erase(Found);
  if (Answered)
    Answered();
}

} // namespace mallowglade::detail

#include <mallowglade/detail/transport/incoming_connection.hpp>

#include <charconv>

namespace mallowglade::detail {

namespace {

constexpr std::string_view PathPrefix = "/peer/";
/// Longest path or header value kept; ids and types are far shorter.
constexpr std::size_t MaxHeaderValue = 256;
/// A reply only frees its sender's window of 128 messages, so several are sent
/// at once: each write costs as much as the handling of a message.
constexpr std::size_t MaxWaitingReplies = 16;
constexpr Milliseconds MaxReplyDelay{1'000};
/// More received bytes than this may call for a window update.
constexpr std::size_t MaxBytesBeforeFlush = 65'536;

} // namespace

IncomingConnection::IncomingConnection(std::shared_ptr<PeerShared> Shared,
                                       asio::ip::tcp::socket Socket)
    : Http2Connection(std::move(Shared), std::move(Socket)) {}

void IncomingConnection::start(std::function<void()> OnEnded) {
  Ended = std::move(OnEnded);
  open(false);
}

void IncomingConnection::sendDueReplies(TimePoint Now) {
  if (WaitingReplies > 0 && Now - FirstReply >= MaxReplyDelay)
    sendNow();
}

void IncomingConnection::sendNow() {
  WaitingReplies = 0;
  BytesSinceFlush = 0;
  flushSoon();
}

void IncomingConnection::onClosed() {
  Requests.clear();
  const auto Self = shared_from_this();
  if (const auto Callback = std::exchange(Ended, nullptr))
    Callback();
}

void IncomingConnection::onHeader(std::int32_t Stream, std::string_view Name,
                                  std::string_view Value) {
  Request &Received = Requests[Stream];
  const std::string Text(Value.substr(0, MaxHeaderValue));
  if (Name == ":path")
    Received.Path = Text;
  else if (Name == "x-sender")
    Received.Sender = Text;
  else if (Name == "x-incarnation")
    Received.Start = Text;
}

void IncomingConnection::onData(std::int32_t Stream, std::string_view Bytes) {
  BytesSinceFlush += Bytes.size();
  if (BytesSinceFlush >= MaxBytesBeforeFlush)
    sendNow();
  const auto Found = Requests.find(Stream);
  if (Found == Requests.end() || Found->second.TooLarge)
    return;
  Request &Received = Found->second;
  const auto &Options = Shared->Options;
  const std::size_t Size = Received.Sealed.size() + Bytes.size();
  const bool Fits = Size <= Options.MaxMessageBytes + SealBytes &&
                    BufferedBytes + Bytes.size() <= Options.MaxQueuedBytes;
  if (Fits) {
    Received.Sealed += Bytes;
    BufferedBytes += Bytes.size();
    return;
  }
  BufferedBytes -= Received.Sealed.size();
  Received.Sealed = {};
  Received.TooLarge = true;
}

void IncomingConnection::onFrame(const nghttp2_frame &Frame) {
  const bool Message =
      Frame.hd.type == NGHTTP2_HEADERS || Frame.hd.type == NGHTTP2_DATA;
  const bool End = (Frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  // PING and SETTINGS are answered at once.
  if (!Message)
    sendNow();
  if (!Message || !End)
    return;
  const auto Found = Requests.find(Frame.hd.stream_id);
  if (Found != Requests.end() && !Found->second.Answered)
    complete(Frame.hd.stream_id, Found->second);
}

void IncomingConnection::complete(std::int32_t Stream, Request &Received) {
  Received.Answered = true;
  const std::string_view Status = deliver(Received);
  if (Status != "204")
    ++Shared->Traffic.MessagesRejected;
  BufferedBytes -= Received.Sealed.size();
  Received.Sealed = {};
  if (!closed())
    reply(Stream, Status);
}

std::string_view IncomingConnection::deliver(const Request &Received) {
  if (Received.TooLarge)
    return "413";
  const std::string_view Path = Received.Path;
  if (!Path.starts_with(PathPrefix))
    return "404";
  MessageEnvelope Envelope;
  Envelope.To = Shared->Options.Self;
  Envelope.Type = Path.substr(PathPrefix.size());
  Envelope.From.Router = RouterId(Received.Sender);
  const char *End = Received.Start.data() + Received.Start.size();
  std::from_chars(Received.Start.data(), End, Envelope.From.Start.Value);
  const auto Body = Shared->Seal.open(Envelope, Received.Sealed);
  if (!Body)
    return "403";
  const auto Handler = Shared->Handlers.find(Envelope.Type);
  if (Handler == Shared->Handlers.end())
    return "404";
  ++Shared->Traffic.MessagesReceived;
  Handler->second(Envelope.From, *Body);
  return "204";
}

void IncomingConnection::reply(std::int32_t Stream, std::string_view Status) {
  static constexpr std::string_view Name = ":status";
  const nghttp2_nv Header{
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Status.data())),
      Name.size(), Status.size(), NGHTTP2_NV_FLAG_NONE};
  nghttp2_submit_response(Session, Stream, &Header, 1, nullptr);
  if (WaitingReplies == 0)
    FirstReply = Shared->Time.now();
  if (++WaitingReplies >= MaxWaitingReplies)
    sendNow();
}

void IncomingConnection::onStreamClosed(std::int32_t Stream) {
  const auto Found = Requests.find(Stream);
  if (Found == Requests.end())
    return;
  BufferedBytes -= Found->second.Sealed.size();
  Requests.erase(Found);
}

} // namespace mallowglade::detail

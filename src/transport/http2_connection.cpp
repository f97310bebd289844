#include <mallowglade/detail/transport/http2_connection.hpp>

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace mallowglade::detail {

namespace {

/// Bytes collected from the session before one write to the socket.
constexpr std::size_t WriteChunkBytes = 65'536;
constexpr std::uint32_t MaxStreams = 256;
/// A message of this size crosses a link without waiting for window updates.
constexpr std::uint32_t WindowBytes = 1U << 20U;

std::string_view viewOf(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace

Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Address) {
  const Error Invalid{ErrorId::InvalidAddress, "ip:port is expected", Address};
  const auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return Invalid;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 1 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  asio::error_code Failure;
  const auto Ip = asio::ip::make_address(Host, Failure);
  constexpr long MaxPort = 65'535;
  const long Port = std::strtol(Address.c_str() + Colon + 1, nullptr, 10);
  if (Failure || Port < 0 || Port > MaxPort)
    return Invalid;
  return asio::ip::tcp::endpoint(Ip, static_cast<std::uint16_t>(Port));
}

/// Forwards the callbacks of nghttp2 to the connection.
struct SessionCallbacks {
  static Http2Connection &connectionOf(void *User) {
    return *static_cast<Http2Connection *>(User);
  }
  static int header(nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
                    const std::uint8_t *Name, std::size_t NameSize,
                    const std::uint8_t *Value, std::size_t ValueSize,
                    std::uint8_t /*Flags*/, void *User) {
    connectionOf(User).onHeader(Frame->hd.stream_id, viewOf(Name, NameSize),
                                viewOf(Value, ValueSize));
    return 0;
  }
  static int data(nghttp2_session * /*Session*/, std::uint8_t /*Flags*/,
                  std::int32_t Stream, const std::uint8_t *Data,
                  std::size_t Size, void *User) {
    connectionOf(User).onData(Stream, viewOf(Data, Size));
    return 0;
  }
  static int frame(nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
                   void *User) {
    connectionOf(User).onFrame(*Frame);
    return 0;
  }
  static int streamClosed(nghttp2_session * /*Session*/, std::int32_t Stream,
                          std::uint32_t /*Code*/, void *User) {
    connectionOf(User).onStreamClosed(Stream);
    return 0;
  }
  static nghttp2_session_callbacks *make() {
    nghttp2_session_callbacks *Callbacks = nullptr;
    nghttp2_session_callbacks_new(&Callbacks);
    nghttp2_session_callbacks_set_on_header_callback(Callbacks, header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                           streamClosed);
    return Callbacks;
  }
};

Http2Connection::Http2Connection(std::shared_ptr<PeerShared> Shared,
                                 asio::ip::tcp::socket Socket)
    : Shared(std::move(Shared)), Socket(std::move(Socket)),
      LastReceived(this->Shared->Time.now()) {}

Http2Connection::~Http2Connection() { nghttp2_session_del(Session); }

void Http2Connection::open(bool IsClient) {
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  nghttp2_session_callbacks *Callbacks = SessionCallbacks::make();
  nghttp2_option *Options = nullptr;
  nghttp2_option_new(&Options);
  // Closed streams only serve priorities, which are not used.
  nghttp2_option_set_no_closed_streams(Options, 1);
  if (IsClient)
    nghttp2_session_client_new2(&Session, Callbacks, this, Options);
  else
    nghttp2_session_server_new2(&Session, Callbacks, this, Options);
  nghttp2_option_del(Options);
  nghttp2_session_callbacks_del(Callbacks);
  submitSettings();
  LastReceived = Shared->Time.now();
  waitForBytes();
  flushSoon();
}

void Http2Connection::submitSettings() {
  const std::array<nghttp2_settings_entry, 3> Entries{
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes},
       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Entries.data(),
                          Entries.size());
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
}

void Http2Connection::waitForBytes() {
  Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](const asio::error_code &Failure) {
        if (Self->Closed)
          return;
        if (Failure)
          Self->close();
        else
          Self->readBytes();
      });
}

void Http2Connection::readBytes() {
  asio::error_code Failure;
  auto &Buffer = Shared->ReadBuffer;
  const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Failure);
  if (Failure == asio::error::would_block) {
    waitForBytes();
    return;
  }
  if (Failure) {
    close();
    return;
  }
  LastReceived = Shared->Time.now();
  Shared->Traffic.BytesReceived += Size;
  if (nghttp2_session_mem_recv(Session, Buffer.data(), Size) < 0) {
    close();
    return;
  }
  if (Closed)
    return;
  if (!maySendLater())
    flushSoon();
  waitForBytes();
}

void Http2Connection::flushSoon() {
  if (FlushPosted || Writing || Closed || Session == nullptr)
    return;
  FlushPosted = true;
  asio::post(Shared->Context, [Self = shared_from_this()] {
    Self->FlushPosted = false;
    Self->write();
  });
}

void Http2Connection::write() {
  if (Writing || Closed)
    return;
  while (Outgoing.size() < WriteChunkBytes) {
    const std::uint8_t *Data = nullptr;
    const auto Size = nghttp2_session_mem_send(Session, &Data);
    if (Size <= 0)
      break;
    Outgoing.append(reinterpret_cast<const char *>(Data),
                    static_cast<std::size_t>(Size));
  }
  if (Outgoing.empty()) {
    const bool Ended = nghttp2_session_want_read(Session) == 0 &&
                       nghttp2_session_want_write(Session) == 0;
    if (Ended)
      close();
    return;
  }
  Writing = true;
  asio::async_write(Socket, asio::buffer(Outgoing),
                    [Self = shared_from_this()](const asio::error_code &Failure,
                                                std::size_t Size) {
                      Self->Writing = false;
                      Self->Shared->Traffic.BytesSent += Size;
                      Self->Outgoing.clear();
                      Self->Outgoing.shrink_to_fit();
                      if (Failure)
                        Self->close();
                      else
                        Self->write();
                    });
}

void Http2Connection::close() {
  if (Closed)
    return;
  Closed = true;
  asio::error_code Ignored;
  Socket.close(Ignored);
  onClosed();
}

} // namespace mallowglade::detail

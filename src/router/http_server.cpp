#include <mallowglade/detail/router/http_server.hpp>

#include <mallowglade/detail/router/problem.hpp>

#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace mallowglade {

namespace {

constexpr Milliseconds KeepAliveLimit{15'000};
constexpr Milliseconds WriteLimit{30'000};
constexpr Milliseconds PollSlice{200};
/// A client that sends more slowly than this is cut off.
constexpr std::uint64_t MinBytesPerSecond = 16'384;
constexpr std::uint64_t MaxHeaderBytes = 65'536;
constexpr std::uint64_t MillisPerSecond = 1000;
constexpr std::size_t ReadBufferBytes = 16'384;

bool waitForSocket(socket_t Socket, short Events, Milliseconds Limit) {
  pollfd Entry{Socket, Events, 0};
  return poll(&Entry, 1, static_cast<int>(Limit.count())) > 0;
}

/// A client's connection with a deadline for each request.
class ClientStream final : public httplib::Stream {
public:
  ClientStream(socket_t Socket, const HttpServerLimits &Limits)
      : Socket(Socket), Limits(Limits) {}

  void beginRequest() {
    Started = std::chrono::steady_clock::now();
    Received = 0;
    MaxReceived = MaxHeaderBytes;
    HeadersRead = false;
  }
  /// The body may follow; only its limit applies from now on.
  void endHeaders() {
    HeadersRead = true;
    MaxReceived = Limits.MaxBodyBytes + MaxHeaderBytes;
  }
  bool headersRead() const { return HeadersRead; }
  bool timedOut() const { return TimedOut; }
  bool tooLarge() const { return TooLarge; }

  bool is_readable() const override {
    return hasBuffered() || waitForSocket(Socket, POLLIN, remaining());
  }
  bool is_writable() const override {
    return waitForSocket(Socket, POLLOUT, WriteLimit);
  }

  ssize_t read(char *Data, std::size_t Size) override {
    if (!hasBuffered() && !fill())
      return TimedOut || TooLarge ? -1 : 0;
    const std::size_t Count = std::min(Size, End - Begin);
    std::copy_n(Buffer.data() + Begin, Count, Data);
    Begin += Count;
    return static_cast<ssize_t>(Count);
  }

  /// Writes nothing once reading has failed: the reply that names the reason
  /// is sent at the end and has to be the only one.
  ssize_t write(const char *Data, std::size_t Size) override {
    if (TimedOut || TooLarge || !is_writable())
      return -1;
    return send(Socket, Data, Size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    sockaddr_storage Address{};
    socklen_t Length = sizeof(Address);
    if (getpeername(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) ==
        0)
      format(Address, Ip, Port);
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    sockaddr_storage Address{};
    socklen_t Length = sizeof(Address);
    if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) ==
        0)
      format(Address, Ip, Port);
  }
  socket_t socket() const override { return Socket; }

private:
  bool hasBuffered() const { return Begin < End; }

  static void format(const sockaddr_storage &Address, std::string &Ip,
                     int &Port) {
    std::array<char, INET6_ADDRSTRLEN> Text{};
    if (Address.ss_family == AF_INET6) {
      const auto &V6 = reinterpret_cast<const sockaddr_in6 &>(Address);
      inet_ntop(AF_INET6, &V6.sin6_addr, Text.data(), Text.size());
      Port = ntohs(V6.sin6_port);
    } else {
      const auto &V4 = reinterpret_cast<const sockaddr_in &>(Address);
      inet_ntop(AF_INET, &V4.sin_addr, Text.data(), Text.size());
      Port = ntohs(V4.sin_port);
    }
    Ip = Text.data();
  }

  /// Time left: a fixed time for the first bytes, then a minimum rate.
  Milliseconds remaining() const {
    const auto Allowed =
        Limits.HeaderTimeout +
        Milliseconds(Received * MillisPerSecond / MinBytesPerSecond);
    const auto Used = std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now() - Started);
    return std::max(Milliseconds(0), Allowed - Used);
  }

  bool fill() {
    if (Received > MaxReceived) {
      TooLarge = true;
      return false;
    }
    if (!waitForSocket(Socket, POLLIN, remaining())) {
      TimedOut = true;
      return false;
    }
    const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return false;
    Begin = 0;
    End = static_cast<std::size_t>(Count);
    Received += static_cast<std::uint64_t>(Count);
    return true;
  }

  socket_t Socket;
  const HttpServerLimits &Limits;
  std::chrono::steady_clock::time_point Started;
  std::uint64_t Received = 0;
  std::uint64_t MaxReceived = MaxHeaderBytes;
  bool HeadersRead = false;
  bool TimedOut = false;
  bool TooLarge = false;
  std::array<char, ReadBufferBytes> Buffer{};
  std::size_t Begin = 0;
  std::size_t End = 0;
};

void sendProblem(socket_t Socket, std::string_view StatusLine,
                 const Problem &Failure) {
  const std::string Body = toJson(Failure);
  const std::string Text = fmt::format(
      "HTTP/1.1 {}\r\nContent-Type: application/problem+json\r\n"
      "Content-Length: {}\r\nRetry-After: {}\r\n"
      "Connection: close\r\n\r\n{}",
      StatusLine, Body.size(), retryAfterSeconds(Failure.RetryAfter), Body);
  (void)send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

/// Tells whether a request that was not read may have an idempotency key.
bool mayBeKeyed(socket_t Socket) {
  std::array<char, ReadBufferBytes> Buffer{};
  const ssize_t Count =
      recv(Socket, Buffer.data(), Buffer.size(), MSG_PEEK | MSG_DONTWAIT);
  std::string Text(Buffer.data(), Count > 0 ? Count : 0);
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  const bool Complete = Text.find("\r\n\r\n") != std::string::npos;
  return !Complete || Text.find("\nidempotency-key:") != std::string::npos;
}

/// Closes so that the client can still read the last reply.
void closeGracefully(socket_t Socket) {
  shutdown(Socket, SHUT_WR);
  std::array<char, 4096> Discard{};
  constexpr Milliseconds LingerLimit{200};
  // A client that never stops sending must not keep the thread.
  constexpr Milliseconds LingerTotal{2'000};
  const auto End = std::chrono::steady_clock::now() + LingerTotal;
  while (std::chrono::steady_clock::now() < End &&
         waitForSocket(Socket, POLLIN, LingerLimit) &&
         recv(Socket, Discard.data(), Discard.size(), MSG_DONTWAIT) > 0) {
  }
  close(Socket);
}

/// Keeps the library from parsing, unpacking or cutting what belongs to the
/// upstream and the caller: forms, packed bodies and byte ranges.
void passUnchanged(httplib::Request &Request) {
  Request.ranges.clear();
  // Without a length the library would read until the client closes.
  if (!Request.has_header("Content-Length") &&
      !Request.has_header("Transfer-Encoding"))
    Request.headers.emplace("Content-Length", "0");
  for (const PreservedHeader &Header : PreservedHeaders) {
    Request.headers.erase(Header.KeptAs);
    const auto Found = Request.headers.find(Header.Name);
    if (Found == Request.headers.end())
      continue;
    const std::string Value = Found->second;
    Request.headers.erase(Header.Name);
    Request.headers.emplace(Header.KeptAs, Value);
  }
}

/// Names the reason why a request could not be read, if there is one.
void reportReadFailure(socket_t Socket, bool TimedOut, bool TooLarge,
                       bool HeadersRead) {
  Problem Failure;
  // The request was not read, so it may have an idempotency key.
  Failure.Outcome = Verdict::Unknown;
  if (TimedOut) {
    Failure.Reason = {ErrorId::InvalidRequest, "the request arrived too slowly",
                      ""};
    sendProblem(Socket, "408 Request Timeout", Failure);
  } else if (TooLarge && !HeadersRead) {
    Failure.Reason = {ErrorId::TooLarge, "the headers are too large", ""};
    sendProblem(Socket, "431 Request Header Fields Too Large", Failure);
  } else if (TooLarge) {
    Failure.Reason = {ErrorId::TooLarge, "the request is too large", ""};
    sendProblem(Socket, "413 Payload Too Large", Failure);
  }
}

/// Hands connections to threads of a pool.
class PoolTaskQueue final : public httplib::TaskQueue {
public:
  explicit PoolTaskQueue(std::size_t MaxThreads) : Pool(MaxThreads) {}
  void enqueue(std::function<void()> Work) override {
    Pool.post(std::move(Work));
  }
  void shutdown() override { Pool.stop(); }

private:
  BlockingPool Pool;
};

} // namespace

HttpServer::HttpServer(HttpServerLimits Limits) : Limits(Limits) {
  set_payload_max_length(Limits.MaxBodyBytes);
  set_tcp_nodelay(true);
  // One thread more than connections answers those beyond the limit.
  new_task_queue = [Max = Limits.MaxConnections] {
    return new PoolTaskQueue(Max + 1);
  };
}

bool HttpServer::bind(const std::string &Host, std::uint16_t Port) {
  set_socket_options([this](socket_t Socket) {
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    ListenSocket = Socket;
  });
  // The library's backlog of 5 makes a burst of callers wait for a repeated
  // SYN, which takes a second; calling listen again raises it.
  return bind_to_port(Host, Port) && ::listen(ListenSocket, SOMAXCONN) == 0;
}

void HttpServer::closeIdleConnections() { Closing = true; }

bool HttpServer::process_and_close_socket(socket_t Socket) {
  if (++Connections > Limits.MaxConnections) {
    Problem Busy;
    Busy.Reason = {ErrorId::NoCapacity, "too many connections", ""};
    Busy.RetryAfter = Milliseconds(MillisPerSecond);
    waitForSocket(Socket, POLLIN, PollSlice);
    if (mayBeKeyed(Socket))
      Busy.Outcome = Verdict::Unknown;
    sendProblem(Socket, "503 Service Unavailable", Busy);
  } else {
    serve(Socket);
  }
  closeGracefully(Socket);
  --Connections;
  return true;
}

void HttpServer::serve(socket_t Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  ClientStream Stream(Socket, Limits);
  bool Closed = false;
  while (!Closed) {
    Milliseconds Waited{0};
    while (!waitForSocket(Socket, POLLIN, PollSlice)) {
      Waited += PollSlice;
      if (Closing || !is_running() || Waited >= KeepAliveLimit)
        return;
    }
    Stream.beginRequest();
    const auto Prepare = [&Stream](httplib::Request &Request) {
      Stream.endHeaders();
      passUnchanged(Request);
    };
    ++Serving;
    const bool Served = process_request(Stream, Closing, Closed, Prepare);
    --Serving;
    // After malformed headers the next bytes have no known meaning.
    if (!Served || !Stream.headersRead())
      break;
  }
  reportReadFailure(Socket, Stream.timedOut(), Stream.tooLarge(),
                    Stream.headersRead());
}

} // namespace mallowglade

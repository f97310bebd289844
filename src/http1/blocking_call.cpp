#include <mallowglade/detail/http1/blocking_call.hpp>

#include <mallowglade/detail/http1/message_parser.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace mallowglade::http1 {

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr std::size_t MaxHeadBytes = 65'536;
/// Bytes of a response that may be no part of its body, beside the framing of a
/// chunk for each byte of the body.
constexpr std::uint64_t MaxOverheadBytes = 262'144;
constexpr std::uint64_t MaxChunkOverheadBytes = 8;
constexpr std::size_t ReadBytes = 16'384;

/// Parses a response and passes it on, as far as it is wanted.
class ResponseSink final : public MessageSink {
public:
  ResponseSink(BlockingReceiver &Receiver, bool WithoutBody)
      : Receiver(Receiver), Parser(HTTP_RESPONSE, MaxHeadBytes, *this),
        WithoutBody(WithoutBody) {
    Parser.reset(WithoutBody);
  }

  /// @return false if no more bytes are wanted
  bool feed(std::string_view Bytes) {
    Received += Bytes.size();
    while (!Bytes.empty() && !Complete && Wanted) {
      const std::size_t Consumed = Parser.feed(Bytes);
      Bytes.remove_prefix(Consumed);
      const bool Excess = Received - BodyBytes >
                          MaxOverheadBytes + MaxChunkOverheadBytes * BodyBytes;
      if (Parser.error() != ParseError::None || Excess)
        return false;
      if (Parser.complete()) {
        Complete = Parser.response().Status >= FirstFinalStatus;
        if (!Complete)
          Parser.reset(WithoutBody);
      } else if (Consumed == 0) {
        return false;
      }
    }
    return Wanted && !Complete;
  }
  void endOfInput() {
    if (!Complete && Parser.headComplete() &&
        Parser.response().Framing == BodyFraming::UntilClose)
      Complete = Parser.feedEof();
  }
  bool complete() const { return Complete; }

private:
  void onHead() override {
    if (Parser.response().Status >= FirstFinalStatus)
      Receiver.onHead(Parser.response());
  }
  void onBody(std::string_view Data) override {
    BodyBytes += Data.size();
    if (Wanted)
      Wanted = Receiver.onBody(Data);
  }

  BlockingReceiver &Receiver;
  MessageParser Parser;
  bool WithoutBody;
  std::uint64_t Received = 0;
  std::uint64_t BodyBytes = 0;
  bool Complete = false;
  bool Wanted = true;
};

} // namespace

BlockingExchange::~BlockingExchange() {
  if (Socket >= 0)
    ::close(Socket);
}

bool BlockingExchange::connect(const BlockingCall &Call) {
  sockaddr_in6 SixName{};
  sockaddr_in Name{};
  const bool IsFour =
      ::inet_pton(AF_INET, Call.Host.c_str(), &Name.sin_addr) == 1;
  if (!IsFour &&
      ::inet_pton(AF_INET6, Call.Host.c_str(), &SixName.sin6_addr) != 1)
    return false;
  Name.sin_family = AF_INET;
  SixName.sin6_family = AF_INET6;
  Name.sin_port = SixName.sin6_port = htons(Call.Port);
  Socket = ::socket(IsFour ? AF_INET : AF_INET6,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  const int Result =
      IsFour ? ::connect(Socket, reinterpret_cast<const sockaddr *>(&Name),
                         sizeof(Name))
             : ::connect(Socket, reinterpret_cast<const sockaddr *>(&SixName),
                         sizeof(SixName));
  if (Result == 0)
    return true;
  if (errno != EINPROGRESS || !waitFor(POLLOUT, Call.ConnectTimeout))
    return false;
  int Failure = 0;
  socklen_t Size = sizeof(Failure);
  ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Failure, &Size);
  return Failure == 0;
}

bool BlockingExchange::send(std::string_view Bytes,
                            std::chrono::milliseconds Limit) const {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent > 0)
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    else if ((errno != EAGAIN && errno != EINTR) || !waitFor(POLLOUT, Limit))
      return false;
  }
  return true;
}

std::int64_t BlockingExchange::receive(char *Bytes, std::size_t Size,
                                       std::chrono::milliseconds Limit) const {
  while (true) {
    const ssize_t Read = ::recv(Socket, Bytes, Size, 0);
    if (Read >= 0)
      return Read;
    if ((errno != EAGAIN && errno != EINTR) || !waitFor(POLLIN, Limit))
      return -1;
  }
}

bool BlockingExchange::waitFor(short Events,
                               std::chrono::milliseconds Limit) const {
  pollfd Wanted{Socket, Events, 0};
  return ::poll(&Wanted, 1, static_cast<int>(Limit.count())) > 0;
}

void BlockingExchange::interrupt() {
  Interrupted = true;
  if (Socket >= 0)
    ::shutdown(Socket, SHUT_RDWR);
}

BlockingEnd BlockingExchange::run(const BlockingCall &Call,
                                  BlockingReceiver &Receiver) {
  if (!connect(Call))
    return BlockingEnd::NotConnected;
  ResponseSink Sink(Receiver, Call.WithoutBody);
  auto LastByte = std::chrono::steady_clock::now();
  bool Open = !Interrupted && send(Call.Message, Call.SilenceLimit);
  std::array<char, ReadBytes> Bytes{};
  while (Open && !Interrupted) {
    const std::int64_t Size =
        receive(Bytes.data(), Bytes.size(), Call.SilenceLimit);
    if (Size == 0)
      Sink.endOfInput();
    if (Size <= 0)
      break;
    LastByte = std::chrono::steady_clock::now();
    Open = Sink.feed({Bytes.data(), static_cast<std::size_t>(Size)});
  }
  if (Sink.complete())
    return BlockingEnd::Complete;
  return std::chrono::steady_clock::now() - LastByte >= Call.SilenceLimit
             ? BlockingEnd::Silent
             : BlockingEnd::Broken;
}

} // namespace mallowglade::http1

#include <scripted_server.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fleet {

namespace {

constexpr int AcceptPollMs = 20;
constexpr int Backlog = 128;

} // namespace

ScriptedConnection::~ScriptedConnection() { close(); }

std::string ScriptedConnection::readRequest() {
  std::array<char, 65'536> Bytes{};
  while (true) {
    const auto HeadEnd = Input.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      const std::string Length = fieldOf(Input, "content-length");
      const std::size_t Size =
          HeadEnd + 4 + (Length.empty() ? 0 : std::stoul(Length));
      if (Input.size() >= Size) {
        std::string Request = Input.substr(0, Size);
        Input.erase(0, Size);
        ++Requests;
        return Request;
      }
    }
    const ssize_t Read = ::recv(Socket, Bytes.data(), Bytes.size(), 0);
    if (Read <= 0)
      return {};
    Input.append(Bytes.data(), static_cast<std::size_t>(Read));
  }
}

bool ScriptedConnection::send(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Written =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Written <= 0)
      return false;
    Sent += static_cast<std::size_t>(Written);
  }
  return true;
}

void ScriptedConnection::close() {
  const int Closing = Socket.exchange(-1);
  if (Closing >= 0)
    ::close(Closing);
}

void ScriptedConnection::reset() {
  const linger Option{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
  close();
}

void ScriptedConnection::interrupt() const {
  const int Open = Socket;
  if (Open >= 0)
    ::shutdown(Open, SHUT_RDWR);
}

ScriptedServer::ScriptedServer(const std::string &Host, int Port,
                               Script OnRequest)
    : OnRequest(std::move(OnRequest)) {
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Host.c_str(), &Local.sin_addr);
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  socklen_t Size = sizeof(Local);
  auto *Name = reinterpret_cast<sockaddr *>(&Local);
  if (::bind(Listener, Name, Size) != 0 || ::listen(Listener, Backlog) != 0 ||
      ::getsockname(Listener, Name, &Size) != 0)
    throw std::runtime_error("a scripted server cannot listen");
  Address = fmt::format("{}:{}", Host, ntohs(Local.sin_port));
  Acceptor = std::thread([this] { acceptConnections(); });
}

ScriptedServer::~ScriptedServer() {
  Stopping = true;
  Acceptor.join();
  ::close(Listener);
  for (const auto &Each : Connections)
    Each->interrupt();
  for (std::thread &Each : Threads)
    Each.join();
}

void ScriptedServer::acceptConnections() {
  while (!Stopping) {
    pollfd Wanted{Listener, POLLIN, 0};
    if (::poll(&Wanted, 1, AcceptPollMs) <= 0)
      continue;
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    auto Connection = std::make_shared<ScriptedConnection>(Socket);
    Connections.push_back(Connection);
    Threads.emplace_back([this, Connection] {
      for (std::string Request = Connection->readRequest(); !Request.empty();
           Request = Connection->readRequest()) {
        OnRequest(*Connection, Request);
        if (Connection->closed())
          return;
      }
      Connection->close();
    });
  }
}

std::string fieldOf(const std::string &Request, const std::string &Name) {
  const std::size_t HeadEnd = Request.find("\r\n\r\n");
  for (std::size_t Begin = Request.find("\r\n"); Begin < HeadEnd;
       Begin = Request.find("\r\n", Begin + 2)) {
    const std::size_t Line = Begin + 2;
    const std::size_t Colon = Request.find(':', Line);
    if (Colon == std::string::npos || Colon - Line != Name.size() ||
        ::strncasecmp(Request.data() + Line, Name.data(), Name.size()) != 0)
      continue;
    const std::size_t Value = Request.find_first_not_of(' ', Colon + 1);
    return Request.substr(Value, Request.find("\r\n", Value) - Value);
  }
  return {};
}

std::string chunkOf(const std::string &Data) {
  return fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

} // namespace fleet

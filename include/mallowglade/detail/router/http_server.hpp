#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/kernel.hpp>

#include <httplib.h>

#include <atomic>

namespace mallowglade {

/// @brief A request header that the HTTP library would act on.
struct PreservedHeader {
  /// Name on the wire.
  const char *Name;
  /// Name under which handlers find it.
  const char *KeptAs;
};

/// @brief Headers that `HttpServer` renames before the body is read.
inline constexpr PreservedHeader PreservedHeaders[] = {
    {"Content-Type", "X-Mallowglade-Content-Type"},
    {"Content-Encoding", "X-Mallowglade-Content-Encoding"}};

/// @brief Limits of a server towards its clients.
struct HttpServerLimits {
  /// Most connections served at once; further ones get 503 at once.
  std::size_t MaxConnections = 0;
  /// Time for the first bytes of a request; later ones need a minimum rate.
  Milliseconds HeaderTimeout{};
  std::uint64_t MaxBodyBytes = 0;
};

/// @brief HTTP server with limits that hold against slow clients.
class HttpServer final : public httplib::Server {
public:
  /// @param Limits limits towards clients
  explicit HttpServer(HttpServerLimits Limits);
  /// @brief Binds an address; clients may connect from now on.
  /// @return false if the address cannot be used
  bool bind(const std::string &Host, std::uint16_t Port);
  /// @brief Ends idle connections soon; requests in progress go on.
  void closeIdleConnections();
  /// @return requests whose reply is not completely written
  std::size_t serving() const { return Serving; }

private:
  bool process_and_close_socket(socket_t Socket) override;
  void serve(socket_t Socket);

  HttpServerLimits Limits;
  socket_t ListenSocket = INVALID_SOCKET;
  std::atomic<std::size_t> Connections{0};
  std::atomic<std::size_t> Serving{0};
  std::atomic<bool> Closing{false};
};

} // namespace mallowglade

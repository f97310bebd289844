#pragma once

#include "../../platform/wire.hpp"

#include <mallowglade/dataplane.hpp>

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// One connection that a scripted upstream has accepted.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
public:
  explicit UpstreamSession(asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}
  void send(const std::string &Bytes);
  /// Sends an end of stream after what was sent.
  void close();
  /// Resets the connection.
  void reset();
  /// True once the router closed the connection.
  bool Ended = false;
  /// Requests received on this connection, head and body.
  std::vector<std::string> Requests;

private:
  friend class ProxyWorld;
  asio::ip::tcp::socket Socket;
  std::string Input;
  std::array<char, 16'384> Bytes{};
};

/// A router's traffic thread with scripted upstreams and raw callers, all on
/// one event loop and the loopback interface.
class ProxyWorld {
public:
  /// Called for each request that an upstream receives.
  using Script =
      std::function<void(UpstreamSession &Session, const std::string &Request)>;

  explicit ProxyWorld(unsigned Upstreams);
  ~ProxyWorld();

  /// Opens a connection to the router.
  /// @return index of the caller
  std::size_t connect();
  void sendFrom(std::size_t Caller, const std::string &Bytes);
  void closeCaller(std::size_t Caller);
  /// Runs the loop until a condition holds.
  /// @return false if it does not hold within two seconds
  bool until(const std::function<bool()> &Condition);
  /// Runs the loop for a time.
  void runFor(std::chrono::milliseconds Span);
  const std::string &received(std::size_t Caller) const;
  bool closedByRouter(std::size_t Caller) const;
  /// All requests that reached any upstream.
  std::size_t arrivals() const;

  /// A request as a caller sends it.
  static std::string request(const std::string &Method, const std::string &Path,
                             const std::string &Id,
                             const std::string &Extra = "",
                             const std::string &Body = "");
  /// A signed answer with a length.
  static std::string answer(const std::string &Id, const std::string &Body,
                            const std::string &Status = "200 OK",
                            const std::string &Extra = "");

  mallowglade::dataplane::ControlView View;
  std::vector<std::shared_ptr<UpstreamSession>> Sessions;
  Script OnRequest;
  std::unique_ptr<mallowglade::dataplane::Traffic> Router;
  /// Applies `View` to the router.
  void apply();

private:
  struct Caller {
    explicit Caller(asio::io_context &Context) : Socket(Context) {}
    asio::ip::tcp::socket Socket;
    std::string Received;
    bool Closed = false;
    std::array<char, 16'384> Bytes{};
  };
  void accept(asio::ip::tcp::acceptor &From);
  void readSession(const std::shared_ptr<UpstreamSession> &Session);
  void readCaller(const std::shared_ptr<Caller> &From);

  asio::io_context Context;
  mallowglade::SystemClock Time;
  mallowglade::SeededRandom Random{7};
  mallowglade::dataplane::EventLog Log;
  mallowglade::platform::PlatformWire Wire;
  mallowglade::dataplane::NodeSettings Settings;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> Acceptors;
  std::vector<std::shared_ptr<Caller>> Callers;
};

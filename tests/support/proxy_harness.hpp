#pragma once

#include "../../platform/wire.hpp"

#include <mallowglade/dataplane.hpp>

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A connection that a scripted upstream has accepted.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
public:
  explicit UpstreamSession(asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}
  void send(const std::string &Bytes);
  /// Sends what fits into the socket's buffer, without waiting.
  /// @return number of bytes sent
  std::size_t trySend(const std::string &Bytes);
  /// Shuts the connection down and closes it, after the bytes sent so far.
  void close();
  /// Closes the connection with a TCP reset.
  void reset();
  /// True once reading from the router failed or reached the end of stream.
  bool ClosedByRouter = false;
  /// Complete requests received on this connection, head and body.
  std::vector<std::string> Requests;
  /// Index of the upstream.
  std::size_t Upstream = 0;

private:
  friend class ProxyHarness;
  asio::ip::tcp::socket Socket;
  std::string Input;
  std::array<char, 16'384> Bytes{};
};

/// Test harness: the traffic part of a router with scripted upstreams and
/// callers that send raw bytes, on one event loop and the loopback interface.
class ProxyHarness {
public:
  /// Called for each request that an upstream receives.
  using Script =
      std::function<void(UpstreamSession &Session, const std::string &Request)>;

  explicit ProxyHarness(unsigned Upstreams);
  ~ProxyHarness();

  /// Opens a connection to the router.
  /// @return index of the caller
  std::size_t connect();
  /// @return true if the router accepts a connection, which is closed at once
  bool acceptsConnections();
  /// Keeps the event loop from running for the given time, as on an instance
  /// without processor time, then lets the router notice.
  void stall(std::chrono::milliseconds Duration);
  void sendAsCaller(std::size_t Caller, const std::string &Bytes);
  void closeCaller(std::size_t Caller);
  /// Leaves what is sent to a caller unread.
  void stopReading(std::size_t Caller);
  /// Reads up to so many bytes that have arrived at a caller which has stopped.
  void readSome(std::size_t Caller, std::size_t Bytes);
  /// Reads on after a stop.
  void readOn(std::size_t Caller);
  /// Runs the event loop until a condition holds.
  /// @return false if it does not hold within two seconds
  bool runUntil(const std::function<bool()> &Condition);
  /// Runs the event loop for the given time.
  void runFor(std::chrono::milliseconds Duration);
  const std::string &received(std::size_t Caller) const;
  bool closedByRouter(std::size_t Caller) const;
  /// Number of requests that upstreams have received.
  std::size_t requestCount() const;
  /// Ends an upstream: its connections are reset, new ones are refused.
  void crash(std::size_t Upstream);

  /// A request as a caller sends it, with the key "key" of the workspace
  /// "desk". The workspace "shop" has the key "shop-key".
  static std::string callerRequest(const std::string &Method,
                                   const std::string &Path,
                                   const std::string &Id,
                                   const std::string &Extra = "",
                                   const std::string &Body = "");
  /// A response with the upstream signature and a Content-Length.
  static std::string signedResponse(const std::string &Id,
                                    const std::string &Body,
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
    bool Stopped = false;
    std::array<char, 16'384> Bytes{};
  };
  void acceptFrom(std::size_t Upstream);
  void readSession(const std::shared_ptr<UpstreamSession> &Session);
  void readCaller(const std::shared_ptr<Caller> &Source);

  asio::io_context Context;
  mallowglade::SystemClock Time;
  mallowglade::SeededRandom Random{7};
  mallowglade::dataplane::EventLog Log;
  mallowglade::platform::PlatformWire Wire;
  mallowglade::dataplane::NodeSettings Settings;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> Acceptors;
  std::vector<std::shared_ptr<Caller>> Callers;
};

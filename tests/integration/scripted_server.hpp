#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fleet {

/// Connection that a scripted server has accepted.
class ScriptedConnection {
public:
  explicit ScriptedConnection(int Socket) : Socket(Socket) {}
  ~ScriptedConnection();
  ScriptedConnection(const ScriptedConnection &) = delete;
  ScriptedConnection &operator=(const ScriptedConnection &) = delete;

  /// @return head and body of the next request; empty at the end of input
  std::string readRequest();
  /// @return false if the peer no longer takes bytes
  bool send(const std::string &Bytes) const;
  /// Closes in order after what was sent.
  void close();
  /// Closes with a TCP reset.
  void reset();
  /// Ends waiting calls of another thread.
  void interrupt() const;
  bool closed() const { return Socket < 0; }
  /// Requests read so far.
  unsigned requestCount() const { return Requests; }

private:
  std::atomic<int> Socket;
  std::string Input;
  unsigned Requests = 0;
};

/// A server in this process whose bytes a test decides.
class ScriptedServer {
public:
  /// Called for each request, on a thread of its connection.
  using Script =
      std::function<void(ScriptedConnection &, const std::string &Request)>;

  /// @param Host loopback address
  /// @param Port port; 0 for a free one
  ScriptedServer(const std::string &Host, int Port, Script OnRequest);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// @return `ip:port`
  const std::string &address() const { return Address; }

private:
  void acceptConnections();

  Script OnRequest;
  std::string Address;
  int Listener = -1;
  std::atomic<bool> Stopping{false};
  std::vector<std::shared_ptr<ScriptedConnection>> Connections;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// @return value of a header field of a request; empty if it is not there
std::string fieldOf(const std::string &Request, const std::string &Name);
/// @return a chunk of a body
std::string chunkOf(const std::string &Data);

} // namespace fleet

#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Sender of a message between routers.
struct PeerSender {
  RouterId Router;
  Incarnation Start;
};

/// @brief Counters of the router-to-router traffic.
struct PeerTraffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t MessagesRejected = 0;
};

/// @brief Sends one-way messages to other routers; control thread only.
///
/// A message may be lost, delayed or delivered twice; an answer is a message
/// of its own.
class PeerNetwork {
public:
  /// @brief Receives messages of one type, on the control thread.
  using Handler = std::function<void(const PeerSender &, std::string_view)>;

  virtual ~PeerNetwork() = default;
  /// @brief Sends a message; the failure to deliver it is not reported.
  /// @param To advertised peer address of the receiver; may be this router
  /// @param Type message type, for example `grant`
  /// @param Body encoded message (msgpack)
  virtual void send(const RouterId &To, std::string_view Type,
                    std::string Body) = 0;
  /// @brief Sets the handler of a message type; one handler for each type.
  /// @param Type message type
  /// @param Receive handler
  virtual void onMessage(std::string_view Type, Handler Receive) = 0;
  /// @return traffic counters since the start
  virtual PeerTraffic traffic() const = 0;
};

} // namespace mallowglade

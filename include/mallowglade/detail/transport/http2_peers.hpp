#pragma once

#include <mallowglade/detail/transport/peer_network.hpp>

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace mallowglade {

/// @brief Settings and limits of the router-to-router network.
struct Http2PeersOptions {
  /// Address to accept connections on, `ip:port`; outgoing connections use
  /// its address part as their source address.
  std::string Listen;
  /// Advertised peer address of this router.
  RouterId Self;
  Incarnation Start;
  /// Shared secret of the routers.
  std::string FleetKey;
  /// Most outgoing connections kept; beyond it the least recently used one is
  /// closed. One link takes about 40 KiB, so 64 of them fit into a tenth of
  /// the 32 MB allowed for control state.
  std::size_t MaxOutgoing = 64;
  /// Most incoming connections kept. The owner of a cell is reached by every
  /// router, so this is above the design size of 390 routers.
  std::size_t MaxIncoming = 512;
  /// Largest message, in bytes; a pack of settings is below 1 MB.
  std::size_t MaxMessageBytes = 4U << 20U;
  /// Most bytes waiting or unanswered per peer; beyond it the oldest waiting
  /// messages are dropped.
  std::size_t MaxQueuedBytes = 8U << 20U;
  /// Most bytes of incomplete incoming messages on all connections together;
  /// their senders are not authenticated yet.
  std::size_t MaxIncomingBytes = 16U << 20U;
  /// Time between PINGs while a connection is in use.
  Milliseconds PingPeriod{1'000};
  /// A connection without an answer to a PING for this long is closed.
  Milliseconds PingTimeout{3'000};
  /// A connection counts as in use this long after its last message.
  Milliseconds InUse{3'000};
  /// An outgoing connection without messages for this long is closed.
  Milliseconds IdleLimit{30'000};
  /// A message that waits longer than this for a connection is dropped: its
  /// receiver would act on outdated state.
  Milliseconds MaxWait{3'000};
  /// Waits between attempts to connect; doubled from the first to the second.
  Milliseconds MinBackoff{100};
  Milliseconds MaxBackoff{2'000};
};

/// @brief Router-to-router messages over HTTP/2.
///
/// Every message is one `POST /peer/<type>`, answered with 204. All methods
/// run on the thread of the Asio context, except `listen`.
class Http2Peers final : public PeerNetwork {
public:
  /// @param Context Asio context of the control thread
  /// @param Time source of time
  /// @param Options settings and limits
  Http2Peers(asio::io_context &Context, const Clock &Time,
             Http2PeersOptions Options);
  ~Http2Peers() override;
  Http2Peers(const Http2Peers &) = delete;
  Http2Peers &operator=(const Http2Peers &) = delete;

  /// @brief Starts to accept connections; may be called before the control
  ///   thread runs.
  /// @return success, or `transport.connect_failed` if the address is not
  ///   available
  Result<Success> listen();
  /// @brief Closes all connections; nothing is sent or received afterwards.
  void stop();

  void send(const RouterId &To, std::string_view Type,
            std::string Body) override;
  void onMessage(std::string_view Type, Handler Receive) override;
  PeerTraffic traffic() const override;
  /// @return number of open outgoing connections
  std::size_t outgoingCount() const;
  /// @return number of open incoming connections
  std::size_t incomingCount() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/dataplane/event_log.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>
#include <mallowglade/detail/dataplane/peer_directory.hpp>
#include <mallowglade/detail/dataplane/reading_policy.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>
#include <mallowglade/detail/http1/server.hpp>
#include <mallowglade/detail/telemetry/metrics.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace mallowglade::dataplane {

/// @brief Sends work to the traffic thread.
class TrafficLink {
public:
  virtual ~TrafficLink() = default;
  /// @brief Runs a task on the traffic thread.
  virtual void onTraffic(std::function<void(Traffic &)> Task) = 0;
};

/// @brief State shared with other routers; all members run on the control
///   thread.
///
/// Reads the metadata store, exchanges reports with the other routers, and
/// answers questions about readiness, addresses and metrics.
class Control {
public:
  Control(asio::io_context &Context, const NodeSettings &Settings,
          const WireProtocol &Wire, FleetStore &Store, TrafficLink &Link,
          const Clock &Time, RandomSource &Random, EventLog &Log);

  /// @brief Starts listening and polling.
  std::error_code start();
  /// @brief Withdraws this router from what callers are offered.
  void leave();
  /// @return true while callers may be sent here
  bool ready() const;
  /// @return true while this router should be named to callers
  bool offered() const;
  /// @brief Takes the traffic thread's report.
  void onReport(TrafficReport Report, TrafficCounters Counters);

private:
  void pollStore();
  void readStore();
  void readSoon();
  void onProof(const StateProof &Proof);
  void sendReport();
  void sendTo(const std::vector<std::string> &Addresses,
              const std::string &Bytes);
  void onState(TimePoint Asked, Result<FleetState> State);
  void publish();
  void announce();
  void exchange();
  void receive();
  /// @return true if the datagram told something new
  bool onDatagram(std::size_t Size);
  /// @brief Sends a digest of another zone to the routers of this one, if this
  ///   router is the one to do so.
  void handOn(PeerReport Digest);
  void publishPeers();
  void onReadiness(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void onAddresses(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void onMetrics(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void every(asio::steady_timer &Timer, Milliseconds Period,
             std::function<void()> Task);

  asio::io_context &Context;
  const NodeSettings &Settings;
  const WireProtocol &Wire;
  FleetStore &Store;
  TrafficLink &Link;
  const Clock &Time;
  RandomSource &Random;
  EventLog &Log;
  RouterRecord Self;
  PeerDirectory Peers;
  ReadingPolicy Readings;
  http1::Http1Server ReadinessServer;
  std::unique_ptr<http1::Http1Server> AddressesServer;
  http1::Http1Server MetricsServer;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::array<char, 65'536> Datagram{};
  asio::steady_timer PollTimer;
  asio::steady_timer AnnounceTimer;
  asio::steady_timer ExchangeTimer;
  asio::steady_timer ReadTimer;
  asio::steady_timer ReceiveTimer;
  Metrics Counts;
  ControlView View;
  TrafficReport OwnReport;
  TrafficCounters OwnCounters;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// When the reports with the newest sequence numbers were sent.
  std::map<std::uint64_t, TimePoint> SentAt;
  /// Fingerprint of `View`.
  std::uint64_t Fingerprint = 0;
  TimePoint LastRead{};
  bool Reading = false;
  bool StoreReachable = false;
  /// True after a reading that failed; unlike `StoreReachable`, false at start.
  bool StoreLost = false;
  bool Leaving = false;
  /// True while the traffic thread owes a report.
  bool AwaitsReport = false;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/admission.hpp>
#include <mallowglade/detail/dataplane/crash_history.hpp>
#include <mallowglade/detail/dataplane/event_log.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>
#include <mallowglade/detail/dataplane/overload.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/detail/http1/server.hpp>
#include <mallowglade/detail/http1/upstream_pool.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace mallowglade::dataplane {

/// @brief What the control thread hands to the traffic thread.
struct ControlView {
  std::shared_ptr<const Configuration> Config;
  std::vector<UpstreamRecord> Upstreams;
  /// Start of the newest reading of the store that succeeded.
  TimePoint ProvenAt{};
  std::size_t Routers = 1;
};

/// @brief What the other routers reported, added up.
struct PeerSums {
  LoadTable Loads;
  UsageTable Usage;
  CrashTable Crashes;
  /// Sum of the routers' pace factors, and their number.
  double PaceSum = 0;
  double Routers = 0;
};

/// @brief What the traffic thread tells the other routers.
struct TrafficReport {
  LoadTable Loads;
  UsageTable Usage;
  CrashTable Crashes;
  std::size_t BusyConnections = 0;
  /// True while callers should be sent to other routers.
  bool Overloaded = false;
  double Pace = 1;
};

/// @brief Counters of the traffic thread, for the metrics.
struct TrafficCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Retries = 0;
  std::uint64_t ResumedStreams = 0;
  std::uint64_t CallersGone = 0;
};

class RequestRun;

/// @brief Serves callers' requests; all members run on the traffic thread.
class Traffic {
public:
  Traffic(asio::io_context &Context, const NodeSettings &Settings,
          const WireProtocol &Wire, const Clock &Time, RandomSource &Random,
          EventLog &Log);
  ~Traffic();

  /// @brief Starts to accept callers.
  std::error_code start();
  /// @brief Takes a new view of the control thread.
  void apply(const ControlView &View);
  /// @brief Takes the time of a newer proof of the same state.
  void prove(TimePoint ProvenAt);
  /// @brief Takes the sums of the other routers' reports.
  void applyPeers(const PeerSums &Sums);
  /// @return what the other routers should know
  TrafficReport report();
  /// @brief Ends idle connections and asks callers of busy ones to leave.
  void drain();
  /// @brief Refuses new requests for streams; others are still served.
  void refuseStreams() { RefusingStreams = true; }
  /// @brief Refuses new requests; those at upstreams go on.
  void refuseNew();
  const TrafficCounters &counters() const { return Counters; }
  std::size_t openConnections() const { return Server.connections(); }
  std::size_t busyConnections() const { return Server.busyConnections(); }
  std::uint64_t upstreamConnectionsOpened() const { return Pool.opened(); }
  std::size_t waiting() const { return Queue.waiting(); }

private:
  friend class RequestRun;

  void onRequest(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void refuseAtOnce(http1::ServerExchange &Exchange, unsigned Status,
                    std::string_view Reason, const AttemptId &Attempt);
  const ServiceId &pickService(const Route &Of);
  bool credentialsFresh() const;
  void schedulePump();
  void tick();

  asio::io_context &Context;
  const NodeSettings &Settings;
  const WireProtocol &Wire;
  const Clock &Time;
  RandomSource &Random;
  EventLog &Log;
  http1::Http1Server Server;
  http1::UpstreamPool Pool;
  UpstreamTable Upstreams;
  Placement Places;
  FairShare Shares;
  Admission Queue;
  RetryAllowance Retries;
  CrashHistory Crashes;
  ControlView View;
  TrafficCounters Counters;
  asio::steady_timer Ticker;
  OverloadDetector Overload;
  bool PumpScheduled = false;
  bool Refusing = false;
  bool RefusingStreams = false;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/admission.hpp>
#include <mallowglade/detail/dataplane/event_log.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>
#include <mallowglade/detail/dataplane/overload.hpp>
#include <mallowglade/detail/dataplane/request_features.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/detail/http1/server.hpp>
#include <mallowglade/detail/http1/upstream_pool.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace mallowglade::dataplane {

/// @brief Fleet state that the control thread passes to the traffic thread.
struct ControlView {
  std::shared_ptr<const Configuration> Config;
  std::vector<UpstreamRecord> Upstreams;
  /// Newest time at which this state is proven to be current in the store.
  TimePoint ProvenAt{};
  /// Number of routers alive.
  std::size_t Routers = 1;
  /// Quarantines in the store.
  CrashReport Stored;
};

/// @brief Sums of the other routers' reports.
struct PeerSums {
  LoadTable Loads;
  UsageTable Usage;
  CrashReport Crashes;
  /// Latest statements of upstreams on their limits.
  LimitTable Limits;
  /// The other routers among which limits are divided.
  std::vector<FleetMember> Members;
  /// True if this router is the first one of those that are live.
  bool FirstOfFleet = false;
  /// Sum of the other routers' work limit factors, and number of these routers.
  double WorkLimitFactorSum = 0;
  double Routers = 0;
};

/// @brief Report of the traffic thread to the other routers.
struct TrafficReport {
  LoadTable Loads;
  UsageTable Usage;
  CrashReport Crashes;
  LimitTable Limits;
  DemandTable Demand;
  std::size_t BusyConnections = 0;
  /// True while callers should be sent to other routers.
  bool Overloaded = false;
  /// Work limit factor that results from this router's own requests.
  double WorkLimitFactor = 1;
};

/// @brief Counters that the traffic thread keeps for the metrics.
struct TrafficCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  /// Streams refused because this router was overloaded; part of `Refused`.
  std::uint64_t RefusedForOverload = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Retries = 0;
  std::uint64_t ResumedStreams = 0;
  std::uint64_t CallersGone = 0;
  /// Upstreams in the list that have said that they are leaving, and that have
  /// asked for a pause which has not ended.
  std::uint64_t UpstreamsLeaving = 0;
  std::uint64_t UpstreamsPaused = 0;
  /// Upstreams in the list that have named a limit, and requests refused
  /// because of limits; the latter are part of `Refused`.
  std::uint64_t UpstreamsLimited = 0;
  std::uint64_t RefusedForLimits = 0;
  /// Features of requests that are in quarantine, and requests refused for
  /// them; the latter are part of `Refused`.
  std::uint64_t QuarantinedFeatures = 0;
  std::uint64_t RefusedForQuarantine = 0;
};

class RequestRun;

/// @brief Receives callers' requests and forwards them to upstreams.
///
/// All member functions run on the traffic thread.
class Traffic {
public:
  Traffic(asio::io_context &Context, const NodeSettings &Settings,
          const WireProtocol &Wire, const Clock &Time, RandomSource &Random,
          EventLog &Log);
  ~Traffic();

  /// @brief Starts accepting connections of callers.
  std::error_code start();
  /// @brief Replaces the fleet state.
  void apply(const ControlView &View);
  /// @brief Advances the time at which the unchanged state is proven to be
  ///   current; an earlier time has no effect.
  void updateProvenAt(TimePoint ProvenAt);
  /// @brief Replaces the sums of the other routers' reports.
  void applyPeerSums(const PeerSums &Sums);
  /// @return this router's report for the other routers
  TrafficReport report();
  /// @brief Closes idle connections now and busy ones after their response.
  void drain();
  /// @brief Refuses new requests on streaming routes; others are still served.
  void refuseNewStreams() { RefusingNewStreams = true; }
  /// @brief Refuses new and queued requests; those already sent to upstreams
  ///   continue.
  void refuseNewRequests();
  /// @brief Accepts the connections that wait and closes the listening socket
  ///   for good.
  void endListening();
  void closeIdleConnections();
  const TrafficCounters &counters() const { return Counters; }
  std::size_t openConnections() const { return Server.connections(); }
  std::size_t busyConnections() const { return Server.busyConnections(); }
  std::uint64_t upstreamConnectionsOpened() const { return Pool.opened(); }
  std::size_t waiting() const { return Queue.waiting(); }

private:
  friend class RequestRun;

  void onRequest(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void refuseRequest(http1::ServerExchange &Exchange, unsigned Status,
                     std::string_view Reason, const AttemptId &Attempt,
                     const WorkspaceId &Workspace = WorkspaceId());
  /// @brief Refuses a request with a feature that crashes upstreams.
  void refuseQuarantined(http1::ServerExchange &Exchange,
                         const RequestFeature &Feature,
                         const RequestMetadata &Metadata,
                         const WorkspaceId &Workspace);
  /// @brief Brings the quarantines up to date and logs what has changed.
  void updateQuarantines();
  /// @brief Processes a measurement of the event loop's delay.
  void sampleDelay(Milliseconds Delay);
  /// @brief Opens or closes the listening socket for callers.
  void setListening(bool Listening);
  /// @return true if no backlogged workspace is served clearly less than this
  ///   one; false if shares do not apply
  bool isLeastServed(const Route &MatchedRoute, const WorkspaceId &Workspace);
  /// @brief Follows what an upstream says of itself in a response.
  /// @param SentAt time at which the request was sent
  void observe(const UpstreamRecord &Upstream, const ResponseMetadata &Response,
               TimePoint SentAt);
  /// @brief Follows what an upstream says of its limit.
  void observeLimit(const UpstreamRecord &Upstream,
                    const ResponseMetadata &Response, TimePoint SentAt);
  const ServiceId &pickService(const Route &MatchedRoute);
  bool credentialsFresh() const;
  void scheduleDispatch();
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
  Placement Placer;
  FairShare Shares;
  Admission Queue;
  RouterRetryBudget Retries;
  CrashAttribution Crashes;
  ControlView View;
  TrafficCounters Counters;
  asio::steady_timer Ticker;
  OverloadDetector Overload;
  bool DispatchScheduled = false;
  bool RefusingNewRequests = false;
  bool RefusingNewStreams = false;
  bool ListeningEnded = false;
  /// True while this object is destroyed.
  bool Ending = false;
  /// Lets posted tasks notice that this object is gone.
  std::shared_ptr<const bool> Alive = std::make_shared<const bool>(true);
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/admission.hpp>
#include <mallowglade/detail/dataplane/event_log.hpp>
#include <mallowglade/detail/dataplane/explanation.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>
#include <mallowglade/detail/dataplane/overload.hpp>
#include <mallowglade/detail/dataplane/request_features.hpp>
#include <mallowglade/detail/dataplane/unreadable_statements.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/detail/http1/server.hpp>
#include <mallowglade/detail/http1/upstream_pool.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief Fleet state that the control thread passes to the traffic thread.
struct ControlView {
  std::shared_ptr<const Configuration> Config;
  std::vector<UpstreamRecord> Upstreams;
  /// Availability zones whose upstreams get no new requests.
  std::set<ZoneId> EvacuatedZones;
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
  /// Latest that the other routers have learned of cold upstreams.
  ColdTable Cold;
  /// The other routers among which limits are divided.
  std::vector<FleetMember> Members;
  /// Zones with registered routers of which none is heard from.
  std::set<ZoneId> SilentZones;
  /// True if this router is the first one of those that are live.
  bool FirstOfFleet = false;
  /// Sum of the other routers' work limit factors, and number of these routers.
  double WorkLimitFactorSum = 0;
  double Routers = 0;
  OfferedRates Offered;
  /// Where the other routers have sent prefixes lately.
  std::vector<PrefixPlacement> Prefixes;
};

/// @brief Report of the traffic thread to the other routers.
struct TrafficReport {
  LoadTable Loads;
  UsageTable Usage;
  CrashReport Crashes;
  LimitTable Limits;
  DemandTable Demand;
  ColdTable Cold;
  std::size_t BusyConnections = 0;
  /// True while callers should be sent to other routers.
  bool Overloaded = false;
  /// Work limit factor that results from this router's own requests.
  double WorkLimitFactor = 1;
  OfferedRates Offered;
  std::vector<PrefixPlacement> Prefixes;
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
  /// Upstreams in the list whose zone is evacuated, and requests refused
  /// because their service has no other; the latter are part of `Refused`.
  std::uint64_t UpstreamsEvacuated = 0;
  std::uint64_t RefusedForEvacuation = 0;
  /// Requests refused because no upstream is in their home regions; part of
  /// `Refused`.
  std::uint64_t RefusedForHomes = 0;
  /// Upstreams in the list that are cold, and failed connections for which an
  /// upstream was taken for restarted.
  std::uint64_t UpstreamsCold = 0;
  std::uint64_t UpstreamsUnreachable = 0;
  /// Bytes that callers have not taken, and callers disconnected because too
  /// much was held for all of them.
  std::uint64_t UnsentBytes = 0;
  std::uint64_t SlowCallers = 0;
  /// Features of requests that are in quarantine, and requests refused for
  /// them; the latter are part of `Refused`.
  std::uint64_t QuarantinedFeatures = 0;
  std::uint64_t RefusedForQuarantine = 0;
  /// Statements in responses that cannot be read, and upstreams in the list
  /// whose registration names such a cold time.
  std::uint64_t UnreadableColdTimes = 0;
  std::uint64_t UnreadableLoads = 0;
  std::uint64_t UnreadableColdEntries = 0;
  /// Factor of the work limit of engines, 0 to 1; below 1 while first events
  /// are late.
  double WorkLimitFactor = 1;
  /// Upstreams in the list that state that work takes clearly longer than
  /// usual.
  std::uint64_t UpstreamsSlow = 0;
  /// Requests sent to engines of another zone because they are less busy, and
  /// because the prefix has its only home there.
  std::uint64_t LeftZoneForLoad = 0;
  std::uint64_t LeftZoneForPrefix = 0;
  /// Requests whose engine was told to fetch their prefix from another one.
  std::uint64_t PrefixesFetched = 0;
  /// Prefixes of which engines that have read them are known, and engines with
  /// a prefix that this router has told the others.
  std::uint64_t PrefixesKnown = 0;
  std::uint64_t PrefixesReported = 0;
  /// Part of the requests for engines that leaves this zone for load, 0 to 1;
  /// the largest of all services.
  double LeavingShare = 0;
  /// Services with fewer slots than there are routers, by name.
  std::map<std::string, SmallServiceStatus> SmallServices;
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
  /// @brief Explains where a request would go now, without sending it.
  /// @return explanation that is valid until this object is used again
  Explanation explain(const ExplanationQuery &Query);
  const TrafficCounters &counters() const { return Counters; }
  std::size_t openConnections() const { return Server.connections(); }
  std::size_t busyConnections() const { return Server.busyConnections(); }
  std::uint64_t upstreamConnectionsOpened() const { return Pool.opened(); }
  std::size_t waiting() const { return Queue.waiting(); }

private:
  friend class RequestRun;

  /// @brief What is known of a request before admission decides on it.
  struct Arrival {
    /// HTTP status and reason of a refusal; 0 if there is none.
    unsigned Status = 0;
    std::string_view Reason;
    bool Overloaded = false;
    const Route *MatchedRoute = nullptr;
    /// Null for a public route.
    const Workspace *Caller = nullptr;
  };
  using WorkspaceLookup =
      std::function<const Workspace *(const Configuration &)>;
  /// @brief Finds the route and the workspace of a request.
  /// @param Host null if the request cannot be read
  /// @param FindCaller called if the route is not public
  Arrival examine(const std::string *Host, std::string_view Path,
                  const WorkspaceLookup &FindCaller);
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
  /// @brief Logs what has changed about services with few slots.
  void logSmallServices();
  void logWorkLimit();
  /// @brief Counts statements of upstreams that cannot be read.
  /// @param Last upstream that made the latest one
  void recordUnreadable(Statement What, std::uint64_t Added,
                        const UpstreamId &Last);
  void countUnreadableRegistrations();
  /// @brief Processes a measurement of the event loop's delay.
  void sampleDelay(Milliseconds Delay);
  /// @brief Opens or closes the listening socket for callers.
  void setListening(bool Listening);
  /// @brief Brings the counters of slow callers up to date and logs new ones.
  void countSlowCallers();
  /// @return true if no backlogged workspace is served clearly less than this
  ///   one; false if shares do not apply
  bool isLeastServed(const Route &MatchedRoute, const WorkspaceId &Workspace);
  /// @brief Follows what an upstream says of itself in a response.
  /// @param SentAt time at which the request was sent
  void observe(const UpstreamRecord &Upstream, const ResponseMetadata &Response,
               TimePoint SentAt);
  /// @brief Counts the slow upstreams and logs clear changes of their number.
  void updateSlowUpstreams();
  /// @brief Brings up to date which requests leave the zone, and logs it.
  void updateZones(ZoneChoice &Zones);
  /// @brief Logs for which services routers begin or cease to tell each other
  ///   which engines have read a prefix.
  void updatePrefixSharing();
  /// @brief Follows what an upstream says of its limit.
  void observeLimit(const UpstreamRecord &Upstream,
                    const ResponseMetadata &Response, TimePoint SentAt);
  /// @brief Records that no connection to a process could be established.
  void observeUnreachable(UpstreamProcess Process);
  /// @brief Puts into force what is known of cold upstreams, and logs what has
  ///   changed.
  void updateCold();
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
  UnreadableStatements Unreadable;
  /// Factor of the work limit in the last line on it.
  double LoggedWorkLimitFactor = 1;
  SeededRandom ExplanationRandom;
  asio::steady_timer Ticker;
  OverloadDetector Overload;
  /// Number of slow upstreams in the last line of the log, and its time.
  std::uint64_t LoggedSlowUpstreams = 0;
  TimePoint SlowUpstreamsLoggedAt{};
  /// Services for which routers tell each other who has read a prefix.
  std::set<ServiceId> SharingPrefixes;
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

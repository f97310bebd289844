#pragma once

#include <mallowglade/detail/dataplane/event_log.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>
#include <mallowglade/detail/dataplane/peer_directory.hpp>
#include <mallowglade/detail/dataplane/restoration_proof.hpp>
#include <mallowglade/detail/dataplane/restore_guard.hpp>
#include <mallowglade/detail/dataplane/store_read_policy.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>
#include <mallowglade/detail/dataplane/zone_evacuations.hpp>
#include <mallowglade/detail/http1/server.hpp>
#include <mallowglade/detail/telemetry/metrics.hpp>
#include <mallowglade/scheduling.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace mallowglade::dataplane {

/// @brief Task queue of the traffic thread.
class TrafficTaskQueue {
public:
  virtual ~TrafficTaskQueue() = default;
  /// @brief Posts a task to the traffic thread; does not wait for it to run.
  virtual void postToTraffic(std::function<void(Traffic &)> Task) = 0;
};

/// @brief Control plane of a router; all members run on the control thread.
///
/// Reads the metadata store, exchanges reports with the other routers, and
/// serves the readiness, address discovery and metrics endpoints.
class Control {
public:
  Control(asio::io_context &Context, const NodeSettings &Settings,
          const WireProtocol &Wire, FleetStore &Store,
          TrafficTaskQueue &TrafficTasks, const Clock &Time,
          RandomSource &Random, EventLog &Log);

  /// @brief Opens the listening sockets and starts the periodic tasks.
  std::error_code start();
  /// @brief Deregisters this router and stops advertising it to callers.
  void startDraining();
  /// @return true while this router is configured and not shutting down
  bool ready() const;
  /// @return true while this router is advertised to callers: ready and not
  ///   overloaded
  bool advertised() const;
  /// @return outcome of readiness probes: true while this router is advertised,
  ///   or while the others could not take over its callers
  bool acceptsCallers() const;
  /// @brief Stores the report of the traffic thread and sends it to the peers.
  void onReport(TrafficReport Report, TrafficCounters Counters);

private:
  void pollStore();
  void readStore();
  /// @brief Reads the store at once, or as soon as the minimum interval
  ///   between reads permits.
  void scheduleRead();
  /// @param ConfirmsOnly true if the proof shows that the state is unchanged
  ///   but not that credentials are current
  void onStateProof(const StateProof &Proof, bool ConfirmsOnly);
  /// @brief Drops what was read before the store came back from a copy, and
  ///   reads it again soon.
  void onStoreRestored(StoreEra Next);
  /// @return false if a report with this era is damaged: responses of earlier
  ///   eras would be dropped from then on
  bool isPlausible(StoreEra Reported) const;
  /// @brief Stores that the era of a read is confirmed, for routers that start
  ///   when no other one runs.
  void confirmEra(const FleetState &Read);
  void sendReport();
  /// @return size and load of this router
  RouterLoad ownLoad();
  /// @return addresses for a caller, or of all routers that accept callers if
  ///   these are of the same size
  std::vector<std::string> addressesFor(const CallerPlace &Place);
  void sendDatagrams(const std::vector<std::string> &Addresses,
                     const std::string &Bytes);
  /// @brief Takes over the first read once other routers were heard.
  void applyFirstRead();
  /// @return true once this router has heard from one that has a configuration
  ///   or from all registered ones, or has waited long enough for them; tells
  ///   whether its first configuration may be old
  bool heardFleet(TimePoint Now) const;
  /// @return newest configuration version that this router or a live one has
  ConfigurationVersion newestKnownConfiguration() const;
  /// @brief Decides whether a read shows that no configuration with a reported
  ///   version was ever written.
  ///
  /// The store loses nothing within an era. Once the era is confirmed, nothing
  /// is missing from earlier ones either.
  /// @param Reported version that was reported before the read began
  bool refutes(const FleetState &Read, ConfigurationVersion Reported) const;
  /// @param KnownConfig newest known configuration when the read was started
  void onState(TimePoint ReadStart, ConfigurationVersion KnownConfig,
               Result<FleetState> State);
  /// @brief Takes over the configuration that was read, unless it is older than
  ///   a known one.
  /// @return true if the read shows that the state is current
  bool acceptConfiguration(ConfigurationVersion KnownConfig,
                           std::shared_ptr<const Configuration> Read);
  void publishState();
  void updateFingerprint();
  /// @brief Takes over the evacuated zones of a read.
  void readEvacuations(const FleetState &Read, TimePoint ReadStart);
  /// @brief Takes over the evacuated zones of a report.
  /// @return true if zones were evacuated or taken back
  bool hearEvacuations(const PeerReport &Report);
  /// @param Source the store, or the router that reported the change
  /// @return true if there is a change
  bool applyEvacuations(const EvacuationChange &Change,
                        std::string_view Source);
  /// @brief Removes zones that the deployment does not have, and counts them.
  void discardUnknownZones(std::set<ZoneId> &Zones, std::string_view Source);
  /// @brief Brings the quarantines in the store up to date, if this router is
  ///   the first one of its zone.
  void storeQuarantines();
  void renewRegistration();
  void exchangeReports();
  void receive();
  /// @return true if the datagram held a report that was accepted
  bool onDatagram(std::size_t Size);
  /// @brief Forwards a digest of another zone to the routers of this zone, if
  ///   this router is responsible for it.
  void forwardDigest(PeerReport Digest);
  void publishPeerSums();
  void onReadiness(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void onAddresses(const std::shared_ptr<http1::ServerExchange> &Exchange);
  void onMetrics(const std::shared_ptr<http1::ServerExchange> &Exchange);
  /// @brief Answers a request for an explanation once the traffic thread has
  ///   written it.
  void onExplain(const std::shared_ptr<http1::ServerExchange> &Exchange);
  /// @brief Runs a task once, a period from now less a random part of it.
  void scheduleNext(asio::steady_timer &Timer, Milliseconds Period,
                    std::function<void()> Task);

  asio::io_context &Context;
  const NodeSettings &Settings;
  const WireProtocol &Wire;
  FleetStore &Store;
  TrafficTaskQueue &TrafficTasks;
  const Clock &Time;
  RandomSource &Random;
  EventLog &Log;
  RouterRecord Self;
  PeerDirectory Peers;
  StoreReadPolicy ReadPolicy;
  RestoreGuard Restorations;
  RestorationProof RestoredConfig;
  ZoneEvacuations Evacuations;
  TimePoint NextUnknownZoneLog{};
  http1::Http1Server ReadinessServer;
  std::unique_ptr<http1::Http1Server> AddressesServer;
  http1::Http1Server MetricsServer;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint DatagramSource;
  std::array<char, 65'536> Datagram{};
  asio::steady_timer PollTimer;
  asio::steady_timer RegistrationTimer;
  asio::steady_timer ExchangeTimer;
  asio::steady_timer ReadTimer;
  asio::steady_timer ReceiveTimer;
  Metrics MetricValues;
  CallerAddresses AddressChoice;
  LookupCounter Lookups;
  TokenBucket ExplanationBudget;
  /// Requests that wait for an explanation, by number; they stay on this
  /// thread.
  std::map<std::uint64_t, std::shared_ptr<http1::ServerExchange>>
      AwaitingExplanation;
  std::uint64_t Explanations = 0;
  ControlView View;
  TrafficReport OwnReport;
  TrafficCounters OwnCounters;
  std::uint64_t Incarnation = 0;
  TimePoint StartedAt{};
  /// First read and its start, until other routers were heard.
  std::optional<std::pair<TimePoint, FleetState>> FirstRead;
  std::uint64_t Sequence = 0;
  /// Send times of the latest reports, by sequence number.
  std::map<std::uint64_t, TimePoint> SentAt;
  /// Latest era of the store that this router has heard of.
  StoreEra KnownEra;
  /// Era of the store in which `View` was read.
  StoreEra ViewEra;
  TimePoint NextEraConfirmation{};
  /// Time at which another router reported `KnownEra`.
  TimePoint EraReportedAt{};
  /// Reported version that the store refuted; such a version, and later ones,
  /// count only once they are read. 0 if there is none.
  ConfigurationVersion RefutedConfig;
  /// Latest reported era that the store refuted; 0 if there is none.
  StoreEra RefutedEra;
  /// True while the store holds an older configuration than the fleet.
  bool ConfigBehind = false;
  /// Hash over the era, the configuration version, the upstreams and the
  /// evacuated zones in `View`.
  std::uint64_t Fingerprint = 0;
  TimePoint LastReadStart{};
  /// Earliest time of the next change of quarantines in the store.
  TimePoint NextQuarantineChange{};
  bool ReadInProgress = false;
  bool StoreReachable = false;
  /// True if the last read failed. Before the first read ends, this and
  /// `StoreReachable` are both false.
  bool StoreUnavailable = false;
  bool Draining = false;
  /// True while a report requested from the traffic thread is outstanding.
  bool ReportOutstanding = false;
};

} // namespace mallowglade::dataplane

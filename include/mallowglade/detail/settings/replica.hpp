#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/platform/key_value_store.hpp>
#include <mallowglade/detail/settings/snapshot.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace mallowglade {

/// @brief A router of the fleet.
struct ReplicaMember {
  RouterId Id;
  ZoneId Zone;
};

/// @brief Requests the settings of a router, or only their version.
struct SettingsRequest {
  bool VersionOnly = false;
  /// Versions of the packs that the sender holds; matching packs are not sent.
  std::map<PackNumber, SettingsVersion> HeldPacks;
};

/// @brief Reply to a settings request.
struct SettingsReply {
  /// Active version; empty if the sender is not ready.
  std::optional<SettingsVersion> Version;
  /// Active head and the packs that the receiver lacks; empty if only the
  /// version was requested.
  std::optional<SettingsHead> Head;
  std::map<PackNumber, SettingsPack> Packs;
};

/// @brief Timing and fan-out of a replica.
struct ReplicaTiming {
  /// Interval over which initial reads are spread, so that 390 routers that
  /// start at once stay below the service limit of 2,000 reads/s.
  Milliseconds StartSpread{1'000};
  /// Interval at which the head is polled, with a jitter of 20 % either way.
  Milliseconds PollPeriod{30'000};
  /// Timeout of a request to a peer.
  Milliseconds PeerTimeout{1'000};
  /// Initial and maximum delay after a failed call to the service. The delay
  /// doubles with each failure and is drawn at random from its upper half.
  Milliseconds InitialBackoff{500};
  Milliseconds MaxBackoff{16'000};
  /// Initial interval between retries while no peer delivers a higher version
  /// that was reported, and interval between quorum queries while the router
  /// is not ready during an outage of the service.
  Milliseconds PeerQueryPeriod{1'000};
  /// Number of routers that each router notifies when it applies a new version.
  /// With 49 routers per zone two rounds reach all of them, and no router sends
  /// the packs to more than a few others.
  std::size_t NotifyFanout = 8;
};

/// @brief Read the head; report to `onHead`.
struct ReadHead {};
/// @brief Read packs; report to `onPacks`.
struct ReadPacks {
  std::vector<PackNumber> Packs;
};
/// @brief Watch the head; report to `onWatch`.
struct WatchHead {
  Revision After;
};
/// @brief Send a settings request to a router.
struct SendSettingsRequest {
  RouterId Peer;
  SettingsRequest Request;
};
/// @brief Notify routers of the active version.
struct NotifyPeers {
  std::vector<RouterId> Peers;
  SettingsVersion Version;
};
/// @brief Activate settings.
struct ApplySettings {
  std::shared_ptr<const SettingsTree> Tree;
  std::shared_ptr<const SettingsSnapshot> Snapshot;
};

/// @brief Log that received settings are invalid.
struct LogInvalidSettings {
  Error Reason;
};

/// @brief Action that the caller executes for the replica.
using ReplicaAction =
    std::variant<ReadHead, ReadPacks, WatchHead, SendSettingsRequest,
                 NotifyPeers, ApplySettings, LogInvalidSettings>;
/// @brief Actions in order of execution.
using ReplicaActions = std::vector<ReplicaAction>;

/// @brief Replicates the settings to one router.
///
/// A state machine without I/O. The active version never decreases: a lower
/// version from a stale read, a stale peer or a delayed message is ignored.
class SettingsReplica {
public:
  /// @param Self this router
  /// @param Seed tree used as version 0; null if there is none
  /// @param Random source of jitter
  /// @param Timing periods and delays
  SettingsReplica(ReplicaMember Self, const nlohmann::json &Seed,
                  RandomSource &Random, ReplicaTiming Timing = {});

  /// @brief Schedules the first read after a random delay.
  void start(TimePoint Now);
  /// @brief Runs the actions that are due; to be called every 100 ms.
  ReplicaActions tick(TimePoint Now);
  /// @brief Updates the list of live routers.
  /// @param Members live routers, including this one
  /// @param KnownCount number of known routers, live or not
  void setMembers(std::vector<ReplicaMember> Members, std::size_t KnownCount);
  /// @brief Handles a report of the version that is active on a router.
  ReplicaActions onPeerVersion(SettingsVersion Version, const RouterId &Peer,
                               TimePoint Now);
  /// @brief Handles the result of a read of the head.
  ReplicaActions onHead(const Result<std::optional<KeyValue>> &Reply,
                        TimePoint Now);
  /// @brief Handles the result of a read of packs.
  ReplicaActions onPacks(const Result<std::vector<KeyValue>> &Reply,
                         TimePoint Now);
  /// @brief Handles the result of a watch.
  ReplicaActions onWatch(const Result<std::optional<KeyValue>> &Reply,
                         TimePoint Now);
  /// @brief Replies to the request of another router.
  SettingsReply handleRequest(const SettingsRequest &Request) const;
  /// @brief Handles the reply of another router.
  ReplicaActions onPeerReply(const RouterId &Peer, const SettingsReply &Reply,
                             TimePoint Now);
  /// @brief Activates a change that this router has committed.
  ReplicaActions onLocalChange(const SettingsSnapshot &Settings, TimePoint Now);
  /// @brief Prevents further watches, because the router is stopping.
  void drain() { Draining = true; }

  /// @return the active version; 0 before any is known
  SettingsVersion version() const { return Active->Head.Version; }
  /// @return true once the router may serve requests with its settings
  bool ready() const { return Ready; }
  /// @return the active records
  std::shared_ptr<const SettingsSnapshot> snapshot() const { return Active; }
  /// @return true if this router watches the head on behalf of its zone
  bool isWatcher() const;
  /// @return true if the last call to the service failed
  bool serviceDown() const { return ServiceFailures > 0; }

private:
  enum class ServiceCall { None, Head, Packs };

  ReplicaActions tickQuorum(TimePoint Now);
  ReplicaActions tickWatch(TimePoint Now);
  ReplicaActions tickPeers(TimePoint Now);
  ReplicaActions processHead(const SettingsHead &Head);
  ReplicaActions assemble(const SettingsHead &Head,
                          std::map<PackNumber, SettingsPack> Packs);
  ReplicaActions activate(SettingsSnapshot Settings);
  ReplicaActions fetchNewerVersion(TimePoint Now);
  std::optional<RouterId> choosePeer();
  bool isInOwnZone(const RouterId &Peer) const;
  std::vector<RouterId> choosePeersToNotify();
  void serviceFailed(TimePoint Now);
  void serviceAnswered(TimePoint Now);
  void scheduleServiceRead(TimePoint Now);
  void markConfirmed();
  void checkQuorum();
  void recordPeerVersion(const RouterId &Peer, SettingsVersion Version);
  Milliseconds jittered(Milliseconds Interval, unsigned MinPercent,
                        unsigned MaxPercent);

  ReplicaMember Self;
  RandomSource &Random;
  ReplicaTiming Timing;
  std::shared_ptr<const SettingsSnapshot> Active;
  /// True if a settings tree is available: the seed tree or a later one.
  bool HasTree = false;
  /// True once the service or a quorum of peers has confirmed the active
  /// version.
  bool Confirmed = false;
  bool Ready = false;
  bool Draining = false;
  std::vector<ReplicaMember> Members;
  std::size_t KnownCount = 1;
  /// Last version reported by each router.
  std::map<RouterId, SettingsVersion> PeerVersions;
  /// Highest version ever reported; a new router is not ready with a lower one.
  SettingsVersion HighestPeerVersion;
  /// Routers that did not deliver; cleared after each activation and retry.
  std::set<RouterId> FailedPeers;
  ServiceCall PendingCall = ServiceCall::None;
  /// Head whose packs are being read from the service.
  SettingsHead PendingHead;
  /// Router with an outstanding request for its settings.
  std::optional<RouterId> PendingPeer;
  TimePoint PeerDeadline;
  TimePoint NextRead;
  TimePoint NextQuorumQuery;
  TimePoint NextWatch;
  TimePoint NextFallback;
  /// Failed attempts to obtain a reported version since the last activation.
  unsigned FallbackAttempts = 0;
  bool WatchPending = false;
  /// Highest revision of the head that was read; a watch starts after it.
  Revision HeadRevision;
  /// Failed calls to the service since its last reply.
  unsigned ServiceFailures = 0;
  /// Versions reported by ready peers since the last reply of the service.
  std::map<RouterId, SettingsVersion> QuorumReplies;
};

} // namespace mallowglade

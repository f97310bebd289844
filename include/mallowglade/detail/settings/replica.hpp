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

/// @brief Another router or this one, as the replica needs it.
struct ReplicaMember {
  RouterId Id;
  ZoneId Zone;
};

/// @brief Asks a router for its settings or only for their version.
struct SettingsRequest {
  bool VersionOnly = false;
  /// Packs that the sender holds and need not be sent.
  std::map<PackNumber, SettingsVersion> Held;
};

/// @brief Answer to a settings request.
struct SettingsReply {
  /// Version in force; nothing if the sender is not ready itself.
  std::optional<SettingsVersion> Version;
  /// Head in force and the packs that the receiver lacks; unused if only the
  /// version was asked for.
  std::optional<SettingsHead> Head;
  std::map<PackNumber, SettingsPack> Packs;
};

/// @brief Timing of a replica.
struct ReplicaTiming {
  /// Initial reads are spread over this time, so that 390 routers that start
  /// at once stay below the service's 2,000 reads/s.
  Milliseconds StartSpread{1'000};
  /// Period of the slow poll, each time varied by a fifth.
  Milliseconds PollPeriod{30'000};
  /// Time after which a peer's reply counts as lost.
  Milliseconds PeerTimeout{1'000};
  /// First and largest delay after a failed call to the service; the delay
  /// doubles in between and is drawn at random from its upper half.
  Milliseconds FirstBackoff{500};
  Milliseconds MaxBackoff{16'000};
  /// Period in which a router asks its peers again while one has a higher
  /// version, or while it is not ready during an outage.
  Milliseconds AskPeriod{1'000};
  /// Routers told about a new version by each router that applies it. With 49
  /// routers per zone two rounds reach all, and no router sends the packs to
  /// more than a few others.
  std::size_t NotifyFanout = 8;
};

/// @brief Read the head; answer with `onHead`.
struct ReadHead {};
/// @brief Read packs; answer with `onPacks`.
struct ReadPacks {
  std::vector<PackNumber> Packs;
};
/// @brief Watch the head; answer with `onWatch`.
struct WatchHead {
  Revision After;
};
/// @brief Send a settings request to a router.
struct AskPeer {
  RouterId Peer;
  SettingsRequest Request;
};
/// @brief Tell routers which version is in force here.
struct NotifyPeers {
  std::vector<RouterId> Peers;
  SettingsVersion Version;
};
/// @brief Put settings in force.
struct ApplySettings {
  std::shared_ptr<const SettingsTree> Tree;
  std::shared_ptr<const SettingsSnapshot> Records;
};

/// @brief Log that received settings were not usable.
struct ReportFault {
  Error Reason;
};

/// @brief An action that the replica wants done.
using ReplicaAction = std::variant<ReadHead, ReadPacks, WatchHead, AskPeer,
                                   NotifyPeers, ApplySettings, ReportFault>;
/// @brief Actions in order.
using ReplicaActions = std::vector<ReplicaAction>;

/// @brief Keeps one router's copy of the settings at the highest version.
///
/// A state machine without I/O. Versions in force only rise: whatever a stale
/// read, a stale peer or a late message brings, a lower version is ignored.
class SettingsReplica {
public:
  /// @param Self this router
  /// @param Seed tree that counts as version 0; null if there is none
  /// @param Random source of jitter
  /// @param Timing periods and delays
  SettingsReplica(ReplicaMember Self, const nlohmann::json &Seed,
                  RandomSource &Random, ReplicaTiming Timing = {});

  /// @brief Starts; the first read happens after a random delay.
  void start(TimePoint Now);
  /// @brief Does what is due; to be called every 100 ms.
  ReplicaActions tick(TimePoint Now);
  /// @brief Takes the routers that answer, this one included.
  /// @param KnownCount routers that are known, whether they answer or not
  void setMembers(std::vector<ReplicaMember> Members, std::size_t KnownCount);
  /// @brief Learns that a router has a version in force.
  ReplicaActions noticeVersion(SettingsVersion Version, const RouterId &Peer,
                               TimePoint Now);
  /// @brief Takes the head that the service returned.
  ReplicaActions onHead(const Result<std::optional<KeyValue>> &Reply,
                        TimePoint Now);
  /// @brief Takes the packs that the service returned.
  ReplicaActions onPacks(const Result<std::vector<KeyValue>> &Reply,
                         TimePoint Now);
  /// @brief Takes the outcome of a watch.
  ReplicaActions onWatch(const Result<std::optional<KeyValue>> &Reply,
                         TimePoint Now);
  /// @brief Answers a request of another router.
  SettingsReply answer(const SettingsRequest &Request) const;
  /// @brief Takes the answer of another router.
  ReplicaActions onPeerReply(const RouterId &Peer, const SettingsReply &Reply,
                             TimePoint Now);
  /// @brief Takes the records of a change that this router has committed.
  ReplicaActions onLocalChange(const SettingsSnapshot &Settings, TimePoint Now);
  /// @brief Starts no further watch; the router is being stopped.
  void drain() { Draining = true; }

  /// @return version in force; 0 before any is known
  SettingsVersion version() const { return InForce->Head.Version; }
  /// @return true once the router may serve with its settings
  bool ready() const { return Ready; }
  /// @return records in force
  std::shared_ptr<const SettingsSnapshot> snapshot() const { return InForce; }
  /// @return true if this router is to watch the head for its zone
  bool isWatcher() const;
  /// @return true if the last call to the service failed
  bool serviceDown() const { return Failures > 0; }

private:
  enum class ServiceCall { None, Head, Packs };

  ReplicaActions tickQuorum(TimePoint Now);
  ReplicaActions tickWatch(TimePoint Now);
  ReplicaActions tickPeers(TimePoint Now);
  ReplicaActions takeHead(const SettingsHead &Head);
  ReplicaActions take(const SettingsHead &Head,
                      std::map<PackNumber, SettingsPack> Packs);
  ReplicaActions putInForce(SettingsSnapshot Settings);
  ReplicaActions fetchHigher(TimePoint Now);
  std::optional<RouterId> choosePeer();
  bool isInZone(const RouterId &Peer) const;
  std::vector<RouterId> chooseNotified();
  void serviceFailed(TimePoint Now);
  void serviceAnswered(TimePoint Now);
  void fallBackToService(TimePoint Now);
  void confirm();
  void checkQuorum();
  void hear(const RouterId &Peer, SettingsVersion Version);
  Milliseconds varied(Milliseconds Span, unsigned MinPercent,
                      unsigned MaxPercent);

  ReplicaMember Self;
  RandomSource &Random;
  ReplicaTiming Timing;
  std::shared_ptr<const SettingsSnapshot> InForce;
  /// True if a tree is at hand: the seed tree, or a later one.
  bool HasTree = false;
  /// True once the service or enough peers have shown what is in force.
  bool Confirmed = false;
  bool Ready = false;
  bool Draining = false;
  std::vector<ReplicaMember> Members;
  std::size_t KnownCount = 1;
  /// Latest version heard from each router.
  std::map<RouterId, SettingsVersion> Heard;
  /// Highest version ever heard; a fresh router is not ready below it.
  SettingsVersion HighestHeard;
  /// Routers that failed to deliver since the last success.
  std::set<RouterId> Failed;
  ServiceCall Calling = ServiceCall::None;
  /// Head whose packs are being read from the service.
  SettingsHead Target;
  /// Router that was asked for its settings.
  std::optional<RouterId> Asked;
  TimePoint AskDeadline;
  TimePoint NextRead;
  TimePoint NextAsk;
  TimePoint NextWatch;
  TimePoint NextFallback;
  /// Attempts to find a version heard of, since the last success.
  unsigned Misses = 0;
  bool WatchRunning = false;
  /// Revision of the last head read; a watch starts after it.
  Revision HeadAt;
  /// Failed calls to the service since the last answer.
  unsigned Failures = 0;
  /// Versions of ready peers that answered while the service is down.
  std::map<RouterId, SettingsVersion> Answers;
};

} // namespace mallowglade

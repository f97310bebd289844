#pragma once

#include <mallowglade/detail/membership/member_record.hpp>
#include <mallowglade/detail/membership/update_queue.hpp>

#include <map>
#include <optional>
#include <set>

namespace mallowglade {

/// @brief Intervals, timeouts and limits of the membership protocol.
struct MembershipOptions {
  /// Interval between the starts of two probes; also the timeout of a probe.
  Milliseconds ProbePeriod{1'000};
  /// Time without an acknowledgement after which other members are asked to
  /// probe the target.
  Milliseconds IndirectProbeDelay{300};
  /// Time that a suspect has to refute the suspicion before it is declared
  /// dead.
  Milliseconds SuspicionTimeout{5'000};
  /// Interval between further probes of a member that this router suspects
  /// after a failed probe of its own.
  Milliseconds SuspectProbePeriod{500};
  /// Time that a suspicion stays local while the suspect is probed again,
  /// before it is gossiped. With 20 % message loss, 7 % of the probes fail even
  /// with indirect probes. Gossiping each of these to a fleet of 390 routers
  /// would take 29 updates/s, more than probes can carry.
  Milliseconds SuspicionGossipDelay{2'000};
  /// Interval between probes of dead members or of seeds that are not yet
  /// members; these probes reconnect the fleet after a partition.
  Milliseconds DeadProbePeriod{10'000};
  /// Minimum time between two full exchanges of records that this router
  /// starts on a digest mismatch. They repair differences caused by lost
  /// messages.
  Milliseconds SyncPeriod{10'000};
  /// Time without membership changes after which a digest mismatch is taken as
  /// a lost update rather than one still in transit.
  Milliseconds DigestSettleTime{3'000};
  /// With more updates queued than this, a digest mismatch starts a full
  /// exchange without waiting for `DigestSettleTime`, because piggybacking the
  /// queue on probes would take longer.
  std::size_t SyncBacklogLimit = 64;
  /// A router that has received no reply for this long is probably cut off
  /// itself. It stops gossiping suspicions and deaths, so that its own faulty
  /// link does not force every other member to refute.
  Milliseconds IsolationTimeout{3'000};
  /// A longer gap between two ticks means that this process was paused.
  Milliseconds PauseThreshold{500};
  /// Time after which dead members are removed. It exceeds the one hour that a
  /// partition may last, so that both sides still probe each other afterwards.
  Milliseconds DeadRetention{7'200'000};
  /// Number of members asked to probe a target that has not answered.
  std::size_t IndirectProbeCount = 3;
  /// Number of members probed at once when this router declares a member dead
  /// or announces that it is leaving.
  std::size_t GossipFanout = 3;
  /// Maximum number of records piggybacked on a probe, probe request or
  /// acknowledgement.
  std::size_t MaxPiggybackedUpdates = 8;
  /// Each record is sent about `RetransmitFactor * log2(fleet size)` times.
  unsigned RetransmitFactor = 3;
};

/// @brief Detects failed routers with a SWIM-style gossip protocol.
///
/// The protocol uses probes, indirect probes, suspicion with refutation, and
/// updates piggybacked on probes. The class does no input or output and reads
/// no clock: it is a deterministic state machine.
class FailureDetector {
public:
  /// @param Options intervals, timeouts and limits
  /// @param Self record of this router
  /// @param Random source of random numbers; outlives this object
  /// @param Now current time
  FailureDetector(MembershipOptions Options, MemberRecord Self,
                  RandomSource &Random, TimePoint Now);

  /// @brief Replaces the routers that are contacted although they are not
  ///   members yet.
  void setSeeds(std::set<RouterId> Routers);
  /// @brief Sets the settings version that outgoing messages carry.
  void setSettingsVersion(SettingsVersion Version) {
    ActiveSettingsVersion = Version;
  }
  /// @brief Processes a message of another router.
  void receive(TimePoint Now, const RouterId &From,
               const MemberMessage &Message);
  /// @brief Starts probes and processes timeouts; to be called every 100 ms.
  void tick(TimePoint Now);
  /// @brief Announces that this router accepts no new work.
  void announceLeaving(TimePoint Now);
  /// @return messages queued for sending since the last call
  std::vector<OutgoingMemberMessage> takeMessages();
  /// @return true if a member joined, died, restarted or announced leaving
  ///   since the last call
  bool takeMembershipChanged();

  /// @return this router
  const MemberRecord &self() const { return Self; }
  /// @return members in state Alive or Suspect, including this router, ordered
  ///   by id
  std::vector<MemberRecord> liveMembers() const;
  /// @return members in any state, including this router, ordered by id
  std::vector<MemberRecord> allMembers() const;
  /// @return dead members that had announced leaving
  std::set<RouterId> departedMembers() const;

private:
  struct MemberEntry {
    MemberRecord Record;
    /// Time at which the record was last replaced; for suspects, plus the time
    /// for which this process was paused since.
    TimePoint UpdatedAt;
    /// True for a suspicion or death that this router has not gossiped; it is
    /// revoked when the member replies.
    bool LocalOnly = false;
  };
  struct PendingProbe {
    RouterId Target;
    TimePoint Started;
    bool IndirectSent = false;
  };
  /// Probe sent on behalf of another router.
  struct Relay {
    RouterId Origin;
    std::uint64_t Sequence = 0;
    TimePoint Started;
  };
  struct SuspectProbe {
    TimePoint NextProbe;
  };

  /// @param Disseminate whether to queue the update for other members
  void applyUpdate(TimePoint Now, const MemberRecord &Update, bool Disseminate);
  void applyUpdateAboutSelf(const MemberRecord &Update);
  void storeRecord(TimePoint Now, const MemberRecord &Update, bool Disseminate);
  /// Marks a member as alive again if its suspicion or death was not gossiped.
  void revokeLocalState(TimePoint Now, const RouterId &Responder);
  /// Probes `GossipFanout` members at once, so that queued updates do not wait
  /// for the next probe.
  void disseminateNow(TimePoint Now);
  void gossipSuspicion(TimePoint Now, const RouterId &Id);
  /// Gives this router a version newer than its own and the reported one.
  void raiseOwnCounter(std::uint32_t ReportedCounter);
  /// Changes the state of a member unless it is already as severe.
  void escalateState(TimePoint Now, const RouterId &Id, MemberState State);

  void onAck(TimePoint Now, const RouterId &From, const MemberMessage &Ack);
  void onProbeRequest(TimePoint Now, const RouterId &From,
                      const MemberMessage &Request);
  /// Starts a full exchange of records on a digest mismatch, unless updates in
  /// transit may still resolve it soon.
  void compareDigest(TimePoint Now, const RouterId &From,
                     std::uint64_t PeerDigest);

  void extendDeadlinesAfterPause(TimePoint Now);
  void startProbe(TimePoint Now);
  void checkPending(TimePoint Now);
  void checkSuspects(TimePoint Now);
  void probeUnreachable(TimePoint Now);
  void join(TimePoint Now);
  void evictExpiredDead(TimePoint Now);
  void sendIndirect(const PendingProbe &Probe, std::uint64_t Sequence);
  /// Returns members in a random order that is drawn anew each round.
  std::optional<RouterId> nextProbeTarget();
  /// Dead members, and seeds that are not members.
  std::vector<RouterId> unreachableRouters() const;
  std::vector<RouterId> sample(std::vector<RouterId> Candidates,
                               std::size_t Count);
  /// True if this router is probably cut off itself.
  bool isIsolated(TimePoint Now) const;
  unsigned maxTransmissions() const;

  void send(const RouterId &To, MemberMessageKind Kind, std::uint64_t Sequence,
            const RouterId &Target = {});
  void sendSync(TimePoint Now, const RouterId &To, MemberMessageKind Kind);
  /// Adds a live record to the digest, or removes it if it is contained.
  void updateDigest(const MemberRecord &Record);

  MembershipOptions Options;
  MemberRecord Self;
  RandomSource &Random;
  std::map<RouterId, MemberEntry> Members;
  std::size_t LiveCount = 0;
  std::set<RouterId> Suspects;
  /// Probe schedule of the suspects that did not answer a probe of this router.
  std::map<RouterId, SuspectProbe> SuspectProbes;
  std::set<RouterId> Seeds;
  UpdateQueue Updates;
  std::map<std::uint64_t, PendingProbe> Pending;
  std::map<std::uint64_t, Relay> Relays;
  /// Members still to be probed in this round, last one first.
  std::vector<RouterId> ProbeOrder;
  std::vector<OutgoingMemberMessage> Outbox;
  SettingsVersion ActiveSettingsVersion;
  std::uint64_t LastSequence = 0;
  /// XOR of the hashes of all live records, including that of this router.
  std::uint64_t Digest = 0;
  TimePoint LastTick;
  /// Time of the last acknowledgement or sync reply.
  TimePoint LastReply;
  TimePoint LastChange;
  TimePoint NextProbe;
  TimePoint NextDeadProbe;
  TimePoint NextSync;
  TimePoint NextJoin;
  /// True once a sync reply has arrived.
  bool Joined = false;
  bool Changed = true;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/membership/member_record.hpp>
#include <mallowglade/detail/membership/update_queue.hpp>

#include <map>
#include <optional>
#include <set>

namespace mallowglade {

/// @brief Times and limits of the membership.
struct MembershipOptions {
  /// Time between the starts of two probes; also the limit for an answer.
  Milliseconds ProbePeriod{1'000};
  /// Time without an answer after which others are asked to probe.
  Milliseconds IndirectAfter{300};
  /// Time a suspect has to refute before it counts as dead.
  Milliseconds SuspicionTime{5'000};
  /// Time between probes of a router's own suspects.
  Milliseconds SuspectProbePeriod{500};
  /// Time a router keeps a suspicion to itself and probes on. With a fifth of
  /// all messages lost, 7 % of the probes fail even with relays; telling all
  /// 390 routers of each would need 29 updates/s, more than probes can carry.
  Milliseconds ShareAfter{2'000};
  /// Time between probes of dead or unknown routers, so partitions heal.
  Milliseconds DeadProbePeriod{10'000};
  /// Time between exchanges of all records, by which differences left over
  /// from lost messages disappear.
  Milliseconds SyncPeriod{10'000};
  /// Time without changes after which different digests mean a lost update.
  Milliseconds QuietTime{3'000};
  /// With more updates than this waiting, all records are exchanged without
  /// waiting for quiet: probes would take longer.
  std::size_t Backlog = 64;
  /// A router that got no answer for this long is probably cut off itself. It
  /// stops telling others whom it cannot reach, so that one faulty link does
  /// not make the whole fleet refute.
  Milliseconds IsolationLimit{3'000};
  /// A longer gap between ticks means that this process was paused.
  Milliseconds PauseLimit{500};
  /// Dead members are forgotten after this time; partitions last an hour.
  Milliseconds DeadRetention{7'200'000};
  std::size_t IndirectProbes = 3;
  /// Members probed at once to spread an own death notice or leaving.
  std::size_t SpreadProbes = 3;
  /// Most records piggybacked on a probe or its answer.
  std::size_t MaxUpdates = 8;
  /// A record is sent this many times log2 of the fleet size.
  unsigned SendFactor = 3;
};

/// @brief Finds out which routers answer, as a deterministic state machine.
///
/// Gossip membership: probes, indirect probes, suspicion with refutation, and
/// updates piggybacked on probes.
class FailureDetector {
public:
  /// @param Options times and limits
  /// @param Self this router
  /// @param Random source of random numbers; outlives this object
  /// @param Now current time
  FailureDetector(MembershipOptions Options, MemberRecord Self,
                  RandomSource &Random, TimePoint Now);

  /// @brief Replaces the routers to contact when they are not known.
  void setSeeds(std::set<RouterId> Routers);
  /// @brief Sets the settings version that messages carry.
  void setVersion(SettingsVersion Version) { SettingsInForce = Version; }
  /// @brief Handles a message.
  void receive(TimePoint Now, const RouterId &From,
               const MemberMessage &Message);
  /// @brief Starts probes and handles time limits; call each 100 ms.
  void tick(TimePoint Now);
  /// @brief Tells the others that this router takes no more new work.
  void announceLeaving(TimePoint Now);
  /// @return messages to send since the last call
  std::vector<OutgoingMemberMessage> takeMessages();
  /// @return true if a live member came, went or changed since the last call
  bool takeChanged();

  /// @return this router
  const MemberRecord &self() const { return Self; }
  /// @return members that answer or are suspects, this router included,
  ///   ordered by id
  std::vector<MemberRecord> alive() const;
  /// @return all known members, this router included, ordered by id
  std::vector<MemberRecord> all() const;
  /// @return members that announced leaving and went silent
  std::set<RouterId> left() const;

private:
  struct Entry {
    MemberRecord Record;
    /// When the state last changed.
    TimePoint Since;
    /// True for an accusation that this router has told nobody; an answer of
    /// the member takes it back.
    bool Unshared = false;
  };
  struct PendingProbe {
    RouterId Target;
    TimePoint Started;
    bool IndirectSent = false;
  };
  struct Relay {
    RouterId Origin;
    std::uint64_t Sequence = 0;
    TimePoint Started;
  };
  struct OwnSuspect {
    TimePoint NextProbe;
  };

  void apply(TimePoint Now, const MemberRecord &News, bool Spread);
  void applyAboutSelf(const MemberRecord &News);
  void store(TimePoint Now, const MemberRecord &News, bool Spread);
  void clearUnshared(TimePoint Now, const RouterId &Answering);
  /// Sends the latest updates without waiting for the next probe.
  void spreadNow(TimePoint Now);
  void shareSuspicion(TimePoint Now, const RouterId &Id);
  void raiseOwnCounter(std::uint32_t Above);
  void setState(TimePoint Now, const RouterId &Id, MemberState State);

  void onAck(TimePoint Now, const RouterId &From, const MemberMessage &Ack);
  void onProbeRequest(TimePoint Now, const RouterId &From,
                      const MemberMessage &Request);
  void compareDigest(TimePoint Now, const RouterId &From, std::uint64_t Digest);

  void shiftAfterPause(TimePoint Now);
  void startProbe(TimePoint Now);
  void checkPending(TimePoint Now);
  void checkSuspects(TimePoint Now);
  void probeUnreachable(TimePoint Now);
  void join(TimePoint Now);
  void forgetDead(TimePoint Now);
  void sendIndirect(const PendingProbe &Probe, std::uint64_t Sequence);
  std::optional<RouterId> nextTarget();
  std::vector<RouterId> unreachable() const;
  std::vector<RouterId> sample(std::vector<RouterId> Candidates,
                               std::size_t Count);
  bool isolated(TimePoint Now) const;
  unsigned maxSends() const;

  void send(const RouterId &To, MemberMessageKind Kind, std::uint64_t Sequence,
            const RouterId &Target = {});
  void sendSync(TimePoint Now, const RouterId &To, MemberMessageKind Kind);
  void updateDigest(const MemberRecord &Record);

  MembershipOptions Options;
  MemberRecord Self;
  RandomSource &Random;
  std::map<RouterId, Entry> Members;
  std::size_t LiveCount = 0;
  /// Ids of members in state Suspect.
  std::set<RouterId> Suspects;
  /// Suspects whose probe by this router failed.
  std::map<RouterId, OwnSuspect> OwnSuspects;
  std::set<RouterId> Seeds;
  UpdateQueue Updates;
  std::map<std::uint64_t, PendingProbe> Pending;
  std::map<std::uint64_t, Relay> Relays;
  std::vector<RouterId> Order;
  std::vector<OutgoingMemberMessage> Outbox;
  SettingsVersion SettingsInForce;
  std::uint64_t LastSequence = 0;
  std::uint64_t Digest = 0;
  TimePoint LastTick;
  TimePoint LastAnswer;
  TimePoint LastChange;
  TimePoint NextProbe;
  TimePoint NextDeadProbe;
  TimePoint NextSync;
  TimePoint NextJoin;
  bool Joined = false;
  bool Changed = true;
};

} // namespace mallowglade

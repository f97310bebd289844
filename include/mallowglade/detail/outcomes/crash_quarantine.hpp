#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/scheduling/placement_guard.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mallowglade {

/// @brief Quarantine state of a fingerprint, as exchanged between routers.
struct QuarantineRecord {
  Fingerprint RequestFingerprint;
  /// Crashes for which the fingerprint was a suspect.
  std::uint32_t Crashes = 0;
  /// Crashes for which it was the only suspect.
  std::uint32_t AloneCrashes = 0;
  /// Remaining time of a conviction; zero if there is none.
  Milliseconds ConvictionTimeLeft{};
  /// Remaining time in which a release overrides earlier crashes.
  Milliseconds ReleaseTimeLeft{};
};

/// @brief Isolates requests that crash upstreams (poison requests).
///
/// A fingerprint is uncleared until a request with it has been answered. At
/// most one request per uncleared fingerprint runs at a time. All uncleared
/// fingerprints on an upstream that crashes become suspects; if there are
/// none, the cleared ones do at their second crash. A suspect runs alone or
/// with cleared requests, and no other suspect runs on any upstream meanwhile.
/// Two crashes alone, or three in total, convict a fingerprint, so that its
/// requests are no longer placed; a suspect that is answered is cleared. While
/// a suspect waits, one upstream accepts no other uncleared requests, so that
/// the suspect can be placed under load.
///
/// A fingerprint that crashes every upstream crashes at most three: one while
/// other uncleared requests run and two alone. Two such fingerprints together
/// crash at most six. This assumes that crashes are reported within three
/// seconds of each other.
class CrashQuarantine final : public PlacementGuard {
public:
  /// @param Time clock; must outlive the quarantine
  explicit CrashQuarantine(const Clock &Time);

  bool mayPlace(Fingerprint RequestFingerprint,
                const UpstreamId &Upstream) const override;
  void dispatched(GrantId Grant, Fingerprint RequestFingerprint,
                  const UpstreamId &Upstream) override;
  void ended(GrantId Grant, Fingerprint RequestFingerprint,
             const UpstreamId &Upstream, bool Answered) override;
  void crashed(GrantId Grant, Fingerprint RequestFingerprint,
               const UpstreamId &Upstream) override;

  /// @return remaining time of a conviction, or `std::nullopt`
  std::optional<Milliseconds>
  convictionTimeLeft(Fingerprint RequestFingerprint) const;
  /// @brief Keeps a conviction from ending, since requests with the fingerprint
  ///   still come.
  /// @return false if there is none
  bool renewConviction(Fingerprint RequestFingerprint);
  /// @brief Ends the suspicion or conviction of a fingerprint.
  /// @return false if there is none
  bool release(Fingerprint RequestFingerprint);
  /// @return suspects, convictions and recent releases
  std::vector<QuarantineRecord> exportRecords() const;
  /// @brief Merges records of another router; lowers a count only if the
  ///   fingerprint was released.
  void importRecords(const std::vector<QuarantineRecord> &Records);
  /// @brief Removes expired suspects, releases, incidents and abandoned grants.
  void expire();
  /// @return counter that increases when records change, except by an import
  std::uint64_t version() const { return Version; }

private:
  struct SuspectState {
    std::uint32_t Crashes = 0;
    std::uint32_t AloneCrashes = 0;
    std::optional<TimePoint> ConvictedUntil;
    TimePoint SuspectUntil{};
  };
  struct RunningRequest {
    Fingerprint RequestFingerprint;
    UpstreamId Upstream;
    TimePoint StartedAt;
    /// Incident that already includes this request; 0 for none.
    std::uint64_t Incident = 0;
  };
  /// A crash of one upstream; withdrawn if a request that ran there is answered
  /// later.
  struct Incident {
    std::set<Fingerprint> Suspects;
    /// Fingerprints whose requests were reported as crashed.
    std::set<Fingerprint> Reported;
    bool Alone = false;
    TimePoint At;
  };
  /// The upstream that a suspect waits for; accepts no other uncleared
  /// requests.
  struct Reservation {
    UpstreamId Upstream;
    TimePoint Until{};
  };

  bool isSuspect(Fingerprint RequestFingerprint) const;
  bool isCleared(Fingerprint RequestFingerprint) const;
  bool mayRunAlone(Fingerprint RequestFingerprint,
                   const UpstreamId &Upstream) const;
  std::size_t countUncleared(const UpstreamId &Upstream) const;
  void reserveUpstream(const UpstreamId &Upstream) const;
  void openIncident(const UpstreamId &Upstream);
  void addRepeatedCrashes(const std::set<Fingerprint> &Fingerprints,
                          Incident &NewIncident);
  void withdrawCrash(Fingerprint RequestFingerprint, const Incident &Withdrawn);
  void recordCrash(Fingerprint RequestFingerprint, bool Alone);
  void reassessIncident(Incident &Crash, Fingerprint RequestFingerprint,
                        bool Answered);
  void removeGrant(GrantId Grant);
  void clearFingerprint(Fingerprint RequestFingerprint);

  const Clock &Time;
  std::map<GrantId, RunningRequest> RunningByGrant;
  std::unordered_map<Fingerprint, std::set<GrantId>> GrantsByFingerprint;
  std::map<Fingerprint, SuspectState> SuspectStates;
  std::map<Fingerprint, TimePoint> Releases;
  std::map<std::uint64_t, Incident> Incidents;
  /// Time of the first crash that affected a cleared fingerprint.
  std::map<Fingerprint, TimePoint> FirstCrashTimes;
  mutable Reservation ReservedUpstream;
  std::unordered_set<Fingerprint> Cleared;
  std::deque<Fingerprint> ClearedOrder;
  std::uint64_t NextIncident = 1;
  std::uint64_t Version = 0;
};

} // namespace mallowglade

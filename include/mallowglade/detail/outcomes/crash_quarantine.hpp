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

/// @brief Standing of a fingerprint that crashed an upstream, for exchange
///   between routers.
struct QuarantineRecord {
  Fingerprint Print;
  /// Crashes in which the request took part.
  std::uint32_t Crashes = 0;
  /// Crashes in which it was alone or with cleared requests only.
  std::uint32_t AloneCrashes = 0;
  /// Time left of a conviction; zero if there is none.
  Milliseconds ConvictedFor{};
  /// Time left in which a release overrides crashes seen before it.
  Milliseconds ReleasedFor{};
};

/// @brief Keeps requests that crash upstreams away from the others.
///
/// A fingerprint is uncleared until a request with it has finished. Of the
/// requests with one uncleared fingerprint one runs at a time. All uncleared
/// fingerprints on an upstream that crashes become suspects; if there are
/// none, the cleared ones do at their second crash. A suspect runs alone or
/// with cleared requests, and no other suspect runs anywhere meanwhile. Two
/// crashes alone, or three in all, convict it; a suspect that finishes is
/// cleared. While a suspect waits, one upstream takes no uncleared requests,
/// so that the suspect finds a place under load.
///
/// A fingerprint that crashes each upstream crashes at most three: one in
/// company and two alone. Two such fingerprints together crash at most six.
/// This assumes that crashes are reported within three seconds of each other.
class CrashQuarantine final : public PlacementGuard {
public:
  /// @param Time clock; outlives the quarantine
  explicit CrashQuarantine(const Clock &Time);

  bool mayPlace(Fingerprint Print, const UpstreamId &Where) const override;
  void dispatched(GrantId Grant, Fingerprint Print,
                  const UpstreamId &Where) override;
  void ended(GrantId Grant, Fingerprint Print, const UpstreamId &Where,
             bool Answered) override;
  void crashed(GrantId Grant, Fingerprint Print,
               const UpstreamId &Where) override;

  /// @return time left of a conviction, or nothing
  std::optional<Milliseconds> convictedFor(Fingerprint Print) const;
  /// @brief Ends the suspicion or conviction of a fingerprint.
  /// @return false if there is none
  bool release(Fingerprint Print);
  /// @return suspects, convictions and recent releases
  std::vector<QuarantineRecord> exportRecords() const;
  /// @brief Takes records of another router; never lowers a count, unless the
  ///   fingerprint was released.
  void importRecords(const std::vector<QuarantineRecord> &Records);
  /// @brief Drops what has expired.
  void expire();
  /// @return number that rises when records change
  std::uint64_t version() const { return Version; }

private:
  struct Standing {
    std::uint32_t Crashes = 0;
    std::uint32_t AloneCrashes = 0;
    std::optional<TimePoint> ConvictedUntil;
    TimePoint KeptUntil{};
  };
  struct Running {
    Fingerprint Print;
    UpstreamId Where;
    TimePoint Since;
    /// Crash that already counted this request; 0 for none.
    std::uint64_t Incident = 0;
  };
  /// A crash of one upstream; void if a request that was there is answered.
  struct Incident {
    std::set<Fingerprint> Suspects;
    /// Fingerprints whose connections were lost, as reported.
    std::set<Fingerprint> Reported;
    bool Alone = false;
    TimePoint At;
  };
  /// The upstream that is kept free for a suspect.
  struct Reservation {
    UpstreamId Where;
    TimePoint Until{};
  };

  bool isSuspect(Fingerprint Print) const;
  bool isCleared(Fingerprint Print) const;
  bool runsAlone(Fingerprint Print, const UpstreamId &Where) const;
  std::size_t unclearedOn(const UpstreamId &Where) const;
  void reserve(const UpstreamId &Where) const;
  void openIncident(const UpstreamId &Where);
  void addCleared(const std::set<Fingerprint> &All, Incident &Opened);
  void takeBack(Fingerprint Print, const Incident &Wrong);
  void blame(Fingerprint Print, bool Alone);
  void survived(Incident &Blamed, Fingerprint Print, bool Answered);
  void remove(GrantId Grant);
  void clear(Fingerprint Print);

  const Clock &Time;
  std::map<GrantId, Running> Grants;
  std::unordered_map<Fingerprint, std::set<GrantId>> ByPrint;
  std::map<Fingerprint, Standing> Standings;
  std::map<Fingerprint, TimePoint> Releases;
  std::map<std::uint64_t, Incident> Incidents;
  /// Cleared fingerprints that took part in one crash, with its time.
  std::map<Fingerprint, TimePoint> Warned;
  mutable Reservation Reserved;
  std::unordered_set<Fingerprint> Cleared;
  std::deque<Fingerprint> ClearedOrder;
  std::uint64_t NextIncident = 1;
  std::uint64_t Version = 0;
};

} // namespace mallowglade

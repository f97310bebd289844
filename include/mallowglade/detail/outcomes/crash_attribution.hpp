#pragma once

#include <mallowglade/detail/outcomes/crash_report.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace mallowglade {

/// @brief Start or end of a quarantine.
struct QuarantineChange {
  enum class Cause { Crashes, Reported, Answered, Refuted, Quiet, Operator };
  RequestFeature Feature;
  Cause Why = Cause::Crashes;
  /// Crashes of the evidence, for `Cause::Crashes`.
  std::size_t Crashes = 0;
  /// Estimated fraction of the runs without the feature that crashes break off.
  double BackgroundRate = 0;
};

/// @return stable name of a cause, for the log
std::string_view toString(QuarantineChange::Cause Cause);

/// @brief Finds out which property of requests makes upstreams crash, and
///   keeps requests with it from upstreams.
///
/// A crash breaks off all runs on an upstream, so each run's features are
/// suspects. A feature whose runs were broken off by crashes again and again,
/// and that has not been answered in full since the first of them, is put into
/// quarantine if a harmless feature would hardly meet with as many: the test
/// compares the likelihood of the crashes if the feature causes them with that
/// of runs without it being broken off. What a feature in quarantine explains
/// does not count against others. A feature that was answered before, on any
/// router, must have become harmful since, which is rare: it needs more
/// crashes, and most of all while no harmless runs tell how often upstreams
/// crash for other causes.
///
/// Observations are exchanged between routers; a process of an upstream
/// counts once, however many routers report it, and not at all if it responds
/// later. Routers repeat the evidence that they hold, of others too, so that
/// one that starts later knows it. Quarantines are kept by all routers and last
/// as long as requests with the feature come; few of these are let through as
/// probes.
class CrashAttribution {
public:
  /// Crashes without which no feature is put into quarantine.
  static constexpr std::size_t MinCrashes = 3;
  /// Quarantines that are kept; the least recently requested ones are dropped.
  static constexpr std::size_t MaxQuarantines = 64;
  /// Features and processes with evidence that are kept.
  static constexpr std::size_t MaxEvidence = 512;
  /// Features of which a report repeats earlier evidence, and processes of
  /// each.
  static constexpr std::size_t MaxHeldFeatures = 16;
  static constexpr std::size_t MaxHeldCrashes = 32;
  /// Time after which evidence and quarantines without requests end.
  static constexpr std::chrono::minutes RetentionTime{30};
  /// Time after which a run that broke off counts as a crash if nothing was
  /// heard of the process since. Longer than reports take.
  static constexpr Milliseconds SettleTime{500};
  /// Responses that arrive this long after a run broke off were not sent
  /// before.
  static constexpr Milliseconds LifeMargin{250};
  /// Crashes that are closer in time may have one common cause outside the
  /// requests, so they count as one.
  static constexpr Milliseconds EpisodeGap{250};
  /// Time between requests with a suspected feature that the fleet lets
  /// through: each of them may end an upstream, and shows whether the suspicion
  /// is right.
  static constexpr Milliseconds TrialInterval{500};
  /// Longest time between such requests on one router. All requests with a
  /// harmless feature may come to the same router.
  static constexpr Milliseconds MaxTrialInterval{3'000};
  /// Times after the start of a quarantine at which a probe is let through.
  static constexpr std::array<std::chrono::seconds, 2> ProbeTimes{
      std::chrono::seconds(60), std::chrono::seconds(600)};
  /// The same for a feature that was answered before. The first one also waits
  /// until no run has broken off for `ProbeQuietTime`.
  static constexpr std::array<std::chrono::seconds, 3> AnsweredProbeTimes{
      std::chrono::seconds(5), std::chrono::seconds(60),
      std::chrono::seconds(600)};
  static constexpr Milliseconds ProbeQuietTime{2'000};

  /// @param Salt number that differs between routers, so that they let
  ///   requests with a suspected feature through at different times
  CrashAttribution(const Clock &Time, std::uint64_t Salt)
      : Time(Time), Salt(Salt) {}

  /// @brief Records a run that was answered in full.
  void recordAnswered(const RequestFeatures &Features);
  /// @brief Records a run that broke off with its connection.
  /// @param StartedAt time at which the request was sent, if known
  void recordBrokenOff(const RequestFeatures &Features, UpstreamProcess Process,
                       TimePoint StartedAt = TimePoint{});
  /// @brief Records that a process has sent a part of a response.
  void recordAlive(UpstreamProcess Process);
  /// @brief Records that a process does not accept connections.
  void recordGone(UpstreamProcess Process);

  /// @return a feature for which the request must be refused, or nothing
  std::optional<RequestFeature> refusedFor(const RequestFeatures &Features);
  /// @return true while requests with the feature are refused
  bool isQuarantined(const RequestFeature &Feature) const;
  /// @brief Lets a request through if a probe of its only quarantined feature
  ///   is due at this router.
  bool takeProbe(const RequestFeatures &Features);
  /// @brief Checks whether a request may be sent to an upstream now. It has to
  ///   wait if it has a suspected feature of which another request was sent
  ///   shortly before.
  bool mustWait(const RequestFeatures &Features);
  /// @brief Sets what depends on the live routers of the fleet.
  /// @param IsProber true on the one router that lets probes through
  /// @param Count number of routers
  void setFleet(bool IsProber, std::size_t Count) {
    Prober = IsProber;
    Routers = std::max<std::size_t>(1, Count);
  }
  /// @brief Ends a quarantine on an operator's order.
  /// @return false if there is none
  bool release(const RequestFeature &Feature);

  /// @brief Adds reports of other routers, or stored quarantines. The order and
  ///   repetition of reports have no effect.
  void merge(const CrashReport &Report);
  /// @brief Starts and ends quarantines; to be called periodically.
  /// @return what has changed since the last call
  std::vector<QuarantineChange> update();
  /// @return what this router has observed lately, and all quarantines
  CrashReport report();
  /// @return number of features in quarantine
  std::size_t quarantinedCount() const;

private:
  struct Evidence {
    /// Latest time at which a run broke off, by process.
    std::map<UpstreamProcess, TimePoint> Crashes;
    /// End of the latest run that was answered in full.
    TimePoint AnsweredAt{};
    /// Latest time at which a request was sent while the feature was suspected.
    TimePoint TriedAt{};
    /// Runs that broke off on this router, each sent after the one before had.
    std::size_t InSequence = 0;
    TimePoint LastCrashHereAt{};
    /// Latest time at which another router reported a crash before the answer.
    TimePoint ContradictedAt{};
  };
  struct ProcessState {
    TimePoint BrokenOffAt{};
    /// Latest response, on any router and on this one.
    TimePoint AliveAt{};
    TimePoint AliveHereAt{};
    /// Time until which it may still respond, if it became known by evidence
    /// that another router held.
    TimePoint SettlesAt{};
    bool Gone = false;
  };
  struct Quarantine {
    QuarantineStatus Status;
    std::uint32_t Probes = 0;
    TimePoint Since{};
    TimePoint LastCrashAt{};
    /// Time at which this router learned that a quarantine ended.
    TimePoint EndedAt{};
    /// True if this router has the evidence.
    bool BegunHere = false;
    /// Latest refusal, on any router and on this one.
    TimePoint RefusedAt{};
    TimePoint RefusedHereAt{};
  };
  struct OwnCrash {
    RequestFeature Feature;
    UpstreamProcess Process;
    TimePoint At;
  };
  struct RunEnd {
    RequestFeatures Features;
    TimePoint At;
    bool BrokenOff = false;
  };
  struct Candidate {
    RequestFeature Feature;
    bool AnsweredBefore = false;
    std::size_t Crashes = 0;
    std::size_t Runs = 0;
  };

  void addCrash(const RequestFeature &Feature, UpstreamProcess Process,
                TimePoint At);
  /// @brief Adds a crash that another router holds as evidence, unless this
  ///   router knows the process or has ended a quarantine since.
  void addHeldCrash(const RequestFeature &Feature, UpstreamProcess Process,
                    TimePoint At);
  void addAnswered(const RequestFeature &Feature, TimePoint At);
  /// @brief Adds the last answer to a request with the feature that another
  ///   router knows of.
  void addHeldAnswer(const RequestFeature &Feature, TimePoint At);
  void addRunEnd(const RequestFeatures &Features, bool BrokenOff);
  void addQuarantine(const RequestFeature &Feature,
                     const QuarantineEntry &Entry);
  void limitFeatures(CrashReport &Report) const;
  /// @brief Adds the evidence that is older than what routers report at once.
  void reportHeld(CrashReport &Report) const;
  /// @return settled crashes of a feature that are no longer reported by the
  ///   routers that saw them, the latest ones first
  std::vector<std::pair<TimePoint, UpstreamProcess>>
  heldCrashes(const Evidence &Known) const;
  /// @return true if crashes suggest that the feature causes them
  bool isSuspect(const RequestFeature &Feature, const Evidence &Known) const;
  /// @return true if a process has responded after a run on it broke off
  bool hasResponded(UpstreamProcess Process, TimePoint BrokenOffAt) const;
  /// @return time of the latest known run with the feature that was answered
  ///   in full, on any router; nothing if there is none
  std::optional<TimePoint> lastAnswered(const RequestFeature &Feature) const;
  /// @return true for an exact request that is not known to have been answered
  bool isUnansweredRequest(const RequestFeature &Feature) const;
  /// @return true if a run broke off at the given time since its process
  ///   crashed, as far as known
  /// @param AtOnce true to decide before `SettleTime` is over
  bool isCrash(UpstreamProcess Process, TimePoint At, bool AtOnce) const;
  /// @return number of independent crashes among those at the given times
  std::size_t countCrashes(const RequestFeature &Feature, const Evidence &Known,
                           const std::vector<TimePoint> &Times) const;
  /// @return times of the crashes of a feature that no feature in quarantine
  ///   explains, in order
  std::vector<TimePoint> unexplainedCrashes(const RequestFeature &Feature,
                                            const Evidence &Known) const;
  /// @brief Puts the features that are to blame for crashes into quarantine.
  void blame();
  /// @return true if too many processes have responded after all for the
  ///   quarantine that this router has begun
  bool isRefuted(const RequestFeature &Feature,
                 const Quarantine &Current) const;
  /// @return the same for all features, from a time on
  std::vector<TimePoint> allUnexplainedCrashes(TimePoint From) const;
  std::vector<Candidate> candidates() const;
  /// @return estimated fraction of the runs that break off if the feature is
  ///   harmless
  /// @param AnsweredAt time at which the feature was last answered, if it was;
  ///   its runs up to then count as well
  double backgroundRate(const RequestFeature &Feature,
                        std::optional<TimePoint> AnsweredAt) const;
  /// @return true if a probe of the feature is due
  bool isProbeDue(const RequestFeature &Feature,
                  const Quarantine &Current) const;
  /// @return true if runs with the feature broke off and none was ever answered
  bool isUnansweredSuspect(const RequestFeature &Feature) const;
  bool isGuilty(const RequestFeature &Feature, const Evidence &Known,
                std::size_t &Crashes, double &Background) const;
  void beginQuarantine(const RequestFeature &Feature, QuarantineChange Change);
  void endQuarantines();
  void explainCrashes();
  void expire();

  const Clock &Time;
  std::uint64_t Salt;
  std::map<RequestFeature, Evidence> EvidenceByFeature;
  std::map<UpstreamProcess, ProcessState> Processes;
  std::map<RequestFeature, Quarantine> Quarantines;
  /// Processes whose crashes features in quarantine explain.
  std::set<UpstreamProcess> Explained;
  std::deque<OwnCrash> OwnCrashes;
  /// Latest runs on this router that were answered in full, by feature.
  std::map<RequestFeature, TimePoint> OwnAnswered;
  std::deque<RequestFeature> OwnAnsweredOrder;
  std::deque<RunEnd> RunEnds;
  std::vector<QuarantineChange> Changes;
  bool Prober = false;
  std::size_t Routers = 1;
};

} // namespace mallowglade

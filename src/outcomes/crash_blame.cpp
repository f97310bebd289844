#include <mallowglade/outcomes.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mallowglade {

namespace {

/// Probability with which a harmful feature breaks off a run.
constexpr double HarmfulCrashRate = 0.95;
/// Bound on the probability that the crashes of a harmless feature put it into
/// quarantine.
constexpr double FalseQuarantineRate = 1e-3;
/// Bound on the probability that a feature becomes harmful after it was
/// answered.
constexpr double TurnsHarmfulRate = 1e-3;
/// Fraction of runs broken off above which it does not tell features apart.
constexpr double MaxBackgroundRate = 0.5;
/// If more is broken off, a feature is blamed that most crashes have in common.
constexpr std::size_t MinCommonCrashes = 5;
constexpr double MinCommonFraction = 0.75;
/// Estimate of the background rate before there are runs to tell, as a number
/// of runs.
constexpr double PriorRuns = 20;
constexpr double PriorBrokenOff = 0.5;
/// The same for features that were answered before.
constexpr double AnsweredPriorRuns = 4;
constexpr double AnsweredPriorBrokenOff = MaxBackgroundRate * AnsweredPriorRuns;

bool contains(const RequestFeatures &Features, const RequestFeature &Feature) {
  return std::find(Features.begin(), Features.end(), Feature) != Features.end();
}

/// Number of crashes that are apart in time.
std::size_t countEpisodes(const std::vector<TimePoint> &Crashes) {
  std::size_t Count = 0;
  TimePoint Last{};
  for (const TimePoint At : Crashes) {
    if (Count > 0 && At - Last < CrashAttribution::EpisodeGap)
      continue;
    ++Count;
    Last = At;
  }
  return Count;
}

/// Number of crashes after which a feature is blamed.
/// @param Bound on the probability that this is wrong
std::size_t crashesNeeded(double Background, double Bound) {
  const double PerCrash = std::log(HarmfulCrashRate / Background);
  const double Needed = std::ceil(-std::log(Bound) / PerCrash);
  return std::max(CrashAttribution::MinCrashes,
                  static_cast<std::size_t>(Needed));
}

} // namespace

bool CrashAttribution::isSuspect(const RequestFeature &Feature,
                                 const Evidence &Known) const {
  return Known.Crashes.size() >= MinCrashes && !isQuarantined(Feature) &&
         unexplainedCrashes(Feature, Known).size() >= MinCrashes;
}

bool CrashAttribution::hasResponded(UpstreamProcess Process,
                                    TimePoint BrokenOffAt) const {
  const auto Found = Processes.find(Process);
  return Found != Processes.end() &&
         Found->second.AliveAt >= BrokenOffAt + LifeMargin;
}

bool CrashAttribution::isUnansweredRequest(
    const RequestFeature &Feature) const {
  return Feature.Kind == FeatureKind::ExactRequest && !lastAnswered(Feature);
}

std::optional<TimePoint>
CrashAttribution::lastAnswered(const RequestFeature &Feature) const {
  std::optional<TimePoint> Last;
  if (const auto Own = OwnAnswered.find(Feature); Own != OwnAnswered.end())
    Last = Own->second;
  const auto Found = EvidenceByFeature.find(Feature);
  if (Found != EvidenceByFeature.end() &&
      Found->second.AnsweredAt != TimePoint{})
    Last = std::max(Last.value_or(TimePoint{}), Found->second.AnsweredAt);
  return Last;
}

bool CrashAttribution::isUnansweredSuspect(
    const RequestFeature &Feature) const {
  const auto Found = EvidenceByFeature.find(Feature);
  return Found != EvidenceByFeature.end() && !Found->second.Crashes.empty() &&
         !lastAnswered(Feature);
}

bool CrashAttribution::isCrash(UpstreamProcess Process, TimePoint At,
                               bool AtOnce) const {
  const auto Found = Processes.find(Process);
  if (Found == Processes.end() || hasResponded(Process, At))
    return false;
  const TimePoint Now = Time.now();
  return Found->second.Gone ||
         (Now >= Found->second.SettlesAt && (AtOnce || Now - At >= SettleTime));
}

std::vector<TimePoint>
CrashAttribution::unexplainedCrashes(const RequestFeature &Feature,
                                     const Evidence &Known) const {
  const bool AtOnce = isUnansweredRequest(Feature);
  std::vector<TimePoint> Times;
  for (const auto &[Process, At] : Known.Crashes)
    if (!Explained.contains(Process) && isCrash(Process, At, AtOnce))
      Times.push_back(At);
  std::sort(Times.begin(), Times.end());
  return Times;
}

std::vector<TimePoint>
CrashAttribution::allUnexplainedCrashes(TimePoint From) const {
  std::map<UpstreamProcess, TimePoint> Crashes;
  for (const auto &[Feature, Known] : EvidenceByFeature)
    for (const auto &[Process, At] : Known.Crashes)
      if (At >= From && !Explained.contains(Process) &&
          isCrash(Process, At, false))
        Crashes.try_emplace(Process, At);
  std::vector<TimePoint> Times;
  Times.reserve(Crashes.size());
  for (const auto &[Process, At] : Crashes)
    Times.push_back(At);
  std::sort(Times.begin(), Times.end());
  return Times;
}

std::size_t
CrashAttribution::countCrashes(const RequestFeature &Feature,
                               const Evidence &Known,
                               const std::vector<TimePoint> &Times) const {
  const std::size_t Episodes = countEpisodes(Times);
  // A request that was sent again after it had crashed an upstream has no other
  // common cause with that crash, however soon it was.
  return isUnansweredRequest(Feature)
             ? std::max(Episodes, std::min(Known.InSequence, Times.size()))
             : Episodes;
}

double
CrashAttribution::backgroundRate(const RequestFeature &Feature,
                                 std::optional<TimePoint> AnsweredAt) const {
  double Runs = AnsweredAt ? AnsweredPriorRuns : PriorRuns;
  double BrokenOff = AnsweredAt ? AnsweredPriorBrokenOff : PriorBrokenOff;
  for (const RunEnd &Run : RunEnds) {
    const bool MayBeHarmful = (!AnsweredAt || Run.At > *AnsweredAt) &&
                              contains(Run.Features, Feature);
    const bool Excluded =
        MayBeHarmful ||
        std::any_of(Run.Features.begin(), Run.Features.end(),
                    [this](const auto &Each) { return isQuarantined(Each); });
    if (Excluded)
      continue;
    ++Runs;
    BrokenOff += Run.BrokenOff ? 1 : 0;
  }
  // A harmless feature is answered now and then, however many runs break off.
  const double Rate = BrokenOff / Runs;
  return AnsweredAt ? std::min(MaxBackgroundRate, Rate) : Rate;
}

std::vector<CrashAttribution::Candidate> CrashAttribution::candidates() const {
  std::vector<Candidate> List;
  for (const auto &[Feature, Known] : EvidenceByFeature) {
    const auto Current = Quarantines.find(Feature);
    const bool OnProbation =
        Current != Quarantines.end() && Current->second.Status.lapsed();
    if (isQuarantined(Feature) ||
        (Known.Crashes.size() < MinCrashes && !OnProbation))
      continue;
    const std::size_t Crashes =
        countCrashes(Feature, Known, unexplainedCrashes(Feature, Known));
    if (Crashes == 0 || (Crashes < MinCrashes && !OnProbation))
      continue;
    const auto Runs = std::count_if(RunEnds.begin(), RunEnds.end(),
                                    [&Feature = Feature](const RunEnd &Run) {
                                      return contains(Run.Features, Feature);
                                    });
    List.push_back({Feature, lastAnswered(Feature).has_value(), Crashes,
                    static_cast<std::size_t>(Runs)});
  }
  // A feature that was never answered is a likelier cause than one that was,
  // and one of few requests a likelier cause than one of many.
  std::sort(List.begin(), List.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tuple(Left.AnsweredBefore, Right.Crashes, Left.Runs) <
                     std::tuple(Right.AnsweredBefore, Left.Crashes, Right.Runs);
            });
  return List;
}

bool CrashAttribution::isGuilty(const RequestFeature &Feature,
                                const Evidence &Known, std::size_t &Crashes,
                                double &Background) const {
  const std::vector<TimePoint> Times = unexplainedCrashes(Feature, Known);
  Crashes = countCrashes(Feature, Known, Times);
  const std::optional<TimePoint> AnsweredAt = lastAnswered(Feature);
  Background = backgroundRate(Feature, AnsweredAt);
  if (Crashes == 0)
    return false;
  const auto Current = Quarantines.find(Feature);
  if (Current != Quarantines.end() && Current->second.Status.lapsed())
    return true;
  if (AnsweredAt)
    return Crashes >=
           crashesNeeded(Background, FalseQuarantineRate * TurnsHarmfulRate);
  // Harmless requests that were never answered are not repeated so often.
  if (Crashes >= MinCrashes && isUnansweredRequest(Feature))
    return true;
  if (Background < MaxBackgroundRate &&
      Crashes >= crashesNeeded(Background, FalseQuarantineRate))
    return true;
  return Crashes >= MinCommonCrashes &&
         static_cast<double>(Crashes) >=
             MinCommonFraction * static_cast<double>(countEpisodes(
                                     allUnexplainedCrashes(Times.front())));
}

void CrashAttribution::explainCrashes() {
  Explained.clear();
  for (const auto &[Feature, Current] : Quarantines) {
    const auto Found = EvidenceByFeature.find(Feature);
    // A request may crash upstreams because of one of its parts.
    if (Feature.Kind == FeatureKind::ExactRequest ||
        !Current.Status.quarantined() || Found == EvidenceByFeature.end())
      continue;
    for (const auto &[Process, At] : Found->second.Crashes)
      Explained.insert(Process);
  }
}

void CrashAttribution::beginQuarantine(const RequestFeature &Feature,
                                       QuarantineChange Change) {
  const TimePoint Now = Time.now();
  Quarantine &Current = Quarantines[Feature];
  Current.Status.begin();
  Current.Probes = 0;
  Current.Since = Current.RefusedAt = Now;
  Current.BegunHere = true;
  for (const auto &[Process, At] : EvidenceByFeature.at(Feature).Crashes)
    Current.LastCrashAt = std::max(Current.LastCrashAt, At);
  Changes.push_back(Change);
  explainCrashes();
}

void CrashAttribution::blame() {
  explainCrashes();
  for (const Candidate &Each : candidates()) {
    QuarantineChange Change{Each.Feature, QuarantineChange::Cause::Crashes};
    if (isGuilty(Each.Feature, EvidenceByFeature.at(Each.Feature),
                 Change.Crashes, Change.BackgroundRate))
      beginQuarantine(Each.Feature, Change);
  }
}

bool CrashAttribution::isRefuted(const RequestFeature &Feature,
                                 const Quarantine &Current) const {
  const auto Found = EvidenceByFeature.find(Feature);
  if (!Current.BegunHere || Found == EvidenceByFeature.end() ||
      Found->second.Crashes.empty())
    return false;
  const auto Refuting =
      std::count_if(Found->second.Crashes.begin(), Found->second.Crashes.end(),
                    [&](const auto &Crash) {
                      return hasResponded(Crash.first, Crash.second);
                    });
  return 2 * static_cast<std::size_t>(Refuting) >= Found->second.Crashes.size();
}

} // namespace mallowglade

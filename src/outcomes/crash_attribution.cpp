#include <mallowglade/outcomes.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace mallowglade {

namespace {

/// Runs of this router from which the background rate is estimated.
constexpr std::chrono::seconds BackgroundWindow{10};
/// Time for which observations are reported, so that lost reports do not
/// matter.
constexpr Milliseconds ReportTime{2'000};
/// Time for which late reports of crashes before an answer are told from
/// crashes after it.
constexpr Milliseconds AnsweredRetention{10'000};
constexpr std::size_t MaxReportedFeatures = 96;
/// A feature with a single crash is not worth repeating.
constexpr std::size_t MinHeldCrashes = 2;
/// Longer than reports take, however often they are repeated.
constexpr std::chrono::minutes ForgettingMargin{1};
constexpr std::size_t MaxAnsweredFeatures = 8'192;
constexpr std::size_t MaxProcesses = 1'024;
constexpr std::size_t MaxOwnCrashes = 512;

Milliseconds ageAt(TimePoint Now, TimePoint At) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(Now - At));
}

} // namespace

std::string_view toString(QuarantineChange::Cause Cause) {
  switch (Cause) {
  case QuarantineChange::Cause::Crashes:
    return "crashes";
  case QuarantineChange::Cause::Reported:
    return "reported";
  case QuarantineChange::Cause::Answered:
    return "answered";
  case QuarantineChange::Cause::Refuted:
    return "refuted";
  case QuarantineChange::Cause::Quiet:
    return "quiet";
  case QuarantineChange::Cause::Operator:
    return "operator";
  }
  return "crashes";
}

bool CrashAttribution::isQuarantined(const RequestFeature &Feature) const {
  const auto Found = Quarantines.find(Feature);
  return Found != Quarantines.end() && Found->second.Status.quarantined();
}

void CrashAttribution::addRunEnd(const RequestFeatures &Features,
                                 bool BrokenOff) {
  const TimePoint Now = Time.now();
  RunEnds.push_back({Features, Now, BrokenOff});
  while (Now - RunEnds.front().At > BackgroundWindow)
    RunEnds.pop_front();
}

void CrashAttribution::recordAnswered(const RequestFeatures &Features) {
  const TimePoint Now = Time.now();
  addRunEnd(Features, false);
  for (const RequestFeature &Feature : Features) {
    const auto [It, New] = OwnAnswered.insert_or_assign(Feature, Now);
    if (New)
      OwnAnsweredOrder.push_back(Feature);
    addAnswered(Feature, Now);
  }
  while (OwnAnsweredOrder.size() > MaxAnsweredFeatures) {
    OwnAnswered.erase(OwnAnsweredOrder.front());
    OwnAnsweredOrder.pop_front();
  }
}

void CrashAttribution::recordBrokenOff(const RequestFeatures &Features,
                                       UpstreamProcess Process,
                                       TimePoint StartedAt) {
  const TimePoint Now = Time.now();
  addRunEnd(Features, true);
  for (const RequestFeature &Feature : Features) {
    addCrash(Feature, Process, Now);
    Evidence &Known = EvidenceByFeature.at(Feature);
    if (StartedAt >= Known.LastCrashHereAt)
      ++Known.InSequence;
    Known.LastCrashHereAt = Now;
    OwnCrashes.push_back({Feature, Process, Now});
  }
  while (OwnCrashes.size() > MaxOwnCrashes)
    OwnCrashes.pop_front();
  // The caller may repeat the request before the next update.
  const auto Repeated = [this](const RequestFeature &Feature) {
    return Feature.Kind == FeatureKind::ExactRequest &&
           EvidenceByFeature.at(Feature).Crashes.size() >= MinCrashes;
  };
  if (std::any_of(Features.begin(), Features.end(), Repeated))
    blame();
}

void CrashAttribution::recordAlive(UpstreamProcess Process) {
  const auto Found = Processes.find(Process);
  if (Found == Processes.end())
    return;
  const TimePoint Now = Time.now();
  if (Now - Found->second.BrokenOffAt < LifeMargin)
    return;
  Found->second.AliveAt = Found->second.AliveHereAt = Now;
  Found->second.Gone = false;
}

void CrashAttribution::recordGone(UpstreamProcess Process) {
  const auto Found = Processes.find(Process);
  if (Found != Processes.end())
    Found->second.Gone = true;
}

void CrashAttribution::addCrash(const RequestFeature &Feature,
                                UpstreamProcess Process, TimePoint At) {
  ProcessState &State = Processes[Process];
  State.BrokenOffAt = std::max(State.BrokenOffAt, At);
  Evidence &Known = EvidenceByFeature[Feature];
  const auto Answered = OwnAnswered.find(Feature);
  if (Answered != OwnAnswered.end())
    Known.AnsweredAt = std::max(Known.AnsweredAt, Answered->second);
  if (At <= Known.AnsweredAt) {
    Known.ContradictedAt = Time.now();
    return;
  }
  TimePoint &CrashedAt = Known.Crashes[Process];
  CrashedAt = std::max(CrashedAt, At);
  const auto Current = Quarantines.find(Feature);
  if (Current != Quarantines.end())
    Current->second.LastCrashAt = std::max(Current->second.LastCrashAt, At);
}

void CrashAttribution::addHeldCrash(const RequestFeature &Feature,
                                    UpstreamProcess Process, TimePoint At) {
  // Ages leave out the time that a report takes, so each repetition would make
  // a crash seem later: one that is known must not move.
  const auto Found = EvidenceByFeature.find(Feature);
  if (Found != EvidenceByFeature.end() &&
      Found->second.Crashes.contains(Process))
    return;
  const auto Current = Quarantines.find(Feature);
  if (Current != Quarantines.end() && At <= Current->second.EndedAt)
    return;
  const bool IsNew = !Processes.contains(Process);
  addCrash(Feature, Process, At);
  // This router and others may have heard of the process since.
  if (IsNew)
    Processes[Process].SettlesAt = Time.now() + SettleTime;
}

void CrashAttribution::addHeldAnswer(const RequestFeature &Feature,
                                     TimePoint At) {
  const std::optional<TimePoint> Last = lastAnswered(Feature);
  if (!Last || At > *Last + LifeMargin)
    addAnswered(Feature, At);
}

void CrashAttribution::addAnswered(const RequestFeature &Feature,
                                   TimePoint At) {
  const auto Found = EvidenceByFeature.find(Feature);
  if (Found != EvidenceByFeature.end() && !Found->second.Crashes.empty()) {
    Found->second.AnsweredAt = std::max(Found->second.AnsweredAt, At);
    Found->second.InSequence = 0;
    std::erase_if(Found->second.Crashes,
                  [At](const auto &Crash) { return Crash.second <= At; });
  }
  const auto Current = Quarantines.find(Feature);
  if (Current == Quarantines.end() || At <= Current->second.LastCrashAt ||
      !(Current->second.Status.quarantined() ||
        Current->second.Status.lapsed()))
    return;
  if (Current->second.Status.quarantined())
    Changes.push_back({Feature, QuarantineChange::Cause::Answered});
  Current->second.Status.clear();
  Current->second.EndedAt = At;
}

std::optional<RequestFeature>
CrashAttribution::refusedFor(const RequestFeatures &Features) {
  if (Quarantines.empty())
    return std::nullopt;
  std::optional<RequestFeature> Blamed;
  for (const RequestFeature &Feature : Features) {
    const auto Found = Quarantines.find(Feature);
    if (Found == Quarantines.end() || !Found->second.Status.quarantined())
      continue;
    Found->second.RefusedAt = Found->second.RefusedHereAt = Time.now();
    Blamed = Feature;
  }
  return Blamed;
}

bool CrashAttribution::takeProbe(const RequestFeatures &Features) {
  const RequestFeature *Only = nullptr;
  for (const RequestFeature &Feature : Features) {
    if (!isQuarantined(Feature))
      continue;
    if (Only != nullptr)
      return false;
    Only = &Feature;
  }
  if (Only == nullptr || !Prober)
    return false;
  Quarantine &Current = Quarantines.at(*Only);
  if (!isProbeDue(*Only, Current))
    return false;
  // A crash by another feature would tell nothing about a feature that was
  // answered before.
  if (lastAnswered(*Only) &&
      std::any_of(Features.begin(), Features.end(), [&](const auto &Each) {
        return Each != *Only && isUnansweredSuspect(Each);
      }))
    return false;
  ++Current.Probes;
  return true;
}

bool CrashAttribution::isProbeDue(const RequestFeature &Feature,
                                  const Quarantine &Current) const {
  const TimePoint Now = Time.now();
  const auto Age = Now - Current.Since;
  if (!lastAnswered(Feature))
    return Current.Probes < ProbeTimes.size() &&
           Age >= ProbeTimes[Current.Probes];
  if (Current.Probes >= AnsweredProbeTimes.size() ||
      Age < AnsweredProbeTimes[Current.Probes])
    return false;
  return Current.Probes > 0 || Age >= AnsweredProbeTimes[1] ||
         std::all_of(Processes.begin(), Processes.end(),
                     [Now](const auto &Entry) {
                       return Now - Entry.second.BrokenOffAt >= ProbeQuietTime;
                     });
}

bool CrashAttribution::mustWait(const RequestFeatures &Features) {
  const TimePoint Now = Time.now();
  const Milliseconds Interval =
      std::min<Milliseconds>(TrialInterval * Routers, MaxTrialInterval);
  std::vector<Evidence *> Suspected;
  for (const RequestFeature &Feature : Features) {
    const auto Found = EvidenceByFeature.find(Feature);
    if (Found == EvidenceByFeature.end() || !isSuspect(Feature, Found->second))
      continue;
    Evidence &Known = Found->second;
    // The routers' first trials are spread over the interval.
    if (Known.TriedAt == TimePoint{})
      Known.TriedAt =
          Now - Milliseconds(static_cast<std::int64_t>(
                    stableHash({reinterpret_cast<const char *>(&Feature.Hash),
                                sizeof(Feature.Hash)},
                               Salt) %
                    static_cast<std::uint64_t>(Interval.count() + 1)));
    if (Now - Known.TriedAt < Interval)
      return true;
    Suspected.push_back(&Known);
  }
  for (Evidence *Known : Suspected)
    Known->TriedAt = Now;
  return false;
}

bool CrashAttribution::release(const RequestFeature &Feature) {
  const auto Found = Quarantines.find(Feature);
  if (Found == Quarantines.end() || !Found->second.Status.quarantined())
    return false;
  Found->second.Status.clear();
  Found->second.EndedAt = Time.now();
  EvidenceByFeature.erase(Feature);
  Changes.push_back({Feature, QuarantineChange::Cause::Operator});
  return true;
}

void CrashAttribution::addQuarantine(const RequestFeature &Feature,
                                     const QuarantineEntry &Entry) {
  if (Entry.Status == QuarantineStatus())
    return;
  const TimePoint Now = Time.now();
  const auto [It, New] = Quarantines.try_emplace(Feature);
  Quarantine &Current = It->second;
  if (New)
    Current.RefusedAt = Now;
  if (Entry.RefusedAge)
    Current.RefusedAt = std::max(Current.RefusedAt, Now - *Entry.RefusedAge);
  if (Entry.Status == Current.Status)
    Current.Probes = std::max(Current.Probes, Entry.Probes);
  if (Entry.Status <= Current.Status)
    return;
  const bool Was = Current.Status.quarantined();
  Current.Status = Entry.Status;
  Current.Probes = Entry.Probes;
  // Earlier answers do not refute crashes that only other routers know.
  Current.LastCrashAt = Now;
  if (Current.Status.quarantined()) {
    Current.Since = Now;
  } else {
    Current.EndedAt = Now;
    EvidenceByFeature.erase(Feature);
  }
  if (Was != Current.Status.quarantined())
    Changes.push_back({Feature, QuarantineChange::Cause::Reported});
}

void CrashAttribution::merge(const CrashReport &Report) {
  const TimePoint Now = Time.now();
  for (const auto &[Feature, Observed] : Report.Features) {
    for (const auto &[Process, Age] : Observed.BrokenOff)
      if (Age <= ReportTime)
        addCrash(Feature, Process, Now - Age);
      else
        addHeldCrash(Feature, Process, Now - Age);
    if (Observed.AnsweredAge && *Observed.AnsweredAge <= ReportTime)
      addAnswered(Feature, Now - *Observed.AnsweredAge);
    else if (Observed.AnsweredAge)
      addHeldAnswer(Feature, Now - *Observed.AnsweredAge);
  }
  for (const auto &[Process, Age] : Report.Alive) {
    const auto Found = Processes.find(Process);
    if (Found != Processes.end())
      Found->second.AliveAt = std::max(Found->second.AliveAt, Now - Age);
  }
  for (const auto &[Feature, Entry] : Report.Quarantines)
    addQuarantine(Feature, Entry);
}

std::vector<QuarantineChange> CrashAttribution::update() {
  expire();
  endQuarantines();
  blame();
  return std::exchange(Changes, {});
}

void CrashAttribution::endQuarantines() {
  const TimePoint Now = Time.now();
  for (auto &[Feature, Current] : Quarantines) {
    if (!Current.Status.quarantined())
      continue;
    const bool Refuted = isRefuted(Feature, Current);
    if (!Refuted && Now - Current.RefusedAt <= RetentionTime)
      continue;
    if (Refuted)
      Current.Status.clear();
    else
      Current.Status.lapse();
    Current.RefusedAt = Current.EndedAt = Now;
    EvidenceByFeature.erase(Feature);
    Changes.push_back({Feature, Refuted ? QuarantineChange::Cause::Refuted
                                        : QuarantineChange::Cause::Quiet});
  }
  while (Quarantines.size() > MaxQuarantines)
    Quarantines.erase(
        std::min_element(Quarantines.begin(), Quarantines.end(),
                         [](const auto &Left, const auto &Right) {
                           return std::tuple(Left.second.Status.quarantined(),
                                             Left.second.RefusedAt) <
                                  std::tuple(Right.second.Status.quarantined(),
                                             Right.second.RefusedAt);
                         }));
}

void CrashAttribution::expire() {
  const TimePoint Now = Time.now();
  for (auto &[Feature, Known] : EvidenceByFeature)
    if (!isQuarantined(Feature))
      std::erase_if(Known.Crashes, [Now](const auto &Crash) {
        return Now - Crash.second > RetentionTime;
      });
  std::erase_if(EvidenceByFeature, [Now](const auto &Entry) {
    return Entry.second.Crashes.empty() &&
           Now - std::max(Entry.second.AnsweredAt,
                          Entry.second.ContradictedAt) >
               AnsweredRetention;
  });
  const auto Latest = [](const Evidence &Known) {
    TimePoint At{};
    for (const auto &[Process, CrashedAt] : Known.Crashes)
      At = std::max(At, CrashedAt);
    return At;
  };
  while (EvidenceByFeature.size() > MaxEvidence)
    EvidenceByFeature.erase(std::min_element(
        EvidenceByFeature.begin(), EvidenceByFeature.end(),
        [&](const auto &Left, const auto &Right) {
          return std::tuple(Left.second.Crashes.size(), Latest(Left.second)) <
                 std::tuple(Right.second.Crashes.size(), Latest(Right.second));
        }));
  std::erase_if(Processes, [Now](const auto &Entry) {
    return Now - Entry.second.BrokenOffAt > RetentionTime;
  });
  while (Processes.size() > MaxProcesses)
    Processes.erase(std::min_element(Processes.begin(), Processes.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second.BrokenOffAt <
                                              Right.second.BrokenOffAt;
                                     }));
  while (!OwnCrashes.empty() && Now - OwnCrashes.front().At > ReportTime)
    OwnCrashes.pop_front();
}

CrashReport CrashAttribution::report() {
  expire();
  const TimePoint Now = Time.now();
  CrashReport Report;
  for (const OwnCrash &Crash : OwnCrashes)
    Report.Features[Crash.Feature].BrokenOff[Crash.Process] =
        ageAt(Now, Crash.At);
  for (const auto &[Feature, Known] : EvidenceByFeature) {
    const auto Answered = OwnAnswered.find(Feature);
    // Routers that started later need to know it while there is evidence.
    if (Answered != OwnAnswered.end() &&
        (!Known.Crashes.empty() || Now - Answered->second <= ReportTime ||
         Now - Known.ContradictedAt <= ReportTime))
      Report.Features[Feature].AnsweredAge = ageAt(Now, Answered->second);
  }
  limitFeatures(Report);
  reportHeld(Report);
  for (const auto &[Process, State] : Processes)
    if (State.AliveHereAt != TimePoint{} &&
        Now - State.AliveHereAt <= ReportTime)
      Report.Alive.emplace(Process, ageAt(Now, State.AliveHereAt));
  for (const auto &[Feature, Current] : Quarantines) {
    QuarantineEntry Entry{Current.Status, Current.Probes, {}};
    if (Current.RefusedHereAt != TimePoint{})
      Entry.RefusedAge = ageAt(Now, Current.RefusedHereAt);
    Report.Quarantines.emplace(Feature, Entry);
  }
  return Report;
}

std::vector<std::pair<TimePoint, UpstreamProcess>>
CrashAttribution::heldCrashes(const Evidence &Known) const {
  const TimePoint Now = Time.now();
  std::vector<std::pair<TimePoint, UpstreamProcess>> Held;
  // What is about to be forgotten is not told: another router would forget it
  // later and tell it again.
  for (const auto &[Process, At] : Known.Crashes)
    if (Now - At > ReportTime && Now - At < RetentionTime - ForgettingMargin &&
        isCrash(Process, At, false))
      Held.emplace_back(At, Process);
  std::sort(Held.rbegin(), Held.rend());
  if (Held.size() > MaxHeldCrashes)
    Held.resize(MaxHeldCrashes);
  return Held;
}

void CrashAttribution::reportHeld(CrashReport &Report) const {
  const TimePoint Now = Time.now();
  std::vector<std::tuple<std::size_t, FeatureKind, RequestFeature>> Ranked;
  for (const auto &[Feature, Known] : EvidenceByFeature)
    if (Known.Crashes.size() >= MinHeldCrashes)
      if (const auto Held = heldCrashes(Known); !Held.empty())
        Ranked.emplace_back(Held.size(), Feature.Kind, Feature);
  std::sort(Ranked.rbegin(), Ranked.rend());
  if (Ranked.size() > MaxHeldFeatures)
    Ranked.resize(MaxHeldFeatures);
  for (const auto &[Crashes, Kind, Feature] : Ranked) {
    const auto Held = heldCrashes(EvidenceByFeature.at(Feature));
    FeatureObservation &Observed = Report.Features[Feature];
    for (const auto &[At, Process] : Held)
      Observed.BrokenOff.try_emplace(Process, ageAt(Now, At));
    // Without it, a feature that was answered would look like one that was not.
    const std::optional<TimePoint> Answered = lastAnswered(Feature);
    if (!Observed.AnsweredAge && Answered)
      Observed.AnsweredAge =
          std::max(ageAt(Now, *Answered), ReportTime + Milliseconds(1));
  }
}

void CrashAttribution::limitFeatures(CrashReport &Report) const {
  // Those that most routers know crashes of matter most.
  std::vector<std::tuple<std::size_t, FeatureKind, RequestFeature>> Ranked;
  for (const auto &[Feature, Observed] : Report.Features) {
    const auto Found = EvidenceByFeature.find(Feature);
    const std::size_t Crashes =
        Found == EvidenceByFeature.end() ? 0 : Found->second.Crashes.size();
    Ranked.emplace_back(Crashes, Feature.Kind, Feature);
  }
  if (Ranked.size() <= MaxReportedFeatures)
    return;
  std::sort(Ranked.begin(), Ranked.end());
  Ranked.resize(Ranked.size() - MaxReportedFeatures);
  for (const auto &[Crashes, Kind, Feature] : Ranked)
    Report.Features.erase(Feature);
}

std::size_t CrashAttribution::quarantinedCount() const {
  return static_cast<std::size_t>(std::count_if(
      Quarantines.begin(), Quarantines.end(),
      [](const auto &Entry) { return Entry.second.Status.quarantined(); }));
}

} // namespace mallowglade

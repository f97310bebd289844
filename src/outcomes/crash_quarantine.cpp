#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr std::chrono::minutes ConvictionDuration{10};
constexpr std::uint32_t MaxCrashes = 3;
constexpr std::uint32_t MaxAloneCrashes = 2;
/// A suspect whose request is not sent again is removed after this time.
constexpr std::chrono::minutes SuspicionDuration{30};
/// Covers nine minutes of new fingerprints at 123 requests/s per cell.
constexpr std::size_t MaxClearedFingerprints = 65'536;
/// Grants that last longer were abandoned when the cell's owner changed.
constexpr std::chrono::hours MaxRunDuration{1};
constexpr std::chrono::minutes IncidentRetention{10};
/// An answer received within this time after a crash may have been sent before
/// it.
constexpr Milliseconds MaxReportSkew{3'000};
constexpr Milliseconds ReservationDuration{2'000};
/// Longer than the interval at which routers exchange their records.
constexpr Milliseconds ReleaseDuration{30'000};

Milliseconds remainingTime(TimePoint End, TimePoint Now) {
  return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(End - Now));
}

} // namespace

CrashQuarantine::CrashQuarantine(const Clock &Time) : Time(Time) {}

bool CrashQuarantine::isSuspect(Fingerprint RequestFingerprint) const {
  return SuspectStates.contains(RequestFingerprint);
}

bool CrashQuarantine::isCleared(Fingerprint RequestFingerprint) const {
  return Cleared.contains(RequestFingerprint) && !isSuspect(RequestFingerprint);
}

bool CrashQuarantine::mayPlace(Fingerprint RequestFingerprint,
                               const UpstreamId &Upstream) const {
  if (convictionTimeLeft(RequestFingerprint))
    return false;
  if (isCleared(RequestFingerprint))
    return true;
  if (GrantsByFingerprint.contains(RequestFingerprint))
    return false;
  if (isSuspect(RequestFingerprint))
    return mayRunAlone(RequestFingerprint, Upstream);
  if (Upstream == ReservedUpstream.Upstream &&
      Time.now() < ReservedUpstream.Until)
    return false;
  return std::none_of(
      SuspectStates.begin(), SuspectStates.end(), [&](const auto &Item) {
        const auto RunningGrants = GrantsByFingerprint.find(Item.first);
        return RunningGrants != GrantsByFingerprint.end() &&
               RunningByGrant.at(*RunningGrants->second.begin()).Upstream ==
                   Upstream;
      });
}

bool CrashQuarantine::mayRunAlone(Fingerprint RequestFingerprint,
                                  const UpstreamId &Upstream) const {
  const bool OtherSuspectRuns = std::any_of(
      SuspectStates.begin(), SuspectStates.end(), [&](const auto &Item) {
        return Item.first != RequestFingerprint &&
               GrantsByFingerprint.contains(Item.first);
      });
  if (OtherSuspectRuns)
    return false;
  if (countUncleared(Upstream) == 0)
    return true;
  reserveUpstream(Upstream);
  return false;
}

std::size_t CrashQuarantine::countUncleared(const UpstreamId &Upstream) const {
  return std::count_if(RunningByGrant.begin(), RunningByGrant.end(),
                       [&](const auto &Item) {
                         return Item.second.Upstream == Upstream &&
                                !isCleared(Item.second.RequestFingerprint);
                       });
}

/// Reserves the upstream with the fewest uncleared requests for a suspect.
void CrashQuarantine::reserveUpstream(const UpstreamId &Upstream) const {
  const TimePoint Now = Time.now();
  const bool Replaces =
      Now >= ReservedUpstream.Until ||
      countUncleared(Upstream) < countUncleared(ReservedUpstream.Upstream);
  if (Replaces)
    ReservedUpstream.Upstream = Upstream;
  if (ReservedUpstream.Upstream == Upstream)
    ReservedUpstream.Until = Now + ReservationDuration;
}

void CrashQuarantine::dispatched(GrantId Grant, Fingerprint RequestFingerprint,
                                 const UpstreamId &Upstream) {
  RunningByGrant[Grant] = {RequestFingerprint, Upstream, Time.now(), 0};
  GrantsByFingerprint[RequestFingerprint].insert(Grant);
  if (isSuspect(RequestFingerprint))
    ReservedUpstream = {};
}

void CrashQuarantine::removeGrant(GrantId Grant) {
  const auto Found = RunningByGrant.find(Grant);
  const auto RunningGrants =
      GrantsByFingerprint.find(Found->second.RequestFingerprint);
  RunningGrants->second.erase(Grant);
  if (RunningGrants->second.empty())
    GrantsByFingerprint.erase(RunningGrants);
  RunningByGrant.erase(Found);
}

void CrashQuarantine::ended(GrantId Grant, Fingerprint RequestFingerprint,
                            const UpstreamId &, bool Answered) {
  const auto Found = RunningByGrant.find(Grant);
  if (Found == RunningByGrant.end())
    return;
  const auto Known = Incidents.find(Found->second.Incident);
  removeGrant(Grant);
  if (Known != Incidents.end())
    reassessIncident(Known->second, RequestFingerprint, Answered);
  if (Answered)
    clearFingerprint(RequestFingerprint);
}

/// Updates an incident when one of its requests ends without a crash.
void CrashQuarantine::reassessIncident(Incident &Crash,
                                       Fingerprint RequestFingerprint,
                                       bool Answered) {
  const bool AfterSkew = Time.now() >= Crash.At + MaxReportSkew;
  if (Answered && AfterSkew) {
    // The upstream continued to serve, so only connections were lost.
    const Incident Withdrawn = Crash;
    Crash.Suspects.clear();
    for (const Fingerprint Suspect : Withdrawn.Suspects)
      withdrawCrash(Suspect, Withdrawn);
  } else if (!Answered && !Crash.Reported.contains(RequestFingerprint) &&
             Crash.Suspects.erase(RequestFingerprint) > 0) {
    // It was placed after the crash and never reached the upstream.
    withdrawCrash(RequestFingerprint, Crash);
  }
}

void CrashQuarantine::crashed(GrantId Grant, Fingerprint RequestFingerprint,
                              const UpstreamId &Upstream) {
  const auto Found = RunningByGrant.find(Grant);
  if (Found == RunningByGrant.end()) {
    // The request was placed by another owner of the cell.
    recordCrash(RequestFingerprint, false);
    return;
  }
  if (Found->second.Incident == 0)
    openIncident(Upstream);
  const auto Known = Incidents.find(Found->second.Incident);
  if (Known != Incidents.end())
    Known->second.Reported.insert(RequestFingerprint);
  removeGrant(Grant);
}

/// Records a crash for each uncleared fingerprint on the upstream.
void CrashQuarantine::openIncident(const UpstreamId &Upstream) {
  const std::uint64_t Number = NextIncident++;
  Incident NewIncident;
  NewIncident.At = Time.now();
  std::set<Fingerprint> Fingerprints;
  for (auto &[Id, Item] : RunningByGrant) {
    if (Item.Upstream != Upstream || Item.Incident != 0)
      continue;
    Item.Incident = Number;
    Fingerprints.insert(Item.RequestFingerprint);
    if (!isCleared(Item.RequestFingerprint))
      NewIncident.Suspects.insert(Item.RequestFingerprint);
  }
  NewIncident.Alone = NewIncident.Suspects.size() == 1;
  if (NewIncident.Suspects.empty())
    addRepeatedCrashes(Fingerprints, NewIncident);
  for (const Fingerprint RequestFingerprint : NewIncident.Suspects)
    recordCrash(RequestFingerprint, NewIncident.Alone);
  Incidents[Number] = std::move(NewIncident);
}

/// Adds the cleared fingerprints that crash for the second time: a single crash
/// of cleared requests is more likely a fault of the upstream.
void CrashQuarantine::addRepeatedCrashes(
    const std::set<Fingerprint> &Fingerprints, Incident &NewIncident) {
  for (const Fingerprint RequestFingerprint : Fingerprints)
    if (!FirstCrashTimes.emplace(RequestFingerprint, Time.now()).second)
      NewIncident.Suspects.insert(RequestFingerprint);
}

void CrashQuarantine::recordCrash(Fingerprint RequestFingerprint, bool Alone) {
  ++Version;
  Cleared.erase(RequestFingerprint);
  Releases.erase(RequestFingerprint);
  SuspectState &State = SuspectStates[RequestFingerprint];
  ++State.Crashes;
  State.AloneCrashes += Alone ? 1 : 0;
  State.SuspectUntil = Time.now() + SuspicionDuration;
  if (State.Crashes >= MaxCrashes || State.AloneCrashes >= MaxAloneCrashes)
    State.ConvictedUntil = Time.now() + ConvictionDuration;
}

void CrashQuarantine::withdrawCrash(Fingerprint RequestFingerprint,
                                    const Incident &Withdrawn) {
  const auto Known = SuspectStates.find(RequestFingerprint);
  if (Known == SuspectStates.end())
    return;
  ++Version;
  SuspectState &State = Known->second;
  State.Crashes -= std::min(1U, State.Crashes);
  if (Withdrawn.Alone)
    State.AloneCrashes -= std::min(1U, State.AloneCrashes);
  if (State.Crashes < MaxCrashes && State.AloneCrashes < MaxAloneCrashes)
    State.ConvictedUntil.reset();
  if (State.Crashes == 0)
    SuspectStates.erase(Known);
}

void CrashQuarantine::clearFingerprint(Fingerprint RequestFingerprint) {
  if (convictionTimeLeft(RequestFingerprint))
    return;
  Version += SuspectStates.erase(RequestFingerprint);
  if (!Cleared.insert(RequestFingerprint).second)
    return;
  ClearedOrder.push_back(RequestFingerprint);
  while (ClearedOrder.size() > MaxClearedFingerprints) {
    Cleared.erase(ClearedOrder.front());
    ClearedOrder.pop_front();
  }
}

std::optional<Milliseconds>
CrashQuarantine::convictionTimeLeft(Fingerprint RequestFingerprint) const {
  const auto Found = SuspectStates.find(RequestFingerprint);
  if (Found == SuspectStates.end() || !Found->second.ConvictedUntil ||
      *Found->second.ConvictedUntil <= Time.now())
    return std::nullopt;
  return remainingTime(*Found->second.ConvictedUntil, Time.now());
}

bool CrashQuarantine::renewConviction(Fingerprint RequestFingerprint) {
  const auto Left = convictionTimeLeft(RequestFingerprint);
  if (!Left)
    return false;
  // Renewed early enough for the other routers to learn it.
  if (*Left < ConvictionDuration / 2) {
    SuspectStates.at(RequestFingerprint).ConvictedUntil =
        Time.now() + ConvictionDuration;
    ++Version;
  }
  return true;
}

bool CrashQuarantine::release(Fingerprint RequestFingerprint) {
  if (SuspectStates.erase(RequestFingerprint) == 0)
    return false;
  Releases[RequestFingerprint] = Time.now() + ReleaseDuration;
  ++Version;
  return true;
}

std::vector<QuarantineRecord> CrashQuarantine::exportRecords() const {
  const TimePoint Now = Time.now();
  std::vector<QuarantineRecord> Records;
  Records.reserve(SuspectStates.size() + Releases.size());
  for (const auto &[RequestFingerprint, State] : SuspectStates) {
    QuarantineRecord Record{
        RequestFingerprint, State.Crashes, State.AloneCrashes, {}, {}};
    if (State.ConvictedUntil)
      Record.ConvictionTimeLeft = remainingTime(*State.ConvictedUntil, Now);
    Records.push_back(Record);
  }
  for (const auto &[RequestFingerprint, End] : Releases)
    if (!SuspectStates.contains(RequestFingerprint))
      Records.push_back(
          {RequestFingerprint, 0, 0, {}, remainingTime(End, Now)});
  return Records;
}

void CrashQuarantine::importRecords(
    const std::vector<QuarantineRecord> &Records) {
  const TimePoint Now = Time.now();
  for (const QuarantineRecord &Record : Records) {
    if (Record.ReleaseTimeLeft.count() > 0) {
      SuspectStates.erase(Record.RequestFingerprint);
      Releases[Record.RequestFingerprint] = Now + Record.ReleaseTimeLeft;
      continue;
    }
    if (Releases.contains(Record.RequestFingerprint))
      continue;
    SuspectState &State = SuspectStates[Record.RequestFingerprint];
    State.Crashes = std::max(State.Crashes, Record.Crashes);
    State.AloneCrashes = std::max(State.AloneCrashes, Record.AloneCrashes);
    State.SuspectUntil = std::max(State.SuspectUntil, Now + SuspicionDuration);
    const TimePoint End = Now + Record.ConvictionTimeLeft;
    if (End > Now && (!State.ConvictedUntil || *State.ConvictedUntil < End))
      State.ConvictedUntil = End;
    Cleared.erase(Record.RequestFingerprint);
  }
}

void CrashQuarantine::expire() {
  const TimePoint Now = Time.now();
  // A fingerprint whose conviction has ended counts as not seen before.
  Version += std::erase_if(SuspectStates, [Now](const auto &Item) {
    const SuspectState &State = Item.second;
    return State.ConvictedUntil ? *State.ConvictedUntil <= Now
                                : State.SuspectUntil <= Now;
  });
  std::erase_if(Releases,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::erase_if(Incidents, [Now](const auto &Item) {
    return Item.second.At + IncidentRetention <= Now;
  });
  std::erase_if(FirstCrashTimes, [Now](const auto &Item) {
    return Item.second + IncidentRetention <= Now;
  });
  std::vector<GrantId> Abandoned;
  for (const auto &[Id, Item] : RunningByGrant)
    if (Item.StartedAt + MaxRunDuration <= Now)
      Abandoned.push_back(Id);
  for (const GrantId Id : Abandoned)
    removeGrant(Id);
}

} // namespace mallowglade

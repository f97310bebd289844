#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr std::chrono::minutes ConvictionTime{10};
constexpr std::uint32_t MaxCrashes = 3;
constexpr std::uint32_t MaxAloneCrashes = 2;
/// A suspect that is not sent again is forgotten after this time.
constexpr std::chrono::minutes SuspicionTime{30};
/// At 123 requests/s per cell this covers nine minutes of new fingerprints.
constexpr std::size_t MaxCleared = 65'536;
/// Requests that never end were left behind by a change of the cell's owner.
constexpr std::chrono::hours MaxRunTime{1};
constexpr std::chrono::minutes IncidentTime{10};
/// An answer within this time may have left the upstream before it crashed.
constexpr Milliseconds ReportSkew{3'000};
constexpr Milliseconds ReservationTime{2'000};
/// Longer than the period in which routers repeat their records.
constexpr Milliseconds ReleaseTime{30'000};

Milliseconds leftUntil(TimePoint End, TimePoint Now) {
  return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(End - Now));
}

} // namespace

CrashQuarantine::CrashQuarantine(const Clock &Time) : Time(Time) {}

bool CrashQuarantine::isSuspect(Fingerprint Print) const {
  return Standings.contains(Print);
}

bool CrashQuarantine::isCleared(Fingerprint Print) const {
  return Cleared.contains(Print) && !isSuspect(Print);
}

bool CrashQuarantine::mayPlace(Fingerprint Print,
                               const UpstreamId &Where) const {
  if (convictedFor(Print))
    return false;
  if (isCleared(Print))
    return true;
  if (ByPrint.contains(Print))
    return false;
  if (isSuspect(Print))
    return runsAlone(Print, Where);
  if (Where == Reserved.Where && Time.now() < Reserved.Until)
    return false;
  return std::none_of(Standings.begin(), Standings.end(),
                      [&](const auto &Item) {
                        const auto Runs = ByPrint.find(Item.first);
                        return Runs != ByPrint.end() &&
                               Grants.at(*Runs->second.begin()).Where == Where;
                      });
}

bool CrashQuarantine::runsAlone(Fingerprint Print,
                                const UpstreamId &Where) const {
  const bool OtherRuns =
      std::any_of(Standings.begin(), Standings.end(), [&](const auto &Item) {
        return Item.first != Print && ByPrint.contains(Item.first);
      });
  if (OtherRuns)
    return false;
  if (unclearedOn(Where) == 0)
    return true;
  reserve(Where);
  return false;
}

std::size_t CrashQuarantine::unclearedOn(const UpstreamId &Where) const {
  return std::count_if(Grants.begin(), Grants.end(), [&](const auto &Item) {
    return Item.second.Where == Where && !isCleared(Item.second.Print);
  });
}

/// Keeps the upstream with the fewest uncleared requests free.
void CrashQuarantine::reserve(const UpstreamId &Where) const {
  const TimePoint Now = Time.now();
  const bool Better =
      Now >= Reserved.Until || unclearedOn(Where) < unclearedOn(Reserved.Where);
  if (Better)
    Reserved.Where = Where;
  if (Reserved.Where == Where)
    Reserved.Until = Now + ReservationTime;
}

void CrashQuarantine::dispatched(GrantId Grant, Fingerprint Print,
                                 const UpstreamId &Where) {
  Grants[Grant] = {Print, Where, Time.now(), 0};
  ByPrint[Print].insert(Grant);
  if (isSuspect(Print))
    Reserved = {};
}

void CrashQuarantine::remove(GrantId Grant) {
  const auto Found = Grants.find(Grant);
  const auto Runs = ByPrint.find(Found->second.Print);
  Runs->second.erase(Grant);
  if (Runs->second.empty())
    ByPrint.erase(Runs);
  Grants.erase(Found);
}

void CrashQuarantine::ended(GrantId Grant, Fingerprint Print,
                            const UpstreamId &, bool Answered) {
  const auto Found = Grants.find(Grant);
  if (Found == Grants.end())
    return;
  const auto Known = Incidents.find(Found->second.Incident);
  remove(Grant);
  if (Known != Incidents.end())
    survived(Known->second, Print, Answered);
  if (Answered)
    clear(Print);
}

/// A request that was blamed for a crash ended in another way.
void CrashQuarantine::survived(Incident &Blamed, Fingerprint Print,
                               bool Answered) {
  const bool Late = Time.now() >= Blamed.At + ReportSkew;
  if (Answered && Late) {
    // The upstream went on serving, so only connections were lost.
    const Incident Wrong = Blamed;
    Blamed.Suspects.clear();
    for (const Fingerprint Suspect : Wrong.Suspects)
      takeBack(Suspect, Wrong);
  } else if (!Answered && !Blamed.Reported.contains(Print) &&
             Blamed.Suspects.erase(Print) > 0) {
    // It was placed after the crash and never reached the upstream.
    takeBack(Print, Blamed);
  }
}

void CrashQuarantine::crashed(GrantId Grant, Fingerprint Print,
                              const UpstreamId &Where) {
  const auto Found = Grants.find(Grant);
  if (Found == Grants.end()) {
    // The crash ended a run that another owner placed.
    blame(Print, false);
    return;
  }
  if (Found->second.Incident == 0)
    openIncident(Where);
  const auto Known = Incidents.find(Found->second.Incident);
  if (Known != Incidents.end())
    Known->second.Reported.insert(Print);
  remove(Grant);
}

/// Blames everything that ran on the upstream and was not cleared.
void CrashQuarantine::openIncident(const UpstreamId &Where) {
  const std::uint64_t Number = NextIncident++;
  Incident Opened;
  Opened.At = Time.now();
  std::set<Fingerprint> All;
  for (auto &[Id, Item] : Grants) {
    if (Item.Where != Where || Item.Incident != 0)
      continue;
    Item.Incident = Number;
    All.insert(Item.Print);
    if (!isCleared(Item.Print))
      Opened.Suspects.insert(Item.Print);
  }
  Opened.Alone = Opened.Suspects.size() == 1;
  if (Opened.Suspects.empty())
    addCleared(All, Opened);
  for (const Fingerprint Print : Opened.Suspects)
    blame(Print, Opened.Alone);
  Incidents[Number] = std::move(Opened);
}

/// One crash of cleared requests only is more likely a fault of the upstream.
void CrashQuarantine::addCleared(const std::set<Fingerprint> &All,
                                 Incident &Opened) {
  for (const Fingerprint Print : All)
    if (!Warned.emplace(Print, Time.now()).second)
      Opened.Suspects.insert(Print);
}

void CrashQuarantine::blame(Fingerprint Print, bool Alone) {
  ++Version;
  Cleared.erase(Print);
  Releases.erase(Print);
  Standing &Which = Standings[Print];
  ++Which.Crashes;
  Which.AloneCrashes += Alone ? 1 : 0;
  Which.KeptUntil = Time.now() + SuspicionTime;
  if (Which.Crashes >= MaxCrashes || Which.AloneCrashes >= MaxAloneCrashes)
    Which.ConvictedUntil = Time.now() + ConvictionTime;
}

void CrashQuarantine::takeBack(Fingerprint Print, const Incident &Wrong) {
  const auto Known = Standings.find(Print);
  if (Known == Standings.end())
    return;
  ++Version;
  Standing &Which = Known->second;
  Which.Crashes -= std::min(1U, Which.Crashes);
  if (Wrong.Alone)
    Which.AloneCrashes -= std::min(1U, Which.AloneCrashes);
  if (Which.Crashes < MaxCrashes && Which.AloneCrashes < MaxAloneCrashes)
    Which.ConvictedUntil.reset();
  if (Which.Crashes == 0)
    Standings.erase(Known);
}

void CrashQuarantine::clear(Fingerprint Print) {
  if (convictedFor(Print))
    return;
  Version += Standings.erase(Print);
  if (!Cleared.insert(Print).second)
    return;
  ClearedOrder.push_back(Print);
  while (ClearedOrder.size() > MaxCleared) {
    Cleared.erase(ClearedOrder.front());
    ClearedOrder.pop_front();
  }
}

std::optional<Milliseconds>
CrashQuarantine::convictedFor(Fingerprint Print) const {
  const auto Found = Standings.find(Print);
  if (Found == Standings.end() || !Found->second.ConvictedUntil ||
      *Found->second.ConvictedUntil <= Time.now())
    return std::nullopt;
  return leftUntil(*Found->second.ConvictedUntil, Time.now());
}

bool CrashQuarantine::release(Fingerprint Print) {
  if (Standings.erase(Print) == 0)
    return false;
  Releases[Print] = Time.now() + ReleaseTime;
  ++Version;
  return true;
}

std::vector<QuarantineRecord> CrashQuarantine::exportRecords() const {
  const TimePoint Now = Time.now();
  std::vector<QuarantineRecord> Records;
  Records.reserve(Standings.size() + Releases.size());
  for (const auto &[Print, Which] : Standings) {
    QuarantineRecord Record{Print, Which.Crashes, Which.AloneCrashes, {}, {}};
    if (Which.ConvictedUntil)
      Record.ConvictedFor = leftUntil(*Which.ConvictedUntil, Now);
    Records.push_back(Record);
  }
  for (const auto &[Print, End] : Releases)
    if (!Standings.contains(Print))
      Records.push_back({Print, 0, 0, {}, leftUntil(End, Now)});
  return Records;
}

void CrashQuarantine::importRecords(
    const std::vector<QuarantineRecord> &Records) {
  const TimePoint Now = Time.now();
  for (const QuarantineRecord &Record : Records) {
    if (Record.ReleasedFor.count() > 0) {
      Standings.erase(Record.Print);
      Releases[Record.Print] = Now + Record.ReleasedFor;
      continue;
    }
    if (Releases.contains(Record.Print))
      continue;
    Standing &Which = Standings[Record.Print];
    Which.Crashes = std::max(Which.Crashes, Record.Crashes);
    Which.AloneCrashes = std::max(Which.AloneCrashes, Record.AloneCrashes);
    Which.KeptUntil = std::max(Which.KeptUntil, Now + SuspicionTime);
    const TimePoint End = Now + Record.ConvictedFor;
    if (End > Now && (!Which.ConvictedUntil || *Which.ConvictedUntil < End))
      Which.ConvictedUntil = End;
    Cleared.erase(Record.Print);
  }
}

void CrashQuarantine::expire() {
  const TimePoint Now = Time.now();
  // A conviction that has ended starts again as a fingerprint not yet seen.
  Version += std::erase_if(Standings, [Now](const auto &Item) {
    const Standing &Which = Item.second;
    return Which.ConvictedUntil ? *Which.ConvictedUntil <= Now
                                : Which.KeptUntil <= Now;
  });
  std::erase_if(Releases,
                [Now](const auto &Item) { return Item.second <= Now; });
  std::erase_if(Incidents, [Now](const auto &Item) {
    return Item.second.At + IncidentTime <= Now;
  });
  std::erase_if(Warned, [Now](const auto &Item) {
    return Item.second + IncidentTime <= Now;
  });
  std::vector<GrantId> Lost;
  for (const auto &[Id, Item] : Grants)
    if (Item.Since + MaxRunTime <= Now)
      Lost.push_back(Id);
  for (const GrantId Id : Lost)
    remove(Id);
}

} // namespace mallowglade

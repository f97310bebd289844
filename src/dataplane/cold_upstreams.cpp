#include <mallowglade/detail/dataplane/cold_upstreams.hpp>

#include <mallowglade/detail/dataplane/request_features.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade::dataplane {

namespace {

/// Terms of the bound of the division, see `rateHolders`.
constexpr double RateTerm = 1.25;
constexpr double HolderTerm = 4.0 / 3;
/// Part of the rate that both sides of a cut network may start together.
constexpr double CutNetworkFactor = 4.0 / 3;
/// Holders that the others do not know yet.
constexpr std::size_t UnknownHolders = 2;
/// Holders of a cold upstream, if the limits allow it: one may be lost.
constexpr std::size_t UsualHolders = 3;
/// Requests per second that a single router usually has for a cold upstream.
constexpr double MaxRatePerHolder = 3;
constexpr std::size_t MaxHolders = 1'000;
/// Time for which it is remembered that a process is warm, so that late reports
/// of the time before are not followed.
constexpr Milliseconds WarmRetention{10'000};
/// Heartbeats after which a registration tells that its upstream is cold.
constexpr int HeartbeatsUntilTold = 2;

double rateFor(std::size_t Holders, double PerSecond, double MostInSecond) {
  const double ForRate =
      MostInSecond - HolderTerm * static_cast<double>(Holders + UnknownHolders);
  return std::min(PerSecond, ForRate / (RateTerm * CutNetworkFactor));
}

} // namespace

RateCap coldRate(double PerSecond, const ColdUpstreamLimits &Limits) {
  const double MostInSecond = PerSecond * Limits.Overage + Limits.Allowance;
  std::size_t Holders = UsualHolders;
  while (Holders > 1 &&
         rateFor(Holders, PerSecond, MostInSecond) < PerSecond / 2)
    --Holders;
  while (Holders >= UsualHolders && Holders < MaxHolders &&
         rateFor(Holders, PerSecond, MostInSecond) >
             MaxRatePerHolder * static_cast<double>(Holders))
    ++Holders;
  const double Rate = rateFor(Holders, PerSecond, MostInSecond);
  return {RequestRate(Rate < MinRequestRate.Value ? 0 : Rate), Holders};
}

void mergeLatest(ColdTable &Into, const ColdTable &Other,
                 Milliseconds SinceReceived) {
  for (const auto &[Process, Reported] : Other) {
    const ColdNotice Notice{Reported.Remaining - SinceReceived,
                            Reported.Age + SinceReceived};
    const auto [Found, IsNew] = Into.try_emplace(Process, Notice);
    if (!IsNew && Notice.Age < Found->second.Age)
      Found->second = Notice;
  }
}

std::string_view toString(ColdCause Cause) {
  switch (Cause) {
  case ColdCause::Registration:
    return "registration";
  case ColdCause::Response:
    return "response";
  case ColdCause::Unreachable:
    return "unreachable";
  case ColdCause::EvacuationEnded:
    return "evacuation_ended";
  case ColdCause::Reported:
    return "reported";
  }
  return "reported";
}

const ColdUpstreams::Statement &ColdUpstreams::Entry::latest() const {
  if (Own && Heard)
    return Heard->SaidAt > Own->SaidAt ? *Heard : *Own;
  return Own ? *Own : *Heard;
}

void ColdUpstreams::configure(const Configuration &Config,
                              const ColdSettings &NewSettings) {
  Settings = NewSettings;
  Services.clear();
  for (const Service &Pool : Config.Services)
    if (Pool.ColdRequestsPerSecond > 0)
      Services.emplace(
          Pool.Name,
          ServiceTimes{Pool.ColdTime,
                       coldRate(Pool.ColdRequestsPerSecond, Settings.Limits)});
}

const ColdUpstreams::ServiceTimes *
ColdUpstreams::timesOf(const Listing &Of) const {
  const auto Found = Services.find(Of.Service);
  return Found == Services.end() ? nullptr : &Found->second;
}

void ColdUpstreams::extendOwn(UpstreamProcess Process, TimePoint Until,
                              ColdCause Cause) {
  const TimePoint Now = Time.now();
  Entry &Known = Entries[Process];
  if (Known.Own || Known.Heard)
    Until = std::max(Until, Known.latest().Until);
  Known.Own = Statement{Until, Now, Cause};
}

void ColdUpstreams::setListed(const std::vector<UpstreamRecord> &List) {
  if (Services.empty()) {
    Listed.clear();
    Entries.clear();
    return;
  }
  const TimePoint Now = Time.now();
  std::unordered_map<UpstreamProcess, Listing> Next;
  for (const UpstreamRecord &Record : List) {
    const UpstreamProcess Process = upstreamProcess(Record);
    const auto Known = Listed.find(Process);
    const bool IsNew = Known == Listed.end();
    Next.emplace(Process, Listing{Record.Id, Record.Service, Record.Zone,
                                  Record.WrittenAt});
    if ((!IsNew && Record.WrittenAt <= Known->second.WrittenAt) ||
        Record.ColdUnreadable)
      continue;
    // A registration that is first seen without a cold time may be older than
    // what others have learned since.
    if (Record.ColdRemaining.count() > 0 ||
        (!IsNew && Entries.contains(Process)))
      Entries[Process].Own =
          Statement{Now + Record.ColdRemaining, Now, ColdCause::Registration};
  }
  Listed = std::move(Next);
  std::erase_if(Entries, [this](const auto &Item) {
    return !Listed.contains(Item.first);
  });
}

void ColdUpstreams::setEvacuated(const std::set<ZoneId> &Zones) {
  const TimePoint Now = Time.now();
  for (const auto &[Process, Of] : Listed) {
    if (!Evacuated.contains(Of.Zone) || Zones.contains(Of.Zone))
      continue;
    if (const ServiceTimes *Times = timesOf(Of))
      extendOwn(Process,
                Now + std::min(Times->ColdTime, HeartbeatsUntilTold *
                                                    Settings.UpstreamHeartbeat),
                ColdCause::EvacuationEnded);
  }
  Evacuated = Zones;
}

bool ColdUpstreams::recordUnreachable(UpstreamProcess Process) {
  const auto Found = Listed.find(Process);
  if (Found == Listed.end())
    return false;
  const ServiceTimes *Times = timesOf(Found->second);
  if (Times == nullptr || Times->ColdTime.count() <= 0)
    return false;
  extendOwn(Process, Time.now() + ReturnTime + Times->ColdTime,
            ColdCause::Unreachable);
  return true;
}

void ColdUpstreams::recordStated(UpstreamProcess Process,
                                 Milliseconds Remaining) {
  const bool IsNews = Remaining.count() > 0 || Entries.contains(Process);
  if (!Listed.contains(Process) || !IsNews)
    return;
  const TimePoint Now = Time.now();
  Entries[Process].Own = Statement{Now + Remaining, Now, ColdCause::Response};
}

void ColdUpstreams::setPeers(const ColdTable &Reported) {
  const TimePoint Now = Time.now();
  for (const auto &[Process, Notice] : Reported) {
    const auto Found = Listed.find(Process);
    if (Found == Listed.end() || Notice.Remaining.count() <= 0)
      continue;
    const ServiceTimes *Times = timesOf(Found->second);
    if (Times == nullptr)
      continue;
    const TimePoint SaidAt = Now - Notice.Age;
    const auto Known = Entries.find(Process);
    if (Known != Entries.end() && SaidAt <= Known->second.latest().SaidAt)
      continue;
    // A report that is damaged must not take an upstream out of use for long.
    const Milliseconds Remaining =
        std::min(Notice.Remaining, Times->ColdTime + ReturnTime);
    Entries[Process].Heard =
        Statement{Now + Remaining, SaidAt, ColdCause::Reported};
  }
  removeExpired();
}

void ColdUpstreams::removeExpired() {
  const TimePoint Now = Time.now();
  std::erase_if(Entries, [Now](const auto &Item) {
    return Now - Item.second.latest().Until > WarmRetention;
  });
}

bool ColdUpstreams::isCold(UpstreamProcess Process) const {
  const auto Found = Entries.find(Process);
  return Found != Entries.end() && Time.now() < Found->second.latest().Until;
}

bool ColdUpstreams::turnedColdAfter(UpstreamProcess Process,
                                    TimePoint At) const {
  const auto Found = Told.find(Process);
  return Found != Told.end() && Found->second.Since > At && isCold(Process);
}

std::size_t ColdUpstreams::coldCount() const {
  const TimePoint Now = Time.now();
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [Now](const auto &Item) {
        return Now < Item.second.latest().Until;
      }));
}

std::unordered_map<UpstreamProcess, RateCap> ColdUpstreams::rates() const {
  std::unordered_map<UpstreamProcess, RateCap> Rates;
  const TimePoint Now = Time.now();
  for (const auto &[Process, Known] : Entries) {
    const ServiceTimes *Times = timesOf(Listed.at(Process));
    const auto SinceWarm = Now - Known.latest().Until;
    if (Times == nullptr || SinceWarm >= OpeningTime)
      continue;
    const std::uint64_t Resource = stableHash(Listed.at(Process).Id.Value);
    if (SinceWarm < TimePoint::duration::zero()) {
      Rates.emplace(Process,
                    RateCap{Times->Cap.Rate, Times->Cap.Holders, Resource});
      continue;
    }
    const RequestRate Rate =
        openingRate(std::max(Times->Cap.Rate, MinRequestRate), SinceWarm);
    Rates.emplace(Process, RateCap{Rate, rateHolders(Rate), Resource});
  }
  return Rates;
}

ColdTable ColdUpstreams::report() const {
  ColdTable Table;
  const TimePoint Now = Time.now();
  for (const auto &[Process, Known] : Entries) {
    if (!Known.Own || Known.Own->Until <= Now)
      continue;
    if (Known.Own->Cause == ColdCause::Unreachable &&
        Listed.at(Process).Zone != Settings.Zone)
      continue;
    Table.emplace(
        Process,
        ColdNotice{std::chrono::ceil<Milliseconds>(Known.Own->Until - Now),
                   std::chrono::ceil<Milliseconds>(Now - Known.Own->SaidAt)});
  }
  return Table;
}

std::vector<ColdChange> ColdUpstreams::takeChanges() {
  std::vector<ColdChange> Changes;
  const TimePoint Now = Time.now();
  for (const auto &[Process, Known] : Entries) {
    const Statement &Latest = Known.latest();
    if (Now < Latest.Until && !Told.contains(Process)) {
      const Listing &Of = Listed.at(Process);
      const ServiceTimes *Times = timesOf(Of);
      Told.emplace(Process, ToldBegin{Of.Id, Now});
      Changes.push_back({Of.Id, true, Latest.Cause,
                         std::chrono::ceil<Milliseconds>(Latest.Until - Now),
                         Times != nullptr ? Times->Cap.Rate : RequestRate()});
    }
  }
  std::erase_if(Told, [&](const auto &Item) {
    if (isCold(Item.first))
      return false;
    const auto Known = Entries.find(Item.first);
    // A process that is gone has no entry any more.
    if (Known != Entries.end())
      Changes.push_back(
          {Item.second.Id, false, Known->second.latest().Cause, {}, {}});
    return true;
  });
  return Changes;
}

} // namespace mallowglade::dataplane

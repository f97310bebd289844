#include <mallowglade/detail/dataplane/upstream_limits.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mallowglade::dataplane {

namespace {

/// Time constants of the decaying rates of requests.
constexpr double RecentSeconds = 1;
constexpr double LongerSeconds = 5;
/// Minimum time between divisions of all limits, which cost time for each
/// router and limited upstream.
constexpr Milliseconds DivisionPeriod{200};
/// Time between two new values of a limit that are told, and factor by which
/// they differ; an upstream may name another value in each response.
constexpr Milliseconds MinTellPeriod{1'000};
constexpr double ClearChange = 1.25;
/// Bound on the statements kept; upstreams come and go.
constexpr std::size_t MaxStatements = 4'096;

double seconds(TimePoint::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void mergeLatest(LimitTable &Into, const LimitTable &Other,
                 Milliseconds SinceReceived) {
  for (const auto &[Process, Reported] : Other) {
    const Milliseconds Age = Reported.Age + SinceReceived;
    const ReportedLimit Aged{Reported.Rate, Age, Reported.Direct,
                             Reported.Opening};
    const auto [Found, IsNew] = Into.try_emplace(Process, Aged);
    ReportedLimit &Known = Found->second;
    if (!IsNew &&
        std::pair(!Reported.Direct, Age) < std::pair(!Known.Direct, Known.Age))
      Known = Aged;
  }
}

void UpstreamLimits::setListed(
    std::unordered_map<UpstreamProcess, ServiceKey> Current) {
  Listed = std::move(Current);
  const auto IsGone = [this](const auto &Entry) {
    return !Listed.contains(Entry.first);
  };
  std::erase_if(Statements, IsGone);
  std::erase_if(Openings, IsGone);
  std::erase_if(Allowances, IsGone);
  std::erase_if(Caps, IsGone);
  std::erase_if(Told, IsGone);
}

void UpstreamLimits::setCaps(
    std::unordered_map<UpstreamProcess, RateCap> Current) {
  const auto Previous = std::exchange(Caps, std::move(Current));
  std::erase_if(Caps, [this](const auto &Entry) {
    return !Listed.contains(Entry.first);
  });
  for (const auto &[Process, Cap] : Previous)
    if (!Caps.contains(Process) && Listed.contains(Process))
      update(Process);
  for (const auto &[Process, Cap] : Caps) {
    const auto Known = Previous.find(Process);
    if (Known == Previous.end() || Known->second.Holders != Cap.Holders)
      update(Process);
  }
}

std::size_t UpstreamLimits::limitedCount() const {
  return static_cast<std::size_t>(std::count_if(
      Allowances.begin(), Allowances.end(), [this](const auto &Entry) {
        return namedLimit(Entry.first).has_value();
      }));
}

LimitChange UpstreamLimits::recordResponse(UpstreamProcess Process,
                                           std::optional<RequestRate> Rate,
                                           TimePoint SentAt) {
  const auto Known = Statements.find(Process);
  if (!Rate && (Known == Statements.end() || !Known->second.Rate))
    return LimitChange::None;
  // As reports round it, so that the same rate is equal whoever tells it.
  if (Rate)
    Rate = RequestRate(static_cast<float>(Rate->Value));
  if (Rate && isOutdated(Process, *Rate, SentAt))
    return LimitChange::None;
  const TimePoint Now = Time.now();
  record(Process, {Rate, Rate ? Now : SentAt, true});
  const auto Current = namedLimit(Process);
  const auto Last = Told.find(Process);
  if (!Current) {
    const bool WasTold = Last != Told.end();
    if (WasTold)
      Told.erase(Last);
    return WasTold ? LimitChange::Ends : LimitChange::None;
  }
  if (Last == Told.end()) {
    Told.emplace(Process, std::pair(*Current, Now));
    return LimitChange::Begins;
  }
  auto &[ToldRate, ToldAt] = Last->second;
  const double Ratio = Current->Value / ToldRate.Value;
  if (Now - ToldAt < MinTellPeriod ||
      (Ratio < ClearChange && Ratio > 1 / ClearChange))
    return LimitChange::None;
  Last->second = {*Current, Now};
  return LimitChange::Changes;
}

bool UpstreamLimits::isOutdated(UpstreamProcess Process, RequestRate Rate,
                                TimePoint SentAt) const {
  const auto Known = Statements.find(Process);
  const auto Opens = Openings.find(Process);
  // A lower limit is followed in any case.
  return Known != Statements.end() && !Known->second.Rate &&
         Opens != Openings.end() && openRate(Process) &&
         SentAt < Known->second.SaidAt && Rate >= Opens->second.From;
}

void UpstreamLimits::record(UpstreamProcess Process, const Statement &Latest,
                            bool Heard, std::optional<RequestRate> Open) {
  if (!Listed.contains(Process))
    return;
  const auto Known = Statements.find(Process);
  if (Known == Statements.end() && Statements.size() >= MaxStatements)
    return;
  if (Known != Statements.end() &&
      (Heard || Known->second.SaidAt >= Latest.SaidAt))
    return;
  const bool IsNew = Known == Statements.end();
  const bool SameRate = !IsNew && Known->second.Rate == Latest.Rate;
  const auto Before = IsNew ? Open : openRate(Process);
  Statements[Process] = Latest;
  if (SameRate)
    return;
  const auto Named = namedLimit(Process);
  Openings.erase(Process);
  if (Before && (!Named || *Named > *Before))
    Openings.emplace(Process,
                     Opening{std::max(MinRequestRate, *Before), Time.now()});
  update(Process);
}

void UpstreamLimits::update(UpstreamProcess Process) {
  const auto Rate = limitOf(Process);
  if (!Rate) {
    Allowances.erase(Process);
    Openings.erase(Process);
    return;
  }
  const TimePoint Now = Time.now();
  constexpr double Scale = 1.0 / 18'446'744'073'709'551'616.0;
  const std::uint64_t Hash = stableHash(
      {reinterpret_cast<const char *>(&Process.Value), sizeof(Process.Value)},
      Seed);
  const auto Cap = Caps.find(Process);
  const bool Capped = Cap != Caps.end();
  const auto Allowance =
      Allowances
          .try_emplace(Process,
                       RateAllowance(
                           Capped ? 0 : static_cast<double>(Hash) * Scale, Now))
          .first;
  const ServiceKey Service = Listed.at(Process);
  std::vector<RateMember> Sharing{{Self, ownDemandOf(Service)}};
  Sharing.reserve(Members.size() + 1);
  for (const FleetMember &Member : Members) {
    const auto Demand = Member.Demand.find(Service);
    Sharing.push_back({Member.Key, Demand == Member.Demand.end()
                                       ? RequestRate()
                                       : Demand->second});
  }
  if (Capped) {
    for (RateMember &Member : Sharing)
      Member.Demand = RequestRate();
    Allowance->second.setShare(rateShare(Cap->second.Resource, *Rate, Sharing,
                                         Self, Cap->second.Holders),
                               Now);
    return;
  }
  Allowance->second.setShare(rateShare(Process.Value, *Rate, Sharing, Self),
                             Now);
}

void UpstreamLimits::divide() {
  const TimePoint Now = Time.now();
  if (Now - DividedAt < DivisionPeriod)
    return;
  DividedAt = Now;
  std::vector<UpstreamProcess> Limited;
  for (const auto &[Process, Allowance] : Allowances)
    Limited.push_back(Process);
  for (const UpstreamProcess Process : Limited)
    update(Process);
}

void UpstreamLimits::setPeers(const LimitTable &Limits,
                              std::vector<FleetMember> Current) {
  Members = std::move(Current);
  const TimePoint Now = Time.now();
  for (const auto &[Process, Reported] : Limits)
    record(Process, {Reported.Rate, Now - Reported.Age, false},
           !Reported.Direct, Reported.Opening);
  std::erase_if(Statements, [this, Now](const auto &Entry) {
    const auto Age = Now - Entry.second.SaidAt;
    const bool Expired = Age > Retention;
    if (Expired && !Caps.contains(Entry.first))
      Allowances.erase(Entry.first);
    return Expired || (!Entry.second.Rate && Age > EndRetention);
  });
  divide();
}

void UpstreamLimits::decay(Demand &Entry, TimePoint Now) {
  const double Elapsed = seconds(Now - Entry.DecayedAt);
  Entry.Recent *= std::exp(-Elapsed / RecentSeconds);
  Entry.Longer *= std::exp(-Elapsed / LongerSeconds);
  Entry.DecayedAt = Now;
}

void UpstreamLimits::recordDemand(ServiceKey Service) {
  Demand &Entry = OwnDemand[Service];
  decay(Entry, Time.now());
  Entry.Recent += 1 / RecentSeconds;
  Entry.Longer += 1 / LongerSeconds;
}

RequestRate UpstreamLimits::ownDemandOf(ServiceKey Service) const {
  const auto Found = OwnDemand.find(Service);
  if (Found == OwnDemand.end())
    return RequestRate();
  Demand Entry = Found->second;
  decay(Entry, Time.now());
  // The longer time is followed until the recent one differs by more than the
  // chance of single requests explains: shares that follow chance move to
  // routers that have no use for them.
  const double Noise = 2 * std::sqrt(Entry.Longer / RecentSeconds) + 2;
  return RequestRate(std::abs(Entry.Recent - Entry.Longer) > Noise
                         ? Entry.Recent
                         : Entry.Longer);
}

std::optional<RequestRate>
UpstreamLimits::limitOf(UpstreamProcess Process) const {
  const auto Named = openRate(Process);
  const auto Cap = Caps.find(Process);
  if (Cap == Caps.end())
    return Named;
  return Named ? std::min(*Named, Cap->second.Rate) : Cap->second.Rate;
}

std::optional<RequestRate>
UpstreamLimits::namedLimit(UpstreamProcess Process) const {
  const auto Found = Statements.find(Process);
  if (Found == Statements.end() || !Found->second.Rate)
    return std::nullopt;
  return std::max(MinRequestRate, *Found->second.Rate);
}

std::optional<RequestRate>
UpstreamLimits::openRate(UpstreamProcess Process) const {
  const auto Named = namedLimit(Process);
  const auto Opens = Openings.find(Process);
  if (Opens == Openings.end())
    return Named;
  const auto Elapsed = Time.now() - Opens->second.Since;
  if (!Named && Elapsed >= RateOpeningTime)
    return std::nullopt;
  const RequestRate Rate = openingRate(Opens->second.From, Elapsed);
  return Named ? std::min(*Named, Rate) : Rate;
}

std::optional<RequestRate>
UpstreamLimits::shareOf(UpstreamProcess Process) const {
  const auto Found = Allowances.find(Process);
  if (Found == Allowances.end())
    return std::nullopt;
  return Found->second.share();
}

TimePoint UpstreamLimits::startableFrom(UpstreamProcess Process) const {
  const TimePoint Now = Time.now();
  const auto Found = Allowances.find(Process);
  return Found == Allowances.end() ? Now : Found->second.startableFrom(Now);
}

bool UpstreamLimits::mayStart(UpstreamProcess Process) const {
  const auto Found = Allowances.find(Process);
  if (Found == Allowances.end())
    return true;
  const TimePoint Now = Time.now();
  return Found->second.startableFrom(Now) <= Now;
}

void UpstreamLimits::recordStart(UpstreamProcess Process) {
  const auto Found = Allowances.find(Process);
  if (Found != Allowances.end())
    Found->second.take(Time.now());
}

void UpstreamLimits::recordNotSent(UpstreamProcess Process) {
  const auto Found = Allowances.find(Process);
  if (Found != Allowances.end())
    Found->second.giveBack(Time.now());
}

LimitTable UpstreamLimits::report() const {
  const TimePoint Now = Time.now();
  LimitTable Table;
  for (const auto &[Process, Latest] : Statements)
    Table.emplace(
        Process,
        ReportedLimit{
            Latest.Rate, std::chrono::ceil<Milliseconds>(Now - Latest.SaidAt),
            Latest.Own,
            Openings.contains(Process) ? openRate(Process) : std::nullopt});
  return Table;
}

DemandTable UpstreamLimits::ownDemand() const {
  DemandTable Table;
  if (!any())
    return Table;
  for (const auto &[Service, Entry] : OwnDemand)
    Table.emplace(Service, ownDemandOf(Service));
  return Table;
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/zone_choice.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mallowglade::dataplane {

namespace {

/// Minimum age of loads before they are set again.
constexpr Milliseconds UpdatePeriod{50};
/// Time constant of the shares.
constexpr double ShareSmoothingSeconds = 0.5;
/// Part of the requests that leaves for each unit of excess utilization.
/// Reports are up to 0.3 s late and the load of a request lasts 1.5 s: at four
/// times this gain the share of a busy zone oscillates.
constexpr double Gain = 1.5;
/// Utilization by which this zone has to exceed what pays. Zones that are
/// equally full would otherwise exchange requests.
constexpr double Margin = 0.05;
/// The expected delay is the latency objective times the utilization to this
/// power.
constexpr double DelayExponent = 4;
/// A zone that seems full still gets some of the requests that have no other
/// place.
constexpr double MinRoom = 0.05;
/// Difference from which a share has clearly changed, share that counts as
/// none, and time between changes that are told.
constexpr double ClearDifference = 0.1;
constexpr double NoShare = 0.01;
constexpr Milliseconds TellingPeriod{1'000};
/// Uses below which a prefix is forgotten, and period of looking for these.
constexpr double MinUses = 0.1;
constexpr Milliseconds CleaningPeriod{1'000};

double elapsedSeconds(TimePoint::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

const ZoneLoad &loadOf(const ZoneLoads &Loads, const ZoneId &Zone) {
  static const ZoneLoad None;
  const auto Found = Loads.find(Zone);
  return Found == Loads.end() ? None : Found->second;
}

double sumOf(const std::map<ZoneId, double> &Shares) {
  double Sum = 0;
  for (const auto &[Zone, Share] : Shares)
    Sum += Share;
  return Sum;
}

} // namespace

double PrefixUses::decayed(const Entry &Known, TimePoint Now) const {
  return Known.Uses * std::exp(-elapsedSeconds(Now - Known.At) /
                               std::chrono::duration<double>(Window).count());
}

void PrefixUses::removeUnused(TimePoint Now) {
  if (Now - CleanedAt < CleaningPeriod)
    return;
  CleanedAt = Now;
  std::erase_if(Entries, [this, Now](const auto &Known) {
    return decayed(Known.second, Now) < MinUses;
  });
}

double PrefixUses::record(std::uint64_t Prefix) {
  const TimePoint Now = Time.now();
  const auto Found = Entries.find(Prefix);
  if (Found != Entries.end()) {
    Found->second = {decayed(Found->second, Now) + 1, Now};
    return Found->second.Uses;
  }
  if (Entries.size() >= MaxEntries)
    removeUnused(Now);
  if (Entries.size() < MaxEntries)
    Entries.emplace(Prefix, Entry{1, Now});
  return 1;
}

bool ZoneChoice::isDue(const ServiceId &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ||
         Time.now() - Found->second.SetAt >= UpdatePeriod;
}

double ZoneChoice::payingUtilization(const ZoneLoad &Other,
                                     Milliseconds Objective) const {
  // One request more delays itself by U^n objectives and all others together by
  // n * U^n.
  const double CostInDelay =
      Cost / ((1 + DelayExponent) *
              std::max(PreciseMilliseconds(1), PreciseMilliseconds(Objective)));
  return std::pow(std::pow(Other.Utilization, DelayExponent) + CostInDelay,
                  1 / DelayExponent) +
         Margin;
}

std::map<ZoneId, double>
ZoneChoice::sharesOfRoom(const ZoneLoads &Loads) const {
  std::map<ZoneId, double> Room;
  const auto Add = [&](bool WithSilent) {
    for (const auto &[Zone, Load] : Loads)
      if (Zone != Own && Load.Upstreams > 0 &&
          (WithSilent || !Silent.contains(Zone)))
        Room[Zone] = Load.Upstreams * std::max(MinRoom, 1.0 - Load.Utilization);
  };
  Add(false);
  if (Room.empty())
    Add(true);
  const double Sum = sumOf(Room);
  for (auto &[Zone, Share] : Room)
    Share /= Sum;
  return Room;
}

std::map<ZoneId, double>
ZoneChoice::targetShares(const ZoneLoads &Loads, Milliseconds Objective) const {
  const ZoneLoad &Here = loadOf(Loads, Own);
  double Others = 0;
  for (const auto &[Zone, Load] : Loads)
    if (Zone != Own)
      Others += Load.Upstreams;
  std::map<ZoneId, double> Target;
  for (const auto &[Zone, Load] : Loads) {
    if (Zone == Own || Load.Upstreams <= 0 || Silent.contains(Zone))
      continue;
    const double Excess = Here.Utilization - payingUtilization(Load, Objective);
    // What leaves here weighs the more there, the fewer upstreams there are.
    if (Excess > 0)
      Target[Zone] =
          Gain * Excess * Load.Upstreams / std::max(Others, Here.Upstreams);
  }
  const double Sum = sumOf(Target);
  if (Sum > 1)
    for (auto &[Zone, Share] : Target)
      Share /= Sum;
  return Target;
}

void ZoneChoice::setLoads(const ServiceId &Service, const ZoneLoads &Loads,
                          Milliseconds Objective) {
  const TimePoint Now = Time.now();
  const auto [It, New] = Services.try_emplace(Service);
  ServiceState &State = It->second;
  const double Kept = New ? 1.0
                          : std::exp(-elapsedSeconds(Now - State.SetAt) /
                                     ShareSmoothingSeconds);
  State.Loads = Loads;
  State.Objective = Objective;
  State.SetAt = Now;
  if (loadOf(Loads, Own).Upstreams <= 0) {
    State.Shares = sharesOfRoom(Loads);
    return;
  }
  const std::map<ZoneId, double> Target = targetShares(Loads, Objective);
  std::map<ZoneId, double> Next;
  for (const auto &[Zone, Load] : Loads) {
    // Nothing goes on to a zone that takes nothing or is not heard from.
    if (Zone == Own || Load.Upstreams <= 0 || Silent.contains(Zone))
      continue;
    const auto Wanted = Target.find(Zone);
    const auto Known = State.Shares.find(Zone);
    const double Before = Known == State.Shares.end() ? 0 : Known->second;
    const double After = Wanted == Target.end() ? 0 : Wanted->second;
    Next[Zone] = After + Kept * (Before - After);
  }
  State.Shares = std::move(Next);
}

const ZoneId &ZoneChoice::zoneOf(const ServiceId &Service,
                                 std::uint64_t Hash) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Own;
  // Zones take disjoint ranges, so that few prefixes move if shares change.
  double Point = static_cast<double>(Hash) /
                 static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const ZoneId *Last = &Own;
  for (const auto &[Zone, Share] : Found->second.Shares) {
    if (Share <= 0)
      continue;
    if (Point < Share)
      return Zone;
    Point -= Share;
    Last = &Zone;
  }
  const bool NoneHere = loadOf(Found->second.Loads, Own).Upstreams <= 0;
  return NoneHere ? *Last : Own;
}

std::vector<ZoneId> ZoneChoice::overflowZones(const ServiceId &Service) const {
  std::vector<std::pair<double, ZoneId>> Ranked;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return {};
  const ServiceState &State = Found->second;
  const ZoneLoad &Here = loadOf(State.Loads, Own);
  for (const auto &[Zone, Load] : State.Loads) {
    if (Zone == Own || Load.Upstreams <= 0 || Silent.contains(Zone))
      continue;
    if (Here.Upstreams <= 0 ||
        Here.Utilization > payingUtilization(Load, State.Objective))
      Ranked.emplace_back(Load.Utilization, Zone);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<ZoneId> Zones;
  Zones.reserve(Ranked.size());
  for (auto &[Utilization, Zone] : Ranked)
    Zones.push_back(std::move(Zone));
  return Zones;
}

bool ZoneChoice::mayFollowPrefix(const ServiceId &Service,
                                 const ZoneId &Zone) const {
  const auto Found = Services.find(Service);
  if (Zone == Own || Found == Services.end() || Silent.contains(Zone))
    return Zone == Own;
  const ZoneLoad &There = loadOf(Found->second.Loads, Zone);
  const ZoneLoad &Here = loadOf(Found->second.Loads, Own);
  return There.Upstreams > 0 &&
         (Here.Upstreams <= 0 ||
          There.Utilization <= Here.Utilization + Margin);
}

bool ZoneChoice::mayFetchFrom(const ServiceId &Service,
                              const ZoneId &Zone) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() && Zone != Own && !Silent.contains(Zone) &&
         loadOf(Found->second.Loads, Zone).Upstreams > 0;
}

double ZoneChoice::share(const ServiceId &Service, const ZoneId &Zone) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return 0;
  const auto Known = Found->second.Shares.find(Zone);
  return Known == Found->second.Shares.end() ? 0 : Known->second;
}

double ZoneChoice::sumOfShares(const ServiceId &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? 0 : sumOf(Found->second.Shares);
}

double ZoneChoice::largestSum() const {
  double Largest = 0;
  for (const auto &[Service, State] : Services)
    Largest = std::max(Largest, sumOf(State.Shares));
  return Largest;
}

std::vector<ZoneShareChange> ZoneChoice::takeChanges() {
  std::vector<ZoneShareChange> Changes;
  const TimePoint Now = Time.now();
  for (auto &[Service, State] : Services) {
    for (const auto &[Zone, Load] : State.Loads)
      State.ToldShares.try_emplace(Zone);
    for (auto &[Zone, Last] : State.ToldShares) {
      const double Share = share(Service, Zone);
      const bool Ends = Share < NoShare && Last.Share >= NoShare;
      const bool Changed = std::abs(Share - Last.Share) >= ClearDifference;
      if ((!Ends && !Changed) ||
          (Last.At != TimePoint{} && Now - Last.At < TellingPeriod))
        continue;
      Last = {Share, Now};
      Changes.push_back({Service, Zone, Share,
                         loadOf(State.Loads, Own).Utilization,
                         loadOf(State.Loads, Zone).Utilization});
    }
  }
  return Changes;
}

} // namespace mallowglade::dataplane

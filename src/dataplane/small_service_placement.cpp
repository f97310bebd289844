#include <mallowglade/detail/dataplane/small_service_placement.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mallowglade::dataplane {

namespace {

/// Time constant of the rates; long enough for the sum over the fleet to hold
/// hundreds of requests.
constexpr double RateSeconds = 1;
/// Time constant of the smoothing of loads; evens out the requests that are
/// counted by two reports or by none.
constexpr double LoadSeconds = 0.2;
/// Time constant with which failures are forgotten, and weight of one response.
constexpr double FailureSeconds = 3;
constexpr double FailureSmoothing = 0.2;
/// Numbers of responses over which service times are means, and weight of the
/// service's mean, in responses, in that of an upstream.
constexpr double MaxServiceSamples = 30;
constexpr double MaxUpstreamSamples = 10;
constexpr double PriorSamples = 2;
/// Age up to which an upstream's own statement of its load counts.
constexpr Milliseconds MaxStatementAge{200};
/// An upstream whose responses all report failures still gets some requests, as
/// it may recover.
constexpr double MinHealth = 0.2;
/// Factor of the weight of upstreams in the router's own zone.
constexpr double OwnZoneWeight = 2;
/// Fraction of the latency objective that requests may wait at an upstream.
constexpr double WaitFraction = 0.3;
/// Bound on the requests that may wait, per slot: queues of upstreams are
/// short, and a longer one serves no more requests.
constexpr double MaxTargetWaiting = 1;
constexpr double MinTargetWaiting = 0.25;
/// Fraction of the estimated capacity up to which all requests are sent.
constexpr double UsableCapacity = 0.8;
/// Exponent with which the admitted fraction follows the wait relative to its
/// target. Reports are older than the time in which a queue fills, so a large
/// one would fill and empty queues by turns. An estimate of the capacity that
/// is too low empties queues, and is then overridden.
constexpr double CorrectionExponent = 0.12;
constexpr double MinRelativeWait = 0.01;
constexpr double MaxRelativeWait = 8;
/// Some requests are always sent: estimates need responses.
constexpr double MinAdmittedFraction = 0.05;
/// Fraction admitted below which an operator is told.
constexpr double NoticedFraction = 0.95;
constexpr Milliseconds NoticeEnds{2'000};

double secondsOf(TimePoint::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

double slotsOf(const UpstreamState &Upstream) {
  return std::max(1U, Upstream.Record.Slots);
}

bool isInUse(const UpstreamState &Upstream, TimePoint Now) {
  return Upstream.staysInUse() && Upstream.ConsecutiveFailures == 0 &&
         Upstream.PausedUntil <= Now;
}

} // namespace

void SmallServicePlacement::RunningMean::add(double Value, double MaxCount) {
  Count = std::min(Count + 1, MaxCount);
  Mean += (Value - Mean) / Count;
}

std::string_view toString(SmallServiceChange::Kind What) {
  switch (What) {
  case SmallServiceChange::Kind::Begins:
    return "small_service_begins";
  case SmallServiceChange::Kind::Ends:
    return "small_service_ends";
  case SmallServiceChange::Kind::RefusingBegins:
    return "small_service_refusing_begins";
  case SmallServiceChange::Kind::RefusingEnds:
    return "small_service_refusing_ends";
  }
  return "small_service_ends";
}

double SmallServicePlacement::draw() const {
  constexpr std::uint64_t Resolution = 1U << 20U;
  return static_cast<double>(Random->below(Resolution)) /
         static_cast<double>(Resolution);
}

void SmallServicePlacement::updateServices() {
  if (Config == nullptr)
    return;
  for (const Service &Pool : Config->Services) {
    if (Pool.Engine)
      continue;
    double Slots = 0;
    for (const UpstreamState *Upstream : Table.upstreamsOf(Pool.Name))
      Slots += slotsOf(*Upstream);
    const bool Small = Slots > 0 && static_cast<double>(Routers) > Slots;
    const auto Known = Services.find(Pool.Name);
    if (Small && Known == Services.end()) {
      Services[Pool.Name];
      Changes.push_back({Pool.Name, SmallServiceChange::Kind::Begins, {}});
    } else if (!Small && Known != Services.end()) {
      Changes.push_back(
          {Pool.Name, SmallServiceChange::Kind::Ends, Known->second.Status});
      Services.erase(Known);
    }
  }
  std::erase_if(Services, [this](const auto &Entry) {
    return Config->findService(Entry.first) == nullptr;
  });
}

void SmallServicePlacement::setPeers(const OfferedRates &Sum) {
  updateServices();
  std::unordered_map<UpstreamProcess, UpstreamEstimate> Listed;
  for (auto &[Name, State] : Services) {
    const auto Found = Sum.find(serviceKey(Name));
    State.PeersOffered = Found == Sum.end() ? RequestRate() : Found->second;
    const auto &Upstreams = Table.upstreamsOf(Name);
    updateEstimates(State, Upstreams);
    for (const UpstreamState *Upstream : Upstreams)
      Listed.emplace(Upstream->Process, Estimates[Upstream->Process]);
    updateFraction(Name, State);
  }
  // Forgets processes that are gone.
  Estimates = std::move(Listed);
}

void SmallServicePlacement::updateEstimates(
    ServiceState &State, const std::vector<UpstreamState *> &Upstreams) {
  const TimePoint Now = Time.now();
  double Weights = 0;
  double Waiting = 0;
  for (const UpstreamState *Upstream : Upstreams) {
    UpstreamEstimate &Estimate = Estimates[Upstream->Process];
    const double Kept =
        std::exp(-secondsOf(Now - Estimate.UpdatedAt) / LoadSeconds);
    Estimate.Requests =
        Kept * Estimate.Requests + (1 - Kept) * Upstream->total().Running;
    Estimate.UpdatedAt = Now;
    if (!isInUse(*Upstream, Now))
      continue;
    Weights += weight(State, *Upstream);
    Waiting += weight(State, *Upstream) * waitingPerSlot(*Upstream);
  }
  State.Status.WaitingPerSlot = Weights > 0 ? Waiting / Weights : 0;
}

void SmallServicePlacement::updateFraction(const ServiceId &Name,
                                           ServiceState &State) {
  const double ServiceTimeMs = State.ServiceTimeMs.Mean;
  double Target = MaxTargetWaiting;
  for (const Route &Rule : Config->Routes)
    for (const ServiceWeight &Candidate : Rule.Services)
      if (Candidate.Service == Name && ServiceTimeMs > 0)
        Target = std::min(
            Target, WaitFraction *
                        static_cast<double>(Rule.LatencyObjective.count()) /
                        ServiceTimeMs);
  Target = std::max(Target, MinTargetWaiting);
  double Capacity = 0;
  for (const UpstreamState *Upstream : Table.upstreamsOf(Name))
    if (isInUse(*Upstream, Time.now()))
      Capacity += capacity(State, *Upstream);
  // The inverse of a mean of few values is too large in the mean.
  const double Samples = State.ServiceTimeMs.Count;
  Capacity *= Samples / (Samples + 1);
  decay(State);
  const double Offered = State.Offered / RateSeconds + State.PeersOffered.Value;
  const double Correction =
      std::pow(std::clamp(State.Status.WaitingPerSlot / Target, MinRelativeWait,
                          MaxRelativeWait),
               -CorrectionExponent);
  State.Status.AdmittedFraction =
      Capacity > 0 && Offered > 0
          ? std::clamp(UsableCapacity * Capacity / Offered * Correction,
                       MinAdmittedFraction, 1.0)
          : 1;
  const TimePoint Now = Time.now();
  if (State.Status.AdmittedFraction < NoticedFraction) {
    State.RefusedAt = Now;
    if (!State.Refusing)
      Changes.push_back(
          {Name, SmallServiceChange::Kind::RefusingBegins, State.Status});
    State.Refusing = true;
  } else if (State.Refusing && Now - State.RefusedAt >= NoticeEnds) {
    State.Refusing = false;
    Changes.push_back(
        {Name, SmallServiceChange::Kind::RefusingEnds, State.Status});
  }
}

double
SmallServicePlacement::waitingPerSlot(const UpstreamState &Upstream) const {
  const auto Found = Estimates.find(Upstream.Process);
  double Requests = Found == Estimates.end() ? 0 : Found->second.Requests;
  if (const auto Stated =
          Table.statedLoads().latest(Upstream.Process, MaxStatementAge))
    Requests = std::max(Requests, double(Stated->Running + Stated->Waiting));
  const double Slots = slotsOf(Upstream);
  return std::max(0.0, Requests / Slots - 1);
}

double SmallServicePlacement::serviceTime(const ServiceState &State,
                                          UpstreamProcess Process) const {
  const auto Found = Estimates.find(Process);
  if (Found == Estimates.end())
    return State.ServiceTimeMs.Mean;
  const RunningMean &Own = Found->second.ServiceTimeMs;
  return (Own.Count * Own.Mean + PriorSamples * State.ServiceTimeMs.Mean) /
         (Own.Count + PriorSamples);
}

double SmallServicePlacement::capacity(const ServiceState &State,
                                       const UpstreamState &Upstream) const {
  constexpr double MillisecondsPerSecond = 1'000;
  const double TimeMs = serviceTime(State, Upstream.Process) *
                        Table.statedLoads().workTimeFactor(Upstream.Process);
  return TimeMs > 0 ? slotsOf(Upstream) * MillisecondsPerSecond / TimeMs : 0;
}

double SmallServicePlacement::weight(const ServiceState &State,
                                     const UpstreamState &Upstream) const {
  const auto Found = Estimates.find(Upstream.Process);
  double Health = 1;
  if (Found != Estimates.end())
    Health -= Found->second.Failures *
              std::exp(-secondsOf(Time.now() - Found->second.RespondedAt) /
                       FailureSeconds);
  Health = std::max(Health, MinHealth);
  const double Capacity = State.ServiceTimeMs.Mean > 0
                              ? capacity(State, Upstream)
                              : slotsOf(Upstream);
  // All routers act on the same reports: if they followed the queues more, they
  // would fill one upstream after the other.
  return Capacity * Health * Health *
         (Upstream.Record.Zone == Zone ? OwnZoneWeight : 1) /
         std::sqrt(1 + waitingPerSlot(Upstream));
}

bool SmallServicePlacement::admits(
    const ServiceId &Name, Milliseconds LatencyObjective,
    const std::vector<UpstreamState *> &Eligible) {
  const auto Found = Services.find(Name);
  if (Found == Services.end())
    return true;
  ServiceState &State = Found->second;
  decay(State);
  State.Offered += 1;
  const bool InTime = std::any_of(
      Eligible.begin(), Eligible.end(), [&](const UpstreamState *Upstream) {
        return waitingPerSlot(*Upstream) *
                   serviceTime(State, Upstream->Process) *
                   Table.statedLoads().workTimeFactor(Upstream->Process) <=
               static_cast<double>(LatencyObjective.count());
      });
  if (InTime && (State.Status.AdmittedFraction >= 1 ||
                 draw() < State.Status.AdmittedFraction))
    return true;
  ++State.Status.Refused;
  return false;
}

UpstreamState *SmallServicePlacement::choose(
    const ServiceId &Name, const std::vector<UpstreamState *> &Eligible) const {
  const auto Found = Services.find(Name);
  if (Found == Services.end())
    return nullptr;
  double Total = 0;
  for (const UpstreamState *Upstream : Eligible)
    Total += weight(Found->second, *Upstream);
  double Remaining = Total * draw();
  for (UpstreamState *Upstream : Eligible) {
    Remaining -= weight(Found->second, *Upstream);
    if (Remaining < 0)
      return Upstream;
  }
  return Eligible.back();
}

void SmallServicePlacement::decay(ServiceState &State) const {
  const TimePoint Now = Time.now();
  State.Offered *= std::exp(-secondsOf(Now - State.DecayedAt) / RateSeconds);
  State.DecayedAt = Now;
}

void SmallServicePlacement::recordRefusal(const ServiceId &Name) {
  const auto Found = Services.find(Name);
  if (Found != Services.end())
    ++Found->second.Status.RefusedByUpstreams;
}

void SmallServicePlacement::recordOutcome(const ServiceId &Name,
                                          UpstreamProcess Process,
                                          std::optional<Milliseconds> Took,
                                          bool Failed) {
  const auto Found = Services.find(Name);
  if (Found == Services.end())
    return;
  ServiceState &State = Found->second;
  const TimePoint Now = Time.now();
  UpstreamEstimate &Estimate = Estimates[Process];
  Estimate.Failures *=
      std::exp(-secondsOf(Now - Estimate.RespondedAt) / FailureSeconds);
  Estimate.Failures +=
      FailureSmoothing * ((Failed ? 1 : 0) - Estimate.Failures);
  Estimate.RespondedAt = Now;
  if (!Took || Failed)
    return;
  // Of the time taken, the wait is estimated from what waits there now.
  double Waiting = 0;
  if (const auto Stated = Table.statedLoads().latest(Process, MaxStatementAge))
    Waiting = Stated->Slots > 0 ? double(Stated->Waiting) / Stated->Slots : 0;
  const double Sample = static_cast<double>(Took->count()) / (1 + Waiting) /
                        Table.statedLoads().workTimeFactor(Process);
  State.ServiceTimeMs.add(Sample, MaxServiceSamples);
  Estimate.ServiceTimeMs.add(Sample, MaxUpstreamSamples);
}

OfferedRates SmallServicePlacement::ownRates() const {
  OfferedRates Rates;
  const TimePoint Now = Time.now();
  for (const auto &[Name, State] : Services)
    Rates[serviceKey(Name)] =
        RequestRate(State.Offered *
                    std::exp(-secondsOf(Now - State.DecayedAt) / RateSeconds) /
                    RateSeconds);
  return Rates;
}

std::vector<SmallServiceChange> SmallServicePlacement::takeChanges() {
  return std::exchange(Changes, {});
}

std::map<std::string, SmallServiceStatus>
SmallServicePlacement::status() const {
  std::map<std::string, SmallServiceStatus> ByName;
  for (const auto &[Name, State] : Services)
    ByName.emplace(Name.Value, State.Status);
  return ByName;
}

} // namespace mallowglade::dataplane

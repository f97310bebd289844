#include "limit_simulation.hpp"

#include <algorithm>
#include <deque>
#include <memory>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr Milliseconds LimitStep{20};
constexpr Milliseconds Window{4'000};
constexpr Milliseconds JudgedFrom{3'000};
constexpr Milliseconds ResponseDelay{150};
constexpr Milliseconds Patience{500};
constexpr Milliseconds PeerWait{500};
constexpr Milliseconds SumPeriod{50};
const ServiceId LimitedPool("pool");

UpstreamProcess processOf(unsigned Upstream) {
  return UpstreamProcess(1'000 + Upstream);
}

UpstreamRecord registrationOf(unsigned Upstream, bool Returned) {
  UpstreamRecord Record;
  Record.Id = UpstreamId("upstream-" + std::to_string(Upstream));
  Record.Service = LimitedPool;
  Record.Zone = ZoneId("a");
  Record.BornMs = Returned ? 2 : 1;
  Record.WrittenAt = {StoreEra(1), Returned ? 2 : 1};
  return Record;
}

RouterRecord recordOf(unsigned Router) {
  const std::string Name = "router-" + std::to_string(Router);
  return {RouterId(Name), ZoneId("a"), Name, Name};
}

/// Returns what receivers see of a report, which is what its encoding keeps.
/// Limits are divided by the names of the routers; those of the simulation are
/// no addresses, which reports need, and are put back.
PeerReport received(PeerReport Report) {
  const RouterId Name = Report.Sender;
  const std::string CallerAddress = Report.CallerAddress;
  Report.Sender = RouterId("127.0.0.1:1");
  Report.CallerAddress = "127.0.0.1:2";
  Report = valueOf(decodeReport(encodeReport(Report)));
  Report.Sender = Name;
  Report.CallerAddress = CallerAddress;
  return Report;
}

struct Response {
  unsigned Upstream;
  std::optional<RequestRate> Limit;
  TimePoint SentAt;
  TimePoint ArrivesAt;
};

struct SimulatedRouter {
  SimulatedRouter(unsigned Index, const Clock &Time, unsigned Upstreams,
                  const std::vector<RouterRecord> &Fleet, std::uint64_t Seed)
      : Peers(recordOf(Index), Time),
        Limits(Time, RouterKey(stableHash(recordOf(Index).Id.Value)), Seed),
        Cold(Time), Backoff(Upstreams), Incarnation(Seed) {
    std::unordered_map<UpstreamProcess, ServiceKey> Listed;
    for (unsigned Upstream = 0; Upstream < Upstreams; ++Upstream)
      Listed.emplace(processOf(Upstream), serviceKey(LimitedPool));
    Limits.setListed(std::move(Listed));
    Peers.setRegistered(Fleet);
  }

  PeerDirectory Peers;
  UpstreamLimits Limits;
  ColdUpstreams Cold;
  /// True once it knows the registrations of returned upstreams.
  bool KnowsReturn = false;
  std::vector<TimePoint> Backoff;
  std::uint64_t Incarnation;
  std::uint64_t Sequence = 0;
  TimePoint NextReport{};
  /// Time since the begin of the simulation.
  Milliseconds StartedAt{};
  bool Serves = false;
  TimePoint NextSums{};
  std::deque<TimePoint> Waiting;
  std::deque<Response> Responses;
};

/// A report on its way to the routers that it reaches.
struct Multicast {
  std::vector<unsigned> To;
  TimePoint ArrivesAt;
  PeerReport Report;
};

class LimitSimulation {
public:
  LimitSimulation(const LimitScenario &Scenario, std::uint64_t Seed)
      : Scenario(Scenario), Random(Seed), Starts(Scenario.Upstreams) {
    for (unsigned Index = 0; Index < Scenario.Routers; ++Index)
      Fleet.push_back(recordOf(Index));
    Routers.resize(Scenario.Routers);
  }

  LimitOutcome run() {
    const TimePoint Begin = Time.now();
    for (Milliseconds At{0}; At < Scenario.Duration; At += LimitStep) {
      for (unsigned Index = 0; Index < Scenario.Routers; ++Index)
        step(Index, At);
      deliver(At);
      Time.advance(LimitStep);
    }
    return outcome(Begin);
  }

private:
  double uniform() {
    constexpr std::uint64_t Resolution = 1U << 30U;
    return static_cast<double>(Random.below(Resolution)) /
           static_cast<double>(Resolution);
  }

  std::optional<RequestRate> limitAt(Milliseconds At) const {
    const double Limit =
        Scenario.LimitAt ? Scenario.LimitAt(At) : Scenario.Limit;
    return Limit > 0 ? std::optional(RequestRate(Limit)) : std::nullopt;
  }

  void step(unsigned Index, Milliseconds At) {
    auto &Router = Routers[Index];
    if (Scenario.Runs && !Scenario.Runs(Index, At)) {
      Router.reset();
      return;
    }
    if (frozen(Index, At))
      return;
    const TimePoint Now = Time.now();
    if (!Router) {
      Router = std::make_unique<SimulatedRouter>(
          Index, Time, Scenario.Upstreams, Fleet, Random.next());
      Router->StartedAt = At;
      list(*Router, false);
      Router->NextReport =
          Now + Milliseconds(static_cast<std::int64_t>(Random.below(100)));
    }
    // As in `Control`, a router takes callers once it has heard from one that
    // does, or has waited for the others.
    if (!Router->Serves)
      Router->Serves = Router->Peers.newestConfiguration({}).Value > 0 ||
                       At - Router->StartedAt >= PeerWait;
    if (Scenario.Return && !Router->KnowsReturn &&
        At >= Scenario.Return->BackAt + Scenario.Return->LearnsAfter(Index))
      list(*Router, true);
    if (Scenario.Return)
      Router->Limits.setCaps(Router->Cold.rates());
    if (Router->Serves)
      arrive(Index, *Router);
    while (!Router->Responses.empty() &&
           Router->Responses.front().ArrivesAt <= Now) {
      const Response Received = Router->Responses.front();
      Router->Responses.pop_front();
      Router->Limits.recordResponse(processOf(*Router, Received.Upstream),
                                    Received.Limit, Received.SentAt);
    }
    place(*Router, At);
    if (Now >= Router->NextReport) {
      Router->NextReport = Now + Router->Peers.reportPeriod();
      report(Index, *Router, At);
    }
    if (Now >= Router->NextSums) {
      Router->NextSums = Now + SumPeriod;
      const PeerSums Sums = Router->Peers.sums();
      Router->Cold.setPeers(Sums.Cold);
      Router->Limits.setPeers(Sums.Limits, Sums.Members);
    }
  }

  UpstreamProcess processOf(const SimulatedRouter &Router,
                            unsigned Upstream) const {
    return Scenario.Return
               ? upstreamProcess(registrationOf(Upstream, Router.KnowsReturn))
               : ::processOf(Upstream);
  }

  /// Lets a router read the registrations.
  void list(SimulatedRouter &Router, bool Returned) {
    if (!Scenario.Return)
      return;
    Router.KnowsReturn = Returned;
    Configuration Config;
    Config.Services.push_back({LimitedPool, "", 0, {}});
    Config.Services.back().ColdTime = Scenario.Return->ColdTime;
    Config.Services.back().ColdRequestsPerSecond = Scenario.Return->PerSecond;
    Router.Cold.configure(
        Config, {Scenario.Return->Limits, ZoneId("a"), Milliseconds(1'200)});
    std::vector<UpstreamRecord> Records;
    std::unordered_map<UpstreamProcess, ServiceKey> Listed;
    for (unsigned Upstream = 0; Upstream < Scenario.Upstreams; ++Upstream) {
      Records.push_back(registrationOf(Upstream, Returned));
      Records.back().ColdRemaining =
          Returned ? Scenario.Return->ColdTime : Milliseconds(0);
      Listed.emplace(upstreamProcess(Records.back()), serviceKey(LimitedPool));
    }
    Router.Cold.setListed(Records);
    Router.Limits.setListed(std::move(Listed));
  }

  /// Fails requests to an upstream that is down.
  bool connects(SimulatedRouter &Router, unsigned Upstream, Milliseconds At) {
    if (!Scenario.Return || At < Scenario.Return->DownAt ||
        At >= Scenario.Return->BackAt)
      return true;
    Router.Backoff[Upstream] = Time.now() + Milliseconds(250);
    Router.Cold.recordUnreachable(processOf(Router, Upstream));
    return false;
  }

  void arrive(unsigned Index, SimulatedRouter &Router) {
    const double PerRouter = Scenario.Demand * (1 - Scenario.OnFirstRouter) /
                             static_cast<double>(Scenario.Routers);
    const double Rate =
        PerRouter + (Index == 0 ? Scenario.Demand * Scenario.OnFirstRouter : 0);
    const double Expected =
        Rate * std::chrono::duration<double>(LimitStep).count();
    const auto Whole = static_cast<unsigned>(Expected);
    const unsigned Arrivals = Whole + (uniform() < Expected - Whole ? 1 : 0);
    for (unsigned Count = 0; Count < Arrivals; ++Count) {
      Router.Limits.recordDemand(serviceKey(LimitedPool));
      Router.Waiting.push_back(Time.now());
    }
  }

  void place(SimulatedRouter &Router, Milliseconds At) {
    const TimePoint Now = Time.now();
    std::erase_if(Router.Waiting, [Now](TimePoint Arrived) {
      return Now - Arrived > Patience;
    });
    const auto First = static_cast<unsigned>(Random.below(Scenario.Upstreams));
    for (unsigned Tried = 0;
         Tried < Scenario.Upstreams && !Router.Waiting.empty(); ++Tried) {
      const unsigned Upstream = (First + Tried) % Scenario.Upstreams;
      // Without a limit, a slot a tick stands for the upstream's capacity.
      if (Router.Backoff[Upstream] > Now ||
          !Router.Limits.mayStart(processOf(Router, Upstream)) ||
          !connects(Router, Upstream, At))
        continue;
      Router.Waiting.pop_front();
      Router.Limits.recordStart(processOf(Router, Upstream));
      Starts[Upstream].push_back(Now);
      Router.Responses.push_back(
          {Upstream, limitAt(At), Now, Now + ResponseDelay});
    }
  }

  void report(unsigned Index, SimulatedRouter &Router, Milliseconds At) {
    PeerReport Report;
    Report.Sender = Fleet[Index].Id;
    Report.Incarnation = Router.Incarnation;
    Report.Sequence = ++Router.Sequence;
    Report.Zone = Fleet[Index].Zone;
    Report.CallerAddress = Fleet[Index].CallerAddress;
    Report.Ready = true;
    Report.Config = ConfigurationVersion(Router.Serves ? 1 : 0);
    Report.Limits = Router.Limits.report();
    Report.Demand = Router.Limits.ownDemand();
    Report.Cold = Router.Cold.report();
    // All receivers decode the same.
    Multicast Sent{{}, Time.now() + Scenario.ReportDelay, received(Report)};
    for (unsigned To = 0; To < Scenario.Routers; ++To)
      if (To != Index && uniform() >= Scenario.ReportLoss &&
          (!Scenario.Reaches || Scenario.Reaches(Index, To, At)))
        Sent.To.push_back(To);
    Multicasts.push_back(std::move(Sent));
  }

  bool frozen(unsigned Router, Milliseconds At) const {
    return Scenario.Freezes && Scenario.Freezes(Router, At);
  }

  void deliver(Milliseconds At) {
    while (!Multicasts.empty() && Multicasts.front().ArrivesAt <= Time.now()) {
      for (const unsigned To : Multicasts.front().To)
        if (Routers[To] && !frozen(To, At))
          Routers[To]->Peers.accept(Multicasts.front().Report);
      Multicasts.pop_front();
    }
  }

  LimitOutcome outcome(TimePoint Begin) const {
    LimitOutcome Result;
    Result.BySecond.resize(
        static_cast<std::size_t>(Scenario.Duration / std::chrono::seconds(1)));
    double Judged = 0;
    for (const auto &Times : Starts) {
      auto WindowBegin = Times.begin();
      for (auto It = Times.begin(); It != Times.end(); ++It) {
        const auto Second =
            static_cast<std::size_t>((*It - Begin) / std::chrono::seconds(1));
        if (Second < Result.BySecond.size())
          Result.BySecond[Second] += 1;
        if (*It < Begin + JudgedFrom) {
          WindowBegin = std::next(It);
          continue;
        }
        Judged += 1;
        while (*It - *WindowBegin >= Window)
          ++WindowBegin;
        Result.MostInFourSeconds =
            std::max(Result.MostInFourSeconds,
                     static_cast<double>(std::distance(WindowBegin, It) + 1));
      }
    }
    if (Scenario.Return)
      judgeCold(Begin, Result);
    Result.PerSecond =
        Judged /
        std::chrono::duration<double>(Scenario.Duration - JudgedFrom).count();
    return Result;
  }

  void judgeCold(TimePoint Begin, LimitOutcome &Result) const {
    const TimePoint From = Begin + Scenario.Return->BackAt;
    const TimePoint To = From + Scenario.Return->ColdTime;
    for (const auto &Times : Starts)
      for (auto First = Times.begin(); First != Times.end(); ++First) {
        if (*First < From || *First >= To)
          continue;
        Result.PerColdSecond +=
            1 / std::chrono::duration<double>(To - From).count();
        const auto Last = std::lower_bound(
            First, Times.end(), std::min(To, *First + Milliseconds(1'000)));
        Result.MostInColdSecond =
            std::max(Result.MostInColdSecond,
                     static_cast<double>(std::distance(First, Last)));
      }
  }

  const LimitScenario &Scenario;
  SeededRandom Random;
  ManualClock Time;
  std::vector<RouterRecord> Fleet;
  std::vector<std::unique_ptr<SimulatedRouter>> Routers;
  std::deque<Multicast> Multicasts;
  std::vector<std::vector<TimePoint>> Starts;
};

} // namespace

LimitOutcome simulateLimits(const LimitScenario &Scenario, std::uint64_t Seed) {
  return LimitSimulation(Scenario, Seed).run();
}

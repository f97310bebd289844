#include "crash_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

using namespace mallowglade;

namespace {

constexpr Milliseconds CrashStep{10};
constexpr Milliseconds ReportPeriod{100};
constexpr Milliseconds RestartTime{3'000};
/// Time from the beginning of a harmful run to the crash.
constexpr Milliseconds CrashDelay{120};
/// Time that the platform gives routers after the fifth crash.
constexpr Milliseconds StableWindow{3'000};
constexpr std::size_t CrashesBeforeWindow = 5;
constexpr std::uint64_t Workspaces = 4;
constexpr std::uint64_t Sessions = 300;
/// Hashes of parts: workspaces, then sessions, then harmful ones.
constexpr std::uint64_t FirstSession = 1'000;
constexpr std::uint64_t FirstHarmful = 1'000'000;

class CrashSimulation {
public:
  CrashSimulation(const CrashScenario &Scenario, std::uint64_t Seed)
      : Scenario(Scenario), Random(Seed), DownUntil(Scenario.Upstreams),
        Generation(Scenario.Upstreams) {
    startRouters();
  }

  CrashOutcome run() {
    for (Milliseconds At{0}; At < Scenario.Duration; At += CrashStep) {
      Time.advance(CrashStep);
      if (Scenario.RestartAt.count() > 0 && At == Scenario.RestartAt)
        startRouters();
      if (At == Milliseconds(5'000) && Scenario.OutageShare > 0)
        for (std::size_t Index = 0;
             Index < static_cast<std::size_t>(Scenario.OutageShare *
                                              Scenario.Upstreams);
             ++Index)
          crash(Index);
      arrivals();
      progress();
      if (At.count() % ReportPeriod.count() == 0)
        exchange();
      for (const auto &Router : Routers)
        for (const QuarantineChange &Change : Router->update())
          if (Change.Why == QuarantineChange::Cause::Crashes)
            count(Change.Feature);
    }
    Outcome.QuarantinedHarmful = Harmful.size();
    Outcome.QuarantinedSound = Sound.size();
    for (const auto &[Part, Late] : SentLate)
      Outcome.SentTooLate = std::max(Outcome.SentTooLate, Late);
    return Outcome;
  }

private:
  struct Run {
    std::size_t Router = 0;
    std::size_t Upstream = 0;
    RequestFeatures Features;
    TimePoint EndsAt;
    std::uint64_t HarmfulPart = 0;
    bool Crashes = false;
    bool BrokenOff = false;
  };

  void startRouters() {
    Routers.clear();
    for (std::size_t Index = 0; Index < Scenario.Routers; ++Index) {
      Routers.push_back(
          std::make_unique<CrashAttribution>(Time, Random.next()));
      Routers.back()->setFleet(Index == 0, Scenario.Routers);
      Routers.back()->merge(Stored);
    }
  }

  void count(const RequestFeature &Feature) {
    const bool IsHarmful =
        Feature.Kind == FeatureKind::PromptPart && Feature.Hash >= FirstHarmful;
    // Each harmful request is rightly refused by its own fingerprint as well.
    if (IsHarmful)
      Harmful[Feature.Hash] = true;
    else
      Sound[Feature.Hash] = true;
  }

  bool chance(double Probability) {
    constexpr std::uint64_t Resolution = 1'000'000;
    return static_cast<double>(Random.below(Resolution)) <
           Probability * static_cast<double>(Resolution);
  }

  /// @return a number of arrivals with the given mean
  std::size_t drawCount(double Mean) {
    const auto Whole = static_cast<std::size_t>(Mean);
    return Whole + (chance(Mean - static_cast<double>(Whole)) ? 1 : 0);
  }

  void arrivals() {
    const double Seconds = std::chrono::duration<double>(CrashStep).count();
    for (std::size_t Left = drawCount(Scenario.SoundRate * Seconds); Left > 0;
         --Left)
      send(0);
    for (std::size_t Left = drawCount(Scenario.HarmfulRate * Seconds); Left > 0;
         --Left)
      send(FirstHarmful + Random.below(Scenario.HarmfulParts));
    if (chance(Scenario.BackgroundCrashRate * Seconds))
      crash(Random.below(Scenario.Upstreams));
  }

  UpstreamProcess process(std::size_t Upstream) const {
    return UpstreamProcess(Upstream + 1 + 1'000 * Generation[Upstream]);
  }

  void send(std::uint64_t HarmfulPart) {
    const std::uint64_t Workspace =
        HarmfulPart != 0 ? 0 : Random.below(Workspaces);
    RequestFeatures Features{
        {FeatureKind::ExactRequest, Random.next()},
        {FeatureKind::PromptPart, 1 + Workspace},
        {FeatureKind::PromptPart, HarmfulPart != 0
                                      ? HarmfulPart
                                      : FirstSession + Random.below(Sessions)}};
    const std::size_t Index = Random.below(Routers.size());
    CrashAttribution &Router = *Routers[Index];
    Outcome.SoundSent += HarmfulPart == 0 ? 1 : 0;
    const bool Refused =
        Router.refusedFor(Features).has_value() || Router.mustWait(Features);
    if (Refused) {
      Outcome.SoundRefused += HarmfulPart == 0 ? 1 : 0;
      return;
    }
    std::vector<std::size_t> Up;
    for (std::size_t Upstream = 0; Upstream < Scenario.Upstreams; ++Upstream)
      if (DownUntil[Upstream] <= Time.now())
        Up.push_back(Upstream);
    if (Up.empty())
      return;
    Run Next;
    Next.Router = Index;
    Next.Upstream = Up[Random.below(Up.size())];
    Next.Features = std::move(Features);
    Next.HarmfulPart = HarmfulPart;
    Next.Crashes = HarmfulPart != 0 && chance(Scenario.CrashProbability);
    Next.EndsAt =
        Time.now() +
        (Next.Crashes ? CrashDelay : Milliseconds(300 + Random.below(2'700)));
    if (HarmfulPart != 0 && FifthCrashAt.contains(HarmfulPart) &&
        Time.now() > FifthCrashAt[HarmfulPart] + StableWindow)
      ++SentLate[HarmfulPart];
    Runs.push_back(std::move(Next));
  }

  void crash(std::size_t Upstream) {
    for (Run &Each : Runs)
      if (Each.Upstream == Upstream && !Each.BrokenOff) {
        Each.BrokenOff = true;
        Outcome.SoundBrokenOff += Each.HarmfulPart == 0 ? 1 : 0;
        Routers[Each.Router]->recordBrokenOff(Each.Features, process(Upstream));
      }
    DownUntil[Upstream] = Time.now() + RestartTime;
    ++Generation[Upstream];
  }

  void progress() {
    const TimePoint Now = Time.now();
    for (std::size_t Index = 0; Index < Runs.size(); ++Index) {
      if (Runs[Index].BrokenOff || Runs[Index].EndsAt > Now)
        continue;
      if (!Runs[Index].Crashes) {
        Routers[Runs[Index].Router]->recordAnswered(Runs[Index].Features);
        Routers[Runs[Index].Router]->recordAlive(process(Runs[Index].Upstream));
        Runs[Index].BrokenOff = true;
        continue;
      }
      ++Outcome.HarmfulCrashes;
      const std::uint64_t Part = Runs[Index].HarmfulPart;
      if (++CrashesOf[Part] == CrashesBeforeWindow)
        FifthCrashAt[Part] = Now;
      crash(Runs[Index].Upstream);
    }
    std::erase_if(Runs, [](const Run &Each) { return Each.BrokenOff; });
  }

  void exchange() {
    CrashReport All;
    for (const auto &Router : Routers)
      if (!chance(Scenario.ReportLoss))
        All.add(Router->report(), Milliseconds(50));
    for (const auto &Router : Routers)
      if (!chance(Scenario.ReportLoss))
        Router->merge(All);
    Stored.Quarantines = All.Quarantines;
  }

  const CrashScenario &Scenario;
  SeededRandom Random;
  ManualClock Time;
  std::vector<std::unique_ptr<CrashAttribution>> Routers;
  std::vector<TimePoint> DownUntil;
  std::vector<std::uint64_t> Generation;
  std::vector<Run> Runs;
  /// Quarantines in the metadata store.
  CrashReport Stored;
  std::map<std::uint64_t, std::size_t> CrashesOf;
  std::map<std::uint64_t, TimePoint> FifthCrashAt;
  std::map<std::uint64_t, std::size_t> SentLate;
  std::map<std::uint64_t, bool> Harmful;
  std::map<std::uint64_t, bool> Sound;
  CrashOutcome Outcome;
};

} // namespace

CrashOutcome simulateCrashes(const CrashScenario &Scenario,
                             std::uint64_t Seed) {
  return CrashSimulation(Scenario, Seed).run();
}

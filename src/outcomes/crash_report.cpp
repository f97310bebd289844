#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

std::string_view toString(FeatureKind Kind) {
  return Kind == FeatureKind::PromptPart ? "prompt_part" : "exact_request";
}

void QuarantineStatus::begin() {
  if (quarantined())
    return;
  while (!quarantined())
    ++Number;
}

void QuarantineStatus::lapse() {
  if (quarantined())
    ++Number;
}

void QuarantineStatus::clear() {
  while (Number % Steps != 0)
    ++Number;
}

void CrashReport::add(const CrashReport &Other, Milliseconds SinceReceived) {
  const auto AddAges = [SinceReceived](ProcessAges &Ages,
                                       const ProcessAges &Added) {
    for (const auto &[Process, Age] : Added) {
      const auto [It, New] = Ages.try_emplace(Process, Age + SinceReceived);
      if (!New)
        It->second = std::min(It->second, Age + SinceReceived);
    }
  };
  const auto AddAge =
      [SinceReceived](std::optional<Milliseconds> &Age,
                      const std::optional<Milliseconds> &Added) {
        if (Added && (!Age || *Added + SinceReceived < *Age))
          Age = *Added + SinceReceived;
      };
  for (const auto &[Feature, Observed] : Other.Features) {
    FeatureObservation &Known = Features[Feature];
    AddAges(Known.BrokenOff, Observed.BrokenOff);
    AddAge(Known.AnsweredAge, Observed.AnsweredAge);
  }
  AddAges(Alive, Other.Alive);
  for (const auto &[Feature, Entry] : Other.Quarantines) {
    QuarantineEntry &Known = Quarantines[Feature];
    if (Entry.Status > Known.Status) {
      Known.Status = Entry.Status;
      Known.Probes = Entry.Probes;
    } else if (Entry.Status == Known.Status) {
      Known.Probes = std::max(Known.Probes, Entry.Probes);
    }
    AddAge(Known.RefusedAge, Entry.RefusedAge);
  }
}

void CrashReport::limit(std::size_t MaxFeatures) {
  if (Features.size() <= MaxFeatures)
    return;
  std::vector<std::pair<std::size_t, RequestFeature>> Ranked;
  for (const auto &[Feature, Observed] : Features)
    Ranked.emplace_back(Observed.BrokenOff.size(), Feature);
  std::sort(Ranked.begin(), Ranked.end());
  Ranked.resize(Ranked.size() - MaxFeatures);
  for (const auto &[Crashes, Feature] : Ranked)
    Features.erase(Feature);
}

} // namespace mallowglade

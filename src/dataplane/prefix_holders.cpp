#include <mallowglade/detail/dataplane/prefix_holders.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// A known placement is reported again once this part of the time for which an
/// engine keeps the prefix has passed.
constexpr int ReportsPerReuse = 2;
constexpr Milliseconds CleanPeriod{1'000};

} // namespace

void PrefixHolders::recordRead(std::uint64_t Prefix, UpstreamProcess Engine) {
  const TimePoint Now = Time.now();
  const bool ReportIsFull = Unreported.size() >= MaxReported;
  if (ReportIsFull && !Known.contains(Prefix))
    return;
  Holder *Place = placeFor(Prefix, Engine, Now);
  if (Place == nullptr)
    return;
  const bool IsNews = Place->Engine != Engine ||
                      Now - Place->ReportedAt >= Reuse / ReportsPerReuse;
  if (IsNews && ReportIsFull)
    return;
  *Place = {Engine, Now, IsNews ? Now : Place->ReportedAt};
  if (!IsNews)
    return;
  Unreported.push_back({Prefix, Engine, Now, 0});
  ++Reported;
}

void PrefixHolders::addReported(
    const std::vector<PrefixPlacement> &Placements) {
  const TimePoint Now = Time.now();
  for (const PrefixPlacement &Each : Placements) {
    if (Each.Age < Milliseconds(0) || Each.Age >= Reuse)
      continue;
    Holder *Place = placeFor(Each.Prefix, Each.Engine, Now);
    if (Place == nullptr)
      continue;
    const TimePoint At = Now - Each.Age;
    if (Place->Engine != Each.Engine)
      *Place = {Each.Engine, At, At};
    Place->At = std::max(Place->At, At);
    Place->ReportedAt = std::max(Place->ReportedAt, At);
  }
}

PrefixHolders::Holder *PrefixHolders::placeFor(std::uint64_t Prefix,
                                               UpstreamProcess Engine,
                                               TimePoint Now) {
  removeExpired(Now);
  if (Known.size() >= MaxPrefixes && !Known.contains(Prefix))
    return nullptr;
  Holders &Entries = Known[Prefix];
  const auto Own = std::find_if(
      Entries.begin(), Entries.end(), [Engine](const Holder &Entry) {
        return Entry.At != TimePoint{} && Entry.Engine == Engine;
      });
  if (Own != Entries.end())
    return Own;
  // Engines in use by turns would otherwise displace each other without end.
  const auto Oldest =
      std::min_element(Entries.begin(), Entries.end(),
                       [](const Holder &Left, const Holder &Right) {
                         return Left.At < Right.At;
                       });
  const bool IsFree =
      Oldest->At == TimePoint{} || Now - Oldest->At >= Reuse / ReportsPerReuse;
  return IsFree ? Oldest : nullptr;
}

void PrefixHolders::removeExpired(TimePoint Now) {
  if (Now - CleanedAt < CleanPeriod)
    return;
  CleanedAt = Now;
  std::erase_if(Known, [&](const auto &Entry) {
    return std::none_of(
        Entry.second.begin(), Entry.second.end(),
        [&](const Holder &Each) { return isRecent(Each, Now); });
  });
}

bool PrefixHolders::holds(std::uint64_t Prefix, UpstreamProcess Engine) const {
  const TimePoint Now = Time.now();
  const auto Found = Known.find(Prefix);
  return Found != Known.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const Holder &Entry) {
                       return Entry.Engine == Engine && isRecent(Entry, Now);
                     });
}

std::vector<UpstreamProcess>
PrefixHolders::holdersOf(std::uint64_t Prefix) const {
  const auto Found = Known.find(Prefix);
  if (Found == Known.end())
    return {};
  const TimePoint Now = Time.now();
  Holders Entries = Found->second;
  std::sort(Entries.begin(), Entries.end(),
            [](const Holder &Left, const Holder &Right) {
              return Left.At > Right.At;
            });
  std::vector<UpstreamProcess> Engines;
  for (const Holder &Entry : Entries)
    if (isRecent(Entry, Now))
      Engines.push_back(Entry.Engine);
  return Engines;
}

std::vector<PrefixPlacement> PrefixHolders::report() {
  const TimePoint Now = Time.now();
  while (!Unreported.empty() && Unreported.front().Reports >= ReportsOfEach)
    Unreported.pop_front();
  std::vector<PrefixPlacement> Placements;
  for (Unsent &Each : Unreported) {
    ++Each.Reports;
    Placements.push_back(
        {Each.Prefix, Each.Engine,
         std::chrono::duration_cast<Milliseconds>(Now - Each.At)});
  }
  return Placements;
}

} // namespace mallowglade::dataplane

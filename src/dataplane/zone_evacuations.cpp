#include <mallowglade/detail/dataplane/zone_evacuations.hpp>

#include <algorithm>
#include <iterator>

namespace mallowglade::dataplane {

namespace {

std::set<ZoneId> difference(const std::set<ZoneId> &Left,
                            const std::set<ZoneId> &Right) {
  std::set<ZoneId> Result;
  std::set_difference(Left.begin(), Left.end(), Right.begin(), Right.end(),
                      std::inserter(Result, Result.end()));
  return Result;
}

} // namespace

EvacuationChange ZoneEvacuations::recordRead(const EvacuationReport &Read,
                                             TimePoint Start,
                                             bool MayLackWrites) {
  if (Read.ReadAt < Known.ReadAt) {
    if (Start <= AdoptedAt)
      return {};
    Refuted = Known.ReadAt;
  } else if (Read.ReadAt >= Refuted || Read.ReadAt.Era > Known.ReadAt.Era) {
    Refuted = {};
  }
  replace(Read);
  Complete = !MayLackWrites;
  return updateInForce();
}

EvacuationChange ZoneEvacuations::recordReport(const EvacuationReport &Reported,
                                               bool MayLackWrites,
                                               TimePoint Now) {
  if (Reported.ReadAt.Revision <= 0 ||
      (Refuted.Revision > 0 && Reported.ReadAt >= Refuted) ||
      Reported.ReadAt.Era < Known.ReadAt.Era)
    return {};
  if (Reported.ReadAt > Known.ReadAt) {
    replace(Reported);
    AdoptedAt = Now;
  }
  Complete |= !MayLackWrites;
  if (!Complete)
    Known.Held.insert(Reported.Held.begin(), Reported.Held.end());
  return updateInForce();
}

void ZoneEvacuations::replace(const EvacuationReport &Next) {
  if (Next.ReadAt.Era != Known.ReadAt.Era) {
    Known.Held = InForce;
    Complete = false;
  }
  Known.ReadAt = Next.ReadAt;
  Known.Zones = Next.Zones;
}

EvacuationChange ZoneEvacuations::updateInForce() {
  Known.Held =
      Complete ? std::set<ZoneId>() : difference(Known.Held, Known.Zones);
  std::set<ZoneId> Next = Known.Zones;
  Next.insert(Known.Held.begin(), Known.Held.end());
  EvacuationChange Change{difference(Next, InForce), difference(InForce, Next)};
  InForce = std::move(Next);
  return Change;
}

std::size_t removeUnknownZones(std::set<ZoneId> &Zones,
                               const std::map<ZoneId, RegionId> &Regions,
                               const std::vector<UpstreamRecord> &Upstreams) {
  return std::erase_if(Zones, [&](const ZoneId &Zone) {
    if (!Regions.empty())
      return !Regions.contains(Zone);
    return std::none_of(
        Upstreams.begin(), Upstreams.end(),
        [&Zone](const auto &Upstream) { return Upstream.Zone == Zone; });
  });
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/homes.hpp>

namespace mallowglade::dataplane {

void Homes::restrictTo(const std::vector<RegionId> &Named) {
  if (Named.empty())
    return;
  const std::set<RegionId> Names(Named.begin(), Named.end());
  if (!Allowed)
    Allowed = Names;
  else
    std::erase_if(*Allowed, [&Names](const RegionId &Region) {
      return !Names.contains(Region);
    });
}

Homes::Homes(const Route &Matched, const Workspace *Caller) {
  restrictTo(Matched.HomeRegions);
  if (Caller != nullptr)
    restrictTo(Caller->HomeRegions);
}

bool Homes::allow(const ZoneId &Zone,
                  const std::map<ZoneId, RegionId> &ZoneRegions) const {
  if (!Allowed)
    return true;
  const auto Found = ZoneRegions.find(Zone);
  return Found != ZoneRegions.end() && Allowed->contains(Found->second);
}

} // namespace mallowglade::dataplane

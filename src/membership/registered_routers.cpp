#include <mallowglade/membership.hpp>

#include <algorithm>

namespace mallowglade {

void RegisteredRouters::setRegistrations(std::set<RouterId> Routers) {
  Registered = std::move(Routers);
  // An entry is only needed while an outdated registration could bring the
  // router back.
  std::erase_if(
      Dropped, [this](const RouterId &Id) { return !Registered.contains(Id); });
}

void RegisteredRouters::noteHeard(const std::vector<RouterId> &Routers) {
  Registered.insert(Routers.begin(), Routers.end());
}

void RegisteredRouters::setListed(std::set<RouterId> Routers) {
  for (const RouterId &Id : Listed)
    if (!Routers.contains(Id) && Registered.contains(Id))
      Dropped.insert(Id);
  for (const RouterId &Id : Routers)
    Dropped.erase(Id);
  Listed = std::move(Routers);
}

bool RegisteredRouters::counts(const RouterId &Id) const {
  return Listed.contains(Id) ||
         (Registered.contains(Id) && !Dropped.contains(Id));
}

std::set<RouterId> RegisteredRouters::seeds() const {
  std::set<RouterId> Seeds = Listed;
  Seeds.insert(Registered.begin(), Registered.end());
  return Seeds;
}

std::size_t RegisteredRouters::count(const std::vector<RouterId> &Heard,
                                     const std::set<RouterId> &Left) const {
  std::set<RouterId> Counted(Heard.begin(), Heard.end());
  for (const RouterId &Id : seeds())
    if (counts(Id) && !Left.contains(Id))
      Counted.insert(Id);
  return Counted.size();
}

} // namespace mallowglade

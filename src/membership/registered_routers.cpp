#include <mallowglade/membership.hpp>

#include <algorithm>

namespace mallowglade {

void RegisteredRouters::setRegistrations(std::set<RouterId> Routers) {
  Registered = std::move(Routers);
  // An entry is only needed while an outdated registration would otherwise make
  // the router count.
  std::erase_if(Delisted, [this](const RouterId &Id) {
    return !Registered.contains(Id);
  });
}

void RegisteredRouters::addReachable(const std::vector<RouterId> &Routers) {
  Registered.insert(Routers.begin(), Routers.end());
}

void RegisteredRouters::setListed(std::set<RouterId> Routers) {
  for (const RouterId &Id : Listed)
    if (!Routers.contains(Id) && Registered.contains(Id))
      Delisted.insert(Id);
  for (const RouterId &Id : Routers)
    Delisted.erase(Id);
  Listed = std::move(Routers);
}

bool RegisteredRouters::isCounted(const RouterId &Id) const {
  return Listed.contains(Id) ||
         (Registered.contains(Id) && !Delisted.contains(Id));
}

std::set<RouterId> RegisteredRouters::seeds() const {
  std::set<RouterId> Seeds = Listed;
  Seeds.insert(Registered.begin(), Registered.end());
  return Seeds;
}

std::size_t RegisteredRouters::count(const std::vector<RouterId> &Reachable,
                                     const std::set<RouterId> &Departed) const {
  std::set<RouterId> Counted(Reachable.begin(), Reachable.end());
  for (const RouterId &Id : seeds())
    if (isCounted(Id) && !Departed.contains(Id))
      Counted.insert(Id);
  return Counted.size();
}

} // namespace mallowglade

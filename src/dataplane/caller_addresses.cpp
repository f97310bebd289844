#include <mallowglade/detail/dataplane/caller_addresses.hpp>

#include <mallowglade/detail/dataplane/homes.hpp>

#include <algorithm>
#include <numeric>

namespace mallowglade::dataplane {

namespace {

/// Most addresses that an answer names. Few steer better; several leave a
/// caller somewhere to go when half of the routers are gone.
constexpr std::size_t MaxNamed = 8;
constexpr std::size_t MinNamed = 4;
/// Part of the callers' picks that leaves their zone at least, so that an
/// answer outlives the loss of the zone.
constexpr double MinOutside = 0.125;
/// A router counts as crowded above this multiple of the fleet's busy
/// connections for its size, and above this number of them.
constexpr double CrowdedFactor = 2;
constexpr std::uint32_t MinCrowdedConnections = 16;
/// Least part of its room that a crowded router is used for, so that the fleet
/// notices when it has room again.
constexpr double MinRoomFraction = 0.1;

/// A larger multiple of the smallest size is a damaged report, which must not
/// draw all callers.
constexpr double MaxSizeRatio = 32;

double sizeOf(const RouterCandidate &Router, std::uint32_t Smallest) {
  const auto Least = static_cast<double>(Smallest);
  return std::clamp(static_cast<double>(Router.Load.Size), Least,
                    MaxSizeRatio * Least);
}

/// Smallest known size; routers of unknown size count as this large.
std::uint32_t smallestSize(const std::vector<RouterCandidate> &Routers) {
  std::uint32_t Smallest = 0;
  for (const RouterCandidate &Router : Routers)
    if (Router.Load.Size > 0 && (Smallest == 0 || Router.Load.Size < Smallest))
      Smallest = Router.Load.Size;
  return std::max<std::uint32_t>(Smallest, 1);
}

/// Part of the zone's callers that stay in it: as many as its part of the fleet
/// serves, and never all.
double partInZone(const std::vector<RouterCandidate> &Routers,
                  const std::vector<double> &Room, const ZoneId &Zone) {
  double ZoneRoom = 0;
  double TotalRoom = 0;
  double ZoneLookups = 0;
  double TotalLookups = 0;
  for (std::size_t Index = 0; Index < Routers.size(); ++Index) {
    const bool InZone = Routers[Index].Zone == Zone;
    TotalRoom += Room[Index];
    ZoneRoom += InZone ? Room[Index] : 0;
    TotalLookups += Routers[Index].Load.Lookups;
    ZoneLookups += InZone ? Routers[Index].Load.Lookups : 0;
  }
  if (ZoneRoom <= 0 || ZoneRoom >= TotalRoom)
    return ZoneRoom > 0 ? 1 : 0;
  double Part = 1 - MinOutside;
  if (ZoneLookups > 0)
    Part = std::min(Part, ZoneRoom / TotalRoom * TotalLookups / ZoneLookups);
  return Part;
}

} // namespace

std::vector<double> routerRoom(const std::vector<RouterCandidate> &Routers) {
  const std::uint32_t Smallest = smallestSize(Routers);
  double TotalSize = 0;
  double TotalBusy = 0;
  for (const RouterCandidate &Router : Routers) {
    TotalSize += sizeOf(Router, Smallest);
    TotalBusy += Router.Load.Busy;
  }
  std::vector<double> Room;
  Room.reserve(Routers.size());
  for (const RouterCandidate &Router : Routers) {
    const double Size = sizeOf(Router, Smallest);
    const double Usual = CrowdedFactor * TotalBusy * Size / TotalSize;
    const bool Crowded =
        Router.Load.Busy >= MinCrowdedConnections && Router.Load.Busy > Usual;
    Room.push_back(
        Crowded ? Size * std::max(MinRoomFraction, Usual / Router.Load.Busy)
                : Size);
  }
  return Room;
}

bool sizesDiffer(const std::vector<RouterCandidate> &Routers) {
  const std::uint32_t Smallest = smallestSize(Routers);
  return std::any_of(Routers.begin(), Routers.end(),
                     [Smallest](const RouterCandidate &Router) {
                       return Router.Load.Size > Smallest;
                     });
}

std::vector<RouterCandidate>
routersNearCaller(const std::vector<RouterCandidate> &Routers,
                  const CallerPlace &Caller,
                  const std::map<ZoneId, RegionId> &ZoneRegions,
                  const Configuration &Config) {
  Homes CommonHomes;
  for (const Route &Each : Config.Routes)
    CommonHomes.restrictTo(Each.HomeRegions);
  if (!CommonHomes.restricts())
    return Routers;
  const auto OwnRegion = ZoneRegions.find(Caller.Zone);
  const RegionId Region =
      Caller.Region.empty() && OwnRegion != ZoneRegions.end()
          ? OwnRegion->second
          : Caller.Region;
  std::vector<RouterCandidate> Near;
  std::vector<RouterCandidate> InHomes;
  for (const RouterCandidate &Router : Routers) {
    const auto Found = ZoneRegions.find(Router.Zone);
    if (Found != ZoneRegions.end() && Found->second == Region)
      Near.push_back(Router);
    if (CommonHomes.allow(Router.Zone, ZoneRegions))
      InHomes.push_back(Router);
  }
  if (!Near.empty())
    return Near;
  return InHomes.empty() ? Routers : InHomes;
}

std::vector<std::string>
CallerAddresses::choose(const std::vector<RouterCandidate> &Routers,
                        const ZoneId &Zone) {
  if (Routers.empty())
    return {};
  std::vector<double> Part = routerRoom(Routers);
  const double InZone = partInZone(Routers, Part, Zone);
  double ZoneRoom = 0;
  double OtherRoom = 0;
  for (std::size_t Index = 0; Index < Routers.size(); ++Index)
    (Routers[Index].Zone == Zone ? ZoneRoom : OtherRoom) += Part[Index];
  for (std::size_t Index = 0; Index < Routers.size(); ++Index)
    Part[Index] *= Routers[Index].Zone == Zone ? InZone / ZoneRoom
                                               : (1 - InZone) / OtherRoom;
  // A router that is named in each answer cannot get more than one pick of
  // each, so that fewer are named where one is large.
  const double Largest = *std::max_element(Part.begin(), Part.end());
  const auto Named = std::clamp(static_cast<std::size_t>(1 / Largest),
                                std::min(MinNamed, Routers.size()),
                                std::min(MaxNamed, Routers.size()));
  // Systematic sampling: the probability of each router is `Named` times its
  // part. The random order keeps the same ones from being named together.
  std::vector<std::size_t> Order(Routers.size());
  std::iota(Order.begin(), Order.end(), std::size_t(0));
  for (std::size_t Index = Order.size(); Index > 1; --Index)
    std::swap(Order[Index - 1], Order[Random.below(Index)]);
  std::stable_partition(Order.begin(), Order.end(), [&](std::size_t Index) {
    return Routers[Index].Zone == Zone;
  });
  constexpr std::uint64_t Resolution = 1U << 20U;
  double Next = static_cast<double>(Random.below(Resolution)) /
                static_cast<double>(Resolution);
  double Sum = 0;
  std::vector<std::string> Addresses;
  for (const std::size_t Index : Order) {
    Sum += static_cast<double>(Named) * Part[Index];
    if (Sum <= Next)
      continue;
    Addresses.push_back(Routers[Index].Address);
    while (Next < Sum)
      ++Next;
  }
  if (Addresses.empty())
    Addresses.push_back(Routers[Order.front()].Address);
  return Addresses;
}

} // namespace mallowglade::dataplane

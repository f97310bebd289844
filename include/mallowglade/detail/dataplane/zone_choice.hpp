#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Milliseconds with fractions.
using PreciseMilliseconds = std::chrono::duration<double, std::milli>;

/// @brief Load of the upstreams of one service in one availability zone.
struct ZoneLoad {
  /// Upstreams that take requests now.
  double Upstreams = 0;
  /// Mean fraction of their load limits that is in use.
  double Utilization = 0;
};

/// @brief Loads by availability zone.
using ZoneLoads = std::map<ZoneId, ZoneLoad>;

/// @brief A clear change of the part of a service's requests that leaves.
struct ZoneShareChange {
  ServiceId Service;
  ZoneId Zone;
  double Share = 0;
  double UtilizationHere = 0;
  double UtilizationThere = 0;
};

/// @brief Counts recent uses of prompt prefixes by this router.
///
/// Handles many prefixes that are used once or twice beside few that are used
/// all the time: counts decay, and the table is bounded. A prefix that finds no
/// place in the table counts as used once.
class PrefixUses {
public:
  /// @param Window time constant of the decay
  PrefixUses(const Clock &Time, Milliseconds Window)
      : Time(Time), Window(Window) {}

  /// @brief Records a use.
  /// @return recent uses, including this one
  double record(std::uint64_t Prefix);
  std::size_t size() const { return Entries.size(); }

  static constexpr std::size_t MaxEntries = 4'096;

private:
  struct Entry {
    double Uses = 0;
    TimePoint At{};
  };
  double decayed(const Entry &Known, TimePoint Now) const;
  void removeUnused(TimePoint Now);

  const Clock &Time;
  Milliseconds Window;
  std::unordered_map<std::uint64_t, Entry> Entries;
  TimePoint CleanedAt{};
};

/// @brief Decides which requests leave this router's availability zone.
///
/// Handles a zone whose callers ask for more than its own upstreams can do
/// while other zones have room, and traffic between zones that costs time and
/// money. The expected delay of a request grows with the fourth power of the
/// utilization of a zone's upstreams. A request leaves if that saves more delay
/// here, to it and to the requests behind it, than it adds in the other zone
/// and than the cost of leaving. The part of the requests that leaves is
/// proportional to the excess of this zone's utilization over the level at
/// which leaving pays, and is smoothed: all routers of a zone derive the same
/// part from the same reports without communicating, and it settles although
/// reports are late.
class ZoneChoice {
public:
  /// @param Own zone of this router
  /// @param Cost cost of a request to another zone, as delay of a caller
  ZoneChoice(const Clock &Time, ZoneId Own, PreciseMilliseconds Cost)
      : Time(Time), Own(std::move(Own)), Cost(Cost) {}

  /// @return true if the loads are old enough to be set again
  bool isDue(const ServiceId &Service) const;
  /// @brief Sets the loads of a service.
  /// @param Objective shortest latency objective of its routes
  void setLoads(const ServiceId &Service, const ZoneLoads &Loads,
                Milliseconds Objective);
  /// @brief Sets the zones whose routers are not heard from: what they send to
  ///   upstreams is not known. Requests go there only if there is no other
  ///   zone.
  void setSilentZones(std::set<ZoneId> Zones) { Silent = std::move(Zones); }

  /// @return zone for the requests of a service with this hash; those with the
  ///   same one leave together
  const ZoneId &zoneOf(const ServiceId &Service, std::uint64_t Hash) const;
  /// @return zones, the least utilized one first, that a request may go to
  ///   which finds no capacity in its zone
  std::vector<ZoneId> overflowZones(const ServiceId &Service) const;
  /// @return true if a request may go to another zone because its prefix is
  ///   cached there
  bool mayFollowPrefix(const ServiceId &Service, const ZoneId &Zone) const;
  /// @return true if engines here may fetch prefixes from those of a zone
  bool mayFetchFrom(const ServiceId &Service, const ZoneId &Zone) const;
  /// @return true if the prefix pays for a home in this zone, although another
  ///   zone has one: its recent uses would otherwise leave
  /// @param Prefill time to prefill it
  /// @param Uses recent uses in this zone
  bool deservesOwnHome(PreciseMilliseconds Prefill, double Uses) const {
    return Uses * Cost >= Prefill;
  }
  /// @return part of the requests of a service that leaves for a zone, 0 to 1
  double share(const ServiceId &Service, const ZoneId &Zone) const;
  /// @return sum of the shares of a service
  double sumOfShares(const ServiceId &Service) const;
  /// @return largest sum of shares of all services
  double largestSum() const;
  /// @return shares that have clearly changed since they were returned last; at
  ///   most one a second for each service and zone
  std::vector<ZoneShareChange> takeChanges();

private:
  struct ServiceState {
    ZoneLoads Loads;
    std::map<ZoneId, double> Shares;
    Milliseconds Objective{};
    TimePoint SetAt{};
    /// Shares that `takeChanges` has returned.
    struct Told {
      double Share = 0;
      TimePoint At{};
    };
    std::map<ZoneId, Told> ToldShares;
  };
  /// @return utilization of this zone from which leaving for another one pays
  double payingUtilization(const ZoneLoad &Other, Milliseconds Objective) const;
  std::map<ZoneId, double> targetShares(const ZoneLoads &Loads,
                                        Milliseconds Objective) const;
  /// @return shares if this zone has no upstream that takes requests
  std::map<ZoneId, double> sharesOfRoom(const ZoneLoads &Loads) const;

  const Clock &Time;
  ZoneId Own;
  PreciseMilliseconds Cost;
  std::set<ZoneId> Silent;
  std::unordered_map<ServiceId, ServiceState> Services;
};

} // namespace mallowglade::dataplane

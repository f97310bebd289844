#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>
#include <mallowglade/detail/dataplane/router_load.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>

#include <map>
#include <string>
#include <vector>

namespace mallowglade::dataplane {

/// @brief A router that callers may be told to use.
struct RouterCandidate {
  /// Address that callers connect to.
  std::string Address;
  ZoneId Zone;
  RouterLoad Load;
};

/// @brief Decides which routers an answer to a lookup names.
///
/// Handles callers that come in clumps to a fleet of small and large routers.
/// A caller keeps an answer for seconds and picks one of its addresses at
/// random for each connection, so an answer names few routers, each with a
/// probability in proportion to its room. Answers depend on sizes and on what
/// callers have asked for, and only in excess on the load of the moment, which
/// is older than the answers that caused it: a router that has just started
/// gets no more than its part.
class CallerAddresses {
public:
  explicit CallerAddresses(RandomSource &Random) : Random(Random) {}

  /// @param Routers routers that accept callers
  /// @param Zone availability zone of the caller; empty if unknown
  /// @return addresses to name; empty only if there are no routers
  std::vector<std::string> choose(const std::vector<RouterCandidate> &Routers,
                                  const ZoneId &Zone);

private:
  RandomSource &Random;
};

/// @brief Selects the routers to name to a caller, so that the requests that it
///   sends on routes with homes do not reach a router elsewhere.
/// @return routers in the caller's region if the configuration has routes with
///   homes and any router is there, else those in a home of every such route,
///   else all
std::vector<RouterCandidate> routersNearCaller(
    const std::vector<RouterCandidate> &Routers, const CallerPlace &Caller,
    const std::map<ZoneId, RegionId> &ZoneRegions, const Configuration &Config);

/// @return weight of each router: its size, or less if it is clearly more
///   loaded than the others
std::vector<double> routerRoom(const std::vector<RouterCandidate> &Routers);

/// @return true if routers of different size are known
bool sizesDiffer(const std::vector<RouterCandidate> &Routers);

} // namespace mallowglade::dataplane

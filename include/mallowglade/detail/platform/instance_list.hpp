#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief State of an instance as the platform sees it, with a lag.
enum class InstanceState { Live, Leaving };

/// @brief An instance of the platform's list.
struct Instance {
  std::string Name;
  /// Pool of an upstream; empty for a router.
  PoolId Pool;
  /// Address as `ip:port`; the peer address for a router.
  std::string Address;
  ZoneId Zone;
  InstanceState State = InstanceState::Live;
  /// Most requests the instance accepts at once; 0 if not stated.
  std::uint32_t MaxInFlight = 0;
};

/// @brief The platform's list of instances; calls block.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  /// @brief Reads the whole list.
  /// @return the instances; errors `platform.unavailable`, `platform.timeout`
  virtual Result<std::vector<Instance>> list() = 0;
};

} // namespace mallowglade

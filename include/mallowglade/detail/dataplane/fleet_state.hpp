#pragma once

#include <mallowglade/detail/dataplane/configuration.hpp>

#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mallowglade::dataplane {

/// @brief An upstream as it registered itself.
struct UpstreamRecord {
  UpstreamId Id;
  ServiceId Service;
  asio::ip::tcp::endpoint Address;
  ZoneId Zone;
  unsigned Slots = 0;
  /// False while the upstream is leaving.
  bool Ready = false;
};

/// @brief A router as it registered itself.
struct RouterRecord {
  RouterId Id;
  ZoneId Zone;
  /// Address that callers connect to, `ip:port`.
  std::string CallerAddress;
  /// Address for messages between routers, `ip:port`.
  std::string PeerAddress;
};

/// @brief What the metadata store held at one moment.
struct FleetState {
  /// Null until the operator has written a configuration.
  std::shared_ptr<const Configuration> Config;
  std::vector<UpstreamRecord> Upstreams;
  std::vector<RouterRecord> Routers;
  /// Entries that could not be read, for example of unknown form.
  unsigned SkippedEntries = 0;
};

/// @brief The metadata store as the control thread uses it; calls return at
///   once and report their outcome on the caller's executor.
class FleetStore {
public:
  virtual ~FleetStore() = default;
  /// @brief Reads the state of the fleet; the reading is linearizable.
  /// @param Done receives the state, or `platform.unavailable` or
  ///   `platform.timeout`
  virtual void read(std::function<void(Result<FleetState>)> Done) = 0;
  /// @brief Registers this router, or renews its registration.
  /// @param Self what other routers should see
  /// @param Done receives the outcome
  virtual void announce(const RouterRecord &Self,
                        std::function<void(Result<Success>)> Done) = 0;
  /// @brief Removes this router's registration.
  virtual void withdraw() = 0;
};

} // namespace mallowglade::dataplane

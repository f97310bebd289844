#pragma once

#include <mallowglade/detail/dataplane/configuration.hpp>
#include <mallowglade/detail/dataplane/store_position.hpp>
#include <mallowglade/outcomes.hpp>

#include <asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mallowglade::dataplane {

/// @brief Identifies a service in messages between routers.
using ServiceKey = StrongNumber<struct ServiceKeyTag, std::uint64_t>;

/// @return key of a service, equal on all routers
ServiceKey serviceKey(const ServiceId &Name);

/// @brief Registration of an upstream.
struct UpstreamRecord {
  UpstreamId Id;
  ServiceId Service;
  asio::ip::tcp::endpoint Address;
  ZoneId Zone;
  unsigned Slots = 0;
  /// False while the upstream is draining.
  bool Ready = false;
  /// Start of the upstream's process in milliseconds since the Unix epoch; 0 if
  /// it did not say. An upstream may start again under the same id.
  std::uint64_t BornMs = 0;
  /// Latest write of this registration.
  StorePosition WrittenAt{};
  /// Time for which the upstream stays cold, from `WrittenAt`; 0 if it is warm.
  Milliseconds ColdRemaining{};
  /// The registration names a cold time that cannot be read.
  bool ColdUnreadable = false;
};

/// @brief Registration of a router.
struct RouterRecord {
  RouterId Id;
  ZoneId Zone;
  /// Address that callers connect to, `ip:port`.
  std::string CallerAddress;
  /// Address for messages between routers, `ip:port`.
  std::string PeerAddress;
};

/// @brief Contents of the metadata store as of one read.
struct FleetState {
  /// Era of the store in which the state was read.
  StoreEra Era;
  /// Latest era that a router has confirmed: its configuration is known to be
  /// current. Restored with the store, and then earlier than `Era`.
  StoreEra ConfirmedEra;
  /// Null until the operator has written a configuration.
  std::shared_ptr<const Configuration> Config;
  /// Latest write of the configuration.
  StorePosition ConfigWrittenAt;
  std::vector<UpstreamRecord> Upstreams;
  std::vector<RouterRecord> Routers;
  /// Position of the store that the read reflects; revision 0 if unknown.
  StorePosition ReadAt;
  /// Availability zones that the operator empties: their upstreams get no new
  /// requests.
  std::set<ZoneId> EvacuatedZones;
  std::map<RequestFeature, QuarantineEntry> Quarantines;
  /// Number of entries that could not be decoded.
  unsigned SkippedEntries = 0;
};

/// @brief Asynchronous client of the metadata store for the control thread.
///   Handlers run on the caller's executor.
class FleetStore {
public:
  virtual ~FleetStore() = default;
  /// @brief Reads the state of the fleet; reads are linearizable.
  /// @param Done receives the state, or `platform.unavailable` or
  ///   `platform.timeout`
  virtual void read(std::function<void(Result<FleetState>)> Done) = 0;
  /// @brief Tells that the store is known to have reached an era. Responses of
  ///   earlier eras are dropped from now on, and so is what is cached of them.
  virtual void observeEra(StoreEra Era) = 0;
  /// @brief Registers this router, or renews its registration.
  /// @param Self record that other routers see
  virtual void registerRouter(const RouterRecord &Self,
                              std::function<void(Result<Success>)> Done) = 0;
  /// @brief Removes this router's registration.
  virtual void deregisterRouter() = 0;
  /// @brief Writes quarantines, which outlive all routers, and removes others.
  /// @param Write entries to write, `MaxQuarantineChanges` with `Remove`
  virtual void
  changeQuarantines(const std::map<RequestFeature, QuarantineEntry> &Write,
                    const std::vector<RequestFeature> &Remove,
                    std::function<void(Result<Success>)> Done) = 0;
  /// @brief Writes that the configuration of an era is known to be current.
  virtual void confirmEra(StoreEra Era) = 0;
  /// Limit on the entries of one change.
  static constexpr std::size_t MaxQuarantineChanges = 32;
};

} // namespace mallowglade::dataplane

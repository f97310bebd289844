#pragma once

#include <mallowglade/detail/router/context.hpp>

#include <memory>
#include <string>

namespace mallowglade {

/// @brief Runs the router-to-router network and exports its counters.
class PeerPart final : public RouterPart,
                       public std::enable_shared_from_this<PeerPart> {
public:
  /// @param Context what the router's services share
  explicit PeerPart(RouterContext Context);

  /// @return the network, to be registered as a service
  std::shared_ptr<PeerNetwork> network() const { return Network; }
  /// @brief Starts to accept connections of other routers.
  /// @return success, or why the address cannot be used
  Result<Success> listen();
  void start() override;
  void stop() override;

private:
  void exportMetrics();
  void raise(const std::string &Name, const MetricLabels &Labels,
             std::uint64_t Before, std::uint64_t Now);

  RouterContext Context;
  std::shared_ptr<Http2Peers> Network;
  PeerTraffic Exported;
  std::chrono::nanoseconds ExportedCpuTime{};
};

} // namespace mallowglade

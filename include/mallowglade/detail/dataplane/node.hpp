#pragma once

#include <mallowglade/detail/dataplane/control.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mallowglade::dataplane {

/// @brief Creates the store client, which runs on the control thread's context.
using StoreFactory = std::function<std::unique_ptr<FleetStore>(
    asio::io_context &Context, const NodeSettings &Settings)>;

/// @brief Where the settings of a router were read from.
struct SettingsSource {
  std::string File;
  /// JSON merge patch of the file's contents; may be empty.
  std::string Patch;
};

/// @brief Runs a router of the data plane until a signal stops it.
/// @param Settings settings of the router
/// @param Source read and checked again on SIGHUP
/// @param Wire mapping of header fields; outlives the call
/// @param MakeStore creates the store client
/// @return success after a shutdown, or the error that prevented the start
Result<Success> runNode(const NodeSettings &Settings,
                        const SettingsSource &Source, const WireProtocol &Wire,
                        const StoreFactory &MakeStore);

} // namespace mallowglade::dataplane

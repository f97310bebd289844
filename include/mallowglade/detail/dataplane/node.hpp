#pragma once

#include <mallowglade/detail/dataplane/control.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mallowglade::dataplane {

/// @brief Creates the store client, which runs on the control thread's context.
using StoreFactory = std::function<std::unique_ptr<FleetStore>(
    asio::io_context &Context, const NodeSettings &Settings)>;

/// @brief Runs a router of the data plane until a signal stops it.
/// @param Settings settings of the router
/// @param SettingsFile file that is read and checked again on SIGHUP
/// @param Wire mapping of header fields; outlives the call
/// @param MakeStore creates the store client
/// @return success after a shutdown, or the error that prevented the start
Result<Success> runNode(const NodeSettings &Settings,
                        const std::string &SettingsFile,
                        const WireProtocol &Wire,
                        const StoreFactory &MakeStore);

} // namespace mallowglade::dataplane

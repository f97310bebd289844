#pragma once

#include <mallowglade/detail/dataplane/control.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mallowglade::dataplane {

/// @brief Makes the store client on the control thread's context.
using StoreFactory = std::function<std::unique_ptr<FleetStore>(
    asio::io_context &Context, const NodeSettings &Settings)>;

/// @brief Runs a router of the data plane until it is stopped by a signal.
/// @param Settings what it has to know
/// @param SettingsFile file that is read again on SIGHUP
/// @param Wire translation of header fields; outlives the call
/// @param MakeStore makes the store client
/// @return success after a planned stop, or the error of the start
Result<Success> runNode(const NodeSettings &Settings,
                        const std::string &SettingsFile,
                        const WireProtocol &Wire,
                        const StoreFactory &MakeStore);

} // namespace mallowglade::dataplane

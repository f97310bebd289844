#pragma once

#include <mallowglade/core.hpp>

#include <string>

namespace mallowglade::detail {

/// @brief Tests whether an address accepts TCP connections; blocks.
/// @param Address `ip:port`
/// @param Limit longest wait
/// @return true if a connection was made; it is closed again
bool acceptsTcp(const std::string &Address, Milliseconds Limit);

/// @brief Tests whether a new connection is accepted and stays open; blocks.
/// @param Address `ip:port`
/// @param Limit longest wait for the connection
/// @param Hold time for which the other end must not close it
/// @return true if a connection was made and not closed by the other end
bool keepsTcpOpen(const std::string &Address, Milliseconds Limit,
                  Milliseconds Hold);

} // namespace mallowglade::detail

#pragma once

#include <mallowglade/core.hpp>

#include <string>

namespace mallowglade::detail {

/// @brief Tests whether an address accepts TCP connections; blocks.
/// @param Address `ip:port`
/// @param Limit longest wait
/// @return true if a connection was made; it is closed again
bool acceptsTcp(const std::string &Address, Milliseconds Limit);

} // namespace mallowglade::detail

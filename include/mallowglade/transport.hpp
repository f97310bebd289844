#pragma once

/// @file
/// @brief Messages between routers.

#include <mallowglade/detail/transport/peer_network.hpp>

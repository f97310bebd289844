#pragma once

/// @file
/// @brief Messages between routers.

#include <mallowglade/detail/transport/http2_peers.hpp>
#include <mallowglade/detail/transport/peer_network.hpp>

#pragma once

/// @file
/// @brief Fleet-wide fair scheduling: grants, limits and their wire format.

#include <mallowglade/detail/scheduling/cell.hpp>
#include <mallowglade/detail/scheduling/demand_queue.hpp>
#include <mallowglade/detail/scheduling/rate_share.hpp>
#include <mallowglade/detail/scheduling/wire.hpp>

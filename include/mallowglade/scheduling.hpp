#pragma once

/// @file
/// @brief Fair shares, grants and limits across the fleet.

#include <mallowglade/detail/scheduling/cell.hpp>
#include <mallowglade/detail/scheduling/demand_book.hpp>
#include <mallowglade/detail/scheduling/wire.hpp>

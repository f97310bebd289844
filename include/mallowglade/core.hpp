#pragma once

/// @file
/// @brief Strongly typed ids, results, clocks, random numbers and hashing.

#include <mallowglade/detail/core/clock.hpp>
#include <mallowglade/detail/core/hash.hpp>
#include <mallowglade/detail/core/ids.hpp>
#include <mallowglade/detail/core/random.hpp>
#include <mallowglade/detail/core/result.hpp>

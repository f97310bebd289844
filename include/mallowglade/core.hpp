#pragma once

/// @file
/// @brief Strong types, results, time, randomness and hashing.

#include <mallowglade/detail/core/clock.hpp>
#include <mallowglade/detail/core/hash.hpp>
#include <mallowglade/detail/core/ids.hpp>
#include <mallowglade/detail/core/random.hpp>
#include <mallowglade/detail/core/result.hpp>

#pragma once

/// @file
/// @brief Verdicts, attempts, claims and crash quarantine.

#include <mallowglade/detail/outcomes/attempt_policy.hpp>
#include <mallowglade/detail/outcomes/verdict.hpp>

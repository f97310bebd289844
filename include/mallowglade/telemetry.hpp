#pragma once

/// @file
/// @brief Structured logs and Prometheus metrics.

#include <mallowglade/detail/telemetry/log.hpp>
#include <mallowglade/detail/telemetry/metrics.hpp>

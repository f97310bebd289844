#pragma once

/// @file
/// @brief Micro-kernel: service registry, control thread and blocking pool.

#include <mallowglade/detail/kernel/control_thread.hpp>
#include <mallowglade/detail/kernel/executor.hpp>
#include <mallowglade/detail/kernel/registry.hpp>

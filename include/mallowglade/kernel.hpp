#pragma once

/// @file
/// @brief Micro-kernel: services found by name, the control thread.

#include <mallowglade/detail/kernel/control_thread.hpp>
#include <mallowglade/detail/kernel/executor.hpp>
#include <mallowglade/detail/kernel/registry.hpp>

#pragma once

/// @file
/// @brief The router daemon.

#include <mallowglade/detail/router/app.hpp>

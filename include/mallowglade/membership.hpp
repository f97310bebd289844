#pragma once

/// @file
/// @brief Failure detection among routers and ownership of roles.

#include <mallowglade/detail/membership/rendezvous.hpp>

#pragma once

/// @file
/// @brief Failure detection among routers and ownership of roles.

#include <mallowglade/detail/membership/failure_detector.hpp>
#include <mallowglade/detail/membership/member_codec.hpp>
#include <mallowglade/detail/membership/member_record.hpp>
#include <mallowglade/detail/membership/registered_routers.hpp>
#include <mallowglade/detail/membership/rendezvous.hpp>
#include <mallowglade/detail/membership/update_queue.hpp>

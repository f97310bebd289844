#pragma once

/// @file
/// @brief Gossip-based failure detection among routers and assignment of roles
///   to them.

#include <mallowglade/detail/membership/failure_detector.hpp>
#include <mallowglade/detail/membership/member_codec.hpp>
#include <mallowglade/detail/membership/member_record.hpp>
#include <mallowglade/detail/membership/registered_routers.hpp>
#include <mallowglade/detail/membership/rendezvous.hpp>
#include <mallowglade/detail/membership/update_queue.hpp>

#pragma once

/// @file
/// @brief The data plane: an event loop that serves callers, and a thread that
///   keeps its view of the fleet up to date.

#include <mallowglade/detail/dataplane/admission.hpp>
#include <mallowglade/detail/dataplane/caller_addresses.hpp>
#include <mallowglade/detail/dataplane/cold_upstreams.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>
#include <mallowglade/detail/dataplane/control.hpp>
#include <mallowglade/detail/dataplane/event_log.hpp>
#include <mallowglade/detail/dataplane/explanation.hpp>
#include <mallowglade/detail/dataplane/fair_share.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/homes.hpp>
#include <mallowglade/detail/dataplane/node.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>
#include <mallowglade/detail/dataplane/overload.hpp>
#include <mallowglade/detail/dataplane/peer_directory.hpp>
#include <mallowglade/detail/dataplane/peer_message.hpp>
#include <mallowglade/detail/dataplane/placement.hpp>
#include <mallowglade/detail/dataplane/prefix_holders.hpp>
#include <mallowglade/detail/dataplane/queued_request.hpp>
#include <mallowglade/detail/dataplane/relay_window.hpp>
#include <mallowglade/detail/dataplane/request_features.hpp>
#include <mallowglade/detail/dataplane/request_run.hpp>
#include <mallowglade/detail/dataplane/response_reader.hpp>
#include <mallowglade/detail/dataplane/restoration_proof.hpp>
#include <mallowglade/detail/dataplane/restore_guard.hpp>
#include <mallowglade/detail/dataplane/router_load.hpp>
#include <mallowglade/detail/dataplane/router_retry_budget.hpp>
#include <mallowglade/detail/dataplane/small_service_placement.hpp>
#include <mallowglade/detail/dataplane/stated_loads.hpp>
#include <mallowglade/detail/dataplane/store_position.hpp>
#include <mallowglade/detail/dataplane/store_read_policy.hpp>
#include <mallowglade/detail/dataplane/traffic.hpp>
#include <mallowglade/detail/dataplane/unreadable_statements.hpp>
#include <mallowglade/detail/dataplane/upstream_limits.hpp>
#include <mallowglade/detail/dataplane/upstream_notices.hpp>
#include <mallowglade/detail/dataplane/upstream_table.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/detail/dataplane/zone_choice.hpp>
#include <mallowglade/detail/dataplane/zone_evacuations.hpp>

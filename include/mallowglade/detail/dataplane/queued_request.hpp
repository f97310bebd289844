#pragma once

#include <mallowglade/detail/dataplane/admission.hpp>
#include <mallowglade/detail/dataplane/configuration.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>

namespace mallowglade::dataplane {

/// @brief Selects a service of a route at random, by weight.
/// @param MatchedRoute route with at least one service
const ServiceId &pickService(const Route &MatchedRoute, RandomSource &Random);

/// @brief Sets what admission and placement have to know of a request, except
///   for its `Allowed` homes.
/// @param Workspace empty for a public route
/// @param Target service that the request is for
/// @return time at which the request ends without a response
TimePoint describeRequest(QueuedRequest &Request, const Route &MatchedRoute,
                          const RequestMetadata &Metadata,
                          const WorkspaceId &Workspace, ServiceId Target,
                          TimePoint Arrived);

} // namespace mallowglade::dataplane

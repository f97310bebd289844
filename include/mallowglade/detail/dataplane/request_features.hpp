#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/outcomes.hpp>

namespace mallowglade::dataplane {

/// @brief Returns the properties of a request that may make upstreams crash:
///   the request itself, and the parts of its prompt that others share.
/// @param Caller workspace of the caller
RequestFeatures requestFeatures(const WorkspaceId &Caller,
                                std::string_view Method,
                                std::string_view Target, std::string_view Body,
                                const std::vector<PromptPart> &Parts);

/// @brief Time after which a caller may ask again for what crashed upstreams:
///   that of the first probe.
inline constexpr std::chrono::seconds QuarantineRetryAfter =
    CrashAttribution::ProbeTimes.front();

/// @brief The same for what is only suspected to crash them.
inline constexpr Milliseconds SuspicionRetryAfter =
    2 * CrashAttribution::TrialInterval;

/// @return key of the process that the registration is of
UpstreamProcess upstreamProcess(const UpstreamRecord &Upstream);

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>

#include <string>
#include <vector>

namespace mallowglade {

/// @brief Chooses the owner of a role by rendezvous hashing.
///
/// When a member comes or goes, only the roles it wins or held move.
/// @param Role name of the role, for example `cell/<pool>`
/// @param Members candidates
/// @return the member with the highest hash, or an empty id without members
RouterId rendezvousOwner(const std::string &Role,
                         const std::vector<RouterId> &Members);

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <string>
#include <vector>

namespace mallowglade {

/// @brief Chooses the owner of a role by rendezvous hashing.
///
/// When a member joins or leaves, only the roles that it takes over or held
/// change owners.
/// @param Role name of the role, for example `cell/<pool>`
/// @param Members candidates
/// @return the member with the highest hash, or an empty id without members
RouterId rendezvousOwner(const std::string &Role,
                         const std::vector<RouterId> &Members);

} // namespace mallowglade

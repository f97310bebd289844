#pragma once

#include <fleet.hpp>

namespace fleet {

/// Sets one member of a branch through a router.
/// @param Base version of the settings that the operator has seen
Reply setMember(const std::string &Router, const std::string &ChangeId,
                const std::string &Branch, long Base, const std::string &Path,
                const json &Value);
/// @return version in force on a router, or -1
long settingsVersion(const std::string &Router);
/// @return a branch's value in force on a router; null if there is none
json branchValue(const std::string &Router, const std::string &Branch);

} // namespace fleet

#pragma once

#include <mallowglade/core.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief A router as this router sees it.
struct Member {
  RouterId Id;
  Incarnation Start;
  ZoneId Zone;
  /// Address for callers.
  std::string CallerAddress;
  /// True while the router accepts new requests.
  bool AcceptsWork = true;
};

/// @brief The routers of the fleet; control thread only.
class MemberService {
public:
  virtual ~MemberService() = default;
  /// @return this router
  virtual Member self() const = 0;
  /// @return the routers that answer, this one included, ordered by id
  virtual std::vector<Member> alive() const = 0;
  /// @return number of routers that are registered, whether heard or not
  virtual std::size_t registeredCount() const = 0;
  /// @brief Finds the owner of a cell, partition or other named role.
  /// @param Role name of the role
  /// @return the live member with the highest rendezvous hash for the role
  virtual RouterId ownerOf(const std::string &Role) const = 0;
  /// @brief Tells the others that this router takes no more new work.
  virtual void announceLeaving() = 0;
  /// @brief Registers a callback for changes, called on the control thread.
  virtual void onChange(std::function<void()> Changed) = 0;
};

} // namespace mallowglade

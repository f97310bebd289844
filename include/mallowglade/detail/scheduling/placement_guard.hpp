#pragma once

#include <mallowglade/core.hpp>

#include <vector>

namespace mallowglade {

/// @brief Keeps requests off replicas where they could do harm.
///
/// The cell asks before each placement and reports what it placed, so that
/// an implementation knows what runs where.
class PlacementGuard {
public:
  virtual ~PlacementGuard() = default;
  /// @return false if the request must not run on the replica now
  virtual bool mayPlace(Fingerprint Print, const UpstreamId &Where) const = 0;
  /// @brief A request was granted to a replica.
  virtual void dispatched(GrantId Grant, Fingerprint Print,
                          const UpstreamId &Where) = 0;
  /// @brief A granted request ended without a crash.
  /// @param Answered true if the upstream's answer was complete
  virtual void ended(GrantId Grant, Fingerprint Print, const UpstreamId &Where,
                     bool Answered) = 0;
  /// @brief The upstream crashed while the request ran on it.
  virtual void crashed(GrantId Grant, Fingerprint Print,
                       const UpstreamId &Where) = 0;
};

} // namespace mallowglade

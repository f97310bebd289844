#pragma once

#include <mallowglade/core.hpp>

#include <vector>

namespace mallowglade {

/// @brief Restricts the replicas on which a request may run.
///
/// The cell asks before each placement and reports placements and their ends,
/// so that an implementation knows which requests run on which replica.
class PlacementGuard {
public:
  virtual ~PlacementGuard() = default;
  /// @return false if the request must not run on the replica now
  virtual bool mayPlace(Fingerprint RequestFingerprint,
                        const UpstreamId &Upstream) const = 0;
  /// @brief Called when a request was granted a slot of a replica.
  virtual void dispatched(GrantId Grant, Fingerprint RequestFingerprint,
                          const UpstreamId &Upstream) = 0;
  /// @brief Called when a granted request ended without a crash.
  /// @param Answered true if the upstream's answer was complete
  virtual void ended(GrantId Grant, Fingerprint RequestFingerprint,
                     const UpstreamId &Upstream, bool Answered) = 0;
  /// @brief Called when the upstream crashed while it ran the request.
  virtual void crashed(GrantId Grant, Fingerprint RequestFingerprint,
                       const UpstreamId &Upstream) = 0;
};

} // namespace mallowglade

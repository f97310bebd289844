#include <mallowglade/detail/dataplane/restoration_proof.hpp>

namespace mallowglade::dataplane {

bool RestorationProof::record(const FleetState &Read,
                              const PeerEraReports &Peers, TimePoint Now) {
  const ConfigurationVersion Version =
      Read.Config ? Read.Config->Version : ConfigurationVersion();
  if (Read.Era != Era) {
    SawRestoration = Era.Value != 0 || Peers.EarlierEra;
    Era = Read.Era;
    RestoredAt = Now;
    FirstVersion = Version;
    FirstWrittenAt = Read.ConfigWrittenAt;
    // A version that is newer than all known ones proves nothing: the fleet may
    // have been cut off from the store when the copy was made.
    Rewritten = false;
  } else if (Version != FirstVersion ||
             Read.ConfigWrittenAt != FirstWrittenAt) {
    Rewritten = true;
  }
  const bool MayBeOld =
      SawRestoration ? Now - RestoredAt < HoldTime : Peers.ProofHeld;
  Held = MayBeOld && !Rewritten;
  return !Held;
}

} // namespace mallowglade::dataplane

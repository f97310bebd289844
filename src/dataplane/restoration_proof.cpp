#include <mallowglade/detail/dataplane/restoration_proof.hpp>

namespace mallowglade::dataplane {

bool RestorationProof::record(const FleetState &Read,
                              const PeerEraReports &Peers, TimePoint Now) {
  const ConfigurationVersion Version =
      Read.Config ? Read.Config->Version : ConfigurationVersion();
  if (Read.Era != Era) {
    SawRestoration = Era.Value != 0 || Peers.EarlierEra;
    Started = Era.Value == 0;
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
  // The store that a fleet starts with for the first time has no confirmation.
  const bool Unconfirmed = Started && !Peers.Proven &&
                           Read.ConfirmedEra.Value != 0 &&
                           Read.ConfirmedEra != Read.Era;
  const bool MayBeOld = SawRestoration || Unconfirmed
                            ? Now - RestoredAt < HoldTime
                            : Peers.ProofHeld;
  Held = MayBeOld && !Rewritten;
  return !Held;
}

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/fleet_state.hpp>

namespace mallowglade::dataplane {

/// @brief What live routers report about an era of the metadata store.
struct PeerEraReports {
  /// A router says that its reads of this era prove nothing.
  bool ProofHeld = false;
  /// A router has not read this era yet and knows an earlier one.
  bool EarlierEra = false;
  /// A router says that its reads of this era prove its configuration.
  bool Proven = false;
};

/// @brief Decides whether reads of a restored metadata store prove that its
///   configuration is current.
///
/// The store may have lost a configuration that no router has read, and with it
/// the withdrawal of a credential. After a restoration, reads prove nothing
/// until the operator has written a configuration again, or has had the time to
/// do so. A router that starts in an era other than the one that the store says
/// is confirmed assumes that it was restored just now, unless another router
/// has proof.
class RestorationProof {
public:
  /// @param HoldTime time that the operator has to write again what was lost
  explicit RestorationProof(Milliseconds HoldTime) : HoldTime(HoldTime) {}

  /// @brief Records a read.
  /// @param Peers counts for a router that has not seen the restoration itself
  /// @return true if the read proves that its configuration is current
  bool record(const FleetState &Read, const PeerEraReports &Peers,
              TimePoint Now);
  /// @return true if the latest read proved nothing, to tell other routers
  bool held() const { return Held; }

private:
  Milliseconds HoldTime;
  StoreEra Era;
  /// True if this router, or another one that it heard when it first read the
  /// current era, knows an earlier one.
  bool SawRestoration = false;
  /// True if this router has read no earlier era.
  bool Started = false;
  /// True once the configuration was written in the current era.
  bool Rewritten = false;
  bool Held = false;
  TimePoint RestoredAt{};
  /// Configuration at the first read of the current era.
  ConfigurationVersion FirstVersion;
  StorePosition FirstWrittenAt;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief State of a member; of two records with the same version, the one with
///   the higher state takes precedence.
enum class MemberState : std::uint8_t { Alive = 0, Suspect = 1, Dead = 2 };

/// @return `alive`, `suspect` or `dead`
std::string_view toString(MemberState State);

/// @brief Membership record of a router, as gossiped between routers.
///
/// (Start, VersionCounter) is the version. Only the member itself raises it: on
/// a restart, to refute a suspicion or death, or to announce that it is
/// leaving.
struct MemberRecord {
  RouterId Id;
  Incarnation Start;
  std::uint32_t VersionCounter = 0;
  MemberState State = MemberState::Alive;
  /// True once the member accepts no new work.
  bool Leaving = false;
  ZoneId Zone;
  /// Address at which the member serves callers.
  std::string CallerAddress;
};

/// @brief Checks whether an update replaces the known record of the same
///   member.
bool supersedes(const MemberRecord &Update, const MemberRecord &Known);

enum class MemberMessageKind : std::uint8_t {
  /// Asks the receiver for an acknowledgement.
  Probe = 0,
  /// Asks the receiver to probe the target.
  ProbeRequest = 1,
  /// Acknowledges a probe, directly or through a relay.
  ProbeAck = 2,
  /// Carries all records of the sender and requests those of the receiver.
  Sync = 3,
  /// Answers a sync with all records.
  SyncReply = 4,
};

struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Probe;
  /// Number of the probe, assigned by the router that started it; a relay
  /// assigns its own.
  std::uint64_t Sequence = 0;
  /// Member to probe; set for ProbeRequest only.
  RouterId Target;
  /// Settings version that the sender uses.
  SettingsVersion Version;
  /// Hash of the live records that the sender knows.
  std::uint64_t Digest = 0;
  std::vector<MemberRecord> Updates;
};

struct OutgoingMemberMessage {
  RouterId To;
  MemberMessage Message;
};

} // namespace mallowglade

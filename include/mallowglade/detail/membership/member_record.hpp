#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief State of a member; with equal versions the higher state prevails.
enum class MemberState : std::uint8_t { Alive = 0, Suspect = 1, Dead = 2 };

/// @brief Names a state.
/// @return `alive`, `suspect` or `dead`
std::string_view toString(MemberState State);

/// @brief What is known about a member, as routers tell each other.
///
/// (Start, Counter) is the version. Only the member itself raises it: by a
/// restart, to refute a suspicion, or to announce that it is leaving.
struct MemberRecord {
  RouterId Id;
  Incarnation Start;
  std::uint32_t Counter = 0;
  MemberState State = MemberState::Alive;
  /// True once the member takes no more new work.
  bool Leaving = false;
  ZoneId Zone;
  /// Address for callers.
  std::string CallerAddress;
};

/// @brief Compares two records of the same member.
/// @return true if the first one replaces the second one
bool supersedes(const MemberRecord &News, const MemberRecord &Known);

/// @brief Kinds of messages between members.
enum class MemberMessageKind : std::uint8_t {
  /// Asks the receiver for an acknowledgement.
  Probe = 0,
  /// Asks the receiver to probe the target.
  ProbeRequest = 1,
  /// Answers a probe, directly or through a relay.
  ProbeAck = 2,
  /// Carries all records and asks for those of the receiver.
  Sync = 3,
  /// Answers a sync with all records.
  SyncReply = 4,
};

/// @brief A message between members.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Probe;
  /// Number of the probe, chosen by its first sender.
  std::uint64_t Sequence = 0;
  /// Member to probe; ProbeRequest only.
  RouterId Target;
  /// Settings version in force at the sender.
  SettingsVersion Version;
  /// Hash over the live members as the sender knows them.
  std::uint64_t Digest = 0;
  std::vector<MemberRecord> Updates;
};

/// @brief A message with its receiver.
struct OutgoingMemberMessage {
  RouterId To;
  MemberMessage Message;
};

} // namespace mallowglade

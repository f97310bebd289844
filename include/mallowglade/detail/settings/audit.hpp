#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/platform/key_value_store.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade {

/// @brief An accepted change that a repeated command can be matched with.
struct RecentChange {
  std::string ChangeId;
  /// SHA-256 over the command, so that an id is not used for another change.
  std::string Digest;
  SettingsVersion Version;
};

/// @brief The record that numbers the audit entries.
struct AuditHead {
  /// Number of the next entry.
  std::uint64_t Next = 0;
  /// SHA-256 of the last entry; chains the entries.
  std::string LastSha256;
  /// Id of the last entry, to recognise a write whose reply was lost.
  std::string LastEntryId;
  /// Latest accepted changes, oldest first.
  std::vector<RecentChange> Recent;
};

/// @brief What the audit trail keeps of one change.
struct AuditEntry {
  /// Unique id of the entry, chosen by the router.
  std::string EntryId;
  std::string ChangeId;
  /// Name of the operator; empty if the credential is not known.
  std::string Who;
  /// Time of the request on the router's wall clock.
  WallTime When;
  /// Address of the operator's connection.
  std::string From;
  /// Router that ran the change.
  RouterId Router;
  std::string Branch;
  /// Branch before the change; null if there was none.
  nlohmann::json Before;
  /// Branch as requested; null if it was to be removed.
  nlohmann::json After;
  /// Version made by an accepted change.
  std::optional<SettingsVersion> Accepted;
  /// Why the change was refused.
  std::optional<Error> Refused;
};

/// @brief Number of accepted changes whose ids are kept for repeats.
inline constexpr std::size_t RecentChangeLimit = 256;

/// @brief Writes the audit head as JSON text.
std::string encodeAuditHead(const AuditHead &Head);
/// @brief Reads the audit head.
/// @return the head, or `settings.invalid_json`
Result<AuditHead> parseAuditHead(std::string_view Text);
/// @brief Forms the key of an entry: segment, then place in the segment.
std::string auditEntryKey(std::uint64_t Number);
/// @brief Forms the common prefix of the keys of a segment.
std::string auditSegmentPrefix(std::uint64_t Segment);
/// @brief Lists what differs, each with its path, old and new value.
nlohmann::json differencesOf(const nlohmann::json &Before,
                             const nlohmann::json &After);
/// @brief Writes the entry's record.
std::string encodeAuditEntry(const AuditEntry &Entry, const AuditHead &Head);
/// @brief Adds the writes of one entry to a transaction.
///
/// An entry's key must be absent, so no entry is ever written twice. The last
/// entry of a segment also writes the segment's seal.
/// @param Entry entry to append
/// @param Head audit head that was read
/// @param At revision of the audit head; 0 if it was absent
/// @param Digest digest of the command, kept if the entry is of an acceptance
/// @param Change transaction to extend
void appendAuditEntry(const AuditEntry &Entry, const AuditHead &Head,
                      Revision At, const std::string &Digest,
                      Transaction &Change);

} // namespace mallowglade

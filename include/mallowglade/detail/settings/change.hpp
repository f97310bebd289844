#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/platform/key_value_store.hpp>
#include <mallowglade/detail/settings/audit.hpp>
#include <mallowglade/detail/settings/snapshot.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace mallowglade {

/// @brief An authenticated operator and the branch it may change.
struct OperatorIdentity {
  std::string Name;
  /// A team name, or `platform`.
  std::string Branch;
};

/// @brief Looks up the operator that a credential belongs to.
/// @param Tree settings to search
/// @param PlatformKeySha256 digest of the bootstrap credential, may be empty
/// @param Key credential as sent
/// @return the operator, or nothing if the credential is unknown
std::optional<OperatorIdentity>
findOperator(const SettingsTree &Tree, const std::string &PlatformKeySha256,
             const std::string &Key);

/// @brief Checks whether an operator may read and change a branch.
/// @return true for platform operators and for the team's own operators
bool mayEdit(const OperatorIdentity &Operator, const std::string &Branch);

/// @brief Representation of a change in a command.
enum class ChangeForm {
  /// `value`: the branch's new value; null removes a team.
  Value,
  /// `patch`: a JSON patch (RFC 6902).
  Patch,
  /// `set`: one member, given by `path` (JSON pointer) and `value`; missing
  /// parent objects are created.
  Set,
};

/// @brief An operator's command to change one branch.
struct ChangeCommand {
  /// Idempotency key; the same for each repeat of the command.
  std::string ChangeId;
  std::string Branch;
  /// Version that the command is based on; a later change of the branch is a
  /// conflict.
  SettingsVersion Base;
  /// Representation of the change in `Content`.
  ChangeForm Form = ChangeForm::Value;
  nlohmann::json Content;
};

/// @brief Parses a command from JSON.
/// @return the command, or an error with the path of the offending key
Result<ChangeCommand> parseChangeCommand(const std::string &Text);

/// @brief Origin of a change, for authorization and the audit log.
struct ChangeOrigin {
  /// Credential as sent.
  std::string Key;
  /// Remote address of the operator's connection.
  std::string ClientAddress;
  WallTime RequestTime;
  RouterId Router;
  /// Unique id for the audit entry.
  std::string EntryId;
};

/// @brief The records that a change is evaluated against, with their revisions.
struct ChangeState {
  /// Current settings; those of the seed tree if there is no head yet.
  SettingsSnapshot Settings;
  /// Revision of the head; 0 if there is none.
  Revision HeadRevision;
  AuditHead Audit;
  /// Revision of the audit head; 0 if there is none.
  Revision AuditHeadRevision;
};

/// @brief The change was committed as a version.
struct ChangeAccepted {
  SettingsVersion Version;
  /// True if an earlier command with the same id made the change.
  bool Repeated = false;
  /// New settings; empty if `Repeated`.
  std::optional<SettingsSnapshot> Settings;
};

/// @brief The branch was changed after the base version.
struct ChangeConflict {
  SettingsVersion Current;
  /// JSON patch from the current branch to the requested one.
  nlohmann::json Difference;
};

/// @brief The change was not made.
struct ChangeRefused {
  Error Reason;
};

/// @brief Outcome unknown, because the key-value service did not reply; the
///   operator should repeat the command with the same change id.
struct ChangeUnknown {
  Error Reason;
};

/// @brief Result of a change.
using ChangeResult =
    std::variant<ChangeAccepted, ChangeConflict, ChangeRefused, ChangeUnknown>;

/// @brief Read the audit head, then head and packs; report to `onState`.
struct ReadChangeState {};
/// @brief Commit the transaction; report to `onCommit`.
struct CommitChange {
  Transaction Writes;
};
/// @brief The change is complete.
struct ChangeFinished {
  ChangeResult Result;
};

/// @brief Next step that the caller executes.
using ChangeStep = std::variant<ReadChangeState, CommitChange, ChangeFinished>;

/// @brief Runs one change as a transaction on head, packs and audit log.
///
/// A state machine without I/O. If a concurrent transaction commits first, the
/// change is evaluated again on the new state; it ends as a conflict if its
/// branch was changed.
class SettingsChange {
public:
  /// @param Command command to run
  /// @param Origin origin of the command
  /// @param PlatformKeySha256 digest of the bootstrap credential
  /// @param ActiveVersion version active on this router; an older state read
  ///   from the service is stale
  SettingsChange(ChangeCommand Command, ChangeOrigin Origin,
                 std::string PlatformKeySha256, SettingsVersion ActiveVersion);

  /// @return the first step
  ChangeStep begin();
  /// @brief Evaluates the change against the records read.
  ChangeStep onState(const Result<ChangeState> &Read);
  /// @brief Handles the outcome of the transaction.
  ChangeStep onCommit(const Result<TransactionReply> &Reply);

private:
  ChangeStep decide(const ChangeState &State);
  ChangeStep refuse(const ChangeState &State, const Error &Reason);
  ChangeStep refuse(const ChangeState &State, const Error &Reason,
                    ChangeResult Result);
  ChangeStep accept(const ChangeState &State, const nlohmann::json &Before,
                    const nlohmann::json &After);
  std::optional<ChangeStep> findEarlierResult(const ChangeState &State);
  ChangeStep conflict(const ChangeState &State, const nlohmann::json &Current,
                      const nlohmann::json &Requested);
  ChangeStep retry(const Error &Reason);
  AuditEntry makeEntry(const nlohmann::json &Before,
                       const nlohmann::json &After) const;

  ChangeCommand Command;
  ChangeOrigin Origin;
  std::string PlatformKeySha256;
  SettingsVersion ActiveVersion;
  std::string Digest;
  /// Name of the operator; empty until the credential is verified.
  std::string OperatorName;
  /// Result to report once the transaction in flight is committed.
  std::optional<ChangeResult> PendingResult;
  /// True if a write may have taken effect although its reply was lost.
  bool WriteInDoubt = false;
  int Attempts = 0;
  int Failures = 0;
};

} // namespace mallowglade

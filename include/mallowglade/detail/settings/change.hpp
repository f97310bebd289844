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

/// @brief Who may change what, found by a credential.
struct OperatorIdentity {
  std::string Name;
  /// A team, or `platform`.
  std::string Branch;
};

/// @brief Finds the operator of a credential.
/// @param Tree settings to look in
/// @param PlatformKeySha256 digest of the bootstrap credential, may be empty
/// @param Key credential as sent
/// @return the operator, or nothing if the credential is not known
std::optional<OperatorIdentity>
findOperator(const SettingsTree &Tree, const std::string &PlatformKeySha256,
             const std::string &Key);

/// @brief Decides whether an operator may read and change a branch.
/// @return true for a platform operator and for the team's own operators
bool mayEdit(const OperatorIdentity &Operator, const std::string &Branch);

/// @brief Forms of a change.
enum class ChangeForm {
  /// `value`: the branch's new value; null removes a team.
  Value,
  /// `patch`: a JSON patch (RFC 6902).
  Patch,
  /// `set`: one member, with `path` (JSON pointer) and `value`; objects on the
  /// way are created.
  Set,
};

/// @brief An operator's command to change one branch.
struct ChangeCommand {
  /// Id that stays the same when the command is repeated.
  std::string ChangeId;
  std::string Branch;
  /// Version the operator has seen; a later change of the branch conflicts.
  SettingsVersion Base;
  /// How `Content` changes the branch.
  ChangeForm Form = ChangeForm::Value;
  nlohmann::json Content;
};

/// @brief Reads a command from an operator's JSON text.
/// @return the command, or an error with the path of the key
Result<ChangeCommand> parseChangeCommand(const std::string &Text);

/// @brief What a change knows about its origin.
struct ChangeOrigin {
  /// Credential as sent.
  std::string Key;
  /// Address of the operator's connection.
  std::string From;
  WallTime When;
  RouterId Router;
  /// Unique id for the audit entry.
  std::string EntryId;
};

/// @brief The records a change is decided on, with their revisions.
struct ChangeState {
  /// Records of the head; of the seed tree if there is no head yet.
  SettingsSnapshot Settings;
  /// Revision of the head; 0 if there is none.
  Revision HeadAt;
  AuditHead Audit;
  /// Revision of the audit head; 0 if there is none.
  Revision AuditAt;
};

/// @brief The change is in force as a version.
struct ChangeAccepted {
  SettingsVersion Version;
  /// True if an earlier command with the same id had made it.
  bool Repeated = false;
  /// New records; empty if repeated.
  std::optional<SettingsSnapshot> Settings;
};

/// @brief The branch was changed by somebody else since the base version.
struct ChangeConflict {
  SettingsVersion Current;
  /// JSON patch from the current branch to the requested one.
  nlohmann::json Difference;
};

/// @brief The change is not in force.
struct ChangeRefused {
  Error Reason;
};

/// @brief The service's reply is missing; repeat with the same change id.
struct ChangeUnknown {
  Error Reason;
};

/// @brief Result of a change.
using ChangeResult =
    std::variant<ChangeAccepted, ChangeConflict, ChangeRefused, ChangeUnknown>;

/// @brief Read audit head, then head and packs; answer with `onState`.
struct ReadChangeState {};
/// @brief Commit the transaction; answer with `onCommit`.
struct CommitChange {
  Transaction Writes;
};
/// @brief The change has ended.
struct ChangeFinished {
  ChangeResult Result;
};

/// @brief Next step of a change.
using ChangeStep = std::variant<ReadChangeState, CommitChange, ChangeFinished>;

/// @brief Runs one change as a transaction on head, packs and audit trail.
///
/// A state machine without I/O. A lost race that leaves the branch untouched
/// is decided again on the new state; one that changed the branch conflicts.
class SettingsChange {
public:
  /// @param Command what to change
  /// @param Origin where the command comes from
  /// @param PlatformKeySha256 digest of the bootstrap credential
  /// @param InForce version in force on this router; an older state is stale
  SettingsChange(ChangeCommand Command, ChangeOrigin Origin,
                 std::string PlatformKeySha256, SettingsVersion InForce);

  /// @return the first step
  ChangeStep begin();
  /// @brief Decides on the records read.
  ChangeStep onState(const Result<ChangeState> &Read);
  /// @brief Takes the outcome of the transaction.
  ChangeStep onCommit(const Result<TransactionReply> &Reply);

private:
  ChangeStep decide(const ChangeState &State);
  ChangeStep refuse(const ChangeState &State, const Error &Reason);
  ChangeStep refuse(const ChangeState &State, const Error &Reason,
                    ChangeResult Result);
  ChangeStep accept(const ChangeState &State, const nlohmann::json &Before,
                    const nlohmann::json &After);
  std::optional<ChangeStep> recogniseEarlierWrite(const ChangeState &State);
  ChangeStep conflict(const ChangeState &State, const nlohmann::json &Current,
                      const nlohmann::json &Wanted);
  ChangeStep retry(const Error &Reason);
  AuditEntry makeEntry(const nlohmann::json &Before,
                       const nlohmann::json &After) const;

  ChangeCommand Command;
  ChangeOrigin Origin;
  std::string PlatformKeySha256;
  SettingsVersion InForce;
  std::string Digest;
  /// Name of the operator, once the credential is checked.
  std::string Who;
  /// Result to report once the transaction in flight has taken effect.
  std::optional<ChangeResult> Pending;
  /// True while a write may have taken effect without a reply.
  bool WriteInDoubt = false;
  int Attempts = 0;
  int Failures = 0;
};

} // namespace mallowglade

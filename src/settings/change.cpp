#include <mallowglade/detail/settings/change.hpp>

#include <mallowglade/detail/settings/json_reader.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

using nlohmann::json;

/// A transaction fails only if another change was committed first, so a few
/// attempts suffice at 1,900 changes a day.
constexpr int MaxAttempts = 8;
/// Each failed call may last for the full call timeout of 2 s.
constexpr int MaxFailures = 3;

constexpr std::int64_t MaxBaseVersion = std::int64_t{1} << 53;
constexpr std::size_t MinChangeIdLength = 8;
constexpr std::size_t MaxChangeIdLength = 128;
constexpr std::size_t MaxBranchLength = 64;

bool isBranchName(const std::string &Name) {
  constexpr const char *Allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !Name.empty() && Name.size() <= MaxBranchLength &&
         Name.find_first_not_of(Allowed) == std::string::npos;
}

/// The base version is excluded, because a repeated command may be based on a
/// later one.
std::string commandDigest(const ChangeCommand &Command) {
  const json Document{{"branch", Command.Branch},
                      {"form", static_cast<int>(Command.Form)},
                      {"content", Command.Content}};
  return sha256Hex(
      Document.dump(-1, ' ', false, json::error_handler_t::replace));
}

json setMember(json Branch, const json &Member) {
  const json::json_pointer Path(Member.at("path").get<std::string>());
  Branch[Path] = Member.at("value");
  return Branch;
}

Result<json> applyCommand(const ChangeCommand &Command, const json &Before) {
  const json Base = Before.is_null() ? json::object() : Before;
  try {
    if (Command.Form == ChangeForm::Patch)
      return Base.patch(Command.Content);
    if (Command.Form == ChangeForm::Set)
      return setMember(Base, Command.Content);
  } catch (const json::exception &Failure) {
    const char *Path = Command.Form == ChangeForm::Patch ? "/patch" : "/set";
    return Error{ErrorId::InvalidRequest, Failure.what(), Path};
  }
  return Command.Content;
}

json branchValue(const SettingsSnapshot &Settings, const std::string &Branch) {
  const BranchRecord *Found = findBranch(Settings, Branch);
  return Found == nullptr ? json() : Found->Value;
}

/// Assigns the new version to all packs of the seed tree, so that the first
/// change writes all of them: the seed trees of other routers may differ.
void assignSeedVersion(SettingsSnapshot &Settings, SettingsVersion Version) {
  for (auto &[Number, Pack] : Settings.Packs) {
    Pack.Version = Version;
    Settings.Head.Packs[Number] = Version;
    for (auto &[Name, Branch] : Pack.Branches)
      Branch.Version = Version;
  }
}

void setBranch(SettingsSnapshot &Settings, const ChangeCommand &Command,
               const json &Value) {
  const PackNumber Number = packNumberFor(Command.Branch);
  SettingsPack &Pack = Settings.Packs[Number];
  Pack.Version = Settings.Head.Version;
  Settings.Head.Packs[Number] = Settings.Head.Version;
  // A removed branch is kept as a null tombstone, so that a change based on an
  // earlier version conflicts instead of restoring the branch.
  Pack.Branches[Command.Branch] = {Settings.Head.Version, Value};
}

SettingsSnapshot nextSnapshot(const ChangeState &State,
                              const ChangeCommand &Command, const json &Value) {
  SettingsSnapshot Next = State.Settings;
  Next.Head.Version += SettingsVersion(1);
  Next.Head.ChangeId = Command.ChangeId;
  if (State.HeadRevision.Value == 0)
    assignSeedVersion(Next, Next.Head.Version);
  setBranch(Next, Command, Value);
  return Next;
}

Transaction buildTransaction(const ChangeState &State,
                             const SettingsSnapshot &Next) {
  Transaction Writes;
  Writes.Conditions.push_back({settings_layout::HeadKey, State.HeadRevision});
  Writes.Puts.push_back({settings_layout::HeadKey, encodeHead(Next.Head), {}});
  for (const auto &[Number, Pack] : Next.Packs)
    if (Pack.Version == Next.Head.Version)
      Writes.Puts.push_back({packKey(Number), encodePack(Pack), {}});
  return Writes;
}

std::optional<Error> checkRecordSizes(const Transaction &Writes) {
  for (const PutOperation &Put : Writes.Puts)
    if (Put.Value.size() > settings_layout::MaxRecordBytes)
      return Error{ErrorId::TooLarge,
                   "the record '" + Put.Key +
                       "' would exceed 1,000,000 bytes; split the change",
                   ""};
  return std::nullopt;
}

std::optional<Error> checkCommand(const ChangeCommand &Command) {
  const bool PlatformRemoved =
      Command.Branch == settings_layout::PlatformBranch &&
      Command.Form == ChangeForm::Value && Command.Content.is_null();
  if (PlatformRemoved)
    return Error{ErrorId::InvalidRequest,
                 "the platform branch cannot be removed", "/value"};
  return std::nullopt;
}

} // namespace

std::optional<OperatorIdentity>
findOperator(const SettingsTree &Tree, const std::string &PlatformKeySha256,
             const std::string &Key) {
  if (Key.empty())
    return std::nullopt;
  const std::string Hash = sha256Hex(Key);
  if (!PlatformKeySha256.empty() && secureEquals(PlatformKeySha256, Hash))
    return OperatorIdentity{"bootstrap", settings_layout::PlatformBranch};
  for (const OperatorSettings &Operator : Tree.Operators)
    if (secureEquals(Operator.KeyHash, Hash))
      return OperatorIdentity{Operator.Name, Operator.Branch};
  return std::nullopt;
}

bool mayEdit(const OperatorIdentity &Operator, const std::string &Branch) {
  return Operator.Branch == settings_layout::PlatformBranch ||
         Operator.Branch == Branch;
}

namespace {

void readContent(JsonReader &Reader, const json &Body, ChangeCommand &Command) {
  const std::pair<const char *, ChangeForm> Forms[] = {
      {"value", ChangeForm::Value},
      {"patch", ChangeForm::Patch},
      {"set", ChangeForm::Set}};
  int Found = 0;
  for (const auto &[Key, Form] : Forms) {
    Reader.allow(Key);
    if (!Reader.has(Key))
      continue;
    ++Found;
    Command.Form = Form;
    Command.Content = Body[Key];
  }
  if (Found != 1)
    Reader.fail(ErrorId::MissingKey, "value",
                "exactly one of value, patch and set is required");
}

} // namespace

Result<ChangeCommand> parseChangeCommand(const std::string &Text) {
  Result<json> Document = parseJson(Text);
  if (!isOk(Document))
    return errorOf(Document);
  const json &Body = valueOf(Document);
  std::optional<Error> FirstError;
  JsonReader Reader(Body, "", FirstError);
  ChangeCommand Command;
  Command.ChangeId = Reader.text("change_id");
  Command.Branch = Reader.text("branch");
  Command.Base = SettingsVersion(static_cast<std::uint64_t>(
      Reader.integer("base_version", 0, MaxBaseVersion)));
  if (Command.ChangeId.size() < MinChangeIdLength ||
      Command.ChangeId.size() > MaxChangeIdLength)
    Reader.fail(ErrorId::OutOfRange, "change_id",
                "expected 8 to 128 characters");
  if (!isBranchName(Command.Branch))
    Reader.fail(
        ErrorId::OutOfRange, "branch",
        "expected 1 to 64 of the characters a-z, 0-9, '-', '_' and '.'");
  readContent(Reader, Body, Command);
  Reader.finish();
  if (FirstError)
    return *FirstError;
  return Command;
}

SettingsChange::SettingsChange(ChangeCommand Command, ChangeOrigin Origin,
                               std::string PlatformKeySha256,
                               SettingsVersion ActiveVersion)
    : Command(std::move(Command)), Origin(std::move(Origin)),
      PlatformKeySha256(std::move(PlatformKeySha256)),
      ActiveVersion(ActiveVersion), Digest(commandDigest(this->Command)) {}

ChangeStep SettingsChange::begin() { return ReadChangeState{}; }

ChangeStep SettingsChange::retry(const Error &Reason) {
  ++Attempts;
  if (Reason.Id != ErrorId::Conflict)
    ++Failures;
  if (Attempts < MaxAttempts && Failures < MaxFailures)
    return ReadChangeState{};
  if (WriteInDoubt)
    return ChangeFinished{ChangeUnknown{Reason}};
  return ChangeFinished{ChangeRefused{Reason}};
}

ChangeStep SettingsChange::onState(const Result<ChangeState> &Read) {
  if (!isOk(Read))
    return retry(errorOf(Read));
  const ChangeState &State = valueOf(Read);
  if (State.Settings.Head.Version < ActiveVersion)
    return retry({ErrorId::Unavailable,
                  "the key-value service holds an older version than this "
                  "router",
                  ""});
  if (std::optional<ChangeStep> Earlier = findEarlierResult(State))
    return *Earlier;
  return decide(State);
}

std::optional<ChangeStep>
SettingsChange::findEarlierResult(const ChangeState &State) {
  if (PendingResult && State.Audit.LastEntryId == Origin.EntryId)
    return ChangeFinished{*PendingResult};
  const auto &Recent = State.Audit.RecentChanges;
  const auto Found = std::find_if(Recent.begin(), Recent.end(),
                                  [this](const RecentChange &Change) {
                                    return Change.ChangeId == Command.ChangeId;
                                  });
  if (Found == Recent.end())
    return std::nullopt;
  if (Found->Digest == Digest)
    return ChangeFinished{ChangeAccepted{Found->Version, true, {}}};
  const Error Reason{ErrorId::InvalidRequest,
                     "the change id was already used for a different change",
                     "/change_id"};
  return refuse(State, Reason);
}

AuditEntry SettingsChange::makeEntry(const json &Before,
                                     const json &After) const {
  AuditEntry Entry;
  Entry.EntryId = Origin.EntryId;
  Entry.ChangeId = Command.ChangeId;
  Entry.OperatorName = OperatorName;
  Entry.RequestTime = Origin.RequestTime;
  Entry.ClientAddress = Origin.ClientAddress;
  Entry.Router = Origin.Router;
  Entry.Branch = Command.Branch;
  Entry.Before = Before;
  Entry.After = After;
  return Entry;
}

ChangeStep SettingsChange::refuse(const ChangeState &State, const Error &Reason,
                                  ChangeResult Result) {
  const json Before = branchValue(State.Settings, Command.Branch);
  const auto Requested = applyCommand(Command, Before);
  AuditEntry Entry =
      makeEntry(Before, isOk(Requested) ? valueOf(Requested) : Before);
  Entry.Refused = Reason;
  CommitChange Step;
  appendAuditEntry(Entry, State.Audit, State.AuditHeadRevision, Digest,
                   Step.Writes);
  PendingResult = std::move(Result);
  return Step;
}

ChangeStep SettingsChange::refuse(const ChangeState &State,
                                  const Error &Reason) {
  return refuse(State, Reason, ChangeRefused{Reason});
}

ChangeStep SettingsChange::decide(const ChangeState &State) {
  const Result<SettingsTree> Tree = buildTree(State.Settings);
  if (!isOk(Tree))
    return refuse(State, errorOf(Tree));
  const auto Operator =
      findOperator(valueOf(Tree), PlatformKeySha256, Origin.Key);
  if (!Operator)
    return refuse(
        State, {ErrorId::Unauthenticated, "the credential is not known", ""});
  OperatorName = Operator->Name;
  if (!mayEdit(*Operator, Command.Branch))
    return refuse(State, {ErrorId::Forbidden,
                          "the credential may only edit the branch '" +
                              Operator->Branch + "'",
                          "/branch"});
  if (const std::optional<Error> Invalid = checkCommand(Command))
    return refuse(State, *Invalid);
  const BranchRecord *Branch = findBranch(State.Settings, Command.Branch);
  const json Before = Branch == nullptr ? json() : Branch->Value;
  const Result<json> After = applyCommand(Command, Before);
  if (Command.Base > State.Settings.Head.Version)
    return refuse(State, {ErrorId::OutOfRange,
                          "the current version is " +
                              std::to_string(State.Settings.Head.Version.Value),
                          "/base_version"});
  const bool ChangedSinceBase =
      Branch != nullptr && Branch->Version > Command.Base;
  if (ChangedSinceBase)
    return conflict(State, Before, isOk(After) ? valueOf(After) : Before);
  if (!isOk(After))
    return refuse(State, errorOf(After));
  return accept(State, Before, valueOf(After));
}

ChangeStep SettingsChange::conflict(const ChangeState &State,
                                    const json &Current,
                                    const json &Requested) {
  const SettingsVersion Version = State.Settings.Head.Version;
  const Error Reason{ErrorId::Conflict,
                     "the branch was changed after version " +
                         std::to_string(Command.Base.Value),
                     "/base_version"};
  return refuse(State, Reason,
                ChangeConflict{Version, json::diff(Current, Requested)});
}

ChangeStep SettingsChange::accept(const ChangeState &State, const json &Before,
                                  const json &After) {
  SettingsSnapshot Next = nextSnapshot(State, Command, After);
  const Result<SettingsTree> Checked = buildTree(Next);
  if (!isOk(Checked))
    return refuse(State, errorOf(Checked));
  AuditEntry Entry = makeEntry(Before, After);
  Entry.Accepted = Next.Head.Version;
  CommitChange Step;
  Step.Writes = buildTransaction(State, Next);
  appendAuditEntry(Entry, State.Audit, State.AuditHeadRevision, Digest,
                   Step.Writes);
  if (const std::optional<Error> TooLarge = checkRecordSizes(Step.Writes))
    return refuse(State, *TooLarge);
  PendingResult = ChangeAccepted{Next.Head.Version, false, std::move(Next)};
  return Step;
}

ChangeStep SettingsChange::onCommit(const Result<TransactionReply> &Reply) {
  if (isOk(Reply) && valueOf(Reply).Succeeded)
    return ChangeFinished{*PendingResult};
  if (isOk(Reply))
    return retry({ErrorId::Conflict, "too many concurrent changes", ""});
  // Only after a timeout is it unknown whether the write took effect.
  WriteInDoubt |= errorOf(Reply).Id == ErrorId::Timeout;
  return retry(errorOf(Reply));
}

} // namespace mallowglade

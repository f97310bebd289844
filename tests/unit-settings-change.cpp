#include "support/fake_store.hpp"

#include <mallowglade/detail/router/change_runner.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

using namespace mallowglade;
using testing::FakeStore;

namespace {

constexpr const char *PlatformKey = "platform-key";
constexpr const char *SalesKey = "sales-key";

nlohmann::json seedDocument() {
  return {{"platform",
           {{"pools", {{"models", {{"kind", "model"}}}}},
            {"shares", {{"desk", 2}, {"board", 1}}},
            {"operators",
             {{"sal",
               {{"branch", "sales"}, {"key_sha256", sha256Hex(SalesKey)}}}}}}},
          {"teams",
           {{"sales", {{"workspaces", {{"desk", nlohmann::json::object()}}}}},
            {"ops", {{"workspaces", {{"board", nlohmann::json::object()}}}}}}}};
}

/// Key-value service with operators that read and change branches.
class ChangeEnvironment {
public:
  FakeStore Store;
  SettingsSnapshot Seed = makeSnapshot(seedDocument());

  /// Returns the settings that a router without faults would hold.
  SettingsSnapshot current() {
    const auto Head = Store.Entries.find(settings_layout::HeadKey);
    if (Head == Store.Entries.end())
      return Seed;
    SettingsSnapshot Snapshot;
    Snapshot.Head = valueOf(parseHead(Head->second.Value));
    for (const auto &[Number, Version] : Snapshot.Head.Packs)
      Snapshot.Packs[Number] =
          valueOf(parsePack(Store.Entries.at(packKey(Number)).Value));
    return Snapshot;
  }

  ChangeResult run(const ChangeCommand &Command, const std::string &Key) {
    ChangeOrigin Origin;
    Origin.Key = Key;
    Origin.ClientAddress = "127.0.0.1";
    Origin.EntryId = "entry-" + std::to_string(++Runs);
    SettingsChange Change(Command, Origin, sha256Hex(PlatformKey),
                          SettingsVersion(0));
    return runChange(Store, {}, Seed, Change);
  }

  ChangeCommand command(const std::string &Branch, const std::string &Path,
                        const nlohmann::json &Value) {
    ChangeCommand Command;
    Command.ChangeId = "change-" + std::to_string(++Commands);
    Command.Branch = Branch;
    Command.Base = current().Head.Version;
    Command.Form = ChangeForm::Set;
    Command.Content = {{"path", Path}, {"value", Value}};
    return Command;
  }

  std::vector<nlohmann::json> auditEntries() const {
    std::vector<nlohmann::json> Entries;
    for (const auto &[Key, Entry] : Store.Entries) {
      const bool IsEntry = Key.starts_with(settings_layout::AuditPrefix) &&
                           !Key.ends_with("sealed");
      if (IsEntry)
        Entries.push_back(nlohmann::json::parse(Entry.Value));
    }
    return Entries;
  }

  int Runs = 0;
  int Commands = 0;
};

Error refusalReason(const ChangeResult &Result) {
  const auto *Refused = std::get_if<ChangeRefused>(&Result);
  CPPUNIT_ASSERT(Refused != nullptr);
  return Refused->Reason;
}

/// A change that increments a counter. The counter differs from the number of
/// accepted changes only if a change was silently overwritten.
struct Increment {
  std::string Team;
  std::string Workspace;
  ChangeCommand Command;
  ChangeResult Outcome;
};

int readCounter(const SettingsSnapshot &Settings, const Increment &Change) {
  const nlohmann::json Document = toDocument(Settings);
  const nlohmann::json &Workspace =
      Document["teams"][Change.Team]["workspaces"][Change.Workspace];
  return Workspace.contains("limits")
             ? Workspace["limits"]["concurrency"].get<int>()
             : 0;
}

/// Runs concurrent increments: before each call to the service another operator
/// may run a whole change.
class ConcurrentIncrements {
public:
  explicit ConcurrentIncrements(std::uint64_t Seed) : Random(Seed) {
    Environment.Store.BeforeCall = [this] { return injectFault(); };
  }

  void runOne() {
    Increment Change;
    const bool Sales = Random.below(2) == 0;
    Change.Team = Sales ? "sales" : "ops";
    Change.Workspace = Sales ? "desk" : "board";
    const int Seen = readCounter(Environment.current(), Change);
    Change.Command = Environment.command(
        Change.Team, "/workspaces/" + Change.Workspace + "/limits/concurrency",
        Seen + 1);
    Change.Outcome = Environment.run(Change.Command, PlatformKey);
    for (int Repeat = 0; Repeat < 3 && isUnknown(Change); ++Repeat) {
      ChangeResult Again = Environment.run(Change.Command, PlatformKey);
      // A repeat that could not read the state does not tell the outcome of the
      // first attempt.
      if (!isUnavailable(Again))
        Change.Outcome = std::move(Again);
    }
    Changes.push_back(std::move(Change));
  }

  static bool isUnknown(const Increment &Change) {
    return std::holds_alternative<ChangeUnknown>(Change.Outcome);
  }

  static bool isUnavailable(const ChangeResult &Result) {
    const auto *Refused = std::get_if<ChangeRefused>(&Result);
    return Refused != nullptr && (Refused->Reason.Id == ErrorId::Unavailable ||
                                  Refused->Reason.Id == ErrorId::Timeout);
  }

  ChangeEnvironment Environment;
  std::vector<Increment> Changes;

private:
  FakeStore::Fault injectFault() {
    Environment.Store.deliverDelayed();
    if (Depth < 2 && Random.below(6) == 0) {
      ++Depth;
      runOne();
      --Depth;
    }
    constexpr FakeStore::Fault Faults[] = {
        FakeStore::Fault::Unavailable, FakeStore::Fault::RequestLost,
        FakeStore::Fault::ReplyLost, FakeStore::Fault::Delayed};
    const auto Choice = Random.below(16);
    return Choice < 4 ? Faults[Choice] : FakeStore::Fault::None;
  }

  SeededRandom Random;
  int Depth = 0;
};

std::map<std::string, std::vector<nlohmann::json>>
acceptedByChange(const ChangeEnvironment &Environment) {
  std::map<std::string, std::vector<nlohmann::json>> Accepted;
  for (const nlohmann::json &Entry : Environment.auditEntries())
    if (Entry["accepted"].get<bool>())
      Accepted[Entry["change_id"].get<std::string>()].push_back(Entry);
  return Accepted;
}

void checkOutcomes(const ConcurrentIncrements &Run) {
  const auto Accepted = acceptedByChange(Run.Environment);
  for (const Increment &Change : Run.Changes) {
    const auto Entries = Accepted.find(Change.Command.ChangeId);
    if (const auto *Done = std::get_if<ChangeAccepted>(&Change.Outcome)) {
      RC_ASSERT(Entries != Accepted.end());
      RC_ASSERT(Entries->second.size() == 1U);
      RC_ASSERT(Entries->second[0]["version"].get<std::uint64_t>() ==
                Done->Version.Value);
    } else if (!ConcurrentIncrements::isUnknown(Change)) {
      RC_ASSERT(Entries == Accepted.end());
    }
  }
}

void checkAuditChain(const ChangeEnvironment &Environment) {
  std::uint64_t Number = 0;
  std::string Previous;
  for (const auto &[Key, Entry] : Environment.Store.Entries) {
    if (!Key.starts_with(settings_layout::AuditPrefix))
      continue;
    const nlohmann::json Parsed = nlohmann::json::parse(Entry.Value);
    RC_ASSERT(Parsed["entry"].get<std::uint64_t>() == Number++);
    RC_ASSERT(Parsed["previous_sha256"].get<std::string>() == Previous);
    Previous = sha256Hex(Entry.Value);
    RC_ASSERT(Environment.Store.History.at(Key).size() == 1U);
  }
}

} // namespace

class SettingsChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsChangeTest);
  CPPUNIT_TEST(racingOperatorsNeverOverwriteSilently);
  CPPUNIT_TEST(repeatedCommandIsAppliedOnce);
  CPPUNIT_TEST(changeIdOfAnotherCommandIsRefused);
  CPPUNIT_TEST(teamCredentialEditsItsBranchOnly);
  CPPUNIT_TEST(invalidTreeIsRefusedWithPathAndAudited);
  CPPUNIT_TEST(conflictNamesVersionAndDifference);
  CPPUNIT_TEST(removedBranchIsNotRestoredByAnOldChange);
  CPPUNIT_TEST(recordAboveOneMegabyteIsRefused);
  CPPUNIT_TEST(workspaceIsAddedShareFirst);
  CPPUNIT_TEST(staleStateIsNotChanged);
  CPPUNIT_TEST(auditSegmentIsSealedAfterThousandEntries);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost updates in a race, changes applied twice after a lost
  // reply, gaps in the audit log, and overwritten audit entries.
  void racingOperatorsNeverOverwriteSilently() {
    const bool Holds = rc::check([](std::uint64_t Seed) {
      ConcurrentIncrements Run(Seed);
      for (int I = 0; I < 12; ++I)
        Run.runOne();
      Run.Environment.Store.deliverDelayed();
      checkOutcomes(Run);
      checkAuditChain(Run.Environment);
      const SettingsSnapshot Last = Run.Environment.current();
      const auto Accepted = acceptedByChange(Run.Environment);
      RC_ASSERT(Accepted.size() == Last.Head.Version.Value);
      const Increment Desk{"sales", "desk", {}, {}};
      const Increment Board{"ops", "board", {}, {}};
      const int Sum = readCounter(Last, Desk) + readCounter(Last, Board);
      RC_ASSERT(static_cast<std::size_t>(Sum) == Accepted.size());
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against a repeated command that is applied twice.
  void repeatedCommandIsAppliedOnce() {
    ChangeEnvironment Environment;
    const ChangeCommand Command =
        Environment.command("platform", "/shares/desk", 5);
    Environment.run(Command, PlatformKey);
    Environment.run(Environment.command("platform", "/shares/desk", 7),
                    PlatformKey);
    const ChangeResult Again = Environment.run(Command, PlatformKey);
    const auto *Accepted = std::get_if<ChangeAccepted>(&Again);
    CPPUNIT_ASSERT(Accepted != nullptr && Accepted->Repeated);
    CPPUNIT_ASSERT(Accepted->Version == SettingsVersion(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Environment.auditEntries().size());
  }

  // Guards against a change that is reported as accepted but was not made,
  // because its id was taken for that of an earlier change.
  void changeIdOfAnotherCommandIsRefused() {
    ChangeEnvironment Environment;
    ChangeCommand Command = Environment.command("platform", "/shares/desk", 5);
    Environment.run(Command, PlatformKey);
    Command.Content["value"] = 6;
    const Error Reason = refusalReason(Environment.run(Command, PlatformKey));
    CPPUNIT_ASSERT_EQUAL(std::string("/change_id"), Reason.Path);
  }

  void teamCredentialEditsItsBranchOnly() {
    ChangeEnvironment Environment;
    const std::string Limit = "/limits/concurrency";
    const auto Own =
        Environment.command("sales", "/workspaces/desk" + Limit, 3);
    CPPUNIT_ASSERT(
        std::holds_alternative<ChangeAccepted>(Environment.run(Own, SalesKey)));
    const auto Other =
        Environment.command("ops", "/workspaces/board" + Limit, 3);
    CPPUNIT_ASSERT(refusalReason(Environment.run(Other, SalesKey)).Id ==
                   ErrorId::Forbidden);
    const auto Share = Environment.command("platform", "/shares/desk", 9);
    CPPUNIT_ASSERT(refusalReason(Environment.run(Share, SalesKey)).Id ==
                   ErrorId::Forbidden);
    CPPUNIT_ASSERT(refusalReason(Environment.run(Share, "guess")).Id ==
                   ErrorId::Unauthenticated);
  }

  // Guards against settings that no router could use, and against refusals that
  // are missing in the audit log.
  void invalidTreeIsRefusedWithPathAndAudited() {
    ChangeEnvironment Environment;
    const auto Command = Environment.command("platform", "/shares/desk", 0);
    const Error Reason = refusalReason(Environment.run(Command, PlatformKey));
    CPPUNIT_ASSERT(Reason.Id == ErrorId::OutOfRange);
    CPPUNIT_ASSERT_EQUAL(std::string("/platform/shares/desk"), Reason.Path);
    const auto Entries = Environment.auditEntries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("settings.out_of_range"),
                         Entries[0]["refused"]["error_id"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, Entries[0]["changes"][0]["before"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, Entries[0]["changes"][0]["after"].get<int>());
  }

  void conflictNamesVersionAndDifference() {
    ChangeEnvironment Environment;
    const auto First = Environment.command("platform", "/shares/desk", 5);
    const auto Second = Environment.command("platform", "/shares/desk", 6);
    Environment.run(First, PlatformKey);
    const ChangeResult Result = Environment.run(Second, PlatformKey);
    const auto *Conflict = std::get_if<ChangeConflict>(&Result);
    CPPUNIT_ASSERT(Conflict != nullptr);
    CPPUNIT_ASSERT(Conflict->Current == SettingsVersion(1));
    CPPUNIT_ASSERT_EQUAL(std::string("/shares/desk"),
                         Conflict->Difference[0]["path"].get<std::string>());
  }

  // Guards against a removal that is undone by a change based on an older
  // version.
  void removedBranchIsNotRestoredByAnOldChange() {
    ChangeEnvironment Environment;
    const auto Old =
        Environment.command("ops", "/workspaces/board/limits/concurrency", 3);
    ChangeCommand Removal = Environment.command("ops", "", nullptr);
    Removal.Form = ChangeForm::Value;
    Removal.Content = nullptr;
    CPPUNIT_ASSERT(std::holds_alternative<ChangeAccepted>(
        Environment.run(Removal, PlatformKey)));
    CPPUNIT_ASSERT(std::holds_alternative<ChangeConflict>(
        Environment.run(Old, PlatformKey)));
  }

  // Guards against a record that the key-value service does not accept.
  void recordAboveOneMegabyteIsRefused() {
    ChangeEnvironment Environment;
    nlohmann::json Hashes = nlohmann::json::array();
    for (int I = 0; I < 16'000; ++I)
      Hashes.push_back(sha256Hex(std::to_string(I)));
    const auto Command =
        Environment.command("sales", "/workspaces/desk/key_sha256", Hashes);
    CPPUNIT_ASSERT(refusalReason(Environment.run(Command, PlatformKey)).Id ==
                   ErrorId::TooLarge);
  }

  // Guards against validation rules that leave no order in which to add a
  // workspace and its share.
  void workspaceIsAddedShareFirst() {
    ChangeEnvironment Environment;
    const auto NoShare = Environment.command("sales", "/workspaces/new",
                                             nlohmann::json::object());
    CPPUNIT_ASSERT(refusalReason(Environment.run(NoShare, SalesKey)).Id ==
                   ErrorId::MissingKey);
    const auto Share = Environment.command("platform", "/shares/new", 1);
    CPPUNIT_ASSERT(std::holds_alternative<ChangeAccepted>(
        Environment.run(Share, PlatformKey)));
    const auto Added = Environment.command("sales", "/workspaces/new",
                                           nlohmann::json::object());
    CPPUNIT_ASSERT(std::holds_alternative<ChangeAccepted>(
        Environment.run(Added, SalesKey)));
  }

  // Guards against changes to a service that was restored from an old backup.
  void staleStateIsNotChanged() {
    ChangeEnvironment Environment;
    SettingsChange Change(Environment.command("platform", "/shares/desk", 5),
                          {}, sha256Hex(PlatformKey), SettingsVersion(9));
    const ChangeResult Result =
        runChange(Environment.Store, {}, Environment.Seed, Change);
    CPPUNIT_ASSERT(refusalReason(Result).Id == ErrorId::Unavailable);
    CPPUNIT_ASSERT(Environment.Store.Entries.empty());
  }

  void auditSegmentIsSealedAfterThousandEntries() {
    AuditHead Head;
    Head.NextEntry = settings_layout::SegmentEntries - 1;
    Transaction Last;
    appendAuditEntry({}, Head, Revision(1), "", Last);
    CPPUNIT_ASSERT_EQUAL(std::string("settings/audit/00000000/0999"),
                         Last.Puts[1].Key);
    CPPUNIT_ASSERT_EQUAL(std::string("settings/audit/00000000/sealed"),
                         Last.Puts[2].Key);
    ++Head.NextEntry;
    Transaction Next;
    appendAuditEntry({}, Head, Revision(1), "", Next);
    CPPUNIT_ASSERT_EQUAL(std::string("settings/audit/00000001/0000"),
                         Next.Puts[1].Key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Next.Puts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsChangeTest);

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

/// Store with operators that read a branch and change it.
class Fleet {
public:
  FakeStore Store;
  SettingsSnapshot Seed = snapshotOf(seedDocument());

  /// What a router without faults would hold.
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
    Origin.From = "127.0.0.1";
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

Error refusalOf(const ChangeResult &Result) {
  const auto *Refused = std::get_if<ChangeRefused>(&Result);
  CPPUNIT_ASSERT(Refused != nullptr);
  return Refused->Reason;
}

/// An operator that raises a counter by one; nothing but a silent overwrite
/// can make the counter differ from the number of accepted changes.
struct Increment {
  std::string Team;
  std::string Workspace;
  ChangeCommand Command;
  ChangeResult Outcome;
};

int counterOf(const SettingsSnapshot &Settings, const Increment &Change) {
  const nlohmann::json Document = documentOf(Settings);
  const nlohmann::json &Workspace =
      Document["teams"][Change.Team]["workspaces"][Change.Workspace];
  return Workspace.contains("limits")
             ? Workspace["limits"]["concurrency"].get<int>()
             : 0;
}

/// Runs increments against each other: before each call to the service another
/// operator may run from its beginning to its end.
class Race {
public:
  explicit Race(std::uint64_t Seed) : Random(Seed) {
    Operators.Store.BeforeCall = [this] { return interfere(); };
  }

  void runOne() {
    Increment Change;
    const bool Sales = Random.below(2) == 0;
    Change.Team = Sales ? "sales" : "ops";
    Change.Workspace = Sales ? "desk" : "board";
    const int Seen = counterOf(Operators.current(), Change);
    Change.Command = Operators.command(
        Change.Team, "/workspaces/" + Change.Workspace + "/limits/concurrency",
        Seen + 1);
    Change.Outcome = Operators.run(Change.Command, PlatformKey);
    for (int Repeat = 0; Repeat < 3 && isUnknown(Change); ++Repeat) {
      ChangeResult Again = Operators.run(Change.Command, PlatformKey);
      // A repeat that could not read the state says nothing about the first.
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

  Fleet Operators;
  std::vector<Increment> Changes;

private:
  FakeStore::Fault interfere() {
    Operators.Store.deliverLate();
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
acceptedByChange(const Fleet &Operators) {
  std::map<std::string, std::vector<nlohmann::json>> Accepted;
  for (const nlohmann::json &Entry : Operators.auditEntries())
    if (Entry["accepted"].get<bool>())
      Accepted[Entry["change_id"].get<std::string>()].push_back(Entry);
  return Accepted;
}

void checkOutcomes(const Race &Run) {
  const auto Accepted = acceptedByChange(Run.Operators);
  for (const Increment &Change : Run.Changes) {
    const auto Entries = Accepted.find(Change.Command.ChangeId);
    if (const auto *Done = std::get_if<ChangeAccepted>(&Change.Outcome)) {
      RC_ASSERT(Entries != Accepted.end());
      RC_ASSERT(Entries->second.size() == 1U);
      RC_ASSERT(Entries->second[0]["version"].get<std::uint64_t>() ==
                Done->Version.Value);
    } else if (!Race::isUnknown(Change)) {
      RC_ASSERT(Entries == Accepted.end());
    }
  }
}

void checkAuditChain(const Fleet &Operators) {
  std::uint64_t Number = 0;
  std::string Previous;
  for (const auto &[Key, Entry] : Operators.Store.Entries) {
    if (!Key.starts_with(settings_layout::AuditPrefix))
      continue;
    const nlohmann::json Parsed = nlohmann::json::parse(Entry.Value);
    RC_ASSERT(Parsed["entry"].get<std::uint64_t>() == Number++);
    RC_ASSERT(Parsed["previous_sha256"].get<std::string>() == Previous);
    Previous = sha256Hex(Entry.Value);
    RC_ASSERT(Operators.Store.History.at(Key).size() == 1U);
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
  // Guards against an update lost in a race, a change applied twice after a
  // lost reply, a gap in the audit trail, and an entry that is rewritten.
  void racingOperatorsNeverOverwriteSilently() {
    const bool Holds = rc::check([](std::uint64_t Seed) {
      Race Run(Seed);
      for (int I = 0; I < 12; ++I)
        Run.runOne();
      Run.Operators.Store.deliverLate();
      checkOutcomes(Run);
      checkAuditChain(Run.Operators);
      const SettingsSnapshot Last = Run.Operators.current();
      const auto Accepted = acceptedByChange(Run.Operators);
      RC_ASSERT(Accepted.size() == Last.Head.Version.Value);
      const Increment Desk{"sales", "desk", {}, {}};
      const Increment Board{"ops", "board", {}, {}};
      const int Sum = counterOf(Last, Desk) + counterOf(Last, Board);
      RC_ASSERT(static_cast<std::size_t>(Sum) == Accepted.size());
    });
    CPPUNIT_ASSERT(Holds);
  }

  // Guards against a second application by a command that is sent again.
  void repeatedCommandIsAppliedOnce() {
    Fleet Operators;
    const ChangeCommand Command =
        Operators.command("platform", "/shares/desk", 5);
    Operators.run(Command, PlatformKey);
    Operators.run(Operators.command("platform", "/shares/desk", 7),
                  PlatformKey);
    const ChangeResult Again = Operators.run(Command, PlatformKey);
    const auto *Accepted = std::get_if<ChangeAccepted>(&Again);
    CPPUNIT_ASSERT(Accepted != nullptr && Accepted->Repeated);
    CPPUNIT_ASSERT(Accepted->Version == SettingsVersion(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Operators.auditEntries().size());
  }

  // Guards against reporting a change as done that was never made.
  void changeIdOfAnotherCommandIsRefused() {
    Fleet Operators;
    ChangeCommand Command = Operators.command("platform", "/shares/desk", 5);
    Operators.run(Command, PlatformKey);
    Command.Content["value"] = 6;
    const Error Reason = refusalOf(Operators.run(Command, PlatformKey));
    CPPUNIT_ASSERT_EQUAL(std::string("/change_id"), Reason.Path);
  }

  void teamCredentialEditsItsBranchOnly() {
    Fleet Operators;
    const std::string Limit = "/limits/concurrency";
    const auto Own = Operators.command("sales", "/workspaces/desk" + Limit, 3);
    CPPUNIT_ASSERT(
        std::holds_alternative<ChangeAccepted>(Operators.run(Own, SalesKey)));
    const auto Other = Operators.command("ops", "/workspaces/board" + Limit, 3);
    CPPUNIT_ASSERT(refusalOf(Operators.run(Other, SalesKey)).Id ==
                   ErrorId::Forbidden);
    const auto Share = Operators.command("platform", "/shares/desk", 9);
    CPPUNIT_ASSERT(refusalOf(Operators.run(Share, SalesKey)).Id ==
                   ErrorId::Forbidden);
    CPPUNIT_ASSERT(refusalOf(Operators.run(Share, "guess")).Id ==
                   ErrorId::Unauthenticated);
  }

  // Guards against settings that no router could use, and against a refusal
  // that leaves no trace.
  void invalidTreeIsRefusedWithPathAndAudited() {
    Fleet Operators;
    const auto Command = Operators.command("platform", "/shares/desk", 0);
    const Error Reason = refusalOf(Operators.run(Command, PlatformKey));
    CPPUNIT_ASSERT(Reason.Id == ErrorId::OutOfRange);
    CPPUNIT_ASSERT_EQUAL(std::string("/platform/shares/desk"), Reason.Path);
    const auto Entries = Operators.auditEntries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("settings.out_of_range"),
                         Entries[0]["refused"]["error_id"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, Entries[0]["changes"][0]["before"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, Entries[0]["changes"][0]["after"].get<int>());
  }

  void conflictNamesVersionAndDifference() {
    Fleet Operators;
    const auto First = Operators.command("platform", "/shares/desk", 5);
    const auto Second = Operators.command("platform", "/shares/desk", 6);
    Operators.run(First, PlatformKey);
    const ChangeResult Result = Operators.run(Second, PlatformKey);
    const auto *Conflict = std::get_if<ChangeConflict>(&Result);
    CPPUNIT_ASSERT(Conflict != nullptr);
    CPPUNIT_ASSERT(Conflict->Current == SettingsVersion(1));
    CPPUNIT_ASSERT_EQUAL(std::string("/shares/desk"),
                         Conflict->Difference[0]["path"].get<std::string>());
  }

  // Guards against a removal that a change based on an older version undoes.
  void removedBranchIsNotRestoredByAnOldChange() {
    Fleet Operators;
    const auto Old =
        Operators.command("ops", "/workspaces/board/limits/concurrency", 3);
    ChangeCommand Removal = Operators.command("ops", "", nullptr);
    Removal.Form = ChangeForm::Value;
    Removal.Content = nullptr;
    CPPUNIT_ASSERT(std::holds_alternative<ChangeAccepted>(
        Operators.run(Removal, PlatformKey)));
    CPPUNIT_ASSERT(std::holds_alternative<ChangeConflict>(
        Operators.run(Old, PlatformKey)));
  }

  // Guards against a record that the key-value service does not accept.
  void recordAboveOneMegabyteIsRefused() {
    Fleet Operators;
    nlohmann::json Hashes = nlohmann::json::array();
    for (int I = 0; I < 16'000; ++I)
      Hashes.push_back(sha256Hex(std::to_string(I)));
    const auto Command =
        Operators.command("sales", "/workspaces/desk/key_sha256", Hashes);
    CPPUNIT_ASSERT(refusalOf(Operators.run(Command, PlatformKey)).Id ==
                   ErrorId::TooLarge);
  }

  // Guards against rules that leave no order in which to add a workspace.
  void workspaceIsAddedShareFirst() {
    Fleet Operators;
    const auto NoShare =
        Operators.command("sales", "/workspaces/new", nlohmann::json::object());
    CPPUNIT_ASSERT(refusalOf(Operators.run(NoShare, SalesKey)).Id ==
                   ErrorId::MissingKey);
    const auto Share = Operators.command("platform", "/shares/new", 1);
    CPPUNIT_ASSERT(std::holds_alternative<ChangeAccepted>(
        Operators.run(Share, PlatformKey)));
    const auto Added =
        Operators.command("sales", "/workspaces/new", nlohmann::json::object());
    CPPUNIT_ASSERT(
        std::holds_alternative<ChangeAccepted>(Operators.run(Added, SalesKey)));
  }

  // Guards against a change on top of a service restored from an old backup.
  void staleStateIsNotChanged() {
    Fleet Operators;
    SettingsChange Change(Operators.command("platform", "/shares/desk", 5), {},
                          sha256Hex(PlatformKey), SettingsVersion(9));
    const ChangeResult Result =
        runChange(Operators.Store, {}, Operators.Seed, Change);
    CPPUNIT_ASSERT(refusalOf(Result).Id == ErrorId::Unavailable);
    CPPUNIT_ASSERT(Operators.Store.Entries.empty());
  }

  void auditSegmentIsSealedAfterThousandEntries() {
    AuditHead Head;
    Head.Next = settings_layout::SegmentEntries - 1;
    Transaction Last;
    appendAuditEntry({}, Head, Revision(1), "", Last);
    CPPUNIT_ASSERT_EQUAL(std::string("settings/audit/00000000/0999"),
                         Last.Puts[1].Key);
    CPPUNIT_ASSERT_EQUAL(std::string("settings/audit/00000000/sealed"),
                         Last.Puts[2].Key);
    ++Head.Next;
    Transaction Next;
    appendAuditEntry({}, Head, Revision(1), "", Next);
    CPPUNIT_ASSERT_EQUAL(std::string("settings/audit/00000001/0000"),
                         Next.Puts[1].Key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Next.Puts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsChangeTest);

#include <mallowglade/detail/settings/audit.hpp>

#include <mallowglade/detail/settings/bounded_json.hpp>
#include <mallowglade/detail/settings/snapshot.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace mallowglade {

namespace {

using nlohmann::json;

std::string formatTime(WallTime Time) {
  const auto Millis =
      std::chrono::duration_cast<Milliseconds>(Time.time_since_epoch());
  constexpr std::int64_t MillisPerSecond = 1'000;
  const std::time_t Seconds = Millis.count() / MillisPerSecond;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(Seconds),
                     Millis.count() % MillisPerSecond);
}

json encodeRecentChanges(const std::vector<RecentChange> &Recent) {
  json Items = json::array();
  for (const RecentChange &Change : Recent)
    Items.push_back({{"change_id", Change.ChangeId},
                     {"digest", Change.Digest},
                     {"version", Change.Version.Value}});
  return Items;
}

AuditHead readAuditHead(const json &Document) {
  AuditHead Head;
  Head.NextEntry = Document.at("next").get<std::uint64_t>();
  Head.LastSha256 = Document.at("last_sha256").get<std::string>();
  Head.LastEntryId = Document.at("last_entry_id").get<std::string>();
  for (const json &Item : Document.at("recent"))
    Head.RecentChanges.push_back(
        {Item.at("change_id").get<std::string>(),
         Item.at("digest").get<std::string>(),
         SettingsVersion(Item.at("version").get<std::uint64_t>())});
  return Head;
}

/// Replaces the differences of a refused change by their size and digest if
/// they are too large, because the size of a refused change is not limited.
json boundedDifferences(const AuditEntry &Entry) {
  json Differences = listDifferences(Entry.Before, Entry.After);
  constexpr std::size_t MaxRefusedBytes = 65'536;
  const std::string Text = Differences.dump();
  if (!Entry.Refused || Text.size() <= MaxRefusedBytes)
    return Differences;
  return {{"omitted_bytes", Text.size()}, {"sha256", sha256Hex(Text)}};
}

AuditHead advanceHead(const AuditEntry &Entry, const AuditHead &Head,
                      const std::string &Record, const std::string &Digest) {
  AuditHead Advanced = Head;
  ++Advanced.NextEntry;
  Advanced.LastSha256 = sha256Hex(Record);
  Advanced.LastEntryId = Entry.EntryId;
  if (!Entry.Accepted)
    return Advanced;
  Advanced.RecentChanges.push_back({Entry.ChangeId, Digest, *Entry.Accepted});
  if (Advanced.RecentChanges.size() > RecentChangeLimit)
    Advanced.RecentChanges.erase(Advanced.RecentChanges.begin());
  return Advanced;
}

} // namespace

std::string encodeAuditHead(const AuditHead &Head) {
  return json{{"next", Head.NextEntry},
              {"last_sha256", Head.LastSha256},
              {"last_entry_id", Head.LastEntryId},
              {"recent", encodeRecentChanges(Head.RecentChanges)}}
      .dump();
}

Result<AuditHead> parseAuditHead(std::string_view Text) {
  try {
    return readAuditHead(
        parseBoundedJson(Text, MaxSettingsBytes).value_or(json()));
  } catch (const json::exception &) {
    return Error{ErrorId::InvalidJson, "malformed audit head", ""};
  }
}

std::string auditSegmentPrefix(std::uint64_t Segment) {
  return fmt::format("{}{:08}/", settings_layout::AuditPrefix, Segment);
}

std::string auditEntryKey(std::uint64_t Number) {
  return fmt::format(
      "{}{:04}", auditSegmentPrefix(Number / settings_layout::SegmentEntries),
      Number % settings_layout::SegmentEntries);
}

json listDifferences(const json &Before, const json &After) {
  json Differences = json::array();
  for (const json &Step : json::diff(Before, After)) {
    const auto Path = Step["path"].get<std::string>();
    const json::json_pointer Pointer(Path);
    json Item{{"path", Path}};
    if (Step["op"] != "add" && Before.contains(Pointer))
      Item["before"] = Before.at(Pointer);
    if (Step["op"] != "remove")
      Item["after"] = Step["value"];
    Differences.push_back(std::move(Item));
  }
  return Differences;
}

std::string encodeAuditEntry(const AuditEntry &Entry, const AuditHead &Head) {
  json Record{{"entry", Head.NextEntry},
              {"entry_id", Entry.EntryId},
              {"previous_sha256", Head.LastSha256},
              {"change_id", Entry.ChangeId},
              {"who", Entry.OperatorName},
              {"when", formatTime(Entry.RequestTime)},
              {"from", Entry.ClientAddress},
              {"router", Entry.Router.Value},
              {"branch", Entry.Branch},
              {"changes", boundedDifferences(Entry)},
              {"accepted", Entry.Accepted.has_value()}};
  if (Entry.Accepted)
    Record["version"] = Entry.Accepted->Value;
  if (Entry.Refused)
    Record["refused"] = {{"error_id", toString(Entry.Refused->Id)},
                         {"path", Entry.Refused->Path},
                         {"detail", Entry.Refused->Detail}};
  return Record.dump(-1, ' ', false, json::error_handler_t::replace);
}

void appendAuditEntry(const AuditEntry &Entry, const AuditHead &Head,
                      Revision HeadRevision, const std::string &Digest,
                      Transaction &Writes) {
  const std::string Record = encodeAuditEntry(Entry, Head);
  const std::string Key = auditEntryKey(Head.NextEntry);
  const AuditHead Advanced = advanceHead(Entry, Head, Record, Digest);
  Writes.Conditions.push_back({settings_layout::AuditHeadKey, HeadRevision});
  Writes.Conditions.push_back({Key, Revision(0)});
  Writes.Puts.push_back(
      {settings_layout::AuditHeadKey, encodeAuditHead(Advanced), {}});
  Writes.Puts.push_back({Key, Record, {}});
  if (Advanced.NextEntry % settings_layout::SegmentEntries != 0)
    return;
  const json Seal{{"entries", settings_layout::SegmentEntries},
                  {"last_sha256", Advanced.LastSha256}};
  const std::uint64_t Segment =
      Head.NextEntry / settings_layout::SegmentEntries;
  Writes.Puts.push_back(
      {auditSegmentPrefix(Segment) + "sealed", Seal.dump(), {}});
}

} // namespace mallowglade

#include <mallowglade/detail/settings/bounded_json.hpp>
#include <mallowglade/detail/settings/snapshot.hpp>

#include <fmt/format.h>

namespace mallowglade {

namespace {

using nlohmann::json;

Error malformed(const char *RecordKind) {
  return {ErrorId::InvalidJson, fmt::format("malformed {}", RecordKind), ""};
}

bool hasVersion(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) &&
         Object[Key].is_number_unsigned();
}

SettingsVersion readVersion(const json &Object, const char *Key) {
  return SettingsVersion(Object[Key].get<std::uint64_t>());
}

/// Parses a pack number; returns PackCount if the name is not one.
PackNumber parsePackNumber(const std::string &Name) {
  const bool IsNumber =
      !Name.empty() && Name.size() <= 2 &&
      Name.find_first_not_of("0123456789") == std::string::npos;
  return IsNumber ? static_cast<PackNumber>(std::stoul(Name))
                  : settings_layout::PackCount;
}

void addBranch(SettingsSnapshot &Snapshot, const std::string &Branch,
               const json &Value) {
  const PackNumber Pack = packNumberFor(Branch);
  Snapshot.Packs[Pack].Branches[Branch].Value = Value;
  Snapshot.Head.Packs[Pack] = SettingsVersion(0);
}

} // namespace

PackNumber packNumberFor(const std::string &Branch) {
  if (Branch == settings_layout::PlatformBranch)
    return 0;
  constexpr PackNumber TeamPacks = settings_layout::PackCount - 1;
  return 1 + static_cast<PackNumber>(stableHash(Branch) % TeamPacks);
}

std::string packKey(PackNumber Pack) {
  return fmt::format("{}{:02}", settings_layout::PackPrefix, Pack);
}

std::string encodeHead(const SettingsHead &Head) {
  json Packs = json::object();
  for (const auto &[Pack, Version] : Head.Packs)
    Packs[std::to_string(Pack)] = Version.Value;
  return json{{"version", Head.Version.Value},
              {"change_id", Head.ChangeId},
              {"packs", Packs}}
      .dump();
}

Result<SettingsHead> parseHead(std::string_view Text) {
  const json Document =
      parseBoundedJson(Text, MaxSettingsBytes).value_or(json());
  const bool Valid = hasVersion(Document, "version") &&
                     Document.contains("packs") &&
                     Document["packs"].is_object();
  if (!Valid)
    return malformed("settings head");
  SettingsHead Head;
  Head.Version = readVersion(Document, "version");
  if (Document.contains("change_id") && Document["change_id"].is_string())
    Head.ChangeId = Document["change_id"].get<std::string>();
  for (const auto &[Name, Version] : Document["packs"].items()) {
    const PackNumber Pack = parsePackNumber(Name);
    if (Pack >= settings_layout::PackCount || !Version.is_number_unsigned())
      return malformed("settings head");
    Head.Packs[Pack] = SettingsVersion(Version.get<std::uint64_t>());
  }
  return Head;
}

std::string encodePack(const SettingsPack &Pack) {
  json Branches = json::object();
  for (const auto &[Name, Branch] : Pack.Branches)
    Branches[Name] = {{"version", Branch.Version.Value},
                      {"value", Branch.Value}};
  return json{{"version", Pack.Version.Value}, {"branches", Branches}}.dump();
}

Result<SettingsPack> parsePack(std::string_view Text) {
  const json Document =
      parseBoundedJson(Text, MaxSettingsBytes).value_or(json());
  const bool Valid = hasVersion(Document, "version") &&
                     Document.contains("branches") &&
                     Document["branches"].is_object();
  if (!Valid)
    return malformed("settings pack");
  SettingsPack Pack;
  Pack.Version = readVersion(Document, "version");
  for (const auto &[Name, Branch] : Document["branches"].items()) {
    if (!hasVersion(Branch, "version") || !Branch.contains("value"))
      return malformed("settings pack");
    Pack.Branches[Name] = {readVersion(Branch, "version"), Branch["value"]};
  }
  return Pack;
}

SettingsSnapshot makeSnapshot(const json &Document) {
  SettingsSnapshot Snapshot;
  if (!Document.is_object())
    return Snapshot;
  if (Document.contains("platform"))
    addBranch(Snapshot, settings_layout::PlatformBranch, Document["platform"]);
  if (Document.contains("teams") && Document["teams"].is_object())
    for (const auto &[Team, Value] : Document["teams"].items())
      addBranch(Snapshot, Team, Value);
  return Snapshot;
}

json toDocument(const SettingsSnapshot &Snapshot) {
  json Document{{"platform", json::object()}, {"teams", json::object()}};
  for (const auto &[Number, Pack] : Snapshot.Packs) {
    for (const auto &[Name, Branch] : Pack.Branches) {
      if (Branch.Value.is_null())
        continue;
      if (Name == settings_layout::PlatformBranch)
        Document["platform"] = Branch.Value;
      else
        Document["teams"][Name] = Branch.Value;
    }
  }
  return Document;
}

Result<SettingsTree> buildTree(const SettingsSnapshot &Snapshot) {
  Result<SettingsTree> Tree = parseTree(toDocument(Snapshot), "");
  if (isOk(Tree))
    valueOf(Tree).Version = Snapshot.Head.Version;
  return Tree;
}

const BranchRecord *findBranch(const SettingsSnapshot &Snapshot,
                               const std::string &Branch) {
  const auto Pack = Snapshot.Packs.find(packNumberFor(Branch));
  if (Pack == Snapshot.Packs.end())
    return nullptr;
  const auto Found = Pack->second.Branches.find(Branch);
  return Found == Pack->second.Branches.end() ? nullptr : &Found->second;
}

std::vector<PackNumber>
missingPacks(const SettingsHead &Head,
             const std::map<PackNumber, SettingsPack> &Held) {
  std::vector<PackNumber> Missing;
  for (const auto &[Pack, Version] : Head.Packs) {
    const auto Found = Held.find(Pack);
    const bool UpToDate = Found != Held.end() && Version.Value > 0 &&
                          Found->second.Version == Version;
    if (!UpToDate)
      Missing.push_back(Pack);
  }
  return Missing;
}

} // namespace mallowglade

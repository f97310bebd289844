#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/settings/tree.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade {

/// @brief Names and sizes of the settings records in the key-value service.
namespace settings_layout {
/// Record that names the version in force.
inline constexpr const char *HeadKey = "settings/head";
/// Prefix of the packs, followed by two digits.
inline constexpr const char *PackPrefix = "settings/packs/";
/// Record that numbers the audit entries.
inline constexpr const char *AuditHeadKey = "settings/audit-head";
/// Prefix of the audit segments, followed by eight digits.
inline constexpr const char *AuditPrefix = "settings/audit/";
/// Name of the branch with pools, routes, shares and operators.
inline constexpr const char *PlatformBranch = "platform";
/// Number of packs; pack 0 holds the platform branch only.
inline constexpr std::uint32_t PackCount = 64;
/// Largest record in bytes; the service accepts one megabyte.
inline constexpr std::size_t MaxRecordBytes = 1'000'000;
/// Entries of one audit segment.
inline constexpr std::uint64_t SegmentEntries = 1'000;
} // namespace settings_layout

/// @brief Number of a pack of branches.
using PackNumber = std::uint32_t;

/// @brief The record that names the version in force and that of every pack.
struct SettingsHead {
  SettingsVersion Version;
  /// Id of the change that made the version.
  std::string ChangeId;
  std::map<PackNumber, SettingsVersion> Packs;
};

/// @brief A branch and the version that last changed it.
struct BranchRecord {
  SettingsVersion Version;
  nlohmann::json Value;
};

/// @brief A record with the branches of some teams.
struct SettingsPack {
  SettingsVersion Version;
  std::map<std::string, BranchRecord> Branches;
};

/// @brief The records of one version of the settings.
struct SettingsSnapshot {
  SettingsHead Head;
  std::map<PackNumber, SettingsPack> Packs;
};

/// @brief Chooses the pack of a branch; equal on every router.
PackNumber packOf(const std::string &Branch);
/// @brief Forms the key of a pack's record.
std::string packKey(PackNumber Pack);

/// @brief Writes a head record as JSON text.
std::string encodeHead(const SettingsHead &Head);
/// @brief Reads a head record.
/// @return the head, or `settings.invalid_json`
Result<SettingsHead> parseHead(std::string_view Text);
/// @brief Writes a pack as JSON text.
std::string encodePack(const SettingsPack &Pack);
/// @brief Reads a pack.
/// @return the pack, or `settings.invalid_json`
Result<SettingsPack> parsePack(std::string_view Text);

/// @brief Splits a tree document into packs of version 0.
/// @param Document object with `platform` and `teams`; null gives no branch
SettingsSnapshot snapshotOf(const nlohmann::json &Document);
/// @brief Joins the branches to a tree document.
nlohmann::json documentOf(const SettingsSnapshot &Snapshot);
/// @brief Parses and checks the tree of a snapshot; sets its version.
Result<SettingsTree> treeOf(const SettingsSnapshot &Snapshot);

/// @brief Finds a branch.
/// @return the branch, or null
const BranchRecord *findBranch(const SettingsSnapshot &Snapshot,
                               const std::string &Branch);
/// @brief Lists the packs of a head that the snapshot lacks in that version.
/// @param Head head to complete
/// @param Held packs at hand; those of version 0 do not count, because
///   routers may have different seed trees
std::vector<PackNumber>
missingPacks(const SettingsHead &Head,
             const std::map<PackNumber, SettingsPack> &Held);

} // namespace mallowglade

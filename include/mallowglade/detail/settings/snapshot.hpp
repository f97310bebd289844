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

/// @brief Keys and sizes of the settings records in the key-value service.
namespace settings_layout {
/// Key of the head record, which holds the current version.
inline constexpr const char *HeadKey = "settings/head";
/// Prefix of the keys of the packs; two digits follow.
inline constexpr const char *PackPrefix = "settings/packs/";
/// Key of the audit head.
inline constexpr const char *AuditHeadKey = "settings/audit-head";
/// Prefix of the keys of the audit segments; eight digits follow.
inline constexpr const char *AuditPrefix = "settings/audit/";
/// Name of the branch with pools, routes, shares and operators.
inline constexpr const char *PlatformBranch = "platform";
/// Number of packs; pack 0 holds the platform branch only.
inline constexpr std::uint32_t PackCount = 64;
/// Maximum size of a record in bytes; the service accepts one megabyte.
inline constexpr std::size_t MaxRecordBytes = 1'000'000;
/// Number of entries in an audit segment.
inline constexpr std::uint64_t SegmentEntries = 1'000;
} // namespace settings_layout

/// @brief Number of a pack of branches.
using PackNumber = std::uint32_t;

/// @brief Head record: the current version and the version of every pack.
struct SettingsHead {
  SettingsVersion Version;
  /// Id of the change that created the version.
  std::string ChangeId;
  std::map<PackNumber, SettingsVersion> Packs;
};

/// @brief A branch and the version that last changed it.
struct BranchRecord {
  SettingsVersion Version;
  nlohmann::json Value;
};

/// @brief Record with the branches of one pack.
struct SettingsPack {
  SettingsVersion Version;
  std::map<std::string, BranchRecord> Branches;
};

/// @brief Head and packs of one version of the settings.
struct SettingsSnapshot {
  SettingsHead Head;
  std::map<PackNumber, SettingsPack> Packs;
};

/// @brief Returns the number of the pack that holds a branch; the same on every
///   router.
PackNumber packNumberFor(const std::string &Branch);
/// @brief Returns the key of a pack.
std::string packKey(PackNumber Pack);

/// @brief Serializes a head to JSON.
std::string encodeHead(const SettingsHead &Head);
/// @brief Parses a head.
/// @return the head, or `settings.invalid_json`
Result<SettingsHead> parseHead(std::string_view Text);
/// @brief Serializes a pack to JSON.
std::string encodePack(const SettingsPack &Pack);
/// @brief Parses a pack.
/// @return the pack, or `settings.invalid_json`
Result<SettingsPack> parsePack(std::string_view Text);

/// @brief Splits a tree document into packs of version 0.
/// @param Document object with `platform` and `teams`; null gives an empty
///   snapshot
SettingsSnapshot makeSnapshot(const nlohmann::json &Document);
/// @brief Assembles the branches into a tree document.
nlohmann::json toDocument(const SettingsSnapshot &Snapshot);
/// @brief Parses and validates the tree of a snapshot and sets its version.
Result<SettingsTree> buildTree(const SettingsSnapshot &Snapshot);

/// @brief Finds a branch.
/// @return the branch, or null
const BranchRecord *findBranch(const SettingsSnapshot &Snapshot,
                               const std::string &Branch);
/// @brief Lists the packs of a head that are not held in the required version.
/// @param Head head that names the required versions
/// @param Held available packs; those of version 0 are ignored, because routers
///   may have different seed trees
std::vector<PackNumber>
missingPacks(const SettingsHead &Head,
             const std::map<PackNumber, SettingsPack> &Held);

} // namespace mallowglade

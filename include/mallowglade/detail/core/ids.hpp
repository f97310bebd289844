#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mallowglade {

/// @brief Strongly typed string identifier.
/// @tparam Tag type that keeps ids of different kinds apart
template <class Tag> struct StringId {
  std::string Value;

  StringId() = default;
  /// @param Text value of the identifier
  explicit StringId(std::string Text) : Value(std::move(Text)) {}

  /// @return true if the id is the empty string
  bool empty() const { return Value.empty(); }

  // clang-tidy 14 reports names and literals in compiler-generated code.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const StringId &) const = default;
};

/// @brief Strongly typed number.
/// @tparam Tag type that keeps numbers of different kinds apart
/// @tparam Rep arithmetic type of the value
template <class Tag, class Rep> struct StrongNumber {
  Rep Value{};

  constexpr StrongNumber() = default;
  /// @param Number the value
  constexpr explicit StrongNumber(Rep Number) : Value(Number) {}

  // clang-tidy 14 reports names and literals in compiler-generated code.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const StrongNumber &) const = default;

  constexpr StrongNumber operator+(StrongNumber Other) const {
    return StrongNumber(Value + Other.Value);
  }
  constexpr StrongNumber operator-(StrongNumber Other) const {
    return StrongNumber(Value - Other.Value);
  }
  constexpr StrongNumber &operator+=(StrongNumber Other) {
    Value += Other.Value;
    return *this;
  }
  constexpr StrongNumber &operator-=(StrongNumber Other) {
    Value -= Other.Value;
    return *this;
  }
};

/// @brief Identifies a workspace; unique in the settings tree.
using WorkspaceId = StringId<struct WorkspaceTag>;
/// @brief Identifies a pool of upstreams that can serve the same requests.
using PoolId = StringId<struct PoolTag>;
/// @brief Identifies one upstream instance.
using UpstreamId = StringId<struct UpstreamTag>;
/// @brief Identifies a request; assigned by the client or by the first router.
using RequestId = StringId<struct RequestTag>;
/// @brief Identifies a router by its advertised peer address, `ip:port`.
using RouterId = StringId<struct RouterTag>;
/// @brief Identifies an availability zone.
using ZoneId = StringId<struct ZoneTag>;
/// @brief Identifies a region, which holds availability zones.
using RegionId = StringId<struct RegionTag>;
/// @brief Identifies a scheduling cell.
using CellId = StringId<struct CellTag>;

/// @brief Start time of a router process in milliseconds since the Unix epoch.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// @brief Identifies a grant; unique per cell owner.
using GrantId = StrongNumber<struct GrantTag, std::uint64_t>;
/// @brief Number of a report session between a router and a cell;
///   monotonically increasing.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;
/// @brief Number of an attempt within one request, counted from 1.
using AttemptNumber = StrongNumber<struct AttemptTag, std::uint32_t>;
/// @brief Version of the settings tree; monotonically increasing.
using SettingsVersion = StrongNumber<struct SettingsVersionTag, std::uint64_t>;
/// @brief Amount of service: weighted tokens or milliseconds of service time.
using ServiceUnits = StrongNumber<struct ServiceUnitsTag, double>;
/// @brief Fair-share weight of a workspace; service is divided in proportion.
using Share = StrongNumber<struct ShareTag, double>;
/// @brief Hash of the workspace, path and body of a request.
using Fingerprint = StrongNumber<struct FingerprintTag, std::uint64_t>;

} // namespace mallowglade

/// @brief Hashes string ids for unordered containers.
template <class Tag> struct std::hash<mallowglade::StringId<Tag>> {
  std::size_t operator()(const mallowglade::StringId<Tag> &Id) const {
    return std::hash<std::string>()(Id.Value);
  }
};

/// @brief Hashes strongly typed numbers for unordered containers.
template <class Tag, class Rep>
struct std::hash<mallowglade::StrongNumber<Tag, Rep>> {
  std::size_t
  operator()(const mallowglade::StrongNumber<Tag, Rep> &Number) const {
    return std::hash<Rep>()(Number.Value);
  }
};

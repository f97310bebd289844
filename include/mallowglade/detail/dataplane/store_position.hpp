#pragma once

#include <mallowglade/core.hpp>

#include <compare>
#include <cstdint>

namespace mallowglade::dataplane {

/// @brief Era of the metadata store, counted from `FirstStoreEra`; 0 while
///   unknown. It rises each time that the store comes back from a copy of
///   itself.
///
/// A store that comes back from a copy has lost its latest writes, and gives
/// their revisions and lease ids out again. Revisions and leases of different
/// eras have nothing to do with each other.
using StoreEra = StrongNumber<struct StoreEraTag, std::uint64_t>;

/// Lowest era that a store can tell.
inline constexpr std::uint64_t FirstStoreEra = 1;

/// @brief Position in the history of the metadata store.
///
/// Positions are ordered by era first: every state of a later era is newer than
/// every state of an earlier one, whatever their revisions are.
struct StorePosition {
  StoreEra Era;
  std::int64_t Revision = 0;

  // clang-tidy 14 reports names and literals in compiler-generated code.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const StorePosition &) const = default;
};

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/core.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace mallowglade {

/// @brief What requests may have in common that makes upstreams crash.
enum class FeatureKind : std::uint8_t {
  /// The whole request.
  ExactRequest,
  /// A part of the prompt that other requests may contain as well.
  PromptPart,
};

/// @return stable name of a kind, for the log
std::string_view toString(FeatureKind Kind);

/// @brief Property of a request that may be the cause of a crash; opaque and
///   equal on all routers.
struct RequestFeature {
  FeatureKind Kind = FeatureKind::ExactRequest;
  std::uint64_t Hash = 0;

  // clang-tidy 14 reports names and literals in compiler-generated code.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const RequestFeature &) const = default;
};

using RequestFeatures = std::vector<RequestFeature>;

/// @brief Identifies one process of an upstream; another one after a restart.
using UpstreamProcess = StrongNumber<struct UpstreamProcessTag, std::uint64_t>;

/// @brief Progress of the quarantines of one feature. It only advances, so
///   copies that differ are merged by taking the later one.
class QuarantineStatus {
public:
  QuarantineStatus() = default;
  /// @param Number value of `number` of another status
  explicit QuarantineStatus(std::uint32_t Number) : Number(Number) {}

  /// @return true while requests with the feature are refused
  bool quarantined() const { return Number % Steps == 1; }
  /// @return true if a quarantine ended without proof that the feature is
  ///   harmless: a single crash starts the next one
  bool lapsed() const { return Number % Steps == 2; }
  /// @return number that increases with each step
  std::uint32_t number() const { return Number; }

  /// @brief Starts a quarantine unless there is one.
  void begin();
  /// @brief Ends a quarantine because no request has asked for the feature.
  void lapse();
  /// @brief Ends a quarantine, or its lapse, for good: the feature is harmless.
  void clear();

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const QuarantineStatus &) const = default;

private:
  /// Cleared or never in quarantine, quarantined, lapsed.
  static constexpr std::uint32_t Steps = 3;
  std::uint32_t Number = 0;
};

/// @brief Time since something was last observed, by process.
using ProcessAges = std::map<UpstreamProcess, Milliseconds>;

/// @brief Ends of runs with one feature.
struct FeatureObservation {
  /// Processes that broke off a run with the feature.
  ProcessAges BrokenOff;
  /// Time since a run was last answered in full.
  std::optional<Milliseconds> AnsweredAge;
};

/// @brief Quarantine of a feature.
struct QuarantineEntry {
  QuarantineStatus Status;
  /// Requests that were let through to find out whether the feature is still
  /// harmful.
  std::uint32_t Probes = 0;
  /// Time since the sender last refused a request with the feature.
  std::optional<Milliseconds> RefusedAge;
};

/// @brief Observations of one router, or of several.
struct CrashReport {
  std::map<RequestFeature, FeatureObservation> Features;
  /// Processes that have responded after a run on them broke off.
  ProcessAges Alive;
  std::map<RequestFeature, QuarantineEntry> Quarantines;

  /// @brief Adds the report of another router.
  /// @param SinceReceived time since that report was received
  void add(const CrashReport &Other, Milliseconds SinceReceived);
  /// @brief Drops the features with the fewest crashes.
  /// @param MaxFeatures number of features to keep
  void limit(std::size_t MaxFeatures);
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>
#include <mallowglade/detail/outcomes/crash_report.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace mallowglade::dataplane {

/// @brief A prompt prefix that an engine has read, as routers report it.
struct PrefixPlacement {
  std::uint64_t Prefix = 0;
  UpstreamProcess Engine{};
  Milliseconds Age{};

  friend bool operator==(const PrefixPlacement &,
                         const PrefixPlacement &) = default;
};

/// @brief Knows which engines have read a prompt prefix lately.
///
/// Handles prefixes that are used in several zones within seconds: an engine
/// that has not read a prefix can fetch it from one that has, if the router
/// knows which one. An engine has read a prefix once it begins to answer; the
/// router that sees this tells the others, unless they know it.
class PrefixHolders {
public:
  /// Prefixes that are known; further ones are ignored until some expire.
  static constexpr std::size_t MaxPrefixes = 8'192;
  /// Placements that one report or digest names.
  static constexpr std::size_t MaxReported = 512;
  /// Reports that name a placement, so that a lost one does not matter.
  static constexpr unsigned ReportsOfEach = 3;

  /// @param Reuse time for which an engine is expected to keep a prefix that is
  ///   not used
  PrefixHolders(const Clock &Time, Milliseconds Reuse)
      : Time(Time), Reuse(Reuse) {}

  /// @brief Records that an engine has begun to answer a request of this
  ///   router.
  void recordRead(std::uint64_t Prefix, UpstreamProcess Engine);
  /// @brief Adds what other routers have reported; repetitions and their order
  ///   have no effect.
  void addReported(const std::vector<PrefixPlacement> &Placements);
  /// @return true if the engine has read the prefix lately
  bool holds(std::uint64_t Prefix, UpstreamProcess Engine) const;
  /// @return engines that have read the prefix lately, the latest first
  std::vector<UpstreamProcess> holdersOf(std::uint64_t Prefix) const;
  /// @return what this router has learned itself and reports now
  std::vector<PrefixPlacement> report();
  std::size_t size() const { return Known.size(); }
  /// @return placements that this router has begun to report, those that are
  ///   reported anew after a while included
  std::uint64_t reportedCount() const { return Reported; }

private:
  struct Holder {
    UpstreamProcess Engine{};
    /// Latest known use.
    TimePoint At{};
    /// When it was reported last, by any router.
    TimePoint ReportedAt{};
  };
  /// A prefix has a home in each zone, and more engines where these are full.
  static constexpr std::size_t MaxHolders = 4;
  using Holders = std::array<Holder, MaxHolders>;
  struct Unsent {
    std::uint64_t Prefix = 0;
    UpstreamProcess Engine{};
    TimePoint At{};
    unsigned Reports = 0;
  };

  bool isRecent(const Holder &Entry, TimePoint Now) const {
    return Entry.At != TimePoint{} && Now - Entry.At < Reuse;
  }
  /// @return the place of an engine among the holders of a prefix, or one that
  ///   it may take; null if there is none
  Holder *placeFor(std::uint64_t Prefix, UpstreamProcess Engine, TimePoint Now);
  void removeExpired(TimePoint Now);

  const Clock &Time;
  Milliseconds Reuse;
  std::unordered_map<std::uint64_t, Holders> Known;
  std::deque<Unsent> Unreported;
  std::uint64_t Reported = 0;
  TimePoint CleanedAt{};
};

} // namespace mallowglade::dataplane

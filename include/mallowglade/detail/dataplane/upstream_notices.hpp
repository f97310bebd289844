#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace mallowglade::dataplane {

/// @brief Remembers what upstreams said of themselves in their responses: that
///   they are leaving, or that they want no requests for some time.
///
/// Both belong to a process and not to its id or address: another upstream at
/// the address, or the same one after a restart, is not affected. No
/// registration takes a notice back; an upstream that is leaving does not
/// return.
class UpstreamNotices {
public:
  explicit UpstreamNotices(const Clock &Time) : Time(Time) {}

  /// @brief Records that an upstream is leaving.
  /// @return true if that was not known
  bool recordLeaving(const UpstreamRecord &Upstream);
  /// @brief Records that an upstream wants no requests before a time; an
  ///   earlier time than the one known has no effect.
  void recordPause(const UpstreamRecord &Upstream, TimePoint Until);
  /// @return true if the upstream has said that it is leaving
  bool isLeaving(const UpstreamRecord &Upstream) const;
  /// @return end of the pause that the upstream asked for; zero for none
  TimePoint pausedUntil(const UpstreamRecord &Upstream) const;

  /// Time for which a notice is kept after it was last given.
  static constexpr std::chrono::minutes Retention{10};
  static constexpr std::size_t MaxNotices = 4'096;

private:
  struct Notice {
    bool Leaving = false;
    TimePoint PausedUntil{};
    TimePoint RecordedAt{};
  };
  /// Id, address and start of a process.
  using Process =
      std::tuple<UpstreamId, asio::ip::tcp::endpoint, std::uint64_t>;
  static Process processOf(const UpstreamRecord &Upstream);
  Notice &record(const UpstreamRecord &Upstream);
  const Notice *find(const UpstreamRecord &Upstream) const;

  const Clock &Time;
  std::map<Process, Notice> Notices;
};

/// @brief Time to send no requests to an upstream that asked for a pause.
///
/// Longer than asked for by a random part, so that routers do not return
/// together, and bounded.
/// @param Asked pause that the upstream asked for
Milliseconds pauseFor(Milliseconds Asked, RandomSource &Random);

} // namespace mallowglade::dataplane

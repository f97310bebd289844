#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/outcomes.hpp>

#include <optional>
#include <unordered_map>

namespace mallowglade::dataplane {

/// @brief Keeps what upstreams state of their load in responses to this router.
///
/// Handles upstreams that share their machines with others, so that work takes
/// longer at times. The time changes many times a second, and a decision takes
/// effect over the length of a request: it is smoothed, and an old statement
/// counts less and less.
class StatedLoads {
public:
  explicit StatedLoads(const Clock &Time) : Time(Time) {}

  /// @brief Records what a response states.
  /// @param SentAt time at which its request was sent; of two responses, the
  ///   one to the later request is the newer one
  void record(UpstreamProcess Process, const StatedLoad &Load,
              TimePoint SentAt);
  /// @return latest statement, or nothing if there is none as new as this
  std::optional<StatedLoad> latest(UpstreamProcess Process,
                                   Milliseconds MaxAge) const;
  /// @return smoothed time that work takes relative to its usual time, within
  ///   `MinWorkTimeFactor` and `MaxWorkTimeFactor`; 1 if nothing is known
  double workTimeFactor(UpstreamProcess Process) const;
  /// @return true if the latest statement of a process names its work time
  bool statesWorkTime(UpstreamProcess Process) const;
  /// @return true if any statement has named a work time
  bool anyWorkTime() const { return AnyWorkTime; }
  /// @brief Forgets a process.
  void forget(UpstreamProcess Process) { Statements.erase(Process); }

  /// A wrong statement neither floods an upstream nor starves it.
  static constexpr double MinWorkTimeFactor = 0.5;
  static constexpr double MaxWorkTimeFactor = 4;

private:
  struct Statement {
    StatedLoad Load;
    TimePoint SentAt{};
    TimePoint ReceivedAt{};
    double WorkTimeFactor = 1;
  };

  const Clock &Time;
  std::unordered_map<UpstreamProcess, Statement> Statements;
  bool AnyWorkTime = false;
};

} // namespace mallowglade::dataplane

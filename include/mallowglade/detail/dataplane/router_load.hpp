#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/detail/dataplane/node_settings.hpp>

#include <cstdint>

namespace mallowglade::dataplane {

/// @brief Size and load of a router, as it reports them.
struct RouterLoad {
  /// Processor time that it may use, in thousandths of a core, or less if
  /// memory or descriptors are scarcer; 0 if unknown.
  std::uint32_t Size = 0;
  /// Connections with a request under way.
  std::uint32_t Busy = 0;
  /// Answers to lookups of router addresses in the last seconds.
  std::uint32_t Lookups = 0;
};

/// @return size of a router with these settings; see `RouterLoad`
std::uint32_t routerSize(const NodeSettings &Settings);

/// @brief Counts the answers to lookups that callers may still use.
class LookupCounter {
public:
  explicit LookupCounter(const Clock &Time)
      : Time(Time), WindowBegan(Time.now()) {}
  /// @brief Records one answer.
  void record();
  /// @return number of answers of the last seconds
  std::uint32_t recent();

private:
  void advance();

  const Clock &Time;
  TimePoint WindowBegan;
  std::uint32_t Previous = 0;
  std::uint32_t Current = 0;
};

} // namespace mallowglade::dataplane

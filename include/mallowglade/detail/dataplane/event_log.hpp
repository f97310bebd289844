#pragma once

#include <mallowglade/core.hpp>

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace mallowglade::dataplane {

/// @brief A named value of a log line.
struct EventField {
  std::string_view Name;
  std::variant<std::string_view, std::int64_t, double> Value;
};

/// @brief Writes log lines, one JSON object each, without blocking.
///
/// Lines are buffered and written by `flush`. Lines beyond the rate limit and
/// lines that arrive while the buffer is full are dropped and counted. Part of
/// both is reserved for changes of state, so that a flood of requests does not
/// hide its cause. All member functions may be called from any thread.
class EventLog {
public:
  /// @param Descriptor file descriptor to write to; made non-blocking
  /// @param LinesPerSecond sustained rate limit; short bursts may exceed it
  EventLog(int Descriptor, double LinesPerSecond, const Clock &Time);

  /// @brief Adds one line on a change of state to the buffer.
  /// @param Event stable name of the event
  /// @param Fields values to log with it
  void write(std::string_view Event, std::initializer_list<EventField> Fields);
  /// @brief Adds one line to the buffer that is written for each request of a
  ///   caller; it leaves the reserve for changes of state untouched.
  void writeForRequest(std::string_view Event,
                       std::initializer_list<EventField> Fields);
  /// @brief Writes as much of the buffer as the descriptor accepts.
  void flush();

private:
  /// @param ReservedLines, ReservedBytes part of the rate limit and of the
  ///   buffer that this line may not use
  void append(std::string_view Event, std::initializer_list<EventField> Fields,
              double ReservedLines, std::size_t ReservedBytes);
  void appendLine(std::string_view Event,
                  std::initializer_list<EventField> Fields);

  std::mutex Mutex;
  int Descriptor;
  double LinesPerSecond;
  const Clock &Time;
  std::string Buffer;
  double AvailableLines;
  TimePoint RefilledAt{};
  std::uint64_t Dropped = 0;
};

} // namespace mallowglade::dataplane

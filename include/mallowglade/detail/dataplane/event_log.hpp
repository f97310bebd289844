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

/// @brief A named value in a log line.
struct EventField {
  std::string_view Name;
  std::variant<std::string_view, std::int64_t, double> Value;
};

/// @brief Writes structured lines to standard output without blocking.
///
/// One JSON object a line. Lines are buffered and written by `flush`; what
/// exceeds the rate or does not fit into the buffer is dropped and counted.
class EventLog {
public:
  /// @param Descriptor file descriptor that is written to
  /// @param LinesPerSecond most lines a second over a longer time
  EventLog(int Descriptor, double LinesPerSecond, const Clock &Time);

  /// @brief Adds one line.
  /// @param Event stable name of what happened
  /// @param Fields inputs and outcome
  void write(std::string_view Event, std::initializer_list<EventField> Fields);
  /// @brief Writes what is buffered, as far as the descriptor takes it.
  void flush();

private:
  void append(std::string_view Event, std::initializer_list<EventField> Fields);

  std::mutex Mutex;
  int Descriptor;
  double LinesPerSecond;
  const Clock &Time;
  std::string Buffer;
  double Tokens;
  TimePoint Refilled{};
  std::uint64_t Dropped = 0;
};

} // namespace mallowglade::dataplane

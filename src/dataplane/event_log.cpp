#include <mallowglade/detail/dataplane/event_log.hpp>

#include <mallowglade/detail/core/json_text.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

namespace mallowglade::dataplane {

namespace {

/// Buffer size above which lines are dropped, if the log's reader is slow.
constexpr std::size_t MaxBufferedBytes = 262'144;
/// Largest burst, as the number of seconds of the sustained rate.
constexpr double BurstSeconds = 4;
/// Reserve for changes of state: seconds of the sustained rate, and bytes of
/// the buffer.
constexpr double ReservedSeconds = 1;
constexpr std::size_t ReservedBufferBytes = MaxBufferedBytes / 4;

void appendValue(std::string &Out, const EventField &Field) {
  if (const auto *Text = std::get_if<std::string_view>(&Field.Value)) {
    Out += '"';
    detail::appendJsonText(Out, *Text);
    Out += '"';
  } else if (const auto *Integer = std::get_if<std::int64_t>(&Field.Value)) {
    fmt::format_to(std::back_inserter(Out), "{}", *Integer);
  } else {
    const double Number = std::get<double>(Field.Value);
    if (std::isfinite(Number))
      fmt::format_to(std::back_inserter(Out), "{:.3f}", Number);
    else
      Out += "null";
  }
}

} // namespace

EventLog::EventLog(int Descriptor, double LinesPerSecond, const Clock &Time)
    : Descriptor(Descriptor), LinesPerSecond(LinesPerSecond), Time(Time),
      AvailableLines(LinesPerSecond * BurstSeconds) {
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  RefilledAt = Time.now();
}

void EventLog::write(std::string_view Event,
                     std::initializer_list<EventField> Fields) {
  append(Event, Fields, 0, 0);
}

void EventLog::writeForRequest(std::string_view Event,
                               std::initializer_list<EventField> Fields) {
  append(Event, Fields, LinesPerSecond * ReservedSeconds, ReservedBufferBytes);
}

void EventLog::append(std::string_view Event,
                      std::initializer_list<EventField> Fields,
                      double ReservedLines, std::size_t ReservedBytes) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const TimePoint Now = Time.now();
  AvailableLines =
      std::min(LinesPerSecond * BurstSeconds,
               AvailableLines +
                   LinesPerSecond *
                       std::chrono::duration<double>(Now - RefilledAt).count());
  RefilledAt = Now;
  if (AvailableLines < 1 + ReservedLines ||
      Buffer.size() + ReservedBytes > MaxBufferedBytes) {
    ++Dropped;
    return;
  }
  AvailableLines -= 1;
  if (Dropped > 0) {
    const auto DroppedLines = static_cast<std::int64_t>(Dropped);
    Dropped = 0;
    appendLine("log_lines_dropped", {{"lines", DroppedLines}});
  }
  appendLine(Event, Fields);
}

void EventLog::appendLine(std::string_view Event,
                          std::initializer_list<EventField> Fields) {
  const auto SinceEpoch = std::chrono::duration_cast<Milliseconds>(
      Time.wallNow().time_since_epoch());
  fmt::format_to(std::back_inserter(Buffer),
                 "{{\"time_ms\":{},\"event\":\"{}\"", SinceEpoch.count(),
                 Event);
  for (const EventField &Field : Fields) {
    fmt::format_to(std::back_inserter(Buffer), ",\"{}\":", Field.Name);
    appendValue(Buffer, Field);
  }
  Buffer += "}\n";
}

void EventLog::flush() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Buffer.empty())
    return;
  const ssize_t Written = ::write(Descriptor, Buffer.data(), Buffer.size());
  if (Written > 0)
    Buffer.erase(0, static_cast<std::size_t>(Written));
}

} // namespace mallowglade::dataplane

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Splits a server-sent-event stream into whole events.
///
/// Only whole events are passed on, so that a stream can be resumed after the
/// last one without a byte doubled or missing.
class EventStream {
public:
  /// @brief Takes bytes from an upstream.
  /// @return the whole events that are now complete, unchanged
  std::string feed(std::string_view Bytes);
  /// @brief Drops an incomplete event, before a resumed stream is fed.
  void reset();
  /// @return value of the last `id:` line of a whole event; empty if none
  const std::string &lastEventId() const { return LastId; }
  /// @return number of whole events with data
  std::uint64_t eventCount() const { return Events; }
  /// @return true once `data: [DONE]` was seen
  bool done() const { return Done; }
  /// @return the last `usage` object of the stream as JSON text, if any
  const std::string &usage() const { return Usage; }

private:
  void scanEvent(std::string_view Event);

  std::string Pending;
  std::string LastId;
  std::string Usage;
  std::uint64_t Events = 0;
  bool Done = false;
};

} // namespace mallowglade

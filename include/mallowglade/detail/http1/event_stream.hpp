#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Splits a stream of server-sent events (SSE) into complete events,
///   whose lines end with `\n` or `\r\n`.
///
/// Only complete events are forwarded, so that a stream can be resumed after
/// the last one without duplicated or missing bytes.
class EventStream {
public:
  /// @brief Appends bytes received from an upstream.
  /// @return the bytes of all events that are now complete, unchanged
  std::string feed(std::string_view Bytes);
  /// @return number of bytes received of an event that is not complete
  std::size_t incompleteBytes() const { return PendingBytes.size(); }
  /// @return true if an event has begun and is not complete
  bool insideEvent() const;
  /// @brief Takes the bytes after the last complete event at the end of a
  ///   stream.
  std::string takeRest();
  /// @brief Discards an incomplete event; call before feeding a resumed stream.
  void reset();
  /// @return value of the last `id:` field of a complete event; empty if none
  const std::string &lastEventId() const { return LastEventIdValue; }
  /// @return number of `data:` lines in complete events, without `[DONE]`
  std::uint64_t dataLineCount() const { return DataLineCount; }
  /// @return true once `data: [DONE]` was received
  bool done() const { return Done; }
  /// @return the last `usage` object of the stream as JSON text, if any
  const std::string &usage() const { return Usage; }

private:
  void scanEvent(std::string_view Event);

  std::string PendingBytes;
  std::string LastEventIdValue;
  std::string Usage;
  std::uint64_t DataLineCount = 0;
  bool Done = false;
};

} // namespace mallowglade

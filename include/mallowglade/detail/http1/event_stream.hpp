#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Receives the data of the events of a stream.
class EventDataReceiver {
public:
  virtual ~EventDataReceiver() = default;
  /// @brief Called for each `data:` line of a complete event, except `[DONE]`.
  virtual void onEventData(std::string_view Data) = 0;
};

/// @brief Splits a stream of server-sent events (SSE) into complete events,
///   whose lines end with `\n` or `\r\n`.
///
/// Only complete events are forwarded, so that a stream can be resumed after
/// the last one without duplicated or missing bytes. What an upstream writes
/// into its events is passed on unchanged and not interpreted, except for the
/// names of the fields and the ids.
class EventStream {
public:
  /// @brief Appends bytes received from an upstream.
  /// @param Receiver receives the data of these events; may be null
  /// @return the bytes of all events that are now complete, unchanged
  std::string feed(std::string_view Bytes,
                   EventDataReceiver *Receiver = nullptr);
  /// @return number of bytes received of an event that is not complete
  std::size_t incompleteBytes() const { return PendingBytes.size(); }
  /// @return true if an event has begun and is not complete
  bool insideEvent() const;
  /// @brief Takes the bytes after the last complete event at the end of a
  ///   stream.
  std::string takeRest();
  /// @brief Discards an incomplete event; call before feeding a resumed stream.
  void reset();
  /// @return true if the incomplete event is larger than `MaxEventBytes`
  bool eventTooLarge() const { return PendingBytes.size() > MaxEventBytes; }
  /// @return value of the last `id:` field of a complete event; empty if there
  ///   is none, or if it cannot be sent in a header field
  const std::string &lastEventId() const { return LastEventIdValue; }
  /// @return number of `data:` lines in complete events, without `[DONE]`
  std::uint64_t dataLineCount() const { return DataLineCount; }
  /// @return true once `data: [DONE]` was received
  bool done() const { return Done; }

  /// Maximum size of a single event.
  static constexpr std::size_t MaxEventBytes = 1'048'576;
  /// Maximum size of an id that a stream can be resumed after.
  static constexpr std::size_t MaxIdBytes = 256;

private:
  void scanEvent(std::string_view Event, EventDataReceiver *Receiver);

  std::string PendingBytes;
  std::string LastEventIdValue;
  std::uint64_t DataLineCount = 0;
  bool Done = false;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/dataplane/wire_protocol.hpp>
#include <mallowglade/detail/http1/event_stream.hpp>
#include <mallowglade/detail/http1/message.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief Reason why a response cannot be passed on.
enum class ResponseFault {
  None,
  /// A success without the upstream's signature.
  Unsigned,
  /// A stream that ended inside an event, or with its connection before the
  /// first event.
  BrokenOff,
  /// More bytes than a response or an event may have.
  TooLarge,
  /// The response to the rest of a stream is not a stream.
  NotResumed,
  /// A status that promises that the request has not run, from an upstream that
  /// does not state so.
  UnprovenRefusal,
};

/// @return name of the fault in logs and metrics
std::string_view toString(ResponseFault Fault);

/// @brief Decides which bytes of an upstream's response reach the caller, and
///   whether the response is whole at its end.
///
/// A response is buffered until it is complete, so that a truncated one can be
/// retried or reported as an error. Streams are passed on event by event, and
/// large responses as they arrive. The end of the message, as the framing tells
/// it, is necessary for a whole response and not sufficient: an upstream that
/// crashes may close its connection without a reset.
class ResponseReader {
public:
  /// @brief How the body of the current response is handled.
  enum class Handling {
    /// No head has arrived.
    AwaitHead,
    /// The body is dropped: the upstream did not execute the request.
    Discard,
    /// The body is kept until it is complete.
    Buffer,
    /// The body is passed on as it arrives.
    Relay,
    /// The body is passed on event by event.
    RelayEvents,
  };

  /// @param Streaming true if the route is for streams
  explicit ResponseReader(bool Streaming) : Streaming(Streaming) {}

  /// @brief Prepares for the response of the next attempt.
  void reset();
  /// @brief Processes the head of a response.
  /// @param Relaying true if a part of an earlier response was passed on, which
  ///   this one has to continue
  ResponseFault begin(const http1::ResponseHead &Head,
                      const ResponseMetadata &Metadata, bool Relaying);
  /// @brief Processes bytes of the body.
  ResponseFault receive(std::string_view Data);
  /// @brief Processes the end of the message.
  ResponseFault end();
  /// @return bytes to pass on now; empty while the response is buffered
  std::string takeRelayable();

  Handling handling() const { return Mode; }
  /// @return true if the body is passed on before the response has ended
  bool relaysBody() const {
    return Mode == Handling::Relay || Mode == Handling::RelayEvents;
  }
  /// @return the body of a response that is buffered
  const std::string &bufferedBody() const { return Buffered; }
  /// @return id of the last event that was passed on; empty if none
  const std::string &lastEventId() const { return Events.lastEventId(); }
  /// @return bytes of the body received so far
  std::uint64_t bodyBytes() const { return BodyBytes; }
  /// @return bytes received of an event that is not complete
  std::size_t incompleteEventBytes() const { return Events.incompleteBytes(); }

  /// Size above which a response is passed on as it arrives.
  static constexpr std::size_t MaxBufferedBytes = 262'144;
  /// Maximum size of the body of a response that is dropped.
  static constexpr std::uint64_t MaxDiscardedBytes = 65'536;
  /// Maximum size of a body whose length is not announced.
  static constexpr std::uint64_t MaxBodyBytes = 67'108'864;

private:
  bool Streaming;
  Handling Mode = Handling::AwaitHead;
  /// True if the end of the connection ends the body.
  bool EndsWithConnection = false;
  bool HasLength = false;
  /// True once the current response had a complete event.
  bool AnyEvent = false;
  std::uint64_t BodyBytes = 0;
  std::string Buffered;
  std::string Relayable;
  EventStream Events;
};

} // namespace mallowglade::dataplane

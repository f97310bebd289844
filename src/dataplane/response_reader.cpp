#include <mallowglade/detail/dataplane/response_reader.hpp>

#include <utility>

namespace mallowglade::dataplane {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned FirstFailureStatus = 300;

/// Callers take these statuses for the promise that the request has not run and
/// never will.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Some upstreams send streams without a type.
bool isEventStream(const http1::ResponseHead &Head) {
  constexpr std::string_view Type = "text/event-stream";
  const std::string *Value = Head.Headers.find("content-type");
  if (Value == nullptr)
    return Head.Framing != http1::BodyFraming::Length;
  return http1::equalsIgnoreCase(
      std::string_view(*Value).substr(0, Type.size()), Type);
}

} // namespace

std::string_view toString(ResponseFault Fault) {
  switch (Fault) {
  case ResponseFault::None:
    return "none";
  case ResponseFault::Unsigned:
    return "answer_unsigned";
  case ResponseFault::BrokenOff:
    return "answer_broken_off";
  case ResponseFault::TooLarge:
    return "answer_too_large";
  case ResponseFault::NotResumed:
    return "stream_not_resumed";
  case ResponseFault::UnprovenRefusal:
    return "refusal_unproven";
  }
  return "none";
}

void ResponseReader::reset() {
  Mode = Handling::AwaitHead;
  EndsWithConnection = AnyEvent = false;
  BodyBytes = 0;
  Buffered.clear();
  Relayable.clear();
  Events.reset();
}

ResponseFault ResponseReader::begin(const http1::ResponseHead &Head,
                                    const ResponseMetadata &Metadata,
                                    bool Relaying) {
  EndsWithConnection = Head.Framing == http1::BodyFraming::UntilClose;
  HasLength = Head.Framing == http1::BodyFraming::Length;
  if (Metadata.NotExecuted) {
    Mode = Handling::Discard;
    return ResponseFault::None;
  }
  if (Head.Status < FirstFailureStatus && !Metadata.Signed)
    return ResponseFault::Unsigned;
  if (promisesNotRun(Head.Status))
    return ResponseFault::UnprovenRefusal;
  const bool IsStream = Streaming && Head.Status == StatusOk &&
                        Head.Framing != http1::BodyFraming::None &&
                        isEventStream(Head);
  if (Relaying && !IsStream)
    return ResponseFault::NotResumed;
  Mode = IsStream ? Handling::RelayEvents : Handling::Buffer;
  return ResponseFault::None;
}

ResponseFault ResponseReader::receive(std::string_view Data) {
  BodyBytes += Data.size();
  const bool Endless = Mode == Handling::Discard
                           ? BodyBytes > MaxDiscardedBytes
                           : !HasLength && BodyBytes > MaxBodyBytes;
  if (Endless)
    return ResponseFault::TooLarge;
  switch (Mode) {
  case Handling::AwaitHead:
  case Handling::Discard:
    break;
  case Handling::Buffer:
    Buffered.append(Data);
    if (Buffered.size() > MaxBufferedBytes) {
      Relayable = std::exchange(Buffered, {});
      Mode = Handling::Relay;
    }
    break;
  case Handling::Relay:
    Relayable.append(Data);
    break;
  case Handling::RelayEvents:
    Relayable.append(Events.feed(Data));
    AnyEvent |= !Relayable.empty();
    if (Events.eventTooLarge())
      return ResponseFault::TooLarge;
    break;
  }
  return ResponseFault::None;
}

ResponseFault ResponseReader::end() {
  if (Mode != Handling::RelayEvents)
    return ResponseFault::None;
  if (Events.insideEvent() || (EndsWithConnection && !AnyEvent))
    return ResponseFault::BrokenOff;
  Relayable.append(Events.takeRest());
  return ResponseFault::None;
}

std::string ResponseReader::takeRelayable() {
  return std::exchange(Relayable, {});
}

} // namespace mallowglade::dataplane

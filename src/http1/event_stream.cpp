#include <mallowglade/detail/http1/event_stream.hpp>

#include <algorithm>
#include <utility>

namespace mallowglade {

namespace {

/// Bytes of the longest end of an event, `\n\r\n`.
constexpr std::size_t MaxEventEndBytes = 3;

/// Finds the empty line that ends an event.
/// @param From position to start at
/// @return the position after the empty line, or `npos`
std::size_t findEventEnd(std::string_view Bytes, std::size_t From) {
  for (auto LineEnd = Bytes.find('\n', From); LineEnd != std::string_view::npos;
       LineEnd = Bytes.find('\n', LineEnd + 1)) {
    const std::string_view Next = Bytes.substr(LineEnd + 1, 2);
    if (Next.starts_with('\n'))
      return LineEnd + 2;
    if (Next == "\r\n")
      return LineEnd + 3;
  }
  return std::string_view::npos;
}

std::string_view fieldValue(std::string_view Line, std::string_view Prefix) {
  std::string_view Value = Line.substr(Prefix.size());
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  return Value;
}

/// Returns the id of an event, or nothing for one that would end the header
/// field in which it is sent, or fill the head of the request.
std::string resumableId(std::string_view Id) {
  const bool Printable = std::all_of(Id.begin(), Id.end(), [](char C) {
    return static_cast<unsigned char>(C) >= ' ' && C != '\x7f';
  });
  return Printable && Id.size() <= EventStream::MaxIdBytes ? std::string(Id)
                                                           : std::string();
}

} // namespace

std::string EventStream::feed(std::string_view Bytes,
                              EventDataReceiver *Receiver) {
  // The end of an event may be split between two reads.
  std::size_t From =
      PendingBytes.size() - std::min(PendingBytes.size(), MaxEventEndBytes);
  PendingBytes.append(Bytes);
  std::size_t Begin = 0;
  for (auto End = findEventEnd(PendingBytes, From); End != std::string::npos;
       End = findEventEnd(PendingBytes, From)) {
    scanEvent(std::string_view(PendingBytes).substr(Begin, End - Begin),
              Receiver);
    From = Begin = End;
  }
  std::string CompleteEvents = PendingBytes.substr(0, Begin);
  PendingBytes.erase(0, Begin);
  return CompleteEvents;
}

bool EventStream::insideEvent() const {
  return PendingBytes.find_first_not_of("\r\n") != std::string::npos;
}

std::string EventStream::takeRest() { return std::exchange(PendingBytes, {}); }

void EventStream::reset() { PendingBytes.clear(); }

void EventStream::scanEvent(std::string_view Event,
                            EventDataReceiver *Receiver) {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (Line.starts_with("id:"))
      LastEventIdValue = resumableId(fieldValue(Line, "id:"));
    if (!Line.starts_with("data:"))
      continue;
    const std::string_view Data = fieldValue(Line, "data:");
    if (Data == "[DONE]") {
      Done = true;
      continue;
    }
    ++DataLineCount;
    if (Receiver != nullptr)
      Receiver->onEventData(Data);
  }
}

} // namespace mallowglade

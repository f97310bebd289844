#include <mallowglade/detail/http1/event_stream.hpp>

#include <nlohmann/json.hpp>

namespace mallowglade {

namespace {

constexpr std::string_view EventEnd = "\n\n";

std::string_view fieldValue(std::string_view Line, std::string_view Prefix) {
  std::string_view Value = Line.substr(Prefix.size());
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  return Value;
}

} // namespace

std::string EventStream::feed(std::string_view Bytes) {
  PendingBytes.append(Bytes);
  const auto LastEnd = PendingBytes.rfind(EventEnd);
  if (LastEnd == std::string::npos)
    return {};
  std::string CompleteEvents =
      PendingBytes.substr(0, LastEnd + EventEnd.size());
  PendingBytes.erase(0, CompleteEvents.size());
  std::string_view Remaining = CompleteEvents;
  while (!Remaining.empty()) {
    const auto End = Remaining.find(EventEnd);
    scanEvent(Remaining.substr(0, End));
    Remaining.remove_prefix(End + EventEnd.size());
  }
  return CompleteEvents;
}

void EventStream::reset() { PendingBytes.clear(); }

void EventStream::scanEvent(std::string_view Event) {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    const std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (Line.starts_with("id:"))
      LastEventIdValue = std::string(fieldValue(Line, "id:"));
    if (!Line.starts_with("data:"))
      continue;
    const std::string_view Data = fieldValue(Line, "data:");
    if (Data == "[DONE]") {
      Done = true;
      continue;
    }
    ++DataLineCount;
    if (Data.find("\"usage\"") == std::string_view::npos)
      continue;
    const auto Document = nlohmann::json::parse(Data, nullptr, false);
    if (Document.is_object() && Document.contains("usage") &&
        Document["usage"].is_object())
      Usage = Document["usage"].dump();
  }
}

} // namespace mallowglade

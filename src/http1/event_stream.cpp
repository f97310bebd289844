#include <mallowglade/detail/http1/event_stream.hpp>

#include <nlohmann/json.hpp>

namespace mallowglade {

namespace {

constexpr std::string_view EventEnd = "\n\n";

std::string_view valueAfter(std::string_view Line, std::string_view Field) {
  std::string_view Value = Line.substr(Field.size());
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  return Value;
}

} // namespace

std::string EventStream::feed(std::string_view Bytes) {
  Pending.append(Bytes);
  const auto LastEnd = Pending.rfind(EventEnd);
  if (LastEnd == std::string::npos)
    return {};
  std::string Whole = Pending.substr(0, LastEnd + EventEnd.size());
  Pending.erase(0, Whole.size());
  std::string_view Rest = Whole;
  while (!Rest.empty()) {
    const auto End = Rest.find(EventEnd);
    scanEvent(Rest.substr(0, End));
    Rest.remove_prefix(End + EventEnd.size());
  }
  return Whole;
}

void EventStream::reset() { Pending.clear(); }

void EventStream::scanEvent(std::string_view Event) {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    const std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (Line.starts_with("id:"))
      LastId = std::string(valueAfter(Line, "id:"));
    if (!Line.starts_with("data:"))
      continue;
    const std::string_view Data = valueAfter(Line, "data:");
    if (Data == "[DONE]") {
      Done = true;
      continue;
    }
    ++Events;
    if (Data.find("\"usage\"") == std::string_view::npos)
      continue;
    const auto Document = nlohmann::json::parse(Data, nullptr, false);
    if (Document.is_object() && Document.contains("usage") &&
        Document["usage"].is_object())
      Usage = Document["usage"].dump();
  }
}

} // namespace mallowglade

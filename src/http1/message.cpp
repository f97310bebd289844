#include <mallowglade/detail/http1/message.hpp>

#include <array>
#include <charconv>
#include <strings.h>

namespace mallowglade::http1 {

namespace {

constexpr std::array<std::string_view, 9> HopByHopNames{
    "connection", "keep-alive", "proxy-connection",    "proxy-authenticate",
    "te",         "trailer",    "proxy-authorization", "transfer-encoding",
    "upgrade"};

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

} // namespace

void HeaderList::add(std::string Name, std::string Value) {
  Fields.push_back({std::move(Name), std::move(Value)});
}

const std::string *HeaderList::find(std::string_view Name) const {
  for (const HeaderField &Field : Fields)
    if (equalsIgnoreCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

std::size_t HeaderList::count(std::string_view Name) const {
  std::size_t Count = 0;
  for (const HeaderField &Field : Fields)
    if (equalsIgnoreCase(Field.Name, Name))
      ++Count;
  return Count;
}

std::string_view toString(BodyFraming Framing) {
  switch (Framing) {
  case BodyFraming::None:
    return "none";
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunked:
    return "chunked";
  case BodyFraming::UntilClose:
    return "until_close";
  }
  return "none";
}

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

bool listContains(std::string_view Value, std::string_view Token) {
  while (!Value.empty()) {
    const std::size_t Comma = Value.find(',');
    if (equalsIgnoreCase(trim(Value.substr(0, Comma)), Token))
      return true;
    if (Comma == std::string_view::npos)
      return false;
    Value.remove_prefix(Comma + 1);
  }
  return false;
}

bool isHopByHop(std::string_view Name, const HeaderList &Headers) {
  for (const std::string_view HopByHopName : HopByHopNames)
    if (equalsIgnoreCase(Name, HopByHopName))
      return true;
  for (const HeaderField &Field : Headers.fields())
    if (equalsIgnoreCase(Field.Name, "connection") &&
        listContains(Field.Value, Name))
      return true;
  return false;
}

std::optional<unsigned> keepAliveSeconds(const HeaderList &Headers) {
  const std::string *Value = Headers.find("keep-alive");
  if (Value == nullptr)
    return std::nullopt;
  constexpr std::string_view TimeoutParameter = "timeout=";
  const std::size_t Position = Value->find(TimeoutParameter);
  if (Position == std::string::npos)
    return std::nullopt;
  unsigned Seconds = 0;
  const char *Begin = Value->data() + Position + TimeoutParameter.size();
  const auto Parsed =
      std::from_chars(Begin, Value->data() + Value->size(), Seconds);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return Seconds;
}

std::string_view reasonPhrase(unsigned Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace mallowglade::http1

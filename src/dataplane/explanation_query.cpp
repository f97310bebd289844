#include <mallowglade/detail/dataplane/explanation.hpp>

#include <mallowglade/detail/core/json_text.hpp>

#include <charconv>
#include <set>

namespace mallowglade::dataplane {

namespace {

constexpr std::string_view ExplainPath = "/explain";
constexpr std::size_t MaxTextBytes = 2'048;
constexpr std::size_t MaxParts = 256;
constexpr double MaxTokens = 1e9;
constexpr int Decimal = 10;
constexpr int Hexadecimal = 16;

std::string_view takeField(std::string_view &Text, char Separator) {
  const std::size_t End = Text.find(Separator);
  const std::string_view Field = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Field;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Number, Base);
  if (Failure != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

std::optional<double> parseTokens(std::string_view Text) {
  const auto Tokens = parseNumber(Text, Decimal);
  if (!Tokens || static_cast<double>(*Tokens) > MaxTokens)
    return std::nullopt;
  return static_cast<double>(*Tokens);
}

/// Decodes percent-encoding; the result has to be printable.
std::optional<std::string> decode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Decoded += Text[Index] == '+' ? ' ' : Text[Index];
      continue;
    }
    const std::string_view Digits = Text.substr(Index + 1, 2);
    const auto Byte = parseNumber(Digits, Hexadecimal);
    if (Digits.size() != 2 || !Byte)
      return std::nullopt;
    Decoded += static_cast<char>(static_cast<unsigned char>(*Byte));
    Index += 2;
  }
  if (Decoded.size() > MaxTextBytes || !detail::isPrintableText(Decoded))
    return std::nullopt;
  return Decoded;
}

std::optional<std::vector<PromptPart>> parseParts(std::string_view Text) {
  std::vector<PromptPart> Parts;
  while (!Text.empty()) {
    std::string_view Tokens = takeField(Text, ',');
    const auto Hash = parseNumber(takeField(Tokens, ':'), Hexadecimal);
    const auto Count = parseTokens(Tokens);
    if (!Hash || !Count || Parts.size() >= MaxParts)
      return std::nullopt;
    Parts.push_back({*Hash, *Count});
  }
  return Parts;
}

/// @return false if the parameter is unknown or its value cannot be read
bool setParameter(ExplanationQuery &Query, std::string_view Name,
                  const std::string &Value) {
  RequestMetadata &Request = Query.Request;
  if (Name == "host") {
    Query.Host = Value;
    return !Value.empty();
  }
  if (Name == "path") {
    Query.Path = Value.substr(0, Value.find('?'));
    return Value.starts_with('/');
  }
  if (Name == "workspace") {
    Query.Workspace = WorkspaceId(Value);
    return !Value.empty();
  }
  if (Name == "parts") {
    auto Parts = parseParts(Value);
    if (Parts)
      Request.Parts = std::move(*Parts);
    return Parts.has_value();
  }
  const bool IsPrompt = Name == "prompt";
  if (!IsPrompt && Name != "output")
    return false;
  const auto Tokens = parseTokens(Value);
  (IsPrompt ? Request.PromptTokens : Request.ExpectedOutputTokens) =
      Tokens.value_or(0);
  return Tokens.has_value();
}

} // namespace

bool isExplanationTarget(std::string_view Target) {
  return takeField(Target, '?') == ExplainPath;
}

Result<ExplanationQuery> parseExplanationQuery(std::string_view Target) {
  takeField(Target, '?');
  ExplanationQuery Query;
  std::set<std::string_view> Seen;
  while (!Target.empty()) {
    std::string_view Encoded = takeField(Target, '&');
    const std::string_view Name = takeField(Encoded, '=');
    const auto Value = decode(Encoded);
    if (!Value || !Seen.insert(Name).second ||
        !setParameter(Query, Name, *Value))
      return Error{ErrorId::InvalidRequest,
                   "a parameter is unknown, repeated or cannot be read",
                   decode(Name).value_or("")};
  }
  for (const char *Required : {"host", "path"})
    if (!Seen.contains(Required))
      return Error{ErrorId::InvalidRequest, "a parameter is missing", Required};
  return Query;
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/settings/bounded_json.hpp>

namespace mallowglade {

namespace {

constexpr std::string_view Whitespace = " \t\r\n";

std::string_view trimmed(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

/// Finds the end of a string literal.
/// @param Begin position of the opening quote
/// @return position after the closing quote, or `npos`
std::size_t endOfString(std::string_view Text, std::size_t Begin) {
  for (std::size_t Index = Begin + 1; Index < Text.size(); ++Index) {
    if (Text[Index] == '\\')
      ++Index;
    else if (Text[Index] == '"')
      return Index + 1;
  }
  return std::string_view::npos;
}

/// Splits the inside of an array or object at its commas.
/// @return nothing if brackets or quotes do not match
std::optional<std::vector<std::string_view>>
splitAtCommas(std::string_view Inside) {
  std::vector<std::string_view> Parts;
  std::string Open;
  std::size_t Begin = 0;
  for (std::size_t Index = 0; Index < Inside.size(); ++Index) {
    const char C = Inside[Index];
    if (C == '"') {
      const std::size_t End = endOfString(Inside, Index);
      if (End == std::string_view::npos)
        return std::nullopt;
      Index = End - 1;
    } else if (C == '[' || C == '{') {
      Open.push_back(C == '[' ? ']' : '}');
    } else if (C == ']' || C == '}') {
      if (Open.empty() || Open.back() != C)
        return std::nullopt;
      Open.pop_back();
    } else if (C == ',' && Open.empty()) {
      Parts.push_back(trimmed(Inside.substr(Begin, Index - Begin)));
      Begin = Index + 1;
    }
  }
  if (!Open.empty())
    return std::nullopt;
  const std::string_view Last = trimmed(Inside.substr(Begin));
  if (!Last.empty() || !Parts.empty())
    Parts.push_back(Last);
  return Parts;
}

/// Removes the brackets of an array or object.
std::optional<std::string_view> insideOf(std::string_view Text, char Opening,
                                         char Closing) {
  const std::string_view Value = trimmed(Text);
  if (Value.size() < 2 || Value.front() != Opening || Value.back() != Closing)
    return std::nullopt;
  return Value.substr(1, Value.size() - 2);
}

} // namespace

std::optional<std::vector<std::string_view>>
listItems(std::string_view Document, std::string_view Key) {
  const auto Members = insideOf(Document, '{', '}');
  if (!Members)
    return std::nullopt;
  const auto Split = splitAtCommas(*Members);
  if (!Split)
    return std::nullopt;
  std::vector<std::string_view> Items;
  for (const std::string_view Member : *Split) {
    if (!Member.starts_with('"'))
      return std::nullopt;
    const std::size_t NameEnd = endOfString(Member, 0);
    const std::string_view Rest = trimmed(Member.substr(NameEnd));
    if (!Rest.starts_with(':'))
      return std::nullopt;
    if (Member.substr(1, NameEnd - 2) != Key)
      continue;
    const auto Inside = insideOf(Rest.substr(1), '[', ']');
    if (!Inside)
      return std::nullopt;
    const auto Found = splitAtCommas(*Inside);
    if (!Found)
      return std::nullopt;
    Items = *Found;
  }
  return Items;
}

bool nestsDeeperThan(std::string_view Text, std::size_t MaxDepth) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char C = Text[Index];
    if (InString) {
      if (C == '\\')
        ++Index;
      else if (C == '"')
        InString = false;
    } else if (C == '"') {
      InString = true;
    } else if (C == '[' || C == '{') {
      if (++Depth > MaxDepth)
        return true;
    } else if ((C == ']' || C == '}') && Depth > 0) {
      --Depth;
    }
  }
  return false;
}

std::optional<nlohmann::json> parseBoundedJson(std::string_view Text,
                                               std::size_t MaxBytes) {
  if (Text.size() > MaxBytes || nestsDeeperThan(Text, MaxJsonDepth))
    return std::nullopt;
  auto Document = nlohmann::json::parse(Text, nullptr, false);
  if (Document.is_discarded())
    return std::nullopt;
  return Document;
}

std::optional<std::string> textMember(const nlohmann::json &Object,
                                      const char *Key) {
  if (!Object.is_object())
    return std::nullopt;
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

} // namespace mallowglade

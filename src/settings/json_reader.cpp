#include <mallowglade/settings.hpp>

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace mallowglade {

namespace {

const nlohmann::json &emptyObject() {
  static const nlohmann::json Empty = nlohmann::json::object();
  return Empty;
}

std::string escapePointer(const std::string &Key) {
  std::string Escaped;
  for (const char C : Key) {
    if (C == '~')
      Escaped += "~0";
    else if (C == '/')
      Escaped += "~1";
    else
      Escaped += C;
  }
  return Escaped;
}

bool isNumericHost(const std::string &Host) {
  if (Host.find('\0') != std::string::npos)
    return false;
  std::array<unsigned char, sizeof(in6_addr)> Buffer{};
  return inet_pton(AF_INET, Host.c_str(), Buffer.data()) == 1 ||
         inet_pton(AF_INET6, Host.c_str(), Buffer.data()) == 1;
}

bool isPort(const std::string &Text) {
  constexpr unsigned MaxPort = 65535;
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Port);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Port > 0 &&
         Port <= MaxPort;
}

std::string formatNumber(double Number) {
  return fmt::format("{:.12g}", Number);
}

} // namespace

bool isNumericAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  return isNumericHost(Host) && isPort(Text.substr(Colon + 1));
}

HostPort splitAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  HostPort Parts;
  if (Colon == std::string::npos)
    return Parts;
  Parts.Host = Text.substr(0, Colon);
  if (Parts.Host.size() > 2 && Parts.Host.front() == '[')
    Parts.Host = Parts.Host.substr(1, Parts.Host.size() - 2);
  std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(),
                  Parts.Port);
  return Parts;
}

Result<nlohmann::json> parseJson(const std::string &Text) {
  try {
    if (nestsDeeperThan(Text, MaxJsonDepth))
      return Error{
          ErrorId::InvalidJson,
          fmt::format("JSON nested more than {} levels deep", MaxJsonDepth),
          ""};
    return nlohmann::json::parse(Text);
  } catch (const nlohmann::json::parse_error &Failure) {
    return Error{ErrorId::InvalidJson,
                 "malformed JSON at byte " + std::to_string(Failure.byte), ""};
  } catch (const nlohmann::json::out_of_range &) {
    return Error{ErrorId::InvalidJson, "a number is too large", ""};
  }
}

JsonReader::JsonReader(const nlohmann::json &Value, std::string Path,
                       std::optional<Error> &FirstError,
                       std::vector<SettingsKey> *Keys)
    : Object(&Value), Path(std::move(Path)), FirstError(&FirstError),
      Keys(Keys) {
  if (Value.is_object())
    return;
  Object = &emptyObject();
  if (!FirstError)
    FirstError = Error{ErrorId::WrongType, "expected an object", this->Path};
}

JsonReader::JsonReader(const nlohmann::json &Value, std::string Path,
                       const JsonReader &Parent, std::string Pattern)
    : JsonReader(Value, std::move(Path), *Parent.FirstError, Parent.Keys) {
  this->Pattern = std::move(Pattern);
}

std::string JsonReader::keyPattern(const std::string &Key) const {
  return Pattern.empty() ? Key : Pattern + "." + Key;
}

void JsonReader::describe(const std::string &Key, std::string Default,
                          std::string Bounds) const {
  if (Keys != nullptr)
    Keys->push_back({keyPattern(Key), std::move(Default), std::move(Bounds)});
}

std::string JsonReader::keyPath(const std::string &Key) const {
  return Path + "/" + escapePointer(Key);
}

void JsonReader::fail(ErrorId Id, const std::string &Key,
                      const std::string &Detail) {
  if (!*FirstError)
    *FirstError = Error{Id, Detail, keyPath(Key)};
}

bool JsonReader::has(const std::string &Key) const {
  return Object->contains(Key);
}

const nlohmann::json *JsonReader::find(const std::string &Key, bool Required) {
  ReadKeys.push_back(Key);
  const auto Found = Object->find(Key);
  if (Found != Object->end())
    return &*Found;
  if (Required)
    fail(ErrorId::MissingKey, Key, "missing required key");
  return nullptr;
}

std::string JsonReader::text(const std::string &Key) {
  describe(Key, "required", "text");
  return readText(Key);
}

std::string JsonReader::readText(const std::string &Key) {
  const nlohmann::json *Value = find(Key, true);
  if (Value == nullptr)
    return {};
  if (Value->is_string())
    return Value->get<std::string>();
  fail(ErrorId::WrongType, Key, "expected a string");
  return {};
}

std::string JsonReader::text(const std::string &Key,
                             const std::string &Default) {
  describe(Key, Default.empty() ? "-" : Default, "text");
  return has(Key) ? readText(Key) : (ReadKeys.push_back(Key), Default);
}

std::int64_t JsonReader::integer(const std::string &Key, std::int64_t Min,
                                 std::int64_t Max) {
  describe(Key, "required", fmt::format("{} to {}", Min, Max));
  return readInteger(Key, Min, Max);
}

std::int64_t JsonReader::readInteger(const std::string &Key, std::int64_t Min,
                                     std::int64_t Max) {
  const nlohmann::json *Value = find(Key, true);
  if (Value == nullptr)
    return Min;
  if (!Value->is_number_integer()) {
    fail(ErrorId::WrongType, Key, "expected an integer");
    return Min;
  }
  const auto Number = numberWithin<std::int64_t>(*Value, Min, Max);
  if (!Number)
    fail(ErrorId::OutOfRange, Key,
         "the value must be from " + std::to_string(Min) + " to " +
             std::to_string(Max));
  return Number.value_or(Min);
}

std::int64_t JsonReader::integer(const std::string &Key, std::int64_t Min,
                                 std::int64_t Max, std::int64_t Default) {
  describe(Key, std::to_string(Default), fmt::format("{} to {}", Min, Max));
  if (has(Key))
    return readInteger(Key, Min, Max);
  ReadKeys.push_back(Key);
  return Default;
}

double JsonReader::number(const std::string &Key, double Min, double Max) {
  describe(Key, "required", formatNumber(Min) + " to " + formatNumber(Max));
  return readNumber(Key, Min, Max);
}

double JsonReader::readNumber(const std::string &Key, double Min, double Max) {
  const nlohmann::json *Value = find(Key, true);
  if (Value == nullptr)
    return Min;
  if (!Value->is_number()) {
    fail(ErrorId::WrongType, Key, "expected a number");
    return Min;
  }
  const auto Number = Value->get<double>();
  if (!(Number >= Min && Number <= Max))
    fail(ErrorId::OutOfRange, Key,
         "the value must be from " + formatNumber(Min) + " to " +
             formatNumber(Max));
  return Number;
}

double JsonReader::number(const std::string &Key, double Min, double Max,
                          double Default) {
  describe(Key, formatNumber(Default),
           formatNumber(Min) + " to " + formatNumber(Max));
  if (has(Key))
    return readNumber(Key, Min, Max);
  ReadKeys.push_back(Key);
  return Default;
}

bool JsonReader::boolean(const std::string &Key, bool Default) {
  describe(Key, Default ? "true" : "false", "true or false");
  const nlohmann::json *Value = find(Key, false);
  if (Value == nullptr)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  fail(ErrorId::WrongType, Key, "expected true or false");
  return Default;
}

std::vector<std::string> JsonReader::textList(const std::string &Key) {
  describe(Key, "-", "list of text");
  return readTextList(Key);
}

std::vector<std::string> JsonReader::readTextList(const std::string &Key) {
  const nlohmann::json *Value = find(Key, false);
  std::vector<std::string> Items;
  if (Value == nullptr)
    return Items;
  const bool AllText =
      Value->is_array() &&
      std::all_of(Value->begin(), Value->end(),
                  [](const nlohmann::json &Item) { return Item.is_string(); });
  if (!AllText) {
    fail(ErrorId::WrongType, Key, "expected a list of strings");
    return Items;
  }
  for (const nlohmann::json &Item : *Value)
    Items.push_back(Item.get<std::string>());
  return Items;
}

std::string JsonReader::address(const std::string &Key) {
  describe(Key, "required", "ip:port");
  return readAddress(Key);
}

std::string JsonReader::address(const std::string &Key,
                                const std::string &FallbackKey,
                                const std::string &Fallback) {
  describe(Key, "as " + FallbackKey, "ip:port");
  return has(Key) ? readAddress(Key) : (ReadKeys.push_back(Key), Fallback);
}

std::string JsonReader::choice(const std::string &Key,
                               const std::vector<std::string> &Allowed) {
  const std::string Names = fmt::format("{}", fmt::join(Allowed, ", "));
  describe(Key, Allowed.front(), "one of " + Names);
  if (!has(Key)) {
    ReadKeys.push_back(Key);
    return Allowed.front();
  }
  std::string Value = readText(Key);
  if (std::find(Allowed.begin(), Allowed.end(), Value) == Allowed.end())
    fail(ErrorId::OutOfRange, Key, "expected one of " + Names);
  return Value;
}

std::string JsonReader::readAddress(const std::string &Key) {
  std::string Text = readText(Key);
  if (!isNumericAddress(Text))
    fail(ErrorId::InvalidAddress, Key,
         "expected a numeric address ip:port, not a host name");
  return Text;
}

std::vector<std::string> JsonReader::addressList(const std::string &Key) {
  describe(Key, "-", "list of ip:port");
  std::vector<std::string> Items = readTextList(Key);
  for (const std::string &Item : Items)
    if (!isNumericAddress(Item))
      fail(ErrorId::InvalidAddress, Key,
           "'" + Item + "' is not a numeric address ip:port");
  return Items;
}

JsonReader JsonReader::object(const std::string &Key) {
  const nlohmann::json *Value = find(Key, false);
  return {Value == nullptr ? emptyObject() : *Value, keyPath(Key), *this,
          keyPattern(Key)};
}

std::vector<JsonReader> JsonReader::objectList(const std::string &Key) {
  const nlohmann::json *Value = find(Key, false);
  std::vector<JsonReader> Items;
  if (Value == nullptr)
    return Items;
  if (!Value->is_array()) {
    fail(ErrorId::WrongType, Key, "expected a list of objects");
    return Items;
  }
  std::size_t Index = 0;
  for (const nlohmann::json &Item : *Value)
    Items.push_back(JsonReader(Item,
                               keyPath(Key) + "/" + std::to_string(Index++),
                               *this, keyPattern(Key) + "[]"));
  return Items;
}

std::vector<std::pair<std::string, JsonReader>>
JsonReader::objectMap(const std::string &Key) {
  const nlohmann::json *Value = find(Key, false);
  std::vector<std::pair<std::string, JsonReader>> Items;
  if (Value == nullptr)
    return Items;
  if (!Value->is_object()) {
    fail(ErrorId::WrongType, Key, "expected an object");
    return Items;
  }
  for (const auto &[Name, Item] : Value->items())
    Items.emplace_back(
        Name, JsonReader(Item, keyPath(Key) + "/" + escapePointer(Name), *this,
                         keyPattern(Key) + ".<name>"));
  return Items;
}

std::vector<std::pair<std::string, double>>
JsonReader::numberMap(const std::string &Key, double Min, double Max) {
  std::vector<std::pair<std::string, double>> Items;
  describe(Key + ".<name>", "required",
           formatNumber(Min) + " to " + formatNumber(Max));
  JsonReader Map = object(Key);
  for (const auto &[Name, Item] : Map.Object->items())
    Items.emplace_back(Name, Map.readNumber(Name, Min, Max));
  return Items;
}

void JsonReader::allow(const std::string &Key) { ReadKeys.push_back(Key); }

void JsonReader::finish() {
  for (const auto &[Key, Value] : Object->items())
    if (std::find(ReadKeys.begin(), ReadKeys.end(), Key) == ReadKeys.end())
      fail(ErrorId::UnknownKey, Key, "unknown key");
}

} // namespace mallowglade

#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mallowglade {

/// Maximum nesting of a JSON document from outside the process. Copying and
/// printing a document recurse once for each level.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Maximum size of a part of the settings.
inline constexpr std::size_t MaxSettingsBytes = 16'777'216;

/// @brief Checks how deeply the arrays and objects of a text are nested,
/// without
///   parsing it.
/// @return true if some value is nested more deeply than `MaxDepth`
bool nestsDeeperThan(std::string_view Text, std::size_t MaxDepth);

/// @brief Parses a JSON document that another process wrote.
/// @param MaxBytes maximum size of the text
/// @return the document; nothing if the text is too long, too deeply nested or
///   not valid JSON
std::optional<nlohmann::json> parseBoundedJson(std::string_view Text,
                                               std::size_t MaxBytes);

/// @brief Splits a list in a JSON document into the texts of its items, so that
///   one that cannot be parsed leaves the others.
/// @param Document text of a JSON object
/// @param Key member of the object that holds the list
/// @return the items, not checked for valid JSON; nothing if brackets and
///   quotes of the document do not match, or the member is no list. A missing
///   member is an empty list.
std::optional<std::vector<std::string_view>>
listItems(std::string_view Document, std::string_view Key);

/// @brief Reads a number that another process wrote.
///
/// A conversion by the JSON library would wrap numbers that do not fit, and
/// take truth values for numbers.
/// @return the number; nothing if the value is no number, has a fraction that
///   `Number` cannot hold, or is not within the bounds
template <class Number>
requires std::integral<Number> || std::floating_point<Number>
    std::optional<Number> numberWithin(const nlohmann::json &Value, Number Min,
                                       Number Max) {
  if constexpr (std::floating_point<Number>) {
    if (!Value.is_number())
      return std::nullopt;
    const auto Read = Value.get<Number>();
    return Read >= Min && Read <= Max ? std::optional(Read) : std::nullopt;
  } else {
    const auto IsWithin = [Min, Max](auto Read) {
      return std::cmp_greater_equal(Read, Min) &&
             std::cmp_less_equal(Read, Max);
    };
    if (Value.is_number_unsigned()) {
      const auto Read = Value.get<std::uint64_t>();
      return IsWithin(Read) ? std::optional(static_cast<Number>(Read))
                            : std::nullopt;
    }
    if (!Value.is_number_integer())
      return std::nullopt;
    const auto Read = Value.get<std::int64_t>();
    return IsWithin(Read) ? std::optional(static_cast<Number>(Read))
                          : std::nullopt;
  }
}

/// @brief Reads a member of an object that another process wrote.
/// @return the number, as `numberWithin` reads it; nothing if it is missing
template <class Number>
std::optional<Number> numberMember(const nlohmann::json &Object,
                                   const char *Key, Number Min, Number Max) {
  if (!Object.is_object())
    return std::nullopt;
  const auto Found = Object.find(Key);
  return Found == Object.end() ? std::nullopt
                               : numberWithin<Number>(*Found, Min, Max);
}

/// @brief Reads a member of an object that another process wrote.
/// @return the text; nothing if it is missing or no text
std::optional<std::string> textMember(const nlohmann::json &Object,
                                      const char *Key);

} // namespace mallowglade

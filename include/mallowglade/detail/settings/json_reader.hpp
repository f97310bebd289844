#pragma once

#include <mallowglade/core.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief Description of a settings key; docs/settings.md lists the same ones.
struct SettingsKey {
  /// Path of the key: members separated by `.`, `<name>` for user-defined
  /// names, `[]` for list elements.
  std::string Pattern;
  /// Default value, `required`, or `-` for none.
  std::string Default;
  /// Bounds of a number, or the type of the value.
  std::string Bounds;
};

/// @brief Reads and validates the members of a JSON object.
///
/// The first error is recorded with the JSON pointer of the offending key.
/// Reading continues after an error; callers discard the values then. `finish`
/// rejects keys that were not read.
class JsonReader {
public:
  /// @brief Reads the root or a nested object.
  /// @param Value JSON value; anything but an object is an error
  /// @param Path JSON pointer of the value
  /// @param FirstError receives the first error
  /// @param Keys receives a description of each key that is read; may be null
  JsonReader(const nlohmann::json &Value, std::string Path,
             std::optional<Error> &FirstError,
             std::vector<SettingsKey> *Keys = nullptr);

  /// @brief Reads a required string.
  std::string text(const std::string &Key);
  /// @brief Reads an optional string.
  std::string text(const std::string &Key, const std::string &Default);
  /// @brief Reads a required integer within bounds.
  std::int64_t integer(const std::string &Key, std::int64_t Min,
                       std::int64_t Max);
  /// @brief Reads an optional integer within bounds.
  std::int64_t integer(const std::string &Key, std::int64_t Min,
                       std::int64_t Max, std::int64_t Default);
  /// @brief Reads an optional number within bounds.
  double number(const std::string &Key, double Min, double Max, double Default);
  /// @brief Reads a required number within bounds.
  double number(const std::string &Key, double Min, double Max);
  /// @brief Reads an optional boolean.
  bool boolean(const std::string &Key, bool Default);
  /// @brief Reads an optional list of strings.
  std::vector<std::string> textList(const std::string &Key);
  /// @brief Reads a required numeric address, `ip:port`.
  std::string address(const std::string &Key);
  /// @brief Reads an optional numeric address, `ip:port`.
  /// @param FallbackKey key whose value is used if `Key` is absent
  /// @param Fallback value of `FallbackKey`
  std::string address(const std::string &Key, const std::string &FallbackKey,
                      const std::string &Fallback);
  /// @brief Reads an optional string out of a fixed set; the first is the
  /// default.
  std::string choice(const std::string &Key,
                     const std::vector<std::string> &Allowed);
  /// @brief Reads an optional list of numeric addresses, `ip:port`.
  std::vector<std::string> addressList(const std::string &Key);
  /// @brief Reads an optional object; if it is absent, reads an empty one.
  JsonReader object(const std::string &Key);
  /// @brief Reads an optional list of objects.
  std::vector<JsonReader> objectList(const std::string &Key);
  /// @brief Reads an optional object that maps user-defined names to objects.
  std::vector<std::pair<std::string, JsonReader>>
  objectMap(const std::string &Key);
  /// @brief Reads an optional object that maps user-defined names to numbers.
  std::vector<std::pair<std::string, double>> numberMap(const std::string &Key,
                                                        double Min, double Max);
  /// @return true if the key is present
  bool has(const std::string &Key) const;
  /// @brief Marks a key as known whose value the caller reads itself.
  void allow(const std::string &Key);
  /// @brief Reports an error for keys that were neither read nor allowed.
  void finish();
  /// @brief Records an error at a key of this object.
  void fail(ErrorId Id, const std::string &Key, const std::string &Detail);
  /// @return JSON pointer of this object
  const std::string &path() const { return Path; }

private:
  JsonReader(const nlohmann::json &Value, std::string Path,
             const JsonReader &Parent, std::string Pattern);
  void describe(const std::string &Key, std::string Default,
                std::string Bounds) const;
  std::string keyPattern(const std::string &Key) const;
  std::string readText(const std::string &Key);
  std::string readAddress(const std::string &Key);
  std::int64_t readInteger(const std::string &Key, std::int64_t Min,
                           std::int64_t Max);
  double readNumber(const std::string &Key, double Min, double Max);
  std::vector<std::string> readTextList(const std::string &Key);
  const nlohmann::json *find(const std::string &Key, bool Required);
  std::string keyPath(const std::string &Key) const;

  const nlohmann::json *Object;
  std::string Path;
  std::optional<Error> *FirstError;
  std::vector<std::string> ReadKeys;
  std::vector<SettingsKey> *Keys;
  std::string Pattern;
};

/// @brief Checks for a numeric address; host names are rejected.
/// @param Text address as `ip:port` or `[ip]:port`
/// @return true if the address is valid
bool isNumericAddress(const std::string &Text);

/// @brief A numeric address split into its parts.
struct HostPort {
  std::string Host;
  std::uint16_t Port = 0;
};

/// @brief Splits a numeric address.
/// @param Text a valid address, `ip:port`
/// @return host and port
HostPort splitAddress(const std::string &Text);

/// @brief Parses JSON text without exceptions.
/// @return the value, or `settings.invalid_json` with the byte offset
Result<nlohmann::json> parseJson(const std::string &Text);

} // namespace mallowglade

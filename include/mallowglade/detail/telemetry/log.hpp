#pragma once

#include <mallowglade/core.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// @brief Form of the log lines.
enum class LogFormat { Text, JsonLines };

/// @brief A named value in a log line.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// @brief Writes structured log lines to standard error; thread-safe.
class Logger {
public:
  /// @param Minimum lines below this level are dropped
  /// @param Format form of the lines
  /// @param Time source of the time stamps
  Logger(LogLevel Minimum, LogFormat Format, const Clock &Time);
  /// @brief Writes one line.
  /// @param Level severity
  /// @param Message constant text that says what happened
  /// @param Fields values, for example the request id
  void write(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields = {}) const;
  /// @brief Writes a line of level Info.
  void info(std::string_view Message,
            std::initializer_list<LogField> Fields = {}) const;
  /// @brief Writes a line of level Warning.
  void warning(std::string_view Message,
               std::initializer_list<LogField> Fields = {}) const;
  /// @brief Writes a line of level Error.
  void error(std::string_view Message,
             std::initializer_list<LogField> Fields = {}) const;

private:
  LogLevel Minimum;
  LogFormat Format;
  const Clock &Time;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace mallowglade {

/// @brief Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// @brief Output format of log lines.
enum class LogFormat { Text, JsonLines };

/// @brief Key-value pair of a structured log line.
struct LogField {
  std::string_view Name;
  std::string Value;
};

/// @brief Writes structured log lines to standard error; thread-safe.
class Logger {
public:
  /// @param MinimumLevel lines below this level are discarded
  /// @param Format output format
  /// @param TimeSource clock for the timestamps; must outlive the
  ///   logger
  Logger(LogLevel MinimumLevel, LogFormat Format, const Clock &TimeSource);
  /// @brief Writes one line.
  /// @param Level severity
  /// @param Message constant text that describes the event
  /// @param Fields values of the event, for example the request id
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
  LogLevel MinimumLevel;
  LogFormat Format;
  const Clock &TimeSource;
};

} // namespace mallowglade

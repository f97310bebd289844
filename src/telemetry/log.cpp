#include <mallowglade/telemetry.hpp>

#include <mallowglade/detail/core/json_text.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>

namespace mallowglade {

namespace {

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

std::string escape(std::string_view Text) {
  std::string Escaped;
  detail::appendJsonText(Escaped, Text);
  return Escaped;
}

std::string formatTimestamp(WallTime Time) {
  const auto Millis =
      std::chrono::duration_cast<Milliseconds>(Time.time_since_epoch());
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Millis);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(static_cast<std::time_t>(Seconds.count())),
                     (Millis - Seconds).count());
}

std::string formatText(std::string_view Timestamp, LogLevel Level,
                       std::string_view Message,
                       std::initializer_list<LogField> Fields) {
  std::string Line =
      fmt::format("{} {:7} {}", Timestamp, levelName(Level), Message);
  for (const LogField &Field : Fields)
    Line += fmt::format(" {}=\"{}\"", Field.Name, escape(Field.Value));
  return Line;
}

std::string formatJson(std::string_view Timestamp, LogLevel Level,
                       std::string_view Message,
                       std::initializer_list<LogField> Fields) {
  std::string Line =
      fmt::format("{{\"time\":\"{}\",\"level\":\"{}\",\"message\":\"{}\"",
                  Timestamp, levelName(Level), escape(Message));
  for (const LogField &Field : Fields)
    Line += fmt::format(",\"{}\":\"{}\"", Field.Name, escape(Field.Value));
  return Line + "}";
}

} // namespace

Logger::Logger(LogLevel MinimumLevel, LogFormat Format, const Clock &TimeSource)
    : MinimumLevel(MinimumLevel), Format(Format), TimeSource(TimeSource) {}

void Logger::write(LogLevel Level, std::string_view Message,
                   std::initializer_list<LogField> Fields) const {
  if (Level < MinimumLevel)
    return;
  const std::string Timestamp = formatTimestamp(TimeSource.wallNow());
  const std::string Line = Format == LogFormat::Text
                               ? formatText(Timestamp, Level, Message, Fields)
                               : formatJson(Timestamp, Level, Message, Fields);
  fmt::print(stderr, "{}\n", Line);
}

void Logger::info(std::string_view Message,
                  std::initializer_list<LogField> Fields) const {
  write(LogLevel::Info, Message, Fields);
}

void Logger::warning(std::string_view Message,
                     std::initializer_list<LogField> Fields) const {
  write(LogLevel::Warning, Message, Fields);
}

void Logger::error(std::string_view Message,
                   std::initializer_list<LogField> Fields) const {
  write(LogLevel::Error, Message, Fields);
}

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mallowglade::dataplane {

/// @brief What upstreams say of themselves in responses and registrations.
enum class Statement { ColdTime, Load, RegisteredColdTime };

/// @return name of the statement in logs
constexpr std::string_view toString(Statement What) {
  switch (What) {
  case Statement::ColdTime:
    return "cold_time";
  case Statement::Load:
    return "load";
  case Statement::RegisteredColdTime:
    return "registered_cold_time";
  }
  return "load";
}

/// @brief Counts statements that cannot be read, and says when to log them.
///
/// Handles upstreams that state a value of another type or out of bounds with
/// each response. Such a statement changes nothing.
class UnreadableStatements {
public:
  /// Time between two log lines on statements of one kind.
  static constexpr Milliseconds LogPeriod{10'000};

  /// @param Added number of statements
  /// @return number of statements since the last line if one is due
  std::optional<std::uint64_t> record(Statement What, std::uint64_t Added,
                                      TimePoint Now) {
    Kind &Of = Kinds[static_cast<std::size_t>(What)];
    Of.Count += Added;
    if (Added == 0 || (Of.Logged > 0 && Now - Of.LoggedAt < LogPeriod))
      return std::nullopt;
    const std::uint64_t New = Of.Count - Of.Logged;
    Of.Logged = Of.Count;
    Of.LoggedAt = Now;
    return New;
  }
  std::uint64_t count(Statement What) const {
    return Kinds[static_cast<std::size_t>(What)].Count;
  }

private:
  struct Kind {
    std::uint64_t Count = 0;
    std::uint64_t Logged = 0;
    TimePoint LoggedAt{};
  };
  std::array<Kind, 3> Kinds{};
};

} // namespace mallowglade::dataplane

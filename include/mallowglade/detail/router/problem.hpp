#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/outcomes.hpp>

#include <optional>
#include <string>

namespace mallowglade {

/// @brief A failure as the caller sees it (RFC 9457).
struct Problem {
  Error Reason;
  Verdict Outcome = Verdict::NotRun;
  RequestId Request;
  /// When to come back; zero if there is no point in it.
  Milliseconds RetryAfter{};
};

/// Status of a request without valid credentials (RFC 9110, 15.5.2).
inline constexpr int UnauthorizedStatus = 401;

/// @brief Chooses the HTTP status of an error.
/// @return status code from 400 to 599
int statusOf(ErrorId Id);

/// @brief Writes a problem document.
/// @return JSON text of type `application/problem+json`
std::string toJson(const Problem &Failure);

/// @brief Reads a problem document of another router.
/// @return the problem, or nothing if the text is not one
std::optional<Problem> parseProblem(const std::string &Json);

/// @brief Rounds a delay up for the `Retry-After` header.
/// @return whole seconds, at least 1
std::int64_t retryAfterSeconds(Milliseconds Delay);

} // namespace mallowglade

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace mallowglade {

/// @brief Stable ids of errors; the text form never changes once released.
enum class ErrorId {
  InvalidJson,
  UnknownKey,
  MissingKey,
  WrongType,
  OutOfRange,
  InvalidReference,
  InvalidAddress,
  NotFound,
  Conflict,
  Unauthenticated,
  Forbidden,
  Unavailable,
  Timeout,
  ConnectFailed,
  ConnectionLost,
  InvalidMessage,
  RateLimited,
  QueueFull,
  QueueTimeout,
  NoCapacity,
  Draining,
  Quarantined,
  TooLarge,
  NotReady,
  ClaimHeld,
  ClaimUnavailable,
  AnswerGone,
  UpstreamFailed,
  UpstreamTimeout,
  Cancelled,
  InvalidRequest,
  Internal,
};

/// @brief An error as a value.
struct Error {
  ErrorId Id = ErrorId::Internal;
  /// Human-readable explanation.
  std::string Detail;
  /// Place of the fault, for example the JSON pointer of a settings key.
  std::string Path;
};

/// @brief Either a value or an error.
template <class T> using Result = std::variant<T, Error>;

/// @brief Value of a result that carries nothing but success.
using Success = std::monostate;

/// @brief Names an error id.
/// @param Id the error id
/// @return the stable text form, for example `settings.unknown_key`
std::string_view toString(ErrorId Id);

/// @brief Formats an error for people.
/// @param Failure the error
/// @return `<id>: <path>: <detail>`, parts that are empty left out
std::string toString(const Error &Failure);

/// @param Outcome a result
/// @return true if the result holds a value
template <class T> bool isOk(const Result<T> &Outcome) {
  return Outcome.index() == 0;
}

/// @param Outcome a result that holds a value
/// @return the value
template <class T> T &valueOf(Result<T> &Outcome) {
  return std::get<0>(Outcome);
}

/// @param Outcome a result that holds a value
/// @return the value
template <class T> const T &valueOf(const Result<T> &Outcome) {
  return std::get<0>(Outcome);
}

/// @param Outcome a result that holds an error
/// @return the error
template <class T> const Error &errorOf(const Result<T> &Outcome) {
  return std::get<1>(Outcome);
}

} // namespace mallowglade

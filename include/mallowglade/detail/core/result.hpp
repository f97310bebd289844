#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace mallowglade {

/// @brief Error ids; the text form of an id never changes once released.
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

/// @brief Error returned as a value.
struct Error {
  ErrorId Id = ErrorId::Internal;
  /// Human-readable explanation.
  std::string Detail;
  /// Location of the error, for example the JSON pointer of a settings key.
  std::string Path;
};

/// @brief Either a value or an error.
template <class T> using Result = std::variant<T, Error>;

/// @brief Value type of a result without a payload.
using Success = std::monostate;

/// @brief Converts an error id to its text form.
/// @param Id the error id
/// @return the stable text form, for example `settings.unknown_key`
std::string_view toString(ErrorId Id);

/// @brief Formats an error as human-readable text.
/// @param Failure the error
/// @return `<id>: <path>: <detail>`; empty parts are omitted
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

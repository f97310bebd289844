#pragma once

#include <string_view>

namespace mallowglade {

/// @brief What is known about the execution of a request.
enum class Verdict {
  /// The upstream sent a complete response.
  Answered,
  /// It is proven that no upstream has run the request; it is safe to retry.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// @brief Converts a verdict to its name in problem documents.
/// @return `answered`, `not_run` or `unknown`
std::string_view toString(Verdict Outcome);

} // namespace mallowglade

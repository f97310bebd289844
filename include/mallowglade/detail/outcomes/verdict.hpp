#pragma once

#include <string_view>

namespace mallowglade {

/// @brief What is known about the run of a request.
enum class Verdict {
  /// The upstream answered completely.
  Answered,
  /// It is proven that no upstream ran the request; it is safe to repeat.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// @brief Names a verdict in problem documents.
/// @return `answered`, `not_run` or `unknown`
std::string_view toString(Verdict Outcome);

} // namespace mallowglade

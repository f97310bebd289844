#pragma once

#include <array>
#include <cstddef>

namespace mallowglade {

/// @brief Reports a fatal signal of the current thread as one JSON line on
///   standard output, before the process ends with that signal.
///
/// The line tells how far below the start of the thread's stack the access
/// was: about the size of the stack after an overflow. The handler runs on a
/// stack of its own, which also works when the thread's stack is used up.
/// Create one at the start of each thread that processes bytes from outside.
class FatalSignalReport {
public:
  /// @param ThreadName name of the thread in the report; a string literal
  explicit FatalSignalReport(const char *ThreadName);
  ~FatalSignalReport();
  FatalSignalReport(const FatalSignalReport &) = delete;
  FatalSignalReport &operator=(const FatalSignalReport &) = delete;

private:
  static constexpr std::size_t HandlerStackBytes = 32'768;
  alignas(16) std::array<std::byte, HandlerStackBytes> HandlerStack{};
};

} // namespace mallowglade

#include <mallowglade/detail/core/fatal_signal.hpp>

#include <csignal>
#include <cstdint>
#include <cstring>
#include <unistd.h>

namespace mallowglade {

namespace {

constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
/// Distance from the start of a stack above which an address is none of it.
constexpr std::uintptr_t MaxStackBytes = 1U << 30U;

thread_local const char *CurrentThreadName = "";
thread_local std::uintptr_t StackStart = 0;

/// A line that is composed without the functions that a signal handler must not
/// call.
class SignalSafeLine {
public:
  void append(const char *Text) {
    const std::size_t Size = std::strlen(Text);
    for (std::size_t Index = 0; Index < Size && Used < Bytes.size(); ++Index)
      Bytes[Used++] = Text[Index];
  }
  void append(std::uintptr_t Number) {
    constexpr std::uintptr_t Base = 10;
    std::array<char, 24> Digits{};
    std::size_t Next = Digits.size() - 1;
    do {
      Digits[--Next] = static_cast<char>('0' + Number % Base);
      Number /= Base;
    } while (Number > 0);
    append(&Digits[Next]);
  }
  void writeTo(int Descriptor) const {
    [[maybe_unused]] const ssize_t Written =
        ::write(Descriptor, Bytes.data(), Used);
  }

private:
  std::array<char, 256> Bytes{};
  std::size_t Used = 0;
};

void reportSignal(int Signal, siginfo_t *Info, void *) {
  const auto Address = reinterpret_cast<std::uintptr_t>(Info->si_addr);
  SignalSafeLine Line;
  Line.append("{\"event\":\"fatal_signal\",\"signal\":");
  Line.append(static_cast<std::uintptr_t>(Signal));
  Line.append(",\"thread\":\"");
  Line.append(CurrentThreadName);
  const bool OnStack = (Signal == SIGSEGV || Signal == SIGBUS) &&
                       Address < StackStart &&
                       StackStart - Address < MaxStackBytes;
  Line.append("\",\"stack_bytes\":");
  Line.append(OnStack ? StackStart - Address : 0);
  Line.append("}\n");
  Line.writeTo(STDOUT_FILENO);
  // The default action was restored when this handler was called.
  ::raise(Signal);
}

} // namespace

FatalSignalReport::FatalSignalReport(const char *ThreadName) {
  CurrentThreadName = ThreadName;
  StackStart = reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
  stack_t Stack{};
  Stack.ss_sp = HandlerStack.data();
  Stack.ss_size = HandlerStack.size();
  ::sigaltstack(&Stack, nullptr);
  struct sigaction Action {};
  Action.sa_sigaction = reportSignal;
  Action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const int Signal : FatalSignals)
    ::sigaction(Signal, &Action, nullptr);
}

FatalSignalReport::~FatalSignalReport() {
  stack_t Stack{};
  Stack.ss_flags = SS_DISABLE;
  ::sigaltstack(&Stack, nullptr);
}

} // namespace mallowglade

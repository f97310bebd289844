#include <fleet.hpp>

#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fleet {

namespace {

constexpr int SignalBase = 128;
constexpr mode_t LogMode = 0644;

class Descriptor {
public:
  explicit Descriptor(int Value) : Value(Value) {}
  ~Descriptor() { close(Value); }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  operator int() const { return Value; }

private:
  int Value;
};

sockaddr_in socketAddress(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Target.sin_addr);
  return Target;
}

std::vector<char *> pointersOf(const std::vector<std::string> &Words) {
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size() + 1);
  for (const std::string &Word : Words)
    Pointers.push_back(const_cast<char *>(Word.c_str()));
  Pointers.push_back(nullptr);
  return Pointers;
}

} // namespace

Process::Process(const std::vector<std::string> &Command,
                 const std::string &LogFile) {
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  const std::vector<char *> Arguments = pointersOf(Command);
  const int Failure = posix_spawn(&Pid, Command.front().c_str(), &Actions,
                                  nullptr, Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failure != 0)
    throw std::runtime_error("cannot start " + Command.front());
}

Process::~Process() { kill(); }

void Process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

void Process::kill() {
  signal(SIGKILL);
  if (Pid > 0)
    waitpid(Pid, &Status, 0);
  Pid = -1;
}

bool Process::ended() {
  if (Pid > 0 && waitpid(Pid, &Status, WNOHANG) == Pid)
    Pid = -1;
  return Pid < 0;
}

int Process::wait(Milliseconds Limit) {
  if (!waitUntil([this] { return ended(); }, Limit))
    return -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status)
                           : SignalBase + WTERMSIG(Status);
}

Milliseconds Process::cpuTime() const {
  std::ifstream File(fmt::format("/proc/{}/stat", Pid));
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  // The fields after the command name: state is the 3rd, utime the 14th.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
  std::string Skipped;
  constexpr int FieldsBeforeUserTime = 11;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  long UserTicks = 0;
  long SystemTicks = 0;
  Fields >> UserTicks >> SystemTicks;
  constexpr long MillisPerSecond = 1000;
  return Milliseconds((UserTicks + SystemTicks) * MillisPerSecond /
                      sysconf(_SC_CLK_TCK));
}

std::string exchangeRaw(const std::string &Address, const std::string &Bytes) {
  const Descriptor Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in Target = socketAddress(Address);
  const timeval Limit{WaitLimit.count() / 1000, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Target),
              sizeof(Target)) != 0)
    return {};
  (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  std::string Received;
  std::array<char, 4096> Buffer{};
  ssize_t Count = 0;
  while ((Count = recv(Socket, Buffer.data(), Buffer.size(), 0)) > 0)
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  return Received;
}

} // namespace fleet

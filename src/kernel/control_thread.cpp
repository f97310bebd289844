#include <mallowglade/kernel.hpp>

#include <mallowglade/detail/core/fatal_signal.hpp>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <pthread.h>
#include <time.h>

namespace mallowglade {

namespace {

/// Runs a task periodically; the pending wait keeps the timer alive.
class PeriodicTask : public std::enable_shared_from_this<PeriodicTask> {
public:
  PeriodicTask(asio::io_context &Context, Milliseconds Period,
               Executor::Task Work)
      : Timer(Context), Period(Period), Work(std::move(Work)) {}

  void schedule() {
    Timer.expires_after(Period);
    Timer.async_wait(
        [Self = shared_from_this()](const asio::error_code &Error) {
          if (Error)
            return;
          Self->Work();
          Self->schedule();
        });
  }

private:
  asio::steady_timer Timer;
  Milliseconds Period;
  Executor::Task Work;
};

} // namespace

ControlThread::ControlThread()
    : Context(1), WorkGuard(asio::make_work_guard(Context)) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::post(Task Work) { asio::post(Context, std::move(Work)); }

void ControlThread::postAfter(Milliseconds Delay, Task Work) {
  auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
  Timer->async_wait(
      [Timer, Work = std::move(Work)](const asio::error_code &Error) {
        if (!Error)
          Work();
      });
}

void ControlThread::postEvery(Milliseconds Period, Task Work) {
  std::make_shared<PeriodicTask>(Context, Period, std::move(Work))->schedule();
}

void ControlThread::start() {
  Thread = std::thread([this] {
    const FatalSignalReport Report("control");
    Context.run();
  });
}

void ControlThread::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

asio::io_context &ControlThread::context() { return Context; }

std::chrono::nanoseconds ControlThread::cpuTime() const {
  clockid_t CpuClock{};
  auto &MutableThread = const_cast<std::thread &>(Thread);
  if (!MutableThread.joinable() ||
      pthread_getcpuclockid(MutableThread.native_handle(), &CpuClock) != 0)
    return {};
  timespec CpuTime{};
  clock_gettime(CpuClock, &CpuTime);
  return std::chrono::seconds(CpuTime.tv_sec) +
         std::chrono::nanoseconds(CpuTime.tv_nsec);
}

} // namespace mallowglade

#include <mallowglade/kernel.hpp>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <pthread.h>
#include <time.h>

namespace mallowglade {

namespace {

/// Keeps a timer alive until its last run.
class PeriodicTask : public std::enable_shared_from_this<PeriodicTask> {
public:
  PeriodicTask(asio::io_context &Context, Milliseconds Period,
               Executor::Task Work)
      : Timer(Context), Period(Period), Work(std::move(Work)) {}

  void schedule() {
    Timer.expires_after(Period);
    Timer.async_wait(
        [Self = shared_from_this()](const asio::error_code &Failure) {
          if (Failure)
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
    : Context(1), Guard(asio::make_work_guard(Context)) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::post(Task Work) { asio::post(Context, std::move(Work)); }

void ControlThread::postAfter(Milliseconds Delay, Task Work) {
  auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
  Timer->async_wait(
      [Timer, Work = std::move(Work)](const asio::error_code &Failure) {
        if (!Failure)
          Work();
      });
}

void ControlThread::postEvery(Milliseconds Period, Task Work) {
  std::make_shared<PeriodicTask>(Context, Period, std::move(Work))->schedule();
}

void ControlThread::start() {
  Thread = std::thread([this] { Context.run(); });
}

void ControlThread::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

asio::io_context &ControlThread::context() { return Context; }

std::chrono::nanoseconds ControlThread::processorTime() const {
  clockid_t Id{};
  auto &Handle = const_cast<std::thread &>(Thread);
  if (!Handle.joinable() ||
      pthread_getcpuclockid(Handle.native_handle(), &Id) != 0)
    return {};
  timespec Used{};
  clock_gettime(Id, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

} // namespace mallowglade

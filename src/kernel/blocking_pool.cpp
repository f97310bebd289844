#include <mallowglade/kernel.hpp>

#include <mallowglade/detail/core/fatal_signal.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace mallowglade {

namespace {

/// Idle threads exit after this time, which frees their memory after a burst.
constexpr Milliseconds IdleThreadTimeout{10'000};

} // namespace

struct BlockingPool::State {
  explicit State(std::size_t Threads) : MaxThreads(Threads) {}

  void runThread() {
    const FatalSignalReport Report("attempt");
    std::unique_lock<std::mutex> Lock(Mutex);
    while (waitForTask(Lock)) {
      const Executor::Task Work = std::move(Tasks.front());
      Tasks.pop_front();
      Lock.unlock();
      Work();
      Lock.lock();
    }
    --ThreadCount;
    StateChanged.notify_all();
  }

  /// Returns false if the thread has to exit.
  bool waitForTask(std::unique_lock<std::mutex> &Lock) {
    ++IdleThreads;
    const auto Ready = [this] { return Stopping || !Tasks.empty(); };
    StateChanged.wait_for(Lock, IdleThreadTimeout, Ready);
    --IdleThreads;
    return !Stopping && !Tasks.empty();
  }

  const std::size_t MaxThreads;
  std::mutex Mutex;
  std::condition_variable StateChanged;
  std::deque<Executor::Task> Tasks;
  std::size_t ThreadCount = 0;
  std::size_t IdleThreads = 0;
  bool Stopping = false;
};

BlockingPool::BlockingPool(std::size_t MaxThreads)
    : Impl(std::make_unique<State>(MaxThreads)) {}

BlockingPool::~BlockingPool() { stop(); }

void BlockingPool::post(Executor::Task Work) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  if (Impl->Stopping)
    return;
  Impl->Tasks.push_back(std::move(Work));
  const bool NeedsThread = Impl->IdleThreads < Impl->Tasks.size();
  if (NeedsThread && Impl->ThreadCount < Impl->MaxThreads) {
    ++Impl->ThreadCount;
    std::thread([Pool = Impl.get()] { Pool->runThread(); }).detach();
  }
  Impl->StateChanged.notify_one();
}

void BlockingPool::stop() {
  std::unique_lock<std::mutex> Lock(Impl->Mutex);
  Impl->Stopping = true;
  Impl->Tasks.clear();
  Impl->StateChanged.notify_all();
  Impl->StateChanged.wait(Lock, [this] { return Impl->ThreadCount == 0; });
}

} // namespace mallowglade

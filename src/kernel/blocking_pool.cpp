#include <mallowglade/kernel.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace mallowglade {

namespace {

/// An idle thread ends after this time, so that a burst does not pin memory.
constexpr Milliseconds IdleThreadLimit{10'000};

} // namespace

struct BlockingPool::State {
  explicit State(std::size_t Threads) : MaxThreads(Threads) {}

  void runThread() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (waitForTask(Lock)) {
      const Executor::Task Work = std::move(Tasks.front());
      Tasks.pop_front();
      Lock.unlock();
      Work();
      Lock.lock();
    }
    --Running;
    Changed.notify_all();
  }

  /// Returns false if the thread has to end.
  bool waitForTask(std::unique_lock<std::mutex> &Lock) {
    ++Idle;
    const auto Ready = [this] { return Stopping || !Tasks.empty(); };
    Changed.wait_for(Lock, IdleThreadLimit, Ready);
    --Idle;
    return !Stopping && !Tasks.empty();
  }

  const std::size_t MaxThreads;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Executor::Task> Tasks;
  std::size_t Running = 0;
  std::size_t Idle = 0;
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
  const bool NeedsThread = Impl->Idle < Impl->Tasks.size();
  if (NeedsThread && Impl->Running < Impl->MaxThreads) {
    ++Impl->Running;
    std::thread([Pool = Impl.get()] { Pool->runThread(); }).detach();
  }
  Impl->Changed.notify_one();
}

void BlockingPool::stop() {
  std::unique_lock<std::mutex> Lock(Impl->Mutex);
  Impl->Stopping = true;
  Impl->Tasks.clear();
  Impl->Changed.notify_all();
  Impl->Changed.wait(Lock, [this] { return Impl->Running == 0; });
}

} // namespace mallowglade

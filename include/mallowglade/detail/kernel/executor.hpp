#pragma once

#include <mallowglade/core.hpp>

#include <functional>
#include <memory>

namespace mallowglade {

/// @brief Runs tasks in order on a single thread, such as the control thread.
class Executor {
public:
  /// @brief A unit of work.
  using Task = std::function<void()>;

  virtual ~Executor() = default;
  /// @brief Queues a task; safe to call from any thread.
  /// @param Work the task
  virtual void post(Task Work) = 0;
  /// @brief Runs a task once after a delay; safe to call from any thread.
  /// @param Delay time before the task runs
  /// @param Work the task
  virtual void postAfter(Milliseconds Delay, Task Work) = 0;
  /// @brief Runs a task periodically until the executor stops.
  /// @param Period time before the first run and between runs
  /// @param Work the task
  virtual void postEvery(Milliseconds Period, Task Work) = 0;
};

/// @brief Thread pool for blocking calls, such as those to the platform.
///
/// Threads are started on demand and exit after an idle timeout.
class BlockingPool {
public:
  /// @param MaxThreads maximum number of threads, at least 1; further tasks are
  ///   queued
  explicit BlockingPool(std::size_t MaxThreads);
  ~BlockingPool();
  BlockingPool(const BlockingPool &) = delete;
  BlockingPool &operator=(const BlockingPool &) = delete;
  /// @brief Queues a task; safe to call from any thread.
  /// @param Work the task; must not throw
  void post(Executor::Task Work);
  /// @brief Discards queued tasks and waits for the running ones.
  void stop();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <functional>
#include <memory>

namespace mallowglade {

/// @brief Runs tasks of one thread in order; the control thread is one.
class Executor {
public:
  /// @brief A unit of work.
  using Task = std::function<void()>;

  virtual ~Executor() = default;
  /// @brief Runs a task soon; safe to call from any thread.
  /// @param Work the task
  virtual void post(Task Work) = 0;
  /// @brief Runs a task once after a delay; safe to call from any thread.
  /// @param Delay time to wait
  /// @param Work the task
  virtual void postAfter(Milliseconds Delay, Task Work) = 0;
  /// @brief Runs a task again and again until the executor stops.
  /// @param Period time between runs
  /// @param Work the task
  virtual void postEvery(Milliseconds Period, Task Work) = 0;
};

/// @brief A thread pool for calls that block, such as those to the platform.
///
/// Threads are started on demand and end when they stay idle.
class BlockingPool {
public:
  /// @param MaxThreads most threads at once, at least 1; further tasks wait
  explicit BlockingPool(std::size_t MaxThreads);
  ~BlockingPool();
  BlockingPool(const BlockingPool &) = delete;
  BlockingPool &operator=(const BlockingPool &) = delete;
  /// @brief Runs a task on one of the threads; safe to call from any thread.
  /// @param Work the task; must not throw
  void post(Executor::Task Work);
  /// @brief Drops waiting tasks and waits for the running ones.
  void stop();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/kernel/executor.hpp>

#include <asio/io_context.hpp>

#include <thread>

namespace mallowglade {

/// @brief Thread that owns all control state and runs an Asio context.
class ControlThread final : public Executor {
public:
  ControlThread();
  ~ControlThread() override;
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  void post(Task Work) override;
  void postAfter(Milliseconds Delay, Task Work) override;
  void postEvery(Milliseconds Period, Task Work) override;

  /// @brief Starts the thread.
  void start();
  /// @brief Stops and joins the thread; pending tasks are discarded.
  void stop();
  /// @return the Asio context, for sockets owned by the control thread
  asio::io_context &context();
  /// @return CPU time consumed by the control thread; zero if it is not running
  std::chrono::nanoseconds cpuTime() const;

private:
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard;
  std::thread Thread;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/kernel/executor.hpp>

#include <asio/io_context.hpp>

#include <thread>

namespace mallowglade {

/// @brief The thread that owns all control state, driven by an Asio context.
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
  /// @brief Stops the thread and waits for it; pending tasks are dropped.
  void stop();
  /// @return the Asio context, for sockets owned by the control thread
  asio::io_context &context();
  /// @return processor time the control thread has used
  std::chrono::nanoseconds processorTime() const;

private:
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  std::thread Thread;
};

} // namespace mallowglade

#pragma once

#include <soak_deployment.hpp>

#include <atomic>
#include <chrono>
#include <thread>

namespace soak {

/// Time within which a router explains a decision or says that it cannot; it
/// may be paused meanwhile.
inline constexpr milliseconds ExplanationBound =
    std::chrono::seconds(1) + LongestPause;
/// Time between questions; several at once would be refused.
inline constexpr milliseconds ExplanationPeriod{150};

/// Asks routers where requests would go now, harmful ones too. What is asked
/// about must not run.
class Operator {
public:
  Operator(const Deployment &Of, Findings &Found) : Of(Of), Found(Found) {}

  void run(const std::atomic<bool> &Stop) {
    for (int Router = 0; !Stop; Router = (Router + 1) % Of.Size.Routers) {
      ask(Router);
      std::this_thread::sleep_for(ExplanationPeriod);
    }
  }

  /// @return status; 0 without an answer
  int ask(int Router) {
    httplib::Client Client("127.0.0.1", Of.metricsPort(Router));
    Client.set_connection_timeout(2 * ExplanationBound);
    Client.set_read_timeout(2 * ExplanationBound);
    const auto Start = std::chrono::steady_clock::now();
    const httplib::Result Answer = Client.Get(
        fmt::format("/explain?host=api.example&path=/stream/x&workspace=desk"
                    "&prompt=160&output=10&parts=a1:100,{}:50,1:10",
                    CrashingPart));
    const auto Took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - Start);
    if (Took > ExplanationBound)
      Found.add(fmt::format("router {}: no explanation for {} ms", Router,
                            Took.count()));
    if (!Answer)
      return 0;
    const bool IsDocument =
        json::parse(Answer->body, nullptr, false).is_object();
    if (Answer->status != 503 && (Answer->status != 200 || !IsDocument))
      Found.add(fmt::format("router {}: explanation with status {}: {:?}",
                            Router, Answer->status, Answer->body));
    Explained += Answer->status == 200 ? 1 : 0;
    return Answer->status;
  }

  std::size_t Explained = 0;

private:
  const Deployment &Of;
  Findings &Found;
};

} // namespace soak

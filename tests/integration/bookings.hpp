#pragma once

#include <fleet.hpp>

#include <atomic>
#include <set>
#include <thread>

namespace fleet {

/// What callers were told and what the services ran, over all keys.
struct BookingReport {
  long Requests = 0;
  long Answered = 0;
  long NotRun = 0;
  long Unknown = 0;
  /// Answers that belong to another key or to a second execution.
  long Wrong = 0;
  /// Keys that ran more than once.
  long DoubleRuns = 0;
  /// Requests that ran, or repeats of a key that had run, although their
  /// caller was told that they did not.
  long FalseNotRun = 0;
};

/// Sends non-idempotent requests and keeps what each key's callers were told.
class Bookings {
public:
  /// @param Routers where the requests go
  /// @param Workspace whose key is used
  Bookings(std::vector<std::string> Routers, std::string Workspace);
  ~Bookings();
  Bookings(const Bookings &) = delete;
  Bookings &operator=(const Bookings &) = delete;

  /// Sends one request and records its outcome.
  /// @return the outcome: `answered`, `not_run`, `unknown`, or `not_sent`
  std::string book(const std::string &Key, std::size_t Router);
  /// Sends a key through all routers at the same moment.
  void bookEverywhere(const std::string &Key);
  /// Starts clients that send a new key each time, every fourth through two
  /// routers at once.
  void start(int Clients, Milliseconds Pause);
  void stop();
  /// Compares what was told with the services' executions.
  BookingReport report(const std::vector<Node *> &Services) const;
  /// Names the keys that break a rule, for error messages.
  std::string faults(const std::vector<Node *> &Services) const;

private:
  struct Told {
    int Answered = 0;
    int NotRun = 0;
    int Unknown = 0;
    bool Wrong = false;
    /// Told `not_run` after another caller of the key had been answered.
    bool NotRunAfterAnswer = false;
    std::vector<std::string> NotRunRequests;
  };
  struct Executions {
    std::map<std::string, int> Keys;
    std::map<std::string, int> Requests;

    int ofKey(const std::string &Key) const;
    bool anyRan(const std::vector<std::string> &Ids) const;
  };

  void runClient(int Number, Milliseconds Pause);
  void record(const std::string &Key, const std::string &Request,
              const std::string &Outcome, bool Wrong, bool AnsweredBefore);
  bool wasAnswered(const std::string &Key) const;
  static bool isFalseNotRun(const Told &Entry, const Executions &Ran);
  static Executions executions(const std::vector<Node *> &Services);

  std::vector<std::string> Routers;
  std::string Workspace;
  mutable std::mutex Mutex;
  std::map<std::string, Told> Keys;
  std::atomic<long> NextRequest{0};
  std::atomic<bool> Stopping{false};
  std::vector<std::jthread> Threads;
};

} // namespace fleet

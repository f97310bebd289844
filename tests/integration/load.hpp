#pragma once

#include <fleet.hpp>

#include <atomic>
#include <thread>

namespace fleet {

/// Clients of one workspace; each sends its next request after an answer.
struct LoadClass {
  std::string Workspace;
  double Share = 1;
  int Clients = 1;
  int MinTokens = 16;
  int MaxTokens = 32;
  /// Pause between an answer and the next request.
  Milliseconds Pause{0};
  /// Indexes of the routers that the clients use in turn.
  std::vector<std::size_t> Routers;
  /// True if the workspace always has more requests than slots.
  bool Backlogged = true;
};

/// What the clients of one workspace have seen.
struct LoadCounters {
  std::atomic<long> Requests{0};
  std::atomic<long> Answered{0};
  std::atomic<long> NotRun{0};
  std::atomic<long> Unknown{0};
  std::atomic<long> Wrong{0};
  std::atomic<long> Tokens{0};
  std::atomic<long> InputTokens{0};
  std::atomic<long> LongestStallMs{0};
  std::mutex Mutex;
  /// Time from the request to its first bytes, in seconds.
  std::vector<double> Waits;
};

/// Service units received per share, sampled at one moment.
using ServiceSample = std::vector<double>;

/// Closed-loop clients against routers; the seed fixes their requests.
class Load {
public:
  Load(std::vector<std::string> Routers, unsigned Seed);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  /// Starts the clients of a class.
  void add(const LoadClass &Added);
  void stop();
  /// Lets the clients end; their open requests count no more.
  void requestStop() { Stopping = true; }
  /// @return service units per share of each backlogged workspace
  ServiceSample sample() const;
  /// Largest waiting time of a share of the requests, in seconds.
  double wait(const std::string &Workspace, double Quantile) const;
  void clearWaits();
  const std::map<std::string, std::unique_ptr<LoadCounters>> &all() const {
    return Counters;
  }
  /// Sum of a counter over all workspaces.
  long sum(std::atomic<long> LoadCounters::*Counter) const;
  /// Largest request sent so far, in service units.
  double largestRequest() const { return Largest; }

private:
  void runClient(const LoadClass &Class, LoadCounters &Seen, unsigned Seed);
  void runRequest(const LoadClass &Class, LoadCounters &Seen, int Tokens,
                  std::size_t Turn, const std::string &Prompt);
  void pause(Milliseconds Time) const;

  std::vector<std::string> Routers;
  unsigned NextSeed;
  std::atomic<bool> Stopping{false};
  std::atomic<double> Largest{0};
  std::map<std::string, double> Shares;
  std::map<std::string, std::unique_ptr<LoadCounters>> Counters;
  std::vector<std::jthread> Threads;
};

/// Largest change of the difference between two workspaces' service per
/// share over any interval of the samples.
double fairnessGap(const std::vector<ServiceSample> &Samples);

/// Text of a streamed answer as the engine produces it.
std::string expectedStream(const std::string &Prompt, int Tokens);

/// Sum of a metric over its label sets; 0 if it is absent.
double metricSum(const std::string &Router, const std::string &Series);

} // namespace fleet

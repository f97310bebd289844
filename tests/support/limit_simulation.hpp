#pragma once

#include <mallowglade/dataplane.hpp>

#include <functional>
#include <optional>
#include <vector>

/// All upstreams end and come back under the same id, cold.
struct ColdReturn {
  std::chrono::milliseconds DownAt{1'500};
  std::chrono::milliseconds BackAt{3'000};
  std::chrono::milliseconds ColdTime{3'000};
  double PerSecond = 7.8;
  mallowglade::dataplane::ColdUpstreamLimits Limits{1.5, 5};
  /// Time from the return until a router reads the new registrations.
  std::function<std::chrono::milliseconds(unsigned Router)> LearnsAfter;
};

/// A fleet of routers whose upstreams have named limits.
struct LimitScenario {
  unsigned Routers = 8;
  unsigned Upstreams = 4;
  /// Limit of each upstream, requests per second.
  double Limit = 4;
  /// Requests per second of all callers.
  double Demand = 100;
  /// Fraction of the callers that use the first router; the others use all
  /// routers alike.
  double OnFirstRouter = 0;
  /// Time that reports take.
  std::chrono::milliseconds ReportDelay{50};
  /// Fraction of the reports that are lost.
  double ReportLoss = 0;
  std::chrono::milliseconds Duration{20'000};
  /// Tells whether a router runs; one that runs again starts from nothing.
  std::function<bool(unsigned Router, std::chrono::milliseconds At)> Runs;
  /// Tells whether a router stands still; it goes on with what it knew. Reports
  /// to it are lost.
  std::function<bool(unsigned Router, std::chrono::milliseconds At)> Freezes;
  /// Tells whether reports pass between two routers.
  std::function<bool(unsigned From, unsigned To, std::chrono::milliseconds At)>
      Reaches;
  /// Limit of all upstreams at a time, instead of `Limit`; 0 for none.
  std::function<double(std::chrono::milliseconds At)> LimitAt;
  std::optional<ColdReturn> Return;
};

/// What the upstreams saw.
struct LimitOutcome {
  /// Most requests that an upstream got in four seconds, from 3 s after the
  /// start.
  double MostInFourSeconds = 0;
  /// Requests of all upstreams a second, from 3 s after the start.
  double PerSecond = 0;
  /// The same in each second from the start.
  std::vector<double> BySecond;
  /// Most requests that an upstream got in a second, and requests of all
  /// upstreams a second, while they were cold.
  double MostInColdSecond = 0;
  double PerColdSecond = 0;
};

/// Simulates the routers' use of limited upstreams without a network. Routers
/// report to each other as those of one availability zone do. Each router has
/// its callers wait up to half a second.
LimitOutcome simulateLimits(const LimitScenario &Scenario, std::uint64_t Seed);

#pragma once

#include <mallowglade/outcomes.hpp>

#include <memory>
#include <vector>

/// Load and faults of a simulated fleet.
struct CrashScenario {
  std::size_t Routers = 8;
  std::size_t Upstreams = 12;
  /// Requests a second.
  double SoundRate = 190;
  double HarmfulRate = 1.5;
  /// Prompt parts that crash upstreams, and the probability that they do.
  std::size_t HarmfulParts = 1;
  double CrashProbability = 1;
  /// Crashes a second that no request causes.
  double BackgroundCrashRate = 0;
  /// Fraction of the upstreams that end at the same time after five seconds.
  double OutageShare = 0;
  /// Fraction of the reports that are lost.
  double ReportLoss = 0.01;
  /// Time after which all routers restart and know what is stored; zero for
  /// never.
  std::chrono::milliseconds RestartAt{0};
  std::chrono::milliseconds Duration{30'000};
};

struct CrashOutcome {
  /// Upstreams that harmful requests have ended.
  std::size_t HarmfulCrashes = 0;
  /// Harmful requests that reached upstreams later than the allowed time after
  /// the fifth crash of their part, for the worst part.
  std::size_t SentTooLate = 0;
  std::size_t QuarantinedHarmful = 0;
  std::size_t QuarantinedSound = 0;
  std::size_t SoundSent = 0;
  /// Sound requests that were broken off, and that were refused.
  std::size_t SoundBrokenOff = 0;
  std::size_t SoundRefused = 0;
};

/// Simulates routers, their reports and upstreams, without a network. Harmful
/// requests share their workspace's part with sound ones, and no two requests
/// are alike.
CrashOutcome simulateCrashes(const CrashScenario &Scenario, std::uint64_t Seed);

#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

/// Counts requests that reach replicas of an evacuated zone too late, and those
/// that reach a cold replica too often.
class ArrivalChecks {
public:
  using Clock = std::chrono::steady_clock;

  /// Time within which an evacuation has to be in force.
  static constexpr std::chrono::milliseconds EvacuationTime{5'000};
  /// Longest time that a request is on its way.
  static constexpr std::chrono::milliseconds Transport{500};
  /// Requests that a cold replica takes in a second beyond `overage` times its
  /// rate.
  static constexpr double ColdOverage = 1.5;
  static constexpr double ColdAllowance = 5;

  void evacuate(const std::string &Zone) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Evacuated.try_emplace(Zone, Clock::now());
  }
  void takeBack(const std::string &Zone) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Evacuated.erase(Zone);
  }
  /// The store is back, or what it had lost is written again.
  void storeReturned() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    StoreReturnedAt = Clock::now();
  }
  void setColdRate(double PerSecond) { ColdRate = PerSecond; }
  /// @return requests that a cold replica takes in a second; 0 if none is cold
  double coldRate() const { return ColdRate; }
  void recordArrival(int Replica, const std::string &Zone,
                     std::optional<Clock::time_point> ColdUntil) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Now = Clock::now();
    if (const auto Found = Evacuated.find(Zone); Found != Evacuated.end())
      Late += Now - std::max(Found->second, StoreReturnedAt) >
                      EvacuationTime + Transport
                  ? 1
                  : 0;
    std::deque<Clock::time_point> &Recent = Arrivals[Replica];
    if (!ColdUntil || Now >= *ColdUntil) {
      Recent.clear();
      return;
    }
    Recent.push_back(Now);
    while (Now - Recent.front() >= std::chrono::seconds(1))
      Recent.pop_front();
    const double Limit = ColdOverage * ColdRate + ColdAllowance;
    TooMany += static_cast<double>(Recent.size()) > Limit ? 1 : 0;
  }
  std::pair<unsigned, unsigned> counts() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return {Late, TooMany};
  }

private:
  std::mutex Mutex;
  std::map<std::string, Clock::time_point> Evacuated;
  Clock::time_point StoreReturnedAt;
  std::map<int, std::deque<Clock::time_point>> Arrivals;
  std::atomic<double> ColdRate{0};
  unsigned Late = 0;
  unsigned TooMany = 0;
};

#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace mallowglade::dataplane {

/// @brief Equal for requests with the same caller, method, target and body.
using RequestPrint = StrongNumber<struct RequestPrintTag, std::uint64_t>;

/// @brief Computes the print of a request.
/// @param Caller workspace of the caller
RequestPrint printOf(std::string_view Caller, std::string_view Method,
                     std::string_view Target, std::string_view Body);

/// @brief How runs of equal requests ended.
struct RunOutcomes {
  /// Runs that ended with a lost connection.
  std::uint32_t Interrupted = 0;
  /// Runs that ended with an answer; counted after an interrupted one.
  std::uint32_t Finished = 0;

  RunOutcomes &operator+=(const RunOutcomes &Other);
};

/// @brief Outcomes by request print.
using CrashTable = std::unordered_map<RequestPrint, RunOutcomes>;

/// @brief Isolates requests that crash each upstream that runs them.
///
/// Load it answers: a caller repeats such a request at any router, and each
/// run takes an upstream away from all others for seconds. Runs that ended
/// with a lost connection are counted by print over the whole fleet; after
/// `MostCrashes` of them without a finished run the request is refused. Equal
/// requests that merely ran beside the cause also finish somewhere.
class CrashHistory {
public:
  /// Interrupted runs after which a request is refused; two may happen to any
  /// request and its repeat on a day with several crashes.
  static constexpr std::uint32_t MostCrashes = 3;
  /// Time since the newest crash for which a print is remembered.
  static constexpr Milliseconds RememberFor{30'000};
  /// Prints that are remembered; the table is part of each report.
  static constexpr std::size_t MostPrints = 64;

  explicit CrashHistory(const Clock &Time) : Time(Time) {}

  /// @brief Notes a run that ended with a lost connection.
  void interrupted(RequestPrint Print);
  /// @brief Notes a run that ended with an answer; interrupted ones have had
  ///   another cause.
  void finished(RequestPrint Print);
  /// @brief Takes the sum of the other routers' tables.
  void setPeers(CrashTable Sum) { Peers = std::move(Sum); }
  /// @return true if the request must not be sent
  bool isolated(RequestPrint Print) const;
  /// @return this router's table, for the other routers
  CrashTable own();

private:
  struct Entry {
    RunOutcomes Runs;
    TimePoint Newest{};
  };
  void forgetOld();

  const Clock &Time;
  std::unordered_map<RequestPrint, Entry> Own;
  CrashTable Peers;
};

} // namespace mallowglade::dataplane

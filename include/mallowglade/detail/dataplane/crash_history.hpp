#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace mallowglade::dataplane {

/// @brief Fingerprint of a request: equal for requests with the same workspace,
///   method, target and body.
using RequestFingerprint =
    StrongNumber<struct RequestFingerprintTag, std::uint64_t>;

/// @brief Computes the fingerprint of a request.
/// @param Caller workspace of the caller
RequestFingerprint requestFingerprint(std::string_view Caller,
                                      std::string_view Method,
                                      std::string_view Target,
                                      std::string_view Body);

/// @brief Outcomes of the attempts of equal requests.
struct RunOutcomes {
  /// Attempts that ended with a lost connection.
  std::uint32_t Interrupted = 0;
  /// Attempts that were answered; counted only for fingerprints that were
  /// interrupted before.
  std::uint32_t Answered = 0;

  RunOutcomes &operator+=(const RunOutcomes &Other);
};

/// @brief Outcomes by request fingerprint.
using CrashTable = std::unordered_map<RequestFingerprint, RunOutcomes>;

/// @brief Detects requests that crash every upstream that executes them.
///
/// A caller may retry such a request through any router, and each attempt makes
/// an upstream unavailable for seconds. Attempts that ended with a lost
/// connection are counted by fingerprint over all routers; after `MaxCrashes`
/// of them without an answered attempt, the request is refused. A request that
/// was only running on an upstream when another one crashed it is answered
/// elsewhere and therefore not refused.
class CrashHistory {
public:
  /// Interrupted attempts after which a request is refused. Two can hit any
  /// request and its retry if several upstreams crash.
  static constexpr std::uint32_t MaxCrashes = 3;
  /// Time for which a fingerprint is kept after its latest outcome.
  static constexpr Milliseconds RetentionTime{30'000};
  /// Limit on tracked fingerprints; the table is part of each report to the
  /// other routers.
  static constexpr std::size_t MaxFingerprints = 64;

  explicit CrashHistory(const Clock &Time) : Time(Time) {}

  /// @brief Records an attempt that ended with a lost connection.
  void recordInterrupted(RequestFingerprint Fingerprint);
  /// @brief Records an attempt that was answered: earlier interruptions had
  ///   another cause.
  void recordAnswered(RequestFingerprint Fingerprint);
  /// @brief Replaces the summed outcomes that the other routers reported.
  void setPeers(CrashTable Sum) { PeerOutcomes = std::move(Sum); }
  /// @return true if the request must be refused
  bool shouldRefuse(RequestFingerprint Fingerprint) const;
  /// @return outcomes that this router recorded, to report to the others
  CrashTable own();

private:
  struct Entry {
    RunOutcomes Outcomes;
    TimePoint UpdatedAt{};
  };
  void evictExpired();

  const Clock &Time;
  std::unordered_map<RequestFingerprint, Entry> OwnEntries;
  CrashTable PeerOutcomes;
};

} // namespace mallowglade::dataplane

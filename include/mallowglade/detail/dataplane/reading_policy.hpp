#pragma once

#include <mallowglade/core.hpp>

#include <cstddef>

namespace mallowglade::dataplane {

/// @brief Decides when a router reads the metadata store itself.
///
/// The first router of each zone, in an order that all agree on, reads it
/// regularly. The others rely on reports that their state is the newest, and
/// read it only when such reports stay out. Two ages are kept: the confirmed
/// one trusts that a report was not delayed, and is used to find changes; the
/// proven one holds even for delayed reports, and is used for credentials.
class ReadingPolicy {
public:
  /// @param Freshness time within which a change has to take effect
  explicit ReadingPolicy(Milliseconds Freshness) : Freshness(Freshness) {}

  /// @brief Notes the start of an own reading that succeeded.
  void readAt(TimePoint Start);
  /// @brief Notes a reading that failed.
  void failedAt(TimePoint At) { FailedAt = At; }
  /// @brief Notes a report that the own state is the newest.
  /// @param Received when the report arrived
  /// @param Age age of the reporter's reading when it sent the report
  void confirmed(TimePoint Received, Milliseconds Age);
  /// @return true if a reader with such a report has read the store later
  ///   than this router
  bool isNewer(TimePoint Received, Milliseconds Age) const {
    return Received - Age > OwnReading;
  }
  /// @brief Notes the time for which a report proves the own state.
  void proven(TimePoint At);
  /// @return true if the store should be read now
  /// @param Rank rank of this router among those of its zone that can read
  bool shouldRead(TimePoint Now, std::size_t Rank) const;
  /// @return time between two readings that follow changes; the first reader
  ///   and a slow answer have to fit into the freshness as well
  Milliseconds spacing() const { return Freshness / ReaderPart; }
  /// @return newest time for which the own state is proven to be current
  TimePoint provenAt() const { return ProvenAt; }
  /// @return start of the newest own reading
  TimePoint ownReading() const { return OwnReading; }

  /// Routers of a zone that read the store regularly.
  static constexpr std::size_t Readers = 1;
  /// Part of the freshness between their readings.
  static constexpr int ReaderPart = 4;

private:
  Milliseconds Freshness;
  TimePoint OwnReading{};
  TimePoint ConfirmedAt{};
  TimePoint ProvenAt{};
  TimePoint FailedAt{};
};

} // namespace mallowglade::dataplane

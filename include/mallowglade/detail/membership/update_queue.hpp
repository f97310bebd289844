#pragma once

#include <mallowglade/detail/membership/member_record.hpp>

#include <map>

namespace mallowglade {

/// @brief Queue of records to piggyback on messages, each a limited number of
///   times.
class UpdateQueue {
public:
  /// @brief Adds a record; replaces a queued record of the same member.
  void add(const MemberRecord &Record);
  /// @brief Returns the records with the fewest transmissions so far and counts
  ///   one more transmission for each.
  /// @param Count maximum number of records
  /// @param MaxTransmissions number of transmissions after which a record
  ///   leaves the queue
  std::vector<MemberRecord> take(std::size_t Count, unsigned MaxTransmissions);
  /// @return number of queued records
  std::size_t size() const { return Entries.size(); }

private:
  struct QueuedRecord {
    MemberRecord Record;
    unsigned Transmissions = 0;
  };
  std::map<RouterId, QueuedRecord> Entries;
};

} // namespace mallowglade

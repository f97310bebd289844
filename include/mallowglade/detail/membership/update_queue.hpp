#pragma once

#include <mallowglade/detail/membership/member_record.hpp>

#include <map>

namespace mallowglade {

/// @brief Records to be piggybacked on messages, each a limited number of
///   times.
class UpdateQueue {
public:
  /// @brief Adds a record; an older one of the same member is replaced.
  void add(const MemberRecord &Record);
  /// @brief Takes the records that were sent least often.
  /// @param Count most records to take
  /// @param MaxSends times a record is sent before it leaves the queue
  std::vector<MemberRecord> take(std::size_t Count, unsigned MaxSends);
  /// @return number of records that still have to be sent
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    MemberRecord Record;
    unsigned Sends = 0;
  };
  std::map<RouterId, Entry> Entries;
};

} // namespace mallowglade

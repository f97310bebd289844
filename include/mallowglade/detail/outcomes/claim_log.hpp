#pragma once

#include <mallowglade/detail/outcomes/claim_record.hpp>
#include <mallowglade/detail/platform/key_value_store.hpp>

#include <deque>
#include <map>
#include <vector>

namespace mallowglade {

/// @brief A transaction of a partition together with its effect in memory.
struct ClaimBatch {
  Transaction Change;
  /// Key of the new segment; empty if the batch contains no records.
  std::string SegmentKey;
  std::vector<ClaimRecord> Records;
  /// Number of the oldest segments that the batch deletes.
  std::size_t ExpiredCount = 0;
  /// Position and number of the segments that the batch merges into one.
  std::size_t MergeFirst = 0;
  std::size_t MergedCount = 0;
};

/// @brief The records of a partition and the segments that hold them.
///
/// Segments expire in the order in which they were written, so a release is
/// never deleted before the claim that it ends. The age of a segment counts
/// from the time at which this router wrote or loaded it, so that clock skew
/// between routers cannot shorten the retention.
class ClaimLog {
public:
  /// @param Partition number of the partition
  /// @param Self this router; writer of new segments
  /// @param Start start time of this router
  ClaimLog(std::uint32_t Partition, RouterId Self, Incarnation Start);
  /// @return key of the partition's head
  std::string headKey() const;
  /// @return prefix of all keys of the partition
  std::string prefix() const;
  /// @brief Replaces the content with the entries of the key-value service.
  /// @param Entries all entries below `prefix()`, in key order
  /// @param NewEpoch epoch of this router's ownership
  /// @return false if a segment is malformed
  bool load(const std::vector<KeyValue> &Entries, Epoch NewEpoch,
            TimePoint Now);
  /// @brief Removes all records and segments from memory.
  void clear();
  /// @return the latest record of a key, or `nullptr`
  const ClaimRecord *find(const ClaimKey &Key) const;
  /// @return true if segments have passed the retention time
  bool hasExpired(TimePoint Now) const;
  /// @brief Builds the next transaction.
  /// @param Records new records
  /// @param HeadRevision revision of the head that proves the ownership
  ClaimBatch prepare(std::vector<ClaimRecord> Records, Revision HeadRevision,
                     TimePoint Now) const;
  /// @brief Applies a committed batch to the records in memory.
  void apply(const ClaimBatch &Batch, TimePoint Now);
  /// @return number of keys in memory
  std::size_t keyCount() const { return EntriesByKey.size(); }
  /// @return number of segments in the key-value service
  std::size_t segmentCount() const { return Segments.size(); }

private:
  struct Segment {
    std::uint64_t Id = 0;
    std::string StoreKey;
    TimePoint RetainedSince;
    bool Mergeable = true;
    std::vector<ClaimKey> Keys;
  };
  struct Entry {
    ClaimRecord Record;
    std::uint64_t SegmentId = 0;
  };

  std::string segmentKey(std::uint64_t Sequence) const;
  void addSegment(const std::string &StoreKey,
                  const std::vector<ClaimRecord> &Records, TimePoint Now);
  void renewRunningClaims(const Segment &Expiring,
                          std::vector<ClaimRecord> &Records) const;
  void prepareMerge(ClaimBatch &Batch) const;
  std::vector<ClaimRecord> liveRecords(std::size_t First,
                                       std::size_t Count) const;
  void applyMerge(std::size_t First, std::size_t Count);
  void dropOldest();

  std::uint32_t Partition;
  RouterId Self;
  Incarnation Start;
  Epoch OwnedEpoch;
  std::uint64_t NextSequence = 1;
  std::uint64_t NextId = 1;
  std::deque<Segment> Segments;
  std::map<ClaimKey, Entry> EntriesByKey;
};

} // namespace mallowglade

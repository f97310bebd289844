#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr std::chrono::hours Retention{1};
/// A record of a request that still runs is written again once per retention
/// time; after a day its holder is taken for lost.
constexpr std::uint32_t MaxRenewals = 24;
/// etcd accepts 128 operations in a transaction by default; merging deletes
/// MergeCount - 1 segments and expiry up to MaxExpired.
constexpr std::size_t MergeCount = 64;
constexpr std::size_t MaxExpired = 48;
/// Larger segments are not merged: MergeCount segments of this size stay below
/// the value limit of one megabyte.
constexpr std::size_t SmallRecords = 32;

} // namespace

ClaimLog::ClaimLog(std::uint32_t Partition, RouterId Self, Incarnation Start)
    : Partition(Partition), Self(std::move(Self)), Start(Start) {}

std::string ClaimLog::prefix() const {
  return "claims/" + std::to_string(Partition) + "/";
}

std::string ClaimLog::headKey() const { return prefix() + "head"; }

std::string ClaimLog::segmentKey(std::uint64_t Sequence) const {
  return prefix() + toHex(Owned.Value) + "/" + toHex(Sequence);
}

bool ClaimLog::load(const std::vector<KeyValue> &Entries, Epoch NewOwned,
                    TimePoint Now) {
  clear();
  Owned = NewOwned;
  for (const KeyValue &Item : Entries) {
    if (Item.Key == headKey())
      continue;
    const std::optional<ClaimSegment> Stored = decodeSegment(Item.Value);
    if (!Stored)
      return false;
    addSegment(Item.Key, Stored->Records, Now);
  }
  return true;
}

void ClaimLog::clear() {
  Segments.clear();
  Table.clear();
  NextSequence = 1;
}

const ClaimRecord *ClaimLog::find(const ClaimKey &Key) const {
  const auto Found = Table.find(Key);
  return Found == Table.end() ? nullptr : &Found->second.Record;
}

bool ClaimLog::hasExpired(TimePoint Now) const {
  return !Segments.empty() && Segments.front().Since + Retention <= Now;
}

ClaimBatch ClaimLog::prepare(std::vector<ClaimRecord> Records,
                             Revision HeadRevision, TimePoint Now) const {
  ClaimBatch Batch;
  Batch.Change.Conditions.push_back({headKey(), HeadRevision});
  while (Batch.Expired < std::min(Segments.size(), MaxExpired) &&
         Segments[Batch.Expired].Since + Retention <= Now) {
    const Segment &Old = Segments[Batch.Expired];
    renewRunning(Old, Records);
    Batch.Change.Deletes.push_back(Old.StoreKey);
    ++Batch.Expired;
  }
  Batch.Records = std::move(Records);
  if (Batch.Records.empty())
    return Batch;
  Batch.SegmentKey = segmentKey(NextSequence);
  // The absent key makes a repeated transaction harmless.
  Batch.Change.Conditions.push_back({Batch.SegmentKey, Revision(0)});
  Batch.Change.Puts.push_back({Batch.SegmentKey,
                               encodeSegment({Self, Start, Batch.Records}),
                               LeaseId(0)});
  prepareMerge(Batch);
  return Batch;
}

void ClaimLog::renewRunning(const Segment &Old,
                            std::vector<ClaimRecord> &Records) const {
  for (const ClaimKey &Key : Old.Keys) {
    const auto Found = Table.find(Key);
    if (Found == Table.end() || Found->second.SegmentId != Old.Id)
      continue;
    ClaimRecord Renewed = Found->second.Record;
    const bool Superseded =
        std::any_of(Records.begin(), Records.end(),
                    [&Key](const ClaimRecord &New) { return New.Key == Key; });
    if (Superseded || Renewed.State != ClaimState::Claimed ||
        Renewed.Renewals >= MaxRenewals)
      continue;
    ++Renewed.Renewals;
    Records.push_back(std::move(Renewed));
  }
}

void ClaimLog::prepareMerge(ClaimBatch &Batch) const {
  if (Batch.Expired > 0)
    return;
  std::size_t Run = 0;
  std::size_t End = 0;
  while (End < Segments.size() && Run < MergeCount) {
    Run = Segments[End].Small ? Run + 1 : 0;
    ++End;
  }
  if (Run < MergeCount)
    return;
  Batch.Merged = MergeCount;
  Batch.MergeFirst = End - MergeCount;
  const auto Records = liveRecords(Batch.MergeFirst, MergeCount);
  Batch.Change.Puts.push_back({Segments[Batch.MergeFirst].StoreKey,
                               encodeSegment({Self, Start, Records}),
                               LeaseId(0)});
  for (std::size_t I = Batch.MergeFirst + 1; I < End; ++I)
    Batch.Change.Deletes.push_back(Segments[I].StoreKey);
}

std::vector<ClaimRecord> ClaimLog::liveRecords(std::size_t First,
                                               std::size_t Count) const {
  std::vector<ClaimRecord> Records;
  for (std::size_t I = First; I < First + Count; ++I)
    for (const ClaimKey &Key : Segments[I].Keys) {
      const auto Found = Table.find(Key);
      if (Found != Table.end() && Found->second.SegmentId == Segments[I].Id)
        Records.push_back(Found->second.Record);
    }
  return Records;
}

void ClaimLog::apply(const ClaimBatch &Batch, TimePoint Now) {
  if (Batch.Merged > 0)
    applyMerge(Batch.MergeFirst, Batch.Merged);
  if (!Batch.SegmentKey.empty()) {
    ++NextSequence;
    addSegment(Batch.SegmentKey, Batch.Records, Now);
  }
  for (std::size_t I = 0; I < Batch.Expired; ++I)
    dropOldest();
}

void ClaimLog::applyMerge(std::size_t First, std::size_t Count) {
  const std::vector<ClaimRecord> Records = liveRecords(First, Count);
  Segment &Target = Segments[First];
  Target.Since = Segments[First + Count - 1].Since;
  Target.Small = false;
  Target.Keys.clear();
  for (const ClaimRecord &Record : Records) {
    Target.Keys.push_back(Record.Key);
    Table[Record.Key].SegmentId = Target.Id;
  }
  const auto Begin = Segments.begin() + static_cast<std::ptrdiff_t>(First);
  Segments.erase(Begin + 1, Begin + static_cast<std::ptrdiff_t>(Count));
}

void ClaimLog::addSegment(const std::string &StoreKey,
                          const std::vector<ClaimRecord> &Records,
                          TimePoint Now) {
  Segment Added;
  Added.Id = NextId++;
  Added.StoreKey = StoreKey;
  Added.Since = Now;
  Added.Small = Records.size() < SmallRecords;
  for (const ClaimRecord &Record : Records) {
    Added.Keys.push_back(Record.Key);
    Table[Record.Key] = {Record, Added.Id};
  }
  Segments.push_back(std::move(Added));
}

void ClaimLog::dropOldest() {
  for (const ClaimKey &Key : Segments.front().Keys) {
    const auto Found = Table.find(Key);
    if (Found != Table.end() && Found->second.SegmentId == Segments.front().Id)
      Table.erase(Found);
  }
  Segments.pop_front();
}

} // namespace mallowglade

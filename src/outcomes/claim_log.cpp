#include <mallowglade/outcomes.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr std::chrono::hours ClaimRetention{1};
/// The claim of a running request is rewritten each time its segment expires.
/// After one day its holder is assumed to be lost.
constexpr std::uint32_t MaxRenewals = 24;
/// etcd accepts 128 operations per transaction by default; a merge deletes
/// SegmentsPerMerge - 1 segments, an expiry up to MaxExpiredSegments.
constexpr std::size_t SegmentsPerMerge = 64;
constexpr std::size_t MaxExpiredSegments = 48;
/// Segments with this many records or more are not merged, so that the result
/// of merging SegmentsPerMerge segments stays below the value limit of 1 MB.
constexpr std::size_t MergeableRecordLimit = 32;

} // namespace

ClaimLog::ClaimLog(std::uint32_t Partition, RouterId Self, Incarnation Start)
    : Partition(Partition), Self(std::move(Self)), Start(Start) {}

std::string ClaimLog::prefix() const {
  return "claims/" + std::to_string(Partition) + "/";
}

std::string ClaimLog::headKey() const { return prefix() + "head"; }

std::string ClaimLog::segmentKey(std::uint64_t Sequence) const {
  return prefix() + toHex(OwnedEpoch.Value) + "/" + toHex(Sequence);
}

bool ClaimLog::load(const std::vector<KeyValue> &Entries, Epoch NewEpoch,
                    TimePoint Now) {
  clear();
  OwnedEpoch = NewEpoch;
  for (const KeyValue &Pair : Entries) {
    if (Pair.Key == headKey())
      continue;
    const std::optional<ClaimSegment> Decoded = decodeSegment(Pair.Value);
    if (!Decoded)
      return false;
    addSegment(Pair.Key, Decoded->Records, Now);
  }
  return true;
}

void ClaimLog::clear() {
  Segments.clear();
  EntriesByKey.clear();
  NextSequence = 1;
}

const ClaimRecord *ClaimLog::find(const ClaimKey &Key) const {
  const auto Found = EntriesByKey.find(Key);
  return Found == EntriesByKey.end() ? nullptr : &Found->second.Record;
}

bool ClaimLog::hasExpired(TimePoint Now) const {
  return !Segments.empty() &&
         Segments.front().RetainedSince + ClaimRetention <= Now;
}

ClaimBatch ClaimLog::prepare(std::vector<ClaimRecord> Records,
                             Revision HeadRevision, TimePoint Now) const {
  ClaimBatch Batch;
  Batch.Change.Conditions.push_back({headKey(), HeadRevision});
  while (Batch.ExpiredCount < std::min(Segments.size(), MaxExpiredSegments) &&
         Segments[Batch.ExpiredCount].RetainedSince + ClaimRetention <= Now) {
    const Segment &Expiring = Segments[Batch.ExpiredCount];
    renewRunningClaims(Expiring, Records);
    Batch.Change.Deletes.push_back(Expiring.StoreKey);
    ++Batch.ExpiredCount;
  }
  Batch.Records = std::move(Records);
  if (Batch.Records.empty())
    return Batch;
  Batch.SegmentKey = segmentKey(NextSequence);
  // Requires that the segment does not exist, so that repeating the transaction
  // is harmless.
  Batch.Change.Conditions.push_back({Batch.SegmentKey, Revision(0)});
  Batch.Change.Puts.push_back({Batch.SegmentKey,
                               encodeSegment({Self, Start, Batch.Records}),
                               LeaseId(0)});
  prepareMerge(Batch);
  return Batch;
}

void ClaimLog::renewRunningClaims(const Segment &Expiring,
                                  std::vector<ClaimRecord> &Records) const {
  for (const ClaimKey &Key : Expiring.Keys) {
    const auto Found = EntriesByKey.find(Key);
    if (Found == EntriesByKey.end() || Found->second.SegmentId != Expiring.Id)
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
  if (Batch.ExpiredCount > 0)
    return;
  std::size_t RunLength = 0;
  std::size_t End = 0;
  while (End < Segments.size() && RunLength < SegmentsPerMerge) {
    RunLength = Segments[End].Mergeable ? RunLength + 1 : 0;
    ++End;
  }
  if (RunLength < SegmentsPerMerge)
    return;
  Batch.MergedCount = SegmentsPerMerge;
  Batch.MergeFirst = End - SegmentsPerMerge;
  const auto Records = liveRecords(Batch.MergeFirst, SegmentsPerMerge);
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
      const auto Found = EntriesByKey.find(Key);
      if (Found != EntriesByKey.end() &&
          Found->second.SegmentId == Segments[I].Id)
        Records.push_back(Found->second.Record);
    }
  return Records;
}

void ClaimLog::apply(const ClaimBatch &Batch, TimePoint Now) {
  if (Batch.MergedCount > 0)
    applyMerge(Batch.MergeFirst, Batch.MergedCount);
  if (!Batch.SegmentKey.empty()) {
    ++NextSequence;
    addSegment(Batch.SegmentKey, Batch.Records, Now);
  }
  for (std::size_t I = 0; I < Batch.ExpiredCount; ++I)
    dropOldest();
}

void ClaimLog::applyMerge(std::size_t First, std::size_t Count) {
  const std::vector<ClaimRecord> Records = liveRecords(First, Count);
  Segment &Target = Segments[First];
  Target.RetainedSince = Segments[First + Count - 1].RetainedSince;
  Target.Mergeable = false;
  Target.Keys.clear();
  for (const ClaimRecord &Record : Records) {
    Target.Keys.push_back(Record.Key);
    EntriesByKey[Record.Key].SegmentId = Target.Id;
  }
  const auto Begin = Segments.begin() + static_cast<std::ptrdiff_t>(First);
  Segments.erase(Begin + 1, Begin + static_cast<std::ptrdiff_t>(Count));
}

void ClaimLog::addSegment(const std::string &StoreKey,
                          const std::vector<ClaimRecord> &Records,
                          TimePoint Now) {
  Segment NewSegment;
  NewSegment.Id = NextId++;
  NewSegment.StoreKey = StoreKey;
  NewSegment.RetainedSince = Now;
  NewSegment.Mergeable = Records.size() < MergeableRecordLimit;
  for (const ClaimRecord &Record : Records) {
    NewSegment.Keys.push_back(Record.Key);
    EntriesByKey[Record.Key] = {Record, NewSegment.Id};
  }
  Segments.push_back(std::move(NewSegment));
}

void ClaimLog::dropOldest() {
  for (const ClaimKey &Key : Segments.front().Keys) {
    const auto Found = EntriesByKey.find(Key);
    if (Found != EntriesByKey.end() &&
        Found->second.SegmentId == Segments.front().Id)
      EntriesByKey.erase(Found);
  }
  Segments.pop_front();
}

} // namespace mallowglade

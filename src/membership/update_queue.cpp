#include <mallowglade/membership.hpp>

#include <algorithm>

namespace mallowglade {

void UpdateQueue::add(const MemberRecord &Record) {
  Entries[Record.Id] = {Record, 0};
}

std::vector<MemberRecord> UpdateQueue::take(std::size_t Count,
                                            unsigned MaxTransmissions) {
  std::vector<QueuedRecord *> Candidates;
  Candidates.reserve(Entries.size());
  for (auto &[Id, Queued] : Entries)
    Candidates.push_back(&Queued);
  const std::size_t TakenCount = std::min(Count, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() +
                        static_cast<std::ptrdiff_t>(TakenCount),
                    Candidates.end(),
                    [](const QueuedRecord *Left, const QueuedRecord *Right) {
                      return Left->Transmissions < Right->Transmissions;
                    });
  std::vector<MemberRecord> Records;
  Records.reserve(TakenCount);
  for (std::size_t I = 0; I < TakenCount; ++I) {
    ++Candidates[I]->Transmissions;
    Records.push_back(Candidates[I]->Record);
  }
  std::erase_if(Entries, [MaxTransmissions](const auto &Item) {
    return Item.second.Transmissions >= MaxTransmissions;
  });
  return Records;
}

} // namespace mallowglade

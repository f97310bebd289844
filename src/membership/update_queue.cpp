#include <mallowglade/membership.hpp>

#include <algorithm>

namespace mallowglade {

void UpdateQueue::add(const MemberRecord &Record) {
  Entries[Record.Id] = {Record, 0};
}

std::vector<MemberRecord> UpdateQueue::take(std::size_t Count,
                                            unsigned MaxSends) {
  std::vector<Entry *> Order;
  Order.reserve(Entries.size());
  for (auto &[Id, Waiting] : Entries)
    Order.push_back(&Waiting);
  const std::size_t Taken = std::min(Count, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Taken),
                    Order.end(), [](const Entry *Left, const Entry *Right) {
                      return Left->Sends < Right->Sends;
                    });
  std::vector<MemberRecord> Records;
  Records.reserve(Taken);
  for (std::size_t I = 0; I < Taken; ++I) {
    ++Order[I]->Sends;
    Records.push_back(Order[I]->Record);
  }
  std::erase_if(Entries, [MaxSends](const auto &Item) {
    return Item.second.Sends >= MaxSends;
  });
  return Records;
}

} // namespace mallowglade

#include <mallowglade/detail/scheduling/fair_queue.hpp>

#include <algorithm>

namespace mallowglade {

WorkspaceEntry &FairQueue::entry(const WorkspaceId &Id) {
  const auto [Found, Added] = Entries.try_emplace(Id);
  if (Added) {
    Found->second.Id = Id;
    Found->second.Index = Entries.size();
  }
  return Found->second;
}

void FairQueue::configure(const std::vector<WorkspaceShare> &Shares) {
  for (const WorkspaceShare &Workspace : Shares) {
    WorkspaceEntry &Entry = entry(Workspace.Id);
    Entry.Weight = Workspace.Weight;
    Entry.Concurrency = Workspace.Concurrency;
    refresh(Entry);
  }
}

void FairQueue::refresh(WorkspaceEntry &Entry) {
  const bool IsBacklogged = Entry.QueuedCount > 0 && Entry.belowLimit();
  if (Entry.Backlogged)
    Order.erase({Entry.OrderKey, &Entry});
  if (IsBacklogged && !Entry.Backlogged)
    Entry.Time.lift(liftLevel());
  Entry.Backlogged = IsBacklogged;
  Entry.OrderKey = Entry.Time.value();
  if (IsBacklogged)
    Order.insert({Entry.OrderKey, &Entry});
}

void FairQueue::charge(WorkspaceEntry &Entry, double Amount, Share Weight,
                       std::uint32_t Lifts) {
  Entry.Time.charge(Amount / Weight.Value, Lifts);
  HighestTime = std::max(HighestTime, Entry.Time.value());
  refresh(Entry);
}

double FairQueue::liftLevel() const {
  return Order.empty() ? HighestTime : Order.begin()->first;
}

double FairQueue::gap() const {
  if (Order.empty())
    return 0;
  double MinTime = Order.begin()->second->deliveredTime();
  double MaxTime = MinTime;
  for (const auto &[Key, Entry] : Order) {
    MinTime = std::min(MinTime, Entry->deliveredTime());
    MaxTime = std::max(MaxTime, Entry->deliveredTime());
  }
  return MaxTime - MinTime;
}

} // namespace mallowglade

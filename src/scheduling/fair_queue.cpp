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

void FairQueue::configure(const std::vector<WorkspaceTerms> &Terms) {
  for (const WorkspaceTerms &Stated : Terms) {
    WorkspaceEntry &Known = entry(Stated.Id);
    Known.Weight = Stated.Weight;
    Known.Concurrency = Stated.Concurrency;
    refresh(Known);
  }
}

void FairQueue::refresh(WorkspaceEntry &Entry) {
  const bool Now = Entry.Remaining > 0 && Entry.belowLimit();
  if (Entry.Backlogged)
    Order.erase({Entry.OrderKey, &Entry});
  if (Now && !Entry.Backlogged)
    Entry.Time.lift(level());
  Entry.Backlogged = Now;
  Entry.OrderKey = Entry.Time.value();
  if (Now)
    Order.insert({Entry.OrderKey, &Entry});
}

void FairQueue::charge(WorkspaceEntry &Entry, double Amount, Share Weight,
                       std::uint32_t Lifts) {
  Entry.Time.charge(Amount / Weight.Value, Lifts);
  Highest = std::max(Highest, Entry.Time.value());
  refresh(Entry);
}

double FairQueue::level() const {
  return Order.empty() ? Highest : Order.begin()->first;
}

double FairQueue::gap() const {
  if (Order.empty())
    return 0;
  double Least = Order.begin()->second->deliveredTime();
  double Most = Least;
  for (const auto &[Key, Entry] : Order) {
    Least = std::min(Least, Entry->deliveredTime());
    Most = std::max(Most, Entry->deliveredTime());
  }
  return Most - Least;
}

} // namespace mallowglade

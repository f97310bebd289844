#include <mallowglade/detail/dataplane/restore_guard.hpp>

namespace mallowglade::dataplane {

namespace {

/// Time for which an upstream that left is remembered; longer than the age of
/// the copies that a store comes back from.
constexpr Milliseconds DepartureMemory{60'000};
/// Time for which a report of another router counts; several report periods.
constexpr Milliseconds ReportLifetime{1'500};

UpstreamKey keyOf(const UpstreamId &Id) {
  return UpstreamKey(stableHash(Id.Value));
}

} // namespace

void RestoreGuard::beginEra(StoreEra Next, TimePoint Now) {
  const bool Restored = Era.Value != 0;
  Era = Next;
  FirstSeen.clear();
  HeldBackElsewhere.clear();
  if (Restored)
    RestoredAt = Now;
}

bool RestoreGuard::heldBack(const UpstreamRecord &Record, TimePoint Now) const {
  const auto First = FirstSeen.find(Record.Id);
  const bool WrittenSince =
      First != FirstSeen.end() && Record.WrittenAt > First->second;
  if (WrittenSince)
    return false;
  const auto Elsewhere = HeldBackElsewhere.find(keyOf(Record.Id));
  if (Elsewhere != HeldBackElsewhere.end() &&
      Now - Elsewhere->second < ReportLifetime)
    return true;
  if (RestoredAt == TimePoint{} || Now - RestoredAt >= HoldTime)
    return false;
  const auto Previous = Upstreams.find(Record.Id);
  return Previous != Upstreams.end() && Previous->second.Departed &&
         Previous->second.Record.BornMs == Record.BornMs;
}

std::vector<UpstreamRecord> RestoreGuard::apply(const FleetState &Read,
                                                TimePoint Now) {
  if (Read.Era > Era)
    beginEra(Read.Era, Now);
  std::vector<UpstreamRecord> Usable;
  std::set<UpstreamId> Listed;
  for (const UpstreamRecord &Record : Read.Upstreams) {
    FirstSeen.emplace(Record.Id, Record.WrittenAt);
    Listed.insert(Record.Id);
    Usable.push_back(Record);
    if (heldBack(Record, Now))
      Usable.back().Ready = false;
  }
  if (RestoredAt != TimePoint{} && Now - RestoredAt < ReturnTime)
    for (const auto &[Id, Previous] : Upstreams)
      if (!Previous.Departed && !Listed.contains(Id) &&
          Previous.Record.WrittenAt.Era < Era)
        Usable.push_back(Previous.Record);
  remember(Usable, Now);
  return Usable;
}

void RestoreGuard::remember(const std::vector<UpstreamRecord> &Current,
                            TimePoint Now) {
  std::set<UpstreamId> Present;
  for (const UpstreamRecord &Record : Current) {
    Present.insert(Record.Id);
    Known &Entry = Upstreams[Record.Id];
    if (!Record.Ready && !Entry.Departed)
      Entry.DepartedAt = Now;
    Entry.Departed = !Record.Ready;
    Entry.Record = Record;
  }
  for (auto &[Id, Entry] : Upstreams)
    if (!Present.contains(Id) && !Entry.Departed) {
      Entry.Departed = true;
      Entry.DepartedAt = Now;
    }
  std::erase_if(Upstreams, [&](const auto &Entry) {
    return Entry.second.Departed && !Present.contains(Entry.first) &&
           Now - Entry.second.DepartedAt > DepartureMemory;
  });
  std::erase_if(FirstSeen, [this](const auto &Entry) {
    return !Upstreams.contains(Entry.first);
  });
}

void RestoreGuard::addDeparted(StoreEra Reported,
                               const std::set<UpstreamKey> &Departed,
                               TimePoint Now) {
  if (Reported != Era)
    return;
  for (const UpstreamKey &Key : Departed)
    HeldBackElsewhere[Key] = Now;
}

std::set<UpstreamKey> RestoreGuard::departed(TimePoint Now) const {
  std::set<UpstreamKey> Keys;
  if (RestoredAt == TimePoint{} || Now - RestoredAt >= HoldTime)
    return Keys;
  for (const auto &[Id, Entry] : Upstreams)
    if (Entry.Departed)
      Keys.insert(keyOf(Id));
  return Keys;
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/upstream_notices.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

constexpr std::chrono::minutes MaxPause{5};
/// Longest random part that is added to a pause, as a divisor of the pause and
/// at least.
constexpr int PauseJitterDivisor = 5;
constexpr Milliseconds MinPauseJitter{100};

} // namespace

UpstreamNotices::Process
UpstreamNotices::processOf(const UpstreamRecord &Upstream) {
  return {Upstream.Id, Upstream.Address, Upstream.BornMs};
}

UpstreamNotices::Notice &
UpstreamNotices::record(const UpstreamRecord &Upstream) {
  const TimePoint Now = Time.now();
  std::erase_if(Notices, [Now](const auto &Entry) {
    return Now - Entry.second.RecordedAt > Retention;
  });
  const Process Key = processOf(Upstream);
  if (Notices.size() >= MaxNotices && !Notices.contains(Key))
    Notices.erase(std::min_element(Notices.begin(), Notices.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.RecordedAt <
                                            Right.second.RecordedAt;
                                   }));
  Notice &Entry = Notices[Key];
  Entry.RecordedAt = Now;
  return Entry;
}

const UpstreamNotices::Notice *
UpstreamNotices::find(const UpstreamRecord &Upstream) const {
  const auto Found = Notices.find(processOf(Upstream));
  return Found == Notices.end() ? nullptr : &Found->second;
}

bool UpstreamNotices::recordLeaving(const UpstreamRecord &Upstream) {
  Notice &Entry = record(Upstream);
  const bool WasKnown = Entry.Leaving;
  Entry.Leaving = true;
  return !WasKnown;
}

void UpstreamNotices::recordPause(const UpstreamRecord &Upstream,
                                  TimePoint Until) {
  Notice &Entry = record(Upstream);
  Entry.PausedUntil = std::max(Entry.PausedUntil, Until);
}

bool UpstreamNotices::isLeaving(const UpstreamRecord &Upstream) const {
  const Notice *Entry = find(Upstream);
  return Entry != nullptr && Entry->Leaving;
}

TimePoint UpstreamNotices::pausedUntil(const UpstreamRecord &Upstream) const {
  const Notice *Entry = find(Upstream);
  return Entry == nullptr ? TimePoint{} : Entry->PausedUntil;
}

Milliseconds pauseFor(Milliseconds Asked, RandomSource &Random) {
  const Milliseconds Pause = std::min<Milliseconds>(Asked, MaxPause);
  const Milliseconds Jitter =
      std::max(MinPauseJitter, Pause / PauseJitterDivisor);
  return Pause + Milliseconds(Random.below(
                     static_cast<std::uint64_t>(Jitter.count()) + 1));
}

} // namespace mallowglade::dataplane

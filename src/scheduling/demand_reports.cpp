#include <mallowglade/detail/scheduling/demand_book.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Requests announced per workspace; more than one replica may be free.
constexpr std::size_t AnnouncedItems = 8;
constexpr Milliseconds FullPeriod{1'000};
constexpr Milliseconds IdleFullPeriod{5'000};
constexpr Milliseconds UnansweredFullPeriod{100};
/// Groups the changes of a burst into one report.
constexpr Milliseconds DeltaPeriod{5};
/// Keeps grants fresh while requests wait; below a quarter of a grant's life.
constexpr Milliseconds RefreshPeriod{400};
constexpr Milliseconds ProgressPeriod{250};
/// Progress repeats a new grant for this time, in case the report that
/// confirmed it was lost.
constexpr Milliseconds ConfirmSpan{1'000};
/// Token times of a running stream; the in-flight limits need them.
constexpr Milliseconds SamplePeriod{2'000};
constexpr Milliseconds SentRetention{4'000};
/// Full reports repeat a completion for this time, in case it was lost.
constexpr Milliseconds CompletionRepeat{3'500};
/// Progress repeats it sooner, two or three times.
constexpr Milliseconds QuickRepeat{700};
/// A repeated grant that arrives later than this is not expected.
constexpr Milliseconds EndedRetention{30'000};

} // namespace

bool DemandBook::fullDue(TimePoint Now) const {
  if (!LastFull)
    return true;
  const Milliseconds Since =
      std::chrono::duration_cast<Milliseconds>(Now - *LastFull);
  if (!Answered)
    return Since >= UnansweredFullPeriod;
  const bool RecentEnd =
      !Ended.empty() && Now - Ended.back().At < CompletionRepeat;
  const bool Idle = Where.empty() && Held.empty() && !RecentEnd;
  return Since >= (Idle ? IdleFullPeriod : FullPeriod);
}

bool DemandBook::deltaDue(TimePoint Now) const {
  const auto Since = Now - *LastReport;
  const bool News = !Changed.empty() || !Accepted.empty();
  if (News && Since >= DeltaPeriod)
    return true;
  return !Where.empty() && Since >= RefreshPeriod;
}

WorkspaceDemand DemandBook::demandOf(const WorkspaceId &Id,
                                     const WorkspaceBook &Book, TimePoint Now,
                                     bool Full) const {
  WorkspaceDemand Wanted;
  Wanted.Workspace = Id;
  Wanted.Queued = static_cast<std::uint32_t>(Book.Queue.size());
  Wanted.Arrivals = Book.Arrivals;
  Wanted.Served = ServiceUnits(Book.Served);
  Wanted.Lag = Full ? Book.Lag : 0;
  for (const auto &[Key, Entry] : Book.Queue) {
    if (Wanted.Next.size() == AnnouncedItems)
      break;
    const BookRequest &Request = Entry.Request;
    Wanted.Next.push_back(
        {Key, std::chrono::duration_cast<Milliseconds>(Now - Entry.Since),
         Request.Hint, Request.Print, Request.PrefixHash, Request.Avoid});
  }
  return Wanted;
}

void DemandBook::fillFull(DemandReport &Report, TimePoint Now) {
  for (const auto &[Id, Book] : Books) {
    const bool Recent =
        Book.FractionAt && Now - *Book.FractionAt < FullPeriod * 3;
    if (!Book.Queue.empty() || Recent || Changed.contains(Id))
      Report.Workspaces.push_back(demandOf(Id, Book, Now, true));
  }
  for (const auto &[Id, Entry] : Held)
    Report.Held.push_back(
        {Id, Entry.Workspace, Entry.Upstream, Entry.State.Served, Entry.Print});
  for (const EndedGrant &Entry : Ended)
    if (Now - Entry.At < CompletionRepeat)
      Report.Ended.push_back(Entry.Done);
}

void DemandBook::forgetOld(TimePoint Now) {
  while (!Sent.empty() && Now - Sent.front().second >= SentRetention)
    Sent.pop_front();
  while (!Ended.empty() && Now - Ended.front().At >= EndedRetention) {
    EndedIds.erase(Ended.front().Done.Grant);
    Ended.pop_front();
  }
}

std::optional<DemandReport> DemandBook::report(TimePoint Now) {
  const bool Full = fullDue(Now);
  if (!Full && !deltaDue(Now))
    return std::nullopt;
  forgetOld(Now);
  DemandReport Report;
  Report.Cell = Cell;
  Report.Session = Session;
  Report.Sequence = ++Sequence;
  Report.Full = Full;
  Report.Accepted = std::move(Accepted);
  if (Full)
    fillFull(Report, Now);
  else
    for (const WorkspaceId &Id : Changed)
      Report.Workspaces.push_back(demandOf(Id, Books[Id], Now, false));
  Accepted.clear();
  Changed.clear();
  Sent.emplace_back(Sequence, Now);
  LastReport = Now;
  if (Full)
    LastFull = Now;
  return Report;
}

bool DemandBook::hasNews(const Running &Entry, TimePoint Now) {
  const bool New = Now - Entry.Started < ConfirmSpan;
  const bool Undercharged = Entry.State.Served > Entry.Charge;
  return New || Undercharged || !Entry.ToldAt ||
         Now - *Entry.ToldAt >= SamplePeriod;
}

std::optional<Progress> DemandBook::progressReport(TimePoint Now) {
  if (LastProgress && Now - *LastProgress < ProgressPeriod)
    return std::nullopt;
  LastProgress = Now;
  Progress Update{Cell, Session, Sequence, {}, {}};
  for (auto &[Id, Entry] : Held) {
    if (!hasNews(Entry, Now))
      continue;
    Entry.ToldAt = Now;
    if (Entry.State.Served > Entry.Charge)
      Entry.Charge = chargeAhead(Entry.State.Served);
    Update.Grants.push_back(Entry.State);
  }
  for (auto Entry = Ended.rbegin(); Entry != Ended.rend(); ++Entry) {
    if (Now - Entry->At >= QuickRepeat)
      break;
    Update.Ended.push_back(Entry->Done);
  }
  if (Update.Grants.empty() && Update.Ended.empty())
    return std::nullopt;
  return Update;
}

} // namespace mallowglade

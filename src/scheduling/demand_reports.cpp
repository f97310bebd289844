#include <mallowglade/detail/scheduling/demand_queue.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Requests announced per workspace, because several slots may be free.
constexpr std::size_t AnnouncedItems = 8;
constexpr Milliseconds FullPeriod{1'000};
constexpr Milliseconds IdleFullPeriod{5'000};
constexpr Milliseconds UnansweredFullPeriod{100};
/// Batches the changes of a burst into one report.
constexpr Milliseconds DeltaPeriod{5};
/// Reports are refreshed while requests wait, so that new grants refer to a
/// recent one; less than a quarter of the grant lifetime.
constexpr Milliseconds RefreshPeriod{400};
constexpr Milliseconds ProgressPeriod{250};
/// Progress messages include each new grant for this time, in case the report
/// that confirmed it was lost.
constexpr Milliseconds ConfirmRepeat{1'000};
/// Running grants are reported at least this often, because the in-flight
/// limits need their token times.
constexpr Milliseconds SamplePeriod{2'000};
constexpr Milliseconds SentRetention{4'000};
/// Full reports repeat a completion for this time, in case it was lost.
constexpr Milliseconds FullCompletionRepeat{3'500};
/// Progress messages repeat a completion for this time: two or three times.
constexpr Milliseconds ProgressCompletionRepeat{700};
/// Ended grants are remembered for this time, to recognise duplicate grants;
/// none is expected to arrive later.
constexpr Milliseconds EndedRetention{30'000};

} // namespace

bool DemandQueue::fullReportDue(TimePoint Now) const {
  if (!LastFull)
    return true;
  const Milliseconds Since =
      std::chrono::duration_cast<Milliseconds>(Now - *LastFull);
  if (!OwnerResponded)
    return Since >= UnansweredFullPeriod;
  const bool RecentEnd =
      !EndedGrants.empty() &&
      Now - EndedGrants.back().EndedAt < FullCompletionRepeat;
  const bool Idle =
      QueuePositions.empty() && RunningGrants.empty() && !RecentEnd;
  return Since >= (Idle ? IdleFullPeriod : FullPeriod);
}

bool DemandQueue::deltaReportDue(TimePoint Now) const {
  const auto Since = Now - *LastReport;
  const bool HasChanges = !ChangedWorkspaces.empty() || !AcceptedGrants.empty();
  if (HasChanges && Since >= DeltaPeriod)
    return true;
  return !QueuePositions.empty() && Since >= RefreshPeriod;
}

WorkspaceDemand DemandQueue::workspaceDemand(const WorkspaceId &Id,
                                             const WorkspaceQueue &Workspace,
                                             TimePoint Now, bool Full) const {
  WorkspaceDemand Demand;
  Demand.Workspace = Id;
  Demand.Queued = static_cast<std::uint32_t>(Workspace.Queue.size());
  Demand.Arrivals = Workspace.Arrivals;
  Demand.Served = ServiceUnits(Workspace.Served);
  Demand.Lag = Full ? Workspace.Lag : 0;
  for (const auto &[Key, Entry] : Workspace.Queue) {
    if (Demand.OldestRequests.size() == AnnouncedItems)
      break;
    const QueueRequest &Request = Entry.Request;
    Demand.OldestRequests.push_back(
        {Key, std::chrono::duration_cast<Milliseconds>(Now - Entry.QueuedAt),
         Request.Hint, Request.RequestFingerprint, Request.PrefixHash,
         Request.Avoid});
  }
  return Demand;
}

void DemandQueue::addFullState(DemandReport &Report, TimePoint Now) {
  for (const auto &[Id, Workspace] : Workspaces) {
    const bool Recent = Workspace.FractionUpdated &&
                        Now - *Workspace.FractionUpdated < FullPeriod * 3;
    if (!Workspace.Queue.empty() || Recent || ChangedWorkspaces.contains(Id))
      Report.Workspaces.push_back(workspaceDemand(Id, Workspace, Now, true));
  }
  for (const auto &[Id, Entry] : RunningGrants)
    Report.Held.push_back({Id, Entry.Workspace, Entry.Upstream,
                           Entry.State.Served, Entry.RequestFingerprint});
  for (const EndedGrant &Entry : EndedGrants)
    if (Now - Entry.EndedAt < FullCompletionRepeat)
      Report.Ended.push_back(Entry.Done);
}

void DemandQueue::pruneHistory(TimePoint Now) {
  while (!SentReports.empty() &&
         Now - SentReports.front().second >= SentRetention)
    SentReports.pop_front();
  while (!EndedGrants.empty() &&
         Now - EndedGrants.front().EndedAt >= EndedRetention) {
    EndedIds.erase(EndedGrants.front().Done.Grant);
    EndedGrants.pop_front();
  }
}

std::optional<DemandReport> DemandQueue::report(TimePoint Now) {
  const bool Full = fullReportDue(Now);
  if (!Full && !deltaReportDue(Now))
    return std::nullopt;
  pruneHistory(Now);
  DemandReport Report;
  Report.Cell = Cell;
  Report.Session = Session;
  Report.Sequence = ++Sequence;
  Report.Full = Full;
  Report.Accepted = std::move(AcceptedGrants);
  if (Full)
    addFullState(Report, Now);
  else
    for (const WorkspaceId &Id : ChangedWorkspaces)
      Report.Workspaces.push_back(
          workspaceDemand(Id, Workspaces[Id], Now, false));
  AcceptedGrants.clear();
  ChangedWorkspaces.clear();
  SentReports.emplace_back(Sequence, Now);
  LastReport = Now;
  if (Full)
    LastFull = Now;
  return Report;
}

bool DemandQueue::progressDue(const RunningGrant &Entry, TimePoint Now) {
  const bool Recent = Now - Entry.StartedAt < ConfirmRepeat;
  const bool Undercharged = Entry.State.Served > Entry.Charge;
  return Recent || Undercharged || !Entry.ReportedAt ||
         Now - *Entry.ReportedAt >= SamplePeriod;
}

std::optional<Progress> DemandQueue::progressReport(TimePoint Now) {
  if (LastProgress && Now - *LastProgress < ProgressPeriod)
    return std::nullopt;
  LastProgress = Now;
  Progress Update{Cell, Session, Sequence, {}, {}};
  for (auto &[Id, Entry] : RunningGrants) {
    if (!progressDue(Entry, Now))
      continue;
    Entry.ReportedAt = Now;
    if (Entry.State.Served > Entry.Charge)
      Entry.Charge = chargeAhead(Entry.State.Served);
    Update.Grants.push_back(Entry.State);
  }
  for (auto Entry = EndedGrants.rbegin(); Entry != EndedGrants.rend();
       ++Entry) {
    if (Now - Entry->EndedAt >= ProgressCompletionRepeat)
      break;
    Update.Ended.push_back(Entry->Done);
  }
  if (Update.Grants.empty() && Update.Ended.empty())
    return std::nullopt;
  return Update;
}

} // namespace mallowglade

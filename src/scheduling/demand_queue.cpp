#include <mallowglade/detail/scheduling/demand_queue.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade {

namespace {

/// Allotments are sent every second; two may be lost in a row.
constexpr Milliseconds AllotmentLifetime{3'000};
constexpr Milliseconds GrantLifetime{2'000};
constexpr Milliseconds QueueRetryAfter{1'000};
/// A bucket holds one second of the allotted rate.
constexpr double BurstSeconds = 1;

} // namespace

DemandQueue::DemandQueue(CellId Cell, Epoch First)
    : Cell(std::move(Cell)), Session(First) {}

void DemandQueue::configure(const std::vector<QueueLimits> &Updated,
                            std::size_t RegisteredRouters) {
  LimitsById.clear();
  for (const QueueLimits &Entry : Updated)
    LimitsById[Entry.Id] = Entry;
  RegisteredCount = std::max<std::size_t>(1, RegisteredRouters);
}

void DemandQueue::beginSession() {
  Session += Epoch(1);
  OwnerResponded = false;
  LastFull.reset();
}

double DemandQueue::allottedFraction(const WorkspaceQueue &Workspace,
                                     TimePoint Now) const {
  if (Workspace.FractionUpdated &&
      Now - *Workspace.FractionUpdated < AllotmentLifetime)
    return Workspace.Fraction;
  return 1.0 / static_cast<double>(RegisteredCount);
}

std::optional<RefusedRequest>
DemandQueue::checkLimits(WorkspaceQueue &Workspace, const QueueRequest &Request,
                         TimePoint Now) {
  const auto Found = LimitsById.find(Request.Workspace);
  if (Found == LimitsById.end())
    return std::nullopt;
  const QueueLimits &Limits = Found->second;
  const double Fraction = allottedFraction(Workspace, Now);
  const double Rate = Limits.RequestsPerSecond * Fraction;
  const double UnitRate = Limits.UnitsPerSecond * Fraction;
  Workspace.RequestBucket.refill(Rate, std::max(1.0, Rate * BurstSeconds), Now);
  Workspace.UnitBucket.refill(UnitRate, std::max(1.0, UnitRate * BurstSeconds),
                              Now);
  const double MaxQueued =
      std::max(1.0, std::floor(Limits.QueueLength * Fraction));
  if (Limits.QueueLength > 0 && Workspace.Queue.size() >= MaxQueued)
    return RefusedRequest{
        Request.Id,
        {ErrorId::QueueFull, "the workspace's queue is full", ""},
        QueueRetryAfter};
  if (Rate > 0 && Workspace.RequestBucket.level() < 1)
    return RefusedRequest{
        Request.Id,
        {ErrorId::RateLimited, "the workspace's request rate is used up", ""},
        Workspace.RequestBucket.timeUntilAvailable(1, Rate)};
  if (UnitRate > 0 && Workspace.UnitBucket.level() <= 0)
    return RefusedRequest{
        Request.Id,
        {ErrorId::RateLimited, "the workspace's service rate is used up", ""},
        Workspace.UnitBucket.timeUntilAvailable(1, UnitRate)};
  Workspace.RequestBucket.take(1);
  Workspace.UnitBucket.take(Request.Hint.Value);
  return std::nullopt;
}

std::optional<RefusedRequest> DemandQueue::enqueue(QueueRequest Request,
                                                   TimePoint Now) {
  WorkspaceQueue &Workspace = Workspaces[Request.Workspace];
  if (!Request.Retry) {
    ++Workspace.Arrivals;
    if (auto Refused = checkLimits(Workspace, Request, Now))
      return Refused;
  }
  const Ticket Id = NextTicket;
  NextTicket += Ticket(1);
  QueuePositions[Request.Id] = {Request.Workspace, Id};
  ChangedWorkspaces.insert(Request.Workspace);
  Workspace.Queue.emplace(Id, QueuedRequest{std::move(Request), Now});
  return std::nullopt;
}

bool DemandQueue::cancel(const RequestId &Request) {
  const auto Found = QueuePositions.find(Request);
  if (Found == QueuePositions.end())
    return false;
  const auto &[Workspace, Id] = Found->second;
  Workspaces[Workspace].Queue.erase(Id);
  ChangedWorkspaces.insert(Workspace);
  QueuePositions.erase(Found);
  return true;
}

bool DemandQueue::isFresh(std::uint64_t ReportSequence, TimePoint Now) const {
  const auto Found = std::lower_bound(
      SentReports.begin(), SentReports.end(), ReportSequence,
      [](const auto &Entry, std::uint64_t Key) { return Entry.first < Key; });
  return Found != SentReports.end() && Found->first == ReportSequence &&
         Now - Found->second < GrantLifetime;
}

GrantOutcome DemandQueue::receive(const Grant &Offer, TimePoint Now) {
  if (RunningGrants.contains(Offer.Id) || EndedIds.contains(Offer.Id))
    return std::monostate{};
  if (Offer.Session != Session)
    return GrantReturn{Cell, Offer.Id, ReturnReason::SessionMismatch};
  OwnerResponded = true;
  if (!isFresh(Offer.ReportSequence, Now))
    return GrantReturn{Cell, Offer.Id, ReturnReason::Expired};
  WorkspaceQueue &Workspace = Workspaces[Offer.Workspace];
  if (!Workspace.Queue.contains(Offer.Request))
    return GrantReturn{Cell, Offer.Id, ReturnReason::RequestNotQueued};
  return accept(Offer, Workspace, Now);
}

GrantOutcome DemandQueue::accept(const Grant &Offer, WorkspaceQueue &Workspace,
                                 TimePoint Now) {
  const auto Found = Workspace.Queue.find(Offer.Request);
  const QueueRequest &Request = Found->second.Request;
  RunningGrant Run;
  Run.Workspace = Offer.Workspace;
  Run.Upstream = Offer.Upstream;
  Run.RequestFingerprint = Request.RequestFingerprint;
  Run.Hint = Request.Hint.Value;
  Run.Charge = Offer.Charge;
  Run.StartedAt = Now;
  Run.State.Grant = Offer.Id;
  RunningGrants.emplace(Offer.Id, Run);
  AcceptedGrants.push_back(Offer.Id);
  ChangedWorkspaces.insert(Offer.Workspace);
  const RequestId Id = Request.Id;
  QueuePositions.erase(Id);
  Workspace.Queue.erase(Found);
  return DispatchedRequest{Id, Offer.Id, Offer.Upstream, Offer.Address};
}

void DemandQueue::receive(const Allotment &Update, TimePoint Now) {
  if (Update.Session == Epoch(0)) {
    OwnerResponded = false;
    return;
  }
  if (Update.Session != Session)
    return;
  OwnerResponded = true;
  for (const WorkspaceAllotment &Entry : Update.Workspaces) {
    WorkspaceQueue &Workspace = Workspaces[Entry.Workspace];
    Workspace.Fraction = Entry.Fraction;
    Workspace.FractionUpdated = Now;
    Workspace.Lag = Entry.Lag;
  }
}

void DemandQueue::addService(RunningGrant &Entry, double Served) {
  const double Added = Served - Entry.State.Served.Value;
  if (Added <= 0)
    return;
  Entry.State.Served = ServiceUnits(Served);
  Workspaces[Entry.Workspace].Served += Added;
}

void DemandQueue::progress(const GrantProgress &State) {
  const auto Found = RunningGrants.find(State.Grant);
  if (Found == RunningGrants.end())
    return;
  addService(Found->second, State.Served.Value);
  Found->second.State.FirstToken = State.FirstToken;
  Found->second.State.InterToken = State.InterToken;
}

std::optional<Completion> DemandQueue::finish(Completion Done, TimePoint Now) {
  const auto Found = RunningGrants.find(Done.Grant);
  if (Found == RunningGrants.end())
    return std::nullopt;
  RunningGrant &Entry = Found->second;
  addService(Entry, Done.Served.Value);
  Workspaces[Entry.Workspace].UnitBucket.take(Done.Served.Value - Entry.Hint);
  Done.Cell = Cell;
  Done.Upstream = Entry.Upstream;
  RunningGrants.erase(Found);
  EndedIds.insert(Done.Grant);
  EndedGrants.push_back({Now, Done});
  return Done;
}

std::vector<RefusedRequest> DemandQueue::expire(TimePoint Now) {
  std::vector<RefusedRequest> Refused;
  for (auto &[Id, Workspace] : Workspaces) {
    const auto Limits = LimitsById.find(Id);
    // Requests of a workspace that was removed from the settings are refused at
    // once.
    const bool Configured = Limits != LimitsById.end();
    const Milliseconds MaxWait =
        Configured ? Limits->second.QueueTime : Milliseconds(1);
    const bool Unlimited = Configured && MaxWait.count() == 0;
    while (!Unlimited && !Workspace.Queue.empty() &&
           Now - Workspace.Queue.begin()->second.QueuedAt >= MaxWait) {
      const RequestId Request = Workspace.Queue.begin()->second.Request.Id;
      Refused.push_back(
          {Request,
           {ErrorId::QueueTimeout, "no upstream was free in time", ""},
           QueueRetryAfter});
      cancel(Request);
    }
  }
  return Refused;
}

} // namespace mallowglade

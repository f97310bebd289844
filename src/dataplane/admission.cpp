#include <mallowglade/detail/dataplane/admission.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace mallowglade::dataplane {

namespace {

/// Limit on queued requests per router; each holds its body in memory.
constexpr std::size_t MaxQueuedRequests = 400;
/// Consecutive requests without a suitable upstream after which a dispatch pass
/// ends; each attempt scans all upstreams.
constexpr unsigned MaxConsecutiveFailures = 6;
/// Minimum and jitter of the retry delay as fractions of the latency objective:
/// a caller that retries within its objective can still be served on time. The
/// jitter keeps callers from retrying all at once.
constexpr double MinRetryAfterFraction = 0.2;
constexpr double RetryJitterFraction = 0.3;
constexpr Milliseconds RetryAfterWhileStopping{50};
/// Wait that is told to a caller while this router has no share of the limited
/// upstreams; the routers divide limits anew meanwhile.
constexpr Milliseconds WaitWithoutShare{2'000};
/// Wait that is told to a caller while the operator keeps it from all upstreams
/// of a service; a change of that takes seconds to reach the routers.
constexpr Milliseconds EvacuationWait{1'000};
/// Longest wait for limited upstreams that is told to a caller.
constexpr Milliseconds MaxLimitWait{30'000};

AdmissionDecision refusal(Refusal Reason) {
  AdmissionDecision Decision;
  Decision.What = AdmissionDecision::Action::Refuse;
  Decision.Reason = Reason;
  return Decision;
}

AdmissionDecision refusalWithoutUpstream(Placement::Unavailable Cause) {
  AdmissionDecision Decision = refusal(Refusal::NoUpstream);
  Decision.NoneMayTake = true;
  if (Cause == Placement::Unavailable::NoneReady)
    return Decision;
  Decision.Reason = Cause == Placement::Unavailable::Evacuated
                        ? Refusal::ZonesEvacuated
                        : Refusal::NoHomeUpstream;
  Decision.AddedDelay = EvacuationWait;
  return Decision;
}

/// @param Wait time until a share of the limited upstreams is free
AdmissionDecision refusalByLimits(std::chrono::duration<double> Wait) {
  AdmissionDecision Decision = refusal(Refusal::UpstreamsLimited);
  const auto Longest = std::chrono::duration<double>(MaxLimitWait);
  Decision.LeastDelay =
      std::chrono::ceil<Milliseconds>(std::min(Wait, Longest));
  return Decision;
}

} // namespace

std::string_view toString(Refusal Reason) {
  switch (Reason) {
  case Refusal::ShareUsedUp:
    return "share_used_up";
  case Refusal::NoRoom:
    return "no_room";
  case Refusal::NoUpstream:
    return "no_upstream";
  case Refusal::ZonesEvacuated:
    return "zones_evacuated";
  case Refusal::NoHomeUpstream:
    return "no_home_upstream";
  case Refusal::UpstreamsPaused:
    return "upstreams_paused";
  case Refusal::UpstreamsLimited:
    return "upstreams_limited";
  case Refusal::SlotsTaken:
    return "slots_taken";
  case Refusal::QueueFull:
    return "queue_full";
  case Refusal::CredentialsNotFresh:
    return "credentials_not_fresh";
  case Refusal::CrashesUpstreams:
    return "crashes_upstreams";
  case Refusal::CrashesSuspected:
    return "crashes_suspected";
  case Refusal::Stopping:
    return "stopping";
  }
  return "no_room";
}

Admission::Admission(Placement &Placer, FairShare &Shares, const Clock &Time,
                     RandomSource &Random)
    : Placer(Placer), Shares(Shares), Time(Time), Random(Random) {}

std::string_view toString(AdmissionDecision::WaitCause Cause) {
  switch (Cause) {
  case AdmissionDecision::WaitCause::OthersWait:
    return "others_wait";
  case AdmissionDecision::WaitCause::NoCapacity:
    return "no_capacity";
  case AdmissionDecision::WaitCause::ReservedForLeastServed:
    return "reserved_for_least_served";
  }
  return "no_capacity";
}

Milliseconds Admission::retryAfter(const QueuedRequest &Request,
                                   const AdmissionDecision &Decision,
                                   RandomSource &Drawing) {
  if (Decision.Reason == Refusal::Stopping)
    return RetryAfterWhileStopping;
  const auto ObjectiveMs =
      static_cast<double>(Request.Query.LatencyObjective.count());
  const auto JitterMs =
      static_cast<std::uint64_t>(RetryJitterFraction * ObjectiveMs) + 1;
  const Milliseconds Usual(
      static_cast<std::int64_t>(MinRetryAfterFraction * ObjectiveMs +
                                static_cast<double>(Drawing.below(JitterMs))));
  return std::max(Decision.LeastDelay, Decision.AddedDelay + Usual);
}

void Admission::refuse(QueuedRequest &Request,
                       const AdmissionDecision &Decision) {
  Request.refuse(Decision.Reason, retryAfter(Request, Decision, Random));
}

AdmissionDecision Admission::decideOverShare(const QueuedRequest &Request,
                                             Placement &Choosing) {
  const PlacementChoice Choice = Choosing.choose(Request.Query);
  if (Choice.Upstream != nullptr &&
      Choosing.hasSpareCapacity(*Choice.Upstream) &&
      (Choosing.isIdle(*Choice.Upstream) ||
       Shares.mayExceedShare(Request.ShareKey))) {
    AdmissionDecision Decision;
    Decision.What = AdmissionDecision::Action::Send;
    Decision.Choice = Choice;
    return Decision;
  }
  return refusal(Refusal::ShareUsedUp);
}

AdmissionDecision Admission::decide(const QueuedRequest &Request,
                                    Placement &Choosing,
                                    RandomSource &Drawing) {
  if (Stopped)
    return refusal(Refusal::Stopping);
  const bool OverShare = Request.HasWorkspace && !Request.PreviouslySent &&
                         !Shares.admitsFromShare(Request.ShareKey, Drawing);
  const auto Decide = [&] {
    const auto Available = Choosing.availability(Request.Query);
    if (const auto Unservable = findUnservable(
            Request, Available.Rate ? countAhead(Request) : 0, Choosing))
      return *Unservable;
    if (!Request.PreviouslySent && !Choosing.admits(Request.Query))
      return refusal(Refusal::SlotsTaken);
    if (OverShare)
      return decideOverShare(Request, Choosing);
    AdmissionDecision Decision;
    if (Queue.empty())
      Decision = findRoom(Request, Choosing);
    if (Decision.What == AdmissionDecision::Action::Wait &&
        Queue.size() >= MaxQueuedRequests) {
      Decision.Displaced = findMoreServed(Request);
      if (Decision.Displaced == nullptr)
        return refusal(Refusal::QueueFull);
    }
    return Decision;
  };
  AdmissionDecision Decision = Decide();
  Decision.OverShare = OverShare;
  return Decision;
}

void Admission::submit(std::shared_ptr<QueuedRequest> Request) {
  if (!Stopped)
    Placer.recordPrefixUse(Request->Query);
  const AdmissionDecision Decision = decide(*Request, Placer, Random);
  const bool Sent = Decision.What == AdmissionDecision::Action::Send;
  const bool Stops = Decision.What == AdmissionDecision::Action::Refuse &&
                     Decision.Reason == Refusal::Stopping;
  if (!Stops && (Sent || !Decision.OverShare))
    Placer.recordDemand(Request->Query.Service);
  if (Sent) {
    send(*Request, Decision.Choice);
    return;
  }
  // Others who wait would not help a request that no upstream may take.
  if (!Stops && !Decision.NoneMayTake)
    recordUnmet(*Request, 1);
  if (Decision.What == AdmissionDecision::Action::Refuse) {
    refuse(*Request, Decision);
    return;
  }
  if (Decision.Displaced != nullptr) {
    Queue.remove(Decision.Displaced);
    refuse(*Decision.Displaced, refusal(Refusal::QueueFull));
  }
  Queue.push_back(std::move(Request));
  dispatch();
}

std::optional<AdmissionDecision>
Admission::findUnservable(const QueuedRequest &Request, std::size_t Ahead,
                          const Placement &Choosing) const {
  const auto Available = Choosing.availability(Request.Query);
  if (!Available.From)
    return refusalWithoutUpstream(Available.Missing);
  const TimePoint Now = Time.now();
  // None is limited by a rate: they take requests, or all of them pause.
  if (!Available.Rate || Available.Rate->Value <= 0) {
    if (*Available.From <= std::max(Now, Request.QueueDeadline))
      return std::nullopt;
    if (*Available.From == TimePoint::max())
      return refusalByLimits(WaitWithoutShare);
    AdmissionDecision Decision = refusal(Refusal::UpstreamsPaused);
    Decision.AddedDelay =
        std::chrono::ceil<Milliseconds>(*Available.From - Now);
    return Decision;
  }
  const std::chrono::duration<double> Wait =
      std::max<std::chrono::duration<double>>(
          *Available.From - Now, std::chrono::duration<double>::zero()) +
      std::chrono::duration<double>(static_cast<double>(Ahead) /
                                    Available.Rate->Value);
  // Past its queue time, a request is refused by the expiry.
  if (Wait <=
      std::max(Request.QueueDeadline - Now, TimePoint::duration::zero()))
    return std::nullopt;
  return refusalByLimits(Wait);
}

std::size_t Admission::countAhead(const QueuedRequest &Request) {
  const double Fill = shareFill(Request);
  return static_cast<std::size_t>(
      std::count_if(Queue.begin(), Queue.end(), [&](const auto &Queued) {
        if (Queued.get() == &Request ||
            Queued->Query.Service != Request.Query.Service)
          return false;
        const double Other = shareFill(*Queued);
        return Other < Fill || (Other == Fill && precedes(*Queued, Request));
      }));
}

double Admission::shareFill(const QueuedRequest &Request) {
  return Request.HasWorkspace && !Request.PreviouslySent
             ? Shares.shareFill(Request.ShareKey)
             : 0;
}

void Admission::recordUnmet(const QueuedRequest &Request, double Requests) {
  if (Request.HasWorkspace && !Request.PreviouslySent)
    Shares.recordUnmet(Request.ShareKey, Requests * Request.ShareTokens);
}

std::shared_ptr<QueuedRequest>
Admission::findMoreServed(const QueuedRequest &Request) {
  double HighestFill = shareFill(Request);
  std::shared_ptr<QueuedRequest> Found;
  for (auto It = Queue.rbegin(); It != Queue.rend(); ++It) {
    const double Fill = shareFill(**It);
    if (Fill > HighestFill) {
      HighestFill = Fill;
      Found = *It;
    }
  }
  return Found;
}

AdmissionDecision Admission::findRoom(const QueuedRequest &Request,
                                      Placement &Choosing) {
  AdmissionDecision Decision;
  Decision.Cause = AdmissionDecision::WaitCause::NoCapacity;
  const PlacementChoice Choice = Choosing.choose(Request.Query);
  if (Choice.Upstream == nullptr)
    return Decision;
  // Without spare capacity, the rest is reserved for the least served
  // workspaces: their requests may be queued in another router while none is
  // here.
  const bool ReservedForLeastServed =
      Request.HasWorkspace && !Request.PreviouslySent &&
      (Shares.poolExhausted() || !Choosing.hasSpareCapacity(*Choice.Upstream));
  if (ReservedForLeastServed && !Shares.mayExceedShare(Request.ShareKey)) {
    Decision.Cause = AdmissionDecision::WaitCause::ReservedForLeastServed;
    return Decision;
  }
  Decision.What = AdmissionDecision::Action::Send;
  Decision.Choice = Choice;
  return Decision;
}

void Admission::send(QueuedRequest &Request, const PlacementChoice &Choice) {
  if (Request.HasWorkspace && !Request.PreviouslySent) {
    Placer.recordSize(Request.ShareTokens);
    Shares.recordAdmitted(Request.ShareKey, Request.ShareTokens);
  }
  Request.place(Choice);
}

bool Admission::tryPlace(QueuedRequest &Request) {
  const AdmissionDecision Decision = findRoom(Request, Placer);
  if (Decision.What != AdmissionDecision::Action::Send)
    return false;
  send(Request, Decision.Choice);
  return true;
}

bool Admission::precedes(const QueuedRequest &Left,
                         const QueuedRequest &Right) const {
  if (Left.PreviouslySent != Right.PreviouslySent)
    return Left.PreviouslySent;
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  return Left.Arrived < Right.Arrived;
}

void Admission::dispatch() {
  if (Dispatching || Queue.empty())
    return;
  Dispatching = true;
  struct Candidate {
    double Fill;
    std::shared_ptr<QueuedRequest> Request;
  };
  std::vector<Candidate> Candidates;
  Candidates.reserve(Queue.size());
  for (const auto &Queued : Queue)
    Candidates.push_back({shareFill(*Queued), Queued});
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [this](const Candidate &Left, const Candidate &Right) {
                     if (Left.Fill != Right.Fill)
                       return Left.Fill < Right.Fill;
                     return precedes(*Left.Request, *Right.Request);
                   });
  unsigned Failures = 0;
  std::map<ServiceId, std::size_t> Waiting;
  for (const Candidate &Ranked : Candidates) {
    if (Failures >= MaxConsecutiveFailures)
      break;
    const auto It = std::find(Queue.begin(), Queue.end(), Ranked.Request);
    if (It == Queue.end())
      continue;
    const auto Position = Queue.erase(It);
    std::size_t &Ahead = Waiting[Ranked.Request->Query.Service];
    if (const auto Unservable =
            findUnservable(*Ranked.Request, Ahead, Placer)) {
      refuse(*Ranked.Request, *Unservable);
      Failures = 0;
      continue;
    }
    if (tryPlace(*Ranked.Request)) {
      recordUnmet(*Ranked.Request, -1);
      Failures = 0;
      continue;
    }
    ++Failures;
    ++Ahead;
    Queue.insert(Position, Ranked.Request);
  }
  Dispatching = false;
}

void Admission::withdraw(const QueuedRequest *Request) {
  Queue.remove_if(
      [Request](const auto &Queued) { return Queued.get() == Request; });
}

void Admission::expire() {
  const TimePoint Now = Time.now();
  std::vector<std::shared_ptr<QueuedRequest>> Expired;
  for (auto It = Queue.begin(); It != Queue.end();) {
    if ((*It)->QueueDeadline > Now) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(*It));
    It = Queue.erase(It);
  }
  for (const auto &Queued : Expired)
    refuse(*Queued, refusal(Refusal::NoRoom));
}

void Admission::stop() {
  Stopped = true;
  const auto Refused = std::move(Queue);
  Queue.clear();
  for (const auto &Queued : Refused)
    Queued->refuse(Refusal::Stopping, RetryAfterWhileStopping);
}

} // namespace mallowglade::dataplane

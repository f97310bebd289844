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
/// Longest wait for limited upstreams that is told to a caller.
constexpr Milliseconds MaxLimitWait{30'000};

} // namespace

std::string_view toString(Refusal Reason) {
  switch (Reason) {
  case Refusal::ShareUsedUp:
    return "share_used_up";
  case Refusal::NoRoom:
    return "no_room";
  case Refusal::NoUpstream:
    return "no_upstream";
  case Refusal::UpstreamsPaused:
    return "upstreams_paused";
  case Refusal::UpstreamsLimited:
    return "upstreams_limited";
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

Milliseconds Admission::retryAfter(const QueuedRequest &Request) {
  const auto ObjectiveMs =
      static_cast<double>(Request.Query.LatencyObjective.count());
  const auto JitterMs =
      static_cast<std::uint64_t>(RetryJitterFraction * ObjectiveMs) + 1;
  return Milliseconds(
      static_cast<std::int64_t>(MinRetryAfterFraction * ObjectiveMs +
                                static_cast<double>(Random.below(JitterMs))));
}

void Admission::submit(std::shared_ptr<QueuedRequest> Request) {
  if (Stopped) {
    Request->refuse(Refusal::Stopping, RetryAfterWhileStopping);
    return;
  }
  const bool OverShare = Request->HasWorkspace && !Request->PreviouslySent &&
                         !Shares.withinShare(Request->ShareKey);
  if (!OverShare)
    Placer.recordDemand(Request->Query.Service);
  const bool Limited =
      Placer.availability(Request->Query.Service).Rate.has_value();
  if (refuseUnservable(*Request, Limited ? countAhead(*Request) : 0))
    return;
  if (OverShare) {
    const PlacementChoice Choice = Placer.choose(Request->Query);
    if (Choice.Upstream != nullptr &&
        Placer.hasSpareCapacity(*Choice.Upstream) &&
        (Placer.isIdle(*Choice.Upstream) ||
         Shares.mayExceedShare(Request->ShareKey))) {
      Placer.recordDemand(Request->Query.Service);
      Placer.recordSize(Request->ShareTokens);
      Shares.recordAdmitted(Request->ShareKey, Request->ShareTokens);
      Request->place(Choice);
      return;
    }
    Request->refuse(Refusal::ShareUsedUp, retryAfter(*Request));
    return;
  }
  if (Queue.empty() && tryPlace(*Request))
    return;
  if (Queue.size() >= MaxQueuedRequests && !displaceMoreServed(*Request)) {
    Request->refuse(Refusal::QueueFull, retryAfter(*Request));
    return;
  }
  Queue.push_back(std::move(Request));
  dispatch();
}

Milliseconds Admission::limitRetryAfter(const QueuedRequest &Request,
                                        std::chrono::duration<double> Wait) {
  const auto Longest = std::chrono::duration<double>(MaxLimitWait);
  return std::max(std::chrono::ceil<Milliseconds>(std::min(Wait, Longest)),
                  retryAfter(Request));
}

bool Admission::refuseUnservable(QueuedRequest &Request, std::size_t Ahead) {
  const auto Available = Placer.availability(Request.Query.Service);
  if (!Available.From) {
    Request.refuse(Refusal::NoUpstream, retryAfter(Request));
    return true;
  }
  const TimePoint Now = Time.now();
  // None is limited by a rate: they take requests, or all of them pause.
  if (!Available.Rate || Available.Rate->Value <= 0) {
    if (*Available.From <= Request.QueueDeadline)
      return false;
    if (*Available.From != TimePoint::max()) {
      const auto Pause = std::chrono::ceil<Milliseconds>(*Available.From - Now);
      Request.refuse(Refusal::UpstreamsPaused, Pause + retryAfter(Request));
      return true;
    }
    Request.refuse(Refusal::UpstreamsLimited,
                   limitRetryAfter(Request, WaitWithoutShare));
    return true;
  }
  const std::chrono::duration<double> Wait =
      std::max<std::chrono::duration<double>>(
          *Available.From - Now, std::chrono::duration<double>::zero()) +
      std::chrono::duration<double>(static_cast<double>(Ahead) /
                                    Available.Rate->Value);
  if (Wait <= Request.QueueDeadline - Now)
    return false;
  Request.refuse(Refusal::UpstreamsLimited, limitRetryAfter(Request, Wait));
  return true;
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

bool Admission::displaceMoreServed(const QueuedRequest &Request) {
  double HighestFill = shareFill(Request);
  auto Displaced = Queue.rend();
  for (auto It = Queue.rbegin(); It != Queue.rend(); ++It) {
    const double Fill = shareFill(**It);
    if (Fill > HighestFill) {
      HighestFill = Fill;
      Displaced = It;
    }
  }
  if (Displaced == Queue.rend())
    return false;
  const std::shared_ptr<QueuedRequest> Refused = *Displaced;
  Queue.erase(std::prev(Displaced.base()));
  Refused->refuse(Refusal::QueueFull, retryAfter(*Refused));
  return true;
}

bool Admission::tryPlace(QueuedRequest &Request) {
  const PlacementChoice Choice = Placer.choose(Request.Query);
  if (Choice.Upstream == nullptr)
    return false;
  // Without spare capacity, the rest is reserved for the least served
  // workspaces: their requests may be queued in another router while none is
  // here.
  const bool ReservedForLeastServed =
      Request.HasWorkspace && !Request.PreviouslySent &&
      !Placer.hasSpareCapacity(*Choice.Upstream);
  if (ReservedForLeastServed && !Shares.mayExceedShare(Request.ShareKey))
    return false;
  if (Request.HasWorkspace && !Request.PreviouslySent) {
    Placer.recordSize(Request.ShareTokens);
    Shares.recordAdmitted(Request.ShareKey, Request.ShareTokens);
  }
  Request.place(Choice);
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
    if (refuseUnservable(*Ranked.Request, Ahead) || tryPlace(*Ranked.Request)) {
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
    Queued->refuse(Refusal::NoRoom, retryAfter(*Queued));
}

void Admission::stop() {
  Stopped = true;
  const auto Refused = std::move(Queue);
  Queue.clear();
  for (const auto &Queued : Refused)
    Queued->refuse(Refusal::Stopping, RetryAfterWhileStopping);
}

} // namespace mallowglade::dataplane

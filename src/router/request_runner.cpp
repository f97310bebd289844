#include <mallowglade/detail/router/request_run.hpp>

#include <mallowglade/detail/router/attempt_meter.hpp>
#include <mallowglade/detail/router/quarantine_service.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

namespace mallowglade {

namespace {

constexpr std::uint32_t MaxAttempts = 4;
constexpr std::chrono::minutes CutMemory{10};
constexpr Milliseconds DefaultRetryAfter{1'000};
constexpr std::size_t PrefixBytes = 1'024;

AttemptFailure failureOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::ConnectFailed:
    return AttemptFailure::NotSent;
  case AttemptEnd::Refused:
    return AttemptFailure::RefusedByUpstream;
  case AttemptEnd::Silent:
    return AttemptFailure::Stalled;
  case AttemptEnd::Answered:
  case AttemptEnd::ConnectionLost:
  case AttemptEnd::UpstreamCrashed:
  case AttemptEnd::Unusable:
  case AttemptEnd::Cancelled:
    return AttemptFailure::Interrupted;
  }
  return AttemptFailure::Interrupted;
}

ErrorId errorOfEnd(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::ConnectFailed:
    return ErrorId::ConnectFailed;
  case AttemptEnd::Refused:
    return ErrorId::NoCapacity;
  case AttemptEnd::Silent:
    return ErrorId::UpstreamTimeout;
  case AttemptEnd::Unusable:
    return ErrorId::UpstreamFailed;
  case AttemptEnd::Answered:
  case AttemptEnd::ConnectionLost:
  case AttemptEnd::UpstreamCrashed:
  case AttemptEnd::Cancelled:
    return ErrorId::ConnectionLost;
  }
  return ErrorId::ConnectionLost;
}

Fingerprint fingerprintOf(const RouterRequest &Request) {
  const std::string Identity = Request.Workspace.Value + '\0' +
                               Request.Payload.Target + '\0' +
                               Request.Payload.Body;
  return Fingerprint(stableHash(Identity));
}

std::uint64_t prefixHash(const RouterRequest &Request) {
  return stableHash(
      std::string_view(Request.Payload.Body).substr(0, PrefixBytes));
}

RequestFeatures featuresOf(const RouterRequest &Request, Fingerprint Exact) {
  RequestFeatures Features{{FeatureKind::ExactRequest, Exact.Value}};
  // A shorter body belongs to the request itself.
  if (Request.Payload.Body.size() > PrefixBytes)
    Features.push_back({FeatureKind::PromptPart, prefixHash(Request)});
  return Features;
}

} // namespace

RequestRunner::RequestRunner(RouterContext Context, AnswerStore &Answers,
                             BlockingPool &Attempts)
    : Context(Context), Answers(Answers), Attempts(Attempts) {}

void RequestRunner::start(RouterRequest Request,
                          std::shared_ptr<Answer> Target) {
  ++Active;
  auto Current = std::make_shared<Run>();
  Current->History.Idempotent = Request.Idempotent;
  Current->History.MaxAttempts = MaxAttempts;
  Current->Request = std::move(Request);
  Current->RequestFingerprint = fingerprintOf(Current->Request);
  Current->Features = featuresOf(Current->Request, Current->RequestFingerprint);
  Current->Target = std::move(Target);
  Context.Control.post([Self = shared_from_this(), Current] {
    Self->Runs.insert(Current);
    if (Self->Aborted)
      Self->abort(Current);
    else if (Current->Request.Key)
      Self->claim(Current);
    else
      Self->enqueue(Current);
  });
}

void RequestRunner::claim(const RunPointer &Current) {
  const auto Claims = Context.Services.find<ClaimService>(service_name::Claims);
  const RouterRequest &Request = Current->Request;
  const ClaimToken Token = Claims->claim(
      *Request.Key, Request.Id,
      [Self = shared_from_this(), Current](const ClaimReply &Reply) {
        if (std::holds_alternative<ClaimGranted>(Reply)) {
          Current->Claimed = true;
          if (Current->Ended)
            Self->settle(Current, Verdict::NotRun);
          else
            Self->enqueue(Current);
        } else if (const auto *Held = std::get_if<ClaimHeldBy>(&Reply)) {
          Self->attachTo(Current, *Held);
        } else {
          Self->refuseClaim(Current, std::get<ClaimRefused>(Reply));
        }
      });
  Current->Target->setClaim(Token);
}

void RequestRunner::refuseClaim(const RunPointer &Current,
                                const ClaimRefused &Refused) {
  const Verdict Outcome =
      Refused.NeverClaimed ? Verdict::NotRun : Verdict::Unknown;
  finish(Current, Problem{Refused.Reason.Reason, Outcome, Current->Request.Id,
                          Refused.Reason.RetryAfter});
}

void RequestRunner::enqueue(const RunPointer &Current) {
  if (refuseIfConvicted(Current) || refuseIfSuspected(Current))
    return;
  const RouterRequest &Request = Current->Request;
  DispatchRequest Wanted;
  Wanted.Id = Request.Id;
  Wanted.Workspace = Request.Workspace;
  Wanted.Pool = Request.Pool.Id;
  Wanted.Hint = estimateCost(Request.Pool, Request.Payload.Body);
  Wanted.RequestFingerprint = Current->RequestFingerprint;
  Wanted.PrefixHash = prefixHash(Request);
  Wanted.Avoid = Current->Avoid;
  const auto Dispatch =
      Context.Services.find<Dispatcher>(service_name::Dispatcher);
  Current->Queued = true;
  Dispatch->enqueue(std::move(Wanted), [Self = shared_from_this(),
                                        Current](const DispatchReply &Reply) {
    Current->Queued = false;
    if (const auto *Where = std::get_if<Assignment>(&Reply)) {
      Self->dispatch(Current, *Where);
      return;
    }
    const auto &Refused = std::get<Refusal>(Reply);
    const Verdict Outcome =
        Current->History.MayHaveRun ? Verdict::Unknown : Verdict::NotRun;
    Self->finish(Current, Problem{Refused.Reason, Outcome, Current->Request.Id,
                                  Refused.RetryAfter});
  });
}

bool RequestRunner::refuseIfConvicted(const RunPointer &Current) {
  const auto Quarantine =
      Context.Services.find<QuarantineService>(service_name::Quarantine);
  const auto Blamed = Quarantine == nullptr
                          ? std::nullopt
                          : Quarantine->refusedFor(Current->Features);
  if (!Blamed)
    return false;
  const Milliseconds Left =
      Quarantine->convictionTimeLeft(Fingerprint(Blamed->Hash))
          .value_or(CrashAttribution::ProbeTimes.front());
  const Error Reason{
      ErrorId::Quarantined,
      "the request crashed upstreams; fingerprint " + toHex(Blamed->Hash), ""};
  const Verdict Outcome =
      Current->History.MayHaveRun ? Verdict::Unknown : Verdict::NotRun;
  finish(Current, Problem{Reason, Outcome, Current->Request.Id, Left});
  return true;
}

bool RequestRunner::refuseIfSuspected(const RunPointer &Current) {
  const auto Quarantine =
      Context.Services.find<QuarantineService>(service_name::Quarantine);
  if (Quarantine == nullptr || !Quarantine->mustWait(Current->Features))
    return false;
  const Error Reason{ErrorId::Quarantined,
                     "requests like this one crashed upstreams and are tried "
                     "one after the other",
                     ""};
  const Verdict Outcome =
      Current->History.MayHaveRun ? Verdict::Unknown : Verdict::NotRun;
  finish(Current, Problem{Reason, Outcome, Current->Request.Id,
                          2 * CrashAttribution::TrialInterval});
  return true;
}

void RequestRunner::refuseConvicted() {
  const auto Dispatch =
      Context.Services.find<Dispatcher>(service_name::Dispatcher);
  const auto Quarantine =
      Context.Services.find<QuarantineService>(service_name::Quarantine);
  const std::set<RunPointer> Open = Runs;
  for (const RunPointer &Current : Open)
    if (Current->Queued && Quarantine->refusedFor(Current->Features) &&
        Dispatch->cancel(Current->Request.Id))
      refuseIfConvicted(Current);
}

void RequestRunner::dispatch(const RunPointer &Current,
                             const Assignment &Where) {
  if (Current->Ended) {
    Context.Services.find<Dispatcher>(service_name::Dispatcher)
        ->finish(Current->Request.Id, Where, AttemptEnd::Cancelled, {});
    return;
  }
  ++Current->History.Attempts;
  Attempts.post([Self = shared_from_this(), Current, Where] {
    Self->runAttempt(Current, Where);
  });
}

/// The first cut connection of a request counts as a network fault if the
/// upstream serves on; a second one may be the request's doing, for example
/// where an upstream replaces its crashed worker process.
AttemptEnd RequestRunner::reportedEnd(const RunPointer &Current,
                                      const AttemptOutcome &Outcome) {
  if (!Outcome.Cut)
    return Outcome.End;
  const TimePoint Now = Context.Time.now();
  std::erase_if(RecentCuts, [Now](const auto &Item) {
    return Item.second + CutMemory <= Now;
  });
  const bool First =
      RecentCuts.emplace(Current->RequestFingerprint, Now).second;
  return First ? Outcome.End : AttemptEnd::UpstreamCrashed;
}

void RequestRunner::recordEnd(const RunPointer &Current,
                              const Assignment &Where, AttemptEnd End) {
  const auto Quarantine =
      Context.Services.find<QuarantineService>(service_name::Quarantine);
  if (Quarantine == nullptr)
    return;
  if (End == AttemptEnd::Answered)
    Quarantine->recordAnswered(Current->Features);
  else if (End == AttemptEnd::UpstreamCrashed)
    Quarantine->recordCrash(Current->Features, Where.Upstream);
}

void RequestRunner::attemptEnded(const RunPointer &Current,
                                 const Assignment &Where,
                                 const AttemptOutcome &Outcome,
                                 const AttemptProgress &Progress) {
  const AttemptEnd End = Outcome.End;
  const AttemptEnd Reported = reportedEnd(Current, Outcome);
  recordEnd(Current, Where, Reported);
  Context.Services.find<Dispatcher>(service_name::Dispatcher)
      ->finish(Current->Request.Id, Where, Reported, Progress);
  Context.Measures.count("mallowglade_attempts_total",
                         {{"pool", Current->Request.Pool.Id.Value},
                          {"end", std::to_string(static_cast<int>(End))}});
  if (Current->Ended)
    return;
  if (End == AttemptEnd::Answered) {
    Budget.recordSuccess();
    finish(Current, std::nullopt);
    return;
  }
  Current->Avoid.push_back(Where.Upstream);
  failAttempt(Current, End, Outcome.Free);
}

/// An attempt that did not reach its upstream, or met one that takes no more
/// work, is repeated without the retry budget: it puts no load on upstreams.
void RequestRunner::failAttempt(const RunPointer &Current, AttemptEnd End,
                                bool Free) {
  // A request does not wait until the last upstream takes work again.
  const bool NobodyLeft =
      End == AttemptEnd::Refused &&
      Context.Services.find<UpstreamDirectory>(service_name::Upstreams)
          ->available(Current->Request.Pool.Id)
          .empty();
  // Without an event id, another upstream would begin the stream again.
  const bool Resumable =
      !Current->Target->status() || !Current->Events.lastEventId().empty();
  Current->History.RetryAllowed =
      Resumable && !NobodyLeft && (Free || Budget.takeRetry());
  const NextStep Next = decideNextStep(Current->History, failureOf(End));
  Context.Log.warning("attempt failed",
                      {{"request_id", Current->Request.Id.Value},
                       {"end", std::string(toString(errorOfEnd(End)))}});
  if (Next == NextStep::Retry) {
    enqueue(Current);
    return;
  }
  const Verdict Outcome =
      Next == NextStep::FailNotRun ? Verdict::NotRun : Verdict::Unknown;
  const Error Reason{errorOfEnd(End), "the upstream did not answer", ""};
  finish(Current,
         Problem{Reason, Outcome, Current->Request.Id, DefaultRetryAfter});
}

void RequestRunner::finish(const RunPointer &Current,
                           std::optional<Problem> Failure) {
  if (Current->Ended)
    return;
  Current->Ended = true;
  Runs.erase(Current);
  const RouterRequest &Request = Current->Request;
  const Verdict Outcome = Failure ? Failure->Outcome : Verdict::Answered;
  // The verdict is fixed before the key may be claimed again.
  if (Failure)
    Current->Target->fail(*Failure);
  else
    Current->Target->complete();
  Answers.markEnded(Request.Workspace, Request.Id, Context.Time.now());
  Context.Measures.count("mallowglade_requests_total",
                         {{"workspace", Request.Workspace.Value},
                          {"outcome", std::string(toString(Outcome))}});
  settle(Current, Outcome);
  --Active;
}

void RequestRunner::settle(const RunPointer &Current, Verdict Outcome) {
  if (!Current->Claimed)
    return;
  const ClaimEnd End =
      Outcome == Verdict::NotRun ? ClaimEnd::Released : ClaimEnd::Done;
  Context.Services.find<ClaimService>(service_name::Claims)
      ->settle(*Current->Request.Key, Current->Request.Id, End);
}

void RequestRunner::abortAll() {
  Context.Control.post([Self = shared_from_this()] {
    Self->Aborted = true;
    const std::set<RunPointer> Open = Self->Runs;
    for (const RunPointer &Current : Open)
      Self->abort(Current);
  });
}

void RequestRunner::abort(const RunPointer &Current) {
  const auto Dispatch =
      Context.Services.find<Dispatcher>(service_name::Dispatcher);
  const bool Waiting = Current->Queued && Dispatch->cancel(Current->Request.Id);
  // A keyed request without a claim says nothing about earlier ones.
  const bool Unclaimed = Current->Request.Key && !Current->Claimed;
  const bool NeverSent = Current->History.Attempts == 0 || Waiting;
  const bool NotRun = NeverSent && !Current->History.MayHaveRun && !Unclaimed;
  const Error Reason{ErrorId::Draining, "the router is being stopped", ""};
  finish(Current, Problem{Reason, NotRun ? Verdict::NotRun : Verdict::Unknown,
                          Current->Request.Id, DefaultRetryAfter});
  Current->Cancellation.cancel();
}

} // namespace mallowglade

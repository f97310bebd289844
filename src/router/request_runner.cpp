#include <mallowglade/detail/router/request_runner.hpp>

#include <mallowglade/detail/router/event_stream.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade {

namespace {

constexpr std::uint32_t MaxAttempts = 4;
constexpr Milliseconds ConnectTimeout{1'000};
constexpr Milliseconds ProgressPeriod{250};
constexpr Milliseconds DefaultRetryAfter{1'000};
constexpr double BytesPerToken = 4;
constexpr double DefaultOutputTokens = 256;
constexpr std::size_t PrefixBytes = 1'024;
constexpr int ServerErrorStatus = 500;

/// Measures one attempt while its bytes arrive.
class AttemptMeter {
public:
  AttemptMeter(const PoolSettings &Pool, std::size_t BodyBytes,
               const Clock &Time)
      : Pool(Pool), InputTokens(BodyBytes / BytesPerToken), Time(Time),
        Started(Time.now()) {}

  void tokens(std::uint64_t Count) {
    const TimePoint Now = Time.now();
    if (Count > 0 && !FirstAt)
      FirstAt = Now;
    OutputTokens = Count;
    LastAt = Now;
  }

  void usage(const std::string &Json) {
    const auto Usage = nlohmann::json::parse(Json, nullptr, false);
    if (!Usage.is_object())
      return;
    InputTokens = Usage.value("prompt_tokens", InputTokens);
    OutputTokens =
        Usage.value("completion_tokens", static_cast<double>(OutputTokens));
  }

  AttemptProgress progress() const {
    AttemptProgress Progress;
    Progress.Served = ServiceUnits(served());
    if (FirstAt)
      Progress.FirstToken =
          std::chrono::duration_cast<Milliseconds>(*FirstAt - Started);
    if (FirstAt && OutputTokens > 1) {
      const std::chrono::duration<double, std::milli> Span = LastAt - *FirstAt;
      Progress.InterToken =
          Milliseconds(std::lround(Span.count() / (OutputTokens - 1)));
    }
    return Progress;
  }

private:
  double served() const {
    if (Pool.Kind == PoolKind::Service)
      return std::chrono::duration<double, std::milli>(Time.now() - Started)
          .count();
    return InputTokens * Pool.InputWeight + OutputTokens * Pool.OutputWeight;
  }

  const PoolSettings &Pool;
  double InputTokens;
  double OutputTokens = 0;
  const Clock &Time;
  TimePoint Started;
  std::optional<TimePoint> FirstAt;
  TimePoint LastAt{};
};

AttemptFailure failureOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::ConnectFailed:
    return AttemptFailure::NotHandedOver;
  case AttemptEnd::Refused:
    return AttemptFailure::RefusedByUpstream;
  case AttemptEnd::Silent:
    return AttemptFailure::Silent;
  case AttemptEnd::Answered:
  case AttemptEnd::ConnectionLost:
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
    return ErrorId::Timeout;
  case AttemptEnd::Answered:
  case AttemptEnd::ConnectionLost:
  case AttemptEnd::Cancelled:
    return ErrorId::ConnectionLost;
  }
  return ErrorId::ConnectionLost;
}

} // namespace

/// State of a request between its attempts; one attempt runs at a time.
struct RequestRunner::Run {
  RouterRequest Request;
  std::shared_ptr<Answer> Target;
  AttemptHistory History;
  std::vector<UpstreamId> Avoid;
  EventStream Events;
  bool Streaming = false;
  bool Claimed = false;
};

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
  Current->Target = std::move(Target);
  Context.Control.post([Self = shared_from_this(), Current] {
    if (Current->Request.Key)
      Self->claim(Current);
    else
      Self->enqueue(Current);
  });
}

void RequestRunner::claim(const RunPointer &Current) {
  const auto Claims = Context.Services.find<ClaimService>(service_name::Claims);
  const RouterRequest &Request = Current->Request;
  Claims->claim(
      *Request.Key, Request.Id,
      [Self = shared_from_this(), Current](const ClaimReply &Reply) {
        if (std::holds_alternative<ClaimGranted>(Reply)) {
          Current->Claimed = true;
          Self->enqueue(Current);
        } else if (const auto *Held = std::get_if<ClaimHeldBy>(&Reply)) {
          Self->attachTo(Current, *Held);
        } else {
          const auto &Refused = std::get<ClaimRefused>(Reply);
          const Verdict Outcome =
              Refused.NeverClaimed ? Verdict::NotRun : Verdict::Unknown;
          Self->finish(Current,
                       Problem{Refused.Reason.Reason, Outcome,
                               Current->Request.Id, Refused.Reason.RetryAfter});
        }
      });
}

void RequestRunner::attachTo(const RunPointer &Current,
                             const ClaimHeldBy &Holder) {
  const Error Reason{ErrorId::ClaimHeld,
                     "the key is held by request '" +
                         Holder.Holder.Request.Value + "' on router " +
                         Holder.Holder.Router.Value,
                     ""};
  finish(Current, Problem{Reason, Verdict::Unknown, Current->Request.Id,
                          DefaultRetryAfter});
}

void RequestRunner::enqueue(const RunPointer &Current) {
  const RouterRequest &Request = Current->Request;
  DispatchRequest Wanted;
  Wanted.Id = Request.Id;
  Wanted.Workspace = Request.Workspace;
  Wanted.Pool = Request.Pool.Id;
  Wanted.Hint = estimateCost(Request.Pool, Request.Payload.Body);
  const std::string Identity = Request.Workspace.Value + '\0' +
                               Request.Payload.Target + '\0' +
                               Request.Payload.Body;
  Wanted.Print = Fingerprint(stableHash(Identity));
  Wanted.PrefixHash =
      stableHash(std::string_view(Request.Payload.Body).substr(0, PrefixBytes));
  Wanted.Retry = Current->History.Attempts > 0;
  Wanted.Avoid = Current->Avoid;
  const auto Dispatch =
      Context.Services.find<Dispatcher>(service_name::Dispatcher);
  Dispatch->enqueue(std::move(Wanted), [Self = shared_from_this(),
                                        Current](const DispatchReply &Reply) {
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

void RequestRunner::dispatch(const RunPointer &Current,
                             const Assignment &Where) {
  ++Current->History.Attempts;
  Attempts.post([Self = shared_from_this(), Current, Where] {
    Self->runAttempt(Current, Where);
  });
}

namespace {

/// Passes the bytes of one attempt on to the answer.
class AttemptSink {
public:
  AttemptSink(Answer &Target, EventStream &Events, AttemptMeter &Meter)
      : Target(Target), Events(Events), Meter(Meter) {}

  void onHead(const UpstreamHead &NewHead) {
    Head = NewHead;
    Streaming = Head.ContentType.starts_with("text/event-stream");
    Events.reset();
    if (Streaming && Head.Status < ServerErrorStatus)
      Target.begin({Head.Status, Head.ContentType});
  }

  void onBytes(std::string_view Bytes) {
    if (!Streaming) {
      Whole.append(Bytes);
      return;
    }
    Target.append(Events.feed(Bytes));
    Meter.tokens(Events.eventCount());
    if (!Events.usage().empty())
      Meter.usage(Events.usage());
  }

  /// Completes the answer; an incomplete stream counts as a lost connection.
  AttemptEnd end(AttemptEnd End) {
    if (End != AttemptEnd::Answered)
      return End;
    if (Streaming && !Events.done())
      return AttemptEnd::ConnectionLost;
    if (!Streaming) {
      const auto Document = nlohmann::json::parse(Whole, nullptr, false);
      if (Document.is_object() && Document.contains("usage"))
        Meter.usage(Document["usage"].dump());
      Target.begin({Head.Status, Head.ContentType});
      Target.append(Whole);
    }
    return End;
  }

  bool leaving() const { return Head.Leaving; }

private:
  Answer &Target;
  EventStream &Events;
  AttemptMeter &Meter;
  UpstreamHead Head;
  bool Streaming = false;
  std::string Whole;
};

} // namespace

void RequestRunner::runAttempt(const RunPointer &Current,
                               const Assignment &Where) {
  const RouterRequest &Request = Current->Request;
  UpstreamRequest Payload = Request.Payload;
  Payload.Headers["X-Request-Id"] = Request.Id.Value;
  Payload.Headers["X-Attempt"] = std::to_string(Current->History.Attempts);
  if (!Current->Events.lastEventId().empty())
    Payload.Headers["Last-Event-ID"] = Current->Events.lastEventId();
  AttemptMeter Meter(Request.Pool, Payload.Body.size(), Context.Time);
  AttemptSink Sink(*Current->Target, Current->Events, Meter);
  TimePoint LastReport = Context.Time.now();
  UpstreamReceiver Receiver;
  Receiver.OnHead = [&](const UpstreamHead &Head) { Sink.onHead(Head); };
  Receiver.OnBytes = [&](std::string_view Bytes) {
    Sink.onBytes(Bytes);
    if (Context.Time.now() - LastReport < ProgressPeriod)
      return;
    LastReport = Context.Time.now();
    Context.Control.post([Self = shared_from_this(), Id = Request.Id, Where,
                          Progress = Meter.progress()] {
      Self->Context.Services.find<Dispatcher>(service_name::Dispatcher)
          ->progress(Id, Where, Progress);
    });
  };
  const AttemptEnd Raw =
      callUpstream(Where.Address, Payload,
                   {ConnectTimeout, Request.Pool.GapLimit}, Receiver);
  const AttemptEnd End = Sink.end(Raw);
  Context.Control.post([Self = shared_from_this(), Current, Where, End,
                        Leaving = Sink.leaving(), Progress = Meter.progress()] {
    const auto Upstreams =
        Self->Context.Services.find<UpstreamDirectory>(service_name::Upstreams);
    if (Leaving)
      Upstreams->markLeaving(Where.Upstream);
    else if (End == AttemptEnd::ConnectFailed)
      Upstreams->markDown(Where.Upstream);
    Self->attemptEnded(Current, Where, End, Progress);
  });
}

void RequestRunner::attemptEnded(const RunPointer &Current,
                                 const Assignment &Where, AttemptEnd End,
                                 const AttemptProgress &Progress) {
  Context.Services.find<Dispatcher>(service_name::Dispatcher)
      ->finish(Current->Request.Id, Where, End, Progress);
  Context.Measures.count("mallowglade_attempts_total",
                         {{"pool", Current->Request.Pool.Id.Value},
                          {"end", std::to_string(static_cast<int>(End))}});
  if (End == AttemptEnd::Answered) {
    finish(Current, std::nullopt);
    return;
  }
  Current->Avoid.push_back(Where.Upstream);
  failAttempt(Current, End);
}

void RequestRunner::failAttempt(const RunPointer &Current, AttemptEnd End) {
  Current->History.BudgetLeft = true;
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
  const RouterRequest &Request = Current->Request;
  const Verdict Outcome = Failure ? Failure->Outcome : Verdict::Answered;
  if (Current->Claimed) {
    const ClaimEnd End =
        Outcome == Verdict::NotRun ? ClaimEnd::Released : ClaimEnd::Done;
    Context.Services.find<ClaimService>(service_name::Claims)
        ->settle(*Request.Key, Request.Id, End);
  }
  if (Failure)
    Current->Target->fail(*Failure);
  else
    Current->Target->complete();
  Answers.markEnded(Request.Workspace, Request.Id, Context.Time.now());
  Context.Measures.count("mallowglade_requests_total",
                         {{"workspace", Request.Workspace.Value},
                          {"outcome", std::string(toString(Outcome))}});
  --Active;
}

ServiceUnits estimateCost(const PoolSettings &Pool, const std::string &Body) {
  if (Pool.Kind == PoolKind::Service)
    return ServiceUnits(1);
  const double InputTokens = Body.size() / BytesPerToken;
  double OutputTokens = DefaultOutputTokens;
  const auto Document = nlohmann::json::parse(Body, nullptr, false);
  if (Document.is_object() && Document.contains("max_tokens") &&
      Document["max_tokens"].is_number())
    OutputTokens = std::max(1.0, Document["max_tokens"].get<double>());
  const double Units =
      InputTokens * Pool.InputWeight + OutputTokens * Pool.OutputWeight;
  return ServiceUnits(std::clamp(Units, 1.0, Pool.MaxRequestUnits));
}

} // namespace mallowglade

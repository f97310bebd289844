#include <mallowglade/detail/dataplane/request_run.hpp>

#include <asio/post.hpp>
#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

/// Answers up to this size are held until they are complete, so that a
/// truncated one can be repeated or reported.
constexpr std::size_t MaxCollectedBytes = 262'144;
/// Unsent bytes at which reading from the upstream stops.
constexpr std::size_t HighWaterBytes = 131'072;
/// Time kept back from the caller's deadline for the answer's way.
constexpr Milliseconds AnswerMargin{30};
/// Part of the latency objective that a request may wait for an upstream.
constexpr double WaitShareOfObjective = 0.6;
/// Connection refused by an upstream is not counted as a use of it; after
/// this many the request is given up.
constexpr unsigned MaxUnsentAttempts = 4;
constexpr Milliseconds RetryAfterFailure{500};

bool isRefusalStatus(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string seconds(Milliseconds Span) {
  return fmt::format("{:.2f}", std::chrono::duration<double>(Span).count());
}

} // namespace

RequestRun::RequestRun(Traffic &Owner,
                       std::shared_ptr<http1::ServerExchange> Exchange,
                       RequestFacts Facts,
                       std::shared_ptr<const Configuration> Config,
                       const Route &Of, WorkspaceId Workspace,
                       RequestPrint Print)
    : Owner(Owner), Exchange(std::move(Exchange)), Facts(std::move(Facts)),
      Config(std::move(Config)), Of(Of), Workspace(std::move(Workspace)),
      Print(Print), DeadlineTimer(Owner.Context) {}

void RequestRun::start() {
  Arrived = Owner.Time.now();
  Milliseconds Limit = Of.Timeout;
  if (Facts.Deadline)
    Limit = std::min(Limit, *Facts.Deadline - AnswerMargin);
  Deadline = Arrived + Limit;
  History.Idempotent = Of.Idempotent;
  History.MaxAttempts = Of.MaxAttempts;
  Query.Service = Owner.pickService(Of);
  Query.LatencyObjective = Of.LatencyObjective;
  if (Of.PromptAffinity && Facts.Parts.size() >= 2) {
    const std::size_t Shared = Facts.Parts.size() - 1;
    Query.Affinity = Facts.Parts[Shared - 1].Hash;
    for (std::size_t At = 0; At < Shared; ++At)
      Query.Work.SharedPrompt += Facts.Parts[At].Tokens;
  }
  Query.Work.UncachedPrompt =
      std::max(0.0, Facts.PromptTokens - Query.Work.SharedPrompt);
  Query.Work.OutputTokens = Facts.ExpectedOutputTokens > 0
                                ? Facts.ExpectedOutputTokens
                                : Facts.MaxOutputTokens / 2;
  HasWorkspace = !Workspace.empty() && Of.PromptAffinity;
  Who = WorkspaceKey(stableHash(Workspace.Value));
  ShareTokens = Facts.PromptTokens + 2 * Query.Work.OutputTokens;
  Priority = Of.Priority;
  const auto Wait = std::chrono::duration_cast<Milliseconds>(
      Of.LatencyObjective * WaitShareOfObjective);
  GiveUpAt = std::min(Deadline, Arrived + Wait);
  if (HasWorkspace)
    Owner.Shares.asked(Who, ShareTokens);
  Owner.Retries.request(Query.Service);
  Exchange->OnGone = [Self = shared_from_this()] { Self->onCallerGone(); };
  armDeadline();
  Owner.Queue.submit(shared_from_this());
}

Milliseconds RequestRun::timeLeft() const {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Owner.Time.now());
}

void RequestRun::armDeadline() {
  DeadlineTimer.expires_after(std::max(Milliseconds(0), timeLeft()));
  DeadlineTimer.async_wait([Weak = weak_from_this()](std::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && !Self->Done)
      Self->onDeadline();
  });
}

void RequestRun::place(const PlacementChoice &Where) {
  if (Done)
    return;
  // A loop that lags reads requests whose callers have given up meanwhile.
  if (Exchange->callerLeft()) {
    asio::post(Owner.Context,
               [Self = shared_from_this()] { Self->onCallerGone(); });
    return;
  }
  if (!Workspace.empty() && !Owner.credentialsFresh()) {
    refuse(Refusal::CredentialsNotFresh, RetryAfterFailure);
    return;
  }
  Target = Where.Upstream->Record;
  Counted = Query.Work.load(Where.PartsKept || Where.FetchFrom != nullptr);
  FetchPartsFrom =
      Where.FetchFrom != nullptr
          ? fmt::format("{}:{}",
                        Where.FetchFrom->Record.Address.address().to_string(),
                        Where.FetchFrom->Record.Address.port())
          : "";
  Owner.Upstreams.add(Target.Id, Counted);
  SentAt = Owner.Time.now();
  Reading = Mode::Waiting;
  Collected.clear();
  Events.reset();
  Answer = AnswerFacts();
  Sent = true;
  Connection = Owner.Pool.acquire(Target.Address);
  Connection->send(forwardMessage(*Where.Upstream), Facts.Attempt.Value,
                   Exchange->Head.Method == "HEAD", shared_from_this());
}

std::string RequestRun::forwardMessage(const UpstreamState &To) const {
  const http1::RequestHead &In = Exchange->Head;
  std::string Out;
  constexpr std::size_t TypicalHead = 1'024;
  Out.reserve(TypicalHead + Exchange->Body.size());
  Out.append(In.Method).append(" ").append(In.Target).append(" HTTP/1.1\r\n");
  const bool Resumes = !Events.lastEventId().empty();
  for (const http1::HeaderField &Field : In.Headers.fields()) {
    if (http1::isHopByHop(Field.Name, In.Headers) ||
        Owner.Wire.isRouterField(Field.Name) ||
        http1::equalsIgnoreCase(Field.Name, "content-length") ||
        http1::equalsIgnoreCase(Field.Name, "expect"))
      continue;
    if (http1::equalsIgnoreCase(Field.Name, "authorization") &&
        !Config->Workspaces.empty())
      continue;
    if (Resumes && http1::equalsIgnoreCase(Field.Name, "last-event-id"))
      continue;
    http1::appendField(Out, Field.Name, Field.Value);
  }
  ForwardFields Fields;
  Fields.TimeLeft = std::max(Milliseconds(1), timeLeft());
  Fields.ExpectedUpstream = To.Record.Id;
  Fields.Workspace = Workspace;
  Fields.FetchPartsFrom = FetchPartsFrom;
  if (Resumes)
    Fields.LastEventId = Events.lastEventId();
  Owner.Wire.appendForwardFields(Out, Fields);
  if (!Exchange->Body.empty() || (In.Method != "GET" && In.Method != "HEAD"))
    http1::appendField(Out, "Content-Length",
                       std::to_string(Exchange->Body.size()));
  Out.append("\r\n").append(Exchange->Body);
  return Out;
}

void RequestRun::onResponseHead(http1::ResponseHead &Received) {
  Answer = Owner.Wire.readAnswer(Received);
  Head = std::move(Received);
  if (Answer.NotExecuted) {
    Reading = Mode::Discarding;
    return;
  }
  const bool Streams = Of.Streaming && Head.Status == 200 &&
                       Head.Framing != http1::BodyFraming::Length;
  if (Streams && !FirstHead)
    FirstHead = Head;
  Reading = Streams ? Mode::Relaying : Mode::Collecting;
}

void RequestRun::onResponseBody(std::string_view Data) {
  if (Reading == Mode::Relaying) {
    relay(Data);
    return;
  }
  if (Reading != Mode::Collecting)
    return;
  Collected.append(Data);
  const bool Success = Head.Status < 300;
  if (Collected.size() > MaxCollectedBytes && Success && !Of.Streaming) {
    FirstHead = Head;
    Reading = Mode::Relaying;
    const std::string All = std::move(Collected);
    beginRelay();
    Exchange->send(All);
  }
}

void RequestRun::onFirstEvent() {
  if (Counted.UnreadPrompt > 0) {
    UpstreamLoad Read;
    Read.UnreadPrompt = Counted.UnreadPrompt;
    Owner.Upstreams.remove(Target.Id, Read);
    Counted.UnreadPrompt = 0;
    Owner.schedulePump();
  }
  if (FirstByte.count() < 0) {
    FirstByte =
        std::chrono::duration_cast<Milliseconds>(Owner.Time.now() - Arrived);
    Owner.Places.firstEvent(FirstByte <= Of.LatencyObjective);
  }
}

void RequestRun::beginRelay() {
  if (Relayed)
    return;
  Relayed = true;
  Exchange->OnDrained = [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->Connection)
      Self->Connection->resume();
  };
  Exchange->startBody(FirstHead->Status, answerFields(*FirstHead));
}

void RequestRun::relay(std::string_view Data) {
  std::string Whole;
  if (Of.Streaming) {
    // Only whole events leave, so that the stream can go on elsewhere.
    Whole = Events.feed(Data);
    if (Whole.empty())
      return;
    onFirstEvent();
    Data = Whole;
  }
  beginRelay();
  Exchange->send(Data);
  if (Exchange->unsentBytes() > HighWaterBytes && Connection)
    Connection->pause();
}

http1::HeaderList
RequestRun::answerFields(const http1::ResponseHead &From) const {
  http1::HeaderList Fields;
  for (const http1::HeaderField &Field : From.Headers.fields())
    if (!http1::isHopByHop(Field.Name, From.Headers) &&
        !http1::equalsIgnoreCase(Field.Name, "content-length"))
      Fields.add(Field.Name, Field.Value);
  return Fields;
}

void RequestRun::onResponseEnd() {
  if (Done)
    return;
  if (Reading == Mode::Discarding) {
    ++Refusals;
    endAttempt(true);
    retryOrFail(AttemptFailure::RefusedByUpstream, "upstream_refused");
    return;
  }
  const bool Success = Head.Status < 300;
  if (Success && !Answer.Signed) {
    endAttempt(false);
    retryOrFail(AttemptFailure::Interrupted, "answer_unsigned");
    return;
  }
  endAttempt(true);
  Owner.Upstreams.answered(Target.Id);
  Owner.Crashes.finished(Print);
  if (Reading == Mode::Collecting) {
    Exchange->OnGone = nullptr;
    Exchange->respond(Head.Status, answerFields(Head), Collected);
    complete(Success ? "answered" : "upstream_status", Head.Status);
    return;
  }
  beginRelay();
  Exchange->OnGone = nullptr;
  Exchange->finish();
  complete("answered", Head.Status);
}

void RequestRun::onExchangeFailed(http1::ExchangeFailure Failure) {
  if (Done)
    return;
  endAttempt(false);
  if (Failure == http1::ExchangeFailure::ClosedBeforeUse ||
      Failure == http1::ExchangeFailure::NotConnected) {
    if (Failure == http1::ExchangeFailure::NotConnected)
      Owner.Upstreams.failed(Target.Id);
    retryOrFail(AttemptFailure::NotHandedOver, "not_connected");
    return;
  }
  Owner.Upstreams.failed(Target.Id);
  if (Failure == http1::ExchangeFailure::Interrupted)
    Owner.Crashes.interrupted(Print);
  retryOrFail(AttemptFailure::Interrupted,
              Failure == http1::ExchangeFailure::Malformed ? "answer_malformed"
                                                           : "connection_lost");
}

void RequestRun::releaseLoad() {
  if (Counted.Running > 0)
    Owner.Upstreams.remove(Target.Id, Counted);
  Counted = UpstreamLoad();
  Owner.schedulePump();
}

void RequestRun::endAttempt(bool KeepConnection) {
  releaseLoad();
  const auto Ended = std::move(Connection);
  Connection = nullptr;
  if (!Ended)
    return;
  if (KeepConnection)
    Owner.Pool.release(Target.Address, Ended);
  else
    Ended->cancel();
}

void RequestRun::retryOrFail(AttemptFailure Failure, std::string_view Cause) {
  if (Failure == AttemptFailure::NotHandedOver) {
    if (++Refusals > MaxUnsentAttempts)
      History.Attempts = History.MaxAttempts;
  } else {
    ++History.Attempts;
  }
  const bool EventsSent = Relayed;
  const bool MayRepeat =
      (EventsSent ? Of.Resumable && !Events.lastEventId().empty() : true) &&
      !Owner.Crashes.isolated(Print);
  History.BudgetLeft = MayRepeat && timeLeft().count() > 0 &&
                       (Failure == AttemptFailure::NotHandedOver ||
                        Owner.Retries.take(Query.Service));
  const NextStep Next = decideNextStep(History, Failure);
  if (Next == NextStep::Retry) {
    ++Owner.Counters.Retries;
    if (EventsSent)
      ++Owner.Counters.ResumedStreams;
    Owner.Log.write("retry", {{"request", Facts.Attempt.Value},
                              {"upstream", Target.Id.Value},
                              {"cause", Cause},
                              {"attempts", std::int64_t(History.Attempts)}});
    Query.Excluded.insert(Target.Id);
    GiveUpAt = Deadline;
    Continues = true;
    Owner.Queue.submit(shared_from_this());
    return;
  }
  if (EventsSent) {
    Exchange->abort();
    complete(Cause, 0);
    return;
  }
  if (Next == NextStep::FailNotRun)
    answerFailure(503, Cause, RetryAfterFailure);
  else
    answerFailure(502, Cause, std::nullopt);
}

void RequestRun::answerFailure(unsigned Status, std::string_view Cause,
                               std::optional<Milliseconds> RetryAfter) {
  http1::HeaderList Fields;
  if (RetryAfter)
    Fields.add("Retry-After", seconds(*RetryAfter));
  Exchange->OnGone = nullptr;
  Exchange->respond(Status, Fields, "");
  complete(Cause, Status);
}

void RequestRun::refuse(Refusal Reason, Milliseconds RetryAfter) {
  if (Done)
    return;
  if (Relayed) {
    Exchange->abort();
    complete(toString(Reason), 0);
    return;
  }
  if (History.MayHaveRun) {
    answerFailure(502, toString(Reason), std::nullopt);
    return;
  }
  const unsigned Status = Reason == Refusal::ShareUsedUp ? 429 : 503;
  answerFailure(Status, toString(Reason), RetryAfter);
}

void RequestRun::onDeadline() {
  Owner.Queue.withdraw(this);
  const bool AtUpstream = Connection != nullptr;
  endAttempt(false);
  if (Relayed) {
    Exchange->abort();
    complete("deadline", 0);
    return;
  }
  if (AtUpstream || History.MayHaveRun)
    answerFailure(504, "deadline", std::nullopt);
  else
    answerFailure(503, "deadline", RetryAfterFailure);
}

void RequestRun::onCallerGone() {
  if (Done)
    return;
  Owner.Queue.withdraw(this);
  ++Owner.Counters.CallersGone;
  endAttempt(false);
  complete("caller_gone", 0);
}

void RequestRun::complete(std::string_view Outcome, unsigned Status) {
  if (Done)
    return;
  Done = true;
  DeadlineTimer.cancel();
  Exchange->OnGone = nullptr;
  Exchange->OnDrained = nullptr;
  log(Outcome, Status);
  if (Outcome == "answered")
    ++Owner.Counters.Answered;
  else if (isRefusalStatus(Status))
    ++Owner.Counters.Refused;
  else
    ++Owner.Counters.Failed;
}

void RequestRun::log(std::string_view Outcome, unsigned Status) {
  const auto Took =
      std::chrono::duration_cast<Milliseconds>(Owner.Time.now() - Arrived);
  const auto Waited =
      Sent ? std::chrono::duration_cast<Milliseconds>(SentAt - Arrived) : Took;
  Owner.Log.write(
      "request", {{"request", Facts.Attempt.Value},
                  {"route", Of.Name},
                  {"workspace", Workspace.Value},
                  {"outcome", Outcome},
                  {"status", std::int64_t(Status)},
                  {"upstream", Target.Id.Value},
                  {"attempts", std::int64_t(History.Attempts)},
                  {"refused_by_upstreams", std::int64_t(Refusals)},
                  {"waited_ms", std::int64_t(Waited.count())},
                  {"first_event_ms", std::int64_t(FirstByte.count())},
                  {"took_ms", std::int64_t(Took.count())},
                  {"share_fill", HasWorkspace ? Owner.Shares.fillOf(Who) : 0.0},
                  {"config", std::int64_t(Config->Version.Value)}});
}

} // namespace mallowglade::dataplane

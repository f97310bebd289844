#include <mallowglade/detail/dataplane/request_run.hpp>

#include <mallowglade/detail/dataplane/queued_request.hpp>

#include <asio/post.hpp>
#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

/// An attempt that sent nothing, such as a refused connection, does not count
/// against the route's attempts. It ends the request once more than this many
/// attempts were not executed.
constexpr unsigned MaxUnexecutedAttempts = 4;

bool isSuccess(unsigned Status) { return Status < 300; }

} // namespace

RequestRun::RequestRun(Traffic &Proxy,
                       std::shared_ptr<http1::ServerExchange> Exchange,
                       RequestMetadata Metadata,
                       std::shared_ptr<const Configuration> Config,
                       const Route &MatchedRoute, WorkspaceId Workspace,
                       RequestFeatures Features, bool IsProbe)
    : Proxy(Proxy), Exchange(std::move(Exchange)),
      Metadata(std::move(Metadata)), Config(std::move(Config)),
      MatchedRoute(MatchedRoute), Workspace(std::move(Workspace)),
      Features(std::move(Features)), IsProbe(IsProbe),
      DeadlineTimer(Proxy.Context), PauseTimer(Proxy.Context),
      Reader(MatchedRoute.Streaming) {}

void RequestRun::start() {
  Deadline = describeRequest(*this, MatchedRoute, Metadata, Workspace,
                             pickService(MatchedRoute, Proxy.Random),
                             Proxy.Time.now());
  History.Idempotent = MatchedRoute.Idempotent;
  History.MaxAttempts = MatchedRoute.MaxAttempts;
  if (HasWorkspace)
    Proxy.Shares.recordDemand(ShareKey, ShareTokens);
  Proxy.Retries.recordRequest(Query.Service);
  Exchange->OnDisconnected = [Self = shared_from_this()] {
    Self->onCallerDisconnected();
  };
  armDeadline(Deadline);
  Proxy.Queue.submit(shared_from_this());
}

Milliseconds RequestRun::timeLeft() const {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Proxy.Time.now());
}

void RequestRun::armDeadline(TimePoint End) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(End - Proxy.Time.now());
  DeadlineTimer.expires_after(std::max(Milliseconds(0), Left));
  DeadlineTimer.async_wait([Weak = weak_from_this()](std::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && !Self->Done)
      Self->onDeadline();
  });
}

void RequestRun::place(const PlacementChoice &Choice) {
  if (Done)
    return;
  // If the event loop lags, it may not have reported yet that the caller closed
  // its connection.
  if (Exchange->clientDisconnected()) {
    asio::post(Proxy.Context,
               [Self = shared_from_this()] { Self->onCallerDisconnected(); });
    return;
  }
  if (!Workspace.empty() && !Proxy.credentialsFresh()) {
    refuse(Refusal::CredentialsNotFresh, FailureRetryAfter);
    return;
  }
  // The quarantine may have begun while the request was queued.
  if (!IsProbe && Proxy.Crashes.refusedFor(Features)) {
    refuse(Refusal::CrashesUpstreams, QuarantineRetryAfter);
    return;
  }
  if (Proxy.Crashes.mustWait(Features)) {
    refuse(Refusal::CrashesSuspected, SuspicionRetryAfter);
    return;
  }
  TargetUpstream = Choice.Upstream->Record;
  TargetProcess = upstreamProcess(TargetUpstream);
  ReservedLoad =
      Query.Work.load(Choice.PrefixCached || Choice.FetchFrom != nullptr);
  KvCacheSource =
      Choice.FetchFrom != nullptr
          ? fmt::format("{}:{}",
                        Choice.FetchFrom->Record.Address.address().to_string(),
                        Choice.FetchFrom->Record.Address.port())
          : "";
  Proxy.Upstreams.add(TargetUpstream.Id, ReservedLoad);
  Proxy.Counters.PrefixesFetched += Choice.FetchFrom != nullptr ? 1 : 0;
  Proxy.Upstreams.limits().recordStart(TargetProcess);
  Proxy.Counters.LeftZoneForLoad += Choice.Leaves == LeavesZone::ForLoad;
  Proxy.Counters.LeftZoneForPrefix += Choice.Leaves == LeavesZone::ForPrefix;
  SentAt = Proxy.Time.now();
  Reader.reset();
  Head = http1::ResponseHead();
  Dispatched = true;
  const bool NeedsNewConnection =
      !History.Idempotent && Choice.Upstream->RefusesUnidentified;
  Connection = Proxy.Pool.acquire(TargetUpstream.Address, NeedsNewConnection);
  Connection->send(buildForwardedRequest(*Choice.Upstream),
                   Metadata.Attempt.Value, Exchange->Head.Method == "HEAD",
                   shared_from_this());
}

std::string
RequestRun::buildForwardedRequest(const UpstreamState &Destination) const {
  const http1::RequestHead &CallerHead = Exchange->Head;
  std::string Message;
  constexpr std::size_t TypicalHeadBytes = 1'024;
  Message.reserve(TypicalHeadBytes + Exchange->Body.size());
  Message.append(CallerHead.Method)
      .append(" ")
      .append(CallerHead.Target)
      .append(" HTTP/1.1\r\n");
  const bool ResumesStream = !Reader.lastEventId().empty();
  for (const http1::HeaderField &Field : CallerHead.Headers.fields()) {
    if (http1::isHopByHop(Field.Name, CallerHead.Headers) ||
        Proxy.Wire.isRouterOnlyField(Field.Name) ||
        http1::equalsIgnoreCase(Field.Name, "content-length") ||
        http1::equalsIgnoreCase(Field.Name, "expect"))
      continue;
    if (http1::equalsIgnoreCase(Field.Name, "authorization") &&
        !Config->Workspaces.empty())
      continue;
    if (ResumesStream && http1::equalsIgnoreCase(Field.Name, "last-event-id"))
      continue;
    http1::appendField(Message, Field.Name, Field.Value);
  }
  ForwardFields Fields;
  Fields.TimeLeft = std::max(Milliseconds(1), timeLeft());
  Fields.ExpectedUpstream = Destination.Record.Id;
  Fields.Workspace = Workspace;
  Fields.KvCacheSource = KvCacheSource;
  if (ResumesStream)
    Fields.LastEventId = Reader.lastEventId();
  Proxy.Wire.appendForwardFields(Message, Fields);
  if (!Exchange->Body.empty() ||
      (CallerHead.Method != "GET" && CallerHead.Method != "HEAD"))
    http1::appendField(Message, "Content-Length",
                       std::to_string(Exchange->Body.size()));
  Message.append("\r\n").append(Exchange->Body);
  return Message;
}

bool RequestRun::maySend() {
  const bool Refused = !IsProbe && Proxy.Crashes.refusedFor(Features);
  // A connection that takes long may be established when the upstream is back.
  return !Refused && Proxy.Upstreams.takesRequests(TargetUpstream) &&
         !Proxy.Upstreams.cold().turnedColdAfter(TargetProcess, SentAt);
}

bool RequestRun::acceptsUnidentified(const http1::ResponseHead &Received) {
  const ResponseMetadata Response = Proxy.Wire.readResponse(Received);
  const bool Refusal = Response.NotExecuted;
  Proxy.Log.writeForRequest("response_unidentified",
                            {{"request", Metadata.Attempt.Value},
                             {"upstream", TargetUpstream.Id.Value},
                             {"status", std::int64_t(Received.Status)},
                             {"refusal", Refusal ? "true" : "false"}});
  if (!Refusal)
    return false;
  Proxy.Upstreams.refusedUnidentified(TargetUpstream.Id);
  // An idempotent request may run again if this is a copy of an earlier
  // refusal.
  if (History.Idempotent)
    return true;
  Proxy.observe(TargetUpstream, Response, SentAt);
  if (!RefusalUnproven) {
    RefusalUnproven = true;
    armDeadline(
        std::min(Deadline, Proxy.Time.now() + MatchedRoute.LatencyObjective));
  }
  return false;
}

void RequestRun::onResponseHead(http1::ResponseHead &Received) {
  Head = std::move(Received);
  const ResponseMetadata Response = Proxy.Wire.readResponse(Head);
  if (RefusalUnproven) {
    RefusalUnproven = false;
    armDeadline(Deadline);
  }
  if (Response.NotExecuted && !Response.Identified)
    Proxy.Upstreams.refusedUnidentified(TargetUpstream.Id);
  Proxy.observe(TargetUpstream, Response, SentAt);
  if (Response.Signed)
    Proxy.Crashes.recordAlive(TargetProcess);
  const ResponseFault Fault = Reader.begin(Head, Response, RelayStarted);
  if (Fault != ResponseFault::None)
    failResponse(Fault);
}

void RequestRun::onResponseBody(std::string_view Data) {
  if (Reader.handling() != ResponseReader::Handling::Discard)
    Proxy.Crashes.recordAlive(TargetProcess);
  const ResponseFault Fault = Reader.receive(Data);
  if (Reader.relaysBody())
    relay();
  if (Fault != ResponseFault::None)
    failResponse(Fault);
}

void RequestRun::recordFirstEvent() {
  if (ReservedLoad.UnreadPrompt > 0) {
    UpstreamLoad PromptLoad;
    PromptLoad.UnreadPrompt = ReservedLoad.UnreadPrompt;
    Proxy.Upstreams.remove(TargetUpstream.Id, PromptLoad);
    ReservedLoad.UnreadPrompt = 0;
    Proxy.scheduleDispatch();
  }
  if (FirstEventDelay.count() < 0) {
    Proxy.Placer.recordPrefixRead(Query, TargetProcess);
    FirstEventDelay =
        std::chrono::duration_cast<Milliseconds>(Proxy.Time.now() - Arrived);
    Proxy.Placer.recordFirstEvent(FirstEventDelay <=
                                  MatchedRoute.LatencyObjective);
  }
}

void RequestRun::beginRelay() {
  if (RelayStarted)
    return;
  RelayStarted = true;
  Exchange->OnDrained = [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->PauseTimer.cancel();
    Self->Window.reset();
    if (Self->Connection)
      Self->Connection->resume();
  };
  Exchange->startBody(Head.Status, responseFields(Head));
}

void RequestRun::relay() {
  const std::string Bytes = Reader.takeRelayable();
  if (Bytes.empty())
    return;
  if (Reader.handling() == ResponseReader::Handling::RelayEvents)
    recordFirstEvent();
  beginRelay();
  Exchange->send(Bytes);
  if (Window.isFull(Exchange->unsentBytes()) && Connection)
    pauseUpstream();
}

void RequestRun::pauseUpstream() {
  Connection->pause();
  PauseTimer.expires_after(RelayWindow::MaxPause);
  PauseTimer.async_wait([Weak = weak_from_this()](std::error_code Error) {
    const auto Self = Weak.lock();
    if (Error || !Self || !Self->Connection)
      return;
    Self->Window.widen();
    Self->Connection->resume();
  });
}

http1::HeaderList
RequestRun::responseFields(const http1::ResponseHead &UpstreamHead) const {
  http1::HeaderList Fields;
  for (const http1::HeaderField &Field : UpstreamHead.Headers.fields())
    if (!http1::isHopByHop(Field.Name, UpstreamHead.Headers) &&
        !http1::equalsIgnoreCase(Field.Name, "content-length"))
      Fields.add(Field.Name, Field.Value);
  return Fields;
}

void RequestRun::onResponseEnd() {
  if (Done)
    return;
  if (Reader.handling() == ResponseReader::Handling::Discard) {
    endRefusedAttempt(true);
    return;
  }
  const ResponseFault Fault = Reader.end();
  if (Fault != ResponseFault::None) {
    failResponse(Fault);
    return;
  }
  if (Reader.relaysBody())
    relay();
  endAttempt(true);
  Proxy.Upstreams.answered(TargetUpstream.Id);
  recordTaken(
      std::chrono::duration_cast<Milliseconds>(Proxy.Time.now() - SentAt));
  if (isSuccess(Head.Status))
    Proxy.Crashes.recordAnswered(Features);
  if (!Reader.relaysBody()) {
    Exchange->OnDisconnected = nullptr;
    Exchange->respond(Head.Status, responseFields(Head), Reader.bufferedBody());
    complete(isSuccess(Head.Status) ? "answered" : "upstream_status",
             Head.Status);
    return;
  }
  beginRelay();
  Exchange->OnDisconnected = nullptr;
  Exchange->finish();
  complete(isSuccess(Head.Status) ? "answered" : "upstream_status",
           Head.Status);
}

void RequestRun::endRefusedAttempt(bool KeepConnection) {
  ++UnexecutedAttempts;
  endAttempt(KeepConnection);
  Proxy.Placer.smallServices().recordRefusal(Query.Service);
  retryOrFail(AttemptFailure::RefusedByUpstream, "upstream_refused");
}

void RequestRun::failResponse(ResponseFault Fault) {
  if (Reader.handling() == ResponseReader::Handling::Discard) {
    endRefusedAttempt(false);
    return;
  }
  endAttempt(false);
  recordTaken(std::nullopt);
  if (Fault == ResponseFault::BrokenOff) {
    Proxy.Upstreams.failed(TargetUpstream.Id);
    recordBrokenOff();
  }
  retryOrFail(AttemptFailure::Interrupted, toString(Fault));
}

void RequestRun::onExchangeFailed(http1::ExchangeFailure Failure) {
  if (Done)
    return;
  endAttempt(false);
  if (Failure == http1::ExchangeFailure::Withdrawn ||
      Failure == http1::ExchangeFailure::NotConnected)
    Proxy.Upstreams.limits().recordNotSent(TargetProcess);
  if (Failure == http1::ExchangeFailure::Withdrawn) {
    retryOrFail(AttemptFailure::NotSent, "upstream_unavailable");
    return;
  }
  if (Failure == http1::ExchangeFailure::ClosedBeforeUse ||
      Failure == http1::ExchangeFailure::NotConnected) {
    if (Failure == http1::ExchangeFailure::NotConnected) {
      Proxy.Upstreams.failed(TargetUpstream.Id);
      Proxy.Crashes.recordGone(TargetProcess);
      Proxy.observeUnreachable(TargetProcess);
    }
    retryOrFail(AttemptFailure::NotSent, "not_connected");
    return;
  }
  Proxy.Upstreams.failed(TargetUpstream.Id);
  recordTaken(std::nullopt);
  if (Failure == http1::ExchangeFailure::Interrupted)
    recordBrokenOff();
  if (Failure == http1::ExchangeFailure::Unresponsive)
    Proxy.observeUnreachable(TargetProcess);
  retryOrFail(AttemptFailure::Interrupted,
              Failure == http1::ExchangeFailure::Malformed ? "answer_malformed"
                                                           : "connection_lost");
}

void RequestRun::recordTaken(std::optional<Milliseconds> Took) {
  constexpr unsigned FirstServerError = 500;
  Proxy.Placer.smallServices().recordOutcome(Query.Service, TargetProcess, Took,
                                             !Took || Head.Status >=
                                                          FirstServerError);
}

void RequestRun::recordBrokenOff() {
  const UpstreamState *State = Proxy.Upstreams.find(TargetUpstream.Id);
  // An upstream that leaves or is evacuated may end with requests running.
  if (State != nullptr && State->staysInUse())
    Proxy.Crashes.recordBrokenOff(Features, TargetProcess, SentAt);
}

void RequestRun::releaseLoad() {
  if (ReservedLoad.Running > 0)
    Proxy.Upstreams.remove(TargetUpstream.Id, ReservedLoad);
  ReservedLoad = UpstreamLoad();
  Proxy.scheduleDispatch();
}

void RequestRun::endAttempt(bool KeepConnection) {
  releaseLoad();
  const auto FinishedConnection = std::move(Connection);
  Connection = nullptr;
  if (!FinishedConnection)
    return;
  if (KeepConnection && !Proxy.Upstreams.isLeaving(TargetUpstream) &&
      !Proxy.Upstreams.isEvacuated(TargetUpstream.Id))
    Proxy.Pool.release(TargetUpstream.Address, FinishedConnection);
  else
    FinishedConnection->cancel();
}

void RequestRun::retryOrFail(AttemptFailure Failure, std::string_view Cause) {
  if (Failure == AttemptFailure::NotSent) {
    if (++UnexecutedAttempts > MaxUnexecutedAttempts)
      History.Attempts = History.MaxAttempts;
  } else {
    ++History.Attempts;
  }
  const bool WasRelaying = RelayStarted;
  const bool MayRetry =
      (WasRelaying ? MatchedRoute.Resumable && !Reader.lastEventId().empty()
                   : true) &&
      !IsProbe && !Proxy.Crashes.refusedFor(Features);
  History.RetryAllowed = MayRetry && timeLeft().count() > 0 &&
                         (Failure == AttemptFailure::NotSent ||
                          Proxy.Retries.tryTake(Query.Service));
  const NextStep Next = decideNextStep(History, Failure);
  if (Next == NextStep::Retry) {
    ++Proxy.Counters.Retries;
    if (WasRelaying)
      ++Proxy.Counters.ResumedStreams;
    Proxy.Log.writeForRequest("retry",
                              {{"request", Metadata.Attempt.Value},
                               {"upstream", TargetUpstream.Id.Value},
                               {"cause", Cause},
                               {"attempts", std::int64_t(History.Attempts)},
                               {"shared_parts", sharedParts()}});
    Query.Excluded.insert(TargetUpstream.Id);
    QueueDeadline = Deadline;
    PreviouslySent = true;
    Proxy.Queue.submit(shared_from_this());
    return;
  }
  if (WasRelaying) {
    Exchange->abort();
    complete(Cause, 0);
    return;
  }
  if (Next == NextStep::FailNotRun)
    respondWithError(503, Cause, FailureRetryAfter);
  else
    respondWithError(502, Cause, std::nullopt);
}

} // namespace mallowglade::dataplane

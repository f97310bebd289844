#include <mallowglade/detail/dataplane/request_run.hpp>

#include <fmt/format.h>

namespace mallowglade::dataplane {

namespace {

bool isRefusalStatus(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string formatSeconds(Milliseconds Duration) {
  return fmt::format("{:.2f}", std::chrono::duration<double>(Duration).count());
}

} // namespace

void RequestRun::respondWithError(unsigned Status, std::string_view Cause,
                                  std::optional<Milliseconds> RetryAfter) {
  http1::HeaderList Fields;
  if (RetryAfter)
    Fields.add("Retry-After", formatSeconds(*RetryAfter));
  Exchange->OnDisconnected = nullptr;
  Exchange->respond(Status, Fields, "");
  complete(Cause, Status);
}

void RequestRun::refuse(Refusal Reason, Milliseconds RetryAfter) {
  if (Done)
    return;
  if (RelayStarted) {
    Exchange->abort();
    complete(toString(Reason), 0);
    return;
  }
  if (History.MayHaveRun) {
    respondWithError(502, toString(Reason), std::nullopt);
    return;
  }
  if (Reason == Refusal::CrashesUpstreams)
    ++Proxy.Counters.RefusedForQuarantine;
  if (Reason == Refusal::UpstreamsLimited)
    ++Proxy.Counters.RefusedForLimits;
  if (Reason == Refusal::ZonesEvacuated)
    ++Proxy.Counters.RefusedForEvacuation;
  if (Reason == Refusal::NoHomeUpstream)
    ++Proxy.Counters.RefusedForHomes;
  const unsigned Status = Reason == Refusal::ShareUsedUp ? 429 : 503;
  respondWithError(Status, toString(Reason), RetryAfter);
}

void RequestRun::onDeadline() {
  Proxy.Queue.withdraw(this);
  const bool AwaitingUpstream = Connection != nullptr;
  if (AwaitingUpstream)
    recordTaken(std::nullopt);
  endAttempt(false);
  if (RelayStarted) {
    Exchange->abort();
    complete("deadline", 0);
    return;
  }
  if (RefusalUnproven)
    respondWithError(502, toString(ResponseFault::UnprovenRefusal),
                     std::nullopt);
  else if (AwaitingUpstream || History.MayHaveRun)
    respondWithError(504, "deadline", std::nullopt);
  else
    respondWithError(503, "deadline", FailureRetryAfter);
}

void RequestRun::onCallerDisconnected() {
  if (Done)
    return;
  Proxy.Queue.withdraw(this);
  endAttempt(false);
  if (Proxy.Ending) {
    complete("router_stopped", 0);
    return;
  }
  ++Proxy.Counters.CallersGone;
  complete("caller_gone", 0);
}

void RequestRun::complete(std::string_view Outcome, unsigned Status) {
  if (Done)
    return;
  Done = true;
  DeadlineTimer.cancel();
  PauseTimer.cancel();
  Exchange->OnDisconnected = nullptr;
  Exchange->OnDrained = nullptr;
  log(Outcome, Status);
  if (Outcome == "answered")
    ++Proxy.Counters.Answered;
  else if (isRefusalStatus(Status))
    ++Proxy.Counters.Refused;
  else
    ++Proxy.Counters.Failed;
}

std::string RequestRun::sharedParts() const {
  std::string Text;
  for (std::size_t Index = 0; Index + 1 < Metadata.Parts.size(); ++Index)
    fmt::format_to(std::back_inserter(Text), "{}{:x}", Index == 0 ? "" : ",",
                   Metadata.Parts[Index].Hash);
  return Text;
}

void RequestRun::log(std::string_view Outcome, unsigned Status) {
  // Formatted only for requests whose cause of failure may be looked for.
  const std::string Parts = History.Attempts > 0 ? sharedParts() : "";
  const auto TotalTime =
      std::chrono::duration_cast<Milliseconds>(Proxy.Time.now() - Arrived);
  const auto QueueTime =
      Dispatched ? std::chrono::duration_cast<Milliseconds>(SentAt - Arrived)
                 : TotalTime;
  Proxy.Log.writeForRequest(
      "request",
      {{"request", Metadata.Attempt.Value},
       {"route", MatchedRoute.Name},
       {"workspace", Workspace.Value},
       {"caller", Exchange->ClientAddress.to_string()},
       {"outcome", Outcome},
       {"status", std::int64_t(Status)},
       {"upstream", TargetUpstream.Id.Value},
       {"attempts", std::int64_t(History.Attempts)},
       {"refused_by_upstreams", std::int64_t(UnexecutedAttempts)},
       {"waited_ms", std::int64_t(QueueTime.count())},
       {"first_event_ms", std::int64_t(FirstEventDelay.count())},
       {"took_ms", std::int64_t(TotalTime.count())},
       {"framing", http1::toString(Head.Framing)},
       {"body_bytes", std::int64_t(Reader.bodyBytes())},
       {"incomplete_event_bytes", std::int64_t(Reader.incompleteEventBytes())},
       {"shared_parts", Parts},
       {"share_fill", HasWorkspace ? Proxy.Shares.shareFill(ShareKey) : 0.0},
       {"config", std::int64_t(Config->Version.Value)}});
}

} // namespace mallowglade::dataplane

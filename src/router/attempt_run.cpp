#include <mallowglade/detail/router/request_run.hpp>

#include <mallowglade/detail/platform/tcp_probe.hpp>
#include <mallowglade/detail/router/attempt_meter.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

#include <thread>

namespace mallowglade {

namespace {

constexpr Milliseconds UpstreamConnectTimeout{1'000};
constexpr Milliseconds ProgressPeriod{250};
constexpr Milliseconds ProbeTimeout{500};
/// A proxy accepts connections for an upstream that is gone, then closes them.
constexpr Milliseconds ProbeHold{100};
/// The sockets of a process that crashes do not all close at once.
constexpr Milliseconds CrashSettleTime{20};
constexpr int ServerErrorStatus = 500;

/// Passes the bytes of one attempt on to the answer.
class AttemptSink final : private EventDataReceiver {
public:
  AttemptSink(Answer &Target, EventStream &Events, AttemptMeter &Meter)
      : Target(Target), Events(Events), Meter(Meter),
        BegunStatus(Target.status()) {}

  void onHead(const UpstreamHead &NewHead) {
    Head = NewHead;
    Streaming = Head.ContentType.starts_with("text/event-stream") &&
                Head.Status < ServerErrorStatus;
    Events.reset();
    // Callers have a part of a stream: only its rest can be added to it.
    NotResumed = BegunStatus && !(Streaming && Head.Status == *BegunStatus);
    if (Streaming && !NotResumed)
      Target.begin({Head.Status, Head.ContentType});
  }

  /// @return false if the rest of the answer is not wanted
  bool onBytes(std::string_view Bytes) {
    if (NotResumed)
      return false;
    if (!Streaming) {
      Whole.append(Bytes);
      TooLarge = Whole.size() > Answer::MaxBytes;
      return !TooLarge;
    }
    Target.append(Events.feed(Bytes, this));
    Meter.tokens(Events.dataLineCount());
    TooLarge = Events.eventTooLarge() || Target.size() > Answer::MaxBytes;
    return !TooLarge;
  }

  /// Completes the answer; an incomplete stream counts as a lost connection.
  AttemptEnd end(AttemptEnd End) {
    if (End == AttemptEnd::Refused)
      return End;
    if (TooLarge || NotResumed)
      return AttemptEnd::Unusable;
    if (End != AttemptEnd::Answered)
      return End;
    if (Streaming && !Events.done())
      return AttemptEnd::ConnectionLost;
    if (!Streaming) {
      Meter.usageOf(Whole);
      Target.begin({Head.Status, Head.ContentType});
      Target.append(Whole);
    }
    return End;
  }

  const UpstreamHead &head() const { return Head; }

private:
  void onEventData(std::string_view Data) override { Meter.usageOf(Data); }

  Answer &Target;
  EventStream &Events;
  AttemptMeter &Meter;
  /// Status of the answer if an earlier attempt has begun it.
  std::optional<int> BegunStatus;
  UpstreamHead Head;
  bool Streaming = false;
  bool NotResumed = false;
  bool TooLarge = false;
  std::string Whole;
};

/// A new connection tells an upstream that is gone from a connection that was
/// cut or went silent.
bool isGone(AttemptEnd End, const std::string &Address) {
  if (End == AttemptEnd::ConnectionLost) {
    std::this_thread::sleep_for(CrashSettleTime);
    return !detail::keepsTcpOpen(Address, ProbeTimeout, ProbeHold);
  }
  if (End != AttemptEnd::Silent)
    return End == AttemptEnd::ConnectFailed;
  return !detail::acceptsTcp(Address, ProbeTimeout);
}

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
  const TimePoint SentAt = Context.Time.now();
  TimePoint LastReport = SentAt;
  UpstreamReceiver Receiver;
  Receiver.OnHead = [&](const UpstreamHead &Head) {
    Sink.onHead(Head);
    // Told at once: a stream may go on for long.
    if (Head.Rate)
      Context.Control.post([Self = shared_from_this(), Where, Rate = Head.Rate,
                            Now = Context.Time.now()] {
        Self->Context.Services.find<UpstreamDirectory>(service_name::Upstreams)
            ->recordLimit(Where.Upstream, Rate, Now);
      });
  };
  Receiver.OnBytes = [&](std::string_view Bytes) {
    const bool Wanted = Sink.onBytes(Bytes);
    if (Context.Time.now() - LastReport < ProgressPeriod)
      return Wanted;
    LastReport = Context.Time.now();
    Context.Control.post([Self = shared_from_this(), Id = Request.Id, Where,
                          Progress = Meter.progress()] {
      Self->Context.Services.find<Dispatcher>(service_name::Dispatcher)
          ->progress(Id, Where, Progress);
    });
    return Wanted;
  };
  // The bytes of a whole answer come at its end, so that a slow upstream looks
  // like a silent connection for longer.
  const Milliseconds Silence =
      Request.Streamed ? Request.Pool.GapLimit : Request.Pool.AnswerLimit;
  const AttemptEnd Raw =
      callUpstream(Where.Address, Payload, {UpstreamConnectTimeout, Silence},
                   Receiver, &Current->Cancellation);
  AttemptEnd End = Sink.end(Raw);
  const bool Gone = isGone(End, Where.Address);
  // An upstream that went silent before it was gone may have lost its network;
  // its requests are no suspects.
  if (Gone && End == AttemptEnd::ConnectionLost)
    End = AttemptEnd::UpstreamCrashed;
  const bool Cut = End == AttemptEnd::ConnectionLost;
  Context.Control.post([Self = shared_from_this(), Current, Where, End, Gone,
                        Cut, SentAt, Head = Sink.head(),
                        Progress = Meter.progress()] {
    const auto Upstreams =
        Self->Context.Services.find<UpstreamDirectory>(service_name::Upstreams);
    if (Head.Status != 0 && !Head.Rate && !Head.RateUnreadable)
      Upstreams->recordLimit(Where.Upstream, std::nullopt, SentAt);
    if (Head.Leaving)
      Upstreams->markLeaving(Where.Upstream);
    else if (Gone)
      Upstreams->markDown(Where.Upstream);
    else if (End == AttemptEnd::Refused && Head.RetryAfterSeconds > 0)
      Upstreams->pause(Where.Upstream,
                       std::chrono::seconds(Head.RetryAfterSeconds));
    const bool Free = End == AttemptEnd::ConnectFailed ||
                      (End == AttemptEnd::Refused &&
                       (Head.Leaving || Head.RetryAfterSeconds > 0));
    Self->attemptEnded(Current, Where, {End, Cut, Free}, Progress);
  });
}

} // namespace mallowglade

#include <mallowglade/detail/router/cell_dispatcher.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds CellTickPeriod{20};
constexpr Milliseconds MeasurePeriod{1'000};
constexpr Milliseconds SoonDelay{5};
constexpr Milliseconds RetryLater{1'000};
/// A refusal without a longer wait of its own keeps work away for this time.
constexpr Milliseconds BusyPause{1'000};

namespace message_type {
constexpr const char *Demand = "demand";
constexpr const char *Progress = "progress";
constexpr const char *Completion = "completion";
constexpr const char *GrantReturn = "grant_return";
constexpr const char *Grant = "grant";
constexpr const char *Allotment = "allotment";
constexpr const char *Limits = "limits";
} // namespace message_type

GrantEnd grantEndOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return GrantEnd::Answered;
  case AttemptEnd::ConnectFailed:
  case AttemptEnd::Refused:
    return GrantEnd::NotRun;
  case AttemptEnd::UpstreamCrashed:
    return GrantEnd::Crashed;
  case AttemptEnd::ConnectionLost:
  case AttemptEnd::Unusable:
  case AttemptEnd::Silent:
  case AttemptEnd::Cancelled:
    return GrantEnd::Cancelled;
  }
  return GrantEnd::Cancelled;
}

} // namespace

CellDispatcher::CellDispatcher(RouterContext Context,
                               std::shared_ptr<PlacementGuard> Guard)
    : Context(Context), Guard(std::move(Guard)),
      Loads(std::make_shared<LoadPoller>(Context)), Random(systemSeed()) {}

void CellDispatcher::start() {
  Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  Members = Context.Services.find<MemberService>(service_name::Members);
  Upstreams = Context.Services.find<UpstreamDirectory>(service_name::Upstreams);
  handle(message_type::Demand, &CellDispatcher::onDemand);
  handle(message_type::Progress, &CellDispatcher::onProgress);
  handle(message_type::Completion, &CellDispatcher::onCompletion);
  handle(message_type::GrantReturn, &CellDispatcher::onGrantReturn);
  handle(message_type::Grant, &CellDispatcher::onGrant);
  handle(message_type::Allotment, &CellDispatcher::onAllotment);
  handle(message_type::Limits, &CellDispatcher::onLimits);
  listen();
  applySettings();
  const auto Self = shared_from_this();
  Context.Control.postEvery(CellTickPeriod, [Self] { Self->tick(); });
  Context.Control.postEvery(MeasurePeriod, [Self] { Self->measure(); });
}

void CellDispatcher::listen() {
  // The services outlive a dispatcher only if the callbacks do not own it.
  const std::weak_ptr<CellDispatcher> Weak = weak_from_this();
  const auto Notify = [Weak](void (CellDispatcher::*Apply)()) {
    return [Weak, Apply] {
      if (const auto Self = Weak.lock())
        (Self.get()->*Apply)();
    };
  };
  Context.Services.find<SettingsService>(service_name::Settings)
      ->onChange(Notify(&CellDispatcher::applySettings));
  Members->onChange(Notify(&CellDispatcher::applyMembers));
  Upstreams->onChange(Notify(&CellDispatcher::applyReplicas));
}

template <class Message>
void CellDispatcher::handle(std::string_view Type,
                            void (CellDispatcher::*Receive)(const RouterId &,
                                                            const Message &)) {
  Handlers[std::string(Type)] = [this, Receive](const RouterId &From,
                                                std::string_view Bytes) {
    const Result<Message> Decoded = decode<Message>(Bytes);
    if (isOk(Decoded))
      (this->*Receive)(From, valueOf(Decoded));
    else
      Context.Log.warning("message from a router cannot be decoded",
                          {{"router", From.Value}});
  };
  if (Peers == nullptr)
    return;
  const std::weak_ptr<CellDispatcher> Weak = weak_from_this();
  Peers->onMessage(Type, [Weak, Name = std::string(Type)](
                             const PeerSender &From, std::string_view Body) {
    if (const auto Self = Weak.lock())
      Self->deliver(From.Router, Name, Body);
  });
}

template <class Message>
void CellDispatcher::send(const RouterId &Recipient, std::string_view Type,
                          const Message &Body) {
  std::string Bytes = encode(Body);
  const bool Own = Recipient == Members->self().Id;
  Context.Measures.count(
      "mallowglade_cell_message_bytes_total",
      {{"type", std::string(Type)}, {"path", Own ? "local" : "network"}},
      Bytes.size());
  if (!Own) {
    if (Peers != nullptr)
      Peers->send(Recipient, Type, std::move(Bytes));
    return;
  }
  // Posted instead of called, so that a decision never runs inside another.
  Context.Control.post(
      [Self = shared_from_this(), Recipient, Name = std::string(Type),
       Bytes = std::move(Bytes)] { Self->deliver(Recipient, Name, Bytes); });
}

void CellDispatcher::deliver(const RouterId &From, std::string_view Type,
                             std::string_view Body) {
  const auto Found = Handlers.find(Type);
  if (Found != Handlers.end())
    Found->second(From, Body);
}

void CellDispatcher::enqueue(DispatchRequest Request, Reply Done) {
  const auto Pool = Pools.find(Request.Pool);
  if (Pool == Pools.end()) {
    Done(Refusal{{ErrorId::NoCapacity, "the pool is gone", ""}, RetryLater});
    return;
  }
  QueueRequest Entry;
  Entry.Id = Request.Id;
  Entry.Workspace = Request.Workspace;
  Entry.Hint = Request.Hint;
  Entry.RequestFingerprint = Request.RequestFingerprint;
  Entry.PrefixHash = Request.PrefixHash;
  Entry.Avoid = std::move(Request.Avoid);
  Entry.Retry = Request.Retry;
  Waiting[Request.Id] = {Request.Pool, std::move(Done)};
  const auto Refused =
      Pool->second.Queue.enqueue(std::move(Entry), Context.Time.now());
  if (Refused)
    refuse(*Refused);
  else
    runSoon();
}

void CellDispatcher::refuse(const RefusedRequest &Refused) {
  auto Found = Waiting.extract(Refused.Request);
  if (!Found.empty())
    Found.mapped().Done(Refusal{Refused.Reason, Refused.RetryAfter});
}

bool CellDispatcher::cancel(const RequestId &Request) {
  const auto Found = Waiting.find(Request);
  if (Found == Waiting.end())
    return false;
  const bool Queued = Pools.at(Found->second.Pool).Queue.cancel(Request);
  Waiting.erase(Found);
  runSoon();
  return Queued;
}

void CellDispatcher::progress(const RequestId &, const Assignment &Where,
                              const AttemptProgress &State) {
  for (auto &[Id, Pool] : Pools)
    Pool.Queue.progress(
        {Where.Grant, State.Served, State.FirstToken, State.InterToken});
}

void CellDispatcher::finish(const RequestId &, const Assignment &Where,
                            AttemptEnd End, const AttemptProgress &State) {
  for (auto &[Id, Pool] : Pools) {
    Completion Done;
    Done.Grant = Where.Grant;
    Done.Served = State.Served;
    Done.End = grantEndOf(End);
    Done.FirstToken = State.FirstToken;
    Done.InterToken = State.InterToken;
    Done.Signal = upstreamSignal(Where.Upstream, End);
    const auto Message = Pool.Queue.finish(Done, Context.Time.now());
    if (Message)
      send(Pool.Owner, message_type::Completion, *Message);
  }
}

UpstreamSignal CellDispatcher::upstreamSignal(const UpstreamId &Id,
                                              AttemptEnd End) const {
  if (End == AttemptEnd::ConnectFailed || End == AttemptEnd::UpstreamCrashed)
    return UpstreamSignal::Down;
  if (End != AttemptEnd::Refused)
    return UpstreamSignal::None;
  // The attempt marked the upstream as leaving if its refusal said so.
  return Upstreams->isLeaving(Id) ? UpstreamSignal::Leaving
                                  : UpstreamSignal::Busy;
}

void CellDispatcher::runSoon() {
  if (RunPlanned)
    return;
  RunPlanned = true;
  Context.Control.postAfter(SoonDelay, [Self = shared_from_this()] {
    Self->RunPlanned = false;
    for (auto &[Id, Pool] : Self->Pools)
      Self->reportDemand(Pool);
  });
}

void CellDispatcher::tick() {
  for (auto &[Id, Pool] : Pools) {
    for (const RefusedRequest &Refused : Pool.Queue.expire(Context.Time.now()))
      refuse(Refused);
    reportDemand(Pool);
    runCell(Pool);
  }
}

void CellDispatcher::reportDemand(PoolState &Pool) {
  const TimePoint Now = Context.Time.now();
  if (const auto Report = Pool.Queue.report(Now))
    send(Pool.Owner, message_type::Demand, *Report);
  if (const auto Update = Pool.Queue.progressReport(Now))
    send(Pool.Owner, message_type::Progress, *Update);
}

void CellDispatcher::runCell(PoolState &Pool) {
  if (Pool.OwnedCell == nullptr)
    return;
  for (const CellAction &Action : Pool.OwnedCell->decide(Context.Time.now())) {
    if (const auto *Granted = std::get_if<Outgoing<Grant>>(&Action))
      send(Granted->Recipient, message_type::Grant, Granted->Body);
    else if (const auto *Rates = std::get_if<Outgoing<Allotment>>(&Action))
      send(Rates->Recipient, message_type::Allotment, Rates->Body);
  }
}

CellDispatcher::PoolState *CellDispatcher::poolOf(const CellId &Id) {
  const auto Found = Pools.find(PoolId(Id.Value));
  return Found == Pools.end() ? nullptr : &Found->second;
}

Cell *CellDispatcher::ownedCell(const CellId &Id) {
  PoolState *Pool = poolOf(Id);
  return Pool == nullptr ? nullptr : Pool->OwnedCell.get();
}

void CellDispatcher::onDemand(const RouterId &From,
                              const DemandReport &Report) {
  if (Cell *OwnedCell = ownedCell(Report.Cell)) {
    OwnedCell->receive(From, Report, Context.Time.now());
    runCell(*poolOf(Report.Cell));
  }
}

void CellDispatcher::onProgress(const RouterId &From, const Progress &Update) {
  if (Cell *OwnedCell = ownedCell(Update.Cell))
    OwnedCell->receive(From, Update, Context.Time.now());
}

void CellDispatcher::onCompletion(const RouterId &From,
                                  const Completion &Done) {
  // Direct signals count at once, also before the instance list shows them.
  if (Done.Signal == UpstreamSignal::Down)
    Upstreams->markDown(Done.Upstream);
  else if (Done.Signal == UpstreamSignal::Leaving)
    Upstreams->markLeaving(Done.Upstream);
  else if (Done.Signal == UpstreamSignal::Busy)
    Upstreams->pause(Done.Upstream, BusyPause);
  if (Cell *OwnedCell = ownedCell(Done.Cell)) {
    OwnedCell->receive(From, Done, Context.Time.now());
    runCell(*poolOf(Done.Cell));
  }
}

void CellDispatcher::onGrantReturn(const RouterId &From,
                                   const GrantReturn &Back) {
  if (Cell *OwnedCell = ownedCell(Back.Cell)) {
    OwnedCell->receive(From, Back, Context.Time.now());
    runCell(*poolOf(Back.Cell));
  }
}

void CellDispatcher::onGrant(const RouterId &From, const Grant &Offer) {
  PoolState *Pool = poolOf(Offer.Cell);
  if (Pool == nullptr)
    return;
  const GrantOutcome Outcome = Pool->Queue.receive(Offer, Context.Time.now());
  if (const auto *Back = std::get_if<GrantReturn>(&Outcome)) {
    send(From, message_type::GrantReturn, *Back);
    return;
  }
  const auto *Dispatched = std::get_if<DispatchedRequest>(&Outcome);
  if (Dispatched == nullptr)
    return;
  runSoon();
  auto Found = Waiting.extract(Dispatched->Request);
  Assignment Where;
  Where.Grant = Dispatched->Grant;
  Where.Cell = From;
  Where.Upstream = Dispatched->Upstream;
  Where.Address = Dispatched->Address;
  Found.mapped().Done(Where);
}

void CellDispatcher::onLimits(const RouterId &, const LimitNotice &Notice) {
  const TimePoint Now = Context.Time.now();
  for (const LimitStatement &Said : Notice.Limits)
    Upstreams->recordLimit(Said.Upstream, Said.Rate, Now - Said.Age);
}

void CellDispatcher::reportLimits(PoolState &Pool) {
  if (Pool.Owner == Members->self().Id)
    return;
  LimitNotice Notice{CellId(Pool.Settings.Id.Value),
                     Upstreams->limits(Pool.Settings.Id)};
  if (!Notice.Limits.empty())
    send(Pool.Owner, message_type::Limits, Notice);
}

void CellDispatcher::onAllotment(const RouterId &, const Allotment &Rates) {
  if (PoolState *Pool = poolOf(Rates.Cell))
    Pool->Queue.receive(Rates, Context.Time.now());
}

} // namespace mallowglade

#include <mallowglade/detail/router/upstream_service.hpp>

#include <mallowglade/detail/platform/tcp_probe.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds RefreshPeriod{1'000};
constexpr Milliseconds ProbePeriod{1'000};
constexpr Milliseconds ProbeTimeout{500};
constexpr Milliseconds MaxPause{60'000};

} // namespace

UpstreamService::UpstreamService(RouterContext Context) : Context(Context) {}

std::vector<Upstream> UpstreamService::available(const PoolId &Pool) const {
  std::vector<Upstream> List;
  for (const auto &[Id, Known] : Entries)
    if (Known.Info.Pool == Pool && !Known.Leaving && !Known.Down &&
        Known.PausedUntil <= Context.Time.now())
      List.push_back(Known.Info);
  return List;
}

bool UpstreamService::isLeaving(const UpstreamId &Id) const {
  const auto Found = Entries.find(Id);
  return Found != Entries.end() && Found->second.Leaving;
}

void UpstreamService::markLeaving(const UpstreamId &Id) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Leaving)
    return;
  Found->second.Leaving = true;
  Context.Log.info("upstream is leaving", {{"upstream", Id.Value}});
  notify();
  if (!Found->second.Down)
    probe(Id);
}

void UpstreamService::pause(const UpstreamId &Id, Milliseconds Span) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  const Milliseconds Limited = std::min(Span, MaxPause);
  Found->second.PausedUntil = Context.Time.now() + Limited;
  notify();
  Context.Control.postAfter(Limited,
                            [Self = shared_from_this()] { Self->notify(); });
}

void UpstreamService::markDown(const UpstreamId &Id) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() || Found->second.Down)
    return;
  const bool Probing = Found->second.Leaving;
  Found->second.Down = true;
  Context.Log.warning("upstream does not accept connections",
                      {{"upstream", Id.Value}});
  notify();
  if (!Probing)
    probe(Id);
}

void UpstreamService::recordLimit(const UpstreamId &Id,
                                  std::optional<RequestRate> Rate,
                                  TimePoint SaidAt) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  Entry &Known = Found->second;
  if (SaidAt <= Known.LimitSaidAt || (!Rate && !Known.Info.Rate))
    return;
  Known.LimitSaidAt = SaidAt;
  if (Known.Info.Rate == Rate)
    return;
  if (Known.Info.Rate.has_value() != Rate.has_value())
    Context.Log.info(Rate ? "upstream names a limit"
                          : "upstream no longer names a limit",
                     {{"upstream", Id.Value},
                      {"per_second", std::to_string(Rate ? Rate->Value : 0)}});
  Known.Info.Rate = Rate;
  notify();
}

std::vector<LimitStatement> UpstreamService::limits(const PoolId &Pool) const {
  std::vector<LimitStatement> List;
  for (const auto &[Id, Known] : Entries)
    if (Known.Info.Pool == Pool && Known.LimitSaidAt != TimePoint{})
      List.push_back({Id, Known.Info.Rate,
                      std::chrono::ceil<Milliseconds>(Context.Time.now() -
                                                      Known.LimitSaidAt)});
  return List;
}

void UpstreamService::onChange(std::function<void()> Changed) {
  Listeners.push_back(std::move(Changed));
}

void UpstreamService::start() {
  refresh();
  Context.Control.postEvery(RefreshPeriod,
                            [Self = shared_from_this()] { Self->refresh(); });
}

void UpstreamService::refresh() {
  if (RefreshRunning)
    return;
  RefreshRunning = true;
  Context.Blocking.post([Self = shared_from_this()] {
    auto Listed = Self->Context.Instances.list();
    Self->Context.Control.post([Self, Listed = std::move(Listed)] {
      Self->RefreshRunning = false;
      if (isOk(Listed))
        Self->apply(valueOf(Listed));
    });
  });
}

void UpstreamService::apply(const std::vector<Instance> &Instances) {
  std::map<UpstreamId, Entry> Updated;
  for (const Instance &Listed : Instances) {
    if (Listed.Pool.empty())
      continue;
    const UpstreamId Id(Listed.Name);
    Entry Next;
    const auto Known = Entries.find(Id);
    if (Known != Entries.end() && Known->second.Info.Address == Listed.Address)
      Next = Known->second;
    Next.Info.Id = Id;
    Next.Info.Pool = Listed.Pool;
    Next.Info.Address = Listed.Address;
    Next.Info.Zone = Listed.Zone;
    Next.Info.MaxInFlight = Listed.MaxInFlight;
    // The list lags, so a direct signal of leaving is never taken back by it.
    Next.Leaving |= Listed.State == InstanceState::Leaving;
    Updated.emplace(Id, Next);
  }
  Entries = std::move(Updated);
  notify();
}

void UpstreamService::probe(const UpstreamId &Id) {
  Context.Control.postAfter(ProbePeriod, [Self = shared_from_this(), Id] {
    const auto Found = Self->Entries.find(Id);
    if (Found == Self->Entries.end())
      return;
    Self->Context.Blocking.post(
        [Self, Id, Address = Found->second.Info.Address] {
          const bool Accepts = detail::acceptsTcp(Address, ProbeTimeout);
          Self->Context.Control.post([Self, Id, Accepts] {
            const auto Again = Self->Entries.find(Id);
            if (Again == Self->Entries.end())
              return;
            Entry &Probed = Again->second;
            // An upstream that left and came back is a new process.
            if (Accepts && Probed.Down)
              Probed.Leaving = false;
            Probed.Down = !Accepts;
            if (Accepts && !Probed.Leaving)
              Self->notify();
            else
              Self->probe(Id);
          });
        });
  });
}

void UpstreamService::notify() {
  for (const auto &Changed : Listeners)
    Changed();
}

} // namespace mallowglade

#include <mallowglade/detail/router/router_registration.hpp>

#include <nlohmann/json.hpp>

namespace mallowglade {

namespace {

constexpr const char *KeyPrefix = "routers/";
constexpr std::chrono::seconds LeaseTime{10};
/// Two renewals fit into the lease, so one lost call does not end it. All 390
/// routers together make about 98 calls/s.
constexpr Milliseconds RenewPeriod{4'000};
constexpr Milliseconds RetryPeriod{2'000};
constexpr Milliseconds MinReadPeriod{10'000};
/// Reads of all routers together stay below 4/s at any fleet size.
constexpr Milliseconds ReadPeriodPerRouter{250};
/// A lost router's registration has lapsed this long after it was declared
/// dead at the latest; the spread keeps the reads of all routers apart.
constexpr Milliseconds LossReadDelay{6'000};
constexpr Milliseconds LossReadSpread{4'000};
constexpr Milliseconds InstanceReadPeriod{10'000};

} // namespace

RouterRegistration::RouterRegistration(RouterContext Context,
                                       RandomSource &Random)
    : Context(Context), Random(Random) {}

void RouterRegistration::start(Listener Registered, Listener Listed) {
  OnRegistered = std::move(Registered);
  OnListed = std::move(Listed);
  renew();
  readInstances();
}

Milliseconds RouterRegistration::jittered(Milliseconds Span) {
  constexpr std::uint64_t Fraction = 5;
  const auto Spread = static_cast<std::uint64_t>(Span.count()) * 2 / Fraction;
  const auto Shortest = Span.count() - Span.count() / std::int64_t(Fraction);
  return Milliseconds(Shortest + std::int64_t(Random.below(Spread + 1)));
}

std::string RouterRegistration::registrationValue() const {
  const nlohmann::json Value{{"incarnation", Context.Start.Value},
                             {"availability_zone", Context.Settings.Zone.Value},
                             {"address", Context.Settings.Advertise}};
  return Value.dump();
}

void RouterRegistration::renew() {
  Context.Blocking.post([Self = shared_from_this(), Lease = Held] {
    const Renewal Outcome = Self->renewBlocking(Lease);
    Self->Context.Control.post([Self, Outcome] { Self->onRenewed(Outcome); });
  });
}

RouterRegistration::Renewal RouterRegistration::renewBlocking(LeaseId Lease) {
  KeyValueStore &Store = Context.Store;
  if (Lease.Value != 0) {
    const auto Kept = Store.keepAlive(Lease);
    const bool Ended = !isOk(Kept) && errorOf(Kept).Id == ErrorId::NotFound;
    if (!Ended)
      return {Lease, isOk(Kept)};
  }
  const auto Granted = Store.grantLease(LeaseTime);
  if (!isOk(Granted))
    return {};
  Transaction Change;
  Change.Puts.push_back({KeyPrefix + Context.Settings.PeerAdvertise,
                         registrationValue(), valueOf(Granted)});
  const auto Written = Store.commit(Change);
  // Without a reply the write is repeated with a new lease; the old one
  // expires and takes nothing with it, since the key has moved on.
  if (!isOk(Written))
    return {};
  return {valueOf(Granted), true};
}

void RouterRegistration::onRenewed(const Renewal &Outcome) {
  Held = Outcome.Lease;
  if (Registered != Outcome.Succeeded)
    Context.Log.write(Outcome.Succeeded ? LogLevel::Info : LogLevel::Warning,
                      Outcome.Succeeded ? "registration is in force"
                                        : "registration cannot be renewed");
  Registered = Outcome.Succeeded;
  const bool First = !EverRegistered;
  EverRegistered = true;
  Context.Control.postAfter(jittered(Registered ? RenewPeriod : RetryPeriod),
                            [Self = shared_from_this()] { Self->renew(); });
  // Of two routers that start together, the one that reads later sees both.
  if (First)
    readRegistrations(true);
}

void RouterRegistration::readRegistrations(bool Again) {
  Context.Blocking.post([Self = shared_from_this(), Again] {
    const auto Read = Self->Context.Store.readPrefix(KeyPrefix);
    std::set<RouterId> Routers;
    if (isOk(Read))
      for (const KeyValue &Entry : valueOf(Read))
        Routers.emplace(Entry.Key.substr(std::string(KeyPrefix).size()));
    Self->Context.Control.post(
        [Self, Again, Ok = isOk(Read), Routers = std::move(Routers)] {
          if (Ok)
            Self->OnRegistered(Routers);
          if (Again)
            Self->scheduleRead();
        });
  });
}

void RouterRegistration::scheduleRead() {
  const Milliseconds Period = std::max(
      MinReadPeriod, ReadPeriodPerRouter * static_cast<int>(FleetSize));
  Context.Control.postAfter(jittered(Period), [Self = shared_from_this()] {
    Self->readRegistrations(true);
  });
}

void RouterRegistration::readAfterLoss() {
  if (LossReadPlanned)
    return;
  LossReadPlanned = true;
  const Milliseconds Spread(
      Random.below(static_cast<std::uint64_t>(LossReadSpread.count())));
  Context.Control.postAfter(LossReadDelay + Spread,
                            [Self = shared_from_this()] {
                              Self->LossReadPlanned = false;
                              Self->readRegistrations(false);
                            });
}

void RouterRegistration::readInstances() {
  Context.Blocking.post([Self = shared_from_this()] {
    const auto Read = Self->Context.Instances.list();
    std::set<RouterId> Routers;
    if (isOk(Read))
      for (const Instance &Entry : valueOf(Read))
        if (Entry.Pool.empty() && Entry.State == InstanceState::Live)
          Routers.emplace(Entry.Address);
    Self->Context.Control.post(
        [Self, Ok = isOk(Read), Routers = std::move(Routers)] {
          if (Ok)
            Self->OnListed(Routers);
          Self->Context.Control.postAfter(Self->jittered(InstanceReadPeriod),
                                          [Self] { Self->readInstances(); });
        });
  });
}

} // namespace mallowglade

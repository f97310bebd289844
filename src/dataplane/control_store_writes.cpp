#include <mallowglade/detail/dataplane/control.hpp>

namespace mallowglade::dataplane {

namespace {

/// Minimum time between changes of the quarantines in the store.
constexpr Milliseconds QuarantineChangePeriod{1'000};
/// Minimum time between attempts to store that an era is confirmed.
constexpr Milliseconds EraConfirmationPeriod{1'000};
/// Period of registration renewals; the lease lasts for three periods.
constexpr Milliseconds RegistrationRenewalPeriod{3'000};

} // namespace

void Control::renewRegistration() {
  if (!Draining)
    Store.registerRouter(Self, [this](const Result<Success> &Outcome) {
      if (!isOk(Outcome))
        Log.write("announce_failed", {{"cause", toString(errorOf(Outcome))}});
    });
  scheduleNext(RegistrationTimer, RegistrationRenewalPeriod,
               [this] { renewRegistration(); });
}

void Control::confirmEra(const FleetState &Read) {
  const TimePoint Now = Time.now();
  const bool Confirmed = Read.Era.Value == 0 || Read.ConfirmedEra == Read.Era;
  if (Confirmed || Peers.zoneRank() > 0 || Now < NextEraConfirmation)
    return;
  NextEraConfirmation = Now + EraConfirmationPeriod;
  Log.write("store_era_confirmed", {{"era", std::int64_t(Read.Era.Value)}});
  Store.confirmEra(Read.Era);
}

void Control::storeQuarantines() {
  const TimePoint Now = Time.now();
  if (!StoreReachable || Now < NextQuarantineChange || Peers.zoneRank() > 0)
    return;
  auto &Stored = View.Stored.Quarantines;
  std::map<RequestFeature, QuarantineEntry> Write;
  std::vector<RequestFeature> Remove;
  for (const auto &[Feature, Entry] : OwnReport.Crashes.Quarantines) {
    if (Write.size() + Remove.size() >= FleetStore::MaxQuarantineChanges)
      break;
    const auto Found = Stored.find(Feature);
    const bool IsStored = Found != Stored.end();
    const bool Differs =
        !IsStored || std::pair(Found->second.Status, Found->second.Probes) <
                         std::pair(Entry.Status, Entry.Probes);
    if (Entry.Status.quarantined() && Differs)
      Write.emplace(Feature, QuarantineEntry{Entry.Status, Entry.Probes, {}});
    else if (!Entry.Status.quarantined() && IsStored && Differs)
      Remove.push_back(Feature);
  }
  if (Write.empty() && Remove.empty())
    return;
  NextQuarantineChange = Now + QuarantineChangePeriod;
  for (const auto &[Feature, Entry] : Write)
    Stored.insert_or_assign(Feature, Entry);
  for (const RequestFeature &Feature : Remove)
    Stored.erase(Feature);
  Store.changeQuarantines(Write, Remove,
                          [this, Write, Remove](const Result<Success> &Done) {
                            if (isOk(Done))
                              return;
                            Log.write("quarantine_not_stored",
                                      {{"cause", toString(errorOf(Done))}});
                            // The change may or may not have been made; it is
                            // made again.
                            for (const auto &[Feature, Entry] : Write)
                              View.Stored.Quarantines.erase(Feature);
                            for (const RequestFeature &Feature : Remove)
                              View.Stored.Quarantines.try_emplace(Feature);
                          });
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/control.hpp>

namespace mallowglade::dataplane {

namespace {

/// Minimum time between log lines on evacuations that name no known zone.
constexpr Milliseconds UnknownZoneLogPeriod{10'000};

} // namespace

void Control::readEvacuations(const FleetState &Read, TimePoint ReadStart) {
  if (!Settings.EvacuationTime)
    return;
  EvacuationReport Listed{Read.ReadAt, Read.EvacuatedZones, {}};
  discardUnknownZones(Listed.Zones, "store");
  applyEvacuations(
      Evacuations.recordRead(Listed, ReadStart, RestoredConfig.held()),
      "store");
}

bool Control::hearEvacuations(const PeerReport &Report) {
  if (!Settings.EvacuationTime || !Report.Evacuated ||
      !isPlausible(Report.Evacuated->ReadAt.Era))
    return false;
  EvacuationReport Reported = *Report.Evacuated;
  discardUnknownZones(Reported.Zones, Report.Sender.Value);
  discardUnknownZones(Reported.Held, Report.Sender.Value);
  // A sender without proof tells nothing about what the store may lack.
  const bool MayLackWrites = Report.ProofHeld || !Report.Proof;
  return applyEvacuations(
      Evacuations.recordReport(Reported, MayLackWrites, Time.now()),
      Report.Sender.Value);
}

bool Control::applyEvacuations(const EvacuationChange &Change,
                               std::string_view Source) {
  const StorePosition ReadAt = Evacuations.report().ReadAt;
  const auto LogZones = [&](std::string_view Event,
                            const std::set<ZoneId> &Zones) {
    for (const ZoneId &Zone : Zones)
      Log.write(Event, {{"zone", Zone.Value},
                        {"source", Source},
                        {"era", std::int64_t(ReadAt.Era.Value)},
                        {"revision", ReadAt.Revision}});
  };
  LogZones("zone_evacuated", Change.Evacuated);
  LogZones("zone_taken_back", Change.TakenBack);
  View.EvacuatedZones = Evacuations.inForce();
  return Change.any();
}

void Control::discardUnknownZones(std::set<ZoneId> &Zones,
                                  std::string_view Source) {
  const std::size_t Removed =
      removeUnknownZones(Zones, Settings.ZoneRegions, View.Upstreams);
  if (Removed == 0)
    return;
  MetricValues.count("mallowglade_unknown_evacuations_total", {},
                     static_cast<double>(Removed));
  const TimePoint Now = Time.now();
  if (Now < NextUnknownZoneLog)
    return;
  NextUnknownZoneLog = Now + UnknownZoneLogPeriod;
  Log.write("evacuation_of_unknown_zone",
            {{"source", Source}, {"zones", std::int64_t(Removed)}});
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/traffic.hpp>

#include <cmath>

namespace mallowglade::dataplane {

namespace {

/// Minimum time between lines on the number of slow upstreams.
constexpr Milliseconds SlowUpstreamsLogPeriod{1'000};

} // namespace

void Traffic::updateSlowUpstreams() {
  Counters.UpstreamsSlow = Upstreams.countSlow();
  const std::uint64_t Before = LoggedSlowUpstreams;
  const std::uint64_t Now = Counters.UpstreamsSlow;
  const bool Clear = (Now == 0) != (Before == 0) || Now >= 2 * Before + 1 ||
                     2 * Now + 1 <= Before;
  if (Now == Before || !Clear ||
      Time.now() - SlowUpstreamsLoggedAt < SlowUpstreamsLogPeriod)
    return;
  LoggedSlowUpstreams = Now;
  SlowUpstreamsLoggedAt = Time.now();
  Log.write("slow_upstreams_change", {{"slow", std::int64_t(Now)}});
}

void Traffic::updateZones(ZoneChoice &Zones) {
  Counters.LeavingShare = Zones.largestSum();
  for (const ZoneShareChange &Change : Zones.takeChanges())
    Log.write("zone_share_changes",
              {{"service", Change.Service.Value},
               {"zone", Change.Zone.Value},
               {"share", Change.Share},
               {"utilization_here", Change.UtilizationHere},
               {"utilization_there", Change.UtilizationThere}});
}

void Traffic::updatePrefixSharing() {
  Counters.PrefixesKnown = Placer.prefixHolders().size();
  Counters.PrefixesReported = Placer.prefixHolders().reportedCount();
  if (!View.Config)
    return;
  for (const Service &Pool : View.Config->Services) {
    const bool Shares = Placer.sharesHolders(Pool.Name);
    if (Shares == SharingPrefixes.contains(Pool.Name))
      continue;
    if (Shares)
      SharingPrefixes.insert(Pool.Name);
    else
      SharingPrefixes.erase(Pool.Name);
    Log.write(Shares ? "prefix_sharing_begins" : "prefix_sharing_ends",
              {{"service", Pool.Name.Value}});
  }
}

void Traffic::logSmallServices() {
  for (const SmallServiceChange &Change : Placer.smallServices().takeChanges())
    Log.write(toString(Change.What),
              {{"service", Change.Service.Value},
               {"routers", std::int64_t(View.Routers)},
               {"admitted_fraction", Change.Status.AdmittedFraction},
               {"waiting_per_slot", Change.Status.WaitingPerSlot},
               {"refused", std::int64_t(Change.Status.Refused)},
               {"refused_by_upstreams",
                std::int64_t(Change.Status.RefusedByUpstreams)}});
}

void Traffic::recordUnreadable(Statement What, std::uint64_t Added,
                               const UpstreamId &Last) {
  if (const auto New = Unreadable.record(What, Added, Time.now()))
    Log.write("upstream_statement_unreadable",
              {{"statement", toString(What)},
               {"upstream", Last.Value},
               {"statements", std::int64_t(*New)}});
  Counters.UnreadableColdTimes = Unreadable.count(Statement::ColdTime);
  Counters.UnreadableLoads = Unreadable.count(Statement::Load);
}

void Traffic::countUnreadableRegistrations() {
  std::uint64_t Count = 0;
  UpstreamId Last;
  for (const UpstreamRecord &Each : View.Upstreams)
    if (Each.ColdUnreadable) {
      ++Count;
      Last = Each.Id;
    }
  const std::uint64_t Known = Counters.UnreadableColdEntries;
  Counters.UnreadableColdEntries = Count;
  if (Count > Known)
    recordUnreadable(Statement::RegisteredColdTime, Count - Known, Last);
}

void Traffic::logWorkLimit() {
  // A factor that moves between two steps would fill the log.
  constexpr double LoggedStep = 0.1;
  Counters.WorkLimitFactor = Placer.workLimitController().factor();
  if (std::abs(Counters.WorkLimitFactor - LoggedWorkLimitFactor) < LoggedStep)
    return;
  Log.write("work_limit_changes", {{"factor", Counters.WorkLimitFactor},
                                   {"previous", LoggedWorkLimitFactor}});
  LoggedWorkLimitFactor = Counters.WorkLimitFactor;
}

void Traffic::countSlowCallers() {
  const std::uint64_t Ended = Server.counters().SlowClients;
  Counters.UnsentBytes = Server.unsentBytes();
  if (Ended > Counters.SlowCallers)
    Log.write("slow_callers_ended",
              {{"callers", std::int64_t(Ended - Counters.SlowCallers)},
               {"unsent_bytes", std::int64_t(Counters.UnsentBytes)}});
  Counters.SlowCallers = Ended;
}

void Traffic::updateCold() {
  Upstreams.applyCold();
  for (const ColdChange &Change : Upstreams.cold().takeChanges())
    Log.write(Change.Begins ? "upstream_cold_begins" : "upstream_cold_ends",
              {{"upstream", Change.Upstream.Value},
               {"cause", toString(Change.Cause)},
               {"remaining_ms", std::int64_t(Change.Remaining.count())},
               {"per_second", Change.Rate.Value}});
}

void Traffic::updateQuarantines() {
  for (const QuarantineChange &Change : Crashes.update())
    Log.write(Crashes.isQuarantined(Change.Feature) ? "quarantine_begins"
                                                    : "quarantine_ends",
              {{"feature", toHex(Change.Feature.Hash)},
               {"kind", toString(Change.Feature.Kind)},
               {"cause", toString(Change.Why)},
               {"crashes", std::int64_t(Change.Crashes)},
               {"background_rate", Change.BackgroundRate}});
  Counters.QuarantinedFeatures = Crashes.quarantinedCount();
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/peer_directory.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Bound on the features with crashes in a digest.
constexpr std::size_t MaxDigestFeatures = 512;
/// Time for which the sums have the placements of prefixes that a report told;
/// sums are published when a report arrives, and again much later.
constexpr Milliseconds PrefixDeliveryTime{50};

/// Every n-th digest carries the loads of its members.
constexpr std::uint64_t MemberLoadInterval = 5;

void addUsage(UsageTable &Total, const UsageTable &Added) {
  for (const auto &[Key, Usage] : Added) {
    Total[Key].Demand += Usage.Demand;
    Total[Key].Admitted += Usage.Admitted;
    Total[Key].Unmet += Usage.Unmet;
  }
}

void addOffered(OfferedRates &Total, const OfferedRates &Added) {
  for (const auto &[Key, Rate] : Added)
    Total[Key].Value += Rate.Value;
}

void addPrefixes(std::vector<PrefixPlacement> &Total,
                 const std::vector<PrefixPlacement> &Added,
                 Milliseconds SinceReceived) {
  for (const PrefixPlacement &Each : Added)
    Total.push_back({Each.Prefix, Each.Engine, Each.Age + SinceReceived});
}

/// Keeps the latest placements that a digest has room for.
void limitPrefixes(std::vector<PrefixPlacement> &Placements) {
  if (Placements.size() <= PrefixHolders::MaxReported)
    return;
  std::sort(Placements.begin(), Placements.end(),
            [](const PrefixPlacement &Left, const PrefixPlacement &Right) {
              return Left.Age < Right.Age;
            });
  Placements.resize(PrefixHolders::MaxReported);
}

void addLoads(LoadTable &Total, const LoadTable &Added) {
  for (const auto &[Key, Load] : Added)
    Total[Key] += Load;
}

} // namespace

PeerReport PeerDirectory::makeDigest(PeerReport Own) const {
  Own.WithMemberLoads = Own.Sequence % MemberLoadInterval == 0;
  Own.Members.push_back(
      {Self.Id, Self.CallerAddress, Own.Ready, Own.Demand, Own.Load});
  for (const auto &[Id, Router] : Peers) {
    if (!inSameZone(Router) || !isLive(Router))
      continue;
    Own.Members.push_back({Id, Router.Record.CallerAddress,
                           Router.LastReport.Ready, Router.Demand,
                           Router.Load});
    Own.WorkLimitFactorSum += Router.LastReport.WorkLimitFactorSum;
    addLoads(Own.Loads, Router.LastReport.Loads);
    addUsage(Own.Usage, Router.LastReport.Usage);
    addOffered(Own.Offered, Router.LastReport.Offered);
    addPrefixes(Own.Prefixes, Router.LastReport.Prefixes,
                sinceReceived(Router.ReceivedAt));
    Own.Crashes.add(Router.LastReport.Crashes,
                    sinceReceived(Router.ReceivedAt));
    mergeLatest(Own.Limits, Router.LastReport.Limits,
                sinceReceived(Router.ReceivedAt));
    mergeLatest(Own.Cold, Router.LastReport.Cold,
                sinceReceived(Router.ReceivedAt));
  }
  limitPrefixes(Own.Prefixes);
  Own.Crashes.limit(MaxDigestFeatures);
  // The sequence numbers date a proof only for routers of this zone, whose
  // reports are received here.
  if (Own.Proof)
    Own.Proof->ReceivedSequences.clear();
  return Own;
}

PeerSums PeerDirectory::sums() const {
  PeerSums Sum;
  Sum.FirstOfFleet = isFirstOfFleet();
  Sum.Members = limitMembers();
  for (const auto &[Id, Router] : Peers) {
    if (!inSameZone(Router) || !isLive(Router))
      continue;
    Sum.WorkLimitFactorSum += Router.LastReport.WorkLimitFactorSum;
    Sum.Routers += 1;
    addLoads(Sum.Loads, Router.LastReport.Loads);
    addUsage(Sum.Usage, Router.LastReport.Usage);
    addOffered(Sum.Offered, Router.LastReport.Offered);
    if (sinceReceived(Router.ReceivedAt) <= PrefixDeliveryTime)
      addPrefixes(Sum.Prefixes, Router.LastReport.Prefixes,
                  sinceReceived(Router.ReceivedAt));
    Sum.Crashes.add(Router.LastReport.Crashes,
                    sinceReceived(Router.ReceivedAt));
    mergeLatest(Sum.Limits, Router.LastReport.Limits,
                sinceReceived(Router.ReceivedAt));
    mergeLatest(Sum.Cold, Router.LastReport.Cold,
                sinceReceived(Router.ReceivedAt));
  }
  for (const auto &[Id, Router] : Peers)
    if (!inSameZone(Router) && Router.Registered)
      Sum.SilentZones.insert(Router.Record.Zone);
  for (const auto &[Zone, ZoneDigest] : Digests) {
    if (Time.now() - ZoneDigest.ReceivedAt >= DigestLifetime)
      continue;
    Sum.SilentZones.erase(Zone);
    Sum.WorkLimitFactorSum += ZoneDigest.LastReport.WorkLimitFactorSum;
    Sum.Routers += static_cast<double>(ZoneDigest.LastReport.Members.size());
    addLoads(Sum.Loads, ZoneDigest.LastReport.Loads);
    addUsage(Sum.Usage, ZoneDigest.LastReport.Usage);
    addOffered(Sum.Offered, ZoneDigest.LastReport.Offered);
    if (sinceReceived(ZoneDigest.ReceivedAt) <= PrefixDeliveryTime)
      addPrefixes(Sum.Prefixes, ZoneDigest.LastReport.Prefixes,
                  sinceReceived(ZoneDigest.ReceivedAt));
    Sum.Crashes.add(ZoneDigest.LastReport.Crashes,
                    sinceReceived(ZoneDigest.ReceivedAt));
    mergeLatest(Sum.Limits, ZoneDigest.LastReport.Limits,
                sinceReceived(ZoneDigest.ReceivedAt));
    mergeLatest(Sum.Cold, ZoneDigest.LastReport.Cold,
                sinceReceived(ZoneDigest.ReceivedAt));
  }
  return Sum;
}

} // namespace mallowglade::dataplane

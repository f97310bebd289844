#include <mallowglade/detail/dataplane/peer_directory.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Shortest time between reports; the load that peers see is as old.
constexpr Milliseconds ShortestPeriod{100};
/// Reports a second that a router receives at most from its zone.
constexpr std::size_t MaxReportsPerSecond = 200;
/// Reports that may be missed before a router counts as gone.
constexpr int ReportsUntilGone = 5;
/// Silence that is borne at any rate; a router that starts late or is short of
/// processor time is not gone.
constexpr Milliseconds ShortestSilence{1'000};
/// The second router of a zone sends and hands on each n-th digest. The pauses
/// are longer than `DigestTakeover`, or its digests would keep out the first
/// one's.
constexpr std::uint64_t SecondDigestEvery = 10;
/// Routers of a zone that a digest is sent to.
constexpr std::size_t DigestReceivers = 2;
/// Age at which a zone's digest is no longer used; the second router of a zone
/// sends one a second.
constexpr Milliseconds DigestLifetime{2'500};
/// Age of a digest after which one from another sender replaces it.
constexpr Milliseconds DigestTakeover{500};
/// Registered routers from which on the number of those heard is compared.
constexpr std::size_t SmallestComparedFleet = 4;
/// Fewer than one router of this many heard means that this router is slow.
constexpr std::size_t FewHeardFactor = 4;
/// Time that a router which is no longer registered is remembered.
constexpr Milliseconds RememberFor{10'000};

/// Order of the routers of a zone that all agree on.
std::uint64_t rankOf(const RouterId &Id) { return stableHash(Id.Value); }

void addUsage(UsageTable &To, const UsageTable &From) {
  for (const auto &[Key, Used] : From) {
    To[Key].Asked += Used.Asked;
    To[Key].Admitted += Used.Admitted;
  }
}

void addCrashes(CrashTable &To, const CrashTable &From) {
  for (const auto &[Print, Runs] : From)
    To[Print] += Runs;
}

void addLoads(LoadTable &To, const LoadTable &From) {
  for (const auto &[Key, Load] : From)
    To[Key] += Load;
}

} // namespace

bool PeerDirectory::live(const Peer &Of) const {
  if (Of.HeardAt == TimePoint{})
    return false;
  const auto Age = Time.now() - Of.HeardAt;
  return sameZone(Of) ? Age < std::max(ShortestSilence,
                                       ReportsUntilGone * reportPeriod())
                      : Age < DigestLifetime;
}

bool PeerDirectory::ready(const Peer &Of) const {
  return sameZone(Of) ? Of.Last.Ready : Of.ReadyByDigest;
}

void PeerDirectory::setRegistered(const std::vector<RouterRecord> &List) {
  for (auto &[Id, Each] : Peers)
    Each.Registered = false;
  for (const RouterRecord &Record : List) {
    if (Record.Id == Self.Id)
      continue;
    Peer &Each = Peers[Record.Id];
    Each.Record = Record;
    Each.Registered = true;
  }
  const TimePoint Now = Time.now();
  std::erase_if(Peers, [Now](const auto &Entry) {
    return !Entry.second.Registered && Now - Entry.second.HeardAt > RememberFor;
  });
}

Acceptance PeerDirectory::accept(PeerReport Report) {
  if (Report.Sender == Self.Id)
    return {};
  return Report.Members.empty() ? acceptOwn(std::move(Report))
                                : acceptDigest(std::move(Report));
}

Acceptance PeerDirectory::acceptOwn(PeerReport Report) {
  Peer &Each = Peers[Report.Sender];
  const bool Restarted = Each.Last.Incarnation != Report.Incarnation;
  if (!Restarted && Report.Sequence <= Each.Last.Sequence)
    return {};
  const bool Changed = !live(Each) || Each.Last.Ready != Report.Ready;
  Each.Record.Id = Report.Sender;
  Each.Record.Zone = Report.Zone;
  Each.Record.PeerAddress = Report.Sender.Value;
  Each.Record.CallerAddress = Report.CallerAddress;
  Each.Last = std::move(Report);
  Each.HeardAt = Time.now();
  return {true, Changed};
}

Acceptance PeerDirectory::acceptDigest(PeerReport Report) {
  if (Report.Zone == Self.Zone)
    return {};
  Digest &Known = Digests[Report.Zone];
  const TimePoint Now = Time.now();
  const bool SameSender = Known.Last.Sender == Report.Sender &&
                          Known.Last.Incarnation == Report.Incarnation;
  if (SameSender && Report.Sequence <= Known.Last.Sequence)
    return {};
  if (!SameSender && Known.HeardAt != TimePoint{} &&
      Now - Known.HeardAt < DigestTakeover)
    return {};
  bool Changed = false;
  for (const ZoneMember &Member : Report.Members) {
    Peer &Each = Peers[Member.Id];
    Changed |= !live(Each) || Each.ReadyByDigest != Member.Ready;
    Each.Record.Id = Member.Id;
    Each.Record.Zone = Report.Zone;
    Each.Record.PeerAddress = Member.Id.Value;
    Each.Record.CallerAddress = Member.CallerAddress;
    Each.ReadyByDigest = Member.Ready;
    Each.HeardAt = Now;
  }
  Known.Last = std::move(Report);
  Known.HeardAt = Now;
  return {true, Changed};
}

std::vector<std::string> PeerDirectory::zoneAddresses() const {
  std::vector<std::string> Addresses;
  for (const auto &[Id, Each] : Peers)
    if (sameZone(Each) && !Each.Record.PeerAddress.empty())
      Addresses.push_back(Each.Record.PeerAddress);
  return Addresses;
}

std::vector<std::string> PeerDirectory::digestAddresses() const {
  std::map<ZoneId, std::vector<const Peer *>> Zones;
  for (const auto &[Id, Each] : Peers)
    if (!sameZone(Each) && !Each.Record.PeerAddress.empty())
      Zones[Each.Record.Zone].push_back(&Each);
  std::vector<std::string> Addresses;
  for (auto &[Zone, Members] : Zones) {
    const auto FirstSilent = std::partition(
        Members.begin(), Members.end(),
        [this](const Peer *Each) { return live(*Each) && ready(*Each); });
    if (FirstSilent != Members.begin()) {
      std::sort(Members.begin(), FirstSilent,
                [](const Peer *Left, const Peer *Right) {
                  return rankOf(Left->Record.Id) < rankOf(Right->Record.Id);
                });
      const auto Live = static_cast<std::size_t>(FirstSilent - Members.begin());
      Members.resize(std::min(Live, DigestReceivers));
    }
    for (const Peer *Each : Members)
      Addresses.push_back(Each->Record.PeerAddress);
  }
  return Addresses;
}

bool PeerDirectory::sendsDigest(std::uint64_t Sequence) const {
  const std::size_t Rank = zoneRank();
  return Rank == 0 || (Rank == 1 && Sequence % SecondDigestEvery == 0);
}

bool PeerDirectory::handsOn(std::uint64_t Sequence) const {
  return zoneRank() != 1 || Sequence % SecondDigestEvery == 0;
}

PeerReport PeerDirectory::digest(PeerReport Own) const {
  Own.Members.push_back({Self.Id, Self.CallerAddress, Own.Ready});
  for (const auto &[Id, Each] : Peers) {
    if (!sameZone(Each) || !live(Each))
      continue;
    Own.Members.push_back({Id, Each.Record.CallerAddress, Each.Last.Ready});
    Own.PaceSum += Each.Last.PaceSum;
    addLoads(Own.Loads, Each.Last.Loads);
    addUsage(Own.Usage, Each.Last.Usage);
    addCrashes(Own.Crashes, Each.Last.Crashes);
  }
  // Receivers in other zones are not heard, so they cannot date a proof.
  if (Own.Proof)
    Own.Proof->Heard.clear();
  return Own;
}

std::vector<std::string> PeerDirectory::callerAddresses() const {
  std::vector<std::string> Heard;
  std::vector<std::string> Registered;
  for (const auto &[Id, Each] : Peers) {
    const bool Known = Each.HeardAt != TimePoint{};
    if (live(Each) && ready(Each))
      Heard.push_back(Each.Record.CallerAddress);
    if (Each.Registered && (!Known || ready(Each)))
      Registered.push_back(Each.Record.CallerAddress);
  }
  // A router that hears few of the others is slow or cut off itself; sending
  // all callers to the few would overload them.
  const bool HearsFew = Registered.size() >= SmallestComparedFleet &&
                        FewHeardFactor * Heard.size() < Registered.size();
  return HearsFew ? Registered : Heard;
}

std::map<RouterId, std::uint64_t> PeerDirectory::heard() const {
  std::map<RouterId, std::uint64_t> Numbers;
  for (const auto &[Id, Each] : Peers)
    if (sameZone(Each) && live(Each))
      Numbers.emplace(Id, Each.Last.Sequence);
  return Numbers;
}

template <class Precedes>
std::size_t PeerDirectory::rankBy(Precedes Before) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
        const Peer &Each = Entry.second;
        return sameZone(Each) && live(Each) && Each.Last.Ready &&
               Before(Each.Last);
      }));
}

std::size_t PeerDirectory::zoneRank() const {
  const std::uint64_t Mine = rankOf(Self.Id);
  return rankBy(
      [Mine](const PeerReport &Of) { return rankOf(Of.Sender) < Mine; });
}

std::size_t PeerDirectory::readerRank(bool StoreLost) const {
  const auto Mine = std::pair(StoreLost, rankOf(Self.Id));
  return rankBy([Mine](const PeerReport &Of) {
    return std::pair(Of.StoreLost, rankOf(Of.Sender)) < Mine;
  });
}

Milliseconds PeerDirectory::reportPeriod() const {
  constexpr std::size_t MillisecondsPerSecond = 1'000;
  const auto InZone = static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [this](const auto &Entry) {
        return sameZone(Entry.second);
      }));
  const auto ForSize = Milliseconds(static_cast<std::int64_t>(
      InZone * MillisecondsPerSecond / MaxReportsPerSecond));
  return std::max(ShortestPeriod, ForSize);
}

PeerSums PeerDirectory::sums() const {
  PeerSums Sum;
  for (const auto &[Id, Each] : Peers) {
    if (!sameZone(Each) || !live(Each))
      continue;
    Sum.PaceSum += Each.Last.PaceSum;
    Sum.Routers += 1;
    addLoads(Sum.Loads, Each.Last.Loads);
    addUsage(Sum.Usage, Each.Last.Usage);
    addCrashes(Sum.Crashes, Each.Last.Crashes);
  }
  for (const auto &[Zone, Each] : Digests) {
    if (Time.now() - Each.HeardAt >= DigestLifetime)
      continue;
    Sum.PaceSum += Each.Last.PaceSum;
    Sum.Routers += static_cast<double>(Each.Last.Members.size());
    addLoads(Sum.Loads, Each.Last.Loads);
    addUsage(Sum.Usage, Each.Last.Usage);
    addCrashes(Sum.Crashes, Each.Last.Crashes);
  }
  return Sum;
}

std::size_t PeerDirectory::liveRouters() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Peers.begin(), Peers.end(),
                 [this](const auto &Entry) { return live(Entry.second); }));
}

} // namespace mallowglade::dataplane

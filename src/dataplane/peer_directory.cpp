#include <mallowglade/detail/dataplane/peer_directory.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Minimum time between reports; the load that peers see may be this old.
constexpr Milliseconds MinReportPeriod{100};
/// Bound on the reports per second that a router receives from its zone.
constexpr std::size_t MaxReportsPerSecond = 200;
/// Number of report periods without a report after which a router counts as
/// failed.
constexpr int MissedReportLimit = 5;
/// Minimum time without a report before a router counts as failed; tolerates
/// slow starts and lack of processor time.
constexpr Milliseconds MinFailureTimeout{1'000};
/// The same for the division of limits: what a router that has failed leaves
/// unused is lost until then, and one that is only silent still keeps to its
/// share.
constexpr Milliseconds MinLimitTimeout{500};
/// The second router of a zone sends and forwards every n-th digest. The time
/// between its digests must exceed `DigestTakeover`; otherwise they would keep
/// those of the first router from being accepted.
constexpr std::uint64_t BackupDigestInterval = 10;
/// Number of live routers of each other zone that a digest is sent to.
constexpr std::size_t DigestTargetsPerZone = 2;
/// Minimum age of a digest before one from another sender may replace it.
constexpr Milliseconds DigestTakeover{500};
/// Time without a report after which a router is not advertised, even if this
/// router may be isolated. The platform wants routers that have ended gone from
/// answers after 7 s.
constexpr Milliseconds MaxAdvertisedSilence{6'000};
/// The same for a registered router that was never heard; it may have ended
/// before this one started.
constexpr Milliseconds MaxUnheardTime{2'500};
/// Time without any report after which this router may have been stopped or cut
/// off, so that the silence of others tells nothing.
constexpr Milliseconds MaxReportGap{1'000};
/// Minimum number of registered routers for detecting that this router is slow
/// or isolated.
constexpr std::size_t MinFleetForIsolationCheck = 4;
/// This router counts as slow or isolated if fewer than one in this many
/// registered routers is live.
constexpr std::size_t IsolationFactor = 4;
/// Time since the last report after which an unregistered router is removed.
constexpr Milliseconds UnregisteredRetention{10'000};

/// Bounds on the routers and zones that reports may name.
constexpr std::size_t MaxRouters = 8'192;
constexpr std::size_t MaxZones = 256;

/// Sort key of the routers of a zone; the same on all routers.
std::uint64_t rankKey(const RouterId &Id) { return stableHash(Id.Value); }

RouterKey rateKey(const RouterId &Id) {
  return RouterKey(stableHash(Id.Value));
}

} // namespace

bool PeerDirectory::isLive(const Peer &Router) const {
  if (Router.ReceivedAt == TimePoint{})
    return false;
  const auto Age = Time.now() - Router.ReceivedAt;
  return inSameZone(Router) ? Age < std::max(MinFailureTimeout,
                                             MissedReportLimit * reportPeriod())
                            : Age < DigestLifetime;
}

bool PeerDirectory::isReady(const Peer &Router) const {
  return inSameZone(Router) ? Router.LastReport.Ready : Router.ReadyInDigest;
}

bool PeerDirectory::isSilent(const Peer &Router) const {
  const TimePoint Now = Time.now();
  if (Now - HeardAt >= MaxReportGap)
    return false;
  const bool Unheard = Router.ReceivedAt == TimePoint{};
  const TimePoint Since =
      std::max(HearingSince, Unheard ? Router.RegisteredAt : Router.ReceivedAt);
  return Now - Since >= (Unheard ? MaxUnheardTime : MaxAdvertisedSilence);
}

void PeerDirectory::setRegistered(
    const std::vector<RouterRecord> &Registrations) {
  for (auto &[Id, Router] : Peers)
    Router.Registered = false;
  for (const RouterRecord &Record : Registrations) {
    if (Record.Id == Self.Id)
      continue;
    Peer &Router = Peers[Record.Id];
    Router.Record = Record;
    Router.Key = rateKey(Record.Id);
    Router.Registered = true;
  }
  const TimePoint Now = Time.now();
  for (auto &[Id, Router] : Peers)
    if (!Router.Registered)
      Router.RegisteredAt = TimePoint{};
    else if (Router.RegisteredAt == TimePoint{})
      Router.RegisteredAt = Now;
  std::erase_if(Peers, [Now](const auto &Entry) {
    return !Entry.second.Registered &&
           Now - Entry.second.ReceivedAt > UnregisteredRetention;
  });
  std::erase_if(Digests, [Now](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > UnregisteredRetention;
  });
  countZonePeers();
}

void PeerDirectory::countZonePeers() {
  ZonePeers = static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [this](const auto &Entry) {
        return inSameZone(Entry.second);
      }));
}

AcceptResult PeerDirectory::accept(PeerReport Report) {
  if (Report.Sender == Self.Id)
    return {};
  const TimePoint Now = Time.now();
  if (Now - HeardAt >= MaxReportGap)
    HearingSince = Now;
  HeardAt = Now;
  return Report.Members.empty() ? acceptRouterReport(std::move(Report))
                                : acceptDigest(std::move(Report));
}

AcceptResult PeerDirectory::acceptRouterReport(PeerReport Report) {
  const bool IsNew = !Peers.contains(Report.Sender);
  if (IsNew && Peers.size() >= MaxRouters)
    return {};
  Peer &Router = Peers[Report.Sender];
  const bool Restarted = Router.LastReport.Incarnation != Report.Incarnation;
  if (!Restarted && Report.Sequence <= Router.LastReport.Sequence)
    return {};
  const bool Changed =
      !isLive(Router) || Router.LastReport.Ready != Report.Ready;
  Router.Record.Id = Report.Sender;
  Router.Key = rateKey(Report.Sender);
  Router.Record.Zone = Report.Zone;
  Router.Record.PeerAddress = Report.Sender.Value;
  Router.Record.CallerAddress = Report.CallerAddress;
  Router.Demand = Report.Demand;
  Router.Load = Report.Load;
  Router.LastReport = std::move(Report);
  Router.ReceivedAt = Time.now();
  if (IsNew)
    countZonePeers();
  return {true, Changed};
}

AcceptResult PeerDirectory::acceptDigest(PeerReport Report) {
  if (Report.Zone == Self.Zone)
    return {};
  const bool TooMany =
      Peers.size() + Report.Members.size() > MaxRouters ||
      (Digests.size() >= MaxZones && !Digests.contains(Report.Zone));
  if (TooMany)
    return {};
  Digest &Stored = Digests[Report.Zone];
  const TimePoint Now = Time.now();
  const bool SameSender = Stored.LastReport.Sender == Report.Sender &&
                          Stored.LastReport.Incarnation == Report.Incarnation;
  if (SameSender && Report.Sequence <= Stored.LastReport.Sequence)
    return {};
  if (!SameSender && Stored.ReceivedAt != TimePoint{} &&
      Now - Stored.ReceivedAt < DigestTakeover)
    return {};
  bool Changed = false;
  for (const ZoneMember &Member : Report.Members) {
    Peer &Router = Peers[Member.Id];
    Changed |= !isLive(Router) || Router.ReadyInDigest != Member.Ready;
    Router.Record.Id = Member.Id;
    Router.Key = rateKey(Member.Id);
    Router.Record.Zone = Report.Zone;
    Router.Record.PeerAddress = Member.Id.Value;
    Router.Record.CallerAddress = Member.CallerAddress;
    Router.ReadyInDigest = Member.Ready;
    Router.Demand = Member.Demand;
    if (Report.WithMemberLoads)
      Router.Load = Member.Load;
    Router.ReceivedAt = Now;
  }
  Stored.LastReport = std::move(Report);
  Stored.ReceivedAt = Now;
  return {true, Changed};
}

std::vector<std::string> PeerDirectory::zoneAddresses() const {
  std::vector<std::string> Addresses;
  for (const auto &[Id, Router] : Peers)
    if (inSameZone(Router) && !Router.Record.PeerAddress.empty())
      Addresses.push_back(Router.Record.PeerAddress);
  return Addresses;
}

std::vector<std::string> PeerDirectory::digestAddresses() const {
  std::map<ZoneId, std::vector<const Peer *>> Zones;
  for (const auto &[Id, Router] : Peers)
    if (!inSameZone(Router) && !Router.Record.PeerAddress.empty())
      Zones[Router.Record.Zone].push_back(&Router);
  std::vector<std::string> Addresses;
  for (auto &[Zone, Members] : Zones) {
    const auto LiveEnd = std::partition(
        Members.begin(), Members.end(), [this](const Peer *Router) {
          return isLive(*Router) && isReady(*Router);
        });
    if (LiveEnd != Members.begin()) {
      std::sort(Members.begin(), LiveEnd,
                [](const Peer *Left, const Peer *Right) {
                  return rankKey(Left->Record.Id) < rankKey(Right->Record.Id);
                });
      const auto LiveCount =
          static_cast<std::size_t>(LiveEnd - Members.begin());
      Members.resize(std::min(LiveCount, DigestTargetsPerZone));
    }
    for (const Peer *Router : Members)
      Addresses.push_back(Router->Record.PeerAddress);
  }
  return Addresses;
}

bool PeerDirectory::shouldSendDigest(std::uint64_t Sequence) const {
  const std::size_t Rank = zoneRank();
  return Rank == 0 || (Rank == 1 && Sequence % BackupDigestInterval == 0);
}

bool PeerDirectory::shouldForwardDigest(std::uint64_t Sequence) const {
  return zoneRank() != 1 || Sequence % BackupDigestInterval == 0;
}

std::vector<std::string> PeerDirectory::callerAddresses() const {
  std::vector<std::string> Addresses;
  for (RouterCandidate &Router : callerRouters())
    Addresses.push_back(std::move(Router.Address));
  return Addresses;
}

std::vector<RouterCandidate> PeerDirectory::callerRouters() const {
  std::vector<RouterCandidate> Live;
  std::vector<RouterCandidate> Registered;
  for (const auto &[Id, Router] : Peers) {
    const bool Reported = Router.ReceivedAt != TimePoint{};
    if (isSilent(Router))
      continue;
    if (isLive(Router) && isReady(Router))
      Live.push_back(candidate(Router));
    if (Router.Registered && (!Reported || isReady(Router)))
      Registered.push_back(candidate(Router));
  }
  // If few of the registered routers are live, this router is probably slow or
  // isolated itself; sending all callers to those few would overload them.
  const bool Isolated = Registered.size() >= MinFleetForIsolationCheck &&
                        IsolationFactor * Live.size() < Registered.size();
  return Isolated ? Registered : Live;
}

std::map<RouterId, std::uint64_t> PeerDirectory::receivedSequences() const {
  std::map<RouterId, std::uint64_t> Sequences;
  for (const auto &[Id, Router] : Peers)
    if (inSameZone(Router) && isLive(Router))
      Sequences.emplace(Id, Router.LastReport.Sequence);
  return Sequences;
}

template <class Predicate>
std::size_t PeerDirectory::countReadyZonePeers(Predicate Matches) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
        const Peer &Router = Entry.second;
        return inSameZone(Router) && isLive(Router) &&
               Router.LastReport.Ready && Matches(Router.LastReport);
      }));
}

std::size_t PeerDirectory::zoneRank() const {
  const std::uint64_t OwnKey = rankKey(Self.Id);
  return countReadyZonePeers([OwnKey](const PeerReport &Report) {
    return rankKey(Report.Sender) < OwnKey;
  });
}

std::size_t PeerDirectory::pollingRank(bool StoreUnavailable) const {
  const auto OwnKey = std::pair(StoreUnavailable, rankKey(Self.Id));
  return countReadyZonePeers([OwnKey](const PeerReport &Report) {
    return std::pair(Report.StoreUnavailable, rankKey(Report.Sender)) < OwnKey;
  });
}

Milliseconds PeerDirectory::reportPeriod() const {
  constexpr std::size_t MillisecondsPerSecond = 1'000;
  const auto RatePeriod = Milliseconds(static_cast<std::int64_t>(
      ZonePeers * MillisecondsPerSecond / MaxReportsPerSecond));
  return std::max(MinReportPeriod, RatePeriod);
}

Milliseconds PeerDirectory::sinceReceived(TimePoint ReceivedAt) const {
  return std::chrono::duration_cast<Milliseconds>(Time.now() - ReceivedAt);
}

bool PeerDirectory::isFirstOfFleet() const {
  return std::none_of(Peers.begin(), Peers.end(), [this](const auto &Entry) {
    return isLive(Entry.second) && Entry.first < Self.Id;
  });
}

std::vector<FleetMember> PeerDirectory::limitMembers() const {
  const TimePoint Now = Time.now();
  std::vector<const Peer *> Live;
  std::vector<const Peer *> Known;
  for (const auto &[Id, Router] : Peers) {
    const bool Heard = Router.ReceivedAt != TimePoint{};
    if (isLive(Router) &&
        (!inSameZone(Router) ||
         Now - Router.ReceivedAt <
             std::max(MinLimitTimeout, MissedReportLimit * reportPeriod())))
      Live.push_back(&Router);
    if (Router.Registered ||
        (Heard && Now - Router.ReceivedAt < UnregisteredRetention))
      Known.push_back(&Router);
  }
  // A router that hears at most half of the fleet may be cut off from the rest,
  // which goes on; it keeps the part that it had.
  std::vector<FleetMember> Members;
  for (const Peer *Router :
       2 * (Live.size() + 1) > Known.size() + 1 ? Live : Known)
    Members.push_back({Router->Key, Router->Demand});
  return Members;
}

bool PeerDirectory::othersAcceptCallers() const {
  std::size_t Live = 0;
  std::size_t Ready = 0;
  for (const auto &[Id, Router] : Peers) {
    if (!isLive(Router))
      continue;
    ++Live;
    if (isReady(Router))
      ++Ready;
  }
  return Ready > 0 && 2 * Ready >= Live;
}

ConfigurationVersion
PeerDirectory::newestConfiguration(ConfigurationVersion Below) const {
  ConfigurationVersion Newest;
  const auto Add = [&Newest, Below](ConfigurationVersion Reported) {
    if (Below.Value == 0 || Reported < Below)
      Newest = std::max(Newest, Reported);
  };
  for (const auto &[Id, Router] : Peers)
    if (inSameZone(Router) && isLive(Router))
      Add(Router.LastReport.Config);
  for (const auto &[Zone, ZoneDigest] : Digests)
    if (Time.now() - ZoneDigest.ReceivedAt < DigestLifetime)
      Add(ZoneDigest.LastReport.Config);
  return Newest;
}

PeerEraReports PeerDirectory::eraReports(StoreEra Era) const {
  PeerEraReports Found;
  const auto Add = [&Found, Era](const PeerReport &Report) {
    Found.ProofHeld |= Report.Era == Era && Report.ProofHeld;
    Found.Proven |= Report.Era == Era && !Report.ProofHeld && Report.Proof;
    Found.EarlierEra |= Report.Era.Value != 0 && Report.Era < Era;
  };
  for (const auto &[Id, Router] : Peers)
    if (inSameZone(Router) && isLive(Router))
      Add(Router.LastReport);
  for (const auto &[Zone, ZoneDigest] : Digests)
    if (Time.now() - ZoneDigest.ReceivedAt < DigestLifetime)
      Add(ZoneDigest.LastReport);
  return Found;
}

bool PeerDirectory::anyRegisteredUnheard() const {
  return std::any_of(Peers.begin(), Peers.end(), [this](const auto &Entry) {
    return Entry.second.Registered && !isLive(Entry.second);
  });
}

std::size_t PeerDirectory::liveRouters() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Peers.begin(), Peers.end(),
                 [this](const auto &Entry) { return isLive(Entry.second); }));
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/peer_directory.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Shortest time between reports; the load that peers see is as old.
constexpr Milliseconds ShortestPeriod{200};
/// Reports a second that a router sends and receives at most.
constexpr std::size_t MaxReportsPerSecond = 80;
/// Reports that may be missed before a router counts as gone.
constexpr int ReportsUntilGone = 5;
/// Time that a router which is no longer registered is remembered.
constexpr Milliseconds RememberFor{10'000};

} // namespace

bool PeerDirectory::live(const Peer &Of) const {
  return Of.HeardAt != TimePoint{} &&
         Time.now() - Of.HeardAt < ReportsUntilGone * reportPeriod();
}

void PeerDirectory::setRegistered(const std::vector<RouterRecord> &List) {
  for (auto &[Id, Each] : Peers)
    Each.Registered = false;
  for (const RouterRecord &Record : List) {
    if (Record.Id == Self)
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

bool PeerDirectory::accept(PeerReport Report) {
  if (Report.Sender == Self)
    return false;
  Peer &Each = Peers[Report.Sender];
  const bool Restarted = Each.Last.Incarnation != Report.Incarnation;
  if (!Restarted && Report.Sequence <= Each.Last.Sequence)
    return false;
  const bool Changed = !live(Each) || Each.Last.Ready != Report.Ready;
  Each.Record.Id = Report.Sender;
  Each.Record.PeerAddress = Report.Sender.Value;
  Each.Record.CallerAddress = Report.CallerAddress;
  Each.Last = std::move(Report);
  Each.HeardAt = Time.now();
  return Changed;
}

std::vector<std::string> PeerDirectory::peerAddresses() const {
  std::vector<std::string> Addresses;
  for (const auto &[Id, Each] : Peers)
    if (!Each.Record.PeerAddress.empty())
      Addresses.push_back(Each.Record.PeerAddress);
  return Addresses;
}

std::vector<std::string> PeerDirectory::callerAddresses() const {
  std::vector<std::string> Heard;
  std::vector<std::string> Registered;
  for (const auto &[Id, Each] : Peers) {
    if (live(Each) && Each.Last.Ready)
      Heard.push_back(Each.Record.CallerAddress);
    const bool SaidNotReady = Each.Last.Incarnation != 0 && !Each.Last.Ready;
    if (Each.Registered && !SaidNotReady)
      Registered.push_back(Each.Record.CallerAddress);
  }
  // A router that hears few of the others is slow or cut off itself; sending
  // all callers to the few would overload them.
  return 2 * Heard.size() < Registered.size() ? Registered : Heard;
}

std::map<RouterId, std::uint64_t> PeerDirectory::heard() const {
  std::map<RouterId, std::uint64_t> Numbers;
  for (const auto &[Id, Each] : Peers)
    if (live(Each))
      Numbers.emplace(Id, Each.Last.Sequence);
  return Numbers;
}

std::size_t PeerDirectory::rank() const {
  const std::uint64_t Mine = stableHash(Self.Value);
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Entry) {
        return live(Entry.second) && Entry.second.Last.Ready &&
               stableHash(Entry.first.Value) < Mine;
      }));
}

Milliseconds PeerDirectory::reportPeriod() const {
  constexpr std::size_t MillisecondsPerSecond = 1'000;
  const auto ForSize = Milliseconds(static_cast<std::int64_t>(
      Peers.size() * MillisecondsPerSecond / MaxReportsPerSecond));
  return std::max(ShortestPeriod, ForSize);
}

PeerSums PeerDirectory::sums() const {
  PeerSums Sum;
  for (const auto &[Id, Each] : Peers) {
    if (!live(Each))
      continue;
    for (const auto &[Key, Load] : Each.Last.Loads)
      Sum.Loads[Key] += Load;
    for (const auto &[Key, Used] : Each.Last.Usage) {
      Sum.Usage[Key].Asked += Used.Asked;
      Sum.Usage[Key].Admitted += Used.Admitted;
    }
  }
  return Sum;
}

std::size_t PeerDirectory::liveRouters() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Peers.begin(), Peers.end(),
                 [this](const auto &Entry) { return live(Entry.second); }));
}

} // namespace mallowglade::dataplane

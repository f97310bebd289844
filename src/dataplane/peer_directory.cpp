#include <mallowglade/detail/dataplane/peer_directory.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Silence after which a router is not offered to callers: five reports.
constexpr Milliseconds LiveFor{1'000};
/// Time that a router which is no longer registered is remembered.
constexpr Milliseconds RememberFor{10'000};

} // namespace

bool PeerDirectory::live(const Peer &Of) const {
  return Of.HeardAt != TimePoint{} && Time.now() - Of.HeardAt < LiveFor;
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
  std::vector<std::string> Addresses;
  for (const auto &[Id, Each] : Peers)
    if (live(Each) && Each.Last.Ready)
      Addresses.push_back(Each.Record.CallerAddress);
  return Addresses;
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

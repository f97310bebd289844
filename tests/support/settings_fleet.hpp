#pragma once

#include <mallowglade/settings.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mallowglade::testing {

/// @brief Simulates routers with their replicas, a key-value service and a
///   network, in memory and in simulated time.
class SettingsFleet {
public:
  /// @param Routers number of routers
  /// @param Zones number of zones, filled round-robin
  /// @param Seed seed of all random choices
  SettingsFleet(std::size_t Routers, std::size_t Zones, std::uint64_t Seed)
      : Random(Seed), Nodes(Routers) {
    Versions.push_back({});
    for (std::size_t I = 0; I < Routers; ++I) {
      Nodes[I].Self = {routerId(I),
                       ZoneId("zone-" + std::to_string(I % Zones))};
      restart(I);
    }
  }

  /// State of one router, including what the tests check.
  struct Node {
    ReplicaMember Self;
    std::unique_ptr<SettingsReplica> Replica;
    SettingsVersion HighestVersion;
    bool Reverted = false;
    bool Partitioned = false;
    bool Down = false;
    bool HasMembers = false;
    std::optional<TimePoint> ReadyAt;
    Revision WatchAfter;
    bool Watching = false;
    TimePoint WatchEnds;
  };

  /// Probability of each fault per call or message, in percent.
  struct Faults {
    unsigned LostMessage = 0;
    unsigned DelayedMessage = 0;
    unsigned StaleRead = 0;
    unsigned LostRead = 0;
  };

  static RouterId routerId(std::size_t Index) {
    return RouterId("10.0.0." + std::to_string(Index + 1) + ":81");
  }

  /// @brief Commits a new version to the service, as a change would.
  void commit() {
    SettingsSnapshot Next = Versions.back();
    Next.Head.Version += SettingsVersion(1);
    const std::string Team = "team-" + std::to_string(Random.below(5));
    const PackNumber Pack = packNumberFor(Team);
    Next.Head.Packs[Pack] = Next.Head.Version;
    Next.Packs[Pack].Version = Next.Head.Version;
    Next.Packs[Pack].Branches[Team] = {Next.Head.Version,
                                       nlohmann::json::object()};
    Versions.push_back(std::move(Next));
  }

  /// @brief Restarts a router without any of its state.
  void restart(std::size_t Index) {
    Node &Old = Nodes[Index];
    Node Fresh;
    Fresh.Self = Old.Self;
    Fresh.Partitioned = Old.Partitioned;
    Fresh.Replica = std::make_unique<SettingsReplica>(
        Fresh.Self, nlohmann::json::object(), Random);
    Fresh.Replica->start(Now);
    Old = std::move(Fresh);
  }

  /// @brief Advances the simulated time in steps of 100 ms.
  void run(Milliseconds Duration) {
    for (Milliseconds Passed{0}; Passed < Duration; Passed += Step) {
      Now += Step;
      deliver();
      for (std::size_t I = 0; I < Nodes.size(); ++I)
        if (!Nodes[I].Down)
          runNode(I);
    }
  }

  SettingsVersion latest() const { return Versions.back().Head.Version; }
  bool reverted() const {
    for (const Node &Router : Nodes)
      if (Router.Reverted)
        return true;
    return false;
  }
  bool converged() const {
    for (const Node &Router : Nodes)
      if (!Router.Down &&
          (Router.Replica->version() != latest() || !Router.Replica->ready()))
        return false;
    return true;
  }

  Faults ActiveFaults;
  bool ServiceDown = false;
  bool Gossip = true;
  std::uint64_t ServiceCalls = 0;
  std::uint64_t ServiceReads = 0;
  TimePoint Now{std::chrono::hours(1)};
  SeededRandom Random;
  std::vector<Node> Nodes;
  std::vector<SettingsSnapshot> Versions;

private:
  struct Message {
    std::size_t From = 0;
    std::size_t To = 0;
    TimePoint Arrival;
    std::variant<SettingsRequest, SettingsReply, SettingsVersion> Body;
  };

  static constexpr Milliseconds Step{100};
  static constexpr Milliseconds WatchLimit{5'000};

  bool drawFault(unsigned Percent) { return Random.below(100) < Percent; }

  std::size_t indexOf(const RouterId &Id) const {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I].Self.Id == Id)
        return I;
    return Nodes.size();
  }

  std::vector<ReplicaMember> membersFor(std::size_t Index) const {
    std::vector<ReplicaMember> Members;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (I == Index || (!Nodes[I].Down && connected(I, Index)))
        Members.push_back(Nodes[I].Self);
    return Members;
  }

  bool connected(std::size_t From, std::size_t To) const {
    return Nodes[From].Partitioned == Nodes[To].Partitioned;
  }

  void runNode(std::size_t Index) {
    Node &Router = Nodes[Index];
    const bool FullSecond = Now.time_since_epoch() % std::chrono::seconds(1) ==
                            TimePoint::duration(0);
    if (FullSecond || !Router.HasMembers)
      Router.Replica->setMembers(membersFor(Index), Nodes.size());
    Router.HasMembers = true;
    perform(Index, Router.Replica->tick(Now));
    runWatch(Index);
    if (Gossip && FullSecond) {
      const std::size_t Peer = Random.below(Nodes.size());
      send(Index, Peer, Router.Replica->version());
      send(Peer, Index, Nodes[Peer].Replica->version());
    }
  }

  void send(std::size_t From, std::size_t To, decltype(Message::Body) Body) {
    if (To >= Nodes.size() || From == To || !connected(From, To))
      return;
    if (drawFault(ActiveFaults.LostMessage))
      return;
    TimePoint Arrival = Now + Step;
    if (drawFault(ActiveFaults.DelayedMessage))
      Arrival += std::chrono::seconds(1 + Random.below(20));
    Messages.push_back({From, To, Arrival, std::move(Body)});
  }

  void deliver() {
    std::deque<Message> Due;
    std::deque<Message> Later;
    for (Message &Next : Messages)
      (Next.Arrival <= Now ? Due : Later).push_back(std::move(Next));
    Messages = std::move(Later);
    for (const Message &Next : Due)
      if (!Nodes[Next.To].Down && connected(Next.From, Next.To))
        receive(Next);
  }

  void receive(const Message &Next) {
    SettingsReplica &Replica = *Nodes[Next.To].Replica;
    const RouterId &From = Nodes[Next.From].Self.Id;
    if (const auto *Request = std::get_if<SettingsRequest>(&Next.Body))
      send(Next.To, Next.From, Replica.handleRequest(*Request));
    else if (const auto *Reply = std::get_if<SettingsReply>(&Next.Body))
      perform(Next.To, Replica.onPeerReply(From, *Reply, Now));
    else
      perform(Next.To, Replica.onPeerVersion(
                           std::get<SettingsVersion>(Next.Body), From, Now));
  }

  /// Returns the state that a read sees: the latest, or a random one if the
  /// read is stale.
  const SettingsSnapshot &readState() {
    if (drawFault(ActiveFaults.StaleRead))
      return Versions[Random.below(Versions.size())];
    return Versions.back();
  }

  static std::optional<KeyValue> headRecord(const SettingsSnapshot &State) {
    if (State.Head.Version.Value == 0)
      return std::nullopt;
    return KeyValue{
        settings_layout::HeadKey, encodeHead(State.Head),
        Revision(static_cast<std::int64_t>(State.Head.Version.Value))};
  }

  bool serviceFails(std::size_t Index) {
    ++ServiceCalls;
    return ServiceDown || Nodes[Index].Partitioned ||
           drawFault(ActiveFaults.LostRead);
  }

  void perform(std::size_t Index, const ReplicaActions &Actions) {
    for (const ReplicaAction &Action : Actions)
      std::visit([&](const auto &Typed) { performAction(Index, Typed); },
                 Action);
    observe(Index);
  }

  void performAction(std::size_t Index, const ReadHead &) {
    ++ServiceReads;
    Result<std::optional<KeyValue>> Reply = headRecord(readState());
    if (serviceFails(Index))
      Reply = Error{ErrorId::Timeout, "", ""};
    perform(Index, Nodes[Index].Replica->onHead(Reply, Now));
  }

  void performAction(std::size_t Index, const ReadPacks &Action) {
    const SettingsSnapshot &State = readState();
    std::vector<KeyValue> Packs;
    for (const PackNumber Pack : Action.Packs)
      if (State.Packs.contains(Pack))
        Packs.push_back({packKey(Pack), encodePack(State.Packs.at(Pack)), {}});
    ++ServiceReads;
    Result<std::vector<KeyValue>> Reply = std::move(Packs);
    if (serviceFails(Index))
      Reply = Error{ErrorId::Timeout, "", ""};
    perform(Index, Nodes[Index].Replica->onPacks(Reply, Now));
  }

  void performAction(std::size_t Index, const WatchHead &Action) {
    ++ServiceCalls;
    Nodes[Index].Watching = true;
    Nodes[Index].WatchAfter = Action.After;
    Nodes[Index].WatchEnds = Now + WatchLimit;
  }

  void runWatch(std::size_t Index) {
    Node &Router = Nodes[Index];
    if (!Router.Watching)
      return;
    Result<std::optional<KeyValue>> Reply = std::optional<KeyValue>();
    const bool Broken = ServiceDown || Router.Partitioned;
    const auto Head = headRecord(Versions.back());
    const bool Changed = Head && Head->Modified > Router.WatchAfter;
    if (Broken)
      Reply = Error{ErrorId::Unavailable, "", ""};
    else if (Changed)
      Reply = Head;
    if (!Broken && !Changed && Now < Router.WatchEnds)
      return;
    Router.Watching = false;
    perform(Index, Router.Replica->onWatch(Reply, Now));
  }

  void performAction(std::size_t Index, const SendSettingsRequest &Action) {
    send(Index, indexOf(Action.Peer), Action.Request);
  }

  void performAction(std::size_t Index, const NotifyPeers &Action) {
    for (const RouterId &Peer : Action.Peers)
      send(Index, indexOf(Peer), Action.Version);
  }

  void performAction(std::size_t, const ApplySettings &) {}
  void performAction(std::size_t, const LogInvalidSettings &) {}

  void observe(std::size_t Index) {
    Node &Router = Nodes[Index];
    const SettingsVersion Version = Router.Replica->version();
    Router.Reverted = Router.Reverted || Version < Router.HighestVersion;
    Router.HighestVersion = std::max(Router.HighestVersion, Version);
    if (Router.Replica->ready() && !Router.ReadyAt)
      Router.ReadyAt = Now;
  }

  std::deque<Message> Messages;
};

} // namespace mallowglade::testing

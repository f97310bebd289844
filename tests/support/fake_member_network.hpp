#pragma once

#include <mallowglade/membership.hpp>

#include <functional>
#include <memory>

namespace mallowglade::test {

/// @brief Runs many failure detectors in one process, with a manual clock and a
///   simulated network with message loss and link failures.
class FakeMemberNetwork {
public:
  explicit FakeMemberNetwork(std::uint64_t Seed) : Random(Seed), Seed(Seed) {}

  struct Node {
    std::unique_ptr<SeededRandom> Random;
    std::unique_ptr<FailureDetector> Detector;
    bool Running = true;
    bool Paused = false;
    std::uint64_t BytesSent = 0;
    std::uint64_t MessagesSent = 0;
  };

  static RouterId routerId(std::size_t Index) {
    return RouterId("10.0." + std::to_string(Index / 200) + "." +
                    std::to_string(Index % 200 + 1) + ":9000");
  }

  /// Starts a router, or restarts it without state.
  void start(std::size_t Index, const std::set<RouterId> &Seeds,
             Incarnation Start = {}) {
    const RouterId Id = routerId(Index);
    MemberRecord Self;
    Self.Id = Id;
    ++LastStart;
    Self.Start = Start.Value != 0 ? Start : Incarnation(LastStart);
    Self.Zone = ZoneId("pl-south-" + std::to_string(Index % 8));
    Self.CallerAddress = Id.Value;
    Node NewNode;
    NewNode.Random = std::make_unique<SeededRandom>(Seed * 1'000 + LastStart);
    NewNode.Detector = std::make_unique<FailureDetector>(
        MembershipOptions{}, Self, *NewNode.Random, Time.now());
    NewNode.Detector->setSeeds(Seeds);
    Nodes[Id] = std::move(NewNode);
  }

  void startAll(std::size_t Count) {
    std::set<RouterId> Seeds;
    for (std::size_t I = 0; I < Count; ++I)
      Seeds.insert(routerId(I));
    for (std::size_t I = 0; I < Count; ++I)
      start(I, Seeds);
  }

  Node &node(std::size_t Index) { return Nodes.at(routerId(Index)); }

  /// Advances time and runs all routers in steps of 100 ms.
  void run(std::chrono::milliseconds Duration) {
    constexpr std::chrono::milliseconds Step(100);
    for (std::chrono::milliseconds Elapsed(0); Elapsed < Duration;
         Elapsed += Step) {
      Time.advance(Step);
      tickAll();
      // One step delivers up to a whole indirect probe: the request, the probe,
      // and the acknowledgements to the relay and to the origin.
      constexpr int Hops = 4;
      for (int Hop = 0; Hop < Hops; ++Hop)
        deliver();
    }
  }

  /// Runs until the condition holds or the limit has passed; returns the
  /// simulated time that passed.
  std::chrono::milliseconds runUntil(const std::function<bool()> &Condition,
                                     std::chrono::milliseconds Limit) {
    constexpr std::chrono::milliseconds Step(100);
    std::chrono::milliseconds Waited(0);
    for (; Waited < Limit && !Condition(); Waited += Step)
      run(Step);
    return Waited;
  }

  /// True if every running router considers exactly the running ones live.
  bool converged() const {
    const auto Running =
        std::count_if(Nodes.begin(), Nodes.end(),
                      [](const auto &Item) { return Item.second.Running; });
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Item) {
      return !Item.second.Running || viewMatches(Item.second, Running);
    });
  }

  std::uint64_t bytesSent() const {
    std::uint64_t Total = 0;
    for (const auto &[Id, Member] : Nodes)
      Total += Member.BytesSent;
    return Total;
  }

  ManualClock Time;
  SeededRandom Random;
  unsigned LossPercent = 0;
  /// Returns false if messages from the first to the second router are lost.
  std::function<bool(const RouterId &, const RouterId &)> Connected;
  std::map<RouterId, Node> Nodes;

private:
  struct InFlightMessage {
    RouterId From;
    RouterId To;
    std::string Bytes;
  };

  bool viewMatches(const Node &Viewer, std::ptrdiff_t Running) const {
    const auto Live = Viewer.Detector->liveMembers();
    return static_cast<std::ptrdiff_t>(Live.size()) == Running &&
           std::all_of(Live.begin(), Live.end(), [this](const auto &Record) {
             return Nodes.at(Record.Id).Running;
           });
  }

  void tickAll() {
    for (auto &[Id, Member] : Nodes) {
      if (!Member.Running || Member.Paused)
        continue;
      Member.Detector->tick(Time.now());
      collectOutgoing(Id, Member);
    }
  }

  void collectOutgoing(const RouterId &From, Node &Sender) {
    for (const auto &Sent : Sender.Detector->takeMessages()) {
      std::string Bytes = encodeMemberMessage(Sent.Message);
      Sender.BytesSent += Bytes.size();
      ++Sender.MessagesSent;
      const bool Lost = Random.below(100) < LossPercent ||
                        (Connected && !Connected(From, Sent.To));
      if (!Lost)
        InFlight.push_back({From, Sent.To, std::move(Bytes)});
    }
  }

  void deliver() {
    std::vector<InFlightMessage> Arrivals = std::exchange(InFlight, {});
    for (InFlightMessage &Arrival : Arrivals) {
      const auto To = Nodes.find(Arrival.To);
      if (To == Nodes.end() || !To->second.Running)
        continue;
      if (To->second.Paused) {
        InFlight.push_back(std::move(Arrival));
        continue;
      }
      const auto Message = decodeMemberMessage(Arrival.Bytes);
      To->second.Detector->receive(Time.now(), Arrival.From, valueOf(Message));
      collectOutgoing(Arrival.To, To->second);
    }
  }

  std::uint64_t Seed;
  std::uint64_t LastStart = 1'000;
  std::vector<InFlightMessage> InFlight;
};

} // namespace mallowglade::test

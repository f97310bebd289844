#pragma once

#include <mallowglade/membership.hpp>

#include <functional>
#include <memory>

namespace mallowglade::test {

/// @brief Many failure detectors in one process, with manual time and a
///   network that loses messages and cuts links.
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

  static RouterId idOf(std::size_t Index) {
    return RouterId("10.0." + std::to_string(Index / 200) + "." +
                    std::to_string(Index % 200 + 1) + ":9000");
  }

  /// Starts a router, or restarts it with no state.
  void start(std::size_t Index, const std::set<RouterId> &Seeds,
             Incarnation Start = {}) {
    const RouterId Id = idOf(Index);
    MemberRecord Self;
    Self.Id = Id;
    ++LastStart;
    Self.Start = Start.Value != 0 ? Start : Incarnation(LastStart);
    Self.Zone = ZoneId("pl-south-" + std::to_string(Index % 8));
    Self.CallerAddress = Id.Value;
    Node Fresh;
    Fresh.Random = std::make_unique<SeededRandom>(Seed * 1'000 + LastStart);
    Fresh.Detector = std::make_unique<FailureDetector>(
        MembershipOptions{}, Self, *Fresh.Random, Time.now());
    Fresh.Detector->setSeeds(Seeds);
    Nodes[Id] = std::move(Fresh);
  }

  void startAll(std::size_t Count) {
    std::set<RouterId> Seeds;
    for (std::size_t I = 0; I < Count; ++I)
      Seeds.insert(idOf(I));
    for (std::size_t I = 0; I < Count; ++I)
      start(I, Seeds);
  }

  Node &node(std::size_t Index) { return Nodes.at(idOf(Index)); }

  /// Runs all routers for a while.
  void run(std::chrono::milliseconds Span) {
    constexpr std::chrono::milliseconds Step(100);
    for (std::chrono::milliseconds Done(0); Done < Span; Done += Step) {
      Time.advance(Step);
      tickAll();
      // Deliveries within a step: a probe, its answer, and both by a relay.
      constexpr int Hops = 4;
      for (int Hop = 0; Hop < Hops; ++Hop)
        deliver();
    }
  }

  /// Runs until a condition holds; returns the time it took, or the limit.
  std::chrono::milliseconds runUntil(const std::function<bool()> &Holds,
                                     std::chrono::milliseconds Limit) {
    constexpr std::chrono::milliseconds Step(100);
    std::chrono::milliseconds Waited(0);
    for (; Waited < Limit && !Holds(); Waited += Step)
      run(Step);
    return Waited;
  }

  /// True if every running router regards exactly the running ones as live.
  bool agreed() const {
    const auto Running =
        std::count_if(Nodes.begin(), Nodes.end(),
                      [](const auto &Item) { return Item.second.Running; });
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Item) {
      return !Item.second.Running || sees(Item.second, Running);
    });
  }

  std::uint64_t bytesSent() const {
    std::uint64_t Sum = 0;
    for (const auto &[Id, Each] : Nodes)
      Sum += Each.BytesSent;
    return Sum;
  }

  ManualClock Time;
  SeededRandom Random;
  /// Share of messages lost, in percent.
  unsigned LossPercent = 0;
  /// Returns false for a link that is cut in this direction.
  std::function<bool(const RouterId &, const RouterId &)> Connected;
  std::map<RouterId, Node> Nodes;

private:
  struct Flight {
    RouterId From;
    RouterId To;
    std::string Bytes;
  };

  bool sees(const Node &Viewer, std::ptrdiff_t Running) const {
    const auto Live = Viewer.Detector->alive();
    return static_cast<std::ptrdiff_t>(Live.size()) == Running &&
           std::all_of(Live.begin(), Live.end(), [this](const auto &Record) {
             return Nodes.at(Record.Id).Running;
           });
  }

  void tickAll() {
    for (auto &[Id, Each] : Nodes) {
      if (!Each.Running || Each.Paused)
        continue;
      Each.Detector->tick(Time.now());
      collect(Id, Each);
    }
  }

  void collect(const RouterId &From, Node &Sender) {
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
    std::vector<Flight> Arriving = std::exchange(InFlight, {});
    for (Flight &Each : Arriving) {
      const auto To = Nodes.find(Each.To);
      if (To == Nodes.end() || !To->second.Running)
        continue;
      if (To->second.Paused) {
        InFlight.push_back(std::move(Each));
        continue;
      }
      const auto Message = decodeMemberMessage(Each.Bytes);
      To->second.Detector->receive(Time.now(), Each.From, valueOf(Message));
      collect(Each.To, To->second);
    }
  }

  std::uint64_t Seed;
  std::uint64_t LastStart = 1'000;
  std::vector<Flight> InFlight;
};

} // namespace mallowglade::test

// Cost of the membership and of the links between routers; one JSON object a
// line. Messages are encoded and decoded, but cross no socket.

#include "../tests/support/fake_member_network.hpp"

#include <mallowglade/transport.hpp>

#include <fmt/format.h>

#include <malloc.h>
#include <time.h>

using namespace mallowglade;
using mallowglade::test::FakeMemberNetwork;
using namespace std::chrono_literals;

namespace {

constexpr std::array<std::size_t, 3> Sizes{8, 64, 390};
constexpr int MeasuredSeconds = 20;

void report(std::string_view What, std::string_view Per, std::size_t Routers,
            double Value, std::string_view Unit) {
  fmt::print("{{\"what\":\"{}\",\"per\":\"{}\",\"routers\":{},\"value\":{:.3f},"
             "\"unit\":\"{}\"}}\n",
             What, Per, Routers, Value, Unit);
  std::fflush(stdout);
}

double processorMicros() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return double(Used.tv_sec) * 1e6 + double(Used.tv_nsec) / 1e3;
}

double heapBytes() {
  const struct mallinfo2 Heap = mallinfo2();
  return double(Heap.uordblks) + double(Heap.hblkhd);
}

std::uint64_t messagesOf(const FakeMemberNetwork &Fleet) {
  std::uint64_t Sum = 0;
  for (const auto &[Id, Node] : Fleet.Nodes)
    Sum += Node.MessagesSent;
  return Sum;
}

void measurePhase(FakeMemberNetwork &Fleet, const std::string &Phase) {
  const double Nodes = double(Fleet.Nodes.size());
  const double Share = 1 / (Nodes * MeasuredSeconds);
  const std::uint64_t Bytes = Fleet.bytesSent();
  const std::uint64_t Messages = messagesOf(Fleet);
  const double Started = processorMicros();
  Fleet.run(MeasuredSeconds * 1'000ms);
  const double Used = processorMicros() - Started;
  const std::size_t Size = Fleet.Nodes.size();
  report("membership_processor_" + Phase, "router", Size, Used * Share, "us/s");
  report("membership_bytes_" + Phase, "router", Size,
         double(Fleet.bytesSent() - Bytes) * Share, "bytes/s");
  report("membership_messages_" + Phase, "router", Size,
         double(messagesOf(Fleet) - Messages) * Share, "messages/s");
}

void reportAgreement(FakeMemberNetwork &Fleet, std::string_view Event) {
  constexpr auto Limit = 300'000ms;
  const std::uint64_t Bytes = Fleet.bytesSent();
  const auto Took = Fleet.runUntil([&Fleet] { return Fleet.agreed(); }, Limit);
  const std::size_t Size = Fleet.Nodes.size();
  const double Seconds = std::max(0.1, double(Took.count()) / 1e3);
  report(std::string(Event) + "_known_everywhere", "fleet", Size,
         double(Took.count()), "ms");
  report(std::string(Event) + "_bytes", "router", Size,
         double(Fleet.bytesSent() - Bytes) / Seconds / double(Size), "bytes/s");
}

/// Loses and restarts every eighth router, then splits the fleet in halves.
void measureEvents(FakeMemberNetwork &Fleet) {
  constexpr std::size_t Zones = 8;
  const std::size_t Size = Fleet.Nodes.size();
  for (std::size_t I = 0; I < Size; I += Zones)
    Fleet.node(I).Running = false;
  reportAgreement(Fleet, "zone_loss");
  const std::set<RouterId> Seeds{FakeMemberNetwork::idOf(1),
                                 FakeMemberNetwork::idOf(2)};
  for (std::size_t I = 0; I < Size; I += Zones)
    Fleet.start(I, Seeds);
  reportAgreement(Fleet, "zone_return");
  Fleet.Connected = [](const RouterId &From, const RouterId &To) {
    return stableHash(From.Value) % 2 == stableHash(To.Value) % 2;
  };
  Fleet.run(60'000ms);
  Fleet.Connected = nullptr;
  reportAgreement(Fleet, "partition_end");
}

void measureMembership(std::size_t Size) {
  constexpr std::uint64_t Seed = 1;
  constexpr unsigned LossPercent = 5;
  const double Before = heapBytes();
  FakeMemberNetwork Fleet(Seed);
  Fleet.startAll(Size);
  reportAgreement(Fleet, "cold_start");
  measurePhase(Fleet, "after_start");
  report("membership_memory", "router", Size,
         (heapBytes() - Before) / double(Size), "bytes");
  Fleet.node(0).Running = false;
  reportAgreement(Fleet, "router_loss");
  Fleet.start(0, {FakeMemberNetwork::idOf(1)});
  reportAgreement(Fleet, "router_return");
  measureEvents(Fleet);
  Fleet.LossPercent = LossPercent;
  measurePhase(Fleet, "with_5_percent_loss");
}

/// A hub and many peers in one process.
class LinkBench {
public:
  explicit LinkBench(std::size_t Count) {
    for (std::size_t I = 0; I <= Count; ++I)
      add(I);
  }

  void run() {
    const double Idle = heapBytes();
    const double Started = processorMicros();
    sendToAll();
    const double Opened = processorMicros() - Started;
    const std::size_t Count = Nodes.size() - 1;
    report("link_open_and_first_message_both_ends", "link", Count,
           Opened / double(Count), "us");
    report("link_memory_both_ends", "link", Count,
           (heapBytes() - Idle) / double(Count), "bytes");
    measureMessages();
  }

private:
  static constexpr std::size_t BodyBytes = 200;

  void add(std::size_t Index) {
    Http2PeersOptions Options;
    const std::string Port = std::to_string(21'500 + Index);
    Options.Listen = "127.77.2.1:" + Port;
    Options.Self = RouterId(Options.Listen);
    Options.Start = Incarnation(1);
    Options.FleetKey = "bench-membership-fleet-key";
    Options.MaxOutgoing = 1'000;
    auto Added = std::make_unique<Http2Peers>(Context, Time, Options);
    Added->onMessage(
        "bench", [this](const PeerSender &, std::string_view) { ++Received; });
    if (!isOk(Added->listen()))
      fmt::print(stderr, "bench-membership: cannot use {}\n", Options.Listen);
    Ids.push_back(Options.Self);
    Nodes.push_back(std::move(Added));
  }

  void sendToAll() {
    const std::size_t Expected = Received + Nodes.size() - 1;
    for (std::size_t I = 1; I < Nodes.size(); ++I)
      Nodes[0]->send(Ids[I], "bench", std::string(BodyBytes, 'x'));
    constexpr int MaxSteps = 1'000;
    for (int Step = 0; Step < MaxSteps && Received < Expected; ++Step) {
      Context.restart();
      Context.run_for(1ms);
    }
  }

  void measureMessages() {
    constexpr int Rounds = 50;
    const PeerTraffic Before = Nodes[0]->traffic();
    const double Started = processorMicros();
    for (int Round = 0; Round < Rounds; ++Round)
      sendToAll();
    const double Used = processorMicros() - Started;
    const double Messages = double(Rounds) * double(Nodes.size() - 1);
    const PeerTraffic After = Nodes[0]->traffic();
    report("message_200_bytes_both_ends", "message", Nodes.size() - 1,
           Used / Messages, "us");
    report("message_overhead_sent", "message", Nodes.size() - 1,
           double(After.BytesSent - Before.BytesSent) / Messages - BodyBytes,
           "bytes");
    report("message_overhead_received", "message", Nodes.size() - 1,
           double(After.BytesReceived - Before.BytesReceived) / Messages,
           "bytes");
  }

  asio::io_context Context{1};
  SystemClock Time;
  std::vector<RouterId> Ids;
  std::vector<std::unique_ptr<Http2Peers>> Nodes;
  std::size_t Received = 0;
};

} // namespace

int main() {
  for (const std::size_t Size : Sizes)
    measureMembership(Size);
  constexpr std::size_t Links = 256;
  LinkBench(Links).run();
}

// Measures the cost of the membership protocol and of the links between
// routers. Prints one JSON object per line. Membership messages are encoded and
// decoded but not sent over sockets; the link benchmark uses loopback
// connections.

#include "../tests/support/fake_member_network.hpp"

#include <mallowglade/transport.hpp>

#include <fmt/format.h>

#include <malloc.h>
#include <time.h>

using namespace mallowglade;
using mallowglade::test::FakeMemberNetwork;
using namespace std::chrono_literals;

namespace {

constexpr std::array<std::size_t, 3> FleetSizes{8, 64, 390};
constexpr int MeasuredSeconds = 20;

void report(std::string_view Metric, std::string_view PerUnit,
            std::size_t Routers, double Value, std::string_view Unit) {
  fmt::print("{{\"what\":\"{}\",\"per\":\"{}\",\"routers\":{},\"value\":{:.3f},"
             "\"unit\":\"{}\"}}\n",
             Metric, PerUnit, Routers, Value, Unit);
  std::fflush(stdout);
}

double cpuTimeMicros() {
  timespec CpuUsed{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &CpuUsed);
  return double(CpuUsed.tv_sec) * 1e6 + double(CpuUsed.tv_nsec) / 1e3;
}

double heapBytes() {
  const struct mallinfo2 Heap = mallinfo2();
  return double(Heap.uordblks) + double(Heap.hblkhd);
}

std::uint64_t totalMessages(const FakeMemberNetwork &Fleet) {
  std::uint64_t Total = 0;
  for (const auto &[Id, Node] : Fleet.Nodes)
    Total += Node.MessagesSent;
  return Total;
}

void measurePhase(FakeMemberNetwork &Fleet, const std::string &Phase) {
  const double Nodes = double(Fleet.Nodes.size());
  const double PerRouterSecond = 1 / (Nodes * MeasuredSeconds);
  const std::uint64_t Bytes = Fleet.bytesSent();
  const std::uint64_t Messages = totalMessages(Fleet);
  const double Started = cpuTimeMicros();
  Fleet.run(MeasuredSeconds * 1'000ms);
  const double CpuUsed = cpuTimeMicros() - Started;
  const std::size_t Size = Fleet.Nodes.size();
  report("membership_processor_" + Phase, "router", Size,
         CpuUsed * PerRouterSecond, "us/s");
  report("membership_bytes_" + Phase, "router", Size,
         double(Fleet.bytesSent() - Bytes) * PerRouterSecond, "bytes/s");
  report("membership_messages_" + Phase, "router", Size,
         double(totalMessages(Fleet) - Messages) * PerRouterSecond,
         "messages/s");
}

void reportConvergence(FakeMemberNetwork &Fleet, std::string_view Event) {
  constexpr auto Limit = 300'000ms;
  const std::uint64_t Bytes = Fleet.bytesSent();
  const auto Elapsed =
      Fleet.runUntil([&Fleet] { return Fleet.converged(); }, Limit);
  const std::size_t Size = Fleet.Nodes.size();
  const double Seconds = std::max(0.1, double(Elapsed.count()) / 1e3);
  report(std::string(Event) + "_known_everywhere", "fleet", Size,
         double(Elapsed.count()), "ms");
  report(std::string(Event) + "_bytes", "router", Size,
         double(Fleet.bytesSent() - Bytes) / Seconds / double(Size), "bytes/s");
}

/// Stops and restarts every eighth router, as in a zone outage, then partitions
/// the fleet into two halves for a minute.
void measureFailures(FakeMemberNetwork &Fleet) {
  constexpr std::size_t Zones = 8;
  const std::size_t Size = Fleet.Nodes.size();
  for (std::size_t I = 0; I < Size; I += Zones)
    Fleet.node(I).Running = false;
  reportConvergence(Fleet, "zone_loss");
  const std::set<RouterId> Seeds{FakeMemberNetwork::routerId(1),
                                 FakeMemberNetwork::routerId(2)};
  for (std::size_t I = 0; I < Size; I += Zones)
    Fleet.start(I, Seeds);
  reportConvergence(Fleet, "zone_return");
  Fleet.Connected = [](const RouterId &From, const RouterId &To) {
    return stableHash(From.Value) % 2 == stableHash(To.Value) % 2;
  };
  Fleet.run(60'000ms);
  Fleet.Connected = nullptr;
  reportConvergence(Fleet, "partition_end");
}

void measureMembership(std::size_t Size) {
  constexpr std::uint64_t Seed = 1;
  constexpr unsigned LossPercent = 5;
  const double Before = heapBytes();
  FakeMemberNetwork Fleet(Seed);
  Fleet.startAll(Size);
  reportConvergence(Fleet, "cold_start");
  measurePhase(Fleet, "after_start");
  report("membership_memory", "router", Size,
         (heapBytes() - Before) / double(Size), "bytes");
  Fleet.node(0).Running = false;
  reportConvergence(Fleet, "router_loss");
  Fleet.start(0, {FakeMemberNetwork::routerId(1)});
  reportConvergence(Fleet, "router_return");
  measureFailures(Fleet);
  Fleet.LossPercent = LossPercent;
  measurePhase(Fleet, "with_5_percent_loss");
}

/// Measures the links between one router and many peers in the same process.
class LinkBench {
public:
  explicit LinkBench(std::size_t Count) {
    for (std::size_t I = 0; I <= Count; ++I)
      add(I);
  }

  void run() {
    const double IdleHeapBytes = heapBytes();
    const double Started = cpuTimeMicros();
    sendToAll();
    const double OpenMicros = cpuTimeMicros() - Started;
    const std::size_t Count = Nodes.size() - 1;
    report("link_open_and_first_message_both_ends", "link", Count,
           OpenMicros / double(Count), "us");
    report("link_memory_both_ends", "link", Count,
           (heapBytes() - IdleHeapBytes) / double(Count), "bytes");
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
    auto Peer = std::make_unique<Http2Peers>(Context, Time, Options);
    Peer->onMessage(
        "bench", [this](const PeerSender &, std::string_view) { ++Received; });
    if (!isOk(Peer->listen()))
      fmt::print(stderr, "bench-membership: cannot use {}\n", Options.Listen);
    Ids.push_back(Options.Self);
    Nodes.push_back(std::move(Peer));
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
    constexpr int RoundCount = 50;
    const PeerTraffic Before = Nodes[0]->traffic();
    const double Started = cpuTimeMicros();
    for (int Round = 0; Round < RoundCount; ++Round)
      sendToAll();
    const double CpuUsed = cpuTimeMicros() - Started;
    const double Messages = double(RoundCount) * double(Nodes.size() - 1);
    const PeerTraffic After = Nodes[0]->traffic();
    report("message_200_bytes_both_ends", "message", Nodes.size() - 1,
           CpuUsed / Messages, "us");
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
  for (const std::size_t Size : FleetSizes)
    measureMembership(Size);
  constexpr std::size_t LinkCount = 256;
  LinkBench(LinkCount).run();
}

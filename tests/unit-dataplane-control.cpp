#include "../platform/wire.hpp"

#include <mallowglade/dataplane.hpp>
#include <mallowglade/detail/settings/json_reader.hpp>

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <sstream>
#include <thread>

using namespace mallowglade;
using namespace mallowglade::dataplane;

namespace {

constexpr const char *LogTarget = "/dev/null";
/// Time within which a change in the store has to take effect.
constexpr Milliseconds Freshness{2'000};
const ServiceId Pool("pool");

std::shared_ptr<const Configuration> configurationOf() {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(1);
  Config->Services.push_back({Pool, "/healthz", 100, {}});
  Config->index();
  return Config;
}

UpstreamRecord upstream(const std::string &Name, std::uint16_t Port) {
  return {UpstreamId(Name), Pool, {asio::ip::make_address("127.0.0.1"), Port},
          ZoneId("a"),      4,    true};
}

/// Answers with a state that the test sets, and counts the readings.
class CountingStore final : public FleetStore {
public:
  CountingStore(asio::io_context &Context, const FleetState &State)
      : Context(Context), State(State) {}
  void read(std::function<void(Result<FleetState>)> Done) override {
    ++Readings;
    asio::post(Context, [this, Done = std::move(Done)] { Done(State); });
  }
  void announce(const RouterRecord &,
                std::function<void(Result<Success>)> Done) override {
    asio::post(Context, [Done = std::move(Done)] { Done(Success()); });
  }
  void withdraw() override {}

  unsigned Readings = 0;

private:
  asio::io_context &Context;
  const FleetState &State;
};

/// An address of the loopback network that no other process uses: a port that
/// was free a moment ago may be taken again.
std::string addressOf(std::uint64_t Router, unsigned Port) {
  constexpr unsigned ByteMask = 0xFF;
  constexpr unsigned FirstBlock = 64;
  constexpr unsigned BlockMask = 0x3F;
  const auto Process = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}:{}",
                     FirstBlock + ((Process >> 8U) & BlockMask),
                     Process & ByteMask, Router, Port);
}

NodeSettings settingsOf(std::uint64_t Router, const std::string &Zone) {
  NodeSettings Settings;
  Settings.Zone = ZoneId(Zone);
  Settings.CallerListen = addressOf(Router, 7001);
  Settings.ReadinessListen = addressOf(Router, 7002);
  Settings.AddressesListen = addressOf(Router, 7003);
  Settings.PeerListen = addressOf(Router, 7004);
  Settings.MetricsListen = addressOf(Router, 7005);
  Settings.CredentialFreshness = Milliseconds(5'000);
  Settings.StateFreshness = Freshness;
  Settings.StopGrace = std::chrono::seconds(8);
  Settings.MaxAddressTtl = std::chrono::seconds(5);
  Settings.MemoryBytes = std::size_t(64) << 20U;
  Settings.Descriptors = 1'000;
  return Settings;
}

/// A router without callers.
class TestRouter final : public TrafficLink {
public:
  TestRouter(asio::io_context &Context, const std::string &Zone,
             const FleetState &State, std::uint64_t Number)
      : Context(Context), Settings(settingsOf(Number, Zone)), Random(Number),
        Log(open(LogTarget, O_WRONLY), 1, Time), Store(Context, State),
        Proxy(Context, Settings, Wire, Time, Random, Log),
        State(Context, Settings, Wire, Store, *this, Time, Random, Log) {}
  void onTraffic(std::function<void(Traffic &)> Task) override {
    asio::post(Context, [this, Task = std::move(Task)] { Task(Proxy); });
  }
  RouterRecord record() const {
    return {RouterId(Settings.PeerListen), Settings.Zone, Settings.CallerListen,
            Settings.PeerListen};
  }

  asio::io_context &Context;
  NodeSettings Settings;
  platform::PlatformWire Wire;
  SystemClock Time;
  SeededRandom Random;
  EventLog Log;
  CountingStore Store;
  Traffic Proxy;
  Control State;
};

/// Three routers in each of two zones on one event loop.
struct Fleet {
  asio::io_context Context;
  FleetState State;
  std::vector<std::unique_ptr<TestRouter>> Routers;

  Fleet() {
    State.Config = configurationOf();
    State.Upstreams = {upstream("one", 9'001)};
    constexpr unsigned InZone = 3;
    for (const char *Zone : {"a", "b"})
      for (unsigned At = 0; At < InZone; ++At) {
        Routers.push_back(std::make_unique<TestRouter>(Context, Zone, State,
                                                       Routers.size() + 1));
        State.Routers.push_back(Routers.back()->record());
      }
    for (const auto &Each : Routers)
      CPPUNIT_ASSERT(!Each->State.start());
  }

  std::vector<unsigned> readings() const {
    std::vector<unsigned> Counts;
    for (const auto &Each : Routers)
      Counts.push_back(Each->Store.Readings);
    return Counts;
  }

  /// Asks a router for addresses.
  /// @return number of routers that it names
  std::size_t addressesOf(const TestRouter &Of) {
    std::string Answer;
    std::thread Caller([&] {
      const HostPort At = splitAddress(Of.Settings.AddressesListen);
      asio::ip::tcp::iostream Stream(At.Host, std::to_string(At.Port));
      Stream << "GET /mallowglade/resolve?name=x HTTP/1.1\r\nHost: x\r\n"
                "Connection: close\r\n\r\n"
             << std::flush;
      std::ostringstream All;
      All << Stream.rdbuf();
      Answer = All.str();
    });
    Context.run_for(Milliseconds(300));
    Caller.join();
    std::size_t Count = 0;
    for (const auto &Each : Routers)
      Count += Answer.find('"' + Each->Settings.CallerListen + '"') !=
                       std::string::npos
                   ? 1
                   : 0;
    return Count;
  }
};

} // namespace

class DataplaneControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneControlTest);
  CPPUNIT_TEST(followersRelyOnTheReadingsOfTheFirst);
  CPPUNIT_TEST(followersReadOnceWhenTheStateChanges);
  CPPUNIT_TEST(digestsReachAllRoutersOfOtherZones);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against proofs in reports that are received and not used: every
  // router would read the store by itself.
  void followersRelyOnTheReadingsOfTheFirst() {
    Fleet All;
    All.Context.run_for(Milliseconds(1'000));
    const auto Before = All.readings();
    All.Context.run_for(2 * Freshness);
    const auto After = All.readings();
    unsigned Followers = 0;
    unsigned Readers = 0;
    for (std::size_t At = 0; At < After.size(); ++At) {
      const unsigned Count = After[At] - Before[At];
      if (Count == 0)
        ++Followers;
      // A reader reads four times within the freshness.
      if (Count >= 6)
        ++Readers;
    }
    CPPUNIT_ASSERT_EQUAL(4U, Followers);
    CPPUNIT_ASSERT_EQUAL(2U, Readers);
  }

  // Guards against a change that followers learn too late, or that makes them
  // read the store again and again.
  void followersReadOnceWhenTheStateChanges() {
    Fleet All;
    All.Context.run_for(Milliseconds(1'000));
    const auto Before = All.readings();
    All.State.Upstreams.push_back(upstream("two", 9'002));
    All.Context.run_for(Freshness);
    for (std::size_t At = 0; At < Before.size(); ++At) {
      const unsigned Count = All.Routers[At]->Store.Readings - Before[At];
      CPPUNIT_ASSERT(Count >= 1);
    }
    const auto Settled = All.readings();
    All.Context.run_for(Freshness);
    unsigned Idle = 0;
    for (std::size_t At = 0; At < Settled.size(); ++At)
      Idle += All.Routers[At]->Store.Readings == Settled[At] ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(4U, Idle);
  }

  // Guards against routers that no digest reaches, because it is sent to the
  // first ones of their zone only.
  void digestsReachAllRoutersOfOtherZones() {
    Fleet All;
    All.Context.run_for(Milliseconds(1'500));
    for (const auto &Each : All.Routers)
      CPPUNIT_ASSERT_EQUAL(All.Routers.size(), All.addressesOf(*Each));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneControlTest);

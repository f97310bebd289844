#pragma once

#include "../../platform/wire.hpp"

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

/// Control planes of a fleet of routers, on one event loop.
namespace mallowglade::testing::control {

using namespace mallowglade::dataplane;

inline constexpr const char *LogPath = "/dev/null";
/// Time within which a change in the store must take effect.
inline constexpr Milliseconds Freshness{2'000};
inline const ServiceId Pool("pool");

inline std::shared_ptr<const Configuration>
makeConfiguration(std::uint64_t Version = 1) {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(Version);
  Config->Services.push_back({Pool, "/healthz", 100, {}});
  Config->index();
  return Config;
}

inline UpstreamRecord makeUpstream(const std::string &Name,
                                   std::uint16_t Port) {
  return {UpstreamId(Name),
          Pool,
          {asio::ip::make_address("127.0.0.1"), Port},
          ZoneId("a"),
          4,
          true,
          0,
          {}};
}

/// Returns a state that the test sets, and counts the reads.
class CountingStore final : public FleetStore {
public:
  CountingStore(asio::io_context &Context, FleetState &State)
      : Context(Context), State(State) {}
  void read(std::function<void(Result<FleetState>)> Done) override {
    ++ReadCount;
    auto Timer = std::make_shared<asio::steady_timer>(Context, ReadTime);
    Timer->async_wait([Timer, Read = State, Done = std::move(Done)](
                          std::error_code) { Done(Read); });
  }
  void registerRouter(const RouterRecord &,
                      std::function<void(Result<Success>)> Done) override {
    asio::post(Context, [Done = std::move(Done)] { Done(Success()); });
  }
  void deregisterRouter() override {}
  void changeQuarantines(const std::map<RequestFeature, QuarantineEntry> &Write,
                         const std::vector<RequestFeature> &Remove,
                         std::function<void(Result<Success>)> Done) override {
    ++ChangeCount;
    if (ChangesFail) {
      asio::post(Context, [Done = std::move(Done)] {
        Done(Error{ErrorId::Unavailable, "", ""});
      });
      return;
    }
    for (const auto &[Feature, Entry] : Write)
      State.Quarantines.insert_or_assign(Feature, Entry);
    for (const RequestFeature &Feature : Remove)
      State.Quarantines.erase(Feature);
    asio::post(Context, [Done = std::move(Done)] { Done(Success()); });
  }
  void observeEra(StoreEra Era) override { ObservedEra = Era; }
  void confirmEra(StoreEra Era) override { State.ConfirmedEra = Era; }

  StoreEra ObservedEra;
  unsigned ReadCount = 0;
  unsigned ChangeCount = 0;
  bool ChangesFail = false;
  /// Time from the start of a read to its result.
  Milliseconds ReadTime{0};

private:
  asio::io_context &Context;
  FleetState &State;
};

/// Returns a loopback address derived from the process id, which concurrent
/// test processes do not share. Probing for a free port would be racy, as
/// another process may take the port before it is bound.
inline std::string loopbackAddress(std::uint64_t Router, unsigned Port) {
  constexpr unsigned ByteMask = 0xFF;
  constexpr unsigned FirstBlock = 64;
  constexpr unsigned BlockMask = 0x3F;
  const auto Process = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}:{}",
                     FirstBlock + ((Process >> 8U) & BlockMask),
                     Process & ByteMask, Router, Port);
}

inline NodeSettings makeSettings(std::uint64_t Router,
                                 const std::string &Zone) {
  NodeSettings Settings;
  Settings.Zone = ZoneId(Zone);
  Settings.CallerListen = loopbackAddress(Router, 7001);
  Settings.ReadinessListen = loopbackAddress(Router, 7002);
  Settings.AddressesListen = loopbackAddress(Router, 7003);
  Settings.PeerListen = loopbackAddress(Router, 7004);
  Settings.MetricsListen = loopbackAddress(Router, 7005);
  Settings.CredentialFreshness = Milliseconds(5'000);
  Settings.RestoredStoreHold = Milliseconds(10'000);
  Settings.StateFreshness = Freshness;
  Settings.StopGrace = std::chrono::seconds(8);
  Settings.MaxAddressTtl = std::chrono::seconds(5);
  Settings.MemoryBytes = std::size_t(64) << 20U;
  Settings.Descriptors = 1'000;
  return Settings;
}

/// Control plane of a router that serves no callers.
class TestRouter final : public TrafficTaskQueue {
public:
  TestRouter(asio::io_context &Context, const std::string &Zone,
             FleetState &State, std::uint64_t Number)
      : Context(Context), Settings(makeSettings(Number, Zone)), Random(Number),
        Log(open(LogPath, O_WRONLY), 1, Time), Store(Context, State),
        Proxy(Context, Settings, Wire, Time, Random, Log),
        State(Context, Settings, Wire, Store, *this, Time, Random, Log) {}
  void postToTraffic(std::function<void(Traffic &)> Task) override {
    if (TrafficStalled)
      return;
    asio::post(Context, [this, Task = std::move(Task)] { Task(Proxy); });
  }
  RouterRecord record() const {
    return {RouterId(Settings.PeerListen), Settings.Zone, Settings.CallerListen,
            Settings.PeerListen};
  }

  /// Set while tasks of the traffic thread do not run.
  bool TrafficStalled = false;
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

/// Returns a report of a router that is no part of the fleet.
inline PeerReport makeStrangersReport() {
  PeerReport Report;
  Report.Sender = RouterId(loopbackAddress(200, 7'004));
  Report.Incarnation = Report.Sequence = 1;
  Report.Zone = ZoneId("a");
  Report.CallerAddress = loopbackAddress(200, 7'001);
  return Report;
}

/// Two zones of three routers each, on one event loop.
struct Fleet {
  asio::io_context Context;
  FleetState State;
  std::vector<std::unique_ptr<TestRouter>> Routers;

  Fleet() {
    State.Config = makeConfiguration();
    State.Upstreams = {makeUpstream("one", 9'001)};
    constexpr unsigned RoutersPerZone = 3;
    for (const char *Zone : {"a", "b"})
      for (unsigned Index = 0; Index < RoutersPerZone; ++Index) {
        Routers.push_back(std::make_unique<TestRouter>(Context, Zone, State,
                                                       Routers.size() + 1));
        State.Routers.push_back(Routers.back()->record());
      }
    for (const auto &Router : Routers)
      CPPUNIT_ASSERT(!Router->State.start());
  }

  std::vector<unsigned> readCounts() const {
    std::vector<unsigned> Counts;
    for (const auto &Router : Routers)
      Counts.push_back(Router->Store.ReadCount);
    return Counts;
  }

  /// Sends a GET request to a control endpoint.
  /// @return the response, head and body
  std::string get(const std::string &Endpoint, const std::string &Target) {
    std::string Response;
    std::thread Caller([&] {
      const HostPort Address = splitAddress(Endpoint);
      asio::ip::tcp::iostream Stream(Address.Host,
                                     std::to_string(Address.Port));
      Stream << "GET " << Target
             << " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
             << std::flush;
      std::ostringstream Reply;
      Reply << Stream.rdbuf();
      Response = Reply.str();
    });
    Context.run_for(Milliseconds(300));
    Caller.join();
    return Response;
  }

  /// Sends a report to all routers.
  void sendToAll(const PeerReport &Report) {
    asio::ip::udp::socket Sender(Context, asio::ip::udp::v4());
    for (const auto &Router : Routers) {
      const HostPort Target = splitAddress(Router->Settings.PeerListen);
      Sender.send_to(asio::buffer(encodeReport(Report)),
                     {asio::ip::make_address(Target.Host), Target.Port});
    }
  }

  /// Reads a metric of a router.
  double metric(const TestRouter &Target, const std::string &Name) {
    const std::string Response = get(Target.Settings.MetricsListen, "/metrics");
    const auto Found = Response.find('\n' + Name + ' ');
    CPPUNIT_ASSERT(Found != std::string::npos);
    return std::stod(Response.substr(Found + Name.size() + 2));
  }
  double configurationVersion(const TestRouter &Target) {
    return metric(Target, "mallowglade_configuration_version");
  }
  /// @return seconds since the state of a router was provably current
  double proofAge(const TestRouter &Target) {
    return metric(Target, "mallowglade_store_reading_age_seconds");
  }

  /// Queries the address discovery endpoint of a router.
  /// @return number of routers of the fleet in the response
  std::size_t countAdvertisedRouters(const TestRouter &Target) {
    const std::string Response =
        get(Target.Settings.AddressesListen, "/mallowglade/resolve?name=x");
    std::size_t Count = 0;
    for (const auto &Router : Routers)
      Count += Response.find('"' + Router->Settings.CallerListen + '"') !=
                       std::string::npos
                   ? 1
                   : 0;
    return Count;
  }
};

} // namespace mallowglade::testing::control

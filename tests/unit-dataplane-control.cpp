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

constexpr const char *LogPath = "/dev/null";
/// Time within which a change in the store must take effect.
constexpr Milliseconds Freshness{2'000};
const ServiceId Pool("pool");

std::shared_ptr<const Configuration>
makeConfiguration(std::uint64_t Version = 1) {
  auto Config = std::make_shared<Configuration>();
  Config->Version = ConfigurationVersion(Version);
  Config->Services.push_back({Pool, "/healthz", 100, {}});
  Config->index();
  return Config;
}

UpstreamRecord makeUpstream(const std::string &Name, std::uint16_t Port) {
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
std::string loopbackAddress(std::uint64_t Router, unsigned Port) {
  constexpr unsigned ByteMask = 0xFF;
  constexpr unsigned FirstBlock = 64;
  constexpr unsigned BlockMask = 0x3F;
  const auto Process = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}:{}",
                     FirstBlock + ((Process >> 8U) & BlockMask),
                     Process & ByteMask, Router, Port);
}

NodeSettings makeSettings(std::uint64_t Router, const std::string &Zone) {
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
PeerReport makeStrangersReport() {
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

} // namespace

class DataplaneControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataplaneControlTest);
  CPPUNIT_TEST(followersDoNotReadWhileReportsConfirmState);
  CPPUNIT_TEST(followersReadOnceAfterChange);
  CPPUNIT_TEST(digestsReachAllRoutersOfOtherZones);
  CPPUNIT_TEST(overloadedRouterHandsItsCallersOver);
  CPPUNIT_TEST(restorationIsToldToAllRouters);
  CPPUNIT_TEST(reportWithoutAddressesEndsNoRouter);
  CPPUNIT_TEST(claimedVersionThatNobodyWroteIsForgotten);
  CPPUNIT_TEST(claimedEraThatTheStoreRefutesIsForgotten);
  CPPUNIT_TEST(implausibleEraDoesNotHideTheStore);
  CPPUNIT_TEST(restoredConfigurationProvesNothing);
  CPPUNIT_TEST(restartedRouterDoesNotTrustTheCopy);
  CPPUNIT_TEST(readBegunBeforeOthersAreHeardIsNotTrusted);
  CPPUNIT_TEST(slowRegisteredRouterIsWaitedFor);
  CPPUNIT_TEST(configurationThatNobodyReadIsWaitedFor);
  CPPUNIT_TEST(configurationStaysKnownWithoutItsReader);
  CPPUNIT_TEST(quarantineOutlivesAllRouters);
  CPPUNIT_TEST(quarantineIsStoredOnceTheStoreTakesIt);
  CPPUNIT_TEST(quarantineLostByTheStoreIsWrittenAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against ignoring the state proofs in received reports: every router
  // would then poll the store itself.
  void followersDoNotReadWhileReportsConfirmState() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    const auto Before = TestFleet.readCounts();
    TestFleet.Context.run_for(2 * Freshness);
    const auto After = TestFleet.readCounts();
    unsigned Followers = 0;
    unsigned PollingRouters = 0;
    for (std::size_t Index = 0; Index < After.size(); ++Index) {
      const unsigned Count = After[Index] - Before[Index];
      if (Count == 0)
        ++Followers;
      // The polling router of a zone reads four times per freshness interval.
      if (Count >= 6)
        ++PollingRouters;
    }
    CPPUNIT_ASSERT_EQUAL(4U, Followers);
    CPPUNIT_ASSERT_EQUAL(2U, PollingRouters);
  }

  // Guards against followers that learn of a change too late, or that keep
  // reading the store after it.
  void followersReadOnceAfterChange() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    const auto Before = TestFleet.readCounts();
    TestFleet.State.Upstreams.push_back(makeUpstream("two", 9'002));
    TestFleet.Context.run_for(Freshness);
    for (std::size_t Index = 0; Index < Before.size(); ++Index) {
      const unsigned Count =
          TestFleet.Routers[Index]->Store.ReadCount - Before[Index];
      CPPUNIT_ASSERT(Count >= 1);
    }
    const auto AfterChange = TestFleet.readCounts();
    TestFleet.Context.run_for(Freshness);
    unsigned IdleRouters = 0;
    for (std::size_t Index = 0; Index < AfterChange.size(); ++Index)
      IdleRouters +=
          TestFleet.Routers[Index]->Store.ReadCount == AfterChange[Index] ? 1
                                                                          : 0;
    CPPUNIT_ASSERT_EQUAL(4U, IdleRouters);
  }

  // Guards against digests that are not forwarded within a zone: they are sent
  // only to the first two routers of it.
  void digestsReachAllRoutersOfOtherZones() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'500));
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT_EQUAL(TestFleet.Routers.size(),
                           TestFleet.countAdvertisedRouters(*Router));
  }

  // Guards against callers that stay at an overloaded router because it says
  // that it is ready, and against a fleet in which no router is ready.
  void overloadedRouterHandsItsCallersOver() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'500));
    const auto IsReady = [&TestFleet](const TestRouter &Target) {
      return TestFleet
          .get(Target.Settings.ReadinessListen, "/mallowglade/readyz")
          .starts_with("HTTP/1.1 200");
    };
    const auto Overload = [](TestRouter &Target) {
      TrafficReport Report;
      Report.Overloaded = true;
      Target.TrafficStalled = true;
      Target.State.onReport(Report, {});
    };
    TestRouter &First = *TestFleet.Routers.front();
    CPPUNIT_ASSERT(IsReady(First));
    Overload(First);
    CPPUNIT_ASSERT(!IsReady(First));
    for (const auto &Router : TestFleet.Routers)
      Overload(*Router);
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT(IsReady(First));
  }

  // Guards against routers that learn of a restoration only when they read the
  // store for another reason: they hold a lease that is not theirs any more.
  void restorationIsToldToAllRouters() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.Context.run_for(Milliseconds(1'500));
    const auto Before = TestFleet.readCounts();
    TestFleet.State.Era = StoreEra(2);
    TestFleet.Context.run_for(Freshness);
    unsigned Told = 0;
    for (std::size_t Index = 0; Index < Before.size(); ++Index) {
      const CountingStore &Store = TestFleet.Routers[Index]->Store;
      CPPUNIT_ASSERT(Store.ReadCount > Before[Index]);
      Told += Store.ObservedEra == StoreEra(2) ? 1 : 0;
    }
    CPPUNIT_ASSERT(Told >= 4);
    const auto AfterRestoration = TestFleet.readCounts();
    TestFleet.Context.run_for(Freshness);
    unsigned IdleRouters = 0;
    for (std::size_t Index = 0; Index < Before.size(); ++Index)
      IdleRouters +=
          TestFleet.Routers[Index]->Store.ReadCount == AfterRestoration[Index]
              ? 1
              : 0;
    CPPUNIT_ASSERT_EQUAL(4U, IdleRouters);
  }

  // Guards against one damaged report that ends all routers which receive it:
  // its sender is no address to which reports can be sent, or its addresses
  // cannot be printed for callers.
  void reportWithoutAddressesEndsNoRouter() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    for (const std::string Text :
         {"x", "", "10.0.0.300:80", "10.0.0.1:70000", "\xff\xfe:80"}) {
      PeerReport Report = makeStrangersReport();
      Report.Ready = true;
      Report.Sender = RouterId(Text);
      TestFleet.sendToAll(Report);
      Report = makeStrangersReport();
      Report.Ready = true;
      Report.CallerAddress = Text;
      TestFleet.sendToAll(Report);
      Report.CallerAddress = loopbackAddress(200, 7'001);
      Report.Zone = ZoneId("c");
      Report.Members.push_back({RouterId(Text), Text, true});
      TestFleet.sendToAll(Report);
    }
    TestFleet.Context.run_for(Milliseconds(500));
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                           TestFleet.countAdvertisedRouters(*Router));
  }

  // Guards against one report with a damaged version, which routers would tell
  // each other from then on: no credential is accepted any more.
  void claimedVersionThatNobodyWroteIsForgotten() {
    Fleet TestFleet;
    TestFleet.State.Era = TestFleet.State.ConfirmedEra = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report = makeStrangersReport();
    Report.Era = StoreEra(1);
    Report.Config = ConfigurationVersion(std::uint64_t(1) << 40U);
    TestFleet.sendToAll(Report);
    TestFleet.Context.run_for(2 * Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    // One that starts now takes the configuration of the store.
    TestFleet.Routers.push_back(std::make_unique<TestRouter>(
        TestFleet.Context, "a", TestFleet.State, 7));
    TestFleet.State.Routers.push_back(TestFleet.Routers.back()->record());
    CPPUNIT_ASSERT(!TestFleet.Routers.back()->State.start());
    TestFleet.Context.run_for(2 * Freshness);
    CPPUNIT_ASSERT_EQUAL(
        4.0, TestFleet.configurationVersion(*TestFleet.Routers.back()));
  }

  // Guards against one report with a slightly damaged era, after which a router
  // drops all that the store sends.
  void claimedEraThatTheStoreRefutesIsForgotten() {
    Fleet TestFleet;
    TestFleet.State.Era = TestFleet.State.ConfirmedEra = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report = makeStrangersReport();
    Report.Era = StoreEra(3);
    TestFleet.sendToAll(Report);
    TestFleet.Context.run_for(Milliseconds(500));
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(2 * Freshness);
    for (const auto &Router : TestFleet.Routers) {
      CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(*Router));
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    }
  }

  // Guards against one report with a damaged era, after which a router drops
  // all that the store sends.
  void implausibleEraDoesNotHideTheStore() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report = makeStrangersReport();
    Report.Era = StoreEra(std::uint64_t(1) << 63U);
    TestFleet.sendToAll(Report);
    TestFleet.Context.run_for(Milliseconds(500));
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers) {
      CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(*Router));
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    }
  }

  // Guards against taking an older configuration from the copy, and against
  // accepting credentials for long while the store lacks a newer one, which may
  // have withdrawn them.
  void restoredConfigurationProvesNothing() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Milliseconds(1'500));
    const TestRouter &First = *TestFleet.Routers.front();
    CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(First));
    TestFleet.State.Era = StoreEra(2);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers) {
      CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(*Router));
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) > 1.9);
    }
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
  }

  // Guards against a router that starts while the store lacks the newest
  // configuration: it would accept a credential that was withdrawn.
  void restartedRouterDoesNotTrustTheCopy() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(2);
    TestFleet.State.Config = makeConfiguration(5);
    FleetState Copy = TestFleet.State;
    Copy.Config = makeConfiguration(4);
    const auto Number = TestFleet.Routers.size() + 1;
    TestRouter Restarted(TestFleet.Context, "a", Copy, Number);
    TestFleet.State.Routers.push_back(Restarted.record());
    Copy.Routers = TestFleet.State.Routers;
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT(!Restarted.State.start());
    TestFleet.Context.run_for(Milliseconds(1'500));
    const double Limit =
        std::chrono::duration<double>(Restarted.Settings.CredentialFreshness)
            .count();
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) > Limit);
    CPPUNIT_ASSERT_EQUAL(0.0, TestFleet.configurationVersion(Restarted));
    Copy.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    CPPUNIT_ASSERT_EQUAL(5.0, TestFleet.configurationVersion(Restarted));
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) < Limit);
  }

  // Guards against a starting router that hears of a newer configuration while
  // its first read is under way and takes the older one from the copy.
  void readBegunBeforeOthersAreHeardIsNotTrusted() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(2);
    TestFleet.State.Config = makeConfiguration(5);
    FleetState Copy = TestFleet.State;
    Copy.Config = makeConfiguration(4);
    TestRouter Restarted(TestFleet.Context, "a", Copy,
                         TestFleet.Routers.size() + 1);
    Restarted.Store.ReadTime = Milliseconds(300);
    TestFleet.State.Routers.push_back(Restarted.record());
    Copy.Routers = TestFleet.State.Routers;
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT(!Restarted.State.start());
    TestFleet.Context.run_for(Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(0.0, TestFleet.configurationVersion(Restarted));
  }

  // Guards against a starting router that takes the copy's configuration
  // because the only router that knows a newer one is slow to report.
  void slowRegisteredRouterIsWaitedFor() {
    Fleet TestFleet;
    const std::uint64_t Number = TestFleet.Routers.size() + 1;
    FleetState Copy;
    Copy.Era = StoreEra(2);
    Copy.Config = makeConfiguration(4);
    TestRouter Started(TestFleet.Context, "a", Copy, Number);
    const RouterRecord Slow{RouterId(loopbackAddress(200, 7'004)), ZoneId("a"),
                            loopbackAddress(200, 7'001),
                            loopbackAddress(200, 7'004)};
    Copy.Routers = {Slow};
    // In a large zone, reports are far apart.
    constexpr std::uint64_t OthersInZone = 119;
    for (std::uint64_t Other = 0; Other < OthersInZone; ++Other)
      Copy.Routers.push_back({RouterId(loopbackAddress(Other, 7'104)),
                              ZoneId("a"), loopbackAddress(Other, 7'101),
                              loopbackAddress(Other, 7'104)});
    CPPUNIT_ASSERT(!Started.State.start());
    TestFleet.Context.run_for(Milliseconds(1'900));
    PeerReport Report;
    Report.Sender = Slow.Id;
    Report.Incarnation = Report.Sequence = 1;
    Report.Zone = ZoneId("a");
    Report.CallerAddress = Slow.CallerAddress;
    Report.Config = ConfigurationVersion(5);
    Report.Era = StoreEra(2);
    const HostPort Target = splitAddress(Started.Settings.PeerListen);
    asio::ip::udp::socket Sender(TestFleet.Context, asio::ip::udp::v4());
    Sender.send_to(asio::buffer(encodeReport(Report)),
                   {asio::ip::make_address(Target.Host), Target.Port});
    TestFleet.Context.run_for(Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0.0, TestFleet.configurationVersion(Started));
  }

  // Guards against taking the copy's configuration for current although the
  // store may have lost a newer one that no router had read, also by a router
  // that starts meanwhile.
  void configurationThatNobodyReadIsWaitedFor() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(5);
    TestRouter Restarted(TestFleet.Context, "a", TestFleet.State,
                         TestFleet.Routers.size() + 1);
    TestFleet.State.Routers.push_back(Restarted.record());
    TestFleet.Context.run_for(Milliseconds(1'500));
    TestFleet.State.Era = StoreEra(2);
    TestFleet.Context.run_for(Milliseconds(1'000));
    CPPUNIT_ASSERT(!Restarted.State.start());
    TestFleet.Context.run_for(Milliseconds(1'500));
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) > 1.9);
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) > 1.9);
    TestFleet.State.Config = makeConfiguration(6);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
    CPPUNIT_ASSERT(TestFleet.proofAge(Restarted) < 1.9);
  }

  // Guards against forgetting that a newer configuration exists when the store
  // came back without it and the only router that has read it is gone: the
  // others would accept what it withdrew.
  void configurationStaysKnownWithoutItsReader() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.State.Config = makeConfiguration(4);
    TestFleet.Context.run_for(Milliseconds(1'500));
    PeerReport Report;
    Report.Sender = RouterId(loopbackAddress(200, 7'004));
    Report.Incarnation = Report.Sequence = 1;
    Report.Zone = ZoneId("a");
    Report.CallerAddress = loopbackAddress(200, 7'001);
    Report.Config = ConfigurationVersion(5);
    Report.Era = StoreEra(1);
    const HostPort Target =
        splitAddress(TestFleet.Routers.front()->Settings.PeerListen);
    asio::ip::udp::socket Reader(TestFleet.Context, asio::ip::udp::v4());
    Reader.send_to(asio::buffer(encodeReport(Report)),
                   {asio::ip::make_address(Target.Host), Target.Port});
    TestFleet.State.Era = StoreEra(2);
    // A zone's digest is used for up to 2.5 s, and restored stores are waited
    // for by the hold time.
    const Milliseconds ForgottenAfter =
        TestFleet.Routers.front()->Settings.RestoredStoreHold +
        Milliseconds(4'000);
    TestFleet.Context.run_for(ForgottenAfter);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) > 1.9);
    TestFleet.State.Config = makeConfiguration(5);
    TestFleet.Context.run_for(Freshness);
    for (const auto &Router : TestFleet.Routers)
      CPPUNIT_ASSERT(TestFleet.proofAge(*Router) < 1.9);
  }

  // Guards against harm that is forgotten when all routers are killed.
  void quarantineOutlivesAllRouters() {
    FleetState Kept;
    {
      Fleet Former;
      Former.Context.run_for(Milliseconds(1'000));
      quarantine(*Former.Routers[1]);
      Former.Context.run_for(Milliseconds(1'500));
      for (const auto &Router : Former.Routers)
        CPPUNIT_ASSERT_EQUAL(1.0, quarantinedFeatures(Former, *Router));
      Kept = Former.State;
      unsigned Changes = 0;
      for (const auto &Router : Former.Routers)
        Changes += Router->Store.ChangeCount;
      // The first router of each zone writes.
      CPPUNIT_ASSERT(Changes >= 1 && Changes <= 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Kept.Quarantines.size());
    Fleet Next;
    Next.State.Quarantines = Kept.Quarantines;
    Next.Context.run_for(Milliseconds(1'500));
    for (const auto &Router : Next.Routers)
      CPPUNIT_ASSERT_EQUAL(1.0, quarantinedFeatures(Next, *Router));
  }

  // Guards against a quarantine that is never stored because the store failed
  // when it began.
  void quarantineIsStoredOnceTheStoreTakesIt() {
    Fleet TestFleet;
    TestFleet.Context.run_for(Milliseconds(1'000));
    for (const auto &Router : TestFleet.Routers)
      Router->Store.ChangesFail = true;
    quarantine(*TestFleet.Routers[2]);
    TestFleet.Context.run_for(Milliseconds(1'000));
    CPPUNIT_ASSERT(TestFleet.State.Quarantines.empty());
    for (const auto &Router : TestFleet.Routers)
      Router->Store.ChangesFail = false;
    TestFleet.Context.run_for(Milliseconds(2'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TestFleet.State.Quarantines.size());
  }

  // Guards against forgetting what a store lost that came back from a copy.
  void quarantineLostByTheStoreIsWrittenAgain() {
    Fleet TestFleet;
    TestFleet.State.Era = StoreEra(1);
    TestFleet.Context.run_for(Milliseconds(1'000));
    quarantine(*TestFleet.Routers[0]);
    TestFleet.Context.run_for(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TestFleet.State.Quarantines.size());
    TestFleet.State.Quarantines.clear();
    TestFleet.State.Era = StoreEra(2);
    TestFleet.Context.run_for(2 * Freshness + Milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), TestFleet.State.Quarantines.size());
  }

private:
  static void quarantine(TestRouter &Target) {
    QuarantineStatus Status;
    Status.begin();
    PeerSums Sums;
    Sums.Crashes.Quarantines[{FeatureKind::PromptPart, 666}] = {Status, 0, {}};
    Target.Proxy.applyPeerSums(Sums);
  }
  static double quarantinedFeatures(Fleet &Of, const TestRouter &Target) {
    return Of.metric(Target, "mallowglade_quarantined_features");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataplaneControlTest);

#include <mallowglade/router.hpp>

#include <mallowglade/detail/router/answer.hpp>
#include <mallowglade/detail/router/cell_dispatcher.hpp>
#include <mallowglade/detail/router/front_end.hpp>
#include <mallowglade/detail/router/gossip_member_service.hpp>
#include <mallowglade/detail/router/keyed_claim_service.hpp>
#include <mallowglade/detail/router/local_dispatcher.hpp>
#include <mallowglade/detail/router/peer_part.hpp>
#include <mallowglade/detail/router/quarantine_service.hpp>
#include <mallowglade/detail/router/request_runner.hpp>
#include <mallowglade/detail/router/settings_admin.hpp>
#include <mallowglade/detail/router/status_admin.hpp>
#include <mallowglade/detail/router/tree_settings.hpp>
#include <mallowglade/detail/router/upstream_service.hpp>

#include <condition_variable>

namespace mallowglade {

namespace {

constexpr std::size_t PlatformThreads = 8;
constexpr Milliseconds PlatformCallTimeout{2'000};
constexpr Milliseconds HousekeepingPeriod{100};
/// Time to write the last problem documents.
constexpr Milliseconds AbortLimit{3'000};
/// Time for the owners of claims to confirm the ends of the last requests.
constexpr Milliseconds SettleLimit{3'000};

LogLevel parseLevel(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

Incarnation startTime(const Clock &Time) {
  const auto Since = std::chrono::duration_cast<Milliseconds>(
      Time.wallNow().time_since_epoch());
  return Incarnation(static_cast<std::uint64_t>(Since.count()));
}

} // namespace

struct RouterApp::State {
  explicit State(InstanceSettings Instance)
      : Settings(std::move(Instance)),
        Log(parseLevel(Settings.LogLevel),
            Settings.LogFormat == "json" ? LogFormat::JsonLines
                                         : LogFormat::Text,
            Time),
        Blocking(PlatformThreads), Attempts(Settings.MaxRequests),
        Store(Settings.KeyValueEndpoints, PlatformCallTimeout),
        Instances(Settings.InstanceListEndpoint, PlatformCallTimeout),
        Answers(Settings.AnswerRetention, Settings.AnswerMemoryBytes),
        Context{Settings, Time,  Log,       Measures, Control,
                Blocking, Store, Instances, Services, startTime(Time)} {}

  void buildServices();
  void buildPeers();
  void buildSettings();
  void buildMembers();
  void buildClaims();
  void buildUpstreams();
  void buildQuarantine();
  void buildDispatcher();
  void buildFrontEnd();
  void addOperatorCalls();
  void housekeeping();
  void finishDrain();
  void abortRequests();
  void endNow();

  InstanceSettings Settings;
  SystemClock Time;
  Logger Log;
  Metrics Measures;
  ControlThread Control;
  BlockingPool Blocking;
  BlockingPool Attempts;
  EtcdStore Store;
  HttpInstanceList Instances;
  ServiceRegistry Services;
  AnswerStore Answers;
  RouterContext Context;
  std::vector<std::shared_ptr<RouterPart>> Parts;
  std::shared_ptr<PeerPart> Peers;
  std::shared_ptr<GossipMemberService> Members;
  std::shared_ptr<TreeSettingsService> Tree;
  std::shared_ptr<CellDispatcher> Cells;
  std::shared_ptr<LocalDispatcher> Local;
  std::shared_ptr<QuarantineService> Quarantine;
  std::shared_ptr<RequestRunner> Runner;
  std::shared_ptr<FrontEnd> Front;
  std::optional<TimePoint> DrainStarted;
  std::optional<TimePoint> AbortedAt;
  std::optional<TimePoint> IdleSince;
  std::atomic<int> StopRequests{0};
  std::function<void()> RequestStop;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopped = false;
};

RouterApp::RouterApp(InstanceSettings Settings)
    : Impl(std::make_unique<State>(std::move(Settings))) {
  Impl->RequestStop = [this] { requestStop(); };
}

RouterApp::~RouterApp() {
  Impl->Front->stop();
  Impl->Control.stop();
  for (const auto &Part : Impl->Parts)
    Part->stop();
  Impl->Blocking.stop();
  Impl->Attempts.stop();
}

void RouterApp::State::buildServices() {
  buildPeers();
  buildSettings();
  buildMembers();
  buildClaims();
  buildUpstreams();
  buildQuarantine();
  buildDispatcher();
  buildFrontEnd();
}

void RouterApp::State::buildPeers() {
  Peers = std::make_shared<PeerPart>(Context);
  Services.add<PeerNetwork>(service_name::Peers, Peers->network());
  Parts.push_back(Peers);
}

void RouterApp::State::buildSettings() {
  Tree = std::make_shared<TreeSettingsService>(Context);
  Services.add<SettingsService>(service_name::Settings, Tree);
  Services.add<SettingsVersions>(service_name::SettingsVersions, Tree);
  Parts.push_back(Tree);
}

void RouterApp::State::buildMembers() {
  Members = std::make_shared<GossipMemberService>(Context);
  Services.add<MemberService>(service_name::Members, Members);
  Parts.push_back(Members);
}

void RouterApp::State::buildClaims() {
  auto Claims = std::make_shared<KeyedClaimService>(Context);
  Services.add<ClaimService>(service_name::Claims, Claims);
  Parts.push_back(Claims);
}

void RouterApp::State::buildQuarantine() {
  Quarantine = std::make_shared<QuarantineService>(Context);
  Services.add<QuarantineService>(service_name::Quarantine, Quarantine);
  Parts.push_back(Quarantine);
}

void RouterApp::State::buildUpstreams() {
  auto Upstreams = std::make_shared<UpstreamService>(Context);
  Services.add<UpstreamDirectory>(service_name::Upstreams, Upstreams);
  Parts.push_back(Upstreams);
}

void RouterApp::State::buildDispatcher() {
  if (Settings.Policy == "cell") {
    Cells = std::make_shared<CellDispatcher>(Context, Quarantine->guard());
    Services.add<Dispatcher>(service_name::Dispatcher, Cells);
    Parts.push_back(Cells);
    return;
  }
  Local = std::make_shared<LocalDispatcher>(Context, Settings.Policy == "random"
                                                         ? LocalPolicy::Random
                                                         : LocalPolicy::Split);
  Services.add<Dispatcher>(service_name::Dispatcher, Local);
}

void RouterApp::State::buildFrontEnd() {
  Runner = std::make_shared<RequestRunner>(Context, Answers, Attempts);
  Front = std::make_shared<FrontEnd>(Context, Answers, Runner);
  Services.add<AdminRoutes>(service_name::Admin, Front);
  Quarantine->onConviction([Weak = std::weak_ptr(Runner)] {
    if (const auto Requests = Weak.lock())
      Requests->refuseConvicted();
  });
  addOperatorCalls();
}

void RouterApp::State::addOperatorCalls() {
  const auto Status = std::make_shared<StatusAdmin>(Context, Front, Tree);
  Members->addRoutes(*Status);
  Quarantine->addRoutes(*Status);
  std::make_shared<SettingsAdmin>(Context, Tree)->addRoutes(*Status);
  if (Cells != nullptr)
    Cells->addRoutes(*Status);
  Status->addRoutes(
      [this] {
        return RouterLoad{Runner->active(), StopRequests > 0};
      },
      [this] {
        // A further request would end the router at once.
        if (StopRequests == 0)
          RequestStop();
      });
}

Result<Success> RouterApp::start() {
  Impl->buildServices();
  Result<Success> Listening = Impl->Peers->listen();
  if (!isOk(Listening))
    return Listening;
  Impl->Control.start();
  Impl->Control.post([this] {
    for (const auto &Part : Impl->Parts)
      Part->start();
    Impl->housekeeping();
  });
  Impl->Control.postEvery(HousekeepingPeriod, [this] { Impl->housekeeping(); });
  Result<Success> Started = Impl->Front->start();
  if (isOk(Started))
    Impl->Log.info("router started",
                   {{"listen", Impl->Settings.Listen},
                    {"availability_zone", Impl->Settings.Zone.Value}});
  return Started;
}

void RouterApp::State::housekeeping() {
  if (Local != nullptr)
    Local->tick();
  Answers.expire(Time.now());
  std::vector<std::string> Addresses;
  const auto Members =
      Services.find<MemberService>(service_name::Members)->alive();
  for (const Member &Router : Members)
    if (Router.AcceptsWork)
      Addresses.push_back(Router.CallerAddress);
  Front->publishAddresses(std::move(Addresses));
  if (DrainStarted)
    finishDrain();
}

void RouterApp::State::finishDrain() {
  const auto Waited = Time.now() - *DrainStarted;
  if (Waited >= Settings.AddressTtl)
    Front->redirectNewRequests();
  if (Waited >= Settings.DrainLimit)
    abortRequests();
  const bool Idle = Runner->active() == 0 && Front->serving() == 0;
  const bool MayEnd = AbortedAt || Waited >= Settings.AddressTtl;
  if (!Idle || !MayEnd) {
    IdleSince.reset();
    if (AbortedAt && Time.now() - *AbortedAt >= AbortLimit)
      endNow();
    return;
  }
  if (!IdleSince)
    IdleSince = Time.now();
  const auto Claims = Services.find<ClaimService>(service_name::Claims);
  if (Claims->unsettledCount() == 0 || Time.now() - *IdleSince >= SettleLimit)
    endNow();
}

/// Callers get a problem document with an accurate verdict instead of a reset.
void RouterApp::State::abortRequests() {
  if (AbortedAt)
    return;
  Log.warning("requests in progress are given up");
  AbortedAt = Time.now();
  Front->redirectNewRequests();
  Runner->abortAll();
}

void RouterApp::State::endNow() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Stopped = true;
  Changed.notify_all();
}

void RouterApp::requestStop() {
  if (++Impl->StopRequests > 1) {
    Impl->Control.post([this] { Impl->abortRequests(); });
    return;
  }
  Impl->Control.post([this] {
    Impl->Log.info("planned stop begins");
    Impl->DrainStarted = Impl->Time.now();
    Impl->Services.find<MemberService>(service_name::Members)
        ->announceLeaving();
    for (const auto &Part : Impl->Parts)
      Part->drain();
  });
}

void RouterApp::waitUntilStopped() {
  std::unique_lock<std::mutex> Lock(Impl->Mutex);
  Impl->Changed.wait(Lock, [this] { return Impl->Stopped; });
  Impl->Log.info("router stopped");
}

} // namespace mallowglade

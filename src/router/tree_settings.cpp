#include <mallowglade/detail/router/tree_settings.hpp>

#include <mallowglade/detail/router/change_runner.hpp>
#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/settings_messages.hpp>

#include <future>

namespace mallowglade {

namespace {

constexpr Milliseconds SettingsTickPeriod{100};
/// A planned stop waits for a running watch, so a watch is kept short.
constexpr Milliseconds WatchLimit{5'000};

ReplicaMember selfOf(const InstanceSettings &Settings) {
  return {RouterId(Settings.PeerAdvertise), Settings.Zone};
}

nlohmann::json seedOf(const InstanceSettings &Settings) {
  return nlohmann::json::parse(Settings.SeedTreeText, nullptr, false);
}

} // namespace

TreeSettingsService::TreeSettingsService(RouterContext Context)
    : Context(Context), Random(systemSeed()),
      Seed(makeSnapshot(seedOf(Context.Settings))),
      Replica(selfOf(Context.Settings), seedOf(Context.Settings), Random),
      Tree(std::make_shared<const SettingsTree>(Context.Settings.SeedTree)),
      Records(Replica.snapshot()) {}

std::shared_ptr<const SettingsTree> TreeSettingsService::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Tree;
}

std::shared_ptr<const SettingsSnapshot> TreeSettingsService::records() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Records;
}

bool TreeSettingsService::ready() const { return Ready; }

SettingsVersion TreeSettingsService::version() const {
  return records()->Head.Version;
}

void TreeSettingsService::onChange(std::function<void()> Changed) {
  Listeners.push_back(std::move(Changed));
}

void TreeSettingsService::start() {
  receivePeerMessages();
  Context.Services.find<MemberService>(service_name::Members)
      ->onChange([Self = shared_from_this()] { Self->updateMembers(); });
  updateMembers();
  Replica.start(now());
  Context.Control.postEvery(SettingsTickPeriod, [Self = shared_from_this()] {
    Self->perform(Self->Replica.tick(Self->now()));
  });
}

void TreeSettingsService::drain() { Replica.drain(); }

void TreeSettingsService::updateMembers() {
  const auto Service =
      Context.Services.find<MemberService>(service_name::Members);
  std::vector<ReplicaMember> Members;
  for (const Member &Other : Service->alive())
    Members.push_back({Other.Id, Other.Zone});
  Replica.setMembers(std::move(Members), Service->registeredCount());
}

void TreeSettingsService::noticeVersion(SettingsVersion Version,
                                        const RouterId &Peer) {
  perform(Replica.onPeerVersion(Version, Peer, now()));
}

void TreeSettingsService::receivePeerMessages() {
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  if (Peers == nullptr)
    return;
  Peers->onMessage(settings_message::Request, [this, Network = Peers.get()](
                                                  const PeerSender &From,
                                                  std::string_view Body) {
    if (const auto Request = decodeSettingsRequest(Body))
      Network->send(From.Router, settings_message::Reply,
                    encodeSettingsReply(Replica.handleRequest(*Request)));
  });
  Peers->onMessage(settings_message::Reply,
                   [this](const PeerSender &From, std::string_view Body) {
                     if (const auto Reply = decodeSettingsReply(Body))
                       perform(Replica.onPeerReply(From.Router, *Reply, now()));
                   });
  Peers->onMessage(settings_message::Notice,
                   [this](const PeerSender &From, std::string_view Body) {
                     if (const auto Version = decodeSettingsNotice(Body))
                       noticeVersion(*Version, From.Router);
                   });
}

void TreeSettingsService::perform(const ReplicaActions &Actions) {
  for (const ReplicaAction &Action : Actions)
    std::visit([this](const auto &One) { performOne(One); }, Action);
  publishReady();
}

void TreeSettingsService::publishReady() {
  if (Ready || !Replica.ready())
    return;
  Ready = true;
  Context.Log.info("settings are known",
                   {{"version", std::to_string(Replica.version().Value)}});
}

void TreeSettingsService::performOne(const ReadHead &) {
  Context.Blocking.post([Self = shared_from_this()] {
    auto Reply = Self->Context.Store.read(settings_layout::HeadKey);
    Self->Context.Control.post([Self, Reply = std::move(Reply)] {
      Self->perform(Self->Replica.onHead(Reply, Self->now()));
    });
  });
}

void TreeSettingsService::performOne(const ReadPacks &Action) {
  Context.Blocking.post([Self = shared_from_this(), Packs = Action.Packs] {
    auto Reply = readPacks(Self->Context.Store, Packs);
    Self->Context.Control.post([Self, Reply = std::move(Reply)] {
      Self->perform(Self->Replica.onPacks(Reply, Self->now()));
    });
  });
}

void TreeSettingsService::performOne(const WatchHead &Action) {
  Context.Blocking.post([Self = shared_from_this(), After = Action.After] {
    auto Reply = Self->Context.Store.waitForChange(settings_layout::HeadKey,
                                                   After, WatchLimit);
    Self->Context.Control.post([Self, Reply = std::move(Reply)] {
      Self->perform(Self->Replica.onWatch(Reply, Self->now()));
    });
  });
}

void TreeSettingsService::performOne(const SendSettingsRequest &Action) {
  if (const auto Peers =
          Context.Services.find<PeerNetwork>(service_name::Peers))
    Peers->send(Action.Peer, settings_message::Request,
                encodeSettingsRequest(Action.Request));
}

void TreeSettingsService::performOne(const NotifyPeers &Action) {
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  if (Peers == nullptr)
    return;
  const std::string Body = encodeSettingsNotice(Action.Version);
  for (const RouterId &Peer : Action.Peers)
    Peers->send(Peer, settings_message::Notice, Body);
}

void TreeSettingsService::performOne(const ApplySettings &Action) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Tree = Action.Tree;
    Records = Action.Snapshot;
  }
  const SettingsVersion Version = Action.Tree->Version;
  Context.Log.info("settings are in force",
                   {{"version", std::to_string(Version.Value)}});
  Context.Measures.set("mallowglade_settings_version", {},
                       static_cast<double>(Version.Value));
  for (const auto &Changed : Listeners)
    Changed();
}

void TreeSettingsService::performOne(const LogInvalidSettings &Action) {
  Context.Log.error("received settings cannot be used",
                    {{"error", toString(Action.Reason)}});
}

void TreeSettingsService::applyOwnChange(const ChangeResult &Result) {
  const auto *Accepted = std::get_if<ChangeAccepted>(&Result);
  if (Accepted != nullptr && Accepted->Settings)
    perform(Replica.onLocalChange(*Accepted->Settings, now()));
}

ChangeResult TreeSettingsService::change(ChangeCommand Command,
                                         ChangeOrigin Origin) {
  auto Promise = std::make_shared<std::promise<ChangeResult>>();
  std::future<ChangeResult> Outcome = Promise->get_future();
  auto Change = std::make_shared<SettingsChange>(
      std::move(Command), std::move(Origin), Context.Settings.PlatformKeySha256,
      version());
  Context.Blocking.post([Self = shared_from_this(),
                         Promise = std::move(Promise), Change] {
    ChangeResult Result =
        runChange(Self->Context.Store, *Self->records(), Self->Seed, *Change);
    Self->Context.Control.post([Self, Promise, Result = std::move(Result)] {
      Self->applyOwnChange(Result);
      Promise->set_value(Result);
    });
  });
  try {
    return Outcome.get();
  } catch (const std::future_error &) {
    // Tasks that still wait are dropped when the router stops.
    return ChangeRefused{{ErrorId::Draining, "the router is stopping", ""}};
  }
}

} // namespace mallowglade

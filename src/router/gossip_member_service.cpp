#include <mallowglade/detail/router/gossip_member_service.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds GossipTickPeriod{100};
constexpr Milliseconds ExportPeriod{1'000};

constexpr const char *ProbeType = "probe";
constexpr const char *ProbeRequestType = "probe-request";
constexpr const char *ProbeAckType = "probe-ack";
constexpr const char *SyncType = "member-sync";
constexpr const char *SyncReplyType = "member-sync-reply";

const char *typeOf(MemberMessageKind Kind) {
  switch (Kind) {
  case MemberMessageKind::Probe:
    return ProbeType;
  case MemberMessageKind::ProbeRequest:
    return ProbeRequestType;
  case MemberMessageKind::ProbeAck:
    return ProbeAckType;
  case MemberMessageKind::Sync:
    return SyncType;
  case MemberMessageKind::SyncReply:
    return SyncReplyType;
  }
  return ProbeType;
}

MemberRecord makeSelf(const RouterContext &Context) {
  MemberRecord Self;
  Self.Id = RouterId(Context.Settings.PeerAdvertise);
  Self.Start = Context.Start;
  Self.Zone = Context.Settings.Zone;
  Self.CallerAddress = Context.Settings.Advertise;
  return Self;
}

Member toMember(const MemberRecord &Record) {
  Member Router;
  Router.Id = Record.Id;
  Router.Start = Record.Start;
  Router.Zone = Record.Zone;
  Router.CallerAddress = Record.CallerAddress;
  Router.AcceptsWork = !Record.Leaving;
  return Router;
}

} // namespace

GossipMemberService::GossipMemberService(RouterContext Context)
    : Context(Context), Random(systemSeed()),
      Detector(MembershipOptions{}, makeSelf(Context), Random,
               Context.Time.now()),
      Registration(std::make_shared<RouterRegistration>(Context, Random)) {
  refreshView();
}

Member GossipMemberService::self() const { return toMember(Detector.self()); }

std::vector<Member> GossipMemberService::alive() const { return Live; }

std::size_t GossipMemberService::registeredCount() const { return Registered; }

RouterId GossipMemberService::ownerOf(const std::string &Role) const {
  const auto Found = Owners.find(Role);
  if (Found != Owners.end())
    return Found->second;
  std::vector<RouterId> Candidates;
  for (const Member &Router : Live)
    if (Router.AcceptsWork)
      Candidates.push_back(Router.Id);
  // While the whole fleet is leaving, its members go on with their roles.
  if (Candidates.empty())
    for (const Member &Router : Live)
      Candidates.push_back(Router.Id);
  return Owners.emplace(Role, rendezvousOwner(Role, Candidates)).first->second;
}

void GossipMemberService::announceLeaving() {
  Detector.announceLeaving(Context.Time.now());
  afterEvent();
}

void GossipMemberService::onChange(std::function<void()> Changed) {
  Listeners.push_back(std::move(Changed));
}

void GossipMemberService::start() {
  Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  Versions =
      Context.Services.find<SettingsVersions>(service_name::SettingsVersions);
  for (const char *Type :
       {ProbeType, ProbeRequestType, ProbeAckType, SyncType, SyncReplyType})
    subscribe(Type);
  updateSeeds();
  const auto Self = shared_from_this();
  Registration->start(
      [Self](std::set<RouterId> Routers) {
        Self->Known.setRegistrations(std::move(Routers));
        Self->updateSeeds();
      },
      [Self](std::set<RouterId> Routers) {
        Self->Known.setListed(std::move(Routers));
        Self->updateSeeds();
      });
  Context.Control.postEvery(GossipTickPeriod, [Self] { Self->tick(); });
  Context.Control.postEvery(ExportPeriod, [Self] { Self->exportMetrics(); });
}

void GossipMemberService::subscribe(const char *Type) {
  Peers->onMessage(Type, [Self = weak_from_this()](const PeerSender &From,
                                                   std::string_view Body) {
    if (const auto Service = Self.lock())
      Service->receive(From, Body);
  });
}

void GossipMemberService::updateSeeds() {
  std::set<RouterId> Seeds = Known.seeds();
  for (const std::string &Address : Context.Settings.Seeds)
    Seeds.emplace(Address);
  Detector.setSeeds(std::move(Seeds));
  // A lapsed registration changes the count after the member's death was seen.
  const std::size_t Before = Registered;
  refreshView();
  if (Registered != Before)
    announceView();
}

void GossipMemberService::receive(const PeerSender &From,
                                  std::string_view Body) {
  const Result<MemberMessage> Message = decodeMemberMessage(Body);
  if (!isOk(Message)) {
    Context.Log.warning(
        "membership message cannot be decoded",
        {{"router", From.Router.Value}, {"error", toString(errorOf(Message))}});
    return;
  }
  Detector.receive(Context.Time.now(), From.Router, valueOf(Message));
  PeerVersions[From.Router] = valueOf(Message).Version;
  if (Versions != nullptr)
    Versions->noticeVersion(valueOf(Message).Version, From.Router);
  afterEvent();
}

void GossipMemberService::tick() {
  Detector.tick(Context.Time.now());
  afterEvent();
}

void GossipMemberService::afterEvent() {
  sendMessages();
  if (!Detector.takeMembershipChanged())
    return;
  const std::size_t Before = Live.size();
  refreshView();
  if (Live.size() < Before)
    Registration->readAfterLoss();
  announceView();
}

void GossipMemberService::announceView() {
  Context.Log.info("members have changed",
                   {{"alive", std::to_string(Live.size())},
                    {"registered", std::to_string(Registered)}});
  for (const auto &Changed : Listeners)
    Changed();
}

void GossipMemberService::sendMessages() {
  if (Versions != nullptr)
    Detector.setSettingsVersion(Versions->version());
  for (const OutgoingMemberMessage &Sent : Detector.takeMessages())
    Peers->send(Sent.To, typeOf(Sent.Message.Kind),
                encodeMemberMessage(Sent.Message));
}

void GossipMemberService::refreshView() {
  Live.clear();
  Owners.clear();
  std::vector<RouterId> Heard;
  for (const MemberRecord &Record : Detector.liveMembers()) {
    Live.push_back(toMember(Record));
    Heard.push_back(Record.Id);
  }
  Known.addReachable(Heard);
  Registered = Known.count(Heard, Detector.departedMembers());
  Registration->setFleetSize(Registered);
}

void GossipMemberService::exportMetrics() {
  std::map<MemberState, double> Counts{{MemberState::Alive, 0},
                                       {MemberState::Suspect, 0},
                                       {MemberState::Dead, 0}};
  std::set<RouterId> Ids;
  for (const MemberRecord &Record : Detector.allMembers()) {
    ++Counts[Record.State];
    Ids.insert(Record.Id);
  }
  std::erase_if(PeerVersions,
                [&Ids](const auto &Item) { return !Ids.contains(Item.first); });
  for (const auto &[State, Count] : Counts)
    Context.Measures.set("mallowglade_members",
                         {{"state", std::string(toString(State))}}, Count);
  Context.Measures.set("mallowglade_registered_routers", {},
                       static_cast<double>(Registered));
  Context.Measures.set("mallowglade_registration_in_force", {},
                       Registration->registered() ? 1 : 0);
}

} // namespace mallowglade

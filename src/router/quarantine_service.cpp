#include <mallowglade/detail/router/quarantine_service.hpp>

#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/settings_admin.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <future>
#include <random>

namespace mallowglade {

namespace {

using nlohmann::json;

constexpr const char *MessageType = "quarantine";
constexpr const char *ReportType = "crash-report";
constexpr Milliseconds QuarantineTickPeriod{250};
/// New routers and those that missed a message learn the records by then.
constexpr Milliseconds RepeatPeriod{10'000};
constexpr Milliseconds AdminTimeout{2'000};

/// Runs work on the control thread and waits for its result.
template <class T>
std::optional<T> onControl(ControlThread &Control, std::function<T()> Work) {
  auto Promise = std::make_shared<std::promise<T>>();
  std::future<T> Result = Promise->get_future();
  Control.post(
      [Promise, Work = std::move(Work)] { Promise->set_value(Work()); });
  if (Result.wait_for(AdminTimeout) != std::future_status::ready)
    return std::nullopt;
  return Result.get();
}

/// Key of an upstream's process. The instance list does not tell restarts, so
/// crashes of one upstream are told apart by their time.
UpstreamProcess crashedProcess(const UpstreamId &Upstream, WallTime At) {
  const auto Second =
      std::chrono::duration_cast<std::chrono::seconds>(At.time_since_epoch());
  return UpstreamProcess(
      stableHash(Upstream.Value, static_cast<std::uint64_t>(Second.count())));
}

json toJson(const RequestFeature &Feature, const QuarantineEntry &Entry) {
  return json{{"fingerprint", toHex(Feature.Hash)},
              {"kind", std::string(toString(Feature.Kind))},
              {"state", "convicted"},
              {"probes", Entry.Probes}};
}

json toJson(const QuarantineRecord &Record) {
  const bool Convicted = Record.ConvictionTimeLeft.count() > 0;
  json Item{{"fingerprint", toHex(Record.RequestFingerprint.Value)},
            {"state", Convicted ? "convicted" : "suspect"},
            {"crashes", Record.Crashes},
            {"crashes_alone", Record.AloneCrashes}};
  if (Convicted)
    Item["refused_for_s"] = Record.ConvictionTimeLeft.count() / 1'000;
  return Item;
}

std::optional<Fingerprint> parseFingerprint(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("fingerprint") ||
      !Document["fingerprint"].is_string())
    return std::nullopt;
  const std::string Text = Document["fingerprint"].get<std::string>();
  constexpr int HexBase = 16;
  Fingerprint RequestFingerprint;
  const char *End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data(), End, RequestFingerprint.Value, HexBase);
  const bool Whole = Parsed.ec == std::errc() && Parsed.ptr == End;
  return Whole ? std::optional(RequestFingerprint) : std::nullopt;
}

AdminReply unavailable() {
  return problemReply({ErrorId::Timeout, "the router is busy", ""},
                      Verdict::Unknown);
}

} // namespace

QuarantineService::QuarantineService(RouterContext Context)
    : Context(Context), Guard(std::make_shared<CrashQuarantine>(Context.Time)),
      Attribution(Context.Time, std::random_device()()) {}

std::optional<Milliseconds>
QuarantineService::convictionTimeLeft(Fingerprint RequestFingerprint) const {
  return Guard->convictionTimeLeft(RequestFingerprint);
}

std::optional<RequestFeature>
QuarantineService::refusedFor(const RequestFeatures &Features) {
  const auto Blamed = Attribution.refusedFor(Features);
  if (Blamed && Attribution.takeProbe(Features))
    return std::nullopt;
  if (Blamed)
    return Blamed;
  for (const RequestFeature &Feature : Features)
    if (Feature.Kind == FeatureKind::ExactRequest &&
        Guard->renewConviction(Fingerprint(Feature.Hash)))
      return Feature;
  return std::nullopt;
}

void QuarantineService::recordAnswered(const RequestFeatures &Features) {
  Attribution.recordAnswered(Features);
}

void QuarantineService::recordCrash(const RequestFeatures &Features,
                                    const UpstreamId &Upstream) {
  Attribution.recordBrokenOff(Features,
                              crashedProcess(Upstream, Context.Time.wallNow()));
}

void QuarantineService::onConviction(std::function<void()> Changed) {
  Listeners.push_back(std::move(Changed));
}

void QuarantineService::start() {
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  if (Peers != nullptr)
    Peers->onMessage(
        MessageType,
        [Part = shared_from_this()](const PeerSender &, std::string_view Body) {
          if (const auto Records = decodeQuarantine(Body))
            Part->receive(*Records);
        });
  if (Peers != nullptr)
    Peers->onMessage(
        ReportType,
        [Part = shared_from_this()](const PeerSender &, std::string_view Body) {
          if (const auto Report = decodeCrashReport(Body))
            Part->Attribution.merge(*Report);
        });
  Context.Control.postEvery(QuarantineTickPeriod,
                            [Part = shared_from_this()] { Part->tick(); });
}

void QuarantineService::tick() {
  Guard->expire();
  logChanges();
  sendReport();
  const TimePoint Now = Context.Time.now();
  const bool Changed = Guard->version() != SentVersion;
  // Only a router that changed the records itself repeats them.
  const bool Repeat = SentVersion != 0 && Now >= NextRepeat;
  if (Changed || Repeat) {
    SentVersion = Guard->version();
    NextRepeat = Now + RepeatPeriod;
    send();
  }
  if (Changed)
    notify();
}

void QuarantineService::send() {
  const std::vector<QuarantineRecord> Records = Guard->exportRecords();
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  if (Records.empty() || Peers == nullptr)
    return;
  sendToOthers(MessageType, encodeQuarantine(Records));
}

void QuarantineService::sendToOthers(const std::string &Type,
                                     const std::string &Body) {
  const auto Peers = Context.Services.find<PeerNetwork>(service_name::Peers);
  const auto Members =
      Context.Services.find<MemberService>(service_name::Members);
  if (Peers == nullptr || Members == nullptr)
    return;
  for (const Member &Other : Members->alive())
    if (Other.Id != Members->self().Id)
      Peers->send(Other.Id, Type, Body);
}

void QuarantineService::sendReport() {
  const auto Members =
      Context.Services.find<MemberService>(service_name::Members);
  if (Members == nullptr)
    return;
  const std::vector<Member> Alive = Members->alive();
  const bool First =
      std::none_of(Alive.begin(), Alive.end(), [&](const Member &Other) {
        return Other.Id < Members->self().Id;
      });
  Attribution.setFleet(First, Alive.size());
  const CrashReport Report = Attribution.report();
  if (!Report.Features.empty() || !Report.Quarantines.empty())
    sendToOthers(ReportType, encodeCrashReport(Report));
}

void QuarantineService::logChanges() {
  const std::vector<QuarantineChange> Changes = Attribution.update();
  for (const QuarantineChange &Change : Changes)
    Context.Log.warning(
        Attribution.isQuarantined(Change.Feature)
            ? "requests with a feature are refused"
            : "requests with a feature are not refused any more",
        {{"fingerprint", toHex(Change.Feature.Hash)},
         {"kind", std::string(toString(Change.Feature.Kind))},
         {"cause", std::string(toString(Change.Why))}});
  if (!Changes.empty())
    notify();
}

void QuarantineService::receive(const std::vector<QuarantineRecord> &Records) {
  Guard->importRecords(Records);
  notify();
}

void QuarantineService::notify() {
  for (const auto &Changed : Listeners)
    Changed();
}

void QuarantineService::addRoutes(AdminRoutes &Routes) {
  Routes.add("GET", "/admin/quarantine",
             [Part = shared_from_this()](const AdminRequest &Request) {
               return Part->list(Request);
             });
  Routes.add("POST", "/admin/quarantine/release",
             [Part = shared_from_this()](const AdminRequest &Request) {
               return Part->release(Request);
             });
}

AdminReply QuarantineService::list(const AdminRequest &Request) {
  const Result<OperatorIdentity> Operator = authenticate(Context, Request);
  if (!isOk(Operator))
    return problemReply(errorOf(Operator));
  const auto Items = onControl<json>(Context.Control, [Part =
                                                           shared_from_this()] {
    json List = json::array();
    for (const QuarantineRecord &Record : Part->Guard->exportRecords())
      if (Record.Crashes > 0)
        List.push_back(toJson(Record));
    for (const auto &[Feature, Entry] : Part->Attribution.report().Quarantines)
      if (Entry.Status.quarantined())
        List.push_back(toJson(Feature, Entry));
    return List;
  });
  if (!Items)
    return unavailable();
  return {200, json{{"quarantine", *Items}}.dump()};
}

AdminReply QuarantineService::release(const AdminRequest &Request) {
  const Result<OperatorIdentity> Operator = authenticate(Context, Request);
  if (!isOk(Operator))
    return problemReply(errorOf(Operator));
  if (!mayEdit(valueOf(Operator), settings_layout::PlatformBranch))
    return problemReply(
        {ErrorId::Forbidden, "only the platform's operators release", ""});
  const std::optional<Fingerprint> RequestFingerprint =
      parseFingerprint(Request.Body);
  if (!RequestFingerprint)
    return problemReply({ErrorId::InvalidRequest,
                         "16 hexadecimal digits are expected", "/fingerprint"});
  const auto Known = onControl<bool>(Context.Control, [Part =
                                                           shared_from_this(),
                                                       RequestFingerprint] {
    bool Released = Part->Guard->release(*RequestFingerprint);
    for (const FeatureKind Kind :
         {FeatureKind::ExactRequest, FeatureKind::PromptPart})
      Released |= Part->Attribution.release({Kind, RequestFingerprint->Value});
    return Released;
  });
  if (!Known)
    return unavailable();
  if (!*Known)
    return problemReply(
        {ErrorId::NotFound, "the fingerprint is not in quarantine", ""});
  Context.Log.info("fingerprint released from quarantine",
                   {{"fingerprint", toHex(RequestFingerprint->Value)},
                    {"operator", valueOf(Operator).Name}});
  return {200, json{{"released", toHex(RequestFingerprint->Value)}}.dump()};
}

} // namespace mallowglade

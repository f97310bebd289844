#include <mallowglade/detail/router/quarantine_service.hpp>

#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/settings_admin.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <future>

namespace mallowglade {

namespace {

using nlohmann::json;

constexpr const char *MessageType = "quarantine";
constexpr Milliseconds TickPeriod{250};
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
    : Context(Context), Guard(std::make_shared<CrashQuarantine>(Context.Time)) {
}

std::optional<Milliseconds>
QuarantineService::convictionTimeLeft(Fingerprint RequestFingerprint) const {
  return Guard->convictionTimeLeft(RequestFingerprint);
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
  Context.Control.postEvery(TickPeriod,
                            [Part = shared_from_this()] { Part->tick(); });
}

void QuarantineService::tick() {
  Guard->expire();
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
  const std::string Body = encodeQuarantine(Records);
  const auto Members =
      Context.Services.find<MemberService>(service_name::Members);
  for (const Member &Other : Members->alive())
    if (Other.Id != Members->self().Id)
      Peers->send(Other.Id, MessageType, Body);
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
  const auto Records = onControl<std::vector<QuarantineRecord>>(
      Context.Control, [Guard = Guard] { return Guard->exportRecords(); });
  if (!Records)
    return unavailable();
  json Items = json::array();
  for (const QuarantineRecord &Record : *Records)
    if (Record.Crashes > 0)
      Items.push_back(toJson(Record));
  return {200, json{{"quarantine", Items}}.dump()};
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
  const auto Known =
      onControl<bool>(Context.Control, [Guard = Guard, RequestFingerprint] {
        return Guard->release(*RequestFingerprint);
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

#include <mallowglade/detail/router/status_admin.hpp>

#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>

#include <future>

namespace mallowglade {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds StatusTimeout{2};

/// Calls whose reply the status repeats, and the member it stands under.
const std::map<std::string, std::string> &viewPaths() {
  static const std::map<std::string, std::string> Paths{
      {"/admin/cells", "cells"}, {"/admin/quarantine", "quarantine"}};
  return Paths;
}

/// A view is shown as the member of the same name, or whole without one.
json contentOf(const std::string &Name, const AdminReply &Reply) {
  const json Document = json::parse(Reply.Body, nullptr, false);
  const bool Wrapped = Document.is_object() && Document.contains(Name);
  return Wrapped ? Document[Name] : Document;
}

} // namespace

StatusAdmin::StatusAdmin(RouterContext Context,
                         std::shared_ptr<AdminRoutes> Target,
                         std::shared_ptr<TreeSettingsService> Settings)
    : Context(Context), Target(std::move(Target)),
      Settings(std::move(Settings)) {}

void StatusAdmin::add(const std::string &Method, const std::string &Path,
                      Handler Serve) {
  const auto View = viewPaths().find(Path);
  if (Method == "GET" && View != viewPaths().end())
    Views[View->second] = Serve;
  Target->add(Method, Path, std::move(Serve));
}

void StatusAdmin::addRoutes(std::function<RouterLoad()> Load,
                            std::function<void()> Drain) {
  const auto Self = shared_from_this();
  Target->add("GET", "/admin/status",
              [Self, Load = std::move(Load)](const AdminRequest &Request) {
                return Self->status(Request, Load);
              });
  Target->add("POST", "/admin/drain",
              [Self, Drain = std::move(Drain)](const AdminRequest &Request) {
                return Self->drain(Request, Drain);
              });
}

json StatusAdmin::membersJson() const {
  const auto Service =
      Context.Services.find<MemberService>(service_name::Members);
  json List = json::array();
  for (const Member &Router : Service->alive())
    List.push_back({{"router", Router.Id.Value},
                    {"address", Router.CallerAddress},
                    {"availability_zone", Router.Zone.Value},
                    {"accepts_work", Router.AcceptsWork}});
  return {{"alive", List}, {"registered", Service->registeredCount()}};
}

json StatusAdmin::upstreamsJson() const {
  const auto Directory =
      Context.Services.find<UpstreamDirectory>(service_name::Upstreams);
  json List = json::array();
  for (const PoolSettings &Pool : Settings->current()->Pools)
    for (const Upstream &Known : Directory->available(Pool.Id))
      List.push_back({{"upstream", Known.Id.Value},
                      {"pool", Known.Pool.Value},
                      {"address", Known.Address},
                      {"availability_zone", Known.Zone.Value},
                      {"max_in_flight", Known.MaxInFlight},
                      {"reported_in_flight", Known.ReportedInFlight},
                      {"report_age_ms", Known.ReportAgeMs}});
  return List;
}

json StatusAdmin::controlState() const {
  return {{"router", Context.Settings.PeerAdvertise},
          {"members", membersJson()},
          {"upstreams", upstreamsJson()}};
}

AdminReply StatusAdmin::status(const AdminRequest &Request,
                               const std::function<RouterLoad()> &Load) {
  const auto Operator = authenticate(Context, Request);
  if (!isOk(Operator))
    return problemReply(errorOf(Operator));
  const auto Promise = std::make_shared<std::promise<json>>();
  std::future<json> State = Promise->get_future();
  Context.Control.post([Self = shared_from_this(), Promise] {
    Promise->set_value(Self->controlState());
  });
  if (State.wait_for(StatusTimeout) != std::future_status::ready)
    return problemReply({ErrorId::Timeout, "the control thread is busy", ""});
  json Document = State.get();
  const RouterLoad Now = Load();
  Document["requests"] = Now.Requests;
  Document["draining"] = Now.Draining;
  Document["settings"] = {{"version", Settings->version().Value},
                          {"ready", Settings->ready()}};
  for (const auto &[Name, View] : Views) {
    const AdminReply Reply = View(Request);
    Document[Name] = Reply.Status == 200 ? contentOf(Name, Reply) : json();
  }
  return {200, Document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

AdminReply StatusAdmin::drain(const AdminRequest &Request,
                              const std::function<void()> &Drain) {
  const auto Operator = authenticate(Context, Request);
  if (!isOk(Operator))
    return problemReply(errorOf(Operator));
  if (!mayEdit(valueOf(Operator), settings_layout::PlatformBranch))
    return problemReply(
        {ErrorId::Forbidden, "only a platform operator may stop a router", ""});
  Context.Log.info(
      "planned stop requested by an operator",
      {{"operator", valueOf(Operator).Name}, {"from", Request.RemoteAddress}});
  Drain();
  return {200, R"({"draining":true})"};
}

} // namespace mallowglade

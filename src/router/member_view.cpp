#include <mallowglade/detail/router/gossip_member_service.hpp>

#include <mallowglade/detail/router/operator_key.hpp>
#include <mallowglade/detail/router/problem.hpp>

#include <nlohmann/json.hpp>

#include <future>

namespace mallowglade {

namespace {

constexpr std::chrono::seconds ViewTimeout{2};
constexpr int ServiceUnavailable = 503;

AdminReply makeFailure(int Status, ErrorId Id, const std::string &Detail) {
  const nlohmann::json Body{{"error_id", std::string(toString(Id))},
                            {"detail", Detail}};
  return {Status, Body.dump()};
}

nlohmann::json recordJson(const MemberRecord &Record) {
  return {{"router", Record.Id.Value},
          {"address", Record.CallerAddress},
          {"availability_zone", Record.Zone.Value},
          {"incarnation", Record.Start.Value},
          {"update_counter", Record.VersionCounter},
          {"state", std::string(toString(Record.State))},
          {"leaving", Record.Leaving}};
}

} // namespace

void GossipMemberService::addRoutes(AdminRoutes &Routes) {
  Routes.add("GET", "/admin/members",
             [Self = shared_from_this()](const AdminRequest &Call) {
               if (!isOperatorKey(Self->Context, Call.Key))
                 return makeFailure(UnauthorizedStatus,
                                    ErrorId::Unauthenticated,
                                    "an operator's key is required");
               const auto Text = std::make_shared<std::promise<std::string>>();
               auto Ready = Text->get_future();
               Self->Context.Control.post(
                   [Self, Text] { Text->set_value(Self->viewJson()); });
               if (Ready.wait_for(ViewTimeout) != std::future_status::ready)
                 return makeFailure(ServiceUnavailable, ErrorId::Timeout,
                                    "the control thread did not answer");
               return AdminReply{200, Ready.get()};
             });
}

std::string GossipMemberService::viewJson() const {
  nlohmann::json List = nlohmann::json::array();
  for (const MemberRecord &Record : Detector.allMembers()) {
    nlohmann::json Entry = recordJson(Record);
    const auto Heard = PeerVersions.find(Record.Id);
    if (Heard != PeerVersions.end())
      Entry["settings_version"] = Heard->second.Value;
    List.push_back(std::move(Entry));
  }
  const nlohmann::json View{
      {"self", Detector.self().Id.Value},
      {"alive", Live.size()},
      {"registered", Registered},
      {"registration_in_force", Registration->registered()},
      {"members", List}};
  return View.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mallowglade

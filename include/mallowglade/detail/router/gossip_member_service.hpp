#pragma once

#include <mallowglade/detail/router/admin_routes.hpp>
#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/router_registration.hpp>
#include <mallowglade/detail/router/settings_versions.hpp>
#include <mallowglade/membership.hpp>

#include <map>

namespace mallowglade {

/// @brief Membership of the fleet: drives the failure detector.
class GossipMemberService final
    : public MemberService,
      public RouterPart,
      public std::enable_shared_from_this<GossipMemberService> {
public:
  /// @param Context what the router's services share
  explicit GossipMemberService(RouterContext Context);

  /// @brief Adds the operators' call `GET /admin/members`.
  void addRoutes(AdminRoutes &Routes);

  Member self() const override;
  std::vector<Member> alive() const override;
  std::size_t registeredCount() const override;
  RouterId ownerOf(const std::string &Role) const override;
  void announceLeaving() override;
  void onChange(std::function<void()> Changed) override;

  void start() override;

private:
  void subscribe(const char *Type);
  void receive(const PeerSender &From, std::string_view Body);
  void tick();
  void afterEvent();
  void sendMessages();
  void refreshView();
  void announceView();
  void updateSeeds();
  void exportMetrics();
  std::string viewJson() const;

  RouterContext Context;
  SeededRandom Random;
  FailureDetector Detector;
  RegisteredRouters Known;
  std::shared_ptr<RouterRegistration> Registration;
  std::shared_ptr<PeerNetwork> Peers;
  std::shared_ptr<SettingsVersions> Versions;
  std::vector<std::function<void()>> Listeners;
  std::map<RouterId, SettingsVersion> PeerVersions;
  std::vector<Member> Live;
  std::size_t Registered = 1;
  /// Owners of roles with the present members.
  mutable std::map<std::string, RouterId> Owners;
};

} // namespace mallowglade

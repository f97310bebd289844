#pragma once

#include <mallowglade/detail/router/admin_routes.hpp>
#include <mallowglade/detail/router/settings_admin.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mallowglade {

/// @brief What the status shows about the request path of this process.
struct RouterLoad {
  /// Requests queued or running.
  std::size_t Requests = 0;
  bool Draining = false;
};

/// @brief The operators' calls `/admin/status` and `/admin/drain`.
///
/// Other parts add their calls through this object, so that the status can
/// show their views too.
class StatusAdmin final : public AdminRoutes,
                          public std::enable_shared_from_this<StatusAdmin> {
public:
  /// @param Context what the router's services share
  /// @param Target where the calls are served
  /// @param Settings settings service
  StatusAdmin(RouterContext Context, std::shared_ptr<AdminRoutes> Target,
              std::shared_ptr<TreeSettingsService> Settings);
  void add(const std::string &Method, const std::string &Path,
           Handler Serve) override;
  /// @brief Adds the two calls; to be done after all other parts.
  /// @param Load reads the load, on any thread
  /// @param Drain begins a planned stop
  void addRoutes(std::function<RouterLoad()> Load, std::function<void()> Drain);

private:
  AdminReply status(const AdminRequest &Request,
                    const std::function<RouterLoad()> &Load);
  AdminReply drain(const AdminRequest &Request,
                   const std::function<void()> &Drain);
  nlohmann::json controlState() const;
  nlohmann::json membersJson() const;
  nlohmann::json upstreamsJson() const;

  RouterContext Context;
  std::shared_ptr<AdminRoutes> Target;
  std::shared_ptr<TreeSettingsService> Settings;
  /// Calls of other parts whose reply belongs to the status, by member name.
  std::map<std::string, Handler> Views;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/router/admin_routes.hpp>
#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/outcomes.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace mallowglade {

/// @brief Shares convictions and evidence of crashes among routers and serves
///   the operators' calls.
class QuarantineService final
    : public RouterPart,
      public std::enable_shared_from_this<QuarantineService> {
public:
  /// @param Context what the router's services share
  explicit QuarantineService(RouterContext Context);

  /// @return guard for the cells that this router runs; control thread only
  std::shared_ptr<CrashQuarantine> guard() { return Guard; }
  /// @return time left of a conviction, or nothing; control thread only
  std::optional<Milliseconds>
  convictionTimeLeft(Fingerprint RequestFingerprint) const;
  /// @brief Returns for what a request must be refused, and keeps the
  ///   convictions of its fingerprint from ending; control thread only.
  std::optional<RequestFeature> refusedFor(const RequestFeatures &Features);
  /// @return true if requests with one of the features have crashed upstreams
  ///   and another one was sent shortly before; control thread only
  bool mustWait(const RequestFeatures &Features) {
    return Attribution.mustWait(Features);
  }
  /// @brief Records a request that was answered in full; control thread only.
  void recordAnswered(const RequestFeatures &Features);
  /// @brief Records a request on whose execution an upstream crashed; control
  ///   thread only.
  void recordCrash(const RequestFeatures &Features, const UpstreamId &Upstream);
  /// @brief Registers a callback for new convictions, on the control thread.
  void onConviction(std::function<void()> Changed);
  /// @brief Adds `GET /admin/quarantine` and `POST /admin/quarantine/release`.
  void addRoutes(AdminRoutes &Routes);
  void start() override;

private:
  void tick();
  void send();
  void sendReport();
  void sendToOthers(const std::string &Type, const std::string &Body);
  void logChanges();
  void receive(const std::vector<QuarantineRecord> &Records);
  void notify();
  AdminReply list(const AdminRequest &Request);
  AdminReply release(const AdminRequest &Request);

  RouterContext Context;
  std::shared_ptr<CrashQuarantine> Guard;
  CrashAttribution Attribution;
  std::vector<std::function<void()>> Listeners;
  std::uint64_t SentVersion = 0;
  TimePoint NextRepeat{};
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/router/admin_routes.hpp>
#include <mallowglade/detail/router/context.hpp>
#include <mallowglade/detail/router/dispatcher.hpp>
#include <mallowglade/detail/router/load_poller.hpp>
#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/settings_service.hpp>
#include <mallowglade/detail/router/upstream_directory.hpp>
#include <mallowglade/scheduling.hpp>

#include <map>
#include <memory>

namespace mallowglade {

/// @brief Dispatches by the grants of cells, and runs the cells it owns.
class CellDispatcher final
    : public Dispatcher,
      public RouterPart,
      public std::enable_shared_from_this<CellDispatcher> {
public:
  /// @param Context what the router's services share
  /// @param Guard may veto placements; may be null
  explicit CellDispatcher(RouterContext Context,
                          std::shared_ptr<PlacementGuard> Guard = nullptr);

  void enqueue(DispatchRequest Request, Reply Done) override;
  bool cancel(const RequestId &Request) override;
  void progress(const RequestId &Request, const Assignment &Where,
                const AttemptProgress &Progress) override;
  void finish(const RequestId &Request, const Assignment &Where, AttemptEnd End,
              const AttemptProgress &Progress) override;
  void start() override;
  /// @brief Adds the operators' call `GET /admin/cells`.
  void addRoutes(AdminRoutes &Routes);

private:
  struct PoolState {
    PoolState(PoolSettings Settings, DemandQueue Queue)
        : Settings(std::move(Settings)), Queue(std::move(Queue)) {}

    PoolSettings Settings;
    DemandQueue Queue;
    RouterId Owner;
    /// Set while this router owns the cell.
    std::unique_ptr<Cell> OwnedCell;
  };
  struct Pending {
    PoolId Pool;
    Reply Done;
  };

  template <class Message>
  void handle(std::string_view Type,
              void (CellDispatcher::*Receive)(const RouterId &,
                                              const Message &));
  template <class Message>
  void send(const RouterId &Recipient, std::string_view Type,
            const Message &Body);
  void deliver(const RouterId &From, std::string_view Type,
               std::string_view Body);

  void onDemand(const RouterId &From, const DemandReport &Report);
  void onProgress(const RouterId &From, const Progress &Update);
  void onCompletion(const RouterId &From, const Completion &Done);
  void onGrantReturn(const RouterId &From, const GrantReturn &Back);
  void onGrant(const RouterId &From, const Grant &Offer);
  void onLimits(const RouterId &From, const LimitNotice &Notice);
  void onAllotment(const RouterId &From, const Allotment &Rates);

  void listen();
  UpstreamSignal upstreamSignal(const UpstreamId &Id, AttemptEnd End) const;
  PoolState *poolOf(const CellId &Id);
  Cell *ownedCell(const CellId &Id);
  void applySettings();
  void applySettings(PoolState &Pool, const SettingsTree &Tree);
  void applyMembers();
  void applyMembers(PoolState &Pool);
  void applyReplicas();
  void applyReplicas(PoolState &Pool);
  /// @brief Tells the owner of the cell what upstreams said of limits.
  void reportLimits(PoolState &Pool);
  void changeOwner(PoolState &Pool, const RouterId &Owner);
  void tick();
  void runSoon();
  void reportDemand(PoolState &Pool);
  void runCell(PoolState &Pool);
  void refuse(const RefusedRequest &Refused);
  void measure();
  std::string statusJson() const;

  RouterContext Context;
  std::shared_ptr<PlacementGuard> Guard;
  std::shared_ptr<PeerNetwork> Peers;
  std::shared_ptr<MemberService> Members;
  std::shared_ptr<UpstreamDirectory> Upstreams;
  std::shared_ptr<LoadPoller> Loads;
  std::map<std::string, std::function<void(const RouterId &, std::string_view)>,
           std::less<>>
      Handlers;
  std::map<PoolId, PoolState> Pools;
  std::unordered_map<RequestId, Pending> Waiting;
  SeededRandom Random;
  bool RunPlanned = false;
};

} // namespace mallowglade

#include <mallowglade/detail/router/cell_dispatcher.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

/// Room for the sessions of one process below the next start time.
constexpr int SessionBits = 16;

CellSettings cellSettingsOf(const PoolSettings &Pool) {
  CellSettings Settings;
  Settings.Id = CellId(Pool.Id.Value);
  Settings.Replica = {Pool.InitialInFlight, Pool.MaxInFlight,
                      Pool.FirstTokenTarget, Pool.InterTokenTarget};
  Settings.MaxRequestUnits = Pool.MaxRequestUnits;
  Settings.OutputWeight = Pool.OutputWeight;
  return Settings;
}

std::vector<WorkspaceShare> workspaceSharesOf(const SettingsTree &Tree) {
  std::vector<WorkspaceShare> Shares;
  for (const auto &[Id, Workspace] : Tree.Workspaces)
    Shares.push_back({Id, Workspace.Weight, Workspace.Limits.Concurrency});
  return Shares;
}

std::vector<QueueLimits> queueLimitsOf(const SettingsTree &Tree) {
  std::vector<QueueLimits> AllLimits;
  for (const auto &[Id, Workspace] : Tree.Workspaces) {
    const WorkspaceLimits &Limits = Workspace.Limits;
    AllLimits.push_back({Id, Limits.RequestsPerSecond, Limits.UnitsPerSecond,
                         Limits.QueueLength, Limits.QueueTime});
  }
  return AllLimits;
}

} // namespace

void CellDispatcher::applySettings() {
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  for (const PoolSettings &Pool : Tree->Pools) {
    const Epoch First(Context.Start.Value << SessionBits);
    const auto Known =
        Pools
            .try_emplace(Pool.Id, Pool,
                         DemandQueue(CellId(Pool.Id.Value), First))
            .first;
    Known->second.Settings = Pool;
    applySettings(Known->second, *Tree);
  }
}

void CellDispatcher::applySettings(PoolState &Pool, const SettingsTree &Tree) {
  Pool.Queue.configure(queueLimitsOf(Tree), Members->registeredCount());
  if (Pool.OwnedCell != nullptr)
    Pool.OwnedCell->configure(cellSettingsOf(Pool.Settings));
  applyMembers(Pool);
  applyReplicas(Pool);
}

void CellDispatcher::applyMembers() {
  // The number of routers enters the queue limits too.
  applySettings();
}

void CellDispatcher::applyMembers(PoolState &Pool) {
  const RouterId Owner = Members->ownerOf("cell/" + Pool.Settings.Id.Value);
  if (Owner != Pool.Owner)
    changeOwner(Pool, Owner);
  if (Pool.OwnedCell == nullptr)
    return;
  std::vector<CellMember> Heard;
  for (const Member &Router : Members->alive())
    Heard.push_back({Router.Id, Router.Zone});
  Pool.OwnedCell->setMembers(Heard, Members->registeredCount(),
                             Context.Time.now());
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  Pool.OwnedCell->setWorkspaces(workspaceSharesOf(*Tree));
}

void CellDispatcher::changeOwner(PoolState &Pool, const RouterId &Owner) {
  Context.Log.info("cell has a new owner",
                   {{"pool", Pool.Settings.Id.Value}, {"router", Owner.Value}});
  Pool.Owner = Owner;
  Pool.Queue.beginSession();
  Pool.OwnedCell.reset();
  if (Owner == Members->self().Id)
    Pool.OwnedCell =
        std::make_unique<Cell>(cellSettingsOf(Pool.Settings),
                               static_cast<std::uint32_t>(Random.next()),
                               Context.Time.now(), Guard.get());
  reportLimits(Pool);
}

void CellDispatcher::applyReplicas() {
  for (auto &[Id, Pool] : Pools) {
    applyReplicas(Pool);
    reportLimits(Pool);
  }
}

void CellDispatcher::applyReplicas(PoolState &Pool) {
  if (Pool.OwnedCell == nullptr)
    return;
  std::vector<ReplicaInfo> List;
  for (const Upstream &Known : Upstreams->available(Pool.Settings.Id))
    List.push_back({Known.Id, Known.Address, Known.Zone, Known.MaxInFlight,
                    Loads->runningOn(Known.Id), Known.Rate});
  Pool.OwnedCell->setReplicas(List);
}

} // namespace mallowglade

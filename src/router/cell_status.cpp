#include <mallowglade/detail/router/cell_dispatcher.hpp>

#include <mallowglade/detail/router/operator_key.hpp>
#include <mallowglade/detail/router/problem.hpp>

#include <nlohmann/json.hpp>

#include <future>

namespace mallowglade {

namespace {

constexpr std::chrono::seconds StatusTimeout{2};
constexpr int ServiceUnavailable = 503;

AdminReply failure(int Status, ErrorId Id, const std::string &Detail) {
  const nlohmann::json Body{{"error_id", std::string(toString(Id))},
                            {"detail", Detail}};
  return {Status, Body.dump()};
}

nlohmann::json workspacesJson(const CellStatus &Status) {
  nlohmann::json List = nlohmann::json::array();
  for (const WorkspaceStatus &Entry : Status.Workspaces)
    List.push_back({{"workspace", Entry.Id.Value},
                    {"share", Entry.Weight.Value},
                    {"waiting", Entry.Waiting},
                    {"in_flight", Entry.InFlight},
                    {"backlogged", Entry.Backlogged},
                    {"virtual_time", Entry.VirtualTime},
                    {"served_units", Entry.Served},
                    {"hint_correction", Entry.Correction}});
  return List;
}

nlohmann::json replicasJson(const CellStatus &Status) {
  nlohmann::json List = nlohmann::json::array();
  for (const ReplicaStatus &Entry : Status.Replicas)
    List.push_back({{"upstream", Entry.Id.Value},
                    {"limit", Entry.Limit},
                    {"usable", Entry.Usable},
                    {"in_flight", Entry.InFlight},
                    {"foreign", Entry.Foreign}});
  return List;
}

nlohmann::json cellJson(const CellStatus &Status) {
  const CellCounters &Counters = Status.Counters;
  return {{"ready", Status.Ready},
          {"routers_heard", Status.RoutersHeard},
          {"routers_registered", Status.RoutersRegistered},
          {"slots", Status.Capacity},
          {"in_flight", Status.InFlight},
          {"waiting", Status.Waiting},
          {"fairness_gap", Status.ServiceGap},
          {"fairness_bound", Status.FairnessBound},
          {"grants", Counters.Grants},
          {"grants_returned", Counters.Returned},
          {"grants_expired", Counters.Expired},
          {"grants_adopted", Counters.Adopted},
          {"workspaces", workspacesJson(Status)},
          {"replicas", replicasJson(Status)}};
}

} // namespace

void CellDispatcher::addRoutes(AdminRoutes &Routes) {
  Routes.add("GET", "/admin/cells",
             [Self = shared_from_this()](const AdminRequest &Call) {
               if (!isOperatorKey(Self->Context, Call.Key))
                 return failure(UnauthorizedStatus, ErrorId::Unauthenticated,
                                "an operator's key is required");
               const auto Text = std::make_shared<std::promise<std::string>>();
               auto Ready = Text->get_future();
               Self->Context.Control.post(
                   [Self, Text] { Text->set_value(Self->statusJson()); });
               if (Ready.wait_for(StatusTimeout) != std::future_status::ready)
                 return failure(ServiceUnavailable, ErrorId::Timeout,
                                "the control thread is busy");
               return AdminReply{200, Ready.get()};
             });
}

std::string CellDispatcher::statusJson() const {
  nlohmann::json Cells = nlohmann::json::array();
  for (const auto &[Id, Pool] : Pools) {
    nlohmann::json Entry{{"pool", Id.Value},
                         {"owner", Pool.Owner.Value},
                         {"queued_here", Pool.Queue.queued()},
                         {"running_here", Pool.Queue.runningCount()},
                         {"session", Pool.Queue.session().Value}};
    if (Pool.OwnedCell != nullptr)
      Entry.update(cellJson(Pool.OwnedCell->status(Context.Time.now())));
    Cells.push_back(std::move(Entry));
  }
  const nlohmann::json Document{{"router", Members->self().Id.Value},
                                {"cells", std::move(Cells)}};
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

void CellDispatcher::measure() {
  for (auto &[Id, Pool] : Pools) {
    const MetricLabels Labels{{"pool", Id.Value}};
    // A router that lost the cell must not go on showing old values.
    const CellStatus Status = Pool.OwnedCell == nullptr
                                  ? CellStatus{}
                                  : Pool.OwnedCell->status(Context.Time.now());
    Metrics &Gauges = Context.Measures;
    Gauges.set("mallowglade_cell_owned", Labels, Pool.OwnedCell != nullptr);
    Gauges.set("mallowglade_fairness_gap_units", Labels, Status.ServiceGap);
    Gauges.set("mallowglade_fairness_bound_units", Labels,
               Status.FairnessBound);
    Gauges.set("mallowglade_cell_slots", Labels, Status.Capacity);
    Gauges.set("mallowglade_cell_in_flight", Labels, Status.InFlight);
    Gauges.set("mallowglade_cell_waiting_requests", Labels, Status.Waiting);
    const double Utilisation =
        Status.Capacity == 0
            ? 0
            : Status.InFlight / static_cast<double>(Status.Capacity);
    Gauges.set("mallowglade_cell_utilisation_ratio", Labels, Utilisation);
    // Repeated, as the owner may have changed or missed a notice.
    reportLimits(Pool);
    if (Pool.OwnedCell == nullptr)
      continue;
    Loads->poll(Upstreams->available(Id));
    applyReplicas(Pool);
  }
}

} // namespace mallowglade

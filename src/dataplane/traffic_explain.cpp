#include <mallowglade/detail/dataplane/traffic.hpp>

#include <mallowglade/detail/dataplane/queued_request.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// A request that is never submitted.
class DescribedRequest final : public QueuedRequest {
public:
  void place(const PlacementChoice &) override {}
  void refuse(Refusal, Milliseconds) override {}
};

} // namespace

Explanation Traffic::explain(const ExplanationQuery &Asked) {
  const Arrival Found =
      examine(&Asked.Host, Asked.Path, [&Asked](const Configuration &Config) {
        const auto Named = std::find_if(
            Config.Workspaces.begin(), Config.Workspaces.end(),
            [&](const auto &Known) { return Known.Name == Asked.Workspace; });
        return Named == Config.Workspaces.end() ? nullptr : &*Named;
      });
  const WorkspaceId Workspace =
      Found.Caller != nullptr ? Found.Caller->Name : WorkspaceId();
  Explanation Explained;
  std::string_view Refused = Found.Reason;
  unsigned Status = Found.Status;
  if (Status == 401)
    Refused = "unknown_workspace";
  if (Status == 0) {
    // Of what crashes upstreams, only parts of prompts can be known.
    const RequestFeatures Features =
        requestFeatures(Workspace, "", "", "", Asked.Request.Parts);
    if (std::any_of(Features.begin(), Features.end(),
                    [this](const RequestFeature &Feature) {
                      return Crashes.isQuarantined(Feature);
                    })) {
      Status = 503;
      Refused = toString(Refusal::CrashesUpstreams);
    }
  }
  if (Status == 0) {
    DescribedRequest Request;
    describeRequest(Request, *Found.MatchedRoute, Asked.Request, Workspace,
                    pickService(*Found.MatchedRoute, ExplanationRandom),
                    Time.now());
    Request.Query.Allowed = Homes(*Found.MatchedRoute, Found.Caller);
    Explained =
        explainDecision(Request, Queue, Placer, Shares, ExplanationRandom);
    Explained.Drawn =
        Explained.Drawn || Found.MatchedRoute->Services.size() > 1;
  }
  Explained.Status = Status;
  Explained.Reason = Refused;
  Explained.Router = Settings.Name;
  Explained.Zone = Settings.Zone;
  Explained.Workspace = Workspace;
  if (View.Config)
    Explained.Config = View.Config->Version;
  if (Found.MatchedRoute != nullptr)
    Explained.Route = Found.MatchedRoute->Name;
  return Explained;
}

} // namespace mallowglade::dataplane

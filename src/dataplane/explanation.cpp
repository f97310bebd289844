#include <mallowglade/detail/dataplane/explanation.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mallowglade::dataplane {

namespace {

using Json = nlohmann::ordered_json;

/// Limit on the candidates in a document.
constexpr std::size_t MaxCandidates = 100;

/// Counts the draws from another source.
class CountingRandom final : public RandomSource {
public:
  explicit CountingRandom(RandomSource &Source) : Source(Source) {}
  std::uint64_t next() override {
    ++Draws;
    return Source.next();
  }
  std::uint64_t draws() const { return Draws; }

private:
  RandomSource &Source;
  std::uint64_t Draws = 0;
};

/// Orders candidates: those that may get the request first, by rank, then by
/// score.
auto sortKey(const PlacementCandidate &Candidate) {
  return std::make_tuple(Candidate.State != Eligibility::Eligible,
                         Candidate.Rank == 0, Candidate.Rank, Candidate.Score);
}

double round(double Value) {
  constexpr double Thousandth = 1'000;
  return std::round(Value * Thousandth) / Thousandth;
}

Json candidateJson(const PlacementCandidate &Candidate) {
  const UpstreamState &Upstream = *Candidate.Upstream;
  const UpstreamLoad Load = Upstream.total();
  Json Document{{"upstream", Upstream.Record.Id.Value},
                {"zone", Upstream.Record.Zone.Value},
                {"state", toString(Candidate.State)},
                {"capacity", toString(Candidate.Room)},
                {"rank", Candidate.Rank},
                {"score", round(Candidate.Score)},
                {"running", round(Load.Running)},
                {"slots", Upstream.Record.Slots},
                {"speed", round(Candidate.Speed)},
                {"cold", Candidate.Cold}};
  if (Candidate.WorkLimit > 0) {
    Document["work"] = round(Load.RecentWork);
    Document["work_limit"] = round(Candidate.WorkLimit);
    Document["unread"] = round(Load.UnreadPrompt);
    Document["unread_limit"] = round(Candidate.UnreadLimit);
  }
  return Document;
}

std::string_view actionName(const Explanation &Explained) {
  if (Explained.Status != 0)
    return "refuse";
  switch (Explained.Decision.What) {
  case AdmissionDecision::Action::Send:
    return "send";
  case AdmissionDecision::Action::Wait:
    return "wait";
  case AdmissionDecision::Action::Refuse:
    return "refuse";
  }
  return "refuse";
}

void addDestination(Json &Document, const PlacementChoice &Choice) {
  Document["upstream"] = Choice.Upstream->Record.Id.Value;
  Document["upstream_zone"] = Choice.Upstream->Record.Zone.Value;
  Document["prefix_cached"] = Choice.PrefixCached;
  if (Choice.FetchFrom != nullptr)
    Document["fetch_from"] = Choice.FetchFrom->Record.Id.Value;
}

} // namespace

std::string_view decidingRule(const Explanation &Explained) {
  if (Explained.Status != 0)
    return Explained.Reason;
  const AdmissionDecision &Decision = Explained.Decision;
  switch (Decision.What) {
  case AdmissionDecision::Action::Refuse:
    return toString(Decision.Reason);
  case AdmissionDecision::Action::Wait:
    return toString(Decision.Cause);
  case AdmissionDecision::Action::Send:
    break;
  }
  switch (Decision.Choice.Leaves) {
  case LeavesZone::ForLoad:
    return "leaves_zone_for_load";
  case LeavesZone::ForPrefix:
    return "leaves_zone_for_prefix";
  case LeavesZone::No:
    break;
  }
  return toString(Decision.Choice.Rule);
}

Explanation explainDecision(QueuedRequest &Request, Admission &Queue,
                            const Placement &Placer, FairShare &Shares,
                            RandomSource &Random) {
  CountingRandom Drawing(Random);
  Placement Copy = Placer.copyWith(Drawing);
  Copy.recordPrefixUse(Request.Query);
  Explanation Explained;
  Explained.Decision = Queue.decide(Request, Copy, Drawing);
  Explained.Drawn = Drawing.draws() > 0;
  if (Explained.Decision.What == AdmissionDecision::Action::Refuse)
    Explained.RetryAfter =
        Admission::retryAfter(Request, Explained.Decision, Drawing);
  if (Request.HasWorkspace)
    Explained.ShareFill = Shares.shareFill(Request.ShareKey);
  Explained.Waiting = Queue.waiting();
  Explained.Ahead = Queue.countAhead(Request);
  Explained.Service = Request.Query.Service;
  Explained.Affinity = Request.Query.Affinity;
  if (const ZoneChoice *Zones = Copy.zoneChoice())
    Explained.LeavingShare = Zones->sumOfShares(Request.Query.Service);
  Explained.Candidates = Copy.candidates(Request.Query);
  std::stable_sort(Explained.Candidates.begin(), Explained.Candidates.end(),
                   [](const auto &Left, const auto &Right) {
                     return sortKey(Left) < sortKey(Right);
                   });
  return Explained;
}

std::string toJson(const Explanation &Explained) {
  const AdmissionDecision &Decision = Explained.Decision;
  Json Document{{"router", Explained.Router},
                {"zone", Explained.Zone.Value},
                {"configuration", Explained.Config.Value},
                {"route", Explained.Route},
                {"service", Explained.Service.Value},
                {"workspace", Explained.Workspace.Value},
                {"decision", actionName(Explained)},
                {"rule", decidingRule(Explained)}};
  if (Explained.Status != 0) {
    Document["status"] = Explained.Status;
  } else {
    Document["drawn"] = Explained.Drawn;
    Document["over_share"] = Decision.OverShare;
    if (Explained.ShareFill)
      Document["share_fill"] = round(*Explained.ShareFill);
    Document["waiting"] = Explained.Waiting;
    Document["ahead"] = Explained.Ahead;
    if (Decision.What == AdmissionDecision::Action::Refuse)
      Document["retry_after_ms"] = Explained.RetryAfter.count();
    if (Decision.What == AdmissionDecision::Action::Send)
      addDestination(Document, Decision.Choice);
    if (Explained.Affinity)
      Document["prefix"] = fmt::format("{:x}", *Explained.Affinity);
    if (Explained.LeavingShare)
      Document["leaving_share"] = round(*Explained.LeavingShare);
  }
  const std::size_t Listed =
      std::min(Explained.Candidates.size(), MaxCandidates);
  Json List = Json::array();
  for (std::size_t Index = 0; Index < Listed; ++Index)
    List.push_back(candidateJson(Explained.Candidates[Index]));
  Document["candidates"] = std::move(List);
  Document["candidates_omitted"] = Explained.Candidates.size() - Listed;
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace mallowglade::dataplane

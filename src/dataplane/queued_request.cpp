#include <mallowglade/detail/dataplane/queued_request.hpp>

#include <algorithm>

namespace mallowglade::dataplane {

namespace {

/// Subtracted from the caller's deadline, so that the response reaches the
/// caller in time.
constexpr Milliseconds ResponseMargin{30};
/// Fraction of the latency objective that a request may spend in the queue.
constexpr double QueueTimeFraction = 0.6;

} // namespace

const ServiceId &pickService(const Route &MatchedRoute, RandomSource &Random) {
  double TotalWeight = 0;
  for (const ServiceWeight &Candidate : MatchedRoute.Services)
    TotalWeight += Candidate.Weight;
  constexpr std::uint64_t Resolution = 1U << 20U;
  double Remaining = TotalWeight *
                     static_cast<double>(Random.below(Resolution)) /
                     static_cast<double>(Resolution);
  for (const ServiceWeight &Candidate : MatchedRoute.Services) {
    if (Remaining < Candidate.Weight)
      return Candidate.Service;
    Remaining -= Candidate.Weight;
  }
  return MatchedRoute.Services.back().Service;
}

TimePoint describeRequest(QueuedRequest &Request, const Route &MatchedRoute,
                          const RequestMetadata &Metadata,
                          const WorkspaceId &Workspace, ServiceId Target,
                          TimePoint Arrived) {
  Request.Arrived = Arrived;
  Milliseconds Limit = MatchedRoute.Timeout;
  if (Metadata.Deadline)
    Limit = std::min(Limit, *Metadata.Deadline - ResponseMargin);
  const TimePoint Deadline = Arrived + Limit;
  PlacementQuery &Query = Request.Query;
  Query.Service = std::move(Target);
  Query.LatencyObjective = MatchedRoute.LatencyObjective;
  if (MatchedRoute.PromptAffinity && Metadata.Parts.size() >= 2) {
    const std::size_t SharedParts = Metadata.Parts.size() - 1;
    Query.Affinity = Metadata.Parts[SharedParts - 1].Hash;
    for (std::size_t Index = 0; Index < SharedParts; ++Index)
      Query.Work.SharedPrompt += Metadata.Parts[Index].Tokens;
  }
  Query.Work.UncachedPrompt =
      std::max(0.0, Metadata.PromptTokens - Query.Work.SharedPrompt);
  Query.Work.OutputTokens = Metadata.ExpectedOutputTokens > 0
                                ? Metadata.ExpectedOutputTokens
                                : Metadata.MaxOutputTokens / 2;
  Request.HasWorkspace = !Workspace.empty() && MatchedRoute.PromptAffinity;
  Request.ShareKey = WorkspaceKey(stableHash(Workspace.Value));
  Request.ShareTokens = Metadata.PromptTokens + 2 * Query.Work.OutputTokens;
  Request.Priority = MatchedRoute.Priority;
  const auto MaxQueueTime = std::chrono::duration_cast<Milliseconds>(
      MatchedRoute.LatencyObjective * QueueTimeFraction);
  Request.QueueDeadline = std::min(Deadline, Arrived + MaxQueueTime);
  return Deadline;
}

} // namespace mallowglade::dataplane

#pragma once

#include <mallowglade/detail/dataplane/admission.hpp>
#include <mallowglade/detail/dataplane/wire_protocol.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mallowglade::dataplane {

/// @brief A request whose treatment is asked for without sending it.
struct ExplanationQuery {
  std::string Host;
  /// Path without query.
  std::string Path;
  /// Empty for a public route.
  WorkspaceId Workspace;
  /// Prompt parts and tokens; the other members are not set.
  RequestMetadata Request;
};

/// @return true if the target of a request asks for an explanation
bool isExplanationTarget(std::string_view Target);

/// @brief Parses the target `/explain?host=...&path=...`.
/// @return the query; `request.invalid` if a parameter is missing, unknown,
///   repeated or cannot be read
Result<ExplanationQuery> parseExplanationQuery(std::string_view Target);

/// @brief Where a request would go now, and why.
///
/// Candidates refer to the table of upstreams: an explanation has to be read on
/// the traffic thread before the table changes.
struct Explanation {
  std::string Router;
  ZoneId Zone;
  ConfigurationVersion Config;
  std::string Route;
  ServiceId Service;
  WorkspaceId Workspace;
  /// HTTP status and reason if the request is refused before admission decides;
  /// 0 if it is not.
  unsigned Status = 0;
  std::string_view Reason;
  /// Counts if `Status` is 0.
  AdmissionDecision Decision;
  /// Time after which the caller of a refused request should retry.
  Milliseconds RetryAfter{};
  /// True if random numbers decided: the next request may be treated otherwise.
  bool Drawn = false;
  /// Part of its share that the workspace has used; nothing if the request does
  /// not count against one.
  std::optional<double> ShareFill;
  /// Queued requests, and those of them that go before this one.
  std::size_t Waiting = 0;
  std::size_t Ahead = 0;
  std::optional<std::uint64_t> Affinity;
  /// Part of the service's requests that leaves the zone for load; nothing if
  /// zones are not distinguished.
  std::optional<double> LeavingShare;
  /// The eligible ones first, by rank and by score.
  std::vector<PlacementCandidate> Candidates;
};

/// @brief Explains the decision that `Admission::submit` would take now, and
///   changes nothing that a later decision depends on.
/// @param Request its number of prefix uses is set
/// @param Random source of the draws, other than that of the router
Explanation explainDecision(QueuedRequest &Request, Admission &Queue,
                            const Placement &Placer, FairShare &Shares,
                            RandomSource &Random);

/// @return name of the rule that decided
std::string_view decidingRule(const Explanation &Explained);

/// @return the explanation as a JSON document of bounded size
std::string toJson(const Explanation &Explained);

} // namespace mallowglade::dataplane

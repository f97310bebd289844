#pragma once

#include <mallowglade/detail/router/answer.hpp>
#include <mallowglade/detail/router/upstream_call.hpp>
#include <mallowglade/outcomes.hpp>

#include <optional>
#include <string>

namespace mallowglade {

/// @brief Header that names the claim whose answer is wanted, hexadecimal.
inline constexpr const char *ClaimHeader = "X-Claim-Token";
/// @brief Pause before an interrupted fetch is repeated.
inline constexpr Milliseconds FetchPause{200};

/// @brief An answer that another router holds.
struct AnswerFetch {
  /// Address of the router for callers.
  std::string Address;
  RequestId Request;
  ClaimToken Claim;
  std::string BearerKey;
  /// Bytes of the body that an earlier fetch has passed on.
  std::size_t Skip = 0;
};

/// @brief How a fetch ended.
enum class FetchEnd {
  /// The answer has ended; it may be a failure.
  Ended,
  /// The connection ended or was silent; the fetch may be repeated.
  Interrupted,
  /// No connection was made.
  Unreachable,
  /// The other router has no such answer.
  Gone,
};

/// @brief Result of a fetch.
struct FetchResult {
  FetchEnd End = FetchEnd::Interrupted;
  /// The holder's failure, if its answer ended with one.
  std::optional<Problem> Failure;
  /// Bytes of the body passed on so far.
  std::size_t Relayed = 0;
};

/// @brief Fetches an answer from another router and passes it on; blocks.
/// @param Wanted the answer
/// @param Target receives the bytes; a stream is passed on as it arrives
/// @param Cancellation ends the fetch early
FetchResult fetchAnswer(const AnswerFetch &Wanted, Answer &Target,
                        CallCancellation &Cancellation);

} // namespace mallowglade

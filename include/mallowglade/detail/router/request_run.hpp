#pragma once

#include <mallowglade/detail/http1/event_stream.hpp>
#include <mallowglade/detail/router/request_runner.hpp>

namespace mallowglade {

/// @brief State of a request between its attempts; one attempt runs at a time.
struct RequestRunner::Run {
  RouterRequest Request;
  std::shared_ptr<Answer> Target;
  AttemptHistory History;
  std::vector<UpstreamId> Avoid;
  EventStream Events;
  /// Identifies equal requests of a workspace.
  Fingerprint RequestFingerprint;
  /// What may make upstreams crash: the request, and the start of its body.
  RequestFeatures Features;
  bool Claimed = false;
  /// True once the request has its verdict; control thread only.
  bool Ended = false;
  /// True while the request waits for an upstream.
  bool Queued = false;
  /// Ends the running call to an upstream or router.
  CallCancellation Cancellation;
  /// Bytes of the holder's answer that were passed on.
  std::size_t Relayed = 0;
  std::uint32_t Fetches = 0;
  /// Fetches in a row that made no connection to the holder.
  std::uint32_t FailedConnects = 0;
};

} // namespace mallowglade

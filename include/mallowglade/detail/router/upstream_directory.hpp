#pragma once

#include <mallowglade/core.hpp>
#include <mallowglade/scheduling.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mallowglade {

/// @brief An upstream that may receive work.
struct Upstream {
  UpstreamId Id;
  PoolId Pool;
  std::string Address;
  ZoneId Zone;
  /// Most requests it accepts at once; 0 if not stated.
  std::uint32_t MaxInFlight = 0;
  /// Requests it reported as running or waiting, with a lag.
  std::uint32_t ReportedInFlight = 0;
  /// Age of the load report in milliseconds; negative if there is none.
  std::int64_t ReportAgeMs = -1;
  /// Requests per second that it takes from all routers, if it named a limit.
  std::optional<RequestRate> Rate;
};

/// @brief The upstreams known to this router; control thread only.
class UpstreamDirectory {
public:
  virtual ~UpstreamDirectory() = default;
  /// @return upstreams of a pool that are not leaving and not down
  virtual std::vector<Upstream> available(const PoolId &Pool) const = 0;
  /// @return true if the upstream said, or is listed, that it is leaving
  virtual bool isLeaving(const UpstreamId &Id) const = 0;
  /// @brief Stops new work to an upstream that said it is leaving.
  virtual void markLeaving(const UpstreamId &Id) = 0;
  /// @brief Stops new work to an upstream until a probe succeeds.
  virtual void markDown(const UpstreamId &Id) = 0;
  /// @brief Stops new work to an upstream for a while, as it asked.
  /// @param Span time, limited to one minute
  virtual void pause(const UpstreamId &Id, Milliseconds Span) = 0;
  /// @brief Records what a response, of this router or of another, says of the
  /// requests that the upstream takes.
  /// @param SaidAt time of the response; if it names no limit, the time at
  ///   which its request was sent
  virtual void recordLimit(const UpstreamId &Id,
                           std::optional<RequestRate> Rate,
                           TimePoint SaidAt) = 0;
  /// @return what the upstreams of a pool last said of limits, as far as any
  ///   of them named one
  virtual std::vector<LimitStatement> limits(const PoolId &Pool) const = 0;
  /// @brief Registers a callback for changes, called on the control thread.
  virtual void onChange(std::function<void()> Changed) = 0;
};

} // namespace mallowglade

#pragma once

#include <mallowglade/detail/router/dispatcher.hpp>
#include <mallowglade/settings.hpp>

namespace mallowglade {

/// @brief Measures one attempt while its bytes arrive.
class AttemptMeter {
public:
  /// @param Pool pool with the weights; outlives the meter
  /// @param BodyBytes size of the request body
  /// @param Time clock
  AttemptMeter(const PoolSettings &Pool, std::size_t BodyBytes,
               const Clock &Time);
  /// @brief Sets the number of tokens received so far.
  void tokens(std::uint64_t Count);
  /// @brief Takes the usage that the engine states, if any.
  /// @param Json document with a `usage` object
  void usageOf(std::string_view Json);
  /// @return state so far
  AttemptProgress progress() const;

private:
  double served() const;

  const PoolSettings &Pool;
  double InputTokens;
  double OutputTokens = 0;
  const Clock &Time;
  TimePoint Started;
  std::optional<TimePoint> FirstAt;
  TimePoint LastAt{};
};

/// @brief Estimates the cost of a request before it runs.
/// @param Pool pool with the weights
/// @param Body request body
/// @return estimate in service units
ServiceUnits estimateCost(const PoolSettings &Pool, const std::string &Body);

/// @param Body request body
/// @return true if the body is a JSON object with `"stream": true`
bool asksForStream(const std::string &Body);

} // namespace mallowglade

#pragma once

#include <mallowglade/core.hpp>

#include <cstdint>
#include <vector>

namespace mallowglade {

/// @brief Identifies a router in the division of a rate.
using RouterKey = StrongNumber<struct RouterKeyTag, std::uint64_t>;
/// @brief Requests per second.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

/// Smallest limit that is followed; a lower one would never be found ended.
inline constexpr RequestRate MinRequestRate{0.1};

/// Time after which a rate that opens is no longer held back.
inline constexpr Milliseconds RateOpeningTime{2'000};
/// Time in which a rate that opens doubles.
inline constexpr Milliseconds RateDoublingTime{500};

/// @return rate that opens from `From`, a time after it began to
RequestRate openingRate(RequestRate From, TimePoint::duration Since);

/// @brief A router that takes part in the division of a rate.
struct RateMember {
  RouterKey Key;
  /// Requests per second that the router has for whatever is limited.
  RequestRate Demand;
};

/// @brief Number of routers among which a rate is divided.
///
/// Each holder may have saved up one request and a quarter of a second of its
/// share, or a whole second of a small share up to a third of a request, so in
/// any time T at most `Rate * T + 4/3 * holders + Rate / 4` requests are
/// started while the routers agree on the members. With two holders more than
/// requests per second, that is at most `5.6 * Rate + 4` in four seconds.
std::size_t rateHolders(RequestRate Rate);

/// @brief Divides a rate without messages about single requests.
///
/// Some of the routers, chosen by weighted rendezvous hashing, hold the rate
/// and share it in proportion to their demand. All routers that know the same
/// members compute the same holders, so the shares add up to the whole rate.
/// @param Resource what the rate is for
/// @param Members all routers, `Self` included
/// @return part of the rate that a router may use
RequestRate rateShare(std::uint64_t Resource, RequestRate Rate,
                      const std::vector<RateMember> &Members, RouterKey Self);

/// @brief Divides a rate among a given number of routers.
RequestRate rateShare(std::uint64_t Resource, RequestRate Rate,
                      const std::vector<RateMember> &Members, RouterKey Self,
                      std::size_t MaxHolders);

/// @brief Allowance of one router that fills at its share of a rate.
class RateAllowance {
public:
  /// @param Initial requests that may be started at once, less than 1;
  ///   different on each router, so that routers that learn of a small rate
  ///   in the same moment do not start in the same moment
  RateAllowance(double Initial, TimePoint Now)
      : Available(Initial), RefilledAt(Now) {}

  /// @brief Sets the share from now on.
  void setShare(RequestRate Next, TimePoint Now);
  /// @return time from which a request may be started; the latest time if the
  ///   share is zero
  TimePoint startableFrom(TimePoint Now) const;
  /// @brief Takes one request out of the allowance.
  void take(TimePoint Now);
  /// @brief Returns a request that was taken and not sent.
  void giveBack(TimePoint Now);
  RequestRate share() const { return Share; }

private:
  void refill(TimePoint Now);
  double availableAt(TimePoint Now) const;

  RequestRate Share;
  double Available;
  TimePoint RefilledAt;
};

} // namespace mallowglade

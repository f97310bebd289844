#include <mallowglade/detail/scheduling/rate_share.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade {

namespace {

/// Demand that a router counts with at least, so that one whose callers have
/// just come can hold a share.
constexpr double MinDemand = 0.5;
/// Time for which unused share is saved beyond one request; covers pauses
/// between requests.
constexpr double SavedSeconds = 0.25;
/// The same for small shares, up to a part of a request: a router that may
/// start one request in seconds often has to wait for one.
constexpr double SavedSecondsOfSmallShare = 1;
constexpr double MaxSavedOfSmallShare = 1.0 / 3;
/// Requests per second by which the allowance of a router without a share
/// shrinks.
constexpr double UnheldDecay = 0.1;

double seconds(TimePoint::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Score of weighted rendezvous hashing; the highest ones hold.
double score(std::uint64_t Resource, const RateMember &Member, double Weight) {
  const std::uint64_t Hash =
      stableHash({reinterpret_cast<const char *>(&Member.Key.Value),
                  sizeof(Member.Key.Value)},
                 Resource);
  // Upper 53 bits, moved into (0, 1).
  constexpr unsigned DroppedBits = 11;
  constexpr double Scale = 1.0 / 9'007'199'254'740'992.0;
  const double Uniform =
      (static_cast<double>(Hash >> DroppedBits) + 0.5) * Scale;
  return -Weight / std::log(Uniform);
}

} // namespace

RequestRate openingRate(RequestRate From, TimePoint::duration Since) {
  const double Doublings = std::chrono::duration<double>(Since) /
                           std::chrono::duration<double>(RateDoublingTime);
  return RequestRate(From.Value * std::exp2(std::max(0.0, Doublings)));
}

std::size_t rateHolders(RequestRate Rate) {
  constexpr double MaxHolders = 1e6;
  return 2 + static_cast<std::size_t>(
                 std::ceil(std::clamp(Rate.Value, 0.0, MaxHolders)));
}

RequestRate rateShare(std::uint64_t Resource, RequestRate Rate,
                      const std::vector<RateMember> &Members, RouterKey Self) {
  return rateShare(Resource, Rate, Members, Self, rateHolders(Rate));
}

RequestRate rateShare(std::uint64_t Resource, RequestRate Rate,
                      const std::vector<RateMember> &Members, RouterKey Self,
                      std::size_t MaxHolders) {
  struct Holder {
    double Score;
    double Weight;
    RouterKey Key;
  };
  std::vector<Holder> Holders;
  Holders.reserve(Members.size());
  for (const RateMember &Member : Members) {
    const double Weight = std::max(MinDemand, Member.Demand.Value);
    Holders.push_back({score(Resource, Member, Weight), Weight, Member.Key});
  }
  const std::size_t Count = std::min(Holders.size(), MaxHolders);
  const auto End = Holders.begin() + static_cast<std::ptrdiff_t>(Count);
  std::nth_element(Holders.begin(), End, Holders.end(),
                   [](const Holder &Left, const Holder &Right) {
                     return std::pair(Left.Score, Left.Key) >
                            std::pair(Right.Score, Right.Key);
                   });
  double Total = 0;
  double Own = 0;
  for (auto It = Holders.begin(); It != End; ++It) {
    Total += It->Weight;
    if (It->Key == Self)
      Own = It->Weight;
  }
  return RequestRate(Total > 0 ? Rate.Value * Own / Total : 0);
}

double RateAllowance::availableAt(TimePoint Now) const {
  const double Elapsed = std::max(0.0, seconds(Now - RefilledAt));
  if (Share.Value <= 0)
    return std::max(std::min(Available, 0.0),
                    Available - UnheldDecay * Elapsed);
  const double Limit =
      1 + std::max(Share.Value * SavedSeconds,
                   std::min(Share.Value * SavedSecondsOfSmallShare,
                            MaxSavedOfSmallShare));
  return std::min(Limit, Available + Share.Value * Elapsed);
}

void RateAllowance::refill(TimePoint Now) {
  Available = availableAt(Now);
  RefilledAt = std::max(RefilledAt, Now);
}

void RateAllowance::setShare(RequestRate Next, TimePoint Now) {
  refill(Now);
  Share = Next;
}

TimePoint RateAllowance::startableFrom(TimePoint Now) const {
  const double Current = availableAt(Now);
  if (Share.Value <= 0)
    return TimePoint::max();
  // Rounding may leave an allowance just below a whole request.
  constexpr double Tolerance = 1e-6;
  if (Current >= 1 - Tolerance)
    return Now;
  return Now + std::chrono::ceil<Milliseconds>(
                   std::chrono::duration<double>((1 - Current) / Share.Value));
}

void RateAllowance::take(TimePoint Now) {
  refill(Now);
  Available -= 1;
}

void RateAllowance::giveBack(TimePoint Now) {
  refill(Now);
  Available += 1;
  refill(Now);
}

} // namespace mallowglade

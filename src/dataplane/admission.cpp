#include <mallowglade/detail/dataplane/admission.hpp>

#include <algorithm>
#include <vector>

namespace mallowglade::dataplane {

namespace {

/// Requests that may wait in one router; each holds its body in memory.
constexpr std::size_t MaxWaiting = 400;
/// Requests that find no room before the rest is not tried; each try looks at
/// all upstreams.
constexpr unsigned MaxFailuresInARow = 6;
/// A caller that comes back within its latency objective can still be served
/// on time; returns are spread, so that callers do not come together.
constexpr double EarliestReturn = 0.2;
constexpr double ReturnSpread = 0.3;
constexpr Milliseconds ReturnWhileStopping{50};

} // namespace

std::string_view toString(Refusal Reason) {
  switch (Reason) {
  case Refusal::ShareUsedUp:
    return "share_used_up";
  case Refusal::NoRoom:
    return "no_room";
  case Refusal::NoUpstream:
    return "no_upstream";
  case Refusal::QueueFull:
    return "queue_full";
  case Refusal::CredentialsNotFresh:
    return "credentials_not_fresh";
  case Refusal::Stopping:
    return "stopping";
  }
  return "no_room";
}

Admission::Admission(Placement &Places, FairShare &Shares, const Clock &Time,
                     RandomSource &Random)
    : Places(Places), Shares(Shares), Time(Time), Random(Random) {}

Milliseconds Admission::retryAfter(const Waiter &Of) {
  const auto Objective = static_cast<double>(Of.Query.LatencyObjective.count());
  const auto Spread = static_cast<std::uint64_t>(ReturnSpread * Objective) + 1;
  return Milliseconds(static_cast<std::int64_t>(
      EarliestReturn * Objective + static_cast<double>(Random.below(Spread))));
}

void Admission::submit(std::shared_ptr<Waiter> Request) {
  if (Stopped) {
    Request->refuse(Refusal::Stopping, ReturnWhileStopping);
    return;
  }
  if (!Places.anyUsable(Request->Query.Service)) {
    Request->refuse(Refusal::NoUpstream, retryAfter(*Request));
    return;
  }
  const bool Beyond = Request->HasWorkspace && !Request->Continues &&
                      !Shares.withinShare(Request->Who);
  if (Beyond) {
    const PlacementChoice Where = Places.choose(Request->Query);
    if (Where.Upstream != nullptr && Places.hasSpare(*Where.Upstream) &&
        (Places.isIdle(*Where.Upstream) || Shares.mayExceed(Request->Who))) {
      Shares.admitted(Request->Who, Request->ShareTokens);
      Request->place(Where);
      return;
    }
    Request->refuse(Refusal::ShareUsedUp, retryAfter(*Request));
    return;
  }
  if (Queue.empty() && tryPlace(*Request))
    return;
  if (Queue.size() >= MaxWaiting) {
    Request->refuse(Refusal::QueueFull, retryAfter(*Request));
    return;
  }
  Queue.push_back(std::move(Request));
  pump();
}

bool Admission::tryPlace(Waiter &Request) {
  const PlacementChoice Where = Places.choose(Request.Query);
  if (Where.Upstream == nullptr)
    return false;
  // The last part of the capacity is kept for the least served workspaces:
  // their requests may wait in another router while this one has none.
  const bool LeastServedFirst = Request.HasWorkspace && !Request.Continues &&
                                !Places.hasSpare(*Where.Upstream);
  if (LeastServedFirst && !Shares.mayExceed(Request.Who))
    return false;
  if (Request.HasWorkspace && !Request.Continues)
    Shares.admitted(Request.Who, Request.ShareTokens);
  Request.place(Where);
  return true;
}

bool Admission::precedes(const Waiter &Left, const Waiter &Right) const {
  if (Left.Continues != Right.Continues)
    return Left.Continues;
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  return Left.Arrived < Right.Arrived;
}

void Admission::pump() {
  if (Pumping || Queue.empty())
    return;
  Pumping = true;
  struct Ranked {
    double Fill;
    std::shared_ptr<Waiter> Request;
  };
  std::vector<Ranked> Order;
  Order.reserve(Queue.size());
  for (const auto &Each : Queue)
    Order.push_back(
        {Each->HasWorkspace && !Each->Continues ? Shares.fillOf(Each->Who) : 0,
         Each});
  std::stable_sort(Order.begin(), Order.end(),
                   [this](const Ranked &Left, const Ranked &Right) {
                     if (Left.Fill != Right.Fill)
                       return Left.Fill < Right.Fill;
                     return precedes(*Left.Request, *Right.Request);
                   });
  unsigned Failures = 0;
  for (const Ranked &Next : Order) {
    if (Failures >= MaxFailuresInARow)
      break;
    const auto At = std::find(Queue.begin(), Queue.end(), Next.Request);
    if (At == Queue.end())
      continue;
    const auto Position = Queue.erase(At);
    if (tryPlace(*Next.Request)) {
      Failures = 0;
      continue;
    }
    ++Failures;
    Queue.insert(Position, Next.Request);
  }
  Pumping = false;
}

void Admission::withdraw(const Waiter *Request) {
  Queue.remove_if(
      [Request](const auto &Each) { return Each.get() == Request; });
}

void Admission::expire() {
  const TimePoint Now = Time.now();
  std::vector<std::shared_ptr<Waiter>> Late;
  for (auto At = Queue.begin(); At != Queue.end();) {
    if ((*At)->GiveUpAt > Now) {
      ++At;
      continue;
    }
    Late.push_back(std::move(*At));
    At = Queue.erase(At);
  }
  for (const auto &Each : Late)
    Each->refuse(Refusal::NoRoom, retryAfter(*Each));
}

void Admission::stop() {
  Stopped = true;
  const auto All = std::move(Queue);
  Queue.clear();
  for (const auto &Each : All)
    Each->refuse(Refusal::Stopping, ReturnWhileStopping);
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/dataplane/admission.hpp>

#include <algorithm>
#include <vector>

namespace mallowglade::dataplane {

namespace {

/// Requests that may wait in one router; each holds its body in memory.
constexpr std::size_t MaxWaiting = 400;
/// Callers told to come back are spread over this much time, so that they do
/// not return together.
constexpr Milliseconds RetrySpread{1'000};
constexpr Milliseconds ShortRetry{300};
/// Time after which a used-up share has room again: half its window.
constexpr Milliseconds ShareRetry = FairShare::Window / 2;

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

Milliseconds Admission::retryAfter(Refusal Reason) {
  const Milliseconds Base =
      Reason == Refusal::ShareUsedUp ? ShareRetry : ShortRetry;
  return Base + Milliseconds(Random.below(
                    static_cast<std::uint64_t>(RetrySpread.count())));
}

void Admission::submit(std::shared_ptr<Waiter> Request) {
  if (Stopped) {
    Request->refuse(Refusal::Stopping, ShortRetry);
    return;
  }
  if (!Places.anyUsable(Request->Query.Service)) {
    Request->refuse(Refusal::NoUpstream, retryAfter(Refusal::NoUpstream));
    return;
  }
  const bool Beyond = Request->HasWorkspace && !Request->Continues &&
                      !Shares.withinShare(Request->Who);
  if (Beyond) {
    const PlacementChoice Where = Places.choose(Request->Query);
    if (Where.Upstream != nullptr && Places.hasSpare(*Where.Upstream) &&
        Shares.mayExceed(Request->Who)) {
      Shares.admitted(Request->Who, Request->ShareTokens);
      Request->place(Where);
      return;
    }
    Request->refuse(Refusal::ShareUsedUp, retryAfter(Refusal::ShareUsedUp));
    return;
  }
  if (Queue.empty() && tryPlace(*Request))
    return;
  if (Queue.size() >= MaxWaiting) {
    Request->refuse(Refusal::QueueFull, retryAfter(Refusal::QueueFull));
    return;
  }
  Queue.push_back(std::move(Request));
  pump();
}

bool Admission::tryPlace(Waiter &Request) {
  const PlacementChoice Where = Places.choose(Request.Query);
  if (Where.Upstream == nullptr)
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
  for (const Ranked &Next : Order) {
    const auto At = std::find(Queue.begin(), Queue.end(), Next.Request);
    if (At == Queue.end())
      continue;
    const auto Position = Queue.erase(At);
    if (!tryPlace(*Next.Request))
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
    Each->refuse(Refusal::NoRoom, retryAfter(Refusal::NoRoom));
}

void Admission::stop() {
  Stopped = true;
  const auto All = std::move(Queue);
  Queue.clear();
  for (const auto &Each : All)
    Each->refuse(Refusal::Stopping, ShortRetry);
}

} // namespace mallowglade::dataplane

#include <mallowglade/detail/router/local_dispatcher.hpp>

#include <mallowglade/detail/router/member_service.hpp>
#include <mallowglade/detail/router/settings_service.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr Milliseconds DefaultRetryAfter{1'000};

} // namespace

LocalDispatcher::LocalDispatcher(RouterContext Context, LocalPolicy Policy)
    : Context(Context), Policy(Policy), Random(systemSeed()) {}

bool LocalDispatcher::refuseByLimits(const DispatchRequest &Request,
                                     const Reply &Done) const {
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  const auto Workspace = Tree->Workspaces.find(Request.Workspace);
  if (Workspace == Tree->Workspaces.end()) {
    Done(Refusal{{ErrorId::Unauthenticated, "the workspace is gone", ""}, {}});
    return true;
  }
  const auto Waiting = std::count_if(
      Queue.begin(), Queue.end(), [&Request](const struct Waiting &Other) {
        return Other.Request.Workspace == Request.Workspace;
      });
  const std::uint32_t Limit = Workspace->second.Limits.QueueLength;
  if (Waiting < static_cast<std::ptrdiff_t>(Limit))
    return false;
  Done(Refusal{{ErrorId::QueueFull, "the workspace's queue is full", ""},
               DefaultRetryAfter});
  return true;
}

void LocalDispatcher::enqueue(DispatchRequest Request, Reply Done) {
  if (refuseByLimits(Request, Done))
    return;
  Queue.push_back({std::move(Request), std::move(Done), Context.Time.now()});
  assignAll();
}

bool LocalDispatcher::cancel(const RequestId &Request) {
  const auto Removed = std::erase_if(
      Queue, [&](const Waiting &Entry) { return Entry.Request.Id == Request; });
  return Removed > 0;
}

void LocalDispatcher::progress(const RequestId &, const Assignment &,
                               const AttemptProgress &) {}

void LocalDispatcher::finish(const RequestId &, const Assignment &Where,
                             AttemptEnd, const AttemptProgress &) {
  auto &Running = InFlight[Where.Upstream];
  if (Running > 0)
    --Running;
  assignAll();
}

void LocalDispatcher::tick() {
  refuseExpired();
  assignAll();
}

void LocalDispatcher::refuseExpired() {
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  std::deque<Waiting> Kept;
  for (Waiting &Entry : Queue) {
    const auto Workspace = Tree->Workspaces.find(Entry.Request.Workspace);
    const bool Expired =
        Workspace == Tree->Workspaces.end() ||
        Context.Time.now() - Entry.Since >= Workspace->second.Limits.QueueTime;
    if (Expired)
      Entry.Done(
          Refusal{{ErrorId::QueueTimeout, "no upstream was free in time", ""},
                  DefaultRetryAfter});
    else
      Kept.push_back(std::move(Entry));
  }
  Queue = std::move(Kept);
}

void LocalDispatcher::assignAll() {
  while (assignOne()) {
  }
}

bool LocalDispatcher::assignOne() {
  auto Best = Queue.end();
  std::optional<Upstream> Target;
  for (auto Entry = Queue.begin(); Entry != Queue.end(); ++Entry) {
    const bool Earlier =
        Best == Queue.end() || (Policy == LocalPolicy::Split &&
                                VirtualTime[Entry->Request.Workspace] <
                                    VirtualTime[Best->Request.Workspace]);
    if (!Earlier)
      continue;
    const std::optional<Upstream> Candidate = choose(Entry->Request);
    if (!Candidate)
      continue;
    Best = Entry;
    Target = Candidate;
  }
  if (!Target)
    return false;
  Waiting Chosen = std::move(*Best);
  Queue.erase(Best);
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  const double Weight =
      Tree->Workspaces.at(Chosen.Request.Workspace).Weight.Value;
  VirtualTime[Chosen.Request.Workspace] += Chosen.Request.Hint.Value / Weight;
  ++InFlight[Target->Id];
  Assignment Where;
  Where.Grant = GrantId(NextGrant++);
  Where.Upstream = Target->Id;
  Where.Address = Target->Address;
  Chosen.Done(Where);
  return true;
}

std::optional<Upstream>
LocalDispatcher::choose(const DispatchRequest &Request) {
  const auto Directory =
      Context.Services.find<UpstreamDirectory>(service_name::Upstreams);
  std::vector<Upstream> Candidates = Directory->available(Request.Pool);
  std::vector<Upstream> Untried;
  for (const Upstream &Candidate : Candidates) {
    const auto Failed =
        std::find(Request.Avoid.begin(), Request.Avoid.end(), Candidate.Id);
    if (Failed == Request.Avoid.end())
      Untried.push_back(Candidate);
  }
  if (!Untried.empty())
    Candidates = std::move(Untried);
  if (Candidates.empty())
    return std::nullopt;
  if (Policy == LocalPolicy::Random)
    return Candidates[Random.below(Candidates.size())];
  const auto Least =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [this](const Upstream &Left, const Upstream &Right) {
                         return InFlight[Left.Id] < InFlight[Right.Id];
                       });
  if (InFlight[Least->Id] >= limitOf(*Least))
    return std::nullopt;
  return *Least;
}

std::uint32_t LocalDispatcher::limitOf(const Upstream &Candidate) const {
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  const PoolSettings *Pool = findPool(*Tree, Candidate.Pool);
  std::uint32_t Limit = Pool == nullptr ? 1 : Pool->MaxInFlight;
  if (Candidate.MaxInFlight > 0)
    Limit = std::min(Limit, Candidate.MaxInFlight);
  const auto Routers = static_cast<std::uint32_t>(
      Context.Services.find<MemberService>(service_name::Members)
          ->registeredCount());
  return std::max(1U, Limit / std::max(1U, Routers));
}

} // namespace mallowglade

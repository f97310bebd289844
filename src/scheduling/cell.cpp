#include <mallowglade/detail/scheduling/cell.hpp>

#include <algorithm>

namespace mallowglade {

namespace {

constexpr Milliseconds AllotmentPeriod{1'000};
constexpr double RateMemory = 0.5;
constexpr double ForgottenRate = 1e-3;
/// Part of each limit that is split equally, so that a router with little
/// traffic can accept a burst.
constexpr double EqualPart = 0.1;
/// Requests of one workspace that are tried if the first cannot be placed.
constexpr std::size_t PlacementTries = 4;
constexpr int OwnerTagBits = 32;
constexpr Milliseconds ReportStaleness{250};
constexpr double MillisPerSecond = 1'000;

} // namespace

Cell::Cell(CellSettings Settings, std::uint32_t OwnerTag, TimePoint Now,
           PlacementGuard *Guard)
    : Settings(std::move(Settings)), OwnerTag(OwnerTag), Guard(Guard),
      Replicas(this->Settings.Replica), MembersChanged(Now),
      LastAllotment(Now) {}

void Cell::configure(CellSettings Updated) {
  Settings = std::move(Updated);
  Replicas.configure(Settings.Replica);
}

void Cell::setWorkspaces(const std::vector<WorkspaceTerms> &Updated) {
  Queue.configure(Updated);
  Limited.clear();
  for (const WorkspaceTerms &Stated : Updated)
    if (Stated.Concurrency > 0)
      Limited.push_back(Stated);
  updatePart();
}

void Cell::setMembers(const std::vector<CellMember> &Heard,
                      std::size_t RegisteredRouters, TimePoint Now) {
  std::size_t Joined = 0;
  for (const CellMember &Member : Heard)
    Joined += router(Member.Id).Alive ? 0 : 1;
  if (Joined > 0)
    MembersChanged = Now;
  for (auto &[Id, Known] : Routers)
    Known.Alive = false;
  for (const CellMember &Member : Heard) {
    RouterEntry &Known = router(Member.Id);
    Known.Alive = true;
    Known.Zone = Member.Zone;
  }
  for (auto &[Id, Known] : Routers)
    if (!Known.Alive)
      removeRouter(Known);
  Registered = std::max(Heard.size(), RegisteredRouters);
  updatePart();
  PartDue = true;
}

void Cell::addPart(TimePoint Now) {
  if (!PartDue || !allReported(Now))
    return;
  PartDue = false;
  for (auto &[Id, Known] : Routers)
    Known.Counted = Known.Alive && Known.Reported;
  updatePart();
}

bool Cell::allReported(TimePoint Now) const {
  if (Now - MembersChanged >= Settings.RebuildWait)
    return true;
  return std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
    return !Entry.second.Alive || Entry.second.Reported;
  });
}

void Cell::updatePart() {
  // A live router counts once it has reported: until then it may hold slots
  // that another owner granted.
  const auto Heard =
      std::count_if(Routers.begin(), Routers.end(), [](const auto &Entry) {
        return Entry.second.Alive && Entry.second.Reported;
      });
  const FleetPart Part{static_cast<std::size_t>(Heard), Registered};
  Replicas.setPart(Part);
  std::vector<WorkspaceTerms> Mine = Limited;
  // A limit that rounds down to nothing would stop the workspace on this side.
  for (WorkspaceTerms &Stated : Mine)
    Stated.Concurrency = std::max(1U, Part.of(Stated.Concurrency));
  Queue.configure(Mine);
}

void Cell::setReplicas(const std::vector<ReplicaInfo> &List) {
  Replicas.update(List);
}

bool Cell::ready(TimePoint Now) const { return Rebuilt || allReported(Now); }

std::vector<CellAction> Cell::decide(TimePoint Now) {
  std::vector<CellAction> Actions;
  expireGrants(Now);
  dropSilent(Now);
  repeatGrants(Now, Actions);
  addPart(Now);
  askForReports(Actions);
  if (ready(Now)) {
    finishRebuild();
    while (grantOne(Now, Actions)) {
    }
  }
  Replicas.adjust(Now);
  allot(Now, Actions);
  return Actions;
}

void Cell::finishRebuild() {
  if (Rebuilt)
    return;
  Rebuilt = true;
  Replicas.assumeLost();
  // Nothing was charged so far, so that all virtual times are equal. The lags
  // that the former owner told the routers restore their differences.
  for (auto &[Id, Entry] : Queue.all())
    if (Entry.Backlogged && Entry.ReportedLag > 0)
      Queue.charge(Entry, Entry.ReportedLag, Share(1), Entry.Time.lifts());
}

bool Cell::grantOne(TimePoint Now, std::vector<CellAction> &Actions) {
  if (Queue.order().empty())
    return false;
  Replicas.markSaturated();
  if (!Replicas.anyFree())
    return false;
  for (const auto &[Key, Entry] : Queue.order())
    if (grantTo(*Entry, Now, Actions))
      return true;
  return false;
}

bool Cell::grantTo(WorkspaceEntry &Entry, TimePoint Now,
                   std::vector<CellAction> &Actions) {
  std::size_t Tries = 0;
  for (auto &[Key, Item] : Entry.Waiting) {
    if (++Tries > PlacementTries)
      break;
    RouterEntry &To = *RouterByIndex[Key.Router];
    Replica *Where = Replicas.choose(Item, To.Zone, Guard);
    if (Where == nullptr)
      continue;
    const QueuedItem Chosen = Item;
    Entry.Waiting.erase(Key);
    issue(Entry, To, Chosen, *Where, Now, Actions);
    return true;
  }
  return false;
}

double Cell::estimate(const WorkspaceEntry &Entry, double Hint) const {
  return std::clamp(std::max(1.0, Hint) * Entry.Correction, 1.0,
                    std::max(1.0, Settings.MaxRequestUnits));
}

void Cell::issue(WorkspaceEntry &Entry, RouterEntry &To, const QueuedItem &Item,
                 Replica &Where, TimePoint Now,
                 std::vector<CellAction> &Actions) {
  const GrantId Id((static_cast<std::uint64_t>(OwnerTag) << OwnerTagBits) |
                   NextGrant++);
  Issued &Granted = Grants[Id];
  Granted.Router = To.Id;
  Granted.Session = To.Session;
  Granted.Basis = To.LatestSequence;
  Granted.Request = Item.Id;
  Granted.Workspace = &Entry;
  Granted.Upstream = Where.Info.Id;
  Granted.Print = Item.Print;
  Granted.Weight = Entry.Weight;
  Granted.Lifts = Entry.Time.lifts();
  Granted.Hint = std::max(1.0, Item.Hint.Value);
  Granted.At = Now;
  To.Granted.insert(Item.Id);
  To.Grants.insert(Id);
  Unconfirmed.emplace_back(Now, Id);
  Replicas.acquire(Where, Item.PrefixHash, Now);
  if (Guard != nullptr)
    Guard->dispatched(Id, Item.Print, Where.Info.Id);
  Demand &Wanted = To.Wanted[Entry.Id];
  Wanted.Remaining -= std::min<std::uint64_t>(1, Wanted.Remaining);
  Entry.Remaining -= std::min<std::uint64_t>(1, Entry.Remaining);
  ++Entry.InFlight;
  setCharge(Granted, estimate(Entry, Item.Hint.Value), 0);
  ++Counters.Grants;
  Actions.push_back(Outgoing<Grant>{To.Id, messageOf(Id, Granted)});
}

Grant Cell::messageOf(GrantId Id, const Issued &Granted) const {
  Grant Message;
  Message.Cell = Settings.Id;
  Message.Id = Id;
  Message.Session = Granted.Session;
  Message.Basis = Granted.Basis;
  Message.Request = Granted.Request;
  Message.Workspace = Granted.Workspace->Id;
  Message.Upstream = Granted.Upstream;
  Message.Address = Replicas.all().at(Granted.Upstream).Info.Address;
  Message.Charge = ServiceUnits(Granted.Charged);
  return Message;
}

void Cell::updateRates() {
  for (auto &[Id, From] : Routers)
    for (auto &[Workspace, Wanted] : From.Wanted) {
      const double New = Wanted.Arrivals - Wanted.ArrivalsBefore;
      Wanted.ArrivalsBefore = Wanted.Arrivals;
      Wanted.Rate = RateMemory * Wanted.Rate + (1 - RateMemory) * New;
      if (Wanted.Rate < ForgottenRate)
        Wanted.Rate = 0;
    }
}

std::map<WorkspaceId, Cell::RateSum> Cell::sumRates() const {
  std::map<WorkspaceId, RateSum> Sums;
  for (const auto &[Id, From] : Routers)
    for (const auto &[Workspace, Wanted] : From.Wanted) {
      if (Wanted.Rate == 0)
        continue;
      RateSum &Sum = Sums[Workspace];
      Sum.Rate += Wanted.Rate;
      ++Sum.Routers;
    }
  return Sums;
}

Allotment Cell::allotmentFor(const RouterEntry &To,
                             const std::map<WorkspaceId, RateSum> &Sums) const {
  Allotment Message{Settings.Id, To.Session, {}};
  const FleetPart &Fleet = Replicas.part();
  const double Part =
      std::min(1.0, Fleet.Heard / static_cast<double>(Fleet.Registered));
  for (const auto &[Id, Wanted] : To.Wanted) {
    if (Wanted.Rate == 0)
      continue;
    const RateSum &Sum = Sums.at(Id);
    const double Proportional = Wanted.Rate / Sum.Rate;
    WorkspaceAllotment Entry;
    Entry.Workspace = Id;
    Entry.Fraction =
        Part * (EqualPart / Sum.Routers + (1 - EqualPart) * Proportional);
    const auto Known = Queue.all().find(Id);
    if (Known != Queue.all().end() && Known->second.Backlogged)
      Entry.Lag = Known->second.Time.value() - Queue.level();
    Message.Workspaces.push_back(std::move(Entry));
  }
  return Message;
}

void Cell::askForReports(std::vector<CellAction> &Actions) {
  for (auto &[Id, From] : Routers) {
    if (!From.FullWanted)
      continue;
    From.FullWanted = false;
    Actions.push_back(Outgoing<Allotment>{Id, {Settings.Id, Epoch(0), {}}});
  }
}

void Cell::allot(TimePoint Now, std::vector<CellAction> &Actions) {
  const bool Periodic = Now - LastAllotment >= AllotmentPeriod;
  if (Periodic) {
    LastAllotment = Now;
    updateRates();
  }
  const bool Any = Periodic || std::any_of(Routers.begin(), Routers.end(),
                                           [](const auto &E) {
                                             return E.second.AllotmentDue;
                                           });
  if (!Any)
    return;
  const std::map<WorkspaceId, RateSum> Sums = sumRates();
  for (auto &[Id, To] : Routers) {
    if (!To.Reported || !To.Alive || !(Periodic || To.AllotmentDue))
      continue;
    To.AllotmentDue = false;
    Actions.push_back(Outgoing<Allotment>{Id, allotmentFor(To, Sums)});
  }
}

double Cell::bound() const {
  BoundTerms Terms;
  Terms.LargestRequest = LargestRequest;
  Terms.Staleness = ReportStaleness;
  if (FastestToken.count() > 0)
    Terms.SlotRate =
        Settings.OutputWeight * MillisPerSecond / FastestToken.count();
  double First = 0;
  double Second = 0;
  const std::uint32_t Capacity = Replicas.capacity();
  for (const auto &[Key, Entry] : Queue.order()) {
    const std::uint32_t Slots = Entry->Concurrency == 0
                                    ? Capacity
                                    : std::min(Capacity, Entry->Concurrency);
    const double Part = boundPart(Terms, Slots, Entry->Weight);
    Second = std::max(Second, std::min(First, Part));
    First = std::max(First, Part);
  }
  return First + Second;
}

CellStatus Cell::status(TimePoint Now) const {
  CellStatus Status;
  Status.Ready = ready(Now);
  Status.RoutersHeard = Replicas.part().Heard;
  Status.RoutersRegistered = Replicas.part().Registered;
  Status.Capacity = Replicas.capacity();
  Status.InFlight = Replicas.inFlight();
  Status.Gap = Queue.gap();
  Status.Bound = bound();
  Status.Counters = Counters;
  for (const auto &[Id, Entry] : Queue.all()) {
    Status.Waiting += Entry.Remaining;
    Status.Workspaces.push_back(
        {Id, Entry.Weight, Entry.Remaining, Entry.InFlight, Entry.Backlogged,
         Entry.Time.value(), Entry.Served, Entry.Correction});
  }
  for (const auto &[Id, Known] : Replicas.all())
    Status.Replicas.push_back({Id, Known.Limit.value(),
                               Known.usable(Replicas.part()), Known.Own,
                               Known.foreign(Replicas.part())});
  return Status;
}

} // namespace mallowglade

#include <mallowglade/detail/scheduling/demand_book.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade {

namespace {

/// Allotments are renewed each second; two may be lost.
constexpr Milliseconds AllotmentLife{3'000};
constexpr Milliseconds GrantLife{2'000};
constexpr Milliseconds QueueRetryAfter{1'000};
/// Room for one second of the allotted rate.
constexpr double BurstSeconds = 1;

} // namespace

DemandBook::DemandBook(CellId Cell, Epoch First)
    : Cell(std::move(Cell)), Session(First) {}

void DemandBook::configure(const std::vector<QueueTerms> &Updated,
                           std::size_t RegisteredRouters) {
  Terms.clear();
  for (const QueueTerms &Stated : Updated)
    Terms[Stated.Id] = Stated;
  Registered = std::max<std::size_t>(1, RegisteredRouters);
}

void DemandBook::beginSession() {
  Session += Epoch(1);
  Answered = false;
  LastFull.reset();
}

double DemandBook::fractionOf(const WorkspaceBook &Book, TimePoint Now) const {
  if (Book.FractionAt && Now - *Book.FractionAt < AllotmentLife)
    return Book.Fraction;
  return 1.0 / static_cast<double>(Registered);
}

std::optional<RefusedRequest>
DemandBook::checkLimits(WorkspaceBook &Book, const BookRequest &Request,
                        TimePoint Now) {
  const auto Found = Terms.find(Request.Workspace);
  if (Found == Terms.end())
    return std::nullopt;
  const QueueTerms &Limits = Found->second;
  const double Fraction = fractionOf(Book, Now);
  const double Rate = Limits.RequestsPerSecond * Fraction;
  const double UnitRate = Limits.UnitsPerSecond * Fraction;
  Book.Requests.refill(Rate, std::max(1.0, Rate * BurstSeconds), Now);
  Book.Units.refill(UnitRate, std::max(1.0, UnitRate * BurstSeconds), Now);
  const double Room = std::max(1.0, std::floor(Limits.QueueLength * Fraction));
  if (Limits.QueueLength > 0 && Book.Queue.size() >= Room)
    return RefusedRequest{
        Request.Id,
        {ErrorId::QueueFull, "the workspace's queue is full", ""},
        QueueRetryAfter};
  if (Rate > 0 && Book.Requests.level() < 1)
    return RefusedRequest{
        Request.Id,
        {ErrorId::RateLimited, "the workspace's request rate is used up", ""},
        Book.Requests.waitFor(1, Rate)};
  if (UnitRate > 0 && Book.Units.level() <= 0)
    return RefusedRequest{
        Request.Id,
        {ErrorId::RateLimited, "the workspace's service rate is used up", ""},
        Book.Units.waitFor(1, UnitRate)};
  Book.Requests.take(1);
  Book.Units.take(Request.Hint.Value);
  return std::nullopt;
}

std::optional<RefusedRequest> DemandBook::enqueue(BookRequest Request,
                                                  TimePoint Now) {
  WorkspaceBook &Book = Books[Request.Workspace];
  if (!Request.Retry) {
    ++Book.Arrivals;
    if (auto Refused = checkLimits(Book, Request, Now))
      return Refused;
  }
  const Ticket Id = NextTicket;
  NextTicket += Ticket(1);
  Where[Request.Id] = {Request.Workspace, Id};
  Changed.insert(Request.Workspace);
  Book.Queue.emplace(Id, Waiting{std::move(Request), Now});
  return std::nullopt;
}

bool DemandBook::cancel(const RequestId &Request) {
  const auto Found = Where.find(Request);
  if (Found == Where.end())
    return false;
  const auto &[Workspace, Id] = Found->second;
  Books[Workspace].Queue.erase(Id);
  Changed.insert(Workspace);
  Where.erase(Found);
  return true;
}

bool DemandBook::fresh(std::uint64_t Basis, TimePoint Now) const {
  const auto Found = std::lower_bound(
      Sent.begin(), Sent.end(), Basis,
      [](const auto &Entry, std::uint64_t Key) { return Entry.first < Key; });
  return Found != Sent.end() && Found->first == Basis &&
         Now - Found->second < GrantLife;
}

GrantOutcome DemandBook::receive(const Grant &Offer, TimePoint Now) {
  if (Held.contains(Offer.Id) || EndedIds.contains(Offer.Id))
    return std::monostate{};
  if (Offer.Session != Session)
    return GrantReturn{Cell, Offer.Id, ReturnReason::WrongEpoch};
  Answered = true;
  if (!fresh(Offer.Basis, Now))
    return GrantReturn{Cell, Offer.Id, ReturnReason::Expired};
  WorkspaceBook &Book = Books[Offer.Workspace];
  if (!Book.Queue.contains(Offer.Request))
    return GrantReturn{Cell, Offer.Id, ReturnReason::NoRequest};
  return accept(Offer, Book, Now);
}

GrantOutcome DemandBook::accept(const Grant &Offer, WorkspaceBook &Book,
                                TimePoint Now) {
  const auto Found = Book.Queue.find(Offer.Request);
  const BookRequest &Request = Found->second.Request;
  Running Started;
  Started.Workspace = Offer.Workspace;
  Started.Upstream = Offer.Upstream;
  Started.Print = Request.Print;
  Started.Hint = Request.Hint.Value;
  Started.Charge = Offer.Charge;
  Started.Started = Now;
  Started.State.Grant = Offer.Id;
  Held.emplace(Offer.Id, Started);
  Accepted.push_back(Offer.Id);
  Changed.insert(Offer.Workspace);
  const RequestId Id = Request.Id;
  Where.erase(Id);
  Book.Queue.erase(Found);
  return DispatchNow{Id, Offer.Id, Offer.Upstream, Offer.Address};
}

void DemandBook::receive(const Allotment &Rates, TimePoint Now) {
  if (Rates.Session == Epoch(0)) {
    Answered = false;
    return;
  }
  if (Rates.Session != Session)
    return;
  Answered = true;
  for (const WorkspaceAllotment &Entry : Rates.Workspaces) {
    WorkspaceBook &Book = Books[Entry.Workspace];
    Book.Fraction = Entry.Fraction;
    Book.FractionAt = Now;
    Book.Lag = Entry.Lag;
  }
}

void DemandBook::addService(Running &Entry, double Served) {
  const double Added = Served - Entry.State.Served.Value;
  if (Added <= 0)
    return;
  Entry.State.Served = ServiceUnits(Served);
  Books[Entry.Workspace].Served += Added;
}

void DemandBook::progress(const GrantProgress &State) {
  const auto Found = Held.find(State.Grant);
  if (Found == Held.end())
    return;
  addService(Found->second, State.Served.Value);
  Found->second.State.FirstToken = State.FirstToken;
  Found->second.State.InterToken = State.InterToken;
}

std::optional<Completion> DemandBook::finish(Completion Done, TimePoint Now) {
  const auto Found = Held.find(Done.Grant);
  if (Found == Held.end())
    return std::nullopt;
  Running &Entry = Found->second;
  addService(Entry, Done.Served.Value);
  Books[Entry.Workspace].Units.take(Done.Served.Value - Entry.Hint);
  Done.Cell = Cell;
  Done.Upstream = Entry.Upstream;
  Held.erase(Found);
  EndedIds.insert(Done.Grant);
  Ended.push_back({Now, Done});
  return Done;
}

std::vector<RefusedRequest> DemandBook::expire(TimePoint Now) {
  std::vector<RefusedRequest> Refused;
  for (auto &[Id, Book] : Books) {
    const auto Limits = Terms.find(Id);
    // A workspace that left the settings gets its answers at once.
    const bool Known = Limits != Terms.end();
    const Milliseconds Longest =
        Known ? Limits->second.QueueTime : Milliseconds(1);
    const bool Unlimited = Known && Longest.count() == 0;
    while (!Unlimited && !Book.Queue.empty() &&
           Now - Book.Queue.begin()->second.Since >= Longest) {
      const RequestId Request = Book.Queue.begin()->second.Request.Id;
      Refused.push_back(
          {Request,
           {ErrorId::QueueTimeout, "no upstream was free in time", ""},
           QueueRetryAfter});
      cancel(Request);
    }
  }
  return Refused;
}

} // namespace mallowglade

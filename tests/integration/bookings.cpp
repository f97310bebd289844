#include <bookings.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fleet {

namespace {

constexpr int DoubleBookingPeriod = 4;

std::string outcomeOf(const Reply &Received) {
  if (Received.NotSent)
    return "not_sent";
  if (Received.Status >= 200 && Received.Status < 300)
    return "answered";
  const json Problem = Received.document();
  // A connection that ends without a verdict leaves the outcome open.
  return Problem.is_object() ? Problem.value("outcome", "unknown") : "unknown";
}

} // namespace

Bookings::Bookings(std::vector<std::string> Routers, std::string Workspace)
    : Routers(std::move(Routers)), Workspace(std::move(Workspace)) {}

Bookings::~Bookings() { stop(); }

std::string Bookings::book(const std::string &Key, std::size_t Router) {
  Call Wanted =
      chatCall(Routers[Router % Routers.size()], Workspace, {{"booking", Key}});
  Wanted.Path = "/desk/bookings";
  const std::string Request = fmt::format("{}-r{}", Key, ++NextRequest);
  Wanted.Headers.emplace("Idempotency-Key", Key);
  Wanted.Headers.emplace("X-Request-Id", Request);
  const bool AnsweredBefore = wasAnswered(Key);
  const Reply Received = send(Wanted);
  std::string Outcome = outcomeOf(Received);
  bool Wrong = false;
  if (Outcome == "answered") {
    const json Answer = Received.document();
    Wrong = !Answer.is_object() || Answer.value("key", "") != Key ||
            Answer.value("execution", 0) != 1;
  }
  record(Key, Request, Outcome, Wrong, AnsweredBefore);
  return Outcome;
}

void Bookings::bookEverywhere(const std::string &Key) {
  std::vector<std::jthread> Senders;
  Senders.reserve(Routers.size());
  for (std::size_t I = 0; I < Routers.size(); ++I)
    Senders.emplace_back([this, Key, I] { book(Key, I); });
}

bool Bookings::wasAnswered(const std::string &Key) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Keys.find(Key);
  return Found != Keys.end() && Found->second.Answered > 0;
}

void Bookings::record(const std::string &Key, const std::string &Request,
                      const std::string &Outcome, bool Wrong,
                      bool AnsweredBefore) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Told &Entry = Keys[Key];
  Entry.Wrong |= Wrong;
  if (Outcome == "answered")
    ++Entry.Answered;
  else if (Outcome == "not_run")
    ++Entry.NotRun;
  else if (Outcome == "unknown")
    ++Entry.Unknown;
  if (Outcome != "not_run")
    return;
  Entry.NotRunRequests.push_back(Request);
  Entry.NotRunAfterAnswer |= AnsweredBefore;
}

void Bookings::start(int Clients, Milliseconds Pause) {
  Threads.reserve(static_cast<std::size_t>(Clients));
  for (int Number = 0; Number < Clients; ++Number)
    Threads.emplace_back([this, Number, Pause] { runClient(Number, Pause); });
}

void Bookings::stop() {
  Stopping = true;
  Threads.clear();
}

void Bookings::runClient(int Number, Milliseconds Pause) {
  for (int Turn = 0; !Stopping; ++Turn) {
    const std::string Key = fmt::format("client-{}-turn-{}", Number, Turn);
    const auto Router =
        static_cast<std::size_t>(Number) + static_cast<std::size_t>(Turn);
    if (Turn % DoubleBookingPeriod == 0) {
      std::jthread Second([this, &Key, Router] { book(Key, Router + 1); });
      book(Key, Router);
    } else {
      book(Key, Router);
    }
    std::this_thread::sleep_for(Pause);
  }
}

int Bookings::Executions::ofKey(const std::string &Key) const {
  const auto Found = Keys.find(Key);
  return Found == Keys.end() ? 0 : Found->second;
}

bool Bookings::Executions::anyRan(const std::vector<std::string> &Ids) const {
  return std::any_of(Ids.begin(), Ids.end(), [this](const std::string &Id) {
    return Requests.contains(Id);
  });
}

Bookings::Executions Bookings::executions(const std::vector<Node *> &Services) {
  Executions Ran;
  for (const Node *Service : Services) {
    const json Seen = get(Service->Address, "/executions").document();
    for (const auto &[Key, Count] : Seen["keys"].items())
      Ran.Keys[Key] += Count.get<int>();
    for (const auto &[Id, Count] : Seen["requests"].items())
      Ran.Requests[Id] += Count.get<int>();
  }
  return Ran;
}

bool Bookings::isFalseNotRun(const Told &Entry, const Executions &Ran) {
  return Entry.NotRunAfterAnswer || Ran.anyRan(Entry.NotRunRequests);
}

BookingReport Bookings::report(const std::vector<Node *> &Services) const {
  const Executions Seen = executions(Services);
  const std::lock_guard<std::mutex> Lock(Mutex);
  BookingReport Sum;
  for (const auto &[Key, Entry] : Keys) {
    const int Ran = Seen.ofKey(Key);
    Sum.Requests += Entry.Answered + Entry.NotRun + Entry.Unknown;
    Sum.Answered += Entry.Answered;
    Sum.NotRun += Entry.NotRun;
    Sum.Unknown += Entry.Unknown;
    Sum.Wrong += Entry.Wrong || (Entry.Answered > 0 && Ran == 0) ? 1 : 0;
    Sum.DoubleRuns += Ran > 1 ? 1 : 0;
    Sum.FalseNotRun += isFalseNotRun(Entry, Seen) ? 1 : 0;
  }
  return Sum;
}

std::string Bookings::faults(const std::vector<Node *> &Services) const {
  const Executions Seen = executions(Services);
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::string Text;
  for (const auto &[Key, Entry] : Keys) {
    const int Ran = Seen.ofKey(Key);
    const bool Broken = Ran > 1 || Entry.Wrong || isFalseNotRun(Entry, Seen);
    if (Broken)
      Text +=
          fmt::format("{}: ran {}, answered {}, not_run {}, unknown {}\n", Key,
                      Ran, Entry.Answered, Entry.NotRun, Entry.Unknown);
  }
  return Text;
}

} // namespace fleet

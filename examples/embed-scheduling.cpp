// Embeds the fair scheduler in a program of its own: one cell, one router's
// queue, one replica with two slots and two workspaces with shares 3 and 1.
// Prints the order in which the requests get their slots.

#include <mallowglade/scheduling.hpp>

#include <fmt/format.h>

using namespace mallowglade;

namespace {

constexpr int RequestsPerWorkspace = 4;
constexpr double UnitsPerRequest = 100;
const RouterId Self("10.0.0.1:9000");

void enqueueAll(DemandQueue &Queue, TimePoint Now) {
  for (const char *Name : {"line-plan", "quote"})
    for (int I = 1; I <= RequestsPerWorkspace; ++I) {
      QueueRequest Request;
      Request.Id = RequestId(fmt::format("{}-{}", Name, I));
      Request.Workspace = WorkspaceId(Name);
      Request.Hint = ServiceUnits(UnitsPerRequest);
      Queue.enqueue(Request, Now);
    }
}

void setUp(Cell &Owner, DemandQueue &Queue, TimePoint Now) {
  Owner.setWorkspaces({{WorkspaceId("line-plan"), Share(3), 0},
                       {WorkspaceId("quote"), Share(1), 0}});
  Owner.setMembers({{Self, ZoneId("a")}}, 1, Now);
  ReplicaInfo Replica;
  Replica.Id = UpstreamId("engine-1");
  Replica.Address = "10.0.0.2:8000";
  Owner.setReplicas({Replica});
  const Milliseconds QueueTime{60'000};
  Queue.configure({{WorkspaceId("line-plan"), 0, 0, 100, QueueTime},
                   {WorkspaceId("quote"), 0, 0, 100, QueueTime}},
                  1);
}

/// Hands one grant to the router, which runs the request to its end.
void run(Cell &Owner, DemandQueue &Queue, const Grant &Offer, TimePoint Now) {
  const GrantOutcome Outcome = Queue.receive(Offer, Now);
  const auto *Start = std::get_if<DispatchedRequest>(&Outcome);
  if (Start == nullptr)
    return;
  fmt::print("{} on {}\n", Start->Request.Value, Start->Upstream.Value);
  Completion Done;
  Done.Cell = Offer.Cell;
  Done.Grant = Start->Grant;
  Done.Upstream = Start->Upstream;
  Done.Served = ServiceUnits(UnitsPerRequest);
  if (const auto Message = Queue.finish(Done, Now))
    Owner.receive(Self, *Message, Now);
}

} // namespace

int main() {
  ManualClock Time;
  CellSettings Settings;
  Settings.Id = CellId("models");
  Settings.Replica = {2, 2, Milliseconds(630), Milliseconds(68)};
  Settings.MaxRequestUnits = UnitsPerRequest;
  Cell Owner(Settings, 1, Time.now());
  DemandQueue Queue(CellId("models"), Epoch(1));
  setUp(Owner, Queue, Time.now());
  enqueueAll(Queue, Time.now());
  while (Queue.queued() > 0) {
    Time.advance(Milliseconds(100));
    if (const auto Report = Queue.report(Time.now()))
      Owner.receive(Self, *Report, Time.now());
    for (const CellAction &Action : Owner.decide(Time.now()))
      if (const auto *Granted = std::get_if<Outgoing<Grant>>(&Action))
        run(Owner, Queue, Granted->Body, Time.now());
  }
}

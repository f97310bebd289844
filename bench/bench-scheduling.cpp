// Cost of the scheduling decisions: nanoseconds and encoded bytes of each
// grant, announcement and progress report at several fleet sizes. Prints one
// JSON object a line.

#include <mallowglade/scheduling.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

using namespace mallowglade;

namespace {

constexpr std::size_t Replicas = 64;
constexpr std::uint32_t Slots = 50;
constexpr std::size_t RoutersPerWorkspace = 4;
constexpr std::size_t ItemsPerReport = 8;
constexpr int Rounds = 20;
constexpr double Cost = 400;

struct Sums {
  double GrantNs = 0;
  double GrantBytes = 0;
  std::uint64_t Grants = 0;
  double ReportNs = 0;
  double ReportBytes = 0;
  std::uint64_t Reports = 0;
  double ProgressNs = 0;
  double ProgressBytes = 0;
  std::uint64_t ProgressEntries = 0;
  double CompletionNs = 0;
  std::uint64_t Completions = 0;
};

template <class Work> double timed(Work Run) {
  const auto Start = std::chrono::steady_clock::now();
  Run();
  const std::chrono::duration<double, std::nano> Span =
      std::chrono::steady_clock::now() - Start;
  return Span.count();
}

std::string routerName(std::size_t Router) {
  return fmt::format("10.20.{}.{}:7400", Router / 250, Router % 250);
}

std::string workspaceName(std::size_t Workspace) {
  return fmt::format("workspace-{}", Workspace);
}

/// One cell under load: each workspace waits on a few routers.
class LoadedCell {
public:
  LoadedCell(std::size_t Routers, std::size_t Workspaces)
      : Routers(Routers), Workspaces(Workspaces),
        OwnedCell(settings(), 1, Now) {
    std::vector<CellMember> Members;
    for (std::size_t Router = 0; Router < Routers; ++Router)
      Members.push_back({RouterId(routerName(Router)), ZoneId("zone-a")});
    OwnedCell.setMembers(Members, Routers, Now);
    std::vector<ReplicaInfo> List;
    for (std::size_t Replica = 0; Replica < Replicas; ++Replica)
      List.push_back({UpstreamId(fmt::format("engine-{}", Replica)),
                      fmt::format("10.30.0.{}:8000", Replica),
                      ZoneId("zone-a"),
                      Slots,
                      {}});
    OwnedCell.setReplicas(List);
    Demands.resize(Routers);
    for (std::size_t Workspace = 0; Workspace < Workspaces; ++Workspace)
      for (std::size_t Copy = 0; Copy < std::min(Routers, RoutersPerWorkspace);
           ++Copy)
        Demands[(Workspace * 7 + Copy * 3) % Routers].push_back(Workspace);
  }

  Sums run() {
    Sums Total;
    for (int Round = 0; Round < Rounds; ++Round) {
      announce(Total, Round == 0);
      grant(Total);
      progress(Total);
      complete(Total);
      Now += Milliseconds(100);
    }
    return Total;
  }

private:
  static CellSettings settings() {
    CellSettings Settings;
    Settings.Id = CellId("chat");
    Settings.Replica = {Slots, Slots, Milliseconds(630), Milliseconds(68)};
    Settings.MaxRequestUnits = 20'000;
    return Settings;
  }

  WorkspaceDemand demandOf(std::size_t Workspace) {
    WorkspaceDemand Wanted;
    Wanted.Workspace = WorkspaceId(workspaceName(Workspace));
    Wanted.Queued = 20;
    Wanted.Arrivals = ++Arrivals;
    for (std::size_t Item = 0; Item < ItemsPerReport; ++Item) {
      QueuedItem Request;
      Request.Id = Ticket(++Tickets);
      Request.Waited = Milliseconds(100 + Item);
      Request.Hint = ServiceUnits(Cost);
      Request.RequestFingerprint = Fingerprint(stableHash("print", Tickets));
      Request.PrefixHash = stableHash("prefix", Tickets % 100);
      Wanted.OldestRequests.push_back(Request);
    }
    return Wanted;
  }

  void announce(Sums &Total, bool Full) {
    ++Sequence;
    for (std::size_t Router = 0; Router < Routers; ++Router) {
      DemandReport Report;
      Report.Cell = CellId("chat");
      Report.Session = Epoch(1);
      Report.Sequence = Sequence;
      Report.Full = Full;
      for (const std::size_t Workspace : Demands[Router])
        Report.Workspaces.push_back(demandOf(Workspace));
      const std::string Bytes = encode(Report);
      const RouterId From(routerName(Router));
      Total.ReportNs += timed([&] {
        const auto Decoded = decode<DemandReport>(Bytes);
        OwnedCell.receive(From, valueOf(Decoded), Now);
      });
      Total.ReportBytes += static_cast<double>(Bytes.size());
      Total.Reports += std::max<std::size_t>(1, Demands[Router].size());
    }
  }

  void grant(Sums &Total) {
    std::vector<CellAction> Actions;
    Total.GrantNs += timed([&] { Actions = OwnedCell.decide(Now); });
    for (const CellAction &Action : Actions) {
      const auto *Granted = std::get_if<Outgoing<Grant>>(&Action);
      if (Granted == nullptr)
        continue;
      Total.GrantBytes += static_cast<double>(encode(Granted->Body).size());
      Held.emplace_back(Granted->Recipient, Granted->Body.Id);
    }
    Total.Grants += Held.size();
  }

  void progress(Sums &Total) {
    std::map<RouterId, Progress> Updates;
    for (const auto &[Router, Id] : Held) {
      Progress &Update = Updates[Router];
      Update.Cell = CellId("chat");
      Update.Session = Epoch(1);
      Update.Sequence = Sequence;
      Update.Grants.push_back(
          {Id, ServiceUnits(Cost / 2), Milliseconds(300), Milliseconds(50)});
    }
    for (const auto &[Router, Update] : Updates) {
      const std::string Bytes = encode(Update);
      Total.ProgressNs += timed([&, &From = Router] {
        const auto Decoded = decode<Progress>(Bytes);
        OwnedCell.receive(From, valueOf(Decoded), Now);
      });
      Total.ProgressBytes += static_cast<double>(Bytes.size());
      Total.ProgressEntries += Update.Grants.size();
    }
  }

  void complete(Sums &Total) {
    for (const auto &[Router, Id] : Held) {
      Completion Done;
      Done.Cell = CellId("chat");
      Done.Grant = Id;
      Done.Served = ServiceUnits(Cost);
      Done.Upstream = UpstreamId("engine-1");
      const std::string Bytes = encode(Done);
      Total.CompletionNs += timed([&, &From = Router] {
        const auto Decoded = decode<Completion>(Bytes);
        OwnedCell.receive(From, valueOf(Decoded), Now);
      });
    }
    Total.Completions += Held.size();
    Held.clear();
  }

  std::size_t Routers;
  std::size_t Workspaces;
  TimePoint Now{std::chrono::hours(1)};
  Cell OwnedCell;
  std::vector<std::vector<std::size_t>> Demands;
  std::vector<std::pair<RouterId, GrantId>> Held;
  std::uint64_t Sequence = 0;
  std::uint64_t Tickets = 0;
  std::uint64_t Arrivals = 0;
};

void print(const char *What, const char *Per, std::size_t Routers,
           std::size_t Workspaces, double Value, const char *Unit) {
  fmt::print("{{\"what\":\"{}\",\"per\":\"{}\",\"routers\":{},"
             "\"workspaces\":{},\"value\":{:.1f},\"unit\":\"{}\"}}\n",
             What, Per, Routers, Workspaces, Value, Unit);
}

void measure(std::size_t Routers, std::size_t Workspaces) {
  const Sums Total = LoadedCell(Routers, Workspaces).run();
  const auto Show = [&](const char *What, const char *Per, double Sum,
                        std::uint64_t Count, const char *Unit) {
    const double Mean =
        Sum / static_cast<double>(std::max<std::uint64_t>(1, Count));
    print(What, Per, Routers, Workspaces, Mean, Unit);
  };
  Show("grant", "grant", Total.GrantNs, Total.Grants, "ns");
  Show("grant", "grant", Total.GrantBytes, Total.Grants, "bytes");
  Show("announcement", "workspace", Total.ReportNs, Total.Reports, "ns");
  Show("announcement", "workspace", Total.ReportBytes, Total.Reports, "bytes");
  Show("service update", "grant", Total.ProgressNs, Total.ProgressEntries,
       "ns");
  Show("service update", "grant", Total.ProgressBytes, Total.ProgressEntries,
       "bytes");
  Show("completion", "grant", Total.CompletionNs, Total.Completions, "ns");
}

} // namespace

int main() {
  for (const std::size_t Routers : {8, 64, 390})
    for (const std::size_t Workspaces : {16, 530, 5'300})
      measure(Routers, Workspaces);
  return 0;
}

#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

json arrayMember(const json &Object, const char *Key) {
  const bool Found =
      Object.is_object() && Object.contains(Key) && Object[Key].is_array();
  return Found ? Object[Key] : json::array();
}

std::string formatMember(const json &Object, const char *Key) {
  if (!Object.is_object() || !Object.contains(Key))
    return "-";
  const json &Value = Object[Key];
  if (Value.is_number_float())
    return fmt::format("{:.1f}", Value.get<double>());
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printSummary(const json &Status) {
  const json Settings = Status.value("settings", json::object());
  fmt::print("router    {}{}\n", formatMember(Status, "router"),
             Status.value("draining", false) ? " (draining)" : "");
  fmt::print("settings  version {}{}\n", formatMember(Settings, "version"),
             Settings.value("ready", false) ? "" : " (not ready)");
  fmt::print("requests  {}\n", formatMember(Status, "requests"));
}

void printMembers(const json &Status) {
  const json Members = Status.value("members", json::object());
  const json Alive = arrayMember(Members, "alive");
  fmt::print("\nMEMBERS   {} alive, {} registered\n", Alive.size(),
             formatMember(Members, "registered"));
  for (const json &Member : Alive)
    fmt::print("  {:<22} {:<22} {:<16} {}\n", formatMember(Member, "router"),
               formatMember(Member, "address"),
               formatMember(Member, "availability_zone"),
               Member.value("accepts_work", true) ? "" : "leaving");
}

void printCell(const json &Cell) {
  fmt::print("\nCELL      {}, owner {}: {} of {} slots in use, {} waiting, "
             "gap {} of at most {}\n",
             formatMember(Cell, "pool"), formatMember(Cell, "owner"),
             formatMember(Cell, "in_flight"), formatMember(Cell, "slots"),
             formatMember(Cell, "waiting"), formatMember(Cell, "fairness_gap"),
             formatMember(Cell, "fairness_bound"));
  const json Workspaces = arrayMember(Cell, "workspaces");
  if (Workspaces.empty())
    return;
  fmt::print("  {:<24} {:>8} {:>8} {:>9} {:>14} {:>14}\n", "WORKSPACE", "SHARE",
             "WAITING", "IN FLIGHT", "SERVED", "VIRTUAL TIME");
  for (const json &Entry : Workspaces)
    fmt::print("  {:<24} {:>8} {:>8} {:>9} {:>14} {:>14}\n",
               formatMember(Entry, "workspace"), formatMember(Entry, "share"),
               formatMember(Entry, "waiting"), formatMember(Entry, "in_flight"),
               formatMember(Entry, "served_units"),
               formatMember(Entry, "virtual_time"));
}

void printUpstreams(const json &Status) {
  const json Upstreams = arrayMember(Status, "upstreams");
  fmt::print("\nUPSTREAMS {}\n", Upstreams.size());
  for (const json &Upstream : Upstreams)
    fmt::print(
        "  {:<24} {:<16} {:<22} {}\n", formatMember(Upstream, "upstream"),
        formatMember(Upstream, "pool"), formatMember(Upstream, "address"),
        formatMember(Upstream, "availability_zone"));
}

std::string memberAddress(const json &Status, const std::string &Router) {
  const json Members = Status.value("members", json::object());
  for (const json &Member : arrayMember(Members, "alive"))
    if (formatMember(Member, "router") == Router)
      return formatMember(Member, "address");
  return {};
}

/// Adds the workspaces of each cell to the status. Only the owner of a cell
/// knows them, so each owner is queried; a cell is left unchanged if its owner
/// does not reply.
void fetchCellWorkspaces(const RouterOptions &Options, json &Status) {
  if (arrayMember(Status, "cells").empty())
    return;
  for (json &Cell : Status["cells"]) {
    if (Cell.contains("workspaces"))
      continue;
    const std::string Owner =
        memberAddress(Status, formatMember(Cell, "owner"));
    if (Owner.empty())
      continue;
    const auto Reply = adminGetFrom(Owner, Options, "/admin/cells");
    if (!isOk(Reply))
      continue;
    for (const json &OwnerCell : arrayMember(valueOf(Reply).Body, "cells"))
      if (OwnerCell["pool"] == Cell["pool"] && OwnerCell.contains("workspaces"))
        Cell = OwnerCell;
  }
}

} // namespace

ExitCode runStatus(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::SwitchArg Json("j", "json", "print one JSON document",
                        Parser.commandLine());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply = adminGet(Options, "/admin/status");
  if (reportIfFailed(Reply, Code))
    return Code;
  json Status = valueOf(Reply).Body;
  fetchCellWorkspaces(Options, Status);
  if (Json.getValue()) {
    fmt::print("{}\n", Status.dump(2));
    return ExitCode::Ok;
  }
  printSummary(Status);
  printMembers(Status);
  for (const json &Cell : arrayMember(Status, "cells"))
    printCell(Cell);
  printUpstreams(Status);
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

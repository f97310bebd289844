#include <mallowglade/detail/cli/admin_client.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

json listOf(const json &Object, const char *Key) {
  const bool Found =
      Object.is_object() && Object.contains(Key) && Object[Key].is_array();
  return Found ? Object[Key] : json::array();
}

std::string textOf(const json &Object, const char *Key) {
  if (!Object.is_object() || !Object.contains(Key))
    return "-";
  const json &Value = Object[Key];
  if (Value.is_number_float())
    return fmt::format("{:.1f}", Value.get<double>());
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printHead(const json &Status) {
  const json Settings = Status.value("settings", json::object());
  fmt::print("router    {}{}\n", textOf(Status, "router"),
             Status.value("draining", false) ? " (draining)" : "");
  fmt::print("settings  version {}{}\n", textOf(Settings, "version"),
             Settings.value("ready", false) ? "" : " (not ready)");
  fmt::print("requests  {}\n", textOf(Status, "requests"));
}

void printMembers(const json &Status) {
  const json Members = Status.value("members", json::object());
  const json Alive = listOf(Members, "alive");
  fmt::print("\nMEMBERS   {} alive, {} registered\n", Alive.size(),
             textOf(Members, "registered"));
  for (const json &Router : Alive)
    fmt::print("  {:<22} {:<22} {:<16} {}\n", textOf(Router, "router"),
               textOf(Router, "address"), textOf(Router, "availability_zone"),
               Router.value("accepts_work", true) ? "" : "leaving");
}

void printCell(const json &Cell) {
  fmt::print("\nCELL      {}, owner {}: {} of {} slots in use, {} waiting, "
             "gap {} of at most {}\n",
             textOf(Cell, "pool"), textOf(Cell, "owner"),
             textOf(Cell, "in_flight"), textOf(Cell, "slots"),
             textOf(Cell, "waiting"), textOf(Cell, "fairness_gap"),
             textOf(Cell, "fairness_bound"));
  const json Workspaces = listOf(Cell, "workspaces");
  if (Workspaces.empty())
    return;
  fmt::print("  {:<24} {:>8} {:>8} {:>9} {:>14} {:>14}\n", "WORKSPACE", "SHARE",
             "WAITING", "IN FLIGHT", "SERVED", "VIRTUAL TIME");
  for (const json &Entry : Workspaces)
    fmt::print("  {:<24} {:>8} {:>8} {:>9} {:>14} {:>14}\n",
               textOf(Entry, "workspace"), textOf(Entry, "share"),
               textOf(Entry, "waiting"), textOf(Entry, "in_flight"),
               textOf(Entry, "served_units"), textOf(Entry, "virtual_time"));
}

void printUpstreams(const json &Status) {
  const json Upstreams = listOf(Status, "upstreams");
  fmt::print("\nUPSTREAMS {}\n", Upstreams.size());
  for (const json &Known : Upstreams)
    fmt::print("  {:<24} {:<16} {:<22} {}\n", textOf(Known, "upstream"),
               textOf(Known, "pool"), textOf(Known, "address"),
               textOf(Known, "availability_zone"));
}

std::string addressOf(const json &Status, const std::string &Router) {
  const json Members = Status.value("members", json::object());
  for (const json &Known : listOf(Members, "alive"))
    if (textOf(Known, "router") == Router)
      return textOf(Known, "address");
  return {};
}

/// Only the owner of a cell knows its workspaces, so it is asked as well.
void completeCells(const RouterOptions &Options, json &Status) {
  if (listOf(Status, "cells").empty())
    return;
  for (json &Cell : Status["cells"]) {
    if (Cell.contains("workspaces"))
      continue;
    const std::string Owner = addressOf(Status, textOf(Cell, "owner"));
    if (Owner.empty())
      continue;
    const auto Reply = adminGetFrom(Owner, Options, "/admin/cells");
    if (!isOk(Reply))
      continue;
    for (const json &Owned : listOf(valueOf(Reply).Body, "cells"))
      if (Owned["pool"] == Cell["pool"] && Owned.contains("workspaces"))
        Cell = Owned;
  }
}

} // namespace

ExitCode runStatus(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::SwitchArg Json("j", "json", "print one JSON document", Parser.line());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Reply = adminGet(Options, "/admin/status");
  if (failed(Reply, Code))
    return Code;
  json Status = valueOf(Reply).Body;
  completeCells(Options, Status);
  if (Json.getValue()) {
    fmt::print("{}\n", Status.dump(2));
    return ExitCode::Ok;
  }
  printHead(Status);
  printMembers(Status);
  for (const json &Cell : listOf(Status, "cells"))
    printCell(Cell);
  printUpstreams(Status);
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

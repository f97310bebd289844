#include <mallowglade/detail/cli/change_client.hpp>

#include <mallowglade/settings.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

using TextArgument = TCLAP::ValueArg<std::string>;

json memberOrEmptyObject(const json &Object, const std::string &Key) {
  const bool Found = Object.is_object() && Object.contains(Key);
  return Found ? Object[Key] : json::object();
}

std::optional<std::vector<std::string>> fetchTeams(const RouterOptions &Options,
                                                   ExitCode &Code) {
  const auto Reply = adminGet(Options, "/admin/settings");
  if (reportIfFailed(Reply, Code))
    return std::nullopt;
  std::vector<std::string> Teams;
  const json Branches = memberOrEmptyObject(valueOf(Reply).Body, "branches");
  for (const auto &[Name, Version] : Branches.items())
    if (Name != settings_layout::PlatformBranch)
      Teams.push_back(Name);
  return Teams;
}

void printWorkspaces(const std::string &Team, const json &Branch) {
  const json Workspaces = memberOrEmptyObject(Branch, "workspaces");
  for (const auto &[Name, Workspace] : Workspaces.items()) {
    const json Keys = memberOrEmptyObject(Workspace, "key_sha256");
    fmt::print("{:<24} {:<16} {:>5}  {}\n", Name, Team,
               Keys.is_array() ? Keys.size() : 0,
               memberOrEmptyObject(Workspace, "limits").dump());
  }
}

BranchChange makeSetChange(const std::string &Branch, const std::string &Path,
                           json Value, std::uint64_t BaseVersion) {
  BranchChange Change;
  Change.Branch = Branch;
  Change.BaseVersion = BaseVersion;
  Change.ContentKey = "set";
  Change.Content = {{"path", Path}, {"value", std::move(Value)}};
  return Change;
}

std::string workspacePath(const std::string &Name) {
  if (Name.empty() || Name.find_first_of("/~") != std::string::npos)
    throw UsageError{
        "the workspace name must not be empty or contain '/' or '~'"};
  return "/workspaces/" + Name;
}

ExitCode setShare(const RouterOptions &Options, const std::string &Name,
                  double Share) {
  ExitCode Code = ExitCode::Ok;
  const auto Platform =
      fetchBranch(Options, settings_layout::PlatformBranch, Code);
  if (!Platform)
    return Code;
  return sendChange(Options,
                    makeSetChange(settings_layout::PlatformBranch,
                                  "/shares/" + Name, Share, Platform->Version));
}

} // namespace

ExitCode runWorkspaceList(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Teams = fetchTeams(Options, Code);
  if (!Teams)
    return Code;
  fmt::print("{:<24} {:<16} {:>5}  {}\n", "WORKSPACE", "TEAM", "KEYS",
             "LIMITS");
  for (const std::string &Team : *Teams) {
    const auto Branch = fetchBranch(Options, Team, Code);
    if (!Branch)
      return Code;
    printWorkspaces(Team, Branch->Value);
  }
  return ExitCode::Ok;
}

ExitCode runWorkspaceAdd(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TextArgument Team("t", "team", "team that owns the workspace", true, "",
                    "TEAM", Parser.commandLine());
  TextArgument KeyDigest("", "key-sha256",
                         "SHA-256 of the workspace's bearer key, hexadecimal",
                         false, "", "DIGEST", Parser.commandLine());
  TCLAP::ValueArg<double> Share(
      "", "share",
      "share, set before the workspace is added; requires a platform "
      "credential",
      false, 1, "SHARE", Parser.commandLine());
  TCLAP::UnlabeledValueArg<std::string> Name("name", "workspace", true, "",
                                             "WORKSPACE", Parser.commandLine());
  Parser.parse();
  const std::string Path = workspacePath(Name.getValue());
  ExitCode Code = ExitCode::Ok;
  auto Branch = fetchBranch(Options, Team.getValue(), Code);
  if (!Branch)
    return Code;
  if (memberOrEmptyObject(Branch->Value, "workspaces")
          .contains(Name.getValue())) {
    fmt::print(stderr, "mallowglade: workspace '{}' already exists\n",
               Name.getValue());
    return ExitCode::Failed;
  }
  if (Share.isSet()) {
    Code = setShare(Options, Name.getValue(), Share.getValue());
    if (Code != ExitCode::Ok)
      return Code;
    // The first change ever made to the settings sets the version of every
    // branch, including those that it does not change, so read it again.
    Branch = fetchBranch(Options, Team.getValue(), Code);
    if (!Branch)
      return Code;
  }
  json Workspace = json::object();
  if (KeyDigest.isSet())
    Workspace["key_sha256"] = json::array({KeyDigest.getValue()});
  return sendChange(Options,
                    makeSetChange(Team.getValue(), Path, std::move(Workspace),
                                  Branch->Version));
}

ExitCode runWorkspaceLimit(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TextArgument Team("t", "team", "team that owns the workspace", true, "",
                    "TEAM", Parser.commandLine());
  TCLAP::UnlabeledMultiArg<std::string> PositionalArgument(
      "limit",
      "workspace, limit and value; limits: requests_per_s, units_per_s, "
      "concurrency, queue_length, queue_time_ms",
      true, "WORKSPACE LIMIT VALUE", Parser.commandLine());
  Parser.parse();
  const std::vector<std::string> &Positional = PositionalArgument.getValue();
  if (Positional.size() != 3)
    throw UsageError{"WORKSPACE, LIMIT and VALUE are required"};
  const json Value = json::parse(Positional[2], nullptr, false);
  if (!Value.is_number())
    throw UsageError{"'" + Positional[2] + "' is not a number"};
  ExitCode Code = ExitCode::Ok;
  const auto Branch = fetchBranch(Options, Team.getValue(), Code);
  if (!Branch)
    return Code;
  if (!memberOrEmptyObject(Branch->Value, "workspaces").contains(Positional[0]))
    throw UsageError{"no workspace '" + Positional[0] + "' in the team '" +
                     Team.getValue() + "'"};
  return sendChange(Options, makeSetChange(Team.getValue(),
                                           workspacePath(Positional[0]) +
                                               "/limits/" + Positional[1],
                                           Value, Branch->Version));
}

} // namespace mallowglade::detail

#include <mallowglade/detail/cli/change_client.hpp>

#include <mallowglade/settings.hpp>

#include <fmt/format.h>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

using TextArgument = TCLAP::ValueArg<std::string>;

json parseFile(const std::string &Path) {
  bool Failed = false;
  const std::string Text = readFile(Path, Failed);
  if (Failed)
    throw UsageError{"cannot read '" + Path + "'"};
  Result<json> Parsed = parseJson(Text);
  if (!isOk(Parsed))
    throw UsageError{"'" + Path + "': " + errorOf(Parsed).Detail};
  return valueOf(Parsed);
}

/// Parses JSON text. Text that is not valid JSON is taken as a string, so that
/// a string can be given without quotes.
json parseValue(const std::string &Text) {
  json Value = json::parse(Text, nullptr, false);
  return Value.is_discarded() ? json(Text) : Value;
}

void printBranchList(const json &Body) {
  fmt::print("version {}{}\n", Body.value("version", 0ULL),
             Body.value("ready", false) ? "" : " (router is not ready)");
  for (const auto &[Name, Version] : Body["branches"].items())
    fmt::print("  {:<32} version {}\n", Name, Version.dump());
}

/// Arguments of the command `settings set`.
struct SetArguments {
  explicit SetArguments(CommandParser &Parser)
      : Options(Parser), Branch("b", "branch", "platform or a team", true, "",
                                "BRANCH", Parser.commandLine()),
        File("f", "file", "new value of the branch (JSON), - for stdin", false,
             "", "FILE", Parser.commandLine()),
        Patch("p", "patch", "JSON patch (RFC 6902) for the branch", false, "",
              "FILE", Parser.commandLine()),
        BaseVersion("", "base", "version the file is based on", false, 0,
                    "VERSION", Parser.commandLine()),
        ChangeId("", "change-id", "id of an earlier change to repeat", false,
                 "", "ID", Parser.commandLine()),
        PathAndValue("member",
                     "JSON pointer in the branch and its new value (JSON)",
                     false, "PATH VALUE", Parser.commandLine()) {}

  RouterOptions Options;
  TextArgument Branch;
  TextArgument File;
  TextArgument Patch;
  TCLAP::ValueArg<std::uint64_t> BaseVersion;
  TextArgument ChangeId;
  TCLAP::UnlabeledMultiArg<std::string> PathAndValue;
};

void validateSetArguments(SetArguments &Input) {
  const int SourceCount = (Input.File.isSet() ? 1 : 0) +
                          (Input.Patch.isSet() ? 1 : 0) +
                          (Input.PathAndValue.isSet() ? 1 : 0);
  if (SourceCount != 1)
    throw UsageError{"give exactly one of --file, --patch, or PATH VALUE"};
  const std::vector<std::string> &PathAndValue = Input.PathAndValue.getValue();
  if (Input.PathAndValue.isSet() && PathAndValue.size() != 2)
    throw UsageError{"PATH requires one VALUE; quote a value that contains "
                     "spaces"};
  if (Input.PathAndValue.isSet() && !PathAndValue.front().starts_with('/'))
    throw UsageError{"PATH must start with '/', for example "
                     "/workspaces/desk/limits"};
  if (Input.File.isSet() && !Input.BaseVersion.isSet())
    throw UsageError{"--file requires --base, the version that 'settings get' "
                     "printed when the file was made"};
}

BranchChange makeChange(SetArguments &Input) {
  BranchChange Change;
  Change.Branch = Input.Branch.getValue();
  Change.ChangeId = Input.ChangeId.getValue();
  if (Input.File.isSet()) {
    Change.ContentKey = "value";
    Change.Content = parseFile(Input.File.getValue());
  } else if (Input.Patch.isSet()) {
    Change.ContentKey = "patch";
    Change.Content = parseFile(Input.Patch.getValue());
  } else {
    Change.ContentKey = "set";
    Change.Content = {
        {"path", Input.PathAndValue.getValue().front()},
        {"value", parseValue(Input.PathAndValue.getValue().back())}};
  }
  return Change;
}

} // namespace

ExitCode runSettingsGet(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::UnlabeledValueArg<std::string> Branch(
      "branch", "platform or a team; without it the branches are listed", false,
      "", "BRANCH", Parser.commandLine());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  if (Branch.isSet()) {
    const auto Snapshot = fetchBranch(Options, Branch.getValue(), Code);
    if (!Snapshot)
      return Code;
    fmt::print("{}\n", Snapshot->Value.dump(2));
    fmt::print(stderr, "version {}\n", Snapshot->Version);
    return ExitCode::Ok;
  }
  const auto Reply = adminGet(Options, "/admin/settings");
  if (reportIfFailed(Reply, Code))
    return Code;
  printBranchList(valueOf(Reply).Body);
  return ExitCode::Ok;
}

ExitCode runSettingsSet(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  SetArguments Input(Parser);
  Parser.parse();
  validateSetArguments(Input);
  BranchChange Change = makeChange(Input);
  if (Input.BaseVersion.isSet()) {
    Change.BaseVersion = Input.BaseVersion.getValue();
    return sendChange(Input.Options, std::move(Change));
  }
  ExitCode Code = ExitCode::Ok;
  const auto Current = fetchBranch(Input.Options, Change.Branch, Code);
  if (!Current)
    return Code;
  Change.BaseVersion = Current->Version;
  return sendChange(Input.Options, std::move(Change));
}

ExitCode runSettingsDiff(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TextArgument Branch("b", "branch", "platform or a team", true, "", "BRANCH",
                      Parser.commandLine());
  TCLAP::UnlabeledValueArg<std::string> File(
      "file", "value to compare with the router's (JSON), - for stdin", true,
      "", "FILE", Parser.commandLine());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto Snapshot = fetchBranch(Options, Branch.getValue(), Code);
  if (!Snapshot)
    return Code;
  const json Proposed = parseFile(File.getValue());
  for (const json &Difference : listDifferences(Snapshot->Value, Proposed)) {
    fmt::print("{}\n", Difference["path"].get<std::string>());
    if (Difference.contains("before"))
      fmt::print("  - {}\n", Difference["before"].dump());
    if (Difference.contains("after"))
      fmt::print("  + {}\n", Difference["after"].dump());
  }
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

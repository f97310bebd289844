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
  Result<json> Document = parseJson(Text);
  if (!isOk(Document))
    throw UsageError{"'" + Path + "': " + errorOf(Document).Detail};
  return valueOf(Document);
}

/// A value that is no JSON counts as a string, so quotes can be left out.
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

/// Arguments of `settings set`.
struct SetArguments {
  explicit SetArguments(CommandParser &Parser)
      : Options(Parser), Branch("b", "branch", "platform or a team", true, "",
                                "BRANCH", Parser.line()),
        File("f", "file", "new value of the branch (JSON), - for stdin", false,
             "", "FILE", Parser.line()),
        Patch("p", "patch", "JSON patch (RFC 6902) for the branch", false, "",
              "FILE", Parser.line()),
        Base("", "base", "version the file is based on", false, 0, "VERSION",
             Parser.line()),
        ChangeId("", "change-id", "id to repeat an earlier command with", false,
                 "", "ID", Parser.line()),
        Member("member", "JSON pointer in the branch and its new value (JSON)",
               false, "PATH VALUE", Parser.line()) {}

  RouterOptions Options;
  TextArgument Branch;
  TextArgument File;
  TextArgument Patch;
  TCLAP::ValueArg<std::uint64_t> Base;
  TextArgument ChangeId;
  TCLAP::UnlabeledMultiArg<std::string> Member;
};

void checkForms(SetArguments &Given) {
  const int Forms = (Given.File.isSet() ? 1 : 0) +
                    (Given.Patch.isSet() ? 1 : 0) +
                    (Given.Member.isSet() ? 1 : 0);
  if (Forms != 1)
    throw UsageError{"give exactly one of --file, --patch, or PATH VALUE"};
  const std::vector<std::string> &Member = Given.Member.getValue();
  if (Given.Member.isSet() && Member.size() != 2)
    throw UsageError{"PATH needs one VALUE; quote a value with spaces"};
  if (Given.Member.isSet() && !Member.front().starts_with('/'))
    throw UsageError{"PATH must start with '/', as /workspaces/desk/limits"};
  if (Given.File.isSet() && !Given.Base.isSet())
    throw UsageError{"--file needs --base, the version 'settings get' showed "
                     "when the file was made"};
}

BranchChange changeFrom(SetArguments &Given) {
  BranchChange Change;
  Change.Branch = Given.Branch.getValue();
  Change.ChangeId = Given.ChangeId.getValue();
  if (Given.File.isSet()) {
    Change.Form = "value";
    Change.Content = parseFile(Given.File.getValue());
  } else if (Given.Patch.isSet()) {
    Change.Form = "patch";
    Change.Content = parseFile(Given.Patch.getValue());
  } else {
    Change.Form = "set";
    Change.Content = {{"path", Given.Member.getValue().front()},
                      {"value", parseValue(Given.Member.getValue().back())}};
  }
  return Change;
}

} // namespace

ExitCode runSettingsGet(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TCLAP::UnlabeledValueArg<std::string> Branch(
      "branch", "platform or a team; without it the branches are listed", false,
      "", "BRANCH", Parser.line());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  if (Branch.isSet()) {
    const auto View = fetchBranch(Options, Branch.getValue(), Code);
    if (!View)
      return Code;
    fmt::print("{}\n", View->Value.dump(2));
    fmt::print(stderr, "version {}\n", View->Version);
    return ExitCode::Ok;
  }
  const auto Reply = adminGet(Options, "/admin/settings");
  if (failed(Reply, Code))
    return Code;
  printBranchList(valueOf(Reply).Body);
  return ExitCode::Ok;
}

ExitCode runSettingsSet(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  SetArguments Given(Parser);
  Parser.parse();
  checkForms(Given);
  BranchChange Change = changeFrom(Given);
  if (Given.Base.isSet()) {
    Change.Base = Given.Base.getValue();
    return sendChange(Given.Options, std::move(Change));
  }
  ExitCode Code = ExitCode::Ok;
  const auto Current = fetchBranch(Given.Options, Change.Branch, Code);
  if (!Current)
    return Code;
  Change.Base = Current->Version;
  return sendChange(Given.Options, std::move(Change));
}

ExitCode runSettingsDiff(std::vector<std::string> Arguments) {
  CommandParser Parser(std::move(Arguments));
  RouterOptions Options(Parser);
  TextArgument Branch("b", "branch", "platform or a team", true, "", "BRANCH",
                      Parser.line());
  TCLAP::UnlabeledValueArg<std::string> File(
      "file", "value to compare with the router's (JSON), - for stdin", true,
      "", "FILE", Parser.line());
  Parser.parse();
  ExitCode Code = ExitCode::Ok;
  const auto View = fetchBranch(Options, Branch.getValue(), Code);
  if (!View)
    return Code;
  const json Wanted = parseFile(File.getValue());
  for (const json &Step : differencesOf(View->Value, Wanted)) {
    fmt::print("{}\n", Step["path"].get<std::string>());
    if (Step.contains("before"))
      fmt::print("  - {}\n", Step["before"].dump());
    if (Step.contains("after"))
      fmt::print("  + {}\n", Step["after"].dump());
  }
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

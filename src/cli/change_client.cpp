#include <mallowglade/detail/cli/change_client.hpp>

#include <fmt/format.h>

#include <thread>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

constexpr int MaxTries = 3;
constexpr Milliseconds PauseBetweenTries{500};

std::string newChangeId() {
  SeededRandom Random(systemSeed());
  return "c-" + toHex(Random.next()) + toHex(Random.next());
}

bool outcomeUnknown(const Result<AdminAnswer> &Reply) {
  if (!isOk(Reply))
    return errorOf(Reply).Id == ErrorId::ConnectionLost;
  const json &Body = valueOf(Reply).Body;
  return valueOf(Reply).Status != 200 && Body.is_object() &&
         Body.value("outcome", "") == "unknown";
}

bool unavailable(const Result<AdminAnswer> &Reply) {
  return !isOk(Reply) || valueOf(Reply).Status >= 500;
}

void printConflict(const json &Body) {
  fmt::print(stderr,
             "  The settings are at version {} now. Your change would still "
             "do this:\n{}\n  Read the branch again, then repeat the change.\n",
             Body.value("current_version", 0ULL), Body["diff"].dump(2));
}

} // namespace

std::optional<BranchView> fetchBranch(const RouterOptions &Options,
                                      const std::string &Branch,
                                      ExitCode &Code) {
  const auto Reply = adminGet(Options, "/admin/settings", {{"branch", Branch}});
  if (failed(Reply, Code))
    return std::nullopt;
  const json &Body = valueOf(Reply).Body;
  if (!Body.is_object() || !Body.contains("value")) {
    Code = reportFailure({ErrorId::InvalidMessage, "unexpected reply", ""});
    return std::nullopt;
  }
  return BranchView{Body.value("version", std::uint64_t{0}), Body["value"]};
}

ExitCode sendChange(const RouterOptions &Options, BranchChange Change) {
  if (Change.ChangeId.empty())
    Change.ChangeId = newChangeId();
  const json Command{{"change_id", Change.ChangeId},
                     {"branch", Change.Branch},
                     {"base_version", Change.Base},
                     {Change.Form, Change.Content}};
  auto Reply = adminPost(Options, "/admin/settings", Command);
  for (int Try = 1; Try < MaxTries && outcomeUnknown(Reply); ++Try) {
    std::this_thread::sleep_for(PauseBetweenTries);
    auto Again = adminPost(Options, "/admin/settings", Command);
    // A repeat that could not reach the service says nothing about the first.
    if (!unavailable(Again))
      Reply = std::move(Again);
  }
  ExitCode Code = ExitCode::Ok;
  if (failed(Reply, Code)) {
    fmt::print(stderr, "  change: {}\n", Change.ChangeId);
    if (Code == ExitCode::Conflict && valueOf(Reply).Body.contains("diff"))
      printConflict(valueOf(Reply).Body);
    return Code;
  }
  const json &Body = valueOf(Reply).Body;
  fmt::print("version {}{}\n", Body.value("version", 0ULL),
             Body.value("repeated", false) ? " (already in force)" : "");
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

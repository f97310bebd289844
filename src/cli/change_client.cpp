#include <mallowglade/detail/cli/change_client.hpp>

#include <fmt/format.h>

#include <thread>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

constexpr int MaxAttempts = 3;
constexpr Milliseconds RetryDelay{500};

std::string newChangeId() {
  SeededRandom Random(systemSeed());
  return "c-" + toHex(Random.next()) + toHex(Random.next());
}

bool isOutcomeUnknown(const Result<AdminResponse> &Reply) {
  if (!isOk(Reply))
    return errorOf(Reply).Id == ErrorId::ConnectionLost;
  const json &Body = valueOf(Reply).Body;
  return valueOf(Reply).Status != 200 && Body.is_object() &&
         Body.value("outcome", "") == "unknown";
}

bool isUnavailable(const Result<AdminResponse> &Reply) {
  return !isOk(Reply) || valueOf(Reply).Status >= 500;
}

void printConflict(const json &Body) {
  fmt::print(
      stderr,
      "  The current version is {}. Applied to it, the change would make "
      "these differences:\n{}\n  Read the branch again, then repeat "
      "the change.\n",
      Body.value("current_version", 0ULL), Body["diff"].dump(2));
}

} // namespace

std::optional<BranchSnapshot> fetchBranch(const RouterOptions &Options,
                                          const std::string &Branch,
                                          ExitCode &Code) {
  const auto Reply = adminGet(Options, "/admin/settings", {{"branch", Branch}});
  if (reportIfFailed(Reply, Code))
    return std::nullopt;
  const json &Body = valueOf(Reply).Body;
  if (!Body.is_object() || !Body.contains("value")) {
    Code = reportFailure(
        {ErrorId::InvalidMessage, "the reply has no member 'value'", ""});
    return std::nullopt;
  }
  return BranchSnapshot{Body.value("version", std::uint64_t{0}), Body["value"]};
}

ExitCode sendChange(const RouterOptions &Options, BranchChange Change) {
  if (Change.ChangeId.empty())
    Change.ChangeId = newChangeId();
  const json Command{{"change_id", Change.ChangeId},
                     {"branch", Change.Branch},
                     {"base_version", Change.BaseVersion},
                     {Change.ContentKey, Change.Content}};
  auto Reply = adminPost(Options, "/admin/settings", Command);
  for (int Attempt = 1; Attempt < MaxAttempts && isOutcomeUnknown(Reply);
       ++Attempt) {
    std::this_thread::sleep_for(RetryDelay);
    auto RetryReply = adminPost(Options, "/admin/settings", Command);
    // A retry that did not reach the router or the key-value service does not
    // tell whether the first attempt took effect, so its reply is discarded.
    if (!isUnavailable(RetryReply))
      Reply = std::move(RetryReply);
  }
  ExitCode Code = ExitCode::Ok;
  if (reportIfFailed(Reply, Code)) {
    fmt::print(stderr, "  change: {}\n", Change.ChangeId);
    if (Code == ExitCode::Conflict && valueOf(Reply).Body.contains("diff"))
      printConflict(valueOf(Reply).Body);
    return Code;
  }
  const json &Body = valueOf(Reply).Body;
  fmt::print("version {}{}\n", Body.value("version", 0ULL),
             Body.value("repeated", false) ? " (already applied)" : "");
  return ExitCode::Ok;
}

} // namespace mallowglade::detail

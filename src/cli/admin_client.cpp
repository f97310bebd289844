#include <mallowglade/detail/cli/admin_client.hpp>

#include <mallowglade/settings.hpp>

#include <fmt/format.h>
#include <httplib.h>

#include <cstdlib>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

constexpr Milliseconds ConnectTimeout{3'000};
/// A router tries a change three times, each with calls of 2 s.
constexpr Milliseconds ReplyTimeout{30'000};

std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

std::string trimmed(std::string Text) {
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text.back())))
    Text.pop_back();
  return Text;
}

httplib::Client makeClient(const RouterOptions &Options,
                           const std::string &Router) {
  const HostPort Address = splitAddress(Router);
  httplib::Client Client(Address.Host, Address.Port);
  Client.set_connection_timeout(ConnectTimeout);
  Client.set_read_timeout(ReplyTimeout);
  const std::string Key = Options.key();
  if (!Key.empty())
    Client.set_bearer_token_auth(Key);
  return Client;
}

Result<AdminAnswer> answerOf(const httplib::Result &Reply,
                             const std::string &Router) {
  if (Reply)
    return AdminAnswer{Reply->status, json::parse(Reply->body, nullptr, false)};
  const bool NotSent = Reply.error() == httplib::Error::Connection ||
                       Reply.error() == httplib::Error::ConnectionTimeout;
  return Error{NotSent ? ErrorId::ConnectFailed : ErrorId::ConnectionLost,
               "the router does not answer (" +
                   httplib::to_string(Reply.error()) + ")",
               Router};
}

std::string memberText(const json &Document, const char *Key) {
  const bool HasText = Document.is_object() && Document.contains(Key) &&
                       Document[Key].is_string();
  return HasText ? Document[Key].get<std::string>() : std::string();
}

ExitCode exitCodeOf(const AdminAnswer &Answer) {
  if (memberText(Answer.Body, "error_id") == "settings.conflict")
    return ExitCode::Conflict;
  return Answer.Status == 400 ? ExitCode::InvalidSettings : ExitCode::Failed;
}

} // namespace

RouterOptions::RouterOptions(CommandParser &Parser)
    : Router("r", "router", "any router, ip:port; default MALLOWGLADE_ROUTER",
             false, "", "ADDRESS", Parser.line()),
      KeyFile("k", "key-file",
              "file with the operator's credential; default MALLOWGLADE_KEY",
              false, "", "FILE", Parser.line()) {}

std::string RouterOptions::router() const {
  std::string Address =
      Router.isSet() ? Router.getValue() : environment("MALLOWGLADE_ROUTER");
  if (Address.empty())
    throw UsageError{"name a router with --router or MALLOWGLADE_ROUTER"};
  if (!isNumericAddress(Address))
    throw UsageError{"'" + Address +
                     "' is not a numeric address such as 10.0.0.5:8080"};
  return Address;
}

std::string RouterOptions::key() const {
  if (!KeyFile.isSet())
    return environment("MALLOWGLADE_KEY");
  bool Failed = false;
  const std::string Text = readFile(KeyFile.getValue(), Failed);
  if (Failed)
    throw UsageError{"cannot read the key file '" + KeyFile.getValue() + "'"};
  return trimmed(Text);
}

Result<AdminAnswer> adminGet(const RouterOptions &Options,
                             const std::string &Path, const AdminQuery &Query) {
  return adminGetFrom(Options.router(), Options, Path, Query);
}

Result<AdminAnswer> adminGetFrom(const std::string &Router,
                                 const RouterOptions &Options,
                                 const std::string &Path,
                                 const AdminQuery &Query) {
  httplib::Client Client = makeClient(Options, Router);
  const httplib::Params Parameters(Query.begin(), Query.end());
  return answerOf(Client.Get(Path, Parameters, httplib::Headers()), Router);
}

Result<AdminAnswer> adminPost(const RouterOptions &Options,
                              const std::string &Path, const json &Body) {
  const std::string Router = Options.router();
  httplib::Client Client = makeClient(Options, Router);
  return answerOf(Client.Post(Path, Body.dump(), "application/json"), Router);
}

ExitCode reportFailure(const Error &Failure) {
  fmt::print(stderr, "mallowglade: {}\n", toString(Failure));
  return ExitCode::Unreachable;
}

ExitCode reportProblem(const AdminAnswer &Answer) {
  const std::string Detail = memberText(Answer.Body, "detail");
  const std::string Place = memberText(Answer.Body, "instance");
  fmt::print(stderr, "mallowglade: {}\n",
             Detail.empty() ? fmt::format("status {}", Answer.Status) : Detail);
  if (!Place.empty())
    fmt::print(stderr, "  at:    {}\n", Place);
  fmt::print(stderr, "  error: {}\n", memberText(Answer.Body, "error_id"));
  if (Answer.Status == 401)
    fmt::print(stderr, "  hint:  pass the operator's credential with "
                       "--key-file or MALLOWGLADE_KEY\n");
  if (memberText(Answer.Body, "outcome") == "unknown")
    fmt::print(stderr, "  hint:  the change may be in force; repeat the "
                       "command with the same --change-id\n");
  return exitCodeOf(Answer);
}

bool failed(const Result<AdminAnswer> &Reply, ExitCode &Code) {
  if (!isOk(Reply)) {
    Code = reportFailure(errorOf(Reply));
    return true;
  }
  if (valueOf(Reply).Status == 200)
    return false;
  Code = reportProblem(valueOf(Reply));
  return true;
}

} // namespace mallowglade::detail

#include <mallowglade/detail/cli/admin_client.hpp>

#include <mallowglade/settings.hpp>

#include <fmt/format.h>
#include <httplib.h>

#include <cstdlib>

namespace mallowglade::detail {

namespace {

using nlohmann::json;

constexpr Milliseconds ConnectTimeout{3'000};
/// A router gives up on a change after three failed calls to the key-value
/// service, each of which may take up to 2 s.
constexpr Milliseconds ReplyTimeout{30'000};

std::string environmentVariable(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? std::string() : std::string(Value);
}

std::string trimTrailingWhitespace(std::string Text) {
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text.back())))
    Text.pop_back();
  return Text;
}

httplib::Client makeClient(const std::string &Router, const std::string &Key) {
  const HostPort Address = splitAddress(Router);
  httplib::Client Client(Address.Host, Address.Port);
  Client.set_connection_timeout(ConnectTimeout);
  Client.set_read_timeout(ReplyTimeout);
  if (!Key.empty())
    Client.set_bearer_token_auth(Key);
  return Client;
}

Result<AdminResponse> toAdminResponse(const httplib::Result &Reply,
                                      const std::string &Router) {
  if (Reply)
    return AdminResponse{Reply->status,
                         json::parse(Reply->body, nullptr, false)};
  const bool NeverConnected =
      Reply.error() == httplib::Error::Connection ||
      Reply.error() == httplib::Error::ConnectionTimeout;
  return Error{
      NeverConnected ? ErrorId::ConnectFailed : ErrorId::ConnectionLost,
      "no reply from the router (" + httplib::to_string(Reply.error()) + ")",
      Router};
}

Result<AdminResponse> getFrom(httplib::Client Client, const std::string &Router,
                              const std::string &Path,
                              const AdminQuery &Query) {
  const httplib::Params Parameters(Query.begin(), Query.end());
  return toAdminResponse(Client.Get(Path, Parameters, httplib::Headers()),
                         Router);
}

std::string stringMember(const json &Document, const char *Key) {
  const bool IsString = Document.is_object() && Document.contains(Key) &&
                        Document[Key].is_string();
  return IsString ? Document[Key].get<std::string>() : std::string();
}

ExitCode exitCodeFor(const AdminResponse &Response) {
  const std::string Id = stringMember(Response.Body, "error_id");
  if (Id == "settings.conflict")
    return ExitCode::Conflict;
  return Id.starts_with("settings.") ? ExitCode::InvalidSettings
                                     : ExitCode::Failed;
}

} // namespace

RouterOption::RouterOption(CommandParser &Parser)
    : Router("r", "router",
             "address of any router, ip:port; default MALLOWGLADE_ROUTER",
             false, "", "ADDRESS", Parser.commandLine()) {}

RouterOptions::RouterOptions(CommandParser &Parser)
    : RouterOption(Parser),
      KeyFile("k", "key-file",
              "file with the operator's credential; default MALLOWGLADE_KEY",
              false, "", "FILE", Parser.commandLine()) {}

std::string RouterOption::router() const {
  std::string Address = Router.isSet()
                            ? Router.getValue()
                            : environmentVariable("MALLOWGLADE_ROUTER");
  if (Address.empty())
    throw UsageError{"no router given; use --router or MALLOWGLADE_ROUTER"};
  if (!isNumericAddress(Address))
    throw UsageError{"'" + Address +
                     "' is not a numeric address such as 10.0.0.5:8080"};
  return Address;
}

std::string RouterOptions::key() const {
  if (!KeyFile.isSet())
    return environmentVariable("MALLOWGLADE_KEY");
  bool Failed = false;
  const std::string Text = readFile(KeyFile.getValue(), Failed);
  if (Failed)
    throw UsageError{"cannot read the key file '" + KeyFile.getValue() + "'"};
  return trimTrailingWhitespace(Text);
}

Result<AdminResponse> adminGet(const RouterOptions &Options,
                               const std::string &Path,
                               const AdminQuery &Query) {
  return adminGetFrom(Options.router(), Options, Path, Query);
}

Result<AdminResponse> adminGetFrom(const std::string &Router,
                                   const RouterOptions &Options,
                                   const std::string &Path,
                                   const AdminQuery &Query) {
  return getFrom(makeClient(Router, Options.key()), Router, Path, Query);
}

Result<AdminResponse> requestWithoutKey(const std::string &Router,
                                        const std::string &Path,
                                        const AdminQuery &Query) {
  return getFrom(makeClient(Router, {}), Router, Path, Query);
}

Result<AdminResponse> adminPost(const RouterOptions &Options,
                                const std::string &Path, const json &Body) {
  const std::string Router = Options.router();
  httplib::Client Client = makeClient(Router, Options.key());
  return toAdminResponse(Client.Post(Path, Body.dump(), "application/json"),
                         Router);
}

ExitCode reportFailure(const Error &Failure) {
  fmt::print(stderr, "mallowglade: {}\n", toString(Failure));
  return ExitCode::Unreachable;
}

ExitCode reportProblem(const AdminResponse &Response) {
  const std::string Detail = stringMember(Response.Body, "detail");
  const std::string Instance = stringMember(Response.Body, "instance");
  fmt::print(stderr, "mallowglade: {}\n",
             Detail.empty() ? fmt::format("HTTP status {}", Response.Status)
                            : Detail);
  if (!Instance.empty())
    fmt::print(stderr, "  at:    {}\n", Instance);
  fmt::print(stderr, "  error: {}\n", stringMember(Response.Body, "error_id"));
  if (Response.Status == 401)
    fmt::print(stderr, "  hint:  pass the operator's credential with "
                       "--key-file or MALLOWGLADE_KEY\n");
  if (stringMember(Response.Body, "outcome") == "unknown")
    fmt::print(stderr, "  hint:  the change may have been applied; repeat "
                       "the command with the same --change-id\n");
  return exitCodeFor(Response);
}

bool reportIfFailed(const Result<AdminResponse> &Reply, ExitCode &Code) {
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

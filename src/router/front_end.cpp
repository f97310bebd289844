#include <mallowglade/detail/router/front_end.hpp>

#include <mallowglade/detail/router/attempt_meter.hpp>

#include <mallowglade/detail/router/answer_fetch.hpp>
#include <mallowglade/detail/router/claim_service.hpp>
#include <mallowglade/detail/router/http_server.hpp>
#include <mallowglade/detail/router/settings_service.hpp>

#include <nlohmann/json.hpp>

#include <span>
#include <thread>

namespace mallowglade {

namespace {

constexpr const char *ProblemType = "application/problem+json";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view HopHeaders[] = {"connection",
                                           "keep-alive",
                                           "transfer-encoding",
                                           "upgrade",
                                           "te",
                                           "proxy-connection",
                                           "content-length",
                                           "host",
                                           "trailer",
                                           "proxy-authenticate",
                                           "expect"};
/// Headers that the router sets itself, or whose effect on the reply it could
/// not pass on to the caller (compression).
constexpr std::string_view OwnHeaders[] = {"x-request-id", "x-attempt",
                                           "accept-encoding", "range"};
constexpr int RedirectStatus = 307;
constexpr const char *KeyHeader = "Idempotency-Key";

std::string lowerCase(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

std::string bearerKey(const httplib::Request &Request) {
  const std::string Value = Request.get_header_value("Authorization");
  return Value.starts_with(BearerPrefix) ? Value.substr(BearerPrefix.size())
                                         : std::string();
}

void replyProblem(httplib::Response &Response, const Problem &Failure) {
  Response.status = statusOf(Failure.Reason.Id);
  if (Failure.RetryAfter.count() > 0)
    Response.set_header("Retry-After",
                        std::to_string(retryAfterSeconds(Failure.RetryAfter)));
  Response.set_content(toJson(Failure), ProblemType);
}

void replyError(httplib::Response &Response, ErrorId Id,
                const std::string &Detail, Milliseconds RetryAfter = {}) {
  Problem Failure;
  Failure.Reason = {Id, Detail, ""};
  Failure.RetryAfter = RetryAfter;
  replyProblem(Response, Failure);
}

/// Refuses a request before it is claimed. With an idempotency key an earlier
/// request may have run, so only the key's claim can prove that none did.
void refuseRequest(const httplib::Request &Request, httplib::Response &Response,
                   ErrorId Id, const std::string &Detail,
                   Milliseconds RetryAfter = {}) {
  Problem Failure;
  Failure.Reason = {Id, Detail, ""};
  Failure.RetryAfter = RetryAfter;
  if (Request.has_header(KeyHeader))
    Failure.Outcome = Verdict::Unknown;
  replyProblem(Response, Failure);
}

bool isListed(std::string_view Name, std::span<const std::string_view> List) {
  return std::find(List.begin(), List.end(), Name) != List.end();
}

/// @return the name that the caller used, in lower case
std::string originalName(const std::string &Name) {
  for (const PreservedHeader &Header : PreservedHeaders)
    if (lowerCase(Name) == lowerCase(Header.KeptAs))
      return lowerCase(Header.Name);
  return lowerCase(Name);
}

UpstreamRequest makePayload(const httplib::Request &Request) {
  UpstreamRequest Payload;
  Payload.Method = Request.method;
  Payload.Target = Request.target;
  Payload.Body = Request.body;
  for (const auto &[Name, Value] : Request.headers) {
    const std::string Lower = originalName(Name);
    const bool Internal = Lower == "authorization" ||
                          Lower.starts_with("remote_") ||
                          Lower.starts_with("local_");
    if (!Internal && !isListed(Lower, HopHeaders) &&
        !isListed(Lower, OwnHeaders))
      Payload.Headers[Lower] = Value;
  }
  return Payload;
}

/// A body that no engine can read is rejected before it takes a slot.
bool isWellFormed(const PoolSettings &Pool, const httplib::Request &Request) {
  return Pool.Kind != PoolKind::Model || Request.method != "POST" ||
         nlohmann::json::accept(Request.body);
}

/// A stream that fails after its head ends with an event that says so, and
/// without the end of its framing: not every caller knows the event.
std::string errorEvent(const Problem &Failure) {
  return "event: error\ndata: " + toJson(Failure) + "\n\n";
}

bool acceptsChunks(const httplib::Request &Request) {
  return Request.version != "HTTP/1.0";
}

bool writeAll(httplib::DataSink &Sink, const std::string &Bytes) {
  return Bytes.empty() || Sink.write(Bytes.data(), Bytes.size());
}

void streamAnswer(httplib::Response &Response, const AnswerHead &Head,
                  const std::shared_ptr<Answer> &Source) {
  Response.set_chunked_content_provider(
      Head.ContentType, [Source](std::size_t Offset, httplib::DataSink &Sink) {
        const std::string Bytes = Source->read(Offset);
        if (!Bytes.empty())
          return writeAll(Sink, Bytes);
        if (const std::optional<Problem> Failure = Source->failure()) {
          writeAll(Sink, errorEvent(*Failure));
          return false;
        }
        Sink.done();
        return true;
      });
}

/// @param Chunks true if the caller understands a chunked body; otherwise the
///   answer is sent when its length is known
void replyWithAnswer(httplib::Response &Response, const RequestId &Id,
                     const std::shared_ptr<Answer> &Source, bool Chunks) {
  Response.set_header("X-Request-Id", Id.Value);
  const std::optional<AnswerHead> Head = Source->waitForHead();
  if (!Head) {
    replyProblem(Response, *Source->failure());
    return;
  }
  Response.status = Head->Status;
  if (Chunks && Head->ContentType.starts_with("text/event-stream")) {
    streamAnswer(Response, *Head, Source);
    return;
  }
  const std::string Body = Source->waitForBody();
  if (const std::optional<Problem> Failure = Source->failure())
    replyProblem(Response, *Failure);
  else
    Response.set_content(Body, Head->ContentType);
}

} // namespace

struct FrontEnd::State {
  State(RouterContext Context, AnswerStore &Answers,
        std::shared_ptr<RequestRunner> Runner)
      : Context(Context), Answers(Answers), Runner(std::move(Runner)),
        Random(systemSeed()),
        Server({Context.Settings.MaxConnections, Context.Settings.HeaderTimeout,
                Context.Settings.MaxBodyBytes}) {}

  void addRoutes();
  void serveAddresses(httplib::Response &Response);
  void serveAnswer(const httplib::Request &Request,
                   httplib::Response &Response);
  void serveRequest(const httplib::Request &Request,
                    httplib::Response &Response);
  bool claimMatches(const httplib::Request &Request, const Answer *Found);
  bool redirect(const httplib::Request &Request, httplib::Response &Response);
  RequestId newRequestId();
  std::shared_ptr<Answer> addAnswer(const WorkspaceId &Workspace,
                                    RequestId &Id);
  std::vector<std::string> addresses();
  void serveAdmin(const std::string &Method, const httplib::Request &Request,
                  httplib::Response &Response);

  RouterContext Context;
  AnswerStore &Answers;
  std::shared_ptr<RequestRunner> Runner;
  std::mutex Mutex;
  SeededRandom Random;
  std::vector<std::string> Addresses;
  std::atomic<bool> Redirecting{false};
  std::map<std::pair<std::string, std::string>, Handler> AdminHandlers;
  HttpServer Server;
  std::thread Listener;
};

FrontEnd::FrontEnd(RouterContext Context, AnswerStore &Answers,
                   std::shared_ptr<RequestRunner> Runner)
    : Impl(std::make_unique<State>(Context, Answers, std::move(Runner))) {}

FrontEnd::~FrontEnd() { stop(); }

void FrontEnd::add(const std::string &Method, const std::string &Path,
                   Handler Serve) {
  Impl->AdminHandlers[{Method, Path}] = std::move(Serve);
}

Result<Success> FrontEnd::start() {
  Impl->addRoutes();
  const HostPort Address = splitAddress(Impl->Context.Settings.Listen);
  if (!Impl->Server.bind(Address.Host, Address.Port))
    return Error{ErrorId::InvalidAddress, "the address cannot be bound",
                 "/listen"};
  Impl->Listener = std::thread([this] { Impl->Server.listen_after_bind(); });
  return Success{};
}

void FrontEnd::redirectNewRequests() {
  Impl->Redirecting = true;
  Impl->Server.closeIdleConnections();
}

std::size_t FrontEnd::serving() const { return Impl->Server.serving(); }

void FrontEnd::publishAddresses(std::vector<std::string> Addresses) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->Addresses = std::move(Addresses);
}

void FrontEnd::stop() {
  Impl->Server.closeIdleConnections();
  Impl->Server.stop();
  if (Impl->Listener.joinable())
    Impl->Listener.join();
}

void FrontEnd::State::addRoutes() {
  Server.Get("/v1/addresses",
             [this](const httplib::Request &, httplib::Response &Response) {
               serveAddresses(Response);
             });
  Server.Get(
      R"(/v1/requests/([^/]+)/answer)",
      [this](const httplib::Request &Request, httplib::Response &Response) {
        serveAnswer(Request, Response);
      });
  Server.Get("/healthz",
             [](const httplib::Request &, httplib::Response &Response) {
               Response.set_content("{\"status\":\"ok\"}", "application/json");
             });
  Server.Get("/readyz", [this](const httplib::Request &,
                               httplib::Response &Response) {
    const bool Ready =
        Context.Services.find<SettingsService>(service_name::Settings)->ready();
    if (Ready && !Redirecting)
      Response.set_content("{\"status\":\"ready\"}", "application/json");
    else
      replyError(Response, ErrorId::NotReady, "the router takes no requests");
  });
  Server.Get("/metrics", [this](const httplib::Request &,
                                httplib::Response &Response) {
    Response.set_content(Context.Measures.text(), "text/plain; version=0.0.4");
  });
  const auto Admin = [this](const httplib::Request &Request,
                            httplib::Response &Response) {
    serveAdmin(Request.method, Request, Response);
  };
  Server.Get("/admin/.*", Admin);
  Server.Post("/admin/.*", Admin);
  const auto Any = [this](const httplib::Request &Request,
                          httplib::Response &Response) {
    serveRequest(Request, Response);
  };
  Server.Get(".*", Any);
  Server.Post(".*", Any);
  Server.Put(".*", Any);
  Server.Patch(".*", Any);
  Server.Delete(".*", Any);
  Server.set_error_handler(
      [](const httplib::Request &Request, httplib::Response &Response) {
        if (!Response.body.empty())
          return;
        const int Status = Response.status;
        const ErrorId Id = Status == 413   ? ErrorId::TooLarge
                           : Status == 404 ? ErrorId::NotFound
                                           : ErrorId::InvalidRequest;
        refuseRequest(Request, Response, Id, "the request cannot be served");
        Response.status = Status;
      });
}

/// A request id may return with another request; a claim never does. A claim
/// without an answer here is checked, in case it should have been released.
bool FrontEnd::State::claimMatches(const httplib::Request &Request,
                                   const Answer *Found) {
  if (!Request.has_header(ClaimHeader))
    return Found != nullptr;
  constexpr int HexBase = 16;
  const std::string Text = Request.get_header_value(ClaimHeader);
  const ClaimToken Wanted(std::strtoull(Text.c_str(), nullptr, HexBase));
  Context.Control.post([this, Wanted] {
    Context.Services.find<ClaimService>(service_name::Claims)->recheck(Wanted);
  });
  return Found != nullptr && Found->claim() == Wanted;
}

std::vector<std::string> FrontEnd::State::addresses() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<std::string> List = Addresses;
  for (std::size_t I = List.size(); I > 1; --I)
    std::swap(List[I - 1], List[Random.below(I)]);
  return List;
}

void FrontEnd::State::serveAddresses(httplib::Response &Response) {
  const nlohmann::json Document{{"addresses", addresses()},
                                {"ttl_s", Context.Settings.AddressTtl.count()}};
  Response.set_content(
      Document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json");
}

void FrontEnd::State::serveAnswer(const httplib::Request &Request,
                                  httplib::Response &Response) {
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  const WorkspaceSettings *Workspace =
      findWorkspaceByKey(*Tree, bearerKey(Request));
  if (Workspace == nullptr) {
    replyError(Response, ErrorId::Unauthenticated, "the key is not known");
    return;
  }
  const RequestId Id(Request.matches[1].str());
  const std::shared_ptr<Answer> Found = Answers.find(Workspace->Id, Id);
  if (claimMatches(Request, Found.get())) {
    replyWithAnswer(Response, Id, Found, acceptsChunks(Request));
    return;
  }
  Problem Failure;
  Failure.Reason = {ErrorId::AnswerGone,
                    "this router has no answer for the request", ""};
  Failure.Outcome = Verdict::Unknown;
  Failure.Request = Id;
  replyProblem(Response, Failure);
}

bool FrontEnd::State::redirect(const httplib::Request &Request,
                               httplib::Response &Response) {
  if (!Redirecting)
    return false;
  refuseRequest(Request, Response, ErrorId::Draining,
                "the router is being stopped", Milliseconds(1'000));
  const std::vector<std::string> Others = addresses();
  if (Others.empty())
    return true;
  Response.status = RedirectStatus;
  Response.set_header("Location", "http://" + Others.front() + Request.target);
  return true;
}

RequestId FrontEnd::State::newRequestId() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return RequestId("r-" + toHex(Random.next()) + toHex(Random.next()));
}

std::shared_ptr<Answer> FrontEnd::State::addAnswer(const WorkspaceId &Workspace,
                                                   RequestId &Id) {
  if (Id.empty())
    Id = newRequestId();
  std::shared_ptr<Answer> Target = Answers.add(Workspace, Id);
  while (Target == nullptr) {
    Id = newRequestId();
    Target = Answers.add(Workspace, Id);
  }
  return Target;
}

void FrontEnd::State::serveRequest(const httplib::Request &Request,
                                   httplib::Response &Response) {
  if (redirect(Request, Response))
    return;
  const auto Settings =
      Context.Services.find<SettingsService>(service_name::Settings);
  if (!Settings->ready()) {
    refuseRequest(Request, Response, ErrorId::NotReady,
                  "the settings are not known yet", Milliseconds(1'000));
    return;
  }
  const auto Tree = Settings->current();
  const WorkspaceSettings *Workspace =
      findWorkspaceByKey(*Tree, bearerKey(Request));
  if (Workspace == nullptr) {
    refuseRequest(Request, Response, ErrorId::Unauthenticated,
                  "the key is not known");
    return;
  }
  const RouteSettings *Route = findRoute(*Tree, Request.path);
  if (Route == nullptr) {
    refuseRequest(Request, Response, ErrorId::NotFound,
                  "no route matches the path");
    return;
  }
  const PoolSettings &Pool = *findPool(*Tree, Route->Pool);
  if (!isWellFormed(Pool, Request)) {
    refuseRequest(Request, Response, ErrorId::InvalidRequest,
                  "the body is not valid JSON");
    return;
  }
  if (Runner->active() >= Context.Settings.MaxRequests) {
    refuseRequest(Request, Response, ErrorId::QueueFull,
                  "the router has no room", Milliseconds(1'000));
    return;
  }
  RouterRequest Accepted;
  Accepted.Id = RequestId(Request.get_header_value("X-Request-Id"));
  Accepted.Workspace = Workspace->Id;
  Accepted.Pool = Pool;
  Accepted.Payload = makePayload(Request);
  Accepted.Streamed =
      Pool.Kind == PoolKind::Model && asksForStream(Request.body);
  Accepted.BearerKey = bearerKey(Request);
  constexpr std::size_t MaxIdBytes = 256;
  if (Accepted.Id.Value.size() > MaxIdBytes) {
    refuseRequest(Request, Response, ErrorId::InvalidRequest,
                  "X-Request-Id is longer than 256 bytes");
    return;
  }
  const std::string Key = Request.get_header_value(KeyHeader);
  if (!Key.empty())
    Accepted.Key = IdempotencyKey{Workspace->Id, Key};
  const bool SafeMethod = Request.method == "GET" || Request.method == "HEAD";
  Accepted.Idempotent = Key.empty() && (SafeMethod || Route->Idempotent);
  const std::shared_ptr<Answer> Target = addAnswer(Workspace->Id, Accepted.Id);
  const RequestId Id = Accepted.Id;
  Runner->start(std::move(Accepted), Target);
  replyWithAnswer(Response, Id, Target, acceptsChunks(Request));
}

void FrontEnd::State::serveAdmin(const std::string &Method,
                                 const httplib::Request &Request,
                                 httplib::Response &Response) {
  const auto Found = AdminHandlers.find({Method, Request.path});
  if (Found == AdminHandlers.end()) {
    replyError(Response, ErrorId::NotFound, "there is no such call");
    return;
  }
  AdminRequest Call;
  Call.Path = Request.path;
  Call.Body = Request.body;
  Call.Key = bearerKey(Request);
  Call.RemoteAddress = Request.remote_addr;
  for (const auto &[Name, Value] : Request.params)
    Call.Parameters[Name] = Value;
  const AdminReply Reply = Found->second(Call);
  Response.status = Reply.Status;
  Response.set_content(Reply.Body, "application/json");
}

} // namespace mallowglade

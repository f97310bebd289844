#include <mallowglade/detail/router/settings_admin.hpp>

#include <mallowglade/detail/router/problem.hpp>

#include <charconv>

namespace mallowglade {

namespace {

using nlohmann::json;

constexpr double UnknownCredentialBurst = 10;
constexpr Milliseconds UnknownCredentialRefill{10'000};
constexpr std::size_t DefaultLogEntries = 20;
constexpr std::size_t MaxLogEntries = 1'000;

std::string parameter(const AdminRequest &Request, const std::string &Name) {
  const auto Found = Request.Parameters.find(Name);
  return Found == Request.Parameters.end() ? std::string() : Found->second;
}

AdminReply replyWith(const json &Document) {
  return {200, Document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

AdminReply conflictReply(const ChangeConflict &Conflict) {
  AdminReply Reply = problemReply(
      {ErrorId::Conflict,
       "somebody else changed the branch; nothing was changed", ""});
  json Document = json::parse(Reply.Body);
  Document["current_version"] = Conflict.Current.Value;
  Document["diff"] = Conflict.Difference;
  Reply.Body = Document.dump(-1, ' ', false, json::error_handler_t::replace);
  return Reply;
}

AdminReply acceptedReply(const ChangeAccepted &Accepted) {
  return replyWith(
      {{"version", Accepted.Version.Value}, {"repeated", Accepted.Repeated}});
}

AdminReply replyTo(const ChangeResult &Result) {
  if (const auto *Accepted = std::get_if<ChangeAccepted>(&Result))
    return acceptedReply(*Accepted);
  if (const auto *Conflict = std::get_if<ChangeConflict>(&Result))
    return conflictReply(*Conflict);
  if (const auto *Refused = std::get_if<ChangeRefused>(&Result))
    return problemReply(Refused->Reason);
  return problemReply(std::get<ChangeUnknown>(Result).Reason, Verdict::Unknown);
}

std::size_t wantedEntries(const AdminRequest &Request) {
  const std::string Text = parameter(Request, "entries");
  std::size_t Count = DefaultLogEntries;
  std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return std::min(Count, MaxLogEntries);
}

bool mayRead(const OperatorIdentity &Operator, const json &Entry) {
  return Entry.is_object() && mayEdit(Operator, Entry.value("branch", ""));
}

} // namespace

CallBudget::CallBudget(double Burst, Milliseconds Refill)
    : Burst(Burst), Refill(Refill), Left(Burst) {}

bool CallBudget::take(TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - Last;
  const std::chrono::duration<double> PerCall = Refill;
  Left = std::min(Burst, Left + Passed / PerCall);
  Last = Now;
  if (Left < 1)
    return false;
  Left -= 1;
  return true;
}

AdminReply problemReply(const Error &Reason, Verdict Outcome) {
  Problem Failure;
  Failure.Reason = Reason;
  Failure.Outcome = Outcome;
  return {statusOf(Reason.Id), toJson(Failure)};
}

Result<OperatorIdentity> authenticate(const RouterContext &Context,
                                      const AdminRequest &Request) {
  const auto Tree =
      Context.Services.find<SettingsService>(service_name::Settings)->current();
  const auto Operator =
      findOperator(*Tree, Context.Settings.PlatformKeySha256, Request.Key);
  if (!Operator)
    return Error{ErrorId::Unauthenticated, "the credential is not known", ""};
  return *Operator;
}

SettingsAdmin::SettingsAdmin(RouterContext Context,
                             std::shared_ptr<TreeSettingsService> Settings)
    : Context(Context), Settings(std::move(Settings)), Random(systemSeed()),
      UnknownCredentials(UnknownCredentialBurst, UnknownCredentialRefill) {}

void SettingsAdmin::addRoutes(AdminRoutes &Routes) {
  const auto Self = shared_from_this();
  Routes.add("GET", "/admin/settings", [Self](const AdminRequest &Request) {
    return Self->show(Request);
  });
  Routes.add("POST", "/admin/settings", [Self](const AdminRequest &Request) {
    return Self->change(Request);
  });
  Routes.add("GET", "/admin/settings/log", [Self](const AdminRequest &Request) {
    return Self->showLog(Request);
  });
}

std::string SettingsAdmin::newId() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return toHex(Random.next()) + toHex(Random.next());
}

AdminReply SettingsAdmin::listBranches(const OperatorIdentity &Operator) {
  const auto Records = Settings->records();
  json Branches = json::object();
  for (const auto &[Number, Pack] : Records->Packs)
    for (const auto &[Name, Branch] : Pack.Branches)
      if (!Branch.Value.is_null() && mayEdit(Operator, Name))
        Branches[Name] = Branch.Version.Value;
  return replyWith({{"version", Records->Head.Version.Value},
                    {"ready", Settings->ready()},
                    {"branches", Branches}});
}

AdminReply SettingsAdmin::show(const AdminRequest &Request) {
  const auto Operator = authenticate(Context, Request);
  if (!isOk(Operator))
    return problemReply(errorOf(Operator));
  const std::string Branch = parameter(Request, "branch");
  if (Branch.empty())
    return listBranches(valueOf(Operator));
  if (!mayEdit(valueOf(Operator), Branch))
    return problemReply(
        {ErrorId::Forbidden,
         "the credential is for the branch '" + valueOf(Operator).Branch + "'",
         ""});
  const auto Records = Settings->records();
  const BranchRecord *Found = findBranch(*Records, Branch);
  json Document{{"branch", Branch},
                {"version", Records->Head.Version.Value},
                {"value", nullptr}};
  if (Found != nullptr) {
    Document["branch_version"] = Found->Version.Value;
    Document["value"] = Found->Value;
  }
  return replyWith(Document);
}

AdminReply SettingsAdmin::change(const AdminRequest &Request) {
  auto Command = parseChangeCommand(Request.Body);
  if (!isOk(Command))
    return problemReply(errorOf(Command));
  const auto Operator = authenticate(Context, Request);
  if (!isOk(Operator)) {
    Context.Measures.count("mallowglade_settings_unknown_credentials_total",
                           {});
    Context.Log.warning("settings change with an unknown credential",
                        {{"from", Request.RemoteAddress}});
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!UnknownCredentials.take(Context.Time.now()))
      return problemReply(errorOf(Operator));
  }
  ChangeOrigin Origin;
  Origin.Key = Request.Key;
  Origin.ClientAddress = Request.RemoteAddress;
  Origin.RequestTime = Context.Time.wallNow();
  Origin.Router = RouterId(Context.Settings.PeerAdvertise);
  Origin.EntryId = newId();
  return replyTo(Settings->change(std::move(valueOf(Command)), Origin));
}

Result<std::vector<KeyValue>> SettingsAdmin::readSegments(std::uint64_t Next) {
  std::vector<KeyValue> Entries;
  if (Next == 0)
    return Entries;
  const std::uint64_t Last = (Next - 1) / settings_layout::SegmentEntries;
  const std::uint64_t First = Last == 0 ? 0 : Last - 1;
  for (std::uint64_t Segment = First; Segment <= Last; ++Segment) {
    auto Part = Context.Store.readPrefix(auditSegmentPrefix(Segment));
    if (!isOk(Part))
      return errorOf(Part);
    std::move(valueOf(Part).begin(), valueOf(Part).end(),
              std::back_inserter(Entries));
  }
  return Entries;
}

AdminReply SettingsAdmin::showLog(const AdminRequest &Request) {
  const auto Operator = authenticate(Context, Request);
  if (!isOk(Operator))
    return problemReply(errorOf(Operator));
  const auto Record = Context.Store.read(settings_layout::AuditHeadKey);
  if (!isOk(Record))
    return problemReply(errorOf(Record));
  const auto Head = valueOf(Record) ? parseAuditHead(valueOf(Record)->Value)
                                    : Result<AuditHead>(AuditHead());
  if (!isOk(Head))
    return problemReply(errorOf(Head));
  const auto Entries = readSegments(valueOf(Head).NextEntry);
  if (!isOk(Entries))
    return problemReply(errorOf(Entries));
  json Shown = json::array();
  for (const KeyValue &Entry : valueOf(Entries)) {
    json Parsed =
        parseBoundedJson(Entry.Value, MaxSettingsBytes).value_or(json());
    if (mayRead(valueOf(Operator), Parsed) && Parsed.contains("entry"))
      Shown.push_back(std::move(Parsed));
  }
  const std::size_t Wanted = wantedEntries(Request);
  if (Shown.size() > Wanted)
    Shown.erase(Shown.begin(),
                Shown.end() - static_cast<std::ptrdiff_t>(Wanted));
  return replyWith({{"entries", Shown}, {"next", valueOf(Head).NextEntry}});
}

} // namespace mallowglade

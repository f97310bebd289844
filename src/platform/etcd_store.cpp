#include <mallowglade/platform.hpp>

#include <mallowglade/detail/platform/base64.hpp>
#include <mallowglade/detail/platform/http_call.hpp>
#include <mallowglade/http1.hpp>
#include <mallowglade/settings.hpp>

#include <nlohmann/json.hpp>

namespace mallowglade {

namespace {

using detail::decodeBase64;
using detail::encodeBase64;
using nlohmann::json;

/// The gateway writes 64-bit numbers as strings.
std::int64_t numberOf(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end())
    return 0;
  if (Found->is_number_integer())
    return Found->get<std::int64_t>();
  if (!Found->is_string())
    return 0;
  return std::strtoll(Found->get_ref<const std::string &>().c_str(), nullptr,
                      10);
}

std::string textOf(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string())
    return {};
  return decodeBase64(Found->get_ref<const std::string &>()).value_or("");
}

KeyValue parseEntry(const json &Object) {
  return {textOf(Object, "key"), textOf(Object, "value"),
          Revision(numberOf(Object, "mod_revision"))};
}

/// First key after all keys with the prefix.
std::string endOfPrefix(std::string Prefix) {
  while (!Prefix.empty()) {
    if (static_cast<unsigned char>(Prefix.back()) != 0xff) {
      ++Prefix.back();
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0');
}

json encodePut(const PutOperation &Put) {
  json Body{{"key", encodeBase64(Put.Key)}, {"value", encodeBase64(Put.Value)}};
  if (Put.Lease.Value != 0)
    Body["lease"] = std::to_string(Put.Lease.Value);
  return {{"request_put", Body}};
}

json encodeTransaction(const Transaction &Change) {
  json Compare = json::array();
  for (const RevisionEquals &Condition : Change.Conditions)
    Compare.push_back(
        {{"key", encodeBase64(Condition.Key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(Condition.Expected.Value)}});
  json Success = json::array();
  for (const PutOperation &Put : Change.Puts)
    Success.push_back(encodePut(Put));
  for (const std::string &Key : Change.Deletes)
    Success.push_back({{"request_delete_range", {{"key", encodeBase64(Key)}}}});
  return {{"compare", Compare}, {"success", Success}};
}

std::vector<KeyValue> parseEntries(const json &Reply) {
  std::vector<KeyValue> Entries;
  const auto Found = Reply.find("kvs");
  if (Found == Reply.end() || !Found->is_array())
    return Entries;
  for (const json &Item : *Found)
    Entries.push_back(parseEntry(Item));
  return Entries;
}

/// Finds the last event in a chunk of the watch stream, if it holds one.
std::optional<KeyValue> parseWatchLine(const std::string &Line) {
  const json Document = json::parse(Line, nullptr, false);
  if (!Document.is_object() || !Document.contains("result"))
    return std::nullopt;
  const json &Reply = Document["result"];
  if (!Reply.contains("events") || Reply["events"].empty())
    return std::nullopt;
  const json &Event = Reply["events"].back();
  return Event.contains("kv") ? std::optional(parseEntry(Event["kv"]))
                              : std::nullopt;
}

/// Reads the lines of a watch until one holds a change.
class ChangeReceiver final : public http1::BlockingReceiver {
public:
  void onHead(const http1::ResponseHead &) override {}
  bool onBody(std::string_view Data) override {
    Line.append(Data);
    for (auto End = Line.find('\n'); End != std::string::npos && !Change;
         End = Line.find('\n')) {
      Change = parseWatchLine(Line.substr(0, End));
      Line.erase(0, End + 1);
    }
    return !Change && Line.size() <= detail::MaxHttpResponseBytes;
  }

  std::optional<KeyValue> Change;

private:
  std::string Line;
};

} // namespace

EtcdStore::EtcdStore(std::vector<std::string> Endpoints,
                     Milliseconds CallTimeout)
    : Endpoints(std::move(Endpoints)), CallTimeout(CallTimeout) {}

Result<std::string> EtcdStore::call(const std::string &Path,
                                    const std::string &Body) {
  Result<std::string> Reply =
      Error{ErrorId::Unavailable, "there is no endpoint", Path};
  for (const std::string &Endpoint : Endpoints) {
    Reply = detail::callHttp({Endpoint, "POST", Path, Body, CallTimeout});
    // A call that may have taken effect must not be repeated elsewhere.
    if (isOk(Reply) || errorOf(Reply).Id == ErrorId::Timeout)
      return Reply;
  }
  return Reply;
}

namespace {

Result<json> parseReply(const Result<std::string> &Reply) {
  if (!isOk(Reply))
    return errorOf(Reply);
  json Document = json::parse(valueOf(Reply), nullptr, false);
  if (!Document.is_object())
    return Error{ErrorId::Timeout, "the reply is not a JSON object", ""};
  return Document;
}

} // namespace

Result<std::optional<KeyValue>> EtcdStore::read(const std::string &Key) {
  const json Body{{"key", encodeBase64(Key)}};
  const Result<json> Reply = parseReply(call("/v3/kv/range", Body.dump()));
  if (!isOk(Reply))
    return errorOf(Reply);
  std::vector<KeyValue> Entries = parseEntries(valueOf(Reply));
  if (Entries.empty())
    return std::optional<KeyValue>();
  return std::optional<KeyValue>(std::move(Entries.front()));
}

Result<std::vector<KeyValue>> EtcdStore::readPrefix(const std::string &Prefix) {
  const json Body{{"key", encodeBase64(Prefix)},
                  {"range_end", encodeBase64(endOfPrefix(Prefix))}};
  const Result<json> Reply = parseReply(call("/v3/kv/range", Body.dump()));
  if (!isOk(Reply))
    return errorOf(Reply);
  return parseEntries(valueOf(Reply));
}

Result<TransactionReply> EtcdStore::commit(const Transaction &Change) {
  const Result<json> Reply =
      parseReply(call("/v3/kv/txn", encodeTransaction(Change).dump()));
  if (!isOk(Reply))
    return errorOf(Reply);
  const json &Document = valueOf(Reply);
  TransactionReply Outcome;
  const auto Succeeded = Document.find("succeeded");
  Outcome.Succeeded = Succeeded != Document.end() && Succeeded->is_boolean() &&
                      Succeeded->get<bool>();
  if (Document.contains("header"))
    Outcome.At = Revision(numberOf(Document["header"], "revision"));
  return Outcome;
}

Result<LeaseId> EtcdStore::grantLease(std::chrono::seconds TimeToLive) {
  const json Body{{"TTL", std::to_string(TimeToLive.count())}};
  const Result<json> Reply = parseReply(call("/v3/lease/grant", Body.dump()));
  if (!isOk(Reply))
    return errorOf(Reply);
  return LeaseId(numberOf(valueOf(Reply), "ID"));
}

Result<Success> EtcdStore::keepAlive(LeaseId Lease) {
  const json Body{{"ID", std::to_string(Lease.Value)}};
  const Result<json> Reply =
      parseReply(call("/v3/lease/keepalive", Body.dump()));
  if (!isOk(Reply))
    return errorOf(Reply);
  const json &Document = valueOf(Reply);
  const bool Alive =
      Document.contains("result") && numberOf(Document["result"], "TTL") > 0;
  if (!Alive)
    return Error{ErrorId::NotFound, "the lease has ended", ""};
  return Success{};
}

Result<Success> EtcdStore::revokeLease(LeaseId Lease) {
  const json Body{{"ID", std::to_string(Lease.Value)}};
  const Result<json> Reply = parseReply(call("/v3/lease/revoke", Body.dump()));
  if (!isOk(Reply))
    return errorOf(Reply);
  return Success{};
}

Result<std::optional<KeyValue>> EtcdStore::waitForChange(const std::string &Key,
                                                         Revision After,
                                                         Milliseconds Limit) {
  const HostPort Address = splitAddress(Endpoints.front());
  const json Create{{"key", encodeBase64(Key)},
                    {"start_revision", std::to_string(After.Value + 1)}};
  const std::string Body = json{{"create_request", Create}}.dump();
  std::string Message = "POST /v3/watch HTTP/1.1\r\n";
  http1::appendField(Message, "Host", Endpoints.front());
  http1::appendField(Message, "Content-Type", "application/json");
  http1::appendField(Message, "Content-Length", std::to_string(Body.size()));
  http1::appendField(Message, "Connection", "close");
  Message += "\r\n" + Body;
  ChangeReceiver Receiver;
  http1::BlockingExchange Exchange;
  const http1::BlockingEnd End =
      Exchange.run({Address.Host, Address.Port, std::move(Message), CallTimeout,
                    Limit, false},
                   Receiver);
  if (End == http1::BlockingEnd::NotConnected)
    return Error{ErrorId::Unavailable, "no connection", Endpoints.front()};
  return Receiver.Change;
}

} // namespace mallowglade

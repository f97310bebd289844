#include <mallowglade/platform.hpp>

#include <mallowglade/detail/platform/http_call.hpp>
#include <mallowglade/settings.hpp>

namespace mallowglade {

namespace {

constexpr std::int64_t MaxInFlightBound = 1'000'000;
/// Maximum size of one entry.
constexpr std::size_t MaxEntryBytes = 65'536;

Instance parseInstance(JsonReader &Reader) {
  Instance Entry;
  Entry.Name = Reader.text("name");
  Entry.Pool = PoolId(Reader.text("pool", ""));
  Entry.Address = Reader.address("address");
  Entry.Zone = ZoneId(Reader.text("availability_zone", ""));
  const std::string State = Reader.text("state", "live");
  Entry.State =
      State == "leaving" ? InstanceState::Leaving : InstanceState::Live;
  Entry.MaxInFlight = static_cast<std::uint32_t>(
      Reader.integer("max_in_flight", 0, MaxInFlightBound, 0));
  return Entry;
}

} // namespace

Result<std::vector<Instance>> parseInstanceList(const std::string &Text) {
  const auto Items = listItems(Text, "instances");
  if (!Items)
    return Error{ErrorId::InvalidJson, "expected an object with a list",
                 "/instances"};
  std::vector<Instance> Instances;
  for (const std::string_view Item : *Items) {
    // An entry that another writer left names no instance; the others hold.
    const auto Document = parseBoundedJson(Item, MaxEntryBytes);
    if (!Document)
      continue;
    std::optional<Error> Invalid;
    JsonReader Reader(*Document, "", Invalid);
    Instance Entry = parseInstance(Reader);
    if (!Invalid)
      Instances.push_back(std::move(Entry));
  }
  return Instances;
}

HttpInstanceList::HttpInstanceList(std::string Endpoint,
                                   Milliseconds CallTimeout)
    : Endpoint(std::move(Endpoint)), CallTimeout(CallTimeout) {}

Result<std::vector<Instance>> HttpInstanceList::list() {
  const Result<std::string> Reply =
      detail::callHttp({Endpoint, "GET", "/v1/instances", "", CallTimeout});
  if (!isOk(Reply))
    return errorOf(Reply);
  return parseInstanceList(valueOf(Reply));
}

} // namespace mallowglade

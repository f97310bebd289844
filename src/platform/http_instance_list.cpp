#include <mallowglade/platform.hpp>

#include <mallowglade/detail/platform/http_call.hpp>
#include <mallowglade/settings.hpp>

namespace mallowglade {

namespace {

constexpr std::int64_t MaxInFlightBound = 1'000'000;

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

HttpInstanceList::HttpInstanceList(std::string Endpoint,
                                   Milliseconds CallTimeout)
    : Endpoint(std::move(Endpoint)), CallTimeout(CallTimeout) {}

Result<std::vector<Instance>> HttpInstanceList::list() {
  const Result<std::string> Reply =
      detail::callHttp({Endpoint, "GET", "/v1/instances", "", CallTimeout});
  if (!isOk(Reply))
    return errorOf(Reply);
  Result<nlohmann::json> Document = parseJson(valueOf(Reply));
  if (!isOk(Document))
    return errorOf(Document);
  std::optional<Error> FirstError;
  JsonReader Root(valueOf(Document), "", FirstError);
  std::vector<Instance> Instances;
  for (JsonReader &Reader : Root.objectList("instances"))
    Instances.push_back(parseInstance(Reader));
  if (FirstError)
    return *FirstError;
  return Instances;
}

} // namespace mallowglade

#include <mallowglade/detail/router/load_poller.hpp>

#include <mallowglade/detail/platform/http_call.hpp>

#include <mallowglade/settings.hpp>

namespace mallowglade {

namespace {

constexpr Milliseconds PollPeriod{1'000};
/// Plain services have no load report; asking them seldom is enough.
constexpr Milliseconds FailedPollPeriod{10'000};
constexpr Milliseconds PollTimeout{500};
constexpr Milliseconds ReportLife{3'000};
constexpr std::size_t MaxReportBytes = 65'536;
constexpr std::uint32_t MaxRunning = 1'000'000;

} // namespace

LoadPoller::LoadPoller(RouterContext Context) : Context(Context) {}

void LoadPoller::poll(const std::vector<Upstream> &List) {
  const TimePoint Now = Context.Time.now();
  for (const Upstream &Target : List) {
    Report &Known = Reports[Target.Id];
    if (Known.Polling || Now < Known.NextPoll)
      continue;
    Known.Polling = true;
    Context.Blocking.post(
        [Self = shared_from_this(), Id = Target.Id, Address = Target.Address] {
          auto Reply =
              detail::callHttp({Address, "GET", "/v1/load", "", PollTimeout});
          Self->Context.Control.post(
              [Self, Id, Reply = std::move(Reply)] { Self->take(Id, Reply); });
        });
  }
}

void LoadPoller::take(const UpstreamId &Id, const Result<std::string> &Reply) {
  Report &Known = Reports[Id];
  const TimePoint Now = Context.Time.now();
  Known.Polling = false;
  Known.NextPoll = Now + FailedPollPeriod;
  if (!isOk(Reply))
    return;
  const auto Load = parseBoundedJson(valueOf(Reply), MaxReportBytes);
  const auto Running =
      Load ? numberMember<std::uint32_t>(*Load, "running", 0, MaxRunning)
           : std::nullopt;
  if (!Running)
    return;
  Known.NextPoll = Now + PollPeriod;
  Known.Running = *Running;
  Known.At = Now;
  const auto Leaving = Load->find("leaving");
  if (Leaving != Load->end() && Leaving->is_boolean() && Leaving->get<bool>())
    Context.Services.find<UpstreamDirectory>(service_name::Upstreams)
        ->markLeaving(Id);
}

std::optional<std::uint32_t> LoadPoller::runningOn(const UpstreamId &Id) const {
  const auto Found = Reports.find(Id);
  if (Found == Reports.end() || !Found->second.Running ||
      Context.Time.now() - Found->second.At >= ReportLife)
    return std::nullopt;
  return Found->second.Running;
}

} // namespace mallowglade

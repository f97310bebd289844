#include <mallowglade/detail/router/attempt_meter.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade {

namespace {

constexpr double BytesPerToken = 4;
constexpr double DefaultOutputTokens = 256;

/// A count of another type, or a negative one, is ignored.
double numberOf(const nlohmann::json &Usage, const char *Key, double Default) {
  const auto Found = Usage.find(Key);
  if (Found == Usage.end() || !Found->is_number())
    return Default;
  const auto Number = Found->get<double>();
  return Number >= 0 ? Number : Default;
}

} // namespace

AttemptMeter::AttemptMeter(const PoolSettings &Pool, std::size_t BodyBytes,
                           const Clock &Time)
    : Pool(Pool), InputTokens(BodyBytes / BytesPerToken), Time(Time),
      Started(Time.now()) {}

void AttemptMeter::tokens(std::uint64_t Count) {
  const TimePoint Now = Time.now();
  if (Count > 0 && !FirstAt)
    FirstAt = Now;
  OutputTokens = Count;
  LastAt = Now;
}

void AttemptMeter::usage(const std::string &Json) {
  const auto Usage = nlohmann::json::parse(Json, nullptr, false);
  if (!Usage.is_object())
    return;
  InputTokens = numberOf(Usage, "prompt_tokens", InputTokens);
  OutputTokens = numberOf(Usage, "completion_tokens", OutputTokens);
}

AttemptProgress AttemptMeter::progress() const {
  AttemptProgress Progress;
  Progress.Served = ServiceUnits(served());
  if (FirstAt)
    Progress.FirstToken =
        std::chrono::duration_cast<Milliseconds>(*FirstAt - Started);
  if (FirstAt && OutputTokens > 1) {
    const std::chrono::duration<double, std::milli> Span = LastAt - *FirstAt;
    Progress.InterToken =
        Milliseconds(std::lround(Span.count() / (OutputTokens - 1)));
  }
  return Progress;
}

double AttemptMeter::served() const {
  if (Pool.Kind == PoolKind::Service)
    return std::chrono::duration<double, std::milli>(Time.now() - Started)
        .count();
  return InputTokens * Pool.InputWeight + OutputTokens * Pool.OutputWeight;
}

bool asksForStream(const std::string &Body) {
  const auto Document = nlohmann::json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return false;
  const auto Found = Document.find("stream");
  return Found != Document.end() && Found->is_boolean() && Found->get<bool>();
}

ServiceUnits estimateCost(const PoolSettings &Pool, const std::string &Body) {
  if (Pool.Kind == PoolKind::Service)
    return ServiceUnits(1);
  const double InputTokens = Body.size() / BytesPerToken;
  double OutputTokens = DefaultOutputTokens;
  const auto Document = nlohmann::json::parse(Body, nullptr, false);
  if (Document.is_object() && Document.contains("max_tokens") &&
      Document["max_tokens"].is_number())
    OutputTokens = std::max(1.0, Document["max_tokens"].get<double>());
  const double Units =
      InputTokens * Pool.InputWeight + OutputTokens * Pool.OutputWeight;
  return ServiceUnits(std::clamp(Units, 1.0, Pool.MaxRequestUnits));
}

} // namespace mallowglade

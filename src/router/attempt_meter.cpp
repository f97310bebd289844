#include <mallowglade/detail/router/attempt_meter.hpp>
#include <mallowglade/detail/router/json_scalars.hpp>

#include <algorithm>
#include <cmath>

namespace mallowglade {

namespace {

constexpr double BytesPerToken = 4;
constexpr double DefaultOutputTokens = 256;

/// Maximum number of tokens that one request is charged for, whatever the
/// engine or the caller states.
constexpr double MaxTokens = 10'000'000;

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

void AttemptMeter::usageOf(std::string_view Json) {
  constexpr const char *PromptTokens = "usage.prompt_tokens";
  constexpr const char *CompletionTokens = "usage.completion_tokens";
  if (Json.find("\"usage\"") == std::string_view::npos)
    return;
  const JsonScalars Stated =
      readScalars(Json, {PromptTokens, CompletionTokens});
  InputTokens =
      positiveNumber(Stated, PromptTokens, MaxTokens).value_or(InputTokens);
  OutputTokens = positiveNumber(Stated, CompletionTokens, MaxTokens)
                     .value_or(OutputTokens);
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
  constexpr const char *Stream = "stream";
  const JsonScalars Stated = readScalars(Body, {Stream});
  const auto Found = Stated.find(Stream);
  return Found != Stated.end() && Found->second.IsBoolean &&
         Found->second.Number != 0;
}

ServiceUnits estimateCost(const PoolSettings &Pool, const std::string &Body) {
  if (Pool.Kind == PoolKind::Service)
    return ServiceUnits(1);
  const double InputTokens = Body.size() / BytesPerToken;
  constexpr const char *MaxOutput = "max_tokens";
  const double OutputTokens = std::max(
      1.0, positiveNumber(readScalars(Body, {MaxOutput}), MaxOutput, MaxTokens)
               .value_or(DefaultOutputTokens));
  const double Units =
      InputTokens * Pool.InputWeight + OutputTokens * Pool.OutputWeight;
  return ServiceUnits(std::clamp(Units, 1.0, Pool.MaxRequestUnits));
}

} // namespace mallowglade
